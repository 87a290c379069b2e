package leader_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func spec(d time.Duration, more string) string {
	return fmt.Sprintf("%s%s %s", standin.SpecFor, d, more)
}

// Guards against tasks that start before the steps that they wait for, gangs
// that begin in part, and ends that are lost on the way to the record.
func TestStepsAndGangs(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 3)
	first, second := step(4, 100*time.Millisecond), step(6, 100*time.Millisecond)
	second.DependsOn, second.MaxPerWorker = []int{0}, 2
	j := w.submit("steps", first, second)
	j.Spec = spec(100*time.Millisecond, "")
	gang := step(5, 200*time.Millisecond)
	gang.Gang = true
	g := &work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(200*time.Millisecond, "gang=5")}
	w.record(g)
	w.reaches("steps", work.Completed)
	w.reaches("gang", work.Completed)
	w.sound()
	require.Equal(t, 1, w.steps.Done(work.TaskKey{Job: "steps", Step: 1, Index: 5}))
	require.Equal(t, 1, w.steps.Done(work.TaskKey{Job: "gang", Index: 4}))
}

// Guards against a job that is tried more often than its attempts, or shown as
// anything but failed after them.
func TestAttempts(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "bad", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 0)}, Spec: spec(50*time.Millisecond, standin.SpecFails)})
	w.reaches("bad", work.Failed)
	require.Equal(t, 1, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "bad"}, Run: 2}))
	require.Zero(t, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "bad"}, Run: 3}))
}

// Guards against a second run of a task after the leader that ordered the
// first one has crashed, and against work that waits for a leader for good.
func TestLeaderCrashes(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 3, 3)
	w.record(&work.Job{ID: "before", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(6, time.Second)}, Spec: spec(4*time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 6 }, 20*time.Second, 10*time.Millisecond)
	w.crash(w.leads())
	w.record(&work.Job{ID: "after", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(6, time.Second)}, Spec: spec(100*time.Millisecond, "")})
	w.reaches("after", work.Completed)
	w.reaches("before", work.Completed)
	w.sound()
	for i := range 6 {
		require.Equal(t, 1, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "before", Index: i}, Run: 1}))
		require.Zero(t, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "before", Index: i}, Run: 2}), "the run goes on under the next leader")
	}
}

// Guards against a deposed leader that still records: it is cut off from the
// store while it holds the lead, and another is elected.
func TestLeaderCutOffFromStore(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	old := w.leads()
	w.store.SetFault(old, standin.Silent)
	w.submit("during", step(3, 100*time.Millisecond))
	require.Eventually(t, func() bool {
		for name, e := range w.entries {
			if got, ok := e.copy.Job("during"); name != old && ok && got.State() == work.Completed {
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
	w.store.SetFault(old, standin.Healthy)
	w.submit("healed", step(3, 100*time.Millisecond))
	w.reaches("healed", work.Completed)
	w.sound()
}

// Guards against two leaders: the record of the lead is gone while its holder
// still renews the lease, so only the guard of its commits can stop it.
func TestLeaderRecordTakenAway(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	old := w.leads()
	w.store.Remove(jobstore.LeaderKey)
	require.Eventually(t, func() bool {
		rec, at := w.entries[old].copy.LeaderRecord()
		return at != 0 && rec.Epoch == 2
	}, 20*time.Second, 10*time.Millisecond)
	for i := range 10 {
		w.submit(fmt.Sprintf("job%d", i), step(3, 100*time.Millisecond))
	}
	for i := range 10 {
		w.reaches(fmt.Sprintf("job%d", i), work.Completed)
	}
	w.sound()
}

// Guards against a second run of a task while a worker that was cut off runs
// on: the task waits until the lease of the first run has lapsed.
func TestAgentLost(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "long", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(4, time.Second)}, Spec: spec(8*time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond)
	for _, a := range w.agents {
		if a.worker.Runs() > 0 {
			a.kill()
			break
		}
	}
	w.reaches("long", work.Completed)
	w.sound()
}

// Guards against orders that are carried out seconds late, after newer ones.
func TestLateOrders(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.leads()
	for _, a := range w.agents {
		a.worker.SetLate(1500 * time.Millisecond)
	}
	w.submit("late", step(6, 100*time.Millisecond))
	time.Sleep(1200 * time.Millisecond) // the orders go unanswered for a while
	for _, a := range w.agents {
		a.worker.SetLate(0)
	}
	w.reaches("late", work.Completed)
	w.sound()
}

// Guards against a commit whose answer is lost: it is neither taken for undone
// nor done twice.
func TestCommitAnswersLost(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]standin.Fault{"done": standin.Losing, "done late": standin.Late} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			w := newWorld(t, 2, 2)
			w.store.LateBy = 700 * time.Millisecond
			old := w.leads()
			w.store.SetFault(old, f)
			w.submit("lost", step(5, 100*time.Millisecond))
			time.Sleep(900 * time.Millisecond) // several commits lose their answers
			w.store.SetFault(old, standin.Healthy)
			w.reaches("lost", work.Completed)
			w.sound()
		})
	}
}

// Guards against orders that go out twice, or runs that are given up, when a weak
// leader hands over to a stronger entry while tasks run.
func TestHandOverWhileTasksRun(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 2)
	w.cores = 0.2
	w.addEntry("weak")
	require.Equal(t, "weak", w.leads())
	w.record(&work.Job{ID: "long", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(16, 3*time.Second)}, Spec: spec(3*time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 16 }, 20*time.Second, 10*time.Millisecond)
	w.cores = 0.8
	w.addEntry("strong")
	require.Eventually(t, func() bool { return w.leads() == "strong" }, 20*time.Second, 10*time.Millisecond)
	w.submit("next", step(4, 100*time.Millisecond))
	w.reaches("next", work.Completed)
	w.reaches("long", work.Completed)
	for i := range 16 {
		require.Zero(t, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "long", Index: i}, Run: 2}), "no run is given up")
	}
	w.sound()
}

// Guards against tasks of a cancelled job that run on or start again.
func TestCancel(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "gone", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(20, time.Second)}, Spec: spec(30*time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 16 }, 20*time.Second, 10*time.Millisecond)
	w.store.Put(jobstore.CancelKey("gone"), []byte("{}"))
	w.reaches("gone", work.Cancelled)
	require.Eventually(t, func() bool { return w.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	w.sound()
}

// Guards against a worker that starts again under the identifier that it had:
// its earlier runs have ended, and it may not be taken for the same.
func TestWorkerRestartsUnderItsIdentifier(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	w.record(&work.Job{ID: "again", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(2, time.Second)}, Spec: spec(700*time.Millisecond, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 2 }, 20*time.Second, 10*time.Millisecond)
	a := w.agents["agent0"]
	a.worker.Restart()
	a.seq = 0
	w.announce(a, work.WorkerReady, 0)
	w.reaches("again", work.Completed)
	w.sound()
	require.Equal(t, 1, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "again"}, Run: 2}))
}

// Guards against new work on a worker that is leaving, and against runs that
// stay on it though they cannot be done in time.
func TestWorkerLeaves(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "move", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(8, 5*time.Second)}, Spec: spec(2*time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
	for _, a := range w.agents {
		w.announce(a, work.WorkerDraining, 200*time.Millisecond)
	}
	require.Eventually(t, func() bool { return w.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	w.submit("none", step(1, 100*time.Millisecond))
	time.Sleep(300 * time.Millisecond) // a start would come within milliseconds
	require.Zero(t, w.steps.Runs())
	w.announce(w.agents["agent0"], work.WorkerReady, 0)
	w.reaches("none", work.Completed)
	w.reaches("move", work.Completed)
	w.sound()
}

// Guards against jobs that are forgotten, or done again, when all machines
// lose power at once.
func TestAllPowerLost(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 2, 2)
	w.submit("done", step(3, 100*time.Millisecond))
	w.reaches("done", work.Completed)
	w.record(&work.Job{ID: "half", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(4, time.Second)}, Spec: spec(time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond)
	for name := range w.entries {
		w.crash(name)
	}
	agents := w.agents
	w.agents = make(map[string]*agent)
	for _, a := range agents {
		a.kill()
		a.worker.Restart()
	}
	w.addEntry("next")
	for name, a := range agents {
		w.addAgent(name, a.worker)
	}
	w.reaches("half", work.Completed)
	w.reaches("done", work.Completed)
	w.sound()
}

// Guards against checkpoints that are lost with the leader and the workers.
func TestCheckpointsOutliveAllMachines(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 1)
	s := step(1, 20*time.Second)
	s.Checkpointing = true
	w.record(&work.Job{ID: "saves", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(20*time.Second, standin.SpecSaves)})
	require.Eventually(t, func() bool {
		for _, e := range w.entries {
			if got, ok := e.copy.Job("saves"); ok && got.Progress != nil && got.Progress.Tasks[0].Checkpoint != "" {
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
}

// Guards against a task that stands still for good on one worker.
func TestStalledRunIsMoved(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "still", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 100*time.Millisecond)}, Spec: spec(100*time.Millisecond, standin.SpecHangs)})
	second := work.RunKey{Task: work.TaskKey{Job: "still"}, Run: 2}
	require.Eventually(t, func() bool { return w.steps.Starts(second) == 1 }, 30*time.Second, 10*time.Millisecond)
	w.sound()
}

// Guards against a start in a failure domain that is taken out.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.declared.mu.Lock()
	w.declared.out["d-agent0"], w.declared.out["d-agent1"] = true, true
	w.declared.mu.Unlock()
	w.submit("out", step(1, 50*time.Millisecond))
	time.Sleep(500 * time.Millisecond) // a start would come within milliseconds
	require.Zero(t, w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "out"}, Run: 1}))
	w.declared.mu.Lock()
	delete(w.declared.out, "d-agent1")
	w.declared.mu.Unlock()
	w.reaches("out", work.Completed)
}

// Guards against orders that are repeated without a pause to a worker that
// does not answer, and against its runs being waited for after their leases.
func TestWorkerGoneWithoutAWord(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 2)
	w.record(&work.Job{ID: "gone", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(10, time.Second)}, Spec: spec(time.Second, "")})
	require.Eventually(t, func() bool { return w.steps.Runs() == 10 }, 20*time.Second, 10*time.Millisecond)
	a := w.agents["agent0"].worker
	a.SetDark(true)
	w.submit("next", step(12, 100*time.Millisecond))
	before, began := a.Calls(), time.Now()
	w.reaches("gone", work.Completed)
	w.reaches("next", work.Completed)
	w.sound()
	perS := float64(a.Calls()-before) / time.Since(began).Seconds()
	require.Less(t, perS, 150.0, "calls a second to a worker that does not answer: ten holds and ten tries of each of its runs")
}

// Guards against a store that fills with the records of jobs that ended long
// ago, and against records that go while callers may still ask.
func TestOldRecordsAreRemoved(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 0, 1)
	w.statusFor = 200 * time.Millisecond
	w.addEntry("entry0")
	w.submit("short", step(1, 50*time.Millisecond))
	w.reaches("short", work.Completed)
	require.NotEmpty(t, w.store.Keys(jobstore.JobKey("short")))
	require.Eventually(t, func() bool { return len(w.store.Keys("rs/job/"))+len(w.store.Keys("rs/progress/")) == 0 }, 30*time.Second, 50*time.Millisecond)
}
