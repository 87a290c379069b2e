package leader

import (
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against runs of a later life of a worker that are taken for lost with
// the earlier one, because the order to start them was meant for that. Found by
// the soak (seed 431): the run had ended as done in the later life.
func TestRunsOfALaterLife(t *testing.T) {
	const before, after = "a/i/1", "a/i/2"
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 2}}}
	p := work.NewProgress(j)
	runs := make([]work.RunKey, 2)
	for i := range runs {
		runs[i] = work.RunKey{Task: work.TaskKey{Job: "j", Index: i}, Run: 1}
		p.Place(&p.Tasks[i], before, "", 1)
	}
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
	term.jobs["j"] = &jobState{job: j, progress: p, recorded: append([]work.Task(nil), p.Tasks...)}
	term.workers[before] = newWorkerState(control.Worker{Incarnation: before}, "a", uptime.Now())

	require.NoError(t, term.report(term.newStream(), control.Report{
		Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: after}, EndedIncarnations: []string{before},
		Running: []work.RunStatus{{Key: runs[0]}},
		Ended:   []work.RunEnd{{Seq: 1, Key: runs[1], Outcome: work.OutcomeDone}},
	}))
	require.Equal(t, after, p.Tasks[0].Worker)
	require.True(t, p.Tasks[1].Done)
}

// Guards against a report on a connection that the agent has given up, held up
// by a cut and delivered after newer ones: its lists lack what has started
// since, so the worker would seem to have room that it has not.
func TestReportOnAnEarlierStream(t *testing.T) {
	const id = "a/i/1"
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
	j := &work.Job{ID: "j", MaxAttempts: 2, Steps: []work.Step{{Count: 1, Shape: work.Shape{Accelerators: 8}}}}
	term.jobs["j"] = &jobState{job: j, progress: work.NewProgress(j)}
	given, present := term.newStream(), term.newStream()
	stray := work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}
	report := func(runs ...work.RunStatus) control.Report {
		return control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id, Capacity: work.Shape{Accelerators: 8}}, Running: runs}
	}
	require.NoError(t, term.report(given, report()))
	require.NoError(t, term.report(present, report(work.RunStatus{Key: stray})))
	require.Len(t, term.workers[id].strays, 1)

	late := report()
	late.Worker.LeasesLapsed = true
	require.ErrorIs(t, term.report(given, late), errSuperseded)
	require.Len(t, term.workers[id].strays, 1, "the run is still there")
	require.NoError(t, term.report(present, report()))
	require.Empty(t, term.workers[id].strays)
}

// Guards against a decision for each report of each agent, which looks at the
// whole fleet, and against news that wait for the next tick.
func TestReportsThatCauseDecisions(t *testing.T) {
	const id = "a/i/1"
	key := work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 1}
	for name, c := range map[string]struct {
		change func(*control.Report)
		want   bool
	}{
		"runs go on":           {func(*control.Report) {}, false},
		"a run has ended":      {func(r *control.Report) { r.Ended = []work.RunEnd{{Seq: 3, Key: key, Outcome: work.OutcomeDone}} }, true},
		"an end told before":   {func(r *control.Report) { r.Ended = []work.RunEnd{{Seq: 2, Key: key, Outcome: work.OutcomeDone}} }, false},
		"a start is refused":   {func(r *control.Report) { r.Refused = []control.Refused{{Key: key}} }, true},
		"the worker drains":    {func(r *control.Report) { r.Worker.Draining = true }, true},
		"the worker is silent": {func(r *control.Report) { r.Worker.Unresponsive = true }, true},
		"leases have lapsed":   {func(r *control.Report) { r.Worker.LeasesLapsed = true }, true},
		"a life has ended":     {func(r *control.Report) { r.EndedIncarnations = []string{"a/i/0"} }, true},
		"the next life":        {func(r *control.Report) { r.Worker.Incarnation = "a/i/2" }, true},
		"no worker any more":   {func(r *control.Report) { r.Worker, r.EndedIncarnations = nil, []string{id} }, true},
		"no worker as yet":     {func(r *control.Report) { r.Worker = nil }, false},
	} {
		t.Run(name, func(t *testing.T) {
			term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
			stream := term.newStream()
			first := control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id}}
			require.NoError(t, term.report(stream, first))
			<-term.wake
			term.workers[id].applied = 2
			next := control.Report{Agent: "a", Stamp: uptime.Now(), Worker: &control.Worker{Incarnation: id}}
			c.change(&next)
			require.NoError(t, term.report(stream, next))
			select {
			case <-term.wake:
				require.True(t, c.want)
			default:
				require.False(t, c.want)
			}
		})
	}
}

// faulty is a stream of an agent that fails in an unexpected way.
type faulty struct{ control.AgentStream }

// Guards against a report that ends the leader's process, and then the next
// leader's, because the agent repeats it.
func TestPanicInAReport(t *testing.T) {
	term := newTerm(Config{Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(time.Minute))
	require.ErrorIs(t, term.newStream().receiveSafely(faulty{}), errBadReport)
	require.NoError(t, term.report(term.newStream(), control.Report{Agent: "a"}), "others are served")
}
