package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against wrong classes of timeliness, on which the order of urgent work under
// overload depends, in particular against Expired because the declared duration is too
// low.
func TestTimeliness(t *testing.T) {
	for name, c := range map[string]struct {
		estimate, meanOfQueue, waited int // ms
		want                          schedule.Timeliness
	}{
		"just queued":                         {2000, 0, 0, schedule.OnTime},
		"no slack":                            {2000, 0, 700, schedule.AtRisk},
		"will be late":                        {2000, 0, 1400, schedule.Late},
		"too late to count":                   {2000, 0, 8000, schedule.Expired},
		"late, and soon too late to count":    {2000, 0, 6000, schedule.Expiring},
		"late, but not soon too late":         {2000, 0, 5800, schedule.Late},
		"declared duration far too low":       {300, 2000, 400, schedule.OnTime},
		"declared duration far too low, late": {300, 2000, 1400, schedule.Late},
	} {
		t.Run(name, func(t *testing.T) {
			term := newTerm(Config{StopGrace: 400 * time.Millisecond}, jobstore.LeaderRecord{}, 1, 1, at(0))
			term.runDurations["q"] = meanDuration{}.add(time.Duration(c.meanOfQueue) * time.Millisecond)
			j := &work.Job{Queue: "q", Accepted: at(0), MaxSlowdown: 1.5, Objective: 300 * time.Millisecond,
				Steps: []work.Step{{Count: 1, Estimate: time.Duration(c.estimate) * time.Millisecond}}}
			require.Equal(t, c.want, term.timeliness(&jobState{job: j, progress: work.NewProgress(j)}, 0, at(c.waited)))
		})
	}
}

// Guards against a job that counts as late because of steps that are done.
func TestTimelinessIgnoresDoneSteps(t *testing.T) {
	term := newTerm(Config{}, jobstore.LeaderRecord{}, 1, 1, at(0))
	j := &work.Job{Accepted: at(0), MaxSlowdown: 1.5, Steps: []work.Step{{Count: 1, Estimate: 4 * time.Second}, {Count: 1, Estimate: time.Second, DependsOn: []int{0}}}}
	s := &jobState{job: j, progress: work.NewProgress(j)}
	require.Equal(t, schedule.Late, term.timeliness(s, 0, at(5000)))
	s.progress.Tasks[0].Done = true
	require.Equal(t, schedule.OnTime, term.timeliness(s, 0, at(5000)))
}

// Guards against batch work that takes all free capacity in a burst of urgent work and is
// preempted a second later although it has seconds of slack, and against batch work that
// waits until it is late.
func TestBatchWorkThatCanWait(t *testing.T) {
	for name, c := range map[string]struct {
		priority, waited int // waited in ms
		want             bool
	}{
		"just queued":           {1, 0, true},
		"half of its time left": {1, 1700, true},
		"no time left":          {1, 4000, false},
		"urgent":                {0, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			term := newTerm(Config{}, jobstore.LeaderRecord{}, 1, 1, at(0))
			// As in a queue of the users' large site: 11 s of work, on time within 17.5
			// s.
			j := &work.Job{Priority: c.priority, Accepted: at(0), MaxSlowdown: 1.5, Objective: time.Second, Steps: []work.Step{{Count: 25, Estimate: 11 * time.Second}}}
			require.Equal(t, c.want, term.isDeferrable(&jobState{job: j, progress: work.NewProgress(j)}, 0, at(c.waited)))
		})
	}
}

// Guards against capacity that is kept free for urgent jobs which can never run, for as
// long as they wait.
func TestExpiredWorkIsNotInUrgentUse(t *testing.T) {
	term := newTerm(Config{}, jobstore.LeaderRecord{}, 1, 1, at(0))
	j := &work.Job{Steps: []work.Step{{Count: 2, Shape: work.Shape{Accelerators: 8}}}}
	unit := &schedule.Unit{Job: j, Indexes: []int{0, 1}}
	require.Equal(t, 128.0, term.urgentCores([]*schedule.Unit{unit}))
	unit.Timeliness = schedule.Expired
	require.Zero(t, term.urgentCores([]*schedule.Unit{unit}))
}
