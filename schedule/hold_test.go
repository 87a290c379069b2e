package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// waitingGang returns a gang of priority 1 that needs three whole workers of one rack.
func waitingGang(id string, slack time.Duration) []*schedule.Unit {
	return withSlack(units(newJob(id, 1, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true})), slack)
}

// Guards against single tasks that take each part of a rack that becomes free, so that a
// gang never starts, and against capacity that stays idle although a task would end before
// the gang starts.
func TestCapacityIsHeldForBatchGang(t *testing.T) {
	const soon, later = 2 * time.Second, 6 * time.Second
	for name, c := range map[string]struct {
		slack      time.Duration
		timeliness schedule.Timeliness
		duration   time.Duration // of the single tasks
		priority   int           // of the single tasks
		runEndsIn  time.Duration
		want       int // single tasks that start
	}{
		"slack runs out":                       {time.Second, schedule.OnTime, later, 2, soon, 0},
		"much slack":                           {time.Minute, schedule.OnTime, later, 2, soon, 16},
		"task ends before the gang starts":     {time.Second, schedule.OnTime, soon, 2, soon, 16},
		"duration of the task is unknown":      {time.Second, schedule.OnTime, 0, 2, soon, 0},
		"task of higher priority":              {time.Second, schedule.OnTime, later, 0, soon, 16},
		"run of unknown duration in the rack":  {time.Second, schedule.OnTime, later, 2, 0, 16},
		"expired gang":                         {time.Second, schedule.Expired, later, 2, soon, 16},
		"late gang with time until its expiry": {-2 * time.Second, schedule.Late, later, 2, soon, 16},
		"late gang close to its expiry":        {-8 * time.Second, schedule.Expiring, later, 2, soon, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(3)
			addRun(f[0], "run", 1, accelerators(8), 10)
			f[0].Runs[0].EndsIn = c.runEndsIn
			gang := waitingGang("gang", c.slack)
			gang[0].Timeliness = c.timeliness
			small := units(newJob("small", c.priority, work.Step{Count: 16, Shape: accelerators(1)}))
			for _, u := range small {
				u.Duration = c.duration
			}
			plan := schedule.Decide(f, append(small, gang...), 0)
			require.Len(t, plan.Placements, c.want)
			require.Empty(t, plan.Stops)
		})
	}
}

// Guards against capacity that is held in a rack although another one releases it sooner,
// and against two gangs that count on the same capacity.
func TestCapacityIsHeldWhereGangFitsSoonest(t *testing.T) {
	f := fleet(9)
	for i, endsIn := range []time.Duration{4 * time.Second, time.Second, 3 * time.Second} {
		addRun(f[3*i], "run", 1, accelerators(8), 10)
		f[3*i].Runs[0].EndsIn = endsIn
	}
	small := units(newJob("small", 2, work.Step{Count: 60, Shape: accelerators(1)}))
	started := func(gangs ...*schedule.Unit) map[string]int {
		for _, u := range small {
			u.TasksByWorker = make(map[string]int)
		}
		return placementsByRack(f, schedule.Decide(f, append(gangs, small...), 0))
	}
	require.Equal(t, map[string]int{"r0": 16, "r2": 16}, started(waitingGang("a", time.Second)...))
	require.Equal(t, map[string]int{"r0": 16}, started(waitingGang("a", time.Second)[0], waitingGang("b", time.Second)[0]))
}

// Guards against preemption by a gang of priority 1 that costs more than it gains, of work
// of its own priority, or of one run again and again.
func TestBatchGangPreemptsOnlyIfItPays(t *testing.T) {
	for name, c := range map[string]struct {
		slack     time.Duration
		priority  int
		lostWork  float64
		preempted int
		stops     int
	}{
		"about to be late":       {500 * time.Millisecond, 2, 10, 0, 3},
		"much slack":             {time.Minute, 2, 10, 0, 0},
		"much work lost":         {500 * time.Millisecond, 2, 1e6, 0, 0},
		"run of its priority":    {500 * time.Millisecond, 1, 10, 0, 0},
		"urgent run":             {500 * time.Millisecond, 0, 10, 0, 0},
		"run was stopped before": {500 * time.Millisecond, 2, 10, 1, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(3)
			for _, w := range f {
				addRun(w, w.ID, c.priority, accelerators(8), c.lostWork)
				w.Runs[0].EndsIn, w.Runs[0].Preempted = 9*time.Second, c.preempted
			}
			plan := schedule.Decide(f, waitingGang("gang", c.slack), 0)
			require.Len(t, plan.Stops, c.stops)
		})
	}
}

// Guards against capacity of runs that were stopped for a batch gang and is taken by other
// work once they have ended.
func TestCapacityStoppedForBatchGangIsHeld(t *testing.T) {
	f := fleet(3)
	addRun(f[0], "stopping", 2, accelerators(8), 10)
	f[0].Runs[0].Stopping = true
	small := units(newJob("small", 2, work.Step{Count: 20, Shape: accelerators(1)}))
	require.Empty(t, schedule.Decide(f, append(small, waitingGang("gang", time.Minute)...), 0).Placements)
}

// Guards against capacity that is held for a gang and kept from a job that has to start
// now, and against a job of that kind that waits for its rack although it fits elsewhere.
func TestUnitThatMustStartNowUsesHeldCapacity(t *testing.T) {
	for name, mustStart := range map[string]bool{"can wait": false, "has to start now": true} {
		t.Run(name, func(t *testing.T) {
			f := fleet(1)
			addRun(f[0], "run", 1, accelerators(4), 10)
			f[0].Runs[0].EndsIn = 20 * time.Second
			gang := withSlack(units(newJob("gang", 1, work.Step{Count: 1, Shape: accelerators(8), Gang: true})), time.Second)
			small := units(newJob("small", 2, work.Step{Count: 1, Shape: accelerators(1)}))
			small[0].Duration, small[0].MustStartNow = time.Minute, mustStart
			require.Equal(t, mustStart, len(schedule.Decide(f, append(gang, small...), 0).Placements) == 1)

			f = fleet(6)
			for i, w := range f {
				if i%3 == 0 {
					addRun(w, w.ID, 0, accelerators(8), 1e6)
					w.Runs[0].EndsIn = 2 * time.Second
				}
			}
			urgent := withSlack(units(newJob("urgent", 0, work.Step{Count: 3, Shape: accelerators(8), Gang: true, SameRack: true})), time.Minute)
			urgent[0].MustStartNow = mustStart
			require.Equal(t, mustStart, len(schedule.Decide(f, urgent, 0).Placements) == 3)
		})
	}
}
