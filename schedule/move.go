package schedule

import (
	"math"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// maxMoves bounds how often a run within a guarantee is moved for another one, so that no
// two units of an account move each other in turn.
const maxMoves = 1

// movableFor reports whether the run may be stopped for a unit of the same account within
// the guarantee, because it will start again elsewhere.
func (r *Run) movableFor(u *Unit) bool {
	return r.Guaranteed && r.Account == u.Job.Account && r.Key.Task.Job != u.Job.ID && !r.LongRunning && !r.Advised && !r.Stopping && !r.EndsSoon && r.Preempted < maxMoves
}

// mayStop reports whether the run may be stopped for the unit, apart from its budget.
func (pr *preemption) mayStop(run *placedRun) bool {
	return run.preemptibleBy(pr.unit) || (pr.moves && run.movableFor(pr.unit) && pr.fitsElsewhere(run))
}

// placeKey identifies runs that fit on the same workers.
type placeKey struct {
	demand         work.Shape
	service, label string
}

// places are up to two workers on which a run fits on its own, which shows for a run on any
// worker whether it fits on another one. They are searched once for equal runs: a search for each
// run took 200 ms for one unit on 1,100 workers.
type places map[placeKey][]*workerState

// fitsElsewhere reports whether the run fits on another worker on its own.
func (pr *preemption) fitsElsewhere(run *placedRun) bool {
	key := placeKey{run.Demand, run.worker.Service, run.RequiredLabel}
	found, ok := pr.places[key]
	if !ok {
		for _, w := range pr.pass.workers {
			pr.pass.examined += 1 + len(w.runsByCost)
			if w.mayRun(run) && run.Demand.FitsIn(pr.reclaimable(w)) {
				if found = append(found, w); len(found) == 2 {
					break
				}
			}
		}
		pr.places[key] = found
	}
	return slices.ContainsFunc(found, func(w *workerState) bool { return w != run.worker })
}

// moveRuns makes room for a unit within a guarantee whose capacity is left in pieces on
// several workers: it stops runs of the same account that will fit in other pieces. It is
// the last resort of a unit that has to start now or is at risk.
func (p *pass) moveRuns(u *Unit, sets, spread [][]*workerState) bool {
	if !u.Guaranteed || (!u.MustStartNow && u.Timeliness == OnTime) {
		return false
	}
	best := p.cheapestPreemption(u, slices.Concat(sets, spread), math.Inf(1), make(places))
	if best == nil {
		return false
	}
	p.commit(u, best)
	return true
}

// victimsFitElsewhere reports whether the victims within the guarantee will fit on workers
// of their service, with what the unit leaves there and the capacity of runs that may be
// stopped for them.
func (pr *preemption) victimsFitElsewhere() bool {
	left := make(map[*workerState]work.Shape)
	for _, victim := range pr.victims {
		if victim.Guaranteed && !pr.placeElsewhere(victim, left) {
			return false
		}
	}
	return true
}

// placeElsewhere takes the demand of a victim from what is left on the first worker with
// enough.
func (pr *preemption) placeElsewhere(victim *placedRun, left map[*workerState]work.Shape) bool {
	for _, w := range pr.pass.workers {
		if !w.mayRun(victim) {
			continue
		}
		if _, ok := left[w]; !ok {
			left[w] = pr.reclaimable(w)
		}
		if victim.Demand.FitsIn(left[w]) {
			left[w] = left[w].Sub(victim.Demand)
			return true
		}
	}
	return false
}

// mayRun reports whether the worker, if there is room, may get a run of another one.
func (w *workerState) mayRun(run *placedRun) bool {
	return w.Schedulable && w.Service == run.worker.Service && (run.RequiredLabel == "" || slices.Contains(w.Labels, run.RequiredLabel))
}

// reclaimable returns the capacity of the worker that is not used within guarantees once
// the unit has started.
func (pr *preemption) reclaimable(w *workerState) work.Shape {
	free := w.projectedFree
	for _, run := range w.runsByCost {
		if pr.isVictim[run] || (run.keepsCapacity() && run.preemptibleBy(pr.unit)) {
			free = free.Add(run.Demand)
		}
	}
	for _, chosen := range pr.chosen {
		if chosen == w {
			free = free.Sub(pr.demand)
		}
	}
	return free
}
