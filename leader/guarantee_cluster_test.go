package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// claim submits a job of priority 0 of the account to which all 16 accelerators of two
// workers are guaranteed.
func (c *cluster) claim(s work.Step) {
	c.submitJob(&work.Job{
		ID: "claim", Account: "north", Service: "s", Queue: "urgent", MaxAttempts: 2, MaxSlowdown: 2, Objective: 10 * time.Second,
		Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(200*time.Millisecond, ""),
	})
}

// Guards against guaranteed capacity that long-running tasks of another account hold until
// somebody cancels them.
func TestGuaranteeIsReclaimedFromLongRunningTasks(t *testing.T) {
	accelerators := func(n int64) work.Shape {
		return work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: n}
	}
	for name, c := range map[string]struct {
		priority int
		service  work.Step
		claim    work.Step
	}{
		"no bound":               {2, work.Step{Count: 2, Shape: accelerators(8)}, work.Step{Count: 2, Shape: accelerators(8)}},
		"small tasks":            {2, work.Step{Count: 16, Shape: accelerators(1)}, work.Step{Count: 2, Shape: accelerators(8)}},
		"gang":                   {2, work.Step{Count: 4, Shape: accelerators(4), Gang: true}, work.Step{Count: 2, Shape: accelerators(8), Gang: true}},
		"urgent, not guaranteed": {0, work.Step{Count: 4, Shape: accelerators(4)}, work.Step{Count: 2, Shape: accelerators(8)}},
		"as far as allowed":      {2, work.Step{Count: 2, Shape: accelerators(8), MaxUnavailable: 2}, work.Step{Count: 2, Shape: accelerators(8)}},
		"any one of two":         {2, work.Step{Count: 2, Shape: accelerators(8), MaxUnavailable: 1}, work.Step{Count: 1, Shape: accelerators(8)}},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			f := newCluster(t, 0, 2)
			f.declarations.cfg.Accounts = map[string]queue.Account{"north": {GuaranteedAccelerators: 16}}
			f.addEntry("entry0")
			c.service.LongRunning = true
			serves := standin.SpecServes
			if c.service.Gang {
				serves += " " + standin.SpecGang + "4"
			}
			f.submitJob(&work.Job{ID: "service", Account: "south", Service: "s", Queue: "q", Priority: c.priority, MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{c.service}, Spec: serves})
			require.Eventually(t, func() bool { return f.steps.Runs() == c.service.Count }, 20*time.Second, 10*time.Millisecond)
			f.claim(c.claim)
			f.awaitState("claim", work.Completed)
			require.Eventually(t, func() bool { return f.steps.Runs() == c.service.Count }, 20*time.Second, 10*time.Millisecond, "the service starts again")
			f.requireNoBreaches()
		})
	}
}

// Guards against a claim that waits because only the tasks with the lowest indexes of a
// bounded step may be stopped, and another one is on the only worker that fits.
func TestAnyTaskOfABoundedStepMayBeStopped(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 1)
	c.declarations.cfg.Accounts = map[string]queue.Account{"north": {GuaranteedAccelerators: 16}}
	c.addEntry("entry0")
	half := work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 4}, LongRunning: true}
	bounded := half
	bounded.Count, bounded.MaxPerWorker, bounded.MaxUnavailable = 2, 1, 1
	submit := func(id, account string, priority int, s work.Step) {
		c.submitJob(&work.Job{ID: id, Account: account, Service: "s", Queue: id, Priority: priority, MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: standin.SpecServes})
	}
	submit("bounded", "south", 2, bounded)
	require.Eventually(t, func() bool { return c.steps.Runs() == 1 }, 20*time.Second, 10*time.Millisecond)
	submit("held", "north", 0, half)
	require.Eventually(t, func() bool { return c.steps.Runs() == 2 }, 20*time.Second, 10*time.Millisecond)
	c.addAgent("agent1", c.steps.Add("i-agent1"))
	require.Eventually(t, func() bool { return c.steps.Runs() == 3 }, 20*time.Second, 10*time.Millisecond)
	c.claim(work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 8}})
	c.awaitState("claim", work.Completed)
	require.Equal(t, 2, c.agents["agent0"].worker.Started(), "the tasks on the first worker go on")
	c.requireNoBreaches()
}

// Guards against a claim that does not start because what is left of the guarantee lies in
// pieces on two workers, beside runs of the same account that last for minutes.
func TestClaimStartsThoughGuaranteeIsInPieces(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 0, 2)
	c.declarations.cfg.Accounts = map[string]queue.Account{"north": {GuaranteedAccelerators: 16}}
	c.addEntry("entry0")
	submit := func(id string, duration time.Duration) {
		c.submitJob(&work.Job{
			ID: id, Account: "north", Service: "s", Queue: "urgent", MaxAttempts: 2, MaxSlowdown: 2, Objective: 10 * time.Second, Accepted: time.Now(),
			Steps: []work.Step{{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 4}}}, Spec: spec(duration, ""),
		})
	}
	// Best fit puts the first two on one worker and the others on the other one.
	for i, duration := range []time.Duration{15 * time.Second, 3 * time.Second, 15 * time.Second, 3 * time.Second} {
		submit(string(rune('a'+i)), duration)
		require.Eventually(t, func() bool { return c.steps.Runs() == i+1 }, 20*time.Second, time.Millisecond)
	}
	c.awaitState("b", work.Completed)
	c.awaitState("d", work.Completed)
	c.claim(work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 8}})
	c.awaitState("claim", work.Completed)
	require.Equal(t, 2, c.steps.Runs(), "the claim has not waited for the others to end")
	c.awaitState("a", work.Completed)
	c.awaitState("c", work.Completed)
	c.requireNoBreaches()
}
