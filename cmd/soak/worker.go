package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// announceInterval is the interval between status reports of a worker.
const announceInterval = 400 * time.Millisecond

// fullCapacity is the capacity of a worker that has not shrunk.
var fullCapacity = work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}

// worker is a simulated worker behind a proxy, which reports to the agent on its
// machine.
type worker struct {
	*standin.StepWorker
	node   *node
	labels []string

	mu        sync.Mutex
	draining  bool
	drained   int64  // incarnation that has reported that it drains
	silent    bool   // sends no status reports
	departure string // identifier whose departure is reported after the first report of the next incarnation
	left      int64  // incarnation that departure belongs to
}

// onDown refuses connections while the worker's process is gone.
func (w *worker) onDown(down bool) {
	if down {
		w.node.workerProxy.refuse()
		w.node.workerProxy.reset()
		return
	}
	printError(w.node.workerProxy.listen())
}

func (w *worker) set(f func(w *worker)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(w)
}

// announceWorkers sends the status reports of the workers until ctx ends.
func (s *system) announceWorkers(ctx context.Context) {
	var wg sync.WaitGroup
	for _, w := range s.workers {
		wg.Go(func() { w.announce(ctx) })
	}
	wg.Wait()
}

func (w *worker) announce(ctx context.Context) {
	announcer := platform.NewAnnouncer(w.node.Control)
	defer announcer.Close()
	var born int64
	var sequence uint64
	for ; ctx.Err() == nil; uptime.Sleep(ctx, announceInterval) {
		report, up := w.Report()
		w.mu.Lock()
		state, silent := work.WorkerReady, w.silent
		if w.draining {
			state = work.WorkerDraining
		}
		w.mu.Unlock()
		if !up || silent {
			continue
		}
		if report.Born != born {
			born, sequence = report.Born, 0
		}
		sequence++
		err := announcer.Announce(ctx, work.Announcement{
			ID: report.ID, StartedAtMS: report.Born, Sequence: sequence, Service: service, Address: w.node.Worker,
			Domain: w.node.Domain, State: state, Labels: w.labels, Capacity: report.Capacity,
		})
		if err != nil {
			continue // a lost report is followed by the next one
		}
		w.Reported(report)
		if state == work.WorkerDraining {
			w.set(func(w *worker) { w.drained = report.Born })
		}
		if id := w.takeDeparture(report.Born); id != "" {
			_ = announcer.Leave(ctx, id) // an agent that does not get it sees the next incarnation
		}
	}
}

// takeDeparture returns the identifier whose departure is due, if any, after a report
// of the incarnation.
func (w *worker) takeDeparture(born int64) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.departure == "" || born == w.left {
		return ""
	}
	id := w.departure
	w.departure = ""
	return id
}

// leave drains the worker for a while, ends its process and begins the next one after
// the downtime. Its departure is reported late, after the first report of the next
// incarnation, or before its end.
func (w *worker) leave(ctx context.Context, drain, downtime time.Duration, newID, late bool) {
	w.set(func(w *worker) { w.draining = true })
	uptime.Sleep(ctx, drain)
	id, born := w.ID(), w.Born()
	announced := false
	if !late {
		announcer := platform.NewAnnouncer(w.node.Control)
		announced = announcer.Leave(ctx, id) == nil
		announcer.Close()
	}
	w.set(func(w *worker) { announced = announced || w.drained == born })
	if !w.End(announced) {
		w.set(func(w *worker) { w.draining = false })
		return // it has crashed meanwhile
	}
	w.set(func(w *worker) {
		w.draining = false
		if late {
			w.departure, w.left = id, born
		}
	})
	time.Sleep(downtime)
	w.Begin(nextID(id, newID))
}

// randomRebirth returns how long a worker that has crashed is away, and its next
// identifier.
func randomRebirth(seed uint64) func(string) (time.Duration, string) {
	r := rand.New(rand.NewPCG(seed, 96))
	var mu sync.Mutex
	return func(id string) (time.Duration, string) {
		mu.Lock()
		defer mu.Unlock()
		return randomDuration(r, 500, 3500), nextID(id, r.IntN(2) == 0)
	}
}

// nextID returns the identifier of the incarnation after id.
func nextID(id string, newID bool) string {
	if !newID {
		return id
	}
	base, generation, _ := strings.Cut(id, "x")
	n, _ := strconv.Atoi(generation) // the first identifier has none
	return fmt.Sprintf("%sx%d", base, n+1)
}
