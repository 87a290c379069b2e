// Package schedule decides which tasks run on which workers, and which runs are
// preempted for them. Decisions depend only on their arguments: the package reads no
// clock and does no I/O. Urgent work has priority 0; all other work is batch work. A
// unit is deferrable if Deferrable is set.
package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Run is an execution of a task that occupies capacity of a worker.
type Run struct {
	Key           work.RunKey
	Demand        work.Shape
	MilliCPU      int64 // declared, also if Demand has none because the run is best-effort
	Priority      int
	Guaranteed    bool          // within the guaranteed capacity of its client account
	Account       string        // client account of its job
	RequiredLabel string        // label that its worker must have
	Advised       bool          // only workers that the advice service returns may run it
	Gang          string        // identifies the gang, whose runs end together; empty if not in a gang
	Cost          float64       // of stopping it, by delay.Model.CostOfStop; in a gang, its share
	EndsIn        time.Duration // expected time until it ends by itself; 0 if unknown
	Late          bool          // urgent, and its job is expected to miss its deadline
	LongRunning   bool          // does not end by itself
	Stopping      bool
	StopOverdue   bool        // was told to stop and has not ended within the time allowed
	EndsSoon      bool        // expected to end by itself no later than a stop would end it
	Preempted     int         // times that the task has been stopped for others
	Budget        *StopBudget // nil if its step has no bound
}

// StopBudget bounds how many runs of a step may be stopped. The runs of the step share
// it.
type StopBudget struct {
	Left int // runs that may be stopped now; may be negative
}

// remains reports whether the run neither ends by itself nor is being stopped, as far as
// can be expected.
func (r *Run) remains() bool { return r.LongRunning && (r.StopOverdue || !r.Stopping) }

// Worker is the state of a worker that is connected to the leader.
type Worker struct {
	ID              string // of the worker's incarnation
	Service         string
	Domain          string
	Rack            string
	Labels          []string
	Capacity        work.Shape
	Schedulable     bool    // accepts new tasks
	Suspect         bool    // probably fails the next run; it gets one run at a time until one has worked
	Probing         bool    // suspect, and a run there has not shown yet whether it fails
	FailureRisk     float64 // probability that it fails the next run
	StartedRecently bool    // a run has just started there, so that a crash would not point to another one
	Speed           float64 // relative to the mean of its service; 0 counts as 1, if it is unknown
	Slow            bool    // too slow for the objectives of some of its service's work; other work prefers it
	Unproven        bool    // its speed is not known, while many others are too slow for some work
	Runs            []Run
}

// speed returns the speed of the worker, 1 if it is unknown.
func (w *Worker) speed() float64 { return cmp.Or(w.Speed, 1) }

// needsTrial reports whether a first run would show the speed of the worker. Later ones
// in the same pass show nothing more.
func (w *workerState) needsTrial() bool { return w.Unproven && len(w.Runs) == 0 && !w.hasStarts }

// alignGangEnds clears EndsSoon for members of a gang that has a slower member, and sets
// EndsIn to that of the slowest one, because the runs of a gang end together.
func alignGangEnds(workers []*Worker) {
	endsLater := make(map[string]bool)
	ends := make(map[string]time.Duration)
	unknown := make(map[string]bool)
	for _, w := range workers {
		for _, r := range w.Runs {
			if r.Gang != "" && !r.EndsSoon && !r.Stopping {
				endsLater[r.Gang] = true
			}
			if r.Gang != "" {
				ends[r.Gang] = max(ends[r.Gang], r.EndsIn)
				unknown[r.Gang] = unknown[r.Gang] || (r.EndsIn == 0 && !r.EndsSoon)
			}
		}
	}
	for _, w := range workers {
		for i := range w.Runs {
			r := &w.Runs[i]
			r.EndsSoon = r.EndsSoon && !endsLater[r.Gang]
			if unknown[r.Gang] {
				r.EndsIn = 0
			} else if r.Gang != "" {
				r.EndsIn = ends[r.Gang]
			}
		}
	}
}

// Demand returns the capacity that a task of the step reserves on its worker. A
// best-effort step reserves no processor time and uses what is idle.
func Demand(s work.Step) work.Shape {
	d := s.Shape
	if s.BestEffort {
		d.MilliCPU = 0
	}
	return d
}

// workerState is a worker with its free capacity during a pass.
type workerState struct {
	*Worker
	index         int          // position in pass.workers
	rackIndex     int          // of the rack, by first occurrence in pass.workers
	free          work.Shape   // not used by runs, less reservations beyond what ending ones release
	projectedFree work.Shape   // after runs that stop or end soon, less all reservations
	freeNow       work.Shape   // like free, without what units wait for until runs end by themselves
	projectedNow  work.Shape   // like projectedFree, without the same
	releasable    work.Shape   // after all runs that end by themselves or are being stopped
	freeCores     float64      // free, in cores; 0 if a resource is lacking
	idleMilliCPU  int64        // not declared by any run, best-effort ones included
	runsByCost    []*placedRun // ascending by gangStopCost; set by indexRuns
	ends          []*Run       // runs whose end is expected, ascending by EndsIn; set by indexEnds
	endsIndexed   bool
	held          bool          // a batch gang will start here after heldUntil
	heldUntil     time.Duration // from now
	spare         work.Shape    // expected to be free after heldUntil, less what is held
	keptForUrgent bool          // not available to deferrable single tasks without a DataRack
	keptFromGangs bool          // not available to deferrable gangs without a DataRack
	lossCost      float64       // of losing all runs with the worker
	hasStarts     bool          // a run starts there in this pass
}

func newWorkerState(w *Worker) *workerState {
	state := &workerState{Worker: w, free: w.Capacity, projectedFree: w.Capacity, releasable: w.Capacity, idleMilliCPU: w.Capacity.MilliCPU}
	for i := range w.Runs {
		run := &w.Runs[i]
		state.free = state.free.Sub(run.Demand)
		state.idleMilliCPU -= run.MilliCPU
		state.lossCost += run.Cost
		if run.StopOverdue || (!run.Stopping && !run.EndsSoon) {
			state.projectedFree = state.projectedFree.Sub(run.Demand)
		}
		if run.remains() {
			state.releasable = state.releasable.Sub(run.Demand)
		}
	}
	state.freeNow, state.projectedNow = state.free, state.projectedFree
	state.freeCores = usableCores(state.free)
	return state
}

// usableCores returns the size of free capacity in cores. A worker that has shrunk below
// what its runs take lacks some resource, and then no task fits there.
func usableCores(free work.Shape) float64 {
	if !(work.Shape{}).FitsIn(free) {
		return 0
	}
	return free.Cores()
}

// reserve sets a demand aside for a unit that starts once runs have ended. It takes
// capacity that is about to be released first, and free capacity for the rest.
func (w *workerState) reserve(d work.Shape) {
	w.await(d)
	w.projectedNow = w.projectedNow.Sub(d)
	w.freeNow = minShape(w.freeNow, w.projectedNow)
}

// await sets a demand aside for a unit that waits until runs end by themselves, which may
// take some seconds. Units that have to start now may use it.
func (w *workerState) await(d work.Shape) {
	w.projectedFree = w.projectedFree.Sub(d)
	w.free = minShape(w.free, w.projectedFree)
	w.freeCores = usableCores(w.free)
}

// allocate assigns a demand to a task of the unit that starts now.
func (w *workerState) allocate(u *Unit, d work.Shape) {
	w.projectedFree = w.projectedFree.Sub(d)
	w.free = w.free.Sub(d)
	w.projectedNow, w.freeNow = w.projectedNow.Sub(d), w.freeNow.Sub(d)
	w.freeCores = usableCores(w.free)
	if w.held && !u.endsWithin(w.heldUntil) {
		w.spare = w.spare.Sub(d)
	}
}

// hold keeps capacity that is expected to be free after the wait for a unit. Other units
// use it until then if they end by then.
func (w *workerState) hold(wait time.Duration, d work.Shape) {
	if !w.held {
		w.held, w.heldUntil, w.spare = true, wait, w.capacityAfter(wait)
	}
	w.spare = w.spare.Sub(d)
}

// freeFor returns the free capacity that a task of the unit may use. A unit that has to
// start now may use what is held or awaited: with a wait of some seconds on the only worker
// with its label, a job would wait beside idle capacity.
func (w *workerState) freeFor(u *Unit) work.Shape {
	if u.MustStartNow {
		return w.freeNow
	}
	if !w.held || u.endsWithin(w.heldUntil) {
		return w.free
	}
	return minShape(w.free, w.spare)
}

// isolate keeps the worker for the tasks that it has. Nothing else starts there or is
// reserved.
func (w *workerState) isolate() {
	w.free, w.projectedFree, w.freeCores = work.Shape{}, work.Shape{}, 0
	w.freeNow, w.projectedNow = work.Shape{}, work.Shape{}
}

func minShape(a, b work.Shape) work.Shape {
	return work.Shape{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB),
		Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

// canRun reports whether the worker, if empty, could run a task of the step.
func (w *workerState) canRun(j *work.Job, s work.Step) bool {
	return w.Service == j.Service && Demand(s).FitsIn(w.Capacity) &&
		(s.RequiredLabel == "" || slices.Contains(w.Labels, s.RequiredLabel))
}
