package leader_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/work"
)

// Guards against a task without an estimate, or with one that is far too low, that is
// stopped as stalled after each start because its worker lists no progress yet.
func TestSlowTaskIsNotStoppedForEver(t *testing.T) {
	for name, tc := range map[string]struct {
		estimate time.Duration
		spec     string
		gang     bool
		maxRuns  int
	}{
		"no estimate":                 {0, "for=300s", false, 1},
		"a hundredth of its duration": {4 * time.Second, "for=400s", false, 3},
		"gang":                        {4 * time.Second, "for=400s gang=3", true, 3},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 4)
			c.awaitLeader()
			count := 1
			if tc.gang {
				count = 3
			}
			j := c.submitJob(&work.Job{
				ID: "slow", Service: "s", Queue: "q", MaxAttempts: 2, Accepted: time.Now(), Spec: tc.spec,
				Steps: []work.Step{{Count: count, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 100}, Estimate: tc.estimate, Gang: tc.gang}},
			})
			startedAgain := func() bool {
				for _, e := range c.entries {
					rec, ok := e.cache.Job(j.ID)
					if ok && rec.Progress != nil && rec.Progress.Tasks[0].Run > tc.maxRuns {
						return true
					}
				}
				return false
			}
			require.Never(t, startedAgain, 16*time.Second, 20*time.Millisecond, "the task was started more than %d times", tc.maxRuns)
			require.Equal(t, count, c.steps.Runs(), "the task does not run")
			c.requireNoBreaches()
		})
	}
}
