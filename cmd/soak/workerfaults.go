package main

import (
	"context"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// eventTimeout is how long a fault waits for the event at which it happens.
const eventTimeout = 2 * time.Second

func randomWorker(r *rand.Rand, s *system) *worker { return s.workers[r.IntN(agentCount)] }

// workerOf returns the worker at which an event happened.
func (s *system) workerOf(e standin.StepEvent) *worker {
	for _, w := range s.workers {
		if w.StepWorker == e.Worker {
			return w
		}
	}
	return nil
}

// leader returns the entry that leads, or any entry if that is not known.
func (s *system) leader(ctx context.Context) *node {
	rec, err := jobstore.ReadLeader(ctx, s.store.View("soak"))
	for _, n := range s.nodes[:entryCount] {
		if err == nil && n.Name == rec.Name {
			return n
		}
	}
	return s.nodes[0]
}

// refuseConnections makes the worker refuse connections while its runs go on, and
// close those that are open, or send no status reports.
func (w *worker) refuseConnections(ctx context.Context, d time.Duration, reset, silent bool) {
	w.node.workerProxy.refuse()
	if reset {
		w.node.workerProxy.reset()
	}
	w.set(func(w *worker) { w.silent = silent })
	uptime.Sleep(ctx, d)
	w.set(func(w *worker) { w.silent = false })
	printError(w.node.workerProxy.listen())
}

// startPlans are faults of the first starts of each run.
var startPlans = [][]standin.StartFault{
	{standin.StartLost},
	{standin.StartLost, standin.StartUnhealthy},
	{standin.StartLost, standin.StartUnhealthy, standin.StartUnhealthy, standin.StartUnhealthy},
	{standin.StartHeld, standin.StartUnhealthy},
	{standin.StartHeld, standin.StartDropped, standin.StartUnhealthy},
	{standin.StartHeld, standin.StartHeld},
	{standin.StartUnhealthy},
	{standin.StartDropped, standin.StartUnhealthy},
}

func (s *system) kill(n *node, downtime time.Duration) {
	n.trySignalFault(func(n *node) { printError(n.restart(s.program, syscall.SIGKILL, downtime)) })
}

func pause(ctx context.Context, n *node, d time.Duration) {
	n.trySignalFault(func(n *node) {
		printError(n.signal(syscall.SIGSTOP))
		uptime.Sleep(ctx, d)
		printError(n.signal(syscall.SIGCONT))
	})
}

// Names of faults that regressions leave out.
const (
	refusesConnections  = "worker refuses connections"
	outlivesIncarnation = "start outlives its incarnation"
)

// combined are faults on one worker, its agent and the entry that leads, which happen
// together.
var combined = []struct {
	name   string
	inject func(ctx context.Context, s *system, w *worker, leader *node, d time.Duration)
}{
	{"worker crashes", func(_ context.Context, _ *system, w *worker, _ *node, _ time.Duration) { w.Crash() }},
	{"worker born again", func(_ context.Context, _ *system, w *worker, _ *node, _ time.Duration) { w.Restart() }},
	{refusesConnections, func(ctx context.Context, _ *system, w *worker, _ *node, d time.Duration) {
		w.refuseConnections(ctx, d, true, d > time.Second)
	}},
	{"worker reset", func(_ context.Context, _ *system, w *worker, _ *node, _ time.Duration) { w.node.workerProxy.reset() }},
	{"worker cut one way", func(ctx context.Context, _ *system, w *worker, _ *node, d time.Duration) {
		withProxyMode(ctx, w.node.workerProxy, holdingResponses, d)
	}},
	{"agent pauses", func(ctx context.Context, _ *system, w *worker, _ *node, d time.Duration) { pause(ctx, w.node, 2*d) }},
	{"agent is killed", func(_ context.Context, s *system, w *worker, _ *node, d time.Duration) { s.kill(w.node, d) }},
	{"leader pauses", func(ctx context.Context, _ *system, _ *worker, leader *node, d time.Duration) {
		pause(ctx, leader, 2*d)
	}},
	{"leader is killed", func(_ context.Context, s *system, _ *worker, leader *node, d time.Duration) { s.kill(leader, d) }},
	{"store silent", func(ctx context.Context, _ *system, _ *worker, leader *node, d time.Duration) {
		withProxyMode(ctx, leader.storeProxy, holdingAll, d)
	}},
	{"store loses answers", func(ctx context.Context, s *system, _ *worker, leader *node, d time.Duration) {
		withStoreFault(ctx, s, leader.Name, standin.Losing, d)
	}},
}

// atEvent waits for an event and lets two or three of the combined faults happen at
// its worker, each after a short delay.
func atEvent(kind standin.StepEventKind) func(context.Context, *system, *rand.Rand) {
	return func(ctx context.Context, s *system, r *rand.Rand) {
		type part struct{ fault, delay, duration int }
		parts := make([]part, 2+r.IntN(2))
		for i := range parts {
			parts[i] = part{r.IntN(len(combined)), r.IntN(4) * r.IntN(150), 200 + r.IntN(2500)}
		}
		e, ok := s.events.next(ctx, kind, nil, eventTimeout)
		if !ok {
			return
		}
		w, leader := s.workerOf(e), s.leader(ctx)
		var wg sync.WaitGroup
		for _, p := range parts {
			wg.Go(func() {
				uptime.Sleep(ctx, time.Duration(p.delay)*time.Millisecond)
				if f := combined[p.fault]; s.kinds.has(f.name) {
					s.events.log(f.name + " at " + w.node.Name + ", leader " + leader.Name)
					f.inject(ctx, s, w, leader, time.Duration(p.duration)*time.Millisecond)
				}
			})
		}
		wg.Wait()
	}
}

// workerFaults are the faults of workers that crash, leave, shrink, refuse connections
// or lose single answers, and combinations at an event.
var workerFaults = []fault{
	{"worker crashes", func(_ context.Context, s *system, r *rand.Rand) { randomWorker(r, s).Crash() }},
	{refusesConnections, func(ctx context.Context, s *system, r *rand.Rand) {
		randomWorker(r, s).refuseConnections(ctx, randomDuration(r, 500, 5000), r.IntN(2) == 0, r.IntN(2) == 0)
	}},
	{"capacity changes", func(ctx context.Context, s *system, r *rand.Rand) {
		w := randomWorker(r, s)
		w.Resize(work.Shape{MilliCPU: 500 * int64(1+r.IntN(12)), MemoryMB: 8000, Accelerators: int64(r.IntN(8))})
		uptime.Sleep(ctx, randomDuration(r, 500, 9000))
		w.Resize(fullCapacity)
	}},
	{"worker leaves", func(ctx context.Context, s *system, r *rand.Rand) {
		randomWorker(r, s).leave(ctx, randomDuration(r, 0, 1500), randomDuration(r, 300, 2500), r.IntN(2) == 0, r.IntN(2) == 0)
	}},
	{"drain during a start", func(ctx context.Context, s *system, r *rand.Rand) {
		w := randomWorker(r, s)
		plan, drain, downtime := startPlans[r.IntN(len(startPlans))], randomDuration(r, 300, 3000), randomDuration(r, 300, 2500)
		newID, late := r.IntN(2) == 0, r.IntN(2) == 0
		w.SetStartFaults(randomDuration(r, 100, 1500), plan...)
		if _, ok := s.events.next(ctx, standin.StartCalled, w.StepWorker, eventTimeout); ok {
			w.leave(ctx, drain, downtime, newID, late)
		}
		w.SetStartFaults(0)
	}},
	{"starts unanswered", func(ctx context.Context, s *system, r *rand.Rand) {
		w := randomWorker(r, s)
		w.SetStartFaults(randomDuration(r, 100, 2500), startPlans[r.IntN(len(startPlans))]...)
		uptime.Sleep(ctx, randomDuration(r, 500, 4000))
		w.SetStartFaults(0)
	}},
	{outlivesIncarnation, func(ctx context.Context, s *system, r *rand.Rand) {
		w, delay, downtime, restart := randomWorker(r, s), time.Duration(r.IntN(4)*r.IntN(80))*time.Millisecond, randomDuration(r, 300, 3000), r.IntN(3) == 0
		w.SetStartFaults(randomDuration(r, 100, 3000), standin.StartHeld, standin.StartHeld)
		_, ok := s.events.next(ctx, standin.StartCalled, w.StepWorker, eventTimeout)
		uptime.Sleep(ctx, delay)
		switch {
		case ok && restart:
			w.Restart()
		case ok && w.End(false):
			time.Sleep(downtime)
			w.Begin(w.ID())
		}
		w.SetStartFaults(0)
	}},
	{"several faults at a start", atEvent(standin.RunStarted)},
	{"several faults at a start call", atEvent(standin.StartCalled)},
	{"several faults at an end", atEvent(standin.RunEnded)},
	{"several faults at a crash", atEvent(standin.WorkerDown)},
}
