package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// stopCostAfter returns the cost of stopping the only run of a job that was placed some
// time ago, when the job was accepted.
func stopCostAfter(ran time.Duration, j *work.Job, change func(t *term, s *jobState)) float64 {
	now := uptime.Now()
	term := newTerm(Config{StopGrace: 400 * time.Millisecond, Delay: delay.Default()}, jobstore.LeaderRecord{}, 1, 1, now)
	j.ID, j.Accepted = "j", time.Now().Add(-ran)
	s := &jobState{job: j, progress: work.NewProgress(j)}
	term.jobs[j.ID] = s
	w := newWorkerState(control.Worker{Incarnation: "w"}, "a", now)
	k := work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}
	w.placedAt[k] = now.Add(-ran)
	if change != nil {
		change(term, s)
	}
	_, cost := term.stopCost(s, w, k, now)
	return cost
}

// Guards against stop costs that do not reflect what the callers of a run lose: a choice of
// victims by work alone stops runs whose jobs have no slack.
func TestStopCostReflectsSlack(t *testing.T) {
	step := work.Step{Count: 1, Estimate: 2 * time.Second, Shape: work.Shape{MilliCPU: 8000}}
	job := func(priority int, slowdown float64, change func(s *work.Step)) *work.Job {
		st := step
		if change != nil {
			change(&st)
		}
		return &work.Job{Priority: priority, MaxSlowdown: slowdown, Steps: []work.Step{st}}
	}
	tight := stopCostAfter(time.Second, job(0, 1.5, nil), nil)
	slack := stopCostAfter(time.Second, job(0, 10, nil), nil)
	batch := stopCostAfter(time.Second, job(2, 10, func(s *work.Step) { s.Shape.MilliCPU = 500000 }), nil)
	require.Greater(t, tight, 5*slack, "the job of the first one would be late")
	require.Greater(t, tight, batch, "an urgent run without slack costs more than 500 core-seconds of batch work")
	require.Less(t, stopCostAfter(time.Second, job(0, 1.5, func(s *work.Step) { s.Checkpointing = true }), nil), tight)
	require.Greater(t, stopCostAfter(time.Second, job(2, 3, nil), func(term *term, _ *jobState) {
		term.startWaits[2] = meanDuration{}.add(10 * time.Second)
	}), 5*stopCostAfter(time.Second, job(2, 3, nil), nil), "the job waits again, too long to be in time")
	require.InDelta(t, 2*slack, stopCostAfter(time.Second, job(0, 10, nil), func(_ *term, s *jobState) { s.preempted, s.preemptions = map[work.TaskKey]int{{Job: "j"}: 1}, 1 }), 1e-3, "stopped before")
	require.Positive(t, stopCostAfter(time.Second, &work.Job{Steps: []work.Step{step}}, nil), "without an objective")
}

// Guards against the loss of a job that counts once for each member of a gang.
func TestGangMembersShareLossOfJob(t *testing.T) {
	gang := func(count int) *work.Job {
		return &work.Job{MaxSlowdown: 1.5, Steps: []work.Step{{Count: count, Gang: true, Estimate: 2 * time.Second}}}
	}
	require.InDelta(t, stopCostAfter(time.Second, gang(1), nil)-0.01, 5*(stopCostAfter(time.Second, gang(5), nil)-0.01), 1e-2)
}
