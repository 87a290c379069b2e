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

// Guards against the end of an earlier run, an end from another worker or a
// repeated end that changes a task.
func TestEndIgnoresOtherRuns(t *testing.T) {
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

// Guards against gang members with different outcomes or checkpoints, and against
// a failed run of a gang that is counted once per member.
func TestGangMembersShareOutcome(t *testing.T) {
	j := job(2, work.Step{Count: 3, Gang: true})
	p := work.NewProgress(j)
	var runs []work.RunKey
	for i := range 3 {
		runs = append(runs, place(p, j, work.TaskKey{Job: "j", Index: i}, "w"))
	}
	for _, r := range runs[:2] {
		p.End(j, r, "w", work.OutcomeFailed, "", now)
	}
	require.Equal(t, work.Running, p.State, "the failures of two members of one run count once")
	p.End(j, runs[2], "w", work.OutcomeGangBroken, "", now)
	for i := range 3 {
		runs[i] = place(p, j, work.TaskKey{Job: "j", Index: i}, "w")
	}
	p.End(j, runs[1], "w", work.OutcomeDone, "c", now)
	require.Equal(t, work.Completed, p.State)
	require.True(t, p.Placed(), "the other members occupy their workers until they are reported as ended")
	require.Equal(t, "c", p.Task(j, work.TaskKey{Job: "j", Index: 2}).Checkpoint)
}

// Guards against a step that starts before its dependencies are done, and against
// an occurrence that starts before its time.
func TestReadyWaitsForDependenciesAndStart(t *testing.T) {
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

// Guards, for random sequences of starts and ends, against jobs that complete while
// a task is not done, that change state after their end, or that fail before all
// attempts of a task have failed.
func TestJobStateUnderRandomEvents(t *testing.T) {
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
			outcome := rapid.SampledFrom([]work.Outcome{work.OutcomeDone, work.OutcomeFailed, work.OutcomeStopped, work.OutcomeWorkerLost}).Draw(t, "how")
			if p.End(j, work.RunKey{Task: k, Run: task.Run}, "w", outcome, "", now) && outcome == work.OutcomeFailed {
				failed[k]++
			}
			if before.Final() && p.State != before {
				t.Fatalf("the final state %s changed to %s", before, p.State)
			}
		}
		for i := range p.Tasks {
			if p.State == work.Completed && !p.Tasks[i].Done {
				t.Fatal("the job is completed, but a task is not done")
			}
		}
		maxFailures := 0
		for k, n := range failed {
			if k.Step == 0 {
				maxFailures = max(maxFailures, n)
			} else {
				maxFailures = max(maxFailures, failed[work.TaskKey{Job: "j", Step: 1}]+failed[work.TaskKey{Job: "j", Step: 1, Index: 1}])
			}
		}
		if p.State == work.Failed && maxFailures < j.MaxAttempts {
			t.Fatalf("the job failed after %d failed runs of a task; it has %d attempts", maxFailures, j.MaxAttempts)
		}
	})
}

// Guards, for random sequences of starts, losses and ends that arrive late or more than
// once, against a task that starts again after an end as done of one of its runs, and
// against members of a gang that differ in whether they are done.
func TestTaskDoneLateNeverStartsAgain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := job(3, work.Step{Count: 2}, work.Step{Count: 2, Gang: true})
		p := work.NewProgress(j)
		type run struct {
			key    work.RunKey
			worker string
		}
		var runs []run
		ended := make(map[work.TaskKey]bool) // tasks with an end as done
		for range rapid.IntRange(1, 60).Draw(t, "events") {
			k := work.TaskKey{Job: "j", Step: rapid.IntRange(0, 1).Draw(t, "step"), Index: rapid.IntRange(0, 1).Draw(t, "index")}
			task := p.Task(j, k)
			switch rapid.IntRange(0, 2).Draw(t, "event") {
			case 0:
				if task.Placed() || task.Done || !p.Ready(j, 0, k.Step, now) {
					continue
				}
				if ended[k] {
					t.Fatalf("%v starts again after an end as done", k)
				}
				worker := rapid.SampledFrom([]string{"w1", "w2"}).Draw(t, "worker")
				if k.Step == 1 {
					// A refused member starts elsewhere under the number of the others.
					other := p.Step(j, 0, 1)[1-k.Index]
					n := max(task.Run, other.Run) + 1
					if other.Placed() {
						n = other.Run
					}
					p.Place(task, worker, "", n)
					runs = append(runs, run{work.RunKey{Task: k, Run: n}, worker})
					continue
				}
				runs = append(runs, run{place(p, j, k, worker), worker})
			case 1:
				outcome := rapid.SampledFrom([]work.Outcome{work.OutcomeWorkerLost, work.OutcomeRefused, work.OutcomeStopped}).Draw(t, "how")
				p.End(j, work.RunKey{Task: k, Run: task.Run}, task.Worker, outcome, "", now)
			case 2:
				if len(runs) == 0 {
					continue
				}
				r := rapid.SampledFrom(runs).Draw(t, "run")
				if !p.End(j, r.key, r.worker, work.OutcomeDone, "", now) {
					p.EndLate(j, r.key, now)
				}
				ended[r.key.Task] = true
				if r.key.Task.Step == 1 {
					ended[work.TaskKey{Job: "j", Step: 1, Index: 1 - r.key.Task.Index}] = true
				}
				if !p.Task(j, r.key.Task).Done {
					t.Fatalf("%v is not done after its end as done", r.key)
				}
			}
			if gang := p.Step(j, 0, 1); gang[0].Done != gang[1].Done {
				t.Fatal("the members of the gang differ")
			}
		}
		if len(ended) == len(p.Tasks) && p.State != work.Completed {
			t.Fatalf("all tasks have ended as done, but the job is %s", p.State)
		}
	})
}

// Guards against a task that counts as done by the end of a run that was never started,
// or because a long-running task reports an end as done.
func TestEndLateNeedsARunOfTheTask(t *testing.T) {
	j := job(1, work.Step{Count: 1}, work.Step{Count: 1, LongRunning: true})
	p := work.NewProgress(j)
	first, long := place(p, j, work.TaskKey{Job: "j"}, "w"), place(p, j, work.TaskKey{Job: "j", Step: 1}, "w")
	for _, k := range []work.RunKey{
		{Task: first.Task}, {Task: first.Task, Run: 2}, long, {Task: work.TaskKey{Job: "j", Index: 1}, Run: 1},
	} {
		require.False(t, p.EndLate(j, k, now), k)
	}
	require.True(t, p.EndLate(j, first, now))
	require.False(t, p.EndLate(j, first, now))
}
