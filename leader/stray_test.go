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

func (openDeclarations) DomainOut(string) bool { return false }

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
