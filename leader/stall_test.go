package leader

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a gang that is stopped as stalled while it waits for a member whose
// worker is unresponsive for a while, against one that waits until its members time out,
// and against one that works and is stopped because not all of its members have been
// seen.
func TestWaitingGang(t *testing.T) {
	for name, c := range map[string]struct {
		ms               int
		otherReported    bool
		percentPerSecond int // of the run that is reported throughout
		stopped          bool
	}{
		"waits for a member":       {2000, false, 0, false},
		"waits too long":           {2500, false, 0, true},
		"stalled with all members": {2000, true, 0, true},
		"works, a member's agent cannot reach the new leader": {2500, false, 20, false},
	} {
		t.Run(name, func(t *testing.T) {
			cfg := Config{Log: zerolog.Nop(), GangWait: 4 * time.Second}
			term := newTerm(cfg, jobstore.LeaderRecord{Epoch: 1}, 1, 1, at(0))
			j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 2, Gang: true, Estimate: time.Second}}}
			p := work.NewProgress(j)
			s := &jobState{job: j, progress: p}
			term.jobs["j"] = s
			workers := make([]*workerState, 2)
			runs := make([]work.RunStatus, 2)
			for i, id := range []string{"a/1", "b/1"} {
				p.Place(&p.Tasks[i], id, "", 1)
				runs[i].Key = work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
				workers[i] = newWorkerState(control.Worker{Incarnation: id}, id, at(0))
				workers[i].placedAt[runs[i].Key] = at(0)
				term.workers[id] = workers[i]
			}
			for ms := 0; ms <= c.ms; ms += 100 {
				if c.otherReported {
					term.trackRun(workers[1], runs[1], at(ms))
				}
				runs[0].Percent = c.percentPerSecond * ms / 1000
				term.trackRun(workers[0], runs[0], at(ms))
			}
			require.Equal(t, c.stopped, p.Tasks[0].Stopping)
		})
	}
}

// Guards against a stalled worker that gets tasks again before it has recovered, such as
// the next gang two seconds later.
func TestStalledWorkerIsAvoidedLonger(t *testing.T) {
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, at(0))
	w := newWorkerState(control.Worker{Incarnation: "a/1"}, "a", at(0))
	term.avoid(w, "run stalled", at(0))
	term.avoid(w, "run stalled", at(100))
	require.True(t, w.health.isAvoided(at(3900)))
	require.False(t, w.health.isAvoided(at(4000)))
	term.avoid(w, "run stalled", at(5000))
	require.True(t, w.health.isAvoided(at(12_900)))
	term.recordOutcome(w, work.RunKey{}, work.OutcomeDone, at(13_000))
	term.avoid(w, "run stalled", at(14_000))
	require.False(t, w.health.isAvoided(at(18_000)), "a run has been done since")
}

// Guards against preemption of nearly finished work after a change of leader: the new
// leader must not treat it as work that has just started.
func TestRunCostAfterTakeover(t *testing.T) {
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 2}, 1, 1, at(0))
	term.elected = at(0)
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 1, Estimate: 10 * time.Second, Shape: work.Shape{Accelerators: 1}}}}
	p := work.NewProgress(j)
	p.Place(&p.Tasks[0], "a/1", "", 1)
	term.jobs["j"] = &jobState{job: j, progress: p}
	w := newWorkerState(control.Worker{Incarnation: "a/1"}, "a", at(0))
	run := work.RunStatus{Key: work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}, Percent: 80}
	w.placedAt[run.Key] = term.elected
	term.workers["a/1"] = w
	term.trackRun(w, run, at(400))
	o, ok := term.describeRun(w, run.Key, nil, make(stopBudgets), at(400))
	require.True(t, ok)
	require.InDelta(t, 8*j.Steps[0].Shape.Cores(), (o.Cost-term.cfg.Delay.StopPrice)/term.cfg.Delay.WorkPrice, 0.1)
}

// Guards against gangs that are stopped at once if the settings do not say how long their
// members wait for each other.
func TestDefaultGangTimeout(t *testing.T) {
	require.Equal(t, defaultGangWait, Config{}.withDefaults().GangWait)
	require.Greater(t, New(Config{}).cfg.gangTimeout(), time.Second)
}
