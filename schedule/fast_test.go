package schedule_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// unequalFleet returns six workers in two racks. The first one of each rack is slow.
func unequalFleet() []*schedule.Worker {
	f := fleet(6)
	for i, w := range f {
		w.Speed, w.Slow = 1.4, i%3 == 0
		if w.Slow {
			w.Speed = 0.6
		}
	}
	return f
}

// Guards against urgent units that are late on slow workers although less is lost by a
// stop on a fast one, and against stops that cost more than that.
func TestUrgentUnitTriesFastWorkersFirst(t *testing.T) {
	for name, c := range map[string]struct {
		cost      float64 // core-seconds of the batch run on each fast worker
		afterStop float64
		mustStart bool
		slowTaken bool
		stops     int
		starts    []string
	}{
		"fast worker is free":        {-1, 0.9, false, false, 0, []string{"w01"}},
		"cheap stop":                 {100, 0.9, false, false, 1, nil},
		"costly stop":                {9000, 0.9, false, false, 0, []string{"w00"}},
		"costly stop, nothing free":  {9000, 0.9, false, true, 1, nil},
		"too late after a stop":      {100, 0, false, false, 0, []string{"w00"}},
		"has to start now":           {100, 0.9, true, false, 0, []string{"w00"}},
		"faster needed after a stop": {100, 1.5, false, false, 0, []string{"w00"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := unequalFleet()
			for i, w := range f {
				if c.cost >= 0 && (!w.Slow || c.slowTaken) {
					addRun(w, fmt.Sprint("batch", i), 2, accelerators(8), c.cost)
				}
			}
			u := units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)}))
			u[0].MinSpeed, u[0].MinSpeedAfterStop, u[0].MustStartNow = 0.8, c.afterStop, c.mustStart
			u[0].Forecast = delay.Default().Forecast(delay.Job{Remaining: 2 * time.Second, UntilLate: 3 * time.Second, UntilExpired: 9 * time.Second})
			plan := schedule.Decide(f, u, 0)
			require.Len(t, plan.Stops, c.stops)
			var starts []string
			for _, p := range plan.Placements {
				starts = append(starts, p.Worker)
			}
			require.Equal(t, c.starts, starts)
		})
	}
}

// Guards against gangs that waste fast workers: members wait for the slowest one.
func TestGangStartsOnAlikeWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		count int
		want  map[bool]int // starts by whether the worker is slow
	}{
		"fits on slow workers":   {2, map[bool]int{true: 2}},
		"fits on fast workers":   {4, map[bool]int{false: 4}},
		"fits on both only":      {5, map[bool]int{true: 2, false: 3}},
		"fits in the whole site": {6, map[bool]int{true: 2, false: 4}},
	} {
		t.Run(name, func(t *testing.T) {
			f := unequalFleet()
			slow := make(map[string]bool)
			for _, w := range f {
				slow[w.ID] = w.Slow
			}
			starts := make(map[bool]int)
			for _, p := range schedule.Decide(f, units(newJob("gang", 1, work.Step{Count: c.count, Shape: accelerators(8), Gang: true})), 0).Placements {
				starts[slow[p.Worker]]++
			}
			require.Equal(t, c.want, starts)
		})
	}
}

// Guards against single tasks that leave workers of unknown speed to urgent gangs, or that
// use several of their accelerators for a trial.
func TestSingleTasksTryWorkersOfUnknownSpeed(t *testing.T) {
	f := unequalFleet()
	f[1].Unproven, f[4].Unproven = true, true
	perWorker := make(map[string]int)
	for _, p := range schedule.Decide(f, units(newJob("batch", 2, work.Step{Count: 4, Shape: accelerators(1)})), 0).Placements {
		perWorker[p.Worker]++
	}
	require.Equal(t, map[string]int{"w01": 1, "w04": 1, "w00": 2}, perWorker)

	u := units(newJob("urgent", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true}))
	u[0].MinSpeed = 0.8
	for _, p := range schedule.Decide(f, u, 0).Placements {
		require.Contains(t, []string{"w02", "w05"}, p.Worker)
	}
}

// Guards against a last attempt of a gang on slow workers that are likelier to fail it than
// others, and against one on unlike workers where that is no sounder.
func TestCarefulGangPrefersSoundToAlikeWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		slowRisk float64
		slow     bool
	}{
		"slow workers are riskier": {0.1, false},
		"equal risks":              {0.01, true},
	} {
		t.Run(name, func(t *testing.T) {
			f := unequalFleet()
			for _, w := range f {
				w.FailureRisk = 0.01
				if w.Slow {
					w.FailureRisk = c.slowRisk
				}
			}
			u := units(newJob("gang", 1, work.Step{Count: 2, Shape: accelerators(8), Gang: true}))
			u[0].Careful = true
			for _, p := range schedule.Decide(f, u, 0).Placements {
				require.Equal(t, c.slow, p.Worker == "w00" || p.Worker == "w03")
			}
		})
	}
}
