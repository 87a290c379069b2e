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

// spec returns the specification of a run that takes d.
func spec(d time.Duration, options string) string {
	return fmt.Sprintf("%s%s %s", standin.SpecFor, d, options)
}

// Guards against tasks that start before the steps that they depend on, gangs that start
// in part, and ends of runs that are not recorded.
func TestStepDependenciesAndGangs(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 3)
	first, second := step(4, 100*time.Millisecond), step(6, 100*time.Millisecond)
	second.DependsOn, second.MaxPerWorker = []int{0}, 2
	j := c.submit("steps", first, second)
	j.Spec = spec(100*time.Millisecond, "")
	gang := step(5, 200*time.Millisecond)
	gang.Gang = true
	g := &work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(200*time.Millisecond, "gang=5")}
	c.submitJob(g)
	c.awaitState("steps", work.Completed)
	c.awaitState("gang", work.Completed)
	c.requireNoBreaches()
	require.Equal(t, 1, c.steps.Done(work.TaskKey{Job: "steps", Step: 1, Index: 5}))
	require.Equal(t, 1, c.steps.Done(work.TaskKey{Job: "gang", Index: 4}))
}

// Guards against more runs of a task than its job allows, and against a job that is
// shown as anything but failed after them.
func TestMaxAttempts(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "bad", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 0)}, Spec: spec(50*time.Millisecond, standin.SpecFails)})
	c.awaitState("bad", work.Failed)
	require.Equal(t, 1, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "bad"}, Run: 2}))
	require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "bad"}, Run: 3}))
}

// Guards against a second run of a task after the leader that ordered the first one has
// crashed, and against work that waits forever because no other leader takes over.
func TestTakeoverAfterLeaderCrash(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 3)
	c.submitJob(&work.Job{ID: "before", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(6, time.Second)}, Spec: spec(4*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 6 }, 20*time.Second, 10*time.Millisecond)
	c.crash(c.awaitLeader())
	c.submitJob(&work.Job{ID: "after", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(6, time.Second)}, Spec: spec(100*time.Millisecond, "")})
	c.awaitState("after", work.Completed)
	c.awaitState("before", work.Completed)
	c.requireNoBreaches()
	for i := range 6 {
		require.Equal(t, 1, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "before", Index: i}, Run: 1}))
		require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "before", Index: i}, Run: 2}), "the run goes on under the next leader")
	}
}

// Guards against a deposed leader that still records progress: it is partitioned from the
// store while it leads, and another entry is elected.
func TestLeaderPartitionedFromStore(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	old := c.awaitLeader()
	c.store.SetFault(old, standin.Silent)
	c.submit("during", step(3, 100*time.Millisecond))
	require.Eventually(t, func() bool {
		for name, e := range c.entries {
			if got, ok := e.cache.Job("during"); name != old && ok && got.State() == work.Completed {
				return true
			}
		}
		return false
	}, 30*time.Second, 10*time.Millisecond)
	c.store.SetFault(old, standin.Healthy)
	c.submit("healed", step(3, 100*time.Millisecond))
	c.awaitState("healed", work.Completed)
	c.requireNoBreaches()
}

// Guards against a fleet without a leader after an outage of the store: leases do not
// expire while the store is down, so the lease of the last leader keeps all entries from
// leading unless its owner revokes it.
func TestLeaseOfLastLeaderIsRevokedAfterOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.awaitLeader()
	c.store.Suspend()
	time.Sleep(3 * time.Second) // the lease of 1.2 s lapses by the clock of the leader
	c.store.Resume(time.Hour)
	c.submit("after", step(3, 100*time.Millisecond))
	c.awaitState("after", work.Completed)
	c.requireNoBreaches()
}

// Guards against two leaders: the leader record is removed while its owner still renews
// the lease, so only the guard of its commits can stop it.
func TestLeaderRecordRemoved(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	old := c.awaitLeader()
	c.store.Remove(jobstore.LeaderKey)
	require.Eventually(t, func() bool {
		rec, at := c.entries[old].cache.LeaderRecord()
		return at != 0 && rec.Epoch == 2
	}, 20*time.Second, 10*time.Millisecond)
	for i := range 10 {
		c.submit(fmt.Sprintf("job%d", i), step(3, 100*time.Millisecond))
	}
	for i := range 10 {
		c.awaitState(fmt.Sprintf("job%d", i), work.Completed)
	}
	c.requireNoBreaches()
}

// Guards against a second run of a task while the first one continues on a worker whose
// agent is lost: the task waits until the lease of the first run has lapsed.
func TestTaskOfLostAgentWaitsForLease(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "long", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(4, time.Second)}, Spec: spec(8*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond)
	for _, a := range c.agents {
		if a.worker.Runs() > 0 {
			a.kill()
			break
		}
	}
	c.awaitState("long", work.Completed)
	c.requireNoBreaches()
}

// Guards against orders that are carried out seconds late, after newer ones.
func TestDelayedOrders(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.awaitLeader()
	for _, a := range c.agents {
		a.worker.SetLate(1500 * time.Millisecond)
	}
	c.submit("late", step(6, 100*time.Millisecond))
	time.Sleep(1200 * time.Millisecond) // no order is answered in that time
	for _, a := range c.agents {
		a.worker.SetLate(0)
	}
	c.awaitState("late", work.Completed)
	c.requireNoBreaches()
}

// Guards against a commit whose response is lost: it must not count as failed, and it
// must not be applied twice.
func TestLostCommitResponses(t *testing.T) {
	t.Parallel()
	for name, f := range map[string]standin.Fault{"done": standin.Losing, "committed late, response lost": standin.Late} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 2)
			c.store.LateBy = 700 * time.Millisecond
			old := c.awaitLeader()
			c.store.SetFault(old, f)
			c.submit("lost", step(5, 100*time.Millisecond))
			time.Sleep(900 * time.Millisecond) // several commits lose their responses
			c.store.SetFault(old, standin.Healthy)
			c.awaitState("lost", work.Completed)
			c.requireNoBreaches()
		})
	}
}

// Guards against orders that are sent twice, or runs that are lost, when a weak leader
// hands over to a stronger entry while tasks run.
func TestHandoverWhileTasksRun(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 2)
	c.cores = 0.2
	c.addEntry("weak")
	require.Equal(t, "weak", c.awaitLeader())
	c.submitJob(&work.Job{ID: "long", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(16, 3*time.Second)}, Spec: spec(3*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 16 }, 20*time.Second, 10*time.Millisecond)
	c.cores = 0.8
	c.addEntry("strong")
	require.Eventually(t, func() bool { return c.awaitLeader() == "strong" }, 20*time.Second, 10*time.Millisecond)
	c.submit("next", step(4, 100*time.Millisecond))
	c.awaitState("next", work.Completed)
	c.awaitState("long", work.Completed)
	for i := range 16 {
		require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "long", Index: i}, Run: 2}), "no run is lost")
	}
	c.requireNoBreaches()
}

// Guards against tasks of a cancelled job that continue or start again.
func TestCancel(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "gone", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(20, time.Second)}, Spec: spec(30*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 16 }, 20*time.Second, 10*time.Millisecond)
	c.store.Put(jobstore.CancelKey("gone"), []byte("{}"))
	c.awaitState("gone", work.Cancelled)
	require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	c.requireNoBreaches()
}

// Guards against a restarted worker that is mistaken for its earlier incarnation because
// it has the same identifier: the earlier runs have ended.
func TestWorkerRestartsWithSameID(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.submitJob(&work.Job{ID: "again", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(2, time.Second)}, Spec: spec(700*time.Millisecond, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 2 }, 20*time.Second, 10*time.Millisecond)
	a := c.agents["agent0"]
	a.worker.Restart()
	a.seq = 0
	c.announce(a, work.WorkerReady, 0)
	c.awaitState("again", work.Completed)
	c.requireNoBreaches()
	require.Equal(t, 1, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "again"}, Run: 2}))
}

// Guards against new tasks on a draining worker, and against runs that stay there
// although they cannot be done in time.
func TestWorkerDrains(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "move", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(8, 5*time.Second)}, Spec: spec(2*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 8 }, 20*time.Second, 10*time.Millisecond)
	for _, a := range c.agents {
		c.announce(a, work.WorkerDraining, 200*time.Millisecond)
	}
	require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
	c.submit("none", step(1, 100*time.Millisecond))
	time.Sleep(300 * time.Millisecond) // a start would happen within milliseconds
	require.Zero(t, c.steps.Runs())
	c.announce(c.agents["agent0"], work.WorkerReady, 0)
	c.awaitState("none", work.Completed)
	c.awaitState("move", work.Completed)
	c.requireNoBreaches()
}

// Guards against jobs that are lost or repeated when all machines lose power at once.
func TestPowerLossOfAllMachines(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.submit("done", step(3, 100*time.Millisecond))
	c.awaitState("done", work.Completed)
	c.submitJob(&work.Job{ID: "half", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(4, time.Second)}, Spec: spec(time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 4 }, 20*time.Second, 10*time.Millisecond)
	for name := range c.entries {
		c.crash(name)
	}
	agents := c.agents
	c.agents = make(map[string]*agent)
	for _, a := range agents {
		a.kill()
		a.worker.Restart()
	}
	c.addEntry("next")
	for name, a := range agents {
		c.addAgent(name, a.worker)
	}
	c.awaitState("half", work.Completed)
	c.awaitState("done", work.Completed)
	c.requireNoBreaches()
}

// Guards against checkpoints that are lost together with the leader and the workers.
func TestCheckpointsAreRecorded(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	s := step(1, 20*time.Second)
	s.Checkpointing = true
	c.submitJob(&work.Job{ID: "saves", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(20*time.Second, standin.SpecSaves)})
	require.Eventually(t, func() bool {
		for _, e := range c.entries {
			if got, ok := e.cache.Job("saves"); ok && got.Progress != nil && got.Progress.Tasks[0].Checkpoint != "" {
				return true
			}
		}
		return false
	}, 20*time.Second, 10*time.Millisecond)
}

// Guards against a task that stays on a worker where its run has stalled.
func TestStalledRunIsMoved(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "still", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 100*time.Millisecond)}, Spec: spec(100*time.Millisecond, standin.SpecHangs)})
	second := work.RunKey{Task: work.TaskKey{Job: "still"}, Run: 2}
	require.Eventually(t, func() bool { return c.steps.Starts(second) == 1 }, 30*time.Second, 10*time.Millisecond)
	c.requireNoBreaches()
}

// Guards against starts in a failure domain that is taken out of service.
func TestDomainOut(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.declarations.mu.Lock()
	c.declarations.out["d-agent0"], c.declarations.out["d-agent1"] = true, true
	c.declarations.mu.Unlock()
	c.submit("out", step(1, 50*time.Millisecond))
	time.Sleep(500 * time.Millisecond) // a start would happen within milliseconds
	require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "out"}, Run: 1}))
	c.declarations.mu.Lock()
	delete(c.declarations.out, "d-agent1")
	c.declarations.mu.Unlock()
	c.awaitState("out", work.Completed)
}

// Guards against orders that are repeated without a pause to an unresponsive worker, and
// against a leader that still waits for its runs after their leases have lapsed.
func TestWorkerStopsAnswering(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "gone", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(10, time.Second)}, Spec: spec(time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 10 }, 20*time.Second, 10*time.Millisecond)
	a := c.agents["agent0"].worker
	a.SetDark(true)
	c.submit("next", step(12, 100*time.Millisecond))
	before, began := a.Calls(), time.Now()
	c.awaitState("gone", work.Completed)
	c.awaitState("next", work.Completed)
	c.requireNoBreaches()
	perSecond := float64(a.Calls()-before) / time.Since(began).Seconds()
	require.Less(t, perSecond, 150.0, "calls per second to an unresponsive worker: ten lease renewals and ten tries for each of its runs")
}

// Guards against a store that fills with the records of jobs that ended long ago, and
// against records that are removed while callers may still ask for them.
func TestOldRecordsAreRemoved(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 1)
	c.statusRetention = 200 * time.Millisecond
	c.addEntry("entry0")
	c.submit("short", step(1, 50*time.Millisecond))
	c.awaitState("short", work.Completed)
	require.NotEmpty(t, c.store.Keys(jobstore.JobKey("short")))
	require.Eventually(t, func() bool { return len(c.store.Keys("rs/job/"))+len(c.store.Keys("rs/progress/")) == 0 }, 30*time.Second, 50*time.Millisecond)
}
