package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	manyTasks  = 120
	listedEnds = 40 // that a worker lists at once
)

// submitMany submits a job of small tasks, which all fit on one worker, and waits until
// all of them run.
func (c *cluster) submitMany(d time.Duration) {
	c.t.Helper()
	small := work.Step{Count: manyTasks, Shape: work.Shape{MilliCPU: 5, MemoryMB: 5}, Estimate: d}
	c.submitJob(&work.Job{ID: "many", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{small}, Spec: spec(d, "")})
	require.Eventually(c.t, func() bool { return c.steps.Runs() == manyTasks }, 40*time.Second, 10*time.Millisecond)
}

// Guards against a second start of tasks that are done: more of them end on a worker than
// it lists at once, while nobody can record ends, and a start of one that is not listed is
// taken for refused.
func TestManyEndsWhileNobodyRecordsThem(t *testing.T) {
	for name, disturb := range map[string]func(c *cluster) (restore func()){
		"outage of the store": func(c *cluster) func() {
			for name := range c.entries {
				c.store.SetFault(name, standin.Silent)
			}
			return func() {
				for name := range c.entries {
					c.store.SetFault(name, standin.Healthy)
				}
			}
		},
		"restart of agents and entries": func(c *cluster) func() {
			workers := make(map[string]*standin.StepWorker)
			for name, a := range c.agents {
				workers[name] = a.worker
				a.kill()
			}
			for name := range c.entries {
				c.crash(name)
			}
			return func() {
				c.addEntry("entry2")
				for name, w := range workers {
					c.addAgent(name, w)
				}
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 0)
			c.steps.ListedEnds = listedEnds
			c.addAgent("agent0", c.steps.Add("i-agent0"))
			c.addAgent("agent1", c.steps.Add("i-agent1"))
			c.awaitLeader()
			c.submitMany(4 * time.Second)
			restore := disturb(c)
			require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, 10*time.Millisecond)
			restore()
			c.awaitState("many", work.Completed)
			c.requireNoBreaches()
			for i := range manyTasks {
				require.Equal(t, 1, c.steps.Done(work.TaskKey{Job: "many", Index: i}))
			}
		})
	}
}
