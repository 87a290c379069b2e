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

// fillRacks fills all workers of the racks with runs of batch work.
func fillRacks(f []*schedule.Worker, change func(*schedule.Run), racks ...string) {
	for i, w := range f {
		for _, rack := range racks {
			if w.Rack == rack {
				addRun(w, fmt.Sprint("run", i), 2, accelerators(8), 10)
				change(&w.Runs[0])
			}
		}
	}
}

// Guards against batch work that waits for ever for capacity in a rack that is never
// released, because runs that do not end by themselves fill it, while other racks are
// free. It waits for capacity that will be released.
func TestBatchUnitDoesNotWaitForLongRunningRuns(t *testing.T) {
	longRunning := func(r *schedule.Run) { r.LongRunning = true }
	ending := func(*schedule.Run) {}
	single := work.Step{Count: 1, Shape: accelerators(1), DataRack: "r0"}
	service := work.Step{Count: 1, Shape: accelerators(1), DataRack: "r0", LongRunning: true}
	gang := work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true}
	dataGang := work.Step{Count: 2, Shape: accelerators(8), Gang: true, DataRack: "r0"}
	for name, c := range map[string]struct {
		step   work.Step
		fill   func(*schedule.Run)
		racks  []string
		reopen int // workers of the first rack without runs
		want   int
	}{
		"rack of the data":                          {single, longRunning, []string{"r0"}, 0, 1},
		"rack of the data, long-running unit":       {service, longRunning, []string{"r0"}, 0, 1},
		"rack of the data, ending runs":             {single, ending, []string{"r0"}, 0, 0},
		"rack of the data, runs are being stopped":  {single, func(r *schedule.Run) { r.LongRunning, r.Stopping = true, true }, []string{"r0"}, 0, 0},
		"rack of the data, stop is overdue":         {single, func(r *schedule.Run) { r.LongRunning, r.Stopping, r.StopOverdue = true, true, true }, []string{"r0"}, 0, 1},
		"gang at its data, one worker free":         {dataGang, longRunning, []string{"r0"}, 1, 2},
		"gang in one rack, others have ending runs": {gang, ending, []string{"r0", "r1"}, 1, 0},
		"gang in one rack, another rack is free":    {gang, longRunning, []string{"r0"}, 0, 3},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(6)
			fillRacks(f, c.fill, c.racks...)
			for _, w := range f[:c.reopen] {
				w.Runs = nil
			}
			plan := schedule.Decide(f, units(newJob("j", 2, c.step)), 0)
			require.Len(t, plan.Placements, c.want)
			require.Empty(t, plan.Stops)
		})
	}
}

// Guards against a gang that waits for ever for one rack although each rack has workers
// on which runs do not end by themselves.
func TestGangIsSpreadIfNoRackIsReleased(t *testing.T) {
	f := fleet(6)
	for _, i := range []int{0, 3} { // one worker of each rack
		addRun(f[i], fmt.Sprint("service", i), 2, accelerators(8), 10)
		f[i].Runs[0].LongRunning = true
	}
	gang := newJob("gang", 2, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true})
	require.Len(t, schedule.Decide(f, units(gang), 0).Placements, 3)
	f[0].Runs[0].LongRunning = false
	require.Empty(t, schedule.Decide(f, units(gang), 0).Placements, "the first rack will be free")
}

// Guards against an urgent gang that is spread over racks, where it takes three times as
// long, although a rack becomes free in a moment, and against one that waits longer than
// it would lose by that.
func TestUrgentGangAwaitsRackIfThatCostsLess(t *testing.T) {
	for name, c := range map[string]struct {
		endsIn  time.Duration
		waited  time.Duration
		anyRack bool
		starts  int
	}{
		"rack is free soon":          {500 * time.Millisecond, 0, false, 0},
		"rack is free after its due": {20 * time.Second, 0, false, 2},
		"end is not known":           {0, 0, false, 2},
		"loses something":            {4 * time.Second, 0, false, 0},
		"would expire meanwhile":     {500 * time.Millisecond, 20 * time.Second, false, 2},
		"may start in any rack":      {500 * time.Millisecond, 0, true, 2},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(6)
			for i, w := range f {
				if i%3 > 0 { // one free worker in each rack of three
					addRun(w, fmt.Sprint("urgent", i), 0, accelerators(8), 10)
					w.Runs[0].EndsIn = c.endsIn
				}
			}
			gang := units(newJob("gang", 0, work.Step{Count: 2, Shape: accelerators(8), Gang: true, SameRack: true}))
			gang[0].SpreadSlowdown, gang[0].Waited, gang[0].AnyRack = 3, c.waited, c.anyRack
			gang[0].Forecast = delay.Default().Forecast(delay.Job{Remaining: 5 * time.Second, UntilLate: 8 * time.Second, UntilExpired: 24 * time.Second})
			plan := schedule.Decide(f, gang, 0)
			require.Len(t, plan.Placements, c.starts)
			require.Empty(t, plan.Stops)
		})
	}
}
