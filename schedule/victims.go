package schedule

import (
	"cmp"
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

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
