package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a gang that is stopped as a whole, or that waits until its members time
// out, because one of its workers neither carries out nor answers starts. That member
// has never started, so it joins the others from another worker.
func TestRefusedGangMemberIsPlacedElsewhere(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 4)
	c.agents["agent0"].worker.SetDeaf(true)
	gang := step(3, 300*time.Millisecond)
	gang.Gang, gang.Shape.Accelerators = true, 8
	c.submitJob(&work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(300*time.Millisecond, "gang=3")})
	c.awaitState("gang", work.Completed)
	c.requireNoBreaches()
	for i := range 3 {
		k := work.TaskKey{Job: "gang", Index: i}
		require.Equal(t, 1, c.steps.Starts(work.RunKey{Task: k, Run: 1}))
		require.Zero(t, c.steps.Starts(work.RunKey{Task: k, Run: 2}))
	}
	require.Zero(t, c.agents["agent0"].worker.Started())
}

// Guards against members that wait for one for which no worker has free capacity: they
// are stopped and start together later.
func TestGangIsStoppedWithoutCapacityForAMember(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 3)
	unansweringStarts := c.agents["agent0"].worker
	unansweringStarts.SetDeaf(true)
	gang := step(3, 200*time.Millisecond)
	gang.Gang, gang.Shape.Accelerators = true, 8
	c.submitJob(&work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(200*time.Millisecond, "gang=3")})
	require.Eventually(t, func() bool {
		return c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "gang", Index: 1}, Run: 1}) == 1
	}, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return c.steps.Runs() == 0 }, 20*time.Second, time.Millisecond)
	unansweringStarts.SetDeaf(false)
	c.awaitState("gang", work.Completed)
	c.requireNoBreaches()
}
