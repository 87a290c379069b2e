package work_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/rosemarysill/rosemarysill/work"
)

var now = time.Unix(1000, 0)

func job(attempts int, steps ...work.Step) *work.Job {
	return &work.Job{ID: "j", MaxAttempts: attempts, Steps: steps}
}

func place(p *work.Progress, j *work.Job, k work.TaskKey, worker string) work.RunKey {
	t := p.Task(j, k)
	p.Place(t, worker, "", t.Run+1)
	return work.RunKey{Task: k, Run: t.Run}
}

// Guards against ends of earlier runs, of other workers, and repeated ends
// that change a task.
func TestEndOfAnotherRun(t *testing.T) {
	j := job(2, work.Step{Count: 1})
	p := work.NewProgress(j)
	k := work.TaskKey{Job: "j"}
	first := place(p, j, k, "w1")
	require.False(t, p.End(j, first, "w2", work.OutcomeDone, "", now))
	require.True(t, p.End(j, first, "w1", work.OutcomeWorkerLost, "", now))
	second := place(p, j, k, "w2")
	require.False(t, p.End(j, first, "w1", work.OutcomeDone, "", now))
	require.True(t, p.End(j, second, "w2", work.OutcomeDone, "", now))
	require.Equal(t, work.Completed, p.State)
	require.False(t, p.End(j, second, "w2", work.OutcomeFailed, "", now))
}

// Guards against a gang of which one member stands for another run, and
// against failures that are counted once for each member.
func TestGangEndsTogether(t *testing.T) {
	j := job(2, work.Step{Count: 3, Gang: true})
	p := work.NewProgress(j)
	var runs []work.RunKey
	for i := range 3 {
		runs = append(runs, place(p, j, work.TaskKey{Job: "j", Index: i}, "w"))
	}
	for _, r := range runs[:2] {
		p.End(j, r, "w", work.OutcomeFailed, "", now)
	}
	require.Equal(t, work.Running, p.State, "two members of one run are one failure")
	p.End(j, runs[2], "w", work.OutcomeGangBroken, "", now)
	for i := range 3 {
		runs[i] = place(p, j, work.TaskKey{Job: "j", Index: i}, "w")
	}
	p.End(j, runs[1], "w", work.OutcomeDone, "c", now)
	require.Equal(t, work.Completed, p.State)
	require.True(t, p.Placed(), "the room of the others is used until their ends are listed")
	require.Equal(t, "c", p.Task(j, work.TaskKey{Job: "j", Index: 2}).Checkpoint)
}

// Guards against a step that starts before those it waits for, or an
// occurrence before its time.
func TestReady(t *testing.T) {
	j := job(1, work.Step{Count: 2}, work.Step{Count: 1, DependsOn: []int{0}})
	j.Occurrences, j.Start, j.Interval = 2, now, time.Minute
	p := work.NewProgress(j)
	require.False(t, p.Ready(j, 0, 0, now.Add(-time.Second)))
	require.True(t, p.Ready(j, 0, 0, now))
	require.False(t, p.Ready(j, 1, 0, now))
	require.False(t, p.Ready(j, 0, 1, now))
	for i := range 2 {
		p.End(j, place(p, j, work.TaskKey{Job: "j", Index: i}, "w"), "w", work.OutcomeDone, "", now)
	}
	require.True(t, p.Ready(j, 0, 1, now))
	require.True(t, p.Ready(j, 1, 0, now.Add(time.Minute)))
}

// Guards, for any sequence of starts and ends, against jobs that are shown as
// completed too early, that change after their end, or that fail without as
// many failed runs as they have attempts.
func TestAnySequence(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := job(rapid.IntRange(1, 3).Draw(t, "attempts"), work.Step{Count: rapid.IntRange(1, 3).Draw(t, "count")}, work.Step{Count: 2, Gang: true, DependsOn: []int{0}})
		p := work.NewProgress(j)
		failed := make(map[work.TaskKey]int)
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			step := rapid.IntRange(0, 1).Draw(t, "step")
			k := work.TaskKey{Job: "j", Step: step, Index: rapid.IntRange(0, j.Steps[step].Count-1).Draw(t, "index")}
			task := p.Task(j, k)
			before := p.State
			if !task.Placed() && !task.Done && p.Ready(j, 0, step, now) {
				place(p, j, k, "w")
				continue
			}
			how := rapid.SampledFrom([]work.Outcome{work.OutcomeDone, work.OutcomeFailed, work.OutcomeStopped, work.OutcomeWorkerLost}).Draw(t, "how")
			if p.End(j, work.RunKey{Task: k, Run: task.Run}, "w", how, "", now) && how == work.OutcomeFailed {
				failed[k]++
			}
			if before.Final() && p.State != before {
				t.Fatalf("%s became %s", before, p.State)
			}
		}
		for i := range p.Tasks {
			if p.State == work.Completed && !p.Tasks[i].Done {
				t.Fatal("completed with a task that is not done")
			}
		}
		most := 0
		for k, n := range failed {
			if k.Step == 0 {
				most = max(most, n)
			} else {
				most = max(most, failed[work.TaskKey{Job: "j", Step: 1}]+failed[work.TaskKey{Job: "j", Step: 1, Index: 1}])
			}
		}
		if p.State == work.Failed && most < j.MaxAttempts {
			t.Fatalf("failed after %d failed runs of %d attempts", most, j.MaxAttempts)
		}
	})
}
