package leader

import (
	"bytes"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/history"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const crashedWorker = "a/i/1"

// newCrashTerm returns a term with a worker that has reported run 0 of three committed
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
		"lapsed with a listener":    {[]control.Report{silent(false, true), gone}, [3]int{}, 1},
		"no listener for a moment":  {[]control.Report{silent(true, false)}, [3]int{}, 0},
		"draining worker":           {[]control.Report{{Agent: "a", Worker: &control.Worker{Incarnation: crashedWorker, Draining: true}}, gone}, [3]int{}, 0},
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
	require.Regexp(t, `"LeaderWorkerCrashed","Worker":"a/i/1".*"j 0.0.1/1 for 2\d\dms, crashes 1, not reported","j 0.0.0/1 for 9.\d+s, crashes 1"`, log.String())
	require.True(t, s.progress.Tasks[0].Crashes[0].Confirmed)

	reader := history.Reader{ID: "j"}
	require.NoError(t, reader.Read("log", &log))
	var explained bytes.Buffer
	require.NoError(t, reader.Print(&explained))
	require.Regexp(t, `LeaderRunEnded +Run=0.0.0/1 Worker=a/i/1 How=lost Fails=0 Crashes=1`, explained.String())
}
