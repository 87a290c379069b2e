package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// withSlack gives the units a deadline: their job takes 2 s and is late after the slack if
// it does not start.
func withSlack(all []*schedule.Unit, slack time.Duration) []*schedule.Unit {
	for _, u := range all {
		u.Forecast = delay.Default().Forecast(delay.Job{
			Priority: u.Job.Priority, Work: 100, Remaining: 2 * time.Second, UntilLate: 2*time.Second + slack, UntilExpired: 10*time.Second + slack, KnownDuration: true,
		})
		u.StopTime = 500 * time.Millisecond
		u.Density = u.Forecast.Density(100)
	}
	return all
}

// Guards against a burst of urgent jobs that stops batch work although runs end soon
// enough for them, and against urgent jobs that wait for runs although that makes them
// late.
func TestUrgentUnitPreemptsOnlyIfItPays(t *testing.T) {
	for name, c := range map[string]struct {
		slack, endsIn time.Duration
		guaranteed    bool
		lostWork      float64
		stops         int
	}{
		"slack, run ends in 300 ms":               {3 * time.Second, 300 * time.Millisecond, false, 100, 0},
		"no slack, run ends in 300 ms":            {0, 300 * time.Millisecond, false, 100, 0},
		"slack, run ends later":                   {3 * time.Second, 10 * time.Second, false, 100, 1},
		"no slack, run ends later":                {0, 5 * time.Second, false, 100, 1},
		"slack, end unknown":                      {3 * time.Second, 0, false, 100, 1},
		"slack, run ends in 300 ms, guaranteed":   {3 * time.Second, 300 * time.Millisecond, true, 100, 1},
		"much work lost, little gained":           {600 * time.Millisecond, 700 * time.Millisecond, false, 50000, 0},
		"much work lost, guaranteed":              {0, 3 * time.Second, true, 50000, 1},
		"much work lost, job would not be served": {0, 0, false, 1000, 1},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(1)
			addRun(f[0], "batch", 2, accelerators(8), c.lostWork)
			f[0].Runs[0].EndsIn = c.endsIn
			u := withSlack(units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), c.slack)
			u[0].Guaranteed = c.guaranteed
			require.Len(t, schedule.Decide(f, u, 0).Stops, c.stops)
		})
	}
}

// Guards against batch work that takes the capacity for which an urgent unit waits instead
// of preempting.
func TestCapacityWaitedForIsNotBackfilled(t *testing.T) {
	f := fleet(1)
	addRun(f[0], "ending", 2, accelerators(4), 100)
	f[0].Runs[0].EndsIn = 300 * time.Millisecond
	all := append(units(newJob("small", 2, work.Step{Count: 4, Shape: accelerators(1)})),
		withSlack(units(newJob("urgent", 0, work.Step{Count: 1, Shape: accelerators(8)})), 3*time.Second)...)
	plan := schedule.Decide(f, all, 0)
	require.Empty(t, plan.Stops)
	require.Empty(t, plan.Placements)
}

// Guards against an order of batch work in which a gang that has waited for most of its
// slack falls behind all others, and one that is about to become worthless behind those
// that are merely late.
func TestOrderOfBatchUnits(t *testing.T) {
	unit := func(id string, timeliness schedule.Timeliness, slack time.Duration) []*schedule.Unit {
		u := withSlack(units(newJob(id, 1, work.Step{Count: 1, Shape: accelerators(8)})), slack)
		u[0].Timeliness = timeliness
		return u
	}
	for name, c := range map[string]struct{ first, second []*schedule.Unit }{
		"at risk before on time":     {unit("b", schedule.AtRisk, 300*time.Millisecond), unit("a", schedule.OnTime, 5*time.Second)},
		"on time before expiring":    {unit("b", schedule.OnTime, 5*time.Second), unit("a", schedule.Expiring, -7*time.Second)},
		"expiring before late":       {unit("b", schedule.Expiring, -7*time.Second), unit("a", schedule.Late, -2*time.Second)},
		"late before expired":        {unit("b", schedule.Late, -2*time.Second), unit("a", schedule.Expired, -20*time.Second)},
		"less slack, both on time":   {unit("b", schedule.OnTime, time.Second), unit("a", schedule.OnTime, 3*time.Second)},
		"higher priority, even late": {unit("b", schedule.Late, -2*time.Second), withPriority(unit("a", schedule.OnTime, time.Second), 2)},
	} {
		t.Run(name, func(t *testing.T) {
			plan := schedule.Decide(fleet(1), append(c.second, c.first...), 0)
			require.Len(t, plan.Placements, 1)
			require.Equal(t, "b", plan.Placements[0].Task.Job)
		})
	}
}

func withPriority(all []*schedule.Unit, priority int) []*schedule.Unit {
	for _, u := range all {
		u.Job.Priority = priority
	}
	return all
}

// Guards against an account whose load goes before that of accounts that use less than
// their share, and against an order by shares that breaks the one by priority, guarantee or
// timeliness.
func TestAccountsBelowTheirShareGoFirst(t *testing.T) {
	whole := accelerators(8)
	share := func(used int64) *schedule.Share {
		return &schedule.Share{Used: accelerators(used), Capacity: work.Shape{MilliCPU: 96000, MemoryMB: 196608, Accelerators: 24}, Part: 0.5}
	}
	for name, c := range map[string]struct {
		used   int64 // accelerators of the account that would go first without shares
		change func(large, small *schedule.Unit)
		want   string
	}{
		"share is used up":               {12, func(_, _ *schedule.Unit) {}, "small"},
		"share is left":                  {11, func(_, _ *schedule.Unit) {}, "large"},
		"used up, within a guarantee":    {12, func(large, _ *schedule.Unit) { large.Guaranteed = true }, "large"},
		"used up, higher priority":       {12, func(large, _ *schedule.Unit) { large.Job.Priority = 0 }, "large"},
		"used up, the other one is late": {12, func(_, small *schedule.Unit) { small.Timeliness = schedule.Late }, "large"},
	} {
		t.Run(name, func(t *testing.T) {
			large, small := units(newJob("large", 1, work.Step{Count: 1, Shape: whole}))[0], units(newJob("small", 1, work.Step{Count: 1, Shape: whole}))[0]
			large.Share, small.Share = share(c.used), share(0)
			c.change(large, small)
			plan := schedule.Decide(fleet(1), []*schedule.Unit{large, small}, 0)
			require.Equal(t, c.want, plan.Placements[0].Task.Job)
		})
	}
	all := units(newJob("a", 1, work.Step{Count: 4, Shape: whole}))
	common := share(0)
	for _, u := range all {
		u.Share = common
	}
	other := units(newJob("b", 1, work.Step{Count: 1, Shape: whole}))
	other[0].Share = share(0)
	plan := schedule.Decide(fleet(3), append(all, other...), 0)
	require.Equal(t, "b", plan.Placements[2].Task.Job, "two units of the first account reach its share")
}
