package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// newFilledRackCluster returns a cluster with one entry and a worker in each of the racks
// "r0" and "r1". A task of the step takes all of the first one, and the other is free.
func newFilledRackCluster(t *testing.T, s work.Step, spec string) *cluster {
	c := newCluster(t, 1, 0)
	c.rack = "r0"
	c.addAgent("agent0", c.steps.Add("i-agent0"))
	s.Count, s.Shape = 1, work.Shape{MilliCPU: 8000, MemoryMB: 8000, Accelerators: 8}
	c.submitJob(&work.Job{ID: "fills", Service: "s", Queue: "q", Priority: 2, MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec})
	require.Eventually(c.t, func() bool { return c.steps.Runs() == 1 }, 20*time.Second, 10*time.Millisecond)
	c.rack = "r1"
	c.addAgent("agent1", c.steps.Add("i-agent1"))
	return c
}

// Guards against a job that waits for ever for the rack of its data, which long-running
// tasks fill, while the workers of another rack are free.
func TestJobDoesNotWaitForRackOfLongRunningTasks(t *testing.T) {
	t.Parallel()
	c := newFilledRackCluster(t, work.Step{LongRunning: true}, standin.SpecHangs)
	s := step(1, 100*time.Millisecond)
	s.DataRack = "r0"
	c.submitJob(&work.Job{ID: "waits", Service: "s", Queue: "q", Priority: 2, MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(100*time.Millisecond, "")})
	c.awaitState("waits", work.Completed)
	c.requireNoBreaches()
}

// Guards against a job that waits for the rack of its data until a long run there has
// ended, while the workers of another rack are free: users take it for lost after 3 s.
func TestJobWaitsBrieflyForRackOfLongRuns(t *testing.T) {
	t.Parallel()
	const fillsFor = 30 * time.Second
	c := newFilledRackCluster(t, work.Step{Estimate: fillsFor}, spec(fillsFor, ""))
	c.addAgent("agent2", c.steps.Add("i-agent2")) // of two workers, half would be in use
	s := step(1, 100*time.Millisecond)
	s.DataRack = "r0"
	c.submitJob(&work.Job{ID: "waits", Service: "s", Queue: "q", Priority: 2, MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{s}, Spec: spec(100*time.Millisecond, "")})
	c.awaitState("waits", work.Completed)
	require.Equal(t, 1, c.steps.Runs(), "the long run goes on")
	c.requireNoBreaches()
}
