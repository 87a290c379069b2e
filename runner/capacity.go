package runner

import (
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

// reserve reserves the demand of a start that is about to be called and reports whether
// it fits the capacity that the worker announces, beside all runs that are at the worker
// or may still begin there. The leader decides earlier and by an older capacity, so this
// is the last check. A run of unknown demand leaves no capacity for others.
func (w *workerState) reserve(s work.Start) bool {
	if s.Demand == (work.Shape{}) {
		return true
	}
	w.pruneDemands()
	used := s.Demand
	for _, k := range w.occupants() {
		if k == s.Key {
			continue
		}
		d, ok := w.demands[k]
		if !ok {
			return false
		}
		used = used.Add(d)
	}
	if !used.FitsIn(w.announcement.Capacity) {
		return false
	}
	w.demands[s.Key], w.startsInFlight[s.Key] = s.Demand, true
	return true
}

// recordDemands takes the demands of runs from the leader's orders. After a restart, the
// agent does not know those of the runs that an earlier process has started.
func (w *workerState) recordDemands(reserved []control.Reservation) {
	for _, r := range reserved {
		w.demands[r.Key] = r.Demand
	}
}

// occupants returns the runs that take capacity of the worker: those that it lists and
// that have not ended, those whose start is being called, and those whose start got no
// reply and may still be carried out.
func (w *workerState) occupants() []work.RunKey {
	var keys []work.RunKey
	for _, run := range w.running {
		if !w.hasEnded(run.Key) {
			keys = append(keys, run.Key)
		}
	}
	for k := range w.startsInFlight {
		if !w.hasRun(k) {
			keys = append(keys, k)
		}
	}
	for k := range w.unansweredStarts {
		if w.mayStillStart(k) && !w.startsInFlight[k] {
			keys = append(keys, k)
		}
	}
	return keys
}

// mayStillStart reports whether a start of the run without a reply may be carried out
// yet. An accepted lease renewal with a higher fence would list the run if it had begun,
// and the worker refuses its start from then on.
func (w *workerState) mayStillStart(k work.RunKey) bool {
	f, ok := w.unansweredStarts[k]
	return ok && f >= w.renewedFence && !w.hasRun(k)
}

// pruneDemands removes the demands of runs that are no longer at the worker.
func (w *workerState) pruneDemands() {
	for k := range w.demands {
		if !w.hasRun(k) && !w.startsInFlight[k] && !w.mayStillStart(k) {
			delete(w.demands, k)
		}
	}
}

// recordCapacity records the announced capacity in the largest one of the incarnation.
func (w *workerState) recordCapacity() {
	if w.largestCapacityOf != w.incarnation() {
		w.largestCapacityOf, w.largestCapacity = w.incarnation(), work.Shape{}
	}
	c, l := w.announcement.Capacity, w.largestCapacity
	w.largestCapacity = work.Shape{MilliCPU: max(c.MilliCPU, l.MilliCPU), MemoryMB: max(c.MemoryMB, l.MemoryMB), Accelerators: max(c.Accelerators, l.Accelerators)}
}

// formerCapacity returns the largest capacity of the incarnation if it is not the
// announced one. It tells the leader that runs which no longer fit were within it.
func (w *workerState) formerCapacity() work.Shape {
	if w.largestCapacityOf != w.incarnation() || w.largestCapacity == w.announcement.Capacity {
		return work.Shape{}
	}
	return w.largestCapacity
}
