package leader_test

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

// gangOfThree returns a gang whose members take a worker each.
func gangOfThree(id string, d time.Duration, slowdown float64) *work.Job {
	gang := step(3, d)
	gang.Gang, gang.Shape.Accelerators = true, 8
	return &work.Job{ID: id, Service: "s", Queue: id, MaxAttempts: 2, MaxSlowdown: slowdown, Accepted: time.Now(), Steps: []work.Step{gang}, Spec: spec(d, "gang=3")}
}

// Guards against a new leader that has to learn the speeds of the workers again, or that
// does not lead because their record is lost or cannot be decoded.
func TestSpeedsOutlastTheLeader(t *testing.T) {
	for name, tc := range map[string]struct {
		change func(*rosemarysill.Commit) // of the record before the leader crashes
		known  bool
	}{
		"record is kept": {nil, true},
		"record is lost": {func(c *rosemarysill.Commit) { c.Remove = []string{jobstore.SpeedKey} }, false},
		"record is damaged": {func(c *rosemarysill.Commit) {
			c.Writes = []rosemarysill.Write{{Key: jobstore.SpeedKey, Value: []byte("{")}}
		}, false},
		"record is of later": {func(c *rosemarysill.Commit) {
			c.Writes = []rosemarysill.Write{{Key: jobstore.SpeedKey, Value: []byte(`{"Version":2}`)}}
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 2, 5)
			const slow = "agent0" // the first worker by name, which is used first if all are alike
			c.agents[slow].worker.SetSpeed(0.4)
			first := c.awaitLeader()
			begun := time.Now()
			recorded := func() bool {
				n := 0
				for _, e := range c.entries {
					rec, err := jobstore.DecodeSpeeds(e.cache.SpeedRecord())
					if err != nil {
						return false
					}
					for id, v := range rec.Workers {
						if control.BelongsTo(id, slow) && v.Speed < 0.7 && v.Weight > 3 {
							n++
						}
					}
				}
				return n == len(c.entries)
			}
			for i := 0; i < 8 && !recorded(); i++ {
				id := fmt.Sprint("learn", i)
				c.submitJob(gangOfThree(id, 3*time.Second, 9))
				c.awaitState(id, work.Completed)
			}
			t.Logf("learned after %s", time.Since(begun))
			require.Eventually(t, recorded, 20*time.Second, 10*time.Millisecond)
			if tc.change != nil {
				var change rosemarysill.Commit
				tc.change(&change)
				_, _, err := c.store.View("operator").Commit(context.Background(), change)
				require.NoError(t, err)
			}
			c.crash(first)
			require.Eventually(t, func() bool { return c.awaitLeader() != first }, 20*time.Second, 10*time.Millisecond)
			// It takes all workers, and is too short to show their speeds.
			all := step(5, 100*time.Millisecond)
			all.Shape.Accelerators = 8
			c.submitJob(&work.Job{ID: "all", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{all}, Spec: spec(100*time.Millisecond, "")})
			c.awaitState("all", work.Completed)
			before := c.agents[slow].worker.Started()
			c.submitJob(gangOfThree("urgent", 2*time.Second, 1.5))
			c.awaitState("urgent", work.Completed)
			require.Equal(t, tc.known, c.agents[slow].worker.Started() == before, "whether a member was started on the slow worker")
			c.requireNoBreaches()
		})
	}
}
