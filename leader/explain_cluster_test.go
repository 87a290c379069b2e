package leader_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/explanation"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against an explanation that differs from what the leader then does, that starts or
// records the job, or that an entry makes that does not lead.
func TestExplainPlacement(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 2)
	c.submitJob(&work.Job{ID: "lasting", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Spec: spec(time.Minute, ""), Steps: []work.Step{{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 6}, Estimate: time.Minute}}})
	c.awaitState("lasting", work.Running)
	leads := c.awaitLeader()
	for name, e := range c.entries {
		if name != leads {
			_, err := e.leader.Explain(context.Background(), &work.Job{}, "")
			require.Equal(t, rosemarysill.NotAuthoritative, rosemarysill.CodeOf(err))
			require.Contains(t, rosemarysill.DetailOf(err), leads)
		}
	}
	job := func(count int) *work.Job {
		return &work.Job{ID: "preview", Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{{Count: count, Gang: true, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100, Accelerators: 4}, Estimate: time.Minute}}}
	}
	// A worker may not have reported yet, and the interval between two calls is bounded.
	awaitExplanation := func(j *work.Job, ready func(explanation.Explanation) bool) explanation.Explanation {
		var e explanation.Explanation
		require.Eventually(t, func() bool {
			var err error
			e, err = c.entries[leads].leader.Explain(context.Background(), j, "")
			return err == nil && ready(e)
		}, 20*time.Second, 50*time.Millisecond)
		return e
	}
	e := awaitExplanation(job(2), func(e explanation.Explanation) bool { return e.Decision == explanation.Starts })
	require.Equal(t, leads, e.Leader)
	require.Equal(t, 2, e.Workers)
	require.Len(t, e.Steps[0].Starts, 2)
	chosen := e.Steps[0].Starts[0].Worker
	require.Equal(t, map[schedule.Reason]int{schedule.NoRoom: 1}, e.Steps[0].ExcludedCount)
	awaitExplanation(job(3), func(e explanation.Explanation) bool { return e.Decision == explanation.Waits })

	require.Equal(t, 1, c.steps.Runs(), "nothing else runs")
	for _, key := range c.store.Keys("") {
		require.NotContains(t, key, "preview")
	}
	j := job(2)
	j.ID, j.Spec = "submitted", spec(50*time.Millisecond, "")
	c.submitJob(j)
	c.awaitState("submitted", work.Completed)
	for _, a := range c.agents {
		want := 1 // of the job that occupies the other worker
		if chosen[:len(a.name)] == a.name {
			want = 2
		}
		require.Equal(t, want, a.worker.Started(), a.name)
	}
	c.requireNoBreaches()
}
