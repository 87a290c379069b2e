package leader

import (
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// stopBudget returns how many tasks of a step may be stopped now, and false if that has
// no bound. It has one for long-running steps with MaxUnavailable: that number less the
// tasks that are unavailable, which are those not placed, stopping, or below 100 percent.
func (s *jobState) stopBudget(k work.TaskKey) (int, bool) {
	step := s.job.Steps[k.Step]
	if !step.LongRunning || step.MaxUnavailable == 0 {
		return 0, false
	}
	tasks := s.progress.Step(s.job, k.Occurrence, k.Step)
	budget := step.MaxUnavailable
	for i := range tasks {
		if !tasks[i].Placed() || tasks[i].Stopping || tasks[i].Percent < completePercent {
			budget--
		}
	}
	return budget, true
}

// mayStop reports whether a run may be stopped together with its gang.
func (s *jobState) mayStop(k work.TaskKey) bool {
	budget, bounded := s.stopBudget(k)
	if !bounded {
		return true
	}
	if s.job.Steps[k.Step].Gang {
		return budget >= s.job.Steps[k.Step].Count
	}
	return budget > 0
}

// stopBudgets holds the budgets of the steps of which a scheduling pass may stop runs.
type stopBudgets map[stepKey]*schedule.StopBudget

// of returns the budget of the step of a task, or nil if it has no bound.
func (b stopBudgets) of(s *jobState, k work.TaskKey) *schedule.StopBudget {
	key := keyOfStep(k)
	if budget, ok := b[key]; ok {
		return budget
	}
	if n, bounded := s.stopBudget(k); bounded {
		b[key] = &schedule.StopBudget{Left: n}
	}
	return b[key]
}
