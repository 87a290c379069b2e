package schedule

import (
	"cmp"
	"slices"
	"time"
)

// placedRun is a run on its worker, with the cost of preempting it.
type placedRun struct {
	*Run
	worker       *workerState
	index        int           // position in Worker.Runs
	gang         *[]*placedRun // the runs of its gang, or the run alone
	gangStopCost float64       // sum of Cost over gang
}

// maxBatchPreemptions bounds how often batch units stop runs of a job, which would
// otherwise start over again and again while gangs of a higher priority arrive.
const maxBatchPreemptions = 1

// preemptibleBy reports whether the run may be stopped for the unit, apart from its
// budget. Runs that are ending or within a guarantee may not. Of the others, these may:
// (1) runs of a lower priority, for a batch unit only if their job has been stopped less
// than maxBatchPreemptions times; (2) late urgent runs, for an urgent unit that can meet its
// deadline or is within a guarantee; (3) all urgent runs, for a unit within a guarantee
// that must start now or is AtRisk or worse.
func (r *Run) preemptibleBy(u *Unit) bool {
	if r.Stopping || r.EndsSoon || r.Guaranteed {
		return false
	}
	if u.Job.Priority > 0 && r.Preempted >= maxBatchPreemptions {
		return false
	}
	return r.Priority > u.Job.Priority || (r.Late && u.Job.Priority == 0 && u.effectiveTimeliness() <= AtRisk) || (u.Guaranteed && (u.MustStartNow || u.Timeliness > OnTime))
}

// indexRuns sets runsByCost of all workers and budgetWorkers. It runs once per pass,
// because the runs of a worker and their costs do not change during a pass.
func (p *pass) indexRuns() {
	if p.runsIndexed {
		return
	}
	p.runsIndexed = true
	p.budgetWorkers = make(map[*StopBudget][]*workerState)
	gangs := make(map[string]*[]*placedRun)
	for _, w := range p.workers {
		p.examined += len(w.Runs)
		for i := range w.Runs {
			run := &placedRun{Run: &w.Runs[i], worker: w, index: i}
			if run.gang = gangs[run.Gang]; run.gang == nil || run.Gang == "" {
				run.gang = new([]*placedRun)
				gangs[run.Gang] = run.gang
			}
			*run.gang = append(*run.gang, run)
			w.runsByCost = append(w.runsByCost, run)
			if run.Budget != nil {
				p.budgetWorkers[run.Budget] = append(p.budgetWorkers[run.Budget], w)
			}
		}
	}
	for _, w := range p.workers {
		for _, run := range w.runsByCost {
			for _, other := range *run.gang {
				run.gangStopCost += other.Cost
			}
		}
		slices.SortStableFunc(w.runsByCost, func(a, b *placedRun) int {
			return cmp.Or(cmp.Compare(a.gangStopCost, b.gangStopCost), -cmp.Compare(a.Priority, b.Priority))
		})
	}
}

// preemptIn stops runs in the set of workers where that costs least, if it costs less than
// the limit, and reserves their capacity for the unit. If the delay that the stops avoid
// costs less than the stops, the unit waits where it is expected to fit soonest, provided
// that it hardly loses by that and has not waited long enough for a rack.
func (p *pass) preemptIn(u *Unit, sets [][]*workerState, limit float64) bool {
	wait, soonest := time.Duration(0), []*workerState(nil)
	if !u.Guaranteed && u.Forecast.Known() {
		wait, soonest = p.soonestFit(u, sets)
		wait = u.expectedWait(wait)
		limit = min(limit, u.avoidedLoss(wait))
	}
	if best := p.cheapestPreemption(u, sets, limit, nil); best != nil {
		p.commit(u, best)
		return true
	}
	if soonest == nil || u.AnyRack || !u.canWait(wait) {
		return false
	}
	p.await(u, soonest)
	return true
}

// awaitFullSpeed reserves capacity for an urgent unit where it is expected to fit soonest
// at full speed, if the wait costs less than a start at once where the unit is slow.
func (p *pass) awaitFullSpeed(u *Unit, sets [][]*workerState) bool {
	if !u.mayPreempt() || u.Guaranteed || u.AnyRack || !u.Forecast.Known() {
		return false
	}
	wait, chosen := p.soonestFit(u, sets)
	if chosen == nil || u.Forecast.Loss(u.expectedWait(wait)) >= u.Forecast.Slowed(u.SpreadSlowdown).Loss(0) {
		return false
	}
	p.await(u, chosen)
	return true
}

// awaitSoonest reserves the capacity where an urgent unit for which no stop pays is
// expected to fit soonest. Without that, work of lower priority would take it, and the wait
// for which no stop pays would not end.
func (p *pass) awaitSoonest(u *Unit, sets, spread [][]*workerState) {
	if u.Guaranteed || !u.Forecast.Known() {
		return
	}
	_, chosen := p.soonestFit(u, sets)
	if chosen == nil {
		_, chosen = p.soonestFit(u, spread)
	}
	if chosen != nil {
		p.await(u, chosen)
	}
}

// cheapestPreemption returns the preemption that costs least, or nil if none costs less
// than the limit. With shared places, it may also move runs of the account of the unit.
func (p *pass) cheapestPreemption(u *Unit, sets [][]*workerState, limit float64, shared places) *preemption {
	p.indexRuns()
	var best *preemption
	for _, set := range sets {
		if candidate := p.planPreemption(u, set, limit, shared); candidate != nil {
			best, limit = candidate, candidate.cost
		}
	}
	return best
}

// commit adds the preemption to the plan. Stops are in the order of workers and runs.
func (p *pass) commit(u *Unit, pr *preemption) {
	slices.SortFunc(pr.victims, func(a, b *placedRun) int {
		return cmp.Or(cmp.Compare(a.worker.index, b.worker.index), cmp.Compare(a.index, b.index))
	})
	for _, victim := range pr.victims {
		victim.Stopping = true
		if victim.Budget != nil {
			victim.Budget.Left--
		}
		victim.worker.projectedFree = victim.worker.projectedFree.Add(victim.Demand)
		victim.worker.projectedNow = victim.worker.projectedNow.Add(victim.Demand)
		if victim.LongRunning && !victim.remains() {
			victim.worker.releasable = victim.worker.releasable.Add(victim.Demand)
		}
		p.plan.Stops = append(p.plan.Stops, Stop{RunKey: victim.Key, For: u.Job.ID, Cost: victim.Cost})
	}
	p.reserve(u, pr.chosen)
}
