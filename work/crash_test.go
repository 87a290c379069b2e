package work_test

import (
	"slices"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a record of crashes that changes in the copies of a task that were made
// for a commit.
func TestCrashesOfCopiesDoNotChange(t *testing.T) {
	var task work.Task
	for range 3 {
		task.RecordCrash(work.Crash{Worker: "w", Cause: work.CauseTask})
	}
	committed := slices.Clone([]work.Task{task})
	other := task
	task.RecordCrash(work.Crash{Worker: "x"})
	other.RecordCrash(work.Crash{Worker: "y"})
	require.Equal(t, "x", task.Crashes[3].Worker)
	require.True(t, task.WithdrawCrash("w"))
	require.False(t, task.WithdrawCrash("w"), "it is withdrawn already")
	require.False(t, task.WithdrawCrash("z"))
	require.Equal(t, work.CauseTask, committed[0].Crashes[0].Cause)
}

// Guards against a bound on the runs after three crashes that counts runs before the third
// one, or starts that were refused.
func TestLaterRuns(t *testing.T) {
	j := job(9, work.Step{Count: 1})
	p := work.NewProgress(j)
	k := work.TaskKey{Job: "j"}
	for range work.LaterRunsFrom {
		run := place(p, j, k, "w")
		p.Tasks[0].RecordCrash(work.Crash{})
		p.End(j, run, "w", work.OutcomeWorkerLost, "", now)
	}
	require.Zero(t, p.Tasks[0].LaterRuns)
	p.End(j, place(p, j, k, "w"), "w", work.OutcomeRefused, "", now)
	require.Zero(t, p.Tasks[0].LaterRuns)
	p.End(j, place(p, j, k, "w"), "w", work.OutcomeStopped, "", now)
	require.Equal(t, 1, p.Tasks[0].LaterRuns)
}

// Guards against a job that is given up after it has ended.
func TestGiveUp(t *testing.T) {
	j := job(1, work.Step{Count: 1})
	p := work.NewProgress(j)
	require.True(t, p.GiveUp(now))
	require.Equal(t, work.Failed, p.State)
	require.False(t, p.GiveUp(now))
	p = work.NewProgress(j)
	p.End(j, place(p, j, work.TaskKey{Job: "j"}, "w"), "w", work.OutcomeDone, "", now)
	require.False(t, p.GiveUp(now))
	require.Equal(t, work.Completed, p.State)
}
