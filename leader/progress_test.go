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

// trackedRun is a run of one task whose reports a test sends every 400 ms.
type trackedRun struct {
	estimate   time.Duration // declared
	checkpoint string        // from which it resumes
	inherited  bool          // an earlier leader has placed it
	percent    func(ms int) int
}

// stoppedAt returns when the run is stopped, in ms, or 0 if it is not within the time.
func (r trackedRun) stoppedAt(until int) int {
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, at(0))
	term.elected = at(0)
	j := &work.Job{ID: "j", MaxAttempts: 2, Accepted: at(0), Steps: []work.Step{{Count: 1, Estimate: r.estimate, Checkpointing: r.checkpoint != ""}}}
	p := work.NewProgress(j)
	p.Place(&p.Tasks[0], "a/1", "", 1)
	p.Tasks[0].Checkpoint = r.checkpoint
	term.jobs["j"] = &jobState{job: j, progress: p}
	w := newWorkerState(control.Worker{Incarnation: "a/1"}, "a", at(0))
	term.workers["a/1"] = w
	k := work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}
	if w.placedAt[k] = at(-200); r.inherited {
		w.placedAt[k] = term.elected
	}
	for ms := 0; ms <= until; ms += 400 {
		term.trackRun(w, work.RunStatus{Key: k, Percent: r.percent(ms)}, at(ms))
		if p.Tasks[0].Stopping {
			return ms
		}
	}
	return 0
}

// atPace returns the progress of a run that takes the given time for one percent and has
// worked for some time before. It is 0 in the first report if the run resumes.
func atPace(msPerPercent, workedMs int, resumes bool) func(int) int {
	return func(ms int) int {
		if resumes && ms == 0 {
			return 0
		}
		return min(100, (workedMs+ms)/msPerPercent)
	}
}

// Guards against long runs that work and are stopped as stalled, again and again, because
// saved progress counts as fast progress (KNOWN-RED 14, review/6), because a new leader
// sees the next percent soon after its first report (KNOWN-RED 15, review/7), or because
// their percentage rises in large steps.
func TestWorkingRunIsNotStopped(t *testing.T) {
	coarse := func(step, msPerStep int) func(int) int {
		return func(ms int) int { return min(100, ms/msPerStep*step) }
	}
	for name, r := range map[string]trackedRun{
		"resumes after 5 percent":                  {10 * time.Minute, "c", false, atPace(6000, 32_000, true)},
		"resumes, the leader is new":               {10 * time.Minute, "c", true, atPace(6000, 32_000, true)},
		"new leader, next percent at once":         {20 * time.Minute, "", true, atPace(12_000, 35_900, false)},
		"new leader, next percent later":           {20 * time.Minute, "", true, atPace(12_000, 31_000, false)},
		"new leader, declares half of it":          {10 * time.Minute, "", true, atPace(12_000, 35_900, false)},
		"new leader, no declared duration":         {0, "", true, atPace(12_000, 35_900, false)},
		"new leader, run of hours":                 {3 * time.Hour, "", true, atPace(108_000, 647_900, false)},
		"percentage rises in steps of 10":          {20 * time.Second, "", false, coarse(10, 2000)},
		"the same, declares half":                  {10 * time.Second, "", false, coarse(10, 2000)},
		"percentage is read once a second":         {5 * time.Second, "", false, func(ms int) int { return min(100, ms/1000*20) }},
		"resumes, progress appears in two reports": {10 * time.Minute, "c", false, func(ms int) int { return min(5, ms/400*3) + ms/6000 }},
	} {
		t.Run(name, func(t *testing.T) { require.Zero(t, r.stoppedAt(300_000)) })
	}
}

// Guards against stalled runs that are never stopped, or are stopped too late.
func TestStalledRunIsStopped(t *testing.T) {
	until := func(last int, f func(int) int) func(int) int {
		return func(ms int) int { return f(min(ms, last)) }
	}
	for name, c := range map[string]struct {
		run    trackedRun
		within int // ms
	}{
		"from the start":                   {trackedRun{2 * time.Second, "", false, func(int) int { return 0 }}, 2000},
		"after some progress":              {trackedRun{2 * time.Second, "", false, until(1000, atPace(20, 0, false))}, 3000},
		"resumed":                          {trackedRun{10 * time.Second, "c", false, until(400, atPace(100, 4000, true))}, 4400},
		"resumed, after some progress":     {trackedRun{10 * time.Second, "c", false, until(2000, atPace(100, 4000, true))}, 4400},
		"new leader":                       {trackedRun{10 * time.Second, "", true, func(int) int { return 20 }}, 5000},
		"new leader, after some progress":  {trackedRun{10 * time.Second, "", true, until(2000, atPace(100, 2000, false))}, 6500},
		"new leader, no declared duration": {trackedRun{0, "", true, func(int) int { return 20 }}, 61_000},
		"declares four times its duration": {trackedRun{40 * time.Second, "", false, until(4000, atPace(100, 0, false))}, 8400},
		"long run, some percent":           {trackedRun{10 * time.Minute, "", false, until(30_000, atPace(6000, 0, false))}, 90_000},
	} {
		t.Run(name, func(t *testing.T) {
			stopped := c.run.stoppedAt(300_000)
			require.NotZero(t, stopped)
			require.LessOrEqual(t, stopped, c.within)
		})
	}
}

// Guards against gangs that are stopped because not all members have been reported to a
// new leader, although they have worked before.
func TestWorkingGangIsNotStoppedByNewLeader(t *testing.T) {
	term := newTerm(Config{Log: zerolog.Nop(), GangWait: 4 * time.Second}, jobstore.LeaderRecord{Epoch: 2}, 1, 1, at(0))
	term.elected = at(0)
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 2, Gang: true, Estimate: 10 * time.Minute}}}
	p := work.NewProgress(j)
	term.jobs["j"] = &jobState{job: j, progress: p}
	for i, id := range []string{"a/1", "b/1"} {
		p.Place(&p.Tasks[i], id, "", 1)
		term.workers[id] = newWorkerState(control.Worker{Incarnation: id}, id, at(0))
		term.workers[id].placedAt[work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}] = term.elected
	}
	for ms := 0; ms <= 4000; ms += 400 {
		term.trackRun(term.workers["a/1"], work.RunStatus{Key: work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}, Percent: 5}, at(ms))
	}
	require.False(t, p.Tasks[0].Stopping)
}
