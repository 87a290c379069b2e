package schedule

import (
	"cmp"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
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
	if best := p.cheapestPreemption(u, sets, limit); best != nil {
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
	p.reserve(u, chosen)
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
// than the limit.
func (p *pass) cheapestPreemption(u *Unit, sets [][]*workerState, limit float64) *preemption {
	p.indexRuns()
	var best *preemption
	for _, set := range sets {
		if candidate := p.planPreemption(u, set, limit, nil); candidate != nil {
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

// preemption collects the runs to stop for one unit.
type preemption struct {
	pass     *pass
	unit     *Unit
	demand   work.Shape
	optionOf map[*workerState]*workerOption
	isVictim map[*placedRun]bool
	stops    map[*StopBudget]int // victims by budget
	victims  []*placedRun
	chosen   []*workerState // one worker for each task of the unit
	moves    bool           // runs within the guarantee of the unit's account may be moved
	places   places         // with the victims and the tasks assigned so far
	cost     float64        // of stopping the victims
}

// workerOption is a worker considered for one more task of the unit.
type workerOption struct {
	worker        *workerState
	projectedFree work.Shape
	stepTasks     int
	upToDate      bool // victims, cost and feasible are valid
	victims       []*placedRun
	cost          float64
	feasible      bool
}

// planPreemption selects the runs of a set of workers to stop for the unit. It
// returns nil if the unit does not fit even then, or if the cost is not below the limit.
// Unless shared is nil, runs within the guarantee of the unit's account may be moved;
// shared are the places before any task of the unit is assigned.
func (p *pass) planPreemption(u *Unit, workers []*workerState, limit float64, shared places) *preemption {
	pr := &preemption{pass: p, moves: shared != nil, places: shared, unit: u, demand: Demand(u.step()), optionOf: make(map[*workerState]*workerOption, len(workers)), isVictim: make(map[*placedRun]bool), stops: make(map[*StopBudget]int)}
	options := make([]*workerOption, len(workers))
	for i, w := range workers {
		options[i] = &workerOption{worker: w, projectedFree: w.projectedFree}
		if u.step().MaxPerWorker > 0 {
			options[i].stepTasks = u.TasksByWorker[w.ID]
		}
		pr.optionOf[w] = options[i]
	}
	for range u.Indexes {
		option := pr.cheapestOption(options)
		if option == nil || pr.cost+option.cost >= limit {
			return nil
		}
		pr.assignTask(option)
	}
	if pr.moves && !pr.victimsFitElsewhere() {
		return nil
	}
	return pr
}

// cheapestOption returns the worker where one more task costs least, or nil if there
// is none.
func (pr *preemption) cheapestOption(options []*workerOption) *workerOption {
	var best *workerOption
	pr.pass.examined += len(options)
	for _, option := range options {
		if limit := pr.unit.step().MaxPerWorker; limit > 0 && option.stepTasks >= limit {
			continue
		}
		if !option.upToDate {
			pr.selectVictims(option)
		}
		if option.feasible && (best == nil || option.cost < best.cost) {
			best = option
		}
	}
	return best
}

// assignTask assigns a task to the worker and adds the victims that this needs.
func (pr *preemption) assignTask(option *workerOption) {
	victims, cost := option.victims, option.cost
	for _, victim := range victims {
		pr.addVictim(victim)
	}
	pr.cost += cost
	pr.chosen = append(pr.chosen, option.worker)
	option.projectedFree = option.projectedFree.Sub(pr.demand)
	option.stepTasks++
	option.upToDate = false
	if pr.moves { // which runs have another place depends on all tasks and victims
		pr.places = make(places)
		for _, other := range pr.optionOf {
			other.upToDate = false
		}
	}
}

// addVictim adds a run and all other members of its gang to the victims.
func (pr *preemption) addVictim(victim *placedRun) {
	for _, run := range *victim.gang {
		if !pr.endsWithVictim(run) {
			continue
		}
		pr.isVictim[run] = true
		pr.victims = append(pr.victims, run)
		if run.Budget != nil {
			pr.stops[run.Budget]++
			for _, w := range pr.pass.budgetWorkers[run.Budget] {
				if option := pr.optionOf[w]; option != nil {
					option.upToDate = false // its victims may exceed the budget now
				}
			}
		}
		if option := pr.optionOf[run.worker]; option != nil {
			option.projectedFree, option.upToDate = option.projectedFree.Add(run.Demand), false
		}
	}
}

// endsWithVictim reports whether the stop of a member of its gang would end the run.
func (pr *preemption) endsWithVictim(run *placedRun) bool {
	return !run.Stopping && !run.EndsSoon && !pr.isVictim[run]
}

// endsWithGang returns how many runs the stop of the run would end.
func (pr *preemption) endsWithGang(run *placedRun) int {
	n := 0
	for _, member := range *run.gang {
		if pr.endsWithVictim(member) {
			n++
		}
	}
	return n
}

// withinBudget reports whether a run may be stopped with its gang besides the victims and
// those that are selected for the present task.
func (pr *preemption) withinBudget(run *placedRun, selected []*placedRun) bool {
	if run.Budget == nil {
		return true
	}
	stops := pr.stops[run.Budget] + pr.endsWithGang(run)
	for i, victim := range selected {
		counted := victim.gang == run.gang || slices.ContainsFunc(selected[:i], func(other *placedRun) bool { return other.gang == victim.gang })
		if victim.Budget == run.Budget && !counted {
			stops += pr.endsWithGang(victim)
		}
	}
	return stops <= run.Budget.Left
}

// selectVictims selects the runs of a worker to stop for one more task, cheapest
// first, and adds up their cost. If small runs use up a budget before the task fits, the
// largest ones are selected first.
func (pr *preemption) selectVictims(option *workerOption) {
	option.upToDate, option.victims, option.cost, option.feasible = true, nil, 0, true
	if pr.demand.FitsIn(option.projectedFree) {
		return
	}
	byCost := option.worker.runsByCost
	if option.victims, option.feasible = pr.selectInOrder(option, byCost); !option.feasible && slices.ContainsFunc(byCost, func(run *placedRun) bool { return run.Budget != nil }) {
		bySize := slices.Clone(byCost)
		slices.SortStableFunc(bySize, func(a, b *placedRun) int { return cmp.Compare(b.Demand.Cores(), a.Demand.Cores()) })
		option.victims, option.feasible = pr.selectInOrder(option, bySize)
	}
	for _, victim := range option.victims {
		option.cost += victim.gangStopCost
	}
}

// selectInOrder selects runs of a worker in the given order until one more task fits. It
// returns nil and false if it does not fit even then.
func (pr *preemption) selectInOrder(option *workerOption, runs []*placedRun) ([]*placedRun, bool) {
	var selected []*placedRun
	remaining := option.projectedFree
	for _, run := range runs {
		pr.pass.examined++
		if pr.isVictim[run] || !pr.mayStop(run) || !pr.withinBudget(run, selected) {
			continue
		}
		selected = append(selected, run)
		if remaining = remaining.Add(run.Demand); pr.demand.FitsIn(remaining) {
			return dropUnneeded(selected, remaining, pr.demand), true
		}
	}
	return nil, false
}

// dropUnneeded removes the victims without whose capacity the demand still fits.
// The remaining capacity includes that of all victims.
func dropUnneeded(victims []*placedRun, remaining, demand work.Shape) []*placedRun {
	return slices.DeleteFunc(victims, func(victim *placedRun) bool {
		if reduced := remaining.Sub(victim.Demand); demand.FitsIn(reduced) {
			remaining = reduced
			return true
		}
		return false
	})
}
