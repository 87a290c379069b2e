package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// ownRun adds a run within the guarantee of an account.
func ownRun(w *schedule.Worker, id, account string, n int64) {
	addRun(w, id, 0, accelerators(n), 1)
	r := &w.Runs[len(w.Runs)-1]
	r.Guaranteed, r.Account = true, account
}

// claimOf returns the unit of a job of the account that needs a whole worker within its
// guarantee and has to start now.
func claimOf(account string) *schedule.Unit {
	u := units(newJob("claim", 0, work.Step{Count: 1, Shape: accelerators(8)}))[0]
	u.Job.Account, u.Guaranteed, u.MustStartNow, u.QueuedSince = account, true, true, time.Unix(100, 0)
	return u
}

// Guards against a claim within a guarantee that does not start because what is left of it
// lies in pieces beside the account's own runs, and against moves of runs that have no
// place to go, are of others or have been moved before.
func TestRunsAreMovedForAClaim(t *testing.T) {
	for name, c := range map[string]struct {
		change func(f []*schedule.Worker, claim *schedule.Unit)
		stops  []string // jobs, in the order of workers
	}{
		"pieces on two workers": {func([]*schedule.Worker, *schedule.Unit) {}, []string{"own0"}},
		"has time to start":     {func(_ []*schedule.Worker, claim *schedule.Unit) { claim.MustStartNow = false }, nil},
		"at risk": {func(_ []*schedule.Worker, claim *schedule.Unit) {
			claim.MustStartNow, claim.Timeliness = false, schedule.AtRisk
		}, []string{"own0"}},
		"not within the guarantee": {func(_ []*schedule.Worker, claim *schedule.Unit) { claim.Guaranteed = false }, nil},
		"runs of another account":  {func(_ []*schedule.Worker, claim *schedule.Unit) { claim.Job.Account = "south" }, nil},
		"runs of the same job":     {func(_ []*schedule.Worker, claim *schedule.Unit) { claim.Job.ID = "own0" }, []string{"own1"}},
		"the piece is in use": {func(f []*schedule.Worker, _ *schedule.Unit) {
			ownRun(f[0], "other", "south", 4)
			ownRun(f[1], "other", "south", 4)
		}, nil},
		"one piece is in use":      {func(f []*schedule.Worker, _ *schedule.Unit) { ownRun(f[1], "other", "south", 4) }, nil},
		"batch work holds a piece": {func(f []*schedule.Worker, _ *schedule.Unit) { addRun(f[1], "batch", 2, accelerators(4), 10) }, []string{"own0"}},
		"moved before":             {func(f []*schedule.Worker, _ *schedule.Unit) { f[0].Runs[0].Preempted, f[1].Runs[0].Preempted = 1, 1 }, nil},
		"one was moved before":     {func(f []*schedule.Worker, _ *schedule.Unit) { f[0].Runs[0].Preempted = 1 }, []string{"own1"}},
		"other worker closed":      {func(f []*schedule.Worker, _ *schedule.Unit) { f[1].Schedulable = false }, nil},
		"other worker lacks a label": {func(f []*schedule.Worker, _ *schedule.Unit) {
			f[0].Labels, f[0].Runs[0].RequiredLabel = []string{"fast", "r0"}, "fast"
		}, []string{"own1"}},
		"workers differ in other labels": {func(f []*schedule.Worker, _ *schedule.Unit) {
			f[0].Labels, f[1].Labels = []string{"r0"}, []string{"r1"}
		}, []string{"own0"}},
		"one has advice": {func(f []*schedule.Worker, _ *schedule.Unit) { f[0].Runs[0].Advised = true }, []string{"own1"}},
		"batch work may be stopped": {func(f []*schedule.Worker, _ *schedule.Unit) {
			f[1].Runs = nil
			addRun(f[1], "batch", 2, accelerators(1), 1e6)
		}, []string{"batch"}},
		"one piece for two runs": {func(f []*schedule.Worker, _ *schedule.Unit) {
			f[0].Runs, f[1].Runs = nil, nil
			ownRun(f[0], "own0", "north", 3)
			ownRun(f[0], "own2", "north", 3)
			ownRun(f[1], "own1", "north", 5)
		}, nil},
		"members of a gang have room": {func(f []*schedule.Worker, _ *schedule.Unit) { f[0].Runs[0].Gang, f[1].Runs[0].Gang = "g", "g" }, []string{"own0", "own1"}},
	} {
		t.Run(name, func(t *testing.T) {
			f := fleet(2)
			ownRun(f[0], "own0", "north", 4)
			ownRun(f[1], "own1", "north", 4)
			claim := claimOf("north")
			c.change(f, claim)
			var stopped []string
			for _, stop := range schedule.Decide(f, []*schedule.Unit{claim}, 0).Stops {
				stopped = append(stopped, stop.Task.Job)
			}
			require.Equal(t, c.stops, stopped)
		})
	}
}

// Guards against a moved run that takes the place it was moved from.
func TestMovedRunStartsInOtherPiece(t *testing.T) {
	f := fleet(2)
	ownRun(f[1], "own1", "north", 4)
	moved := units(newJob("own0", 0, work.Step{Count: 1, Shape: accelerators(4)}))[0]
	moved.Job.Account, moved.Guaranteed, moved.MustStartNow = "north", true, true
	plan := schedule.Decide(f, []*schedule.Unit{claimOf("north"), moved}, 0)
	require.Empty(t, plan.Stops)
	worker := make(map[string]string)
	for _, p := range plan.Placements {
		worker[p.Task.Job] = p.Worker
	}
	require.Equal(t, map[string]string{"claim": "w00", "own0": "w01"}, worker)
}
