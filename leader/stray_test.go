package leader

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// strayFleet is a term with job "j" and the agents of several workers.
type strayFleet struct {
	*testing.T
	log     bytes.Buffer
	term    *term
	streams map[string]*stream
}

func newStrayFleet(t *testing.T, steps ...work.Step) *strayFleet {
	f := &strayFleet{T: t, streams: make(map[string]*stream)}
	f.term = newTerm(Config{Log: zerolog.New(&f.log)}, jobstore.LeaderRecord{Epoch: 7}, 1, 1, uptime.Now().Add(time.Minute))
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: steps}
	f.term.jobs["j"] = &jobState{job: j, progress: work.NewProgress(j)}
	return f
}

// place places a run of a task with the given number and commits it.
func (f *strayFleet) place(index, run int, worker string) work.RunKey {
	s := f.term.jobs["j"]
	s.progress.Place(&s.progress.Tasks[index], worker, "", run)
	s.committed = append([]work.Task(nil), s.progress.Tasks...)
	k := work.RunKey{Task: work.TaskKey{Job: "j", Index: index}, Run: run}
	f.term.workers[worker].placedAt[k] = uptime.Now()
	return k
}

// report applies a report of the worker agent/i/1 that change completes.
func (f *strayFleet) report(agent string, change func(*control.Report)) {
	f.Helper()
	if f.streams[agent] == nil {
		f.streams[agent] = f.term.newStream()
	}
	r := control.Report{Agent: agent, Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: agent + "/i/1", Capacity: work.Shape{Accelerators: 8}}}
	change(&r)
	require.NoError(f, f.term.report(f.streams[agent], r))
}

func (f *strayFleet) logged(name string) int {
	return strings.Count(f.log.String(), `"Name":"`+name+`"`)
}

func nothing(*control.Report) {}

func running(keys ...work.RunKey) func(*control.Report) {
	return func(r *control.Report) {
		for _, k := range keys {
			r.Running = append(r.Running, work.RunStatus{Key: k, Percent: 30})
		}
	}
}

func ended(seq uint64, k work.RunKey, outcome work.Outcome) func(*control.Report) {
	return func(r *control.Report) {
		r.Ended = append(r.Ended, work.RunEnd{Seq: seq, Key: k, Outcome: outcome})
	}
}

// Guards against a second run of a task whose cause the log does not show: the present
// run, and why the earlier one counts as ended.
func TestStrayRunIsLoggedWithItsCause(t *testing.T) {
	for name, c := range map[string]struct {
		end         func(f *strayFleet, k work.RunKey)
		as, cause   string
		placedAgain bool
	}{
		"presumed ended": {func(f *strayFleet, _ work.RunKey) {
			f.report("a", func(r *control.Report) { r.Worker, r.EndedIncarnations = nil, []string{"a/i/1"} })
		}, "lost", "ended", true},
		"no report": {func(f *strayFleet, _ work.RunKey) {
			f.term.endIncarnation("a/i/1", "no report within the lease", uptime.Now())
		}, "lost", "no report within the lease", true},
		"leases lapsed": {func(f *strayFleet, k work.RunKey) {
			f.report("a", func(r *control.Report) { running(k)(r); r.Worker.LeasesLapsed = true })
		}, "lost", "all leases have lapsed", true},
		"refused": {func(f *strayFleet, k work.RunKey) {
			f.report("a", func(r *control.Report) {
				r.Refused = []control.Refusal{{Key: k, Reason: work.RefusedUnhealthy}}
			})
		}, "refused", "unhealthy", true},
		"not placed again": {func(f *strayFleet, k work.RunKey) {
			f.report("a", func(r *control.Report) {
				r.Refused = []control.Refusal{{Key: k, Reason: work.RefusedDraining}}
			})
		}, "refused", "draining", false},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrayFleet(t, work.Step{Count: 1, Shape: work.Shape{Accelerators: 4}})
			f.report("a", nothing)
			f.report("b", nothing)
			first := f.place(0, 1, "a/i/1")
			c.end(f, first)
			if c.placedAgain {
				second := f.place(0, 2, "b/i/1")
				f.report("b", running(second))
			}
			require.Zero(t, f.logged("LeaderStray"))
			f.report("a", running(first))
			f.report("a", running(first))
			require.Equal(t, 1, f.logged("LeaderStray"), "once per run")
			log := f.log.String()
			require.Contains(t, log, `"EndedRun":1,"EndedWorker":"a/i/1","EndedAs":"`+c.as+`","EndCause":"`+c.cause+`"`)
			if !c.placedAgain {
				require.Zero(t, f.logged("LeaderRunsOverlap"))
				f.place(0, 2, "b/i/1")
				f.report("a", running(first))
			} else {
				require.Contains(t, log, `"PresentRunning":true`)
			}
			require.Equal(t, 1, f.logged("LeaderRunsOverlap"), "once per run")
			require.Contains(t, f.log.String(), `"PresentRun":2,"PresentWorker":"b/i/1"`)
		})
	}
}

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

// Guards against a task that is placed while a worker still reports a run of it, which
// the leader has taken for ended and stops.
func TestTaskWaitsForTheEndOfItsStrayRun(t *testing.T) {
	for name, c := range map[string]struct {
		step work.Step
		want int // units while the run is reported
	}{
		"single task": {work.Step{Count: 2}, 1},
		"gang":        {work.Step{Count: 2, Gang: true}, 0},
	} {
		t.Run(name, func(t *testing.T) {
			f := newStrayFleet(t, c.step)
			f.report("a", nothing)
			first := f.place(0, 1, "a/i/1")
			f.term.endIncarnation("a/i/1", "ended", uptime.Now())
			f.report("a", running(first))
			o, _ := f.streams["a"].orders()
			require.Equal(t, []work.RunKey{first}, o.Stops)
			require.Len(t, f.term.units(nil), c.want)
			f.report("a", ended(1, first, work.OutcomeStopped))
			require.Len(t, f.term.units(nil), len(newStrayFleet(t, c.step).term.units(nil)), "all tasks wait to be placed")
			f.report("a", running(first))
			require.Len(t, f.term.units(nil), c.want)
			f.report("a", func(r *control.Report) {
				running(first)(r)
				r.Worker.LeasesLapsed = true
			})
			require.Len(t, f.term.units(nil), len(newStrayFleet(t, c.step).term.units(nil)), "the leases have lapsed")
			f.report("a", running(first))
			f.term.endIncarnation("a/i/1", "no report within the lease", uptime.Now())
			require.Len(t, f.term.units(nil), len(newStrayFleet(t, c.step).term.units(nil)), "the worker is lost")
		})
	}
}

// Guards against the refusal of a repeated start that ends the run which an earlier call
// has started: its task would start elsewhere beside it.
func TestRefusalOfListedRunIsIgnored(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 1})
	f.report("a", nothing)
	k := f.place(0, 1, "a/i/1")
	refused := func(r *control.Report) {
		r.Refused = []control.Refusal{{Key: k, Reason: work.RefusedDraining}}
	}
	f.report("a", func(r *control.Report) { running(k)(r); refused(r) })
	require.True(t, f.term.jobs["j"].progress.Placed())
	require.Zero(t, f.logged("LeaderStray"))
	o, _ := f.streams["a"].orders()
	require.Empty(t, o.Starts, "the agent forgets the refusal of a run that is not ordered")
	require.Empty(t, o.Stops)
	f.report("a", refused)
	require.False(t, f.term.jobs["j"].progress.Placed())
}

// openDeclarations is a configuration without accounts in which no domain is out.
type openDeclarations struct{ Declarations }

func (openDeclarations) Configuration() *queue.Configuration { return nil }
func (openDeclarations) DomainOut(string) bool               { return false }

// Guards against a refused member of a gang that is placed again on the worker that has
// refused it: the run keeps its number, so a late report of the first refusal would end
// the second run, which may have started, and the member would start a third time.
func TestRefusedMemberIsNotPlacedOnTheSameWorker(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 2, Gang: true, Shape: work.Shape{Accelerators: 8}})
	f.term.cfg = f.term.cfg.withDefaults()
	f.term.cfg.Declarations, f.term.cfg.Meter = openDeclarations{}, meter.New()
	f.report("a", nothing)
	f.report("b", nothing)
	refused, waits := f.place(0, 1, "a/i/1"), f.place(1, 1, "b/i/1")
	f.report("b", running(waits))
	f.report("a", func(r *control.Report) {
		r.Refused = []control.Refusal{{Key: refused, Reason: work.RefusedNoCapacity}}
	})
	f.term.workers["a/i/1"].noCapacityUntil = uptime.Now().Add(-time.Millisecond)
	f.term.place(uptime.Now())
	tasks := f.term.jobs["j"].progress.Tasks
	require.Empty(t, tasks[0].Worker)
	require.True(t, tasks[1].Stopping, "the gang starts again under another number")
	f.report("b", ended(1, waits, work.OutcomeStopped))
	f.term.place(uptime.Now())
	require.Equal(t, 2, tasks[0].Run)
	require.NotEmpty(t, tasks[0].Worker)
}

// Guards against a gang that waits for its timeout because only some of its refused members
// are placed again: the only room for another one is on the worker that has refused it.
func TestGangIsStoppedIfOnlySomeMembersArePlaced(t *testing.T) {
	for _, other := range []string{"a", "z"} {
		t.Run("room at "+other, func(t *testing.T) {
			f := newStrayFleet(t, work.Step{Count: 3, Gang: true, Shape: work.Shape{Accelerators: 4}})
			f.term.cfg = f.term.cfg.withDefaults()
			f.term.cfg.Declarations, f.term.cfg.Meter = openDeclarations{}, meter.New()
			small := func(r *control.Report) { r.Worker.Capacity.Accelerators = 4 }
			f.report("m", nothing)
			f.report("n", small)
			f.report(other, small)
			first, second, waits := f.place(0, 1, "m/i/1"), f.place(1, 1, "m/i/1"), f.place(2, 1, "n/i/1")
			f.report("n", func(r *control.Report) { running(waits)(r); small(r) })
			f.report("m", func(r *control.Report) {
				r.Refused = []control.Refusal{{Key: first, Reason: work.RefusedNoCapacity}, {Key: second, Reason: work.RefusedNoCapacity}}
			})
			f.term.workers["m/i/1"].closedUntil = uptime.Now().Add(-time.Millisecond)
			f.term.place(uptime.Now())
			for _, task := range f.term.jobs["j"].progress.Tasks {
				require.Equal(t, task.Placed(), task.Stopping, "the gang starts again under another number")
			}
		})
	}
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

// Guards against an error line for each run of a worker that does not respond: the agent
// goes on to report the runs that it last listed, also in its first reports after the
// worker has replied to another call.
func TestOutdatedListShowsNoOverlap(t *testing.T) {
	f := newStrayFleet(t, work.Step{Count: 1})
	f.report("a", nothing)
	f.report("b", nothing)
	first := f.place(0, 1, "a/i/1")
	f.report("a", running(first))
	lapsed := func(r *control.Report) { running(first)(r); r.Worker.Unresponsive, r.Worker.LeasesLapsed = true, true }
	f.report("a", lapsed)
	f.place(0, 2, "b/i/1")
	f.report("a", lapsed)
	f.report("a", lapsed)
	f.report("a", running(first))
	require.Equal(t, 1, f.logged("LeaderStray"))
	require.Zero(t, f.logged("LeaderRunsOverlap"))
	f.report("a", func(r *control.Report) { running(first)(r); r.Running[0].Percent++ })
	require.Equal(t, 1, f.logged("LeaderRunsOverlap"), "the run goes on")
}
