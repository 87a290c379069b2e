package leader

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against an end as done that is acknowledged without effect and without a trace,
// and against a line for each end that a new leader receives again.
func TestLateEndIsLogged(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 1})
	f.report("a", nothing)
	first := f.place(0, 1, "a/i/1")
	unknown := work.RunKey{Task: first.Task, Run: 5}
	f.report("a", ended(1, unknown, work.OutcomeDone))
	f.report("a", ended(1, unknown, work.OutcomeDone))
	require.Equal(t, 1, f.logged("LeaderLateEnd"), "once per run")
	require.Contains(t, f.log.String(), `"Applied":false`)
	f.report("a", ended(2, first, work.OutcomeDone))
	f.report("a", ended(3, first, work.OutcomeDone))
	f.report("a", ended(4, work.RunKey{Task: work.TaskKey{Job: "other"}, Run: 1}, work.OutcomeStopped))
	require.Equal(t, 1, f.logged("LeaderLateEnd"), "the task is done already")
	f.report("a", ended(5, work.RunKey{Task: work.TaskKey{Job: "other"}, Run: 1}, work.OutcomeDone))
	require.Equal(t, 2, f.logged("LeaderLateEnd"), "the job is not known")
}

// Guards against two runs of a task at the same time without a trace because the earlier
// one has ended before its worker is heard again, and against a line for each run that may
// have ended before its lease lapsed.
func TestEndOfRunThatCountedAsEndedIsLogged(t *testing.T) {
	for name, c := range map[string]struct {
		cause   string
		outcome work.Outcome
		want    int
	}{
		"presumed ended, failed":  {causeEnded, work.OutcomeFailed, 1},
		"presumed ended, done":    {causeEnded, work.OutcomeDone, 1},
		"presumed ended, lapsed":  {causeEnded, work.OutcomeLeaseLapsed, 0},
		"presumed ended, stopped": {causeEnded, work.OutcomeStopped, 0},
		"not heard, done":         {"no report within the lease", work.OutcomeDone, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrayFleet(t, work.Step{Count: 1})
			f.report("a", nothing)
			f.report("b", nothing)
			first := f.place(0, 1, "a/i/1")
			f.term.endIncarnation("a/i/1", c.cause, uptime.Now())
			f.place(0, 2, "b/i/1")
			f.report("a", ended(1, first, c.outcome))
			f.report("a", ended(1, first, c.outcome))
			require.Equal(t, c.want, f.logged("LeaderRunsOverlap"))
		})
	}
}

// Guards against an end as done that is acknowledged without effect because the run had
// been taken for lost: the task would start again although the worker may forget the end.
func TestTaskOfLateEndDoesNotStartAgain(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 2})
	f.report("a", nothing)
	first := f.place(0, 1, "a/i/1")
	f.term.endIncarnation("a/i/1", "ended", uptime.Now())
	f.report("a", ended(1, first, work.OutcomeDone))
	s := f.term.jobs["j"]
	require.True(t, s.progress.Tasks[0].Done)
	require.True(t, s.dirty, "the end is recorded before it is acknowledged")
	units := f.term.units(nil)
	require.Len(t, units, 1)
	require.Equal(t, []int{1}, units[0].Indexes)
	require.Contains(t, f.log.String(), `"Applied":true`)
}

// Guards against a later run of a task that goes on, or that begins, after an earlier one
// is shown to be done.
func TestLateEndStopsLaterRun(t *testing.T) {
	for name, steps := range map[string][]work.Step{
		"the job is completed": {{Count: 1}},
		"the job goes on":      {{Count: 1}, {Count: 1, DependsOn: []int{0}}},
		"gang":                 {{Count: 2, Gang: true}, {Count: 1, DependsOn: []int{0}}},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrayFleet(t, steps...)
			f.report("a", nothing)
			f.report("b", nothing)
			first := f.place(0, 1, "a/i/1")
			f.term.endIncarnation("a/i/1", "ended", uptime.Now())
			var later []work.RunKey
			for i := range steps[0].Count {
				later = append(later, f.place(i, 2, "b/i/1"))
			}
			o, _ := f.streams["b"].orders()
			require.Len(t, o.Starts, len(later))
			f.report("a", ended(1, first, work.OutcomeDone))
			o, _ = f.streams["b"].orders()
			require.Empty(t, o.Starts)
			require.ElementsMatch(t, later, o.Stops)
			require.Equal(t, 1, f.logged("LeaderLateEnd"))
			for i, k := range later {
				f.report("b", ended(uint64(i+1), k, work.OutcomeStopped))
			}
			require.True(t, f.term.jobs["j"].progress.StepDone(f.term.jobs["j"].job, 0, 0))
			require.False(t, f.term.jobs["j"].progress.Placed())
		})
	}
}

// Guards against a new leader that starts, or leaves running, a later run of a task that
// is recorded as done.
func TestDoneTaskIsStoppedAfterTakeover(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 2})
	f.report("a", nothing)
	later := f.place(0, 2, "a/i/1")
	s := f.term.jobs["j"]
	s.progress.Tasks[0].Done = true
	o, _ := f.streams["a"].orders()
	require.Empty(t, o.Starts)
	f.term.stopDone(s)
	o, _ = f.streams["a"].orders()
	require.Equal(t, []work.RunKey{later}, o.Stops)
}

// Guards against a run that is taken for lost with the lapsed leases of its worker while
// its order is on the way to the agent: it would start beside the next run of its task.
func TestLapsedLeasesOfRunThatMayStillBegin(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 2})
	f.report("a", nothing)
	listed, ordered := f.place(0, 1, "a/i/1"), f.place(1, 1, "a/i/1")
	f.report("a", running(listed))
	o, _ := f.streams["a"].orders()
	require.Len(t, o.Starts, 1)
	lapsed := func(r *control.Report) { running(listed)(r); r.Worker.LeasesLapsed = true }
	f.report("a", lapsed)
	s := f.term.jobs["j"]
	require.False(t, s.progress.Tasks[0].Placed(), "the lease of a run that the worker lists has lapsed")
	require.True(t, s.progress.Task(s.job, ordered.Task).Placed())
	o, _ = f.streams["a"].orders()
	require.Empty(t, o.Starts)
	f.term.workers["a/i/1"].lapsedSince = uptime.Now().Add(-control.OrderMaxAge - time.Millisecond)
	f.report("a", lapsed)
	require.False(t, s.progress.Tasks[1].Placed())

	s.progress.Tasks[1] = work.Task{}
	f.place(1, 2, "a/i/1")
	f.report("a", nothing)
	f.report("a", lapsed)
	require.True(t, s.progress.Tasks[1].Placed(), "the wait begins anew")
}
