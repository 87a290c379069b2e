package leader

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against long-running tasks that are never stopped although their step has no
// bound, and against more unavailable tasks than the bound allows.
func TestStopBudget(t *testing.T) {
	for name, c := range map[string]struct {
		step    work.Step
		percent []int // of the placed tasks
		left    int
		bounded bool
		mayStop bool
	}{
		"batch":                  {work.Step{Count: 2, MaxUnavailable: 1}, []int{5, 5}, 0, false, true},
		"no bound":               {work.Step{Count: 2, LongRunning: true}, []int{100, 100}, 0, false, true},
		"all at work":            {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 2}, []int{100, 100, 100}, 2, true, true},
		"one starts":             {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 2}, []int{100, 99, 100}, 1, true, true},
		"one waits":              {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 1}, []int{100, 100}, 0, true, false},
		"more than allowed":      {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 1}, []int{0}, -2, true, false},
		"gang":                   {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 2, Gang: true}, []int{100, 100, 100}, 2, true, false},
		"gang that may be ended": {work.Step{Count: 3, LongRunning: true, MaxUnavailable: 3, Gang: true}, []int{100, 100, 100}, 3, true, true},
	} {
		t.Run(name, func(t *testing.T) {
			j := &work.Job{ID: "j", Steps: []work.Step{c.step}}
			s := &jobState{job: j, progress: work.NewProgress(j)}
			for i, percent := range c.percent {
				s.progress.Place(&s.progress.Tasks[i], "w", "", 1)
				s.progress.Tasks[i].Percent = percent
			}
			left, bounded := s.stopBudget(work.TaskKey{Job: "j"})
			require.Equal(t, c.bounded, bounded)
			require.Equal(t, c.left, left)
			require.Equal(t, c.mayStop, s.mayStop(work.TaskKey{Job: "j"}))
		})
	}
}
