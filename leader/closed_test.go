package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a task that starts again while its run goes on at a worker that only
// refuses connections, and against one that never starts again.
func TestWorkerRefusesConnections(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 2)
	c.submitJob(&work.Job{ID: "j", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 2*time.Second)}, Spec: spec(2*time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 1 }, 20*time.Second, 10*time.Millisecond)
	for _, a := range c.agents {
		if a.worker.Runs() == 1 {
			a.worker.SetClosed(true)
		}
	}
	c.awaitState("j", work.Completed)
	c.requireNoBreaches()
	require.Equal(t, 1, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 2}))
}

// Guards against a crashed worker whose tasks start again only when its leases have
// lapsed, although its next incarnation has confirmed.
func TestWorkerCrashesAndStartsAgain(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	c.submitJob(&work.Job{ID: "j", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, time.Second)}, Spec: spec(time.Second, "")})
	require.Eventually(t, func() bool { return c.steps.Runs() == 1 }, 20*time.Second, 10*time.Millisecond)
	a := c.agents["agent0"]
	began := time.Now()
	a.worker.SetClosed(true)
	time.Sleep(time.Second)
	a.worker.Restart()
	c.announce(a, work.WorkerReady, 0)
	require.Eventually(t, func() bool { return c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 2}) == 1 }, 20*time.Second, 10*time.Millisecond)
	require.Less(t, time.Since(began), 5*time.Second, "a lease lasts 6.3 s")
	c.awaitState("j", work.Completed)
	c.requireNoBreaches()
}
