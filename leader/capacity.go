package leader

import (
	"cmp"
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// addUnplacedRuns adds the reported runs that are not placed on the worker, which take
// capacity until the worker lists their end. It reports whether the demand of all is
// known. That of a run whose job has no record is not, so that nothing fits for sure
// until it has ended.
func (t *term) addUnplacedRuns(sw *schedule.Worker, w *workerState) bool {
	known := true
	for _, run := range w.running {
		if _, placed := w.placedAt[run.Key]; placed {
			continue
		}
		s, task := t.task(run.Key)
		if task == nil {
			known = false
			continue
		}
		step := s.job.Steps[run.Key.Task.Step]
		sw.Runs = append(sw.Runs, schedule.Run{Key: run.Key, Demand: schedule.Demand(step), MilliCPU: step.Shape.MilliCPU, Stopping: true})
	}
	return known
}

// reservations returns the capacity that each reported run of a known job takes.
func (t *term) reservations(w *workerState) []control.Reservation {
	var reserved []control.Reservation
	for _, run := range w.running {
		if s, task := t.task(run.Key); task != nil {
			reserved = append(reserved, control.Reservation{Key: run.Key, Demand: schedule.Demand(s.job.Steps[run.Key.Task.Step])})
		}
	}
	return reserved
}

// reportedDemand returns the capacity that the reported runs of a worker take, including
// runs that are being stopped and orphans. Runs of unknown jobs are left out, because
// nothing is known about their shape.
func (t *term) reportedDemand(w *workerState) work.Shape {
	var demand work.Shape
	for _, run := range w.running {
		if s, task := t.task(run.Key); task != nil {
			demand = demand.Add(schedule.Demand(s.job.Steps[run.Key.Task.Step]))
		}
	}
	return demand
}

// excess tells why the reported runs of a worker exceed its capacity.
type excess int

const (
	noExcess     excess = iota
	shrunkExcess        // they fitted when the last task was placed there, and the capacity has shrunk since
	placedExcess        // they did not; placement rules that out
)

// excessOf returns why the demand of the reported runs exceeds the capacity. All runs at
// a worker fitted the capacity that was known when the last task was placed there, or
// else the largest one that its agent has known, and ends only take from their demand.
func (w *workerState) excessOf(demand work.Shape) excess {
	switch {
	case demand.FitsIn(w.Capacity), w.placedUnder == work.Shape{}: // the latter: no capacity is announced yet
		return noExcess
	case demand.FitsIn(w.placedUnder):
		return shrunkExcess
	default:
		return placedExcess
	}
}

// checkCapacity logs what is known about a worker whose reported runs exceed its
// capacity. It logs once until the reason changes or the excess has ended.
func (t *term) checkCapacity(w *workerState, now time.Time) {
	demand := t.reportedDemand(w)
	reason := w.excessOf(demand)
	e := event.LeaderOvercommitted
	if reason == shrunkExcess {
		e = event.LeaderShrunk
	}
	if reason != noExcess && reason != w.excess {
		e.Log(t.cfg.Log).Str("Worker", w.Incarnation).Interface("Capacity", w.Capacity).Interface("PlacedUnder", w.placedUnder).Interface("Demand", demand).
			Strs("Running", t.describeRuns(w, now)).Dur("SinceElection", now.Sub(t.elected)).Uint64("Epoch", t.rec.Epoch).
			Bool("Draining", w.Draining).Bool("Unresponsive", w.Unresponsive).Uint64("AppliedSeq", w.appliedSeq).Uint64("CommittedSeq", w.committedSeq).Send()
	}
	w.excess = reason
}

// updateCapacity applies a change of the capacity of a worker that has reported before
// with the given one. The report has been taken over.
func (t *term) updateCapacity(w *workerState, before work.Shape, now time.Time) {
	if w.Capacity == before {
		return
	}
	w.noCapacityUntil = time.Time{} // the refusal was about the earlier capacity
	w.placedUnder = cmp.Or(w.placedUnder, w.Capacity)
	event.LeaderCapacity.Log(t.cfg.Log).Str("Worker", w.Incarnation).Str("Agent", w.agent).Interface("Before", before).Interface("Capacity", w.Capacity).
		Interface("Demand", t.reportedDemand(w)).Strs("Running", t.describeRuns(w, now)).Send()
}

// describeRuns describes the reported runs of a worker, with the times since they were
// placed and since their stop was requested.
func (t *term) describeRuns(w *workerState, now time.Time) []string {
	runs := make([]string, 0, len(w.running))
	for _, run := range w.running {
		text := fmt.Sprintf("%s %v %d%%", run.Key.Task.Job, run.Key, run.Percent)
		if at, ok := w.placedAt[run.Key]; ok {
			text += fmt.Sprintf(" placed %v ago", now.Sub(at).Round(time.Millisecond))
		}
		if at, ok := w.stopRequestedAt[run.Key]; ok {
			text += fmt.Sprintf(" stop requested %v ago", now.Sub(at).Round(time.Millisecond))
		}
		if w.orphans[run.Key] {
			text += " orphan"
		}
		if _, task := t.task(run.Key); task != nil {
			text += fmt.Sprintf(" task: run %d on %q", task.Run, task.Worker)
		}
		runs = append(runs, text)
	}
	return runs
}
