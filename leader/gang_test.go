package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a gang that is stopped as a whole, or that waits until its
// members end alone, because one of its workers carries no starts out. That
// member never started, so it joins the others from another worker.
func TestGangIsCompletedElsewhere(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 4)
	w.agents["agent0"].worker.SetDeaf(true)
	gang := step(3, 300*time.Millisecond)
	gang.Gang, gang.Shape.Accelerators = true, 8
	w.record(&work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(300*time.Millisecond, "gang=3")})
	w.reaches("gang", work.Completed)
	w.sound()
	for i := range 3 {
		k := work.TaskKey{Job: "gang", Index: i}
		require.Equal(t, 1, w.steps.Starts(work.RunKey{Task: k, Run: 1}))
		require.Zero(t, w.steps.Starts(work.RunKey{Task: k, Run: 2}))
	}
	require.Zero(t, w.agents["agent0"].worker.Started())
}

// Guards against members that wait for one which has room nowhere: they are
// stopped and begin together later.
func TestGangWithoutRoomForAMember(t *testing.T) {
	t.Parallel()
	w := newWorld(t, 1, 3)
	deaf := w.agents["agent0"].worker
	deaf.SetDeaf(true)
	gang := step(3, 200*time.Millisecond)
	gang.Gang, gang.Shape.Accelerators = true, 8
	w.record(&work.Job{ID: "gang", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(200*time.Millisecond, "gang=3")})
	require.Eventually(t, func() bool {
		return w.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "gang", Index: 1}, Run: 1}) == 1
	}, 20*time.Second, time.Millisecond)
	require.Eventually(t, func() bool { return w.steps.Runs() == 0 }, 20*time.Second, time.Millisecond)
	deaf.SetDeaf(false)
	w.reaches("gang", work.Completed)
	w.sound()
}
