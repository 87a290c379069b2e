package main

import (
	"context"
	"math/rand/v2"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/work"
)

// reportFaults are the faults of status reports. They have a series of their own, so that
// the seeds of the others draw what they drew before there were any.
var reportFaults = []fault{
	{"foreign status report", func(ctx context.Context, s *system, r *rand.Rand) { randomWorker(r, s).reportForeign(ctx, r) }},
}

// reportForeign sends a status report to the agent of the worker that is not from the worker:
// with another identifier, or under its own with the start of an incarnation that there is not.
func (w *worker) reportForeign(ctx context.Context, r *rand.Rand) {
	announcer := platform.NewAnnouncer(w.node.Control)
	defer announcer.Close()
	own, _ := w.Report()
	a := work.Announcement{
		ID: own.ID, StartedAtMS: own.Born + int64(r.IntN(20_000)) - 10_000, Sequence: uint64(r.IntN(1_000)), Service: service,
		Address: w.node.Worker, Domain: w.node.Domain, State: work.WorkerReady, Labels: w.labels, Capacity: own.Capacity,
	}
	if r.IntN(2) == 0 || a.StartedAtMS == own.Born {
		a.ID = "foreign"
	}
	if r.IntN(2) == 0 {
		a.Service, a.Labels, a.State = "another", nil, work.WorkerDraining
	}
	_ = announcer.Announce(ctx, a) // an agent that is down does not get it
}
