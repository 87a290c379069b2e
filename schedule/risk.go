package schedule

import (
	"slices"

	"github.com/rosemarysill/rosemarysill/work"
)

// isTooRisky reports whether the unit may not start on a worker because that may fail it.
// A suspect worker has one run at a time until one has worked.
func (u *Unit) isTooRisky(w *Worker) bool {
	if u.AcceptsSuspects {
		return false
	}
	return (w.Suspect && w.Probing) || (u.MaxRisk > 0 && w.FailureRisk > u.MaxRisk)
}

// splitByRisk separates the workers that are too risky for the unit from the others. For a
// unit of which a run has failed, suspect workers are too risky unless all are suspect.
func (u *Unit) splitByRisk(workers []*workerState) (eligible, withheld []*workerState) {
	withoutSuspects := u.Failed && !u.AcceptsSuspects && slices.ContainsFunc(workers, func(w *workerState) bool { return !w.Suspect })
	for _, w := range workers {
		if u.isTooRisky(w.Worker) || (withoutSuspects && w.Suspect) {
			withheld = append(withheld, w)
		} else {
			eligible = append(eligible, w)
		}
	}
	return eligible, withheld
}

// recordWithheld adds the step of a unit that has not started to Plan.Withheld if it would fit with the
// workers that are too risky for it.
func (p *pass) recordWithheld(u *Unit) {
	step := StepKey{u.Job.ID, u.Occurrence, u.Step}
	if slices.Contains(p.plan.Withheld, step) {
		return
	}
	c := p.candidates(u)
	if len(c.withheld) > 0 && p.fits(u, slices.Concat(c.eligible, c.withheld), u.freeCapacity) {
		p.plan.Withheld = append(p.plan.Withheld, step)
	}
}

// safestSet returns the selection among the sets of workers on which a careful unit is
// least likely to fail, or nil if it fits in none.
func (p *pass) safestSet(u *Unit, sets [][]*workerState) []*workerState {
	var best []*workerState
	lowest := 0.0
	for _, set := range sets {
		chosen := p.selectWorkers(u, set, u.freeCapacity)
		if chosen == nil {
			continue
		}
		if risk := totalRisk(chosen); best == nil || risk < lowest {
			best, lowest = chosen, risk
		}
	}
	return best
}

// totalRisk returns the sum of the risks of the workers, each counted once. For small
// risks, it is the probability that one of them fails its run.
func totalRisk(chosen []*workerState) float64 {
	sum := 0.0
	for i, w := range chosen {
		if !slices.Contains(chosen[:i], w) {
			sum += w.FailureRisk
		}
	}
	return sum
}

// addedRisk returns the risk that one more task on a worker adds to the unit, shared by
// the tasks that the worker can take. A worker that has a task of the unit adds none, so
// that a gang is placed on few workers.
func (u *Unit) addedRisk(w *workerState, hasTask bool, remaining work.Shape, stepTasks, unplaced int) float64 {
	if hasTask {
		return 0
	}
	copies := maxCopies(Demand(u.step()), remaining, int64(unplaced))
	if limit := u.step().MaxPerWorker; limit > 0 {
		copies = min(copies, int64(limit-stepTasks))
	}
	return w.FailureRisk / float64(max(1, copies))
}
