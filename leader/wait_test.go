package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against units that wait without a bound for a rack or for capacity that is kept
// free, held or expected, and against units that run where they are slower although their
// rack is released sooner.
func TestWaitsEnd(t *testing.T) {
	const estimate = 10 * time.Second
	const short, long = maxIdleWait + time.Millisecond, estimate + time.Millisecond // with a slowdown of 2
	batch, service := work.Step{Count: 2, Estimate: estimate}, work.Step{Count: 2, LongRunning: true}
	for name, c := range map[string]struct {
		step       work.Step
		accels     int64 // in use, of 8
		waits      time.Duration
		hasRun     bool
		anyRack    bool
		deferrable bool
		startsNow  bool
	}{
		"idle service":                      {batch, 3, maxIdleWait, false, false, true, false},
		"idle service, overdue":             {batch, 3, short, false, true, false, true},
		"idle service, job has a run":       {batch, 3, short, true, false, true, false},
		"busy service":                      {batch, 4, short, false, false, true, false},
		"busy service, longer than it runs": {batch, 4, long, false, true, true, false},
		"busy service, no estimate":         {work.Step{Count: 2}, 8, short, false, true, true, false},
		"long-running":                      {service, 8, maxIdleWait, false, false, true, false},
		"long-running, overdue":             {service, 8, short, false, true, false, false},
		"long-running, idle service":        {service, 3, short, false, true, false, true},
		"long-running, job has a run":       {service, 8, short, true, true, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			j := &work.Job{ID: "j", Service: "s", Steps: []work.Step{c.step}}
			term := newTerm(Config{}.withDefaults(), jobstore.LeaderRecord{}, 1, 1, uptime.Now())
			s := &jobState{job: j, progress: work.NewProgress(j)}
			term.jobs["j"] = s
			if c.hasRun {
				s.progress.Place(&s.progress.Tasks[0], "w", "", 1)
			}
			u := &schedule.Unit{Job: j, Indexes: []int{1}, Deferrable: true}
			fleet := []*schedule.Worker{{Service: "s", Capacity: work.Shape{Accelerators: 8}, Runs: []schedule.Run{{Demand: work.Shape{Accelerators: c.accels}}}}}
			now := uptime.Now()
			term.observeWaits([]*schedule.Unit{u}, now)
			term.observeWaits([]*schedule.Unit{u}, now.Add(c.waits))
			term.endWaits([]*schedule.Unit{u}, fleet, now.Add(c.waits))
			require.Equal(t, c.anyRack, u.AnyRack)
			require.Equal(t, c.deferrable, u.Deferrable)
			require.Equal(t, c.startsNow, u.MustStartNow)

			term.observeWaits(nil, now.Add(c.waits))
			require.Empty(t, term.waitingSince, "nothing waits any more")
		})
	}
}
