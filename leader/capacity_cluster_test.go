package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// newClusterWithLateCommits returns a cluster whose leader knows all workers and whose
// commits take effect a second late, and the name of the leader.
func newClusterWithLateCommits(t *testing.T, agents int) (*cluster, string) {
	c := newCluster(t, 1, agents)
	c.store.LateBy = time.Second
	leader := c.awaitLeader()
	c.submit("warm", step(8*agents, 50*time.Millisecond)) // all workers are known once it is done
	c.awaitState("warm", work.Completed)
	c.store.SetFault(leader, standin.Late)
	return c, leader
}

// Guards against a start that is decided before a worker shrinks and ordered after the
// commit, which a slow store delays by seconds: orders follow from committed placements.
func TestCapacityShrinksDuringCommit(t *testing.T) {
	t.Parallel()
	c, leader := newClusterWithLateCommits(t, 2)
	wide := step(2, 100*time.Millisecond)
	wide.Shape.Accelerators = 8
	c.submit("wide", wide)
	time.Sleep(300 * time.Millisecond) // the decision takes milliseconds; its commit takes a second
	for _, a := range c.agents {
		c.setCapacity(a, 4)
	}
	c.store.SetFault(leader, standin.Healthy)
	time.Sleep(1500 * time.Millisecond) // the commit is done, and starts would be ordered
	c.requireNoBreaches()
	require.NotEqual(t, work.Completed, c.state("wide"))

	c.agents["agent1"].worker.SetCapacity(work.Shape{})
	c.setCapacity(c.agents["agent1"], 8)
	c.awaitState("wide", work.Completed)
	c.requireNoBreaches()
}

// Guards against an agent that, after a restart, refuses all starts beside runs whose
// demand it does not know, or counts those runs as nothing.
func TestRestartedAgentKnowsDemandOfRuns(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 1)
	a := c.agents["agent0"]
	a.worker.SetCapacity(a.capacity)
	long := step(1, time.Second)
	long.Shape.Accelerators = 6
	c.submitJob(&work.Job{ID: "long", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{long}, Spec: spec(time.Minute, "")})
	require.Eventually(t, func() bool { return a.worker.Runs() == 1 }, 20*time.Second, 10*time.Millisecond)
	a.kill()
	c.addAgent("agent0", a.worker)
	c.submit("fits", step(2, 50*time.Millisecond))
	c.awaitState("fits", work.Completed)
	require.Equal(t, 1, a.worker.Runs(), "the long run goes on")

	c.submit("wide", step(3, 50*time.Millisecond))
	c.awaitState("wide", work.Completed) // two at a time
	require.Equal(t, 1, a.worker.Runs())
	c.requireNoBreaches()
}

// Guards against a gang that starts on a worker which has shrunk since its members were
// placed, or that waits for that member until the others time out: it joins them from
// another worker.
func TestGangMemberOfShrunkWorkerIsPlacedElsewhere(t *testing.T) {
	t.Parallel()
	c, leader := newClusterWithLateCommits(t, 3)
	gang := step(2, 300*time.Millisecond)
	gang.Gang, gang.Shape.Accelerators = true, 8
	c.submitJob(&work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(300*time.Millisecond, "gang=2")})
	time.Sleep(300 * time.Millisecond) // the decision takes milliseconds; its commit takes a second
	c.setCapacity(c.agents["agent1"], 4)
	c.store.SetFault(leader, standin.Healthy)
	c.awaitState("gang", work.Completed)
	c.requireNoBreaches()
}
