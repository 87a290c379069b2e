package leader

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// unequalTerm returns a term with two fast workers and a slow one, all of known speed.
func unequalTerm() (*term, []*schedule.Worker) {
	t := newTerm(Config{StopGrace: 400 * time.Millisecond, Log: zerolog.Nop()}, jobstore.LeaderRecord{}, 1, 1, uptime.Now())
	var fleet []*schedule.Worker
	for id, v := range map[string]float64{"fast1": 1.43, "fast2": 1.43, "slow": 0.59} {
		t.speeds.Restore("s", speed.Estimate{Worker: id, Speed: v, Weight: 8})
		fleet = append(fleet, &schedule.Worker{ID: id, Service: "s", Schedulable: true})
	}
	t.updateSpeeds(uptime.Now())
	return t, fleet
}

// waitingUnit adds a job of one gang that has waited for some time.
func waitingUnit(t *term, id string, slowdown float64, waited time.Duration) *schedule.Unit {
	j := &work.Job{ID: id, Queue: id, Service: "s", MaxSlowdown: slowdown, Objective: 250 * time.Millisecond, Accepted: time.Now().Add(-waited), Steps: []work.Step{{Count: 5, Gang: true, Estimate: 2100 * time.Millisecond}}}
	t.jobs[id] = &jobState{job: j, progress: work.NewProgress(j)}
	return &schedule.Unit{Job: j, Indexes: []int{0, 1, 2, 3, 4}, QueuedSince: j.Accepted, TasksByWorker: make(map[string]int)}
}

// Guards against units that are bound to some workers, or workers that are taken for slow,
// although no objective needs that: the slowest worker is fast enough, or the job is late
// on any worker.
func TestSpeedIsRequiredForObjectivesOnly(t *testing.T) {
	for name, c := range map[string]struct {
		slowdown  float64
		waited    time.Duration
		low, high float64 // bounds of MinSpeed
		afterStop bool
		slow      bool
	}{
		"objective of 1.5 times":       {1.5, 0, 0.6, 0.9, true, true},
		"the same, little time left":   {1.5, 1200 * time.Millisecond, 1, 1.43, false, true},
		"the same, too late":           {1.5, 1800 * time.Millisecond, 0, 0, false, true},
		"objective of 6 times":         {6, 0, 0, 0, false, false},
		"no objective":                 {0, 0, 0, 0, false, false},
		"objective that cannot be met": {0.5, 0, 0, 0, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			term, fleet := unequalTerm()
			u := waitingUnit(term, "j", c.slowdown, c.waited)
			if c.slowdown == 0 {
				u.Job.Objective = 0
			}
			term.requireSpeeds([]*schedule.Unit{u}, fleet, uptime.Now())
			require.GreaterOrEqual(t, u.MinSpeed, c.low)
			require.LessOrEqual(t, u.MinSpeed, c.high)
			require.Equal(t, c.afterStop, u.MinSpeedAfterStop > 0)
			for _, w := range fleet {
				require.Equal(t, c.slow && w.ID == "slow", w.Slow, w.ID)
				require.False(t, w.Unproven, w.ID)
			}
		})
	}
}

// Guards against decisions by speeds that differ little, or that rest on a single run.
func TestUnknownSpeedsRequireNothing(t *testing.T) {
	term, fleet := unequalTerm()
	for _, w := range fleet {
		term.speeds.Forget(w.ID)
		term.speeds.Restore("s", speed.Estimate{Worker: w.ID, Speed: 0.7, Weight: 0.8})
	}
	term.updateSpeeds(uptime.Now().Add(time.Second))
	u := waitingUnit(term, "j", 1.5, 0)
	term.requireSpeeds([]*schedule.Unit{u}, fleet, uptime.Now())
	require.Zero(t, u.MinSpeed)
	for _, w := range fleet {
		require.EqualValues(t, 1, w.Speed)
		require.False(t, w.Slow || w.Unproven)
	}
}

// Guards against a mean duration of a queue that depends on the workers on which its jobs
// have run: a gang takes as long as its slowest member.
func TestDurationsAreThoseOfSpeedOne(t *testing.T) {
	term, _ := unequalTerm()
	now := uptime.Now()
	waitingUnit(term, "j", 1.5, 0)
	s := term.jobs["j"]
	for i, id := range []string{"fast1", "fast2", "slow", "fast1", "fast2"} {
		k := work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
		s.progress.Place(&s.progress.Tasks[i], id, "", 1)
		w := term.workers[id]
		if w == nil {
			w = newWorkerState(control.Worker{Incarnation: id, Service: "s"}, "", now)
			term.workers[id] = w
		}
		w.placedAt[k] = now.Add(-2 * time.Second)
	}
	for i := range 5 {
		k := work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
		w := term.workers[s.progress.Tasks[i].Worker]
		term.trackRun(w, work.RunStatus{Key: k, Percent: 90}, now)
	}
	for i := range 5 {
		k := work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
		term.endRun(s.progress.Tasks[i].Worker, k, work.OutcomeDone, "", now)
	}
	require.InDelta(t, 2*0.59, term.runDurations["j"].mean.Seconds(), 0.1)
}

// Guards against the speed of an earlier incarnation that is used for the next one, which
// may be another kind of machine, and against a speed that is lost with the leader.
func TestSpeedsAreRestoredByIncarnation(t *testing.T) {
	before, _ := unequalTerm()
	for _, id := range []string{"fast1", "fast2", "slow"} {
		before.workers[id] = &workerState{attached: true}
	}
	rec, changed := before.changedSpeeds()
	require.True(t, changed)
	before.recordedSpeeds = rec.Workers
	_, changed = before.changedSpeeds()
	require.False(t, changed, "the same estimates")

	after := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{}, 1, 1, uptime.Now())
	after.loadedSpeeds = rec.Workers
	for _, id := range []string{"fast1", "fast2", "slow", "slow2"} {
		after.restoreSpeed(control.Worker{Incarnation: id, Service: "s"})
	}
	after.updateSpeeds(uptime.Now())
	require.InDelta(t, 0.59, after.speeds.Speed("slow"), 0.1)
	require.EqualValues(t, 1, after.speeds.Speed("slow2"), "the next incarnation")
	after.endIncarnation("slow", "", uptime.Now())
	require.EqualValues(t, 1, after.speeds.Speed("slow"))
}

// Guards against speeds that are never learned from tasks that end before their progress
// is known, and against the ends of gang members, which show nothing.
func TestDurationsOfShortTasksShowSpeeds(t *testing.T) {
	for name, gang := range map[string]bool{"single tasks": false, "gang": true} {
		t.Run(name, func(t *testing.T) {
			term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{}, 1, 1, uptime.Now())
			now := uptime.Now()
			for n := range 12 {
				j := &work.Job{ID: string(rune('a' + n)), Steps: []work.Step{{Count: 6, Gang: gang}}}
				s := &jobState{job: j, progress: work.NewProgress(j)}
				term.jobs[j.ID] = s
				now = now.Add(time.Second)
				for i := range 6 {
					id := string(rune('0' + i))
					w := term.workers[id]
					if w == nil {
						w = newWorkerState(control.Worker{Incarnation: id, Service: "s"}, "", now)
						term.workers[id] = w
					}
					k, took := work.RunKey{Task: work.TaskKey{Job: j.ID, Index: i}, Run: 1}, 700*time.Millisecond
					if i == 0 {
						took = 1700 * time.Millisecond
					}
					s.progress.Place(&s.progress.Tasks[i], id, "", 1)
					w.placedAt[k] = now.Add(-took)
					term.endRun(id, k, work.OutcomeDone, "", now)
				}
				term.updateSpeeds(now)
			}
			if gang {
				require.EqualValues(t, 1, term.speeds.Speed("0"))
				return
			}
			require.Less(t, term.speeds.Speed("0"), 0.7)
			require.EqualValues(t, 1, term.speeds.Speed("1"))
		})
	}
}
