package leader

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const crashedWorker = "a/i/1"

// newCrashTerm returns a term with a worker that has reported the first of three committed
// runs of a job. They were placed there 10 s, 600 ms and 100 ms ago.
func newCrashTerm(log *bytes.Buffer) (*term, *jobState, *stream) {
	now := uptime.Now()
	term := newTerm(Config{Log: zerolog.New(log)}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, now.Add(time.Minute))
	term.elected = now.Add(-time.Minute)
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 3, Estimate: time.Minute}}}
	s := &jobState{job: j, progress: work.NewProgress(j)}
	term.jobs["j"] = s
	w := newWorkerState(control.Worker{Incarnation: crashedWorker}, "a", now)
	term.workers[crashedWorker] = w
	for i, age := range []time.Duration{10 * time.Second, 600 * time.Millisecond, 100 * time.Millisecond} {
		k := work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
		s.progress.Place(&s.progress.Tasks[i], crashedWorker, "", 1)
		w.placedAt[k] = now.Add(-age)
	}
	s.committed = append(s.committed, s.progress.Tasks...)
	stream := term.newStream()
	first := work.RunStatus{Key: work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}}
	if err := term.report(stream, control.Report{Agent: "a", Stamp: now, Worker: &w.Worker, Running: []work.RunStatus{first}}); err != nil {
		panic(err)
	}
	return term, s, stream
}

// Guards against crashes that are not counted under the tasks whose runs were on the
// worker, that are counted under tasks whose start came too late, and against counting
// planned ends and lapsed leases.
func TestCrashesAreRecorded(t *testing.T) {
	gone := control.Report{Agent: "a", EndedIncarnations: []string{crashedWorker}}
	silent := func(noListener, lapsed bool) control.Report {
		return control.Report{Agent: "a", Worker: &control.Worker{Incarnation: crashedWorker, Unresponsive: true, NoListener: noListener, LeasesLapsed: lapsed}}
	}
	for name, c := range map[string]struct {
		reports []control.Report
		want    [3]int // crashes of the tasks
		logged  int
	}{
		"incarnation ended":         {[]control.Report{gone}, [3]int{1, 1, 0}, 1},
		"end reported again":        {[]control.Report{gone, gone}, [3]int{1, 1, 0}, 1},
		"next incarnation":          {[]control.Report{{Agent: "a", Worker: &control.Worker{Incarnation: "a/i/2"}}}, [3]int{1, 1, 0}, 1},
		"lapsed without a listener": {[]control.Report{silent(true, true), gone}, [3]int{1, 1, 0}, 1},
		"lapsed with a listener":    {[]control.Report{silent(false, true)}, [3]int{}, 0},
		// The first task has ended with its lease; the second may still have started.
		"lapsed, later ended":      {[]control.Report{silent(false, true), gone}, [3]int{0, 1, 0}, 1},
		"no listener for a moment": {[]control.Report{silent(true, false)}, [3]int{}, 0},
		"worker that has left":     {[]control.Report{{Agent: "a", EndedIncarnations: []string{crashedWorker}, Left: crashedWorker}}, [3]int{}, 0},
		"draining worker":          {[]control.Report{{Agent: "a", Worker: &control.Worker{Incarnation: crashedWorker, Draining: true}}, gone}, [3]int{}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			term, s, stream := newCrashTerm(&log)
			for _, r := range c.reports {
				if r.Worker != nil && r.Worker.Incarnation == crashedWorker {
					r.Running = []work.RunStatus{{Key: work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}}}
				}
				r.Stamp = uptime.Now()
				require.NoError(t, term.report(stream, r))
			}
			for i, want := range c.want {
				require.Len(t, s.progress.Tasks[i].Crashes, want, "task %d", i)
			}
			require.Equal(t, c.logged, bytes.Count(log.Bytes(), []byte("LeaderWorkerCrashed")))
		})
	}
}

// Guards against tasks that stay suspects after their failure domain has lost power.
func TestCrashesOfDomainAreWithdrawn(t *testing.T) {
	var log bytes.Buffer
	term, s, stream := newCrashTerm(&log)
	other := newWorkerState(control.Worker{Incarnation: "b/i/1"}, "b", uptime.Now())
	other.attached = true
	term.workers["b/i/1"] = other
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), EndedIncarnations: []string{crashedWorker}}))
	require.Equal(t, crash.Suspect, crash.Judge(&s.progress.Tasks[1]))
	s.dirty = false
	require.NoError(t, term.report(term.newStream(), control.Report{Agent: "b", Stamp: uptime.Now(), EndedIncarnations: []string{"b/i/1"}}))
	require.Equal(t, work.CauseCoincidence, s.progress.Tasks[1].Crashes[0].Cause)
	require.Equal(t, crash.Clear, crash.Judge(&s.progress.Tasks[1]))
	require.True(t, s.dirty)
	require.Contains(t, log.String(), "LeaderCrashWithdrawn")
}

// Guards against a worker that counts as crashed because its agent is cut off.
func TestLapsedWorkerHasNotCrashed(t *testing.T) {
	for name, noListener := range map[string]bool{"agent cut off": false, "no listener before": true} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			term, s, _ := newCrashTerm(&log)
			term.workers[crashedWorker].NoListener = noListener
			term.expireWorkers(uptime.Now().Add(2 * control.LapsedAfter()))
			require.False(t, s.progress.Tasks[0].Placed())
			require.Equal(t, noListener, len(s.progress.Tasks[0].Crashes) == 1)
		})
	}
}

// Guards against logs that do not show which runs were on a crashed worker, since when,
// and how many workers have crashed under each task.
func TestCrashIsLogged(t *testing.T) {
	var log bytes.Buffer
	term, s, stream := newCrashTerm(&log)
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), EndedIncarnations: []string{crashedWorker}}))
	require.Regexp(t, `"LeaderWorkerCrashed","Worker":"a/i/1".*"j 0.0.1/1 for 2\d\dms, crashes 1, cause task, not reported","j 0.0.0/1 for 9.\d+s, crashes 1, cause other"`, log.String())
	require.True(t, s.progress.Tasks[0].Crashes[0].Confirmed)

	reader := history.Reader{ID: "j"}
	require.NoError(t, reader.Read("log", &log))
	var explained bytes.Buffer
	require.NoError(t, reader.Print(&explained))
	require.Regexp(t, `LeaderRunEnded +Run=0.0.0/1 Worker=a/i/1 How=lost Fails=0 Crashes=1`, explained.String())
}

// Guards against a run that has crashed its worker and is not counted, because the crash
// seems to precede its start.
func TestCrashTimeIsNoEarlierThanCrash(t *testing.T) {
	now := time.Unix(1000, 0)
	ago := func(d time.Duration) time.Time { return now.Add(-d) }
	for name, c := range map[string]struct {
		silentSince, reportedAt, want time.Time
	}{
		"incarnation ended":                 {time.Time{}, ago(0), ago(350 * time.Millisecond)},
		"silent for a moment":               {ago(100 * time.Millisecond), ago(0), ago(350 * time.Millisecond)},
		"silent until its next incarnation": {ago(3 * time.Second), ago(0), ago(3 * time.Second)},
		"crashed with its agent":            {time.Time{}, ago(2 * time.Second), ago(1600 * time.Millisecond)},
	} {
		t.Run(name, func(t *testing.T) {
			w := &workerState{silentSince: c.silentSince, reportedAt: c.reportedAt}
			require.Equal(t, c.want, w.crashedBy(now))
		})
	}
}

// Guards against a crash that is not counted because the leader that placed the run has
// failed too, and against ages of such runs that are taken from the election.
func TestCrashUnderNextLeader(t *testing.T) {
	var log bytes.Buffer
	term, s, stream := newCrashTerm(&log)
	term.elected = uptime.Now()
	w := term.workers[crashedWorker]
	w.running, w.reportedAt = nil, term.elected
	for k := range w.placedAt {
		w.placedAt[k] = term.elected
	}
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), EndedIncarnations: []string{crashedWorker}}))
	for _, task := range s.progress.Tasks {
		require.Len(t, task.Crashes, 1)
		require.Equal(t, work.CauseUnknown, task.Crashes[0].Cause)
	}
}

// Guards against tasks that start beside a suspect which may still crash the worker, and
// against a worker that is kept for it for longer.
func TestWorkerIsKeptForSuspect(t *testing.T) {
	for name, c := range map[string]struct {
		crashes []work.Crash
		age     time.Duration
		want    bool
	}{
		"no crash":            {nil, 0, false},
		"just started":        {[]work.Crash{{Age: 200 * time.Millisecond, Cause: work.CauseTask}}, 0, true},
		"on probation":        {[]work.Crash{{Age: 200 * time.Millisecond, Cause: work.CauseTask}}, 1200 * time.Millisecond, true},
		"outlived it":         {[]work.Crash{{Age: 200 * time.Millisecond, Cause: work.CauseTask}}, 1400 * time.Millisecond, false},
		"another explains it": {[]work.Crash{{Age: 20 * time.Second, Cause: work.CauseOther}}, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			var log bytes.Buffer
			term, s, _ := newCrashTerm(&log)
			now := uptime.Now()
			w := term.workers[crashedWorker]
			s.progress.Tasks[0].Crashes, s.hasCrashes = c.crashes, len(c.crashes) > 0
			w.placedAt[work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}] = now.Add(-c.age)
			require.Equal(t, c.want, term.isKeptForSuspect(w, now))
		})
	}
}

// Guards against a suspect that waits for a worker of its own for ever.
func TestIsolationIsBounded(t *testing.T) {
	var log bytes.Buffer
	term, s, stream := newCrashTerm(&log)
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), EndedIncarnations: []string{crashedWorker}}))
	suspect, other := work.TaskKey{Job: "j", Index: 1}, work.TaskKey{Job: "j"}
	var u schedule.Unit
	term.markSuspect(s, &u, other.Index)
	require.False(t, u.Isolated)
	term.markSuspect(s, &u, suspect.Index)
	require.True(t, u.Isolated)
	require.True(t, u.AvoidsRecentStarts)
	s.crashedAt[suspect] = s.crashedAt[suspect].Add(-crash.IsolationWait)
	u = schedule.Unit{}
	term.markSuspect(s, &u, suspect.Index)
	require.True(t, u.Isolated)
	require.False(t, u.AvoidsRecentStarts)
}

// Guards against a worker that gets no tasks because a task has crashed it.
func TestCrashedWorkerIsNotAvoided(t *testing.T) {
	var log bytes.Buffer
	term, _, stream := newCrashTerm(&log)
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: crashedWorker, Unresponsive: true, NoListener: true}}))
	require.NoError(t, term.report(stream, control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: "a/i/2"}}))
	require.False(t, term.workers["a/i/2"].health.isAvoided(uptime.Now()))
}
