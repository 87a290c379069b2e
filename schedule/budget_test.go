package schedule_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against more stops of a step than its budget allows, in one plan or for several
// units, and against a budget that is bound to certain runs, so that an urgent unit finds
// no worker although enough runs may be stopped.
func TestStopsAreWithinBudget(t *testing.T) {
	bounded := func(left int) func(f []*schedule.Worker) {
		return func(f []*schedule.Worker) {
			budget := &schedule.StopBudget{Left: left}
			for _, w := range f {
				for i := range w.Runs {
					w.Runs[i].Budget = budget
				}
			}
		}
	}
	whole := work.Step{Count: 1, Shape: accelerators(8)}
	for name, c := range map[string]struct {
		runs   [][]int64 // accelerators of the runs of each worker
		change func(f []*schedule.Worker)
		step   work.Step
		stops  int
	}{
		"no bound":                   {[][]int64{{8}, {8}}, func([]*schedule.Worker) {}, work.Step{Count: 2, Shape: accelerators(8)}, 2},
		"nothing left":               {[][]int64{{8}, {8}}, bounded(0), whole, 0},
		"less than nothing left":     {[][]int64{{8}, {8}}, bounded(-2), whole, 0},
		"one of two":                 {[][]int64{{8}, {8}}, bounded(1), work.Step{Count: 2, Shape: accelerators(8)}, 1},
		"two of two":                 {[][]int64{{8}, {8}}, bounded(2), work.Step{Count: 2, Shape: accelerators(8)}, 2},
		"gang needs two":             {[][]int64{{8}, {8}}, bounded(1), work.Step{Count: 2, Shape: accelerators(8), Gang: true}, 0},
		"two runs of one worker":     {[][]int64{{4, 4}}, bounded(1), whole, 0},
		"the larger run is enough":   {[][]int64{{1, 7}}, bounded(1), work.Step{Count: 1, Shape: accelerators(7)}, 1},
		"second worker has one run":  {[][]int64{{4, 4}, {8}}, bounded(1), whole, 1},
		"second worker has the last": {[][]int64{{8}, {8}}, func(f []*schedule.Worker) { bounded(1)(f); f[0].Runs[0].Guaranteed = true }, whole, 1},
		"gang of two, one left": {[][]int64{{8}, {8}}, func(f []*schedule.Worker) {
			bounded(1)(f)
			f[0].Runs[0].Gang, f[1].Runs[0].Gang = "g", "g"
		}, whole, 0},
		"gang of two, two left": {[][]int64{{8}, {8}}, func(f []*schedule.Worker) {
			bounded(2)(f)
			f[0].Runs[0].Gang, f[1].Runs[0].Gang = "g", "g"
		}, whole, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(len(c.runs))
			for i, runs := range c.runs {
				for n, a := range runs {
					addRun(f[i], "service", 2, accelerators(a), float64(a))
					f[i].Runs[n].Key.Task.Index = 10*i + n
					f[i].Runs[n].LongRunning = true
				}
			}
			c.change(f)
			plan := schedule.Decide(f, units(newJob("urgent", 0, c.step)), 0)
			require.Len(t, plan.Stops, c.stops)
		})
	}
}
