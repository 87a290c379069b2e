package runner

import (
	"context"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// restartingWorker is a worker that knows its identifier and its start. It keeps the runs of
// one incarnation and the highest end that it was told to discard there.
type restartingWorker struct {
	work.Runtime
	mu        sync.Mutex
	id        string
	startedAt int64
	running   []work.RunStatus
	discarded uint64
	mute      bool // it replies to no call
}

func (w *restartingWorker) restart(id string, startedAt int64) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.id, w.startedAt, w.running, w.discarded = id, startedAt, nil, 0
}

func (w *restartingWorker) setMute(mute bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.mute = mute
}

// discardedSeq returns the highest end that this incarnation was told to discard.
func (w *restartingWorker) discardedSeq() uint64 {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.discarded
}

func (w *restartingWorker) RenewLeases(_ context.Context, _ time.Duration, id string, _ int64, renewal work.LeaseRenewal) (work.RuntimeReply, error) {
	time.Sleep(time.Millisecond)
	w.mu.Lock()
	defer w.mu.Unlock()
	switch {
	case w.mute:
		return work.RuntimeReply{}, errors.New("no reply")
	case id != w.id:
		return work.RuntimeReply{Refusal: work.RefusedInstance}, nil
	}
	w.discarded = max(w.discarded, renewal.AckedSeq)
	return work.RuntimeReply{Clock: time.Second, StartedAtMS: w.startedAt, Running: w.running}, nil
}

func (w *restartingWorker) Stop(context.Context, time.Duration, string, int64, work.RunKey) (work.RuntimeReply, error) {
	return work.RuntimeReply{Clock: time.Second}, nil
}

// announcement returns a status report as a worker of the tests sends it.
func announcement(id string, startedAt int64, sequence uint64) work.Announcement {
	return work.Announcement{
		ID: id, StartedAtMS: startedAt, Sequence: sequence, Service: "s", Domain: "d", State: work.WorkerReady,
		Capacity: accelerators(8), Labels: []string{"b", "r1-1"}, Rack: "r1-1",
	}
}

// startRunner runs an agent beside the worker, whose report of the incarnation (i, 1000) it
// has got.
func startRunner(t *testing.T, worker work.Runtime) *Runner {
	r := New(Config{
		Name: "a", Store: standin.NewTransactions().View("a"), Runtime: worker, Log: zerolog.Nop(),
		Register: func(work.Registrar) http.Handler { return http.NotFoundHandler() },
	})
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = r.Run(ctx, l) }() // it ends with ctx
	t.Cleanup(func() { cancel(); <-r.Done() })
	r.Announce(announcement("i", 1000, 5))
	require.Eventually(t, func() bool { return r.reported().Worker != nil }, 10*time.Second, time.Millisecond)
	return r
}

// reported returns the present report for the leader.
func (r *Runner) reported() control.Report {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker.report(uptime.Now())
}

// Guards against a worker that is lost for good, with its runs, because a report that is not
// its own is taken for that of its next incarnation: nothing but the report has said so.
func TestForeignReportEndsNoIncarnation(t *testing.T) {
	for name, foreign := range map[string]work.Announcement{
		"another identifier, later start":   {ID: "f", StartedAtMS: 2000, Sequence: 1, Service: "another", State: work.WorkerReady},
		"another identifier, earlier start": {ID: "f", StartedAtMS: 500, Sequence: 1, Service: "another", State: work.WorkerReady},
		"another identifier, no start":      {ID: "f", Sequence: 1, Service: "another", State: work.WorkerReady},
		"the same service":                  announcement("f", 2000, 1),
		"own identifier, later start":       announcement("i", 2000, 1),
		"own identifier, earlier start":     announcement("i", 500, 1),
		"own identifier, no start":          announcement("i", 0, 1000),
		"own identifier, another service":   {ID: "i", StartedAtMS: 2000, Sequence: 9, Service: "another", State: work.WorkerDraining},
	} {
		t.Run(name, func(t *testing.T) {
			running := []work.RunStatus{{Key: key(0)}}
			r := startRunner(t, &restartingWorker{id: "i", startedAt: 1000, running: running})
			first := r.reported().Worker
			for sequence := range uint64(3) {
				r.Announce(foreign)
				require.Never(t, func() bool {
					report := r.reported()
					return report.Worker == nil || report.Worker.Incarnation != first.Incarnation || len(report.EndedIncarnations) > 0
				}, 50*time.Millisecond, time.Millisecond, "the incarnation replies")
				a := announcement("i", 1000, 6+sequence)
				a.Capacity = accelerators(int64(sequence) + 1)
				r.Announce(a)
				require.Equal(t, a.Capacity, r.reported().Worker.Capacity, "its reports count")
			}
			report := r.reported()
			require.Equal(t, running, report.Running)
			require.False(t, report.Worker.Unresponsive)
		})
	}
}

// Guards against the same while the worker does not reply, for a moment or because it
// refuses connections, and against an agent that has been started anew and gets the foreign
// report first.
func TestForeignReportBeforeWorkerReplies(t *testing.T) {
	for name, tc := range map[string]struct{ first bool }{
		"worker does not reply":   {},
		"first report that comes": {first: true},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &restartingWorker{id: "i", startedAt: 1000, running: []work.RunStatus{{Key: key(0)}}}
			r := startRunner(t, worker)
			if tc.first {
				r.mu.Lock()
				r.worker = newWorkerState("a", r.worker.fence)
				r.mu.Unlock()
			}
			worker.setMute(!tc.first)
			for _, id := range []string{"f", "i"} {
				r.Announce(announcement(id, 2000, 1000))
			}
			time.Sleep(50 * time.Millisecond)
			require.Empty(t, r.reported().EndedIncarnations)
			r.Announce(announcement("i", 1000, 6))
			worker.setMute(false)
			require.Eventually(t, func() bool {
				w := r.reported().Worker
				return w != nil && w.Incarnation == control.Incarnation("a", "i/1000") && w.Capacity == accelerators(8)
			}, 10*time.Second, time.Millisecond)
			r.Announce(announcement("i", 1000, 7))
			require.Len(t, r.reported().Running, 1)
		})
	}
}

// Guards against a next incarnation that is not recognised when the time of day was set
// back in between, or that gets the acknowledgements of the one before: it discards ends
// that nobody has recorded, and their tasks start again.
func TestNextIncarnationIsRecognised(t *testing.T) {
	for name, tc := range map[string]struct {
		id        string
		startedAt int64
		noReport  bool // only its replies show it
	}{
		"same identifier, later start":                {id: "i", startedAt: 2000},
		"same identifier, earlier start":              {id: "i", startedAt: 500},
		"another identifier, later start":             {id: "n", startedAt: 2000},
		"another identifier, earlier start":           {id: "n", startedAt: 500},
		"same identifier, later start, no report":     {id: "i", startedAt: 2000, noReport: true},
		"same identifier, earlier start, no report":   {id: "i", startedAt: 500, noReport: true},
		"another identifier with the start of before": {id: "n", startedAt: 1000},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &restartingWorker{id: "i", startedAt: 1000}
			r := startRunner(t, worker)
			first := r.reported().Worker.Incarnation
			r.mu.Lock()
			r.worker.applyLease(control.Orders{Incarnation: first, AckedSeq: 30})
			r.mu.Unlock()
			require.Eventually(t, func() bool { return worker.discardedSeq() == 30 }, 10*time.Second, time.Millisecond)

			worker.setMute(true) // its connections end
			require.Eventually(t, func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return r.worker.incarnationUncertain
			}, 10*time.Second, time.Millisecond)
			worker.restart(tc.id, tc.startedAt)
			worker.setMute(false)
			if !tc.noReport {
				r.Announce(announcement(tc.id, tc.startedAt, 1))
			}
			require.Eventually(t, func() bool {
				report := r.reported()
				return report.Worker != nil && report.Worker.Incarnation != first && len(report.EndedIncarnations) == 1 && report.EndedIncarnations[0] == first
			}, 10*time.Second, time.Millisecond)
			if !tc.noReport {
				require.Equal(t, accelerators(8), r.reported().Worker.Capacity)
			}
			time.Sleep(20 * time.Millisecond)
			require.Zero(t, worker.discardedSeq())
		})
	}
}
