package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// slowGang is a gang of two, of which one member is on a slow worker, after 0.9 s of
// progress. Two fast workers are free.
type slowGang struct {
	term  *term
	state *jobState
	now   time.Time
}

func newSlowGang() *slowGang {
	t, _ := unequalTerm()
	t.cfg.Declarations = emptyDeclarations{}
	now := uptime.Now()
	for _, id := range []string{"fast1", "fast2", "fast3", "slow"} {
		w := newWorkerState(control.Worker{Incarnation: id, Service: "s", Capacity: accelerators(8)}, "", now)
		w.attached = true
		t.workers[id], t.streams[id] = w, make(chan struct{}, 1)
		t.speeds.Restore("s", speed.Estimate{Worker: id, Speed: map[bool]float64{true: 0.59, false: 1.43}[id == "slow"], Weight: 8})
	}
	j := &work.Job{ID: "j", Queue: "j", Service: "s", MaxSlowdown: 1.5, Objective: 250 * time.Millisecond, MaxAttempts: 2, Accepted: time.Now().Add(-time.Second), Steps: []work.Step{{Count: 2, Gang: true, Shape: accelerators(8), Estimate: 2100 * time.Millisecond}}}
	g := &slowGang{t, &jobState{job: j, progress: work.NewProgress(j)}, now}
	t.jobs["j"] = g.state
	g.place("fast1", "slow")
	t.updateSpeeds(now.Add(time.Second))
	return g
}

// place starts the next run of the gang.
func (g *slowGang) place(workers ...string) {
	for i, id := range workers {
		task := &g.state.progress.Tasks[i]
		g.state.progress.Place(task, id, "", task.Run+1)
		g.term.workers[id].placedAt[g.key(i)] = g.now.Add(-time.Second)
	}
}

func (g *slowGang) key(i int) work.RunKey {
	return work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: g.state.progress.Tasks[i].Run}
}

// report applies reports of the members' progress in percent a second on a worker of speed
// 1, the last one now.
func (g *slowGang) report(rate float64) {
	for _, age := range []time.Duration{0, 100 * time.Millisecond, 500 * time.Millisecond, 900 * time.Millisecond} {
		for i := range g.state.progress.Tasks {
			w := g.term.workers[g.state.progress.Tasks[i].Worker]
			percent := int(rate * g.term.speeds.Speed(w.Incarnation) * age.Seconds())
			g.term.trackRun(w, work.RunStatus{Key: g.key(i), Percent: percent}, g.now.Add(age-900*time.Millisecond))
		}
	}
}

// Guards against a gang that is late on a slow worker although it could start again in
// time, and against restarts that lose work for nothing: the gang is in time, it cannot be
// in time any more, much is done, nothing faster is free, or it was started again before.
func TestSlowRunIsRestartedWhereItIsInTime(t *testing.T) {
	const usual = 48 // percent a second: 2.1 s
	for name, c := range map[string]struct {
		rate   float64
		change func(*slowGang)
		want   bool
	}{
		"late on a slow worker": {usual, func(*slowGang) {}, true},
		"in time":               {usual, func(g *slowGang) { g.state.job.MaxSlowdown = 3 }, false},
		"late anywhere":         {usual, func(g *slowGang) { g.state.job.Accepted = time.Now().Add(-2 * time.Second) }, false},
		"no objective":          {usual, func(g *slowGang) { g.state.job.MaxSlowdown, g.state.job.Objective = 0, 0 }, false},
		"half of it is done":    {2 * usual, func(*slowGang) {}, false},
		"saves checkpoints":     {usual, func(g *slowGang) { g.state.job.Steps[0].Checkpointing = true }, false},
		"no fast worker is free": {usual, func(g *slowGang) {
			for _, id := range []string{"fast2", "fast3"} {
				g.term.workers[id].Draining = true
			}
		}, false},
		"was started again": {usual, func(g *slowGang) {
			for i := range g.state.progress.Tasks {
				g.state.progress.Tasks[i].Worker = ""
			}
			g.place("fast1", "slow")
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			g := newSlowGang()
			c.change(g)
			g.report(c.rate)
			g.term.restartSlowRun(nil, g.now)
			for i := range g.state.progress.Tasks {
				require.Equal(t, c.want, g.state.progress.Tasks[i].Stopping)
			}
			if !c.want {
				return
			}
			for i := range g.state.progress.Tasks {
				g.term.endRun(g.state.progress.Tasks[i].Worker, g.key(i), work.OutcomeStopped, "", g.now)
			}
			g.term.place(g.now)
			for i := range g.state.progress.Tasks {
				require.Contains(t, []string{"fast1", "fast2", "fast3"}, g.state.progress.Tasks[i].Worker)
			}
		})
	}
}

// Guards against a stop without a gain: the workers for which a run is stopped are kept for
// urgent work, or are too risky for its last attempt, so that it starts on a slow one again.
func TestRestartedRunGetsTheWorkersThatItNeeds(t *testing.T) {
	g := newSlowGang()
	g.term.restartSpeeds[g.key(0).Task] = 1.2
	u := &schedule.Unit{Job: g.state.job, Indexes: []int{0, 1}, Deferrable: true, TasksByWorker: make(map[string]int)}
	fleet := g.term.fleet(nil, g.now)
	g.term.requireSpeeds([]*schedule.Unit{u}, fleet, g.now)
	require.InDelta(t, 1.2, u.MinSpeed, 0.01)
	require.False(t, u.Deferrable)

	g = newSlowGang()
	g.state.job.MaxAttempts = 1
	for _, id := range []string{"fast1", "fast2", "fast3"} {
		g.term.workers[id].health.risk = maxLastAttemptRisk * 0.9
	}
	g.report(48)
	g.term.restartSlowRun(nil, g.now)
	require.False(t, g.state.progress.Tasks[0].Stopping, "two members would take twice the risk of a last attempt")
}
