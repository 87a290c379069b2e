package leader_test

import (
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a message of orders that is larger than a stream accepts. The agent would
// lose each stream to the leader as soon as it is open, and all leases of its worker lapse.
func TestWideJobWithLongSpec(t *testing.T) {
	c := newCluster(t, 1, 1)
	c.awaitLeader()
	lasting := c.submitJob(&work.Job{
		ID: "lasting", Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Spec: standin.SpecServes,
		Steps: []work.Step{{Count: 1, Shape: work.Shape{MilliCPU: 1}, LongRunning: true}},
	})
	lastingRuns := func() int { return c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: lasting.ID}, Run: 1}) }
	require.Eventually(t, func() bool { return lastingRuns() == 1 }, 20*time.Second, 10*time.Millisecond)
	spec := "for=100ms " + strings.Repeat("x", 3990)
	c.submitJob(&work.Job{
		ID: "wide", Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Spec: spec,
		Steps: []work.Step{{Count: 1200, Shape: work.Shape{MilliCPU: 1}}},
	})
	c.awaitState("wide", work.Completed)
	require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: lasting.ID}, Run: 2}), "the task that lasts has lost its lease")
	c.requireNoBreaches()
}
