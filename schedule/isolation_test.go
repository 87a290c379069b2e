package schedule_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// isolated returns the units of a job of priority 0 with single tasks that are isolated.
func isolated(id string, count int) []*schedule.Unit {
	all := units(newJob(id, 0, work.Step{Count: count, Shape: accelerators(1)}))
	for _, u := range all {
		u.Isolated, u.AvoidsRecentStarts = true, true
	}
	return all
}

// Guards against a task that may crash its worker and is started where that costs more
// than elsewhere, or beside a run that has just started.
func TestIsolatedUnitStartsWhereLossCostsLeast(t *testing.T) {
	workers := fleet(4)
	addRun(workers[0], "expensive", 1, accelerators(1), 100)
	addRun(workers[1], "urgent", 0, accelerators(1), 1)
	addRun(workers[2], "cheap", 1, accelerators(4), 10)
	workers[3].StartedRecently = true
	plan := schedule.Decide(workers, isolated("j", 1), 0)
	require.Len(t, plan.Placements, 1)
	require.Equal(t, "w02", plan.Placements[0].Worker)
}

// Guards against two tasks that may crash their workers, or one and any other, that are
// started on one worker in the same pass.
func TestNothingStartsBesideIsolatedUnit(t *testing.T) {
	all := append(isolated("first", 1), isolated("second", 2)...)
	all = append(all, units(newJob("other", 1, work.Step{Count: 20, Shape: accelerators(1)}))...)
	plan := schedule.Decide(fleet(4), all, 0)
	jobs := make(map[string]map[string]bool)
	for _, p := range plan.Placements {
		if jobs[p.Worker] == nil {
			jobs[p.Worker] = make(map[string]bool)
		}
		jobs[p.Worker][p.Task.Job] = true
	}
	require.Len(t, plan.Placements, 3+8, "the others use the worker that is left")
	for worker, on := range jobs {
		require.Len(t, on, 1, worker)
	}
}

// Guards against a queue that is blocked by a task that may crash its worker and finds
// none: it must not reserve capacity or preempt runs, and others go on.
func TestIsolatedUnitWaitsWithoutBlocking(t *testing.T) {
	workers := fleet(2)
	for _, w := range workers {
		w.StartedRecently = true
		addRun(w, "running", 1, accelerators(7), 1)
	}
	plan := schedule.Decide(workers, append(isolated("j", 1), units(newJob("other", 1, work.Step{Count: 2, Shape: accelerators(1)}))...), 0)
	require.Empty(t, plan.Stops)
	require.Len(t, plan.Placements, 2)
	for _, p := range plan.Placements {
		require.Equal(t, "other", p.Task.Job)
	}
}

// Guards against a gang that is not started because its members share a worker.
func TestIsolatedGangSharesWorker(t *testing.T) {
	all := units(newJob("gang", 0, work.Step{Count: 4, Shape: accelerators(2), Gang: true}))
	all[0].Isolated, all[0].AvoidsRecentStarts = true, true
	require.Len(t, schedule.Decide(fleet(1), all, 0).Placements, 4)
}

// Guards against tasks that may crash their workers and are started together once they
// have waited in vain: each of them would be blamed for the crash of one.
func TestIsolatedUnitsAreStartedApart(t *testing.T) {
	workers := fleet(2)
	for _, w := range workers {
		w.StartedRecently = true
	}
	all := isolated("j", 3)
	for _, u := range all {
		u.AvoidsRecentStarts = false
	}
	plan := schedule.Decide(workers, all, 0)
	require.Len(t, plan.Placements, 2)
	require.NotEqual(t, plan.Placements[0].Worker, plan.Placements[1].Worker)
}
