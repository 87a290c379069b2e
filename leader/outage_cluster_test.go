package leader_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/work"
)

// changesAfter returns the changes of the records of the leader, the epoch and the
// progress of jobs after a revision, in order.
func (c *cluster) changesAfter(revision uint64) []rosemarysill.Change {
	c.t.Helper()
	all, _, err := c.store.View("operator").Watch(context.Background(), jobstore.Prefix, revision, 0)
	require.NoError(c.t, err)
	var out []rosemarysill.Change
	for _, ch := range all {
		switch ch.Item.Key {
		case jobstore.LeaderKey, jobstore.EpochKey, jobstore.ProgressKey("j"):
			out = append(out, ch)
		}
	}
	return out
}

// runOutage starts a job, takes the store away, lets the job end and returns the revision
// of the store at the beginning of the outage.
func (c *cluster) runOutage() uint64 {
	c.t.Helper()
	c.awaitLeader()
	c.submitJob(&work.Job{ID: "j", Service: "s", MaxAttempts: 2, Accepted: time.Now(), Steps: []work.Step{step(1, 2*time.Second)}, Spec: spec(1500*time.Millisecond, "")})
	require.Eventually(c.t, func() bool { return c.steps.Runs() == 1 }, 20*time.Second, 5*time.Millisecond)
	_, revision, err := c.store.View("operator").List(context.Background(), jobstore.Prefix)
	require.NoError(c.t, err)
	c.store.Suspend()
	require.Eventually(c.t, func() bool { return c.steps.Done(work.TaskKey{Job: "j"}) == 1 }, 20*time.Second, 5*time.Millisecond)
	time.Sleep(1800 * time.Millisecond) // the lease of 1.2 s expires by the clock of the leader
	return revision
}

// Guards against an end that is recorded only after an election: where leases do not
// expire while the store is down, no other entry can lead, and the first record after the
// outage is that of the end.
func TestEndIsRecordedFirstAfterOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	revision := c.runOutage()
	c.store.Resume(time.Hour)
	c.awaitState("j", work.Completed)
	changes := c.changesAfter(revision)
	require.NotEmpty(t, changes)
	for _, ch := range changes {
		require.Equal(t, jobstore.ProgressKey("j"), ch.Item.Key, "no election comes before the record of the end")
	}
	c.requireNoBreaches()
	require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 2}))

	// The leader goes on to place tasks in the same term.
	c.submit("after", step(1, 100*time.Millisecond))
	c.awaitState("after", work.Completed)
	rec, _ := c.entries[c.awaitLeader()].cache.LeaderRecord()
	require.EqualValues(t, 1, rec.Epoch)
}

// Guards against several elections after an outage with which the lease has expired: the
// former leader and the other entries may try at the same time, and one of them leads.
func TestOneElectionAfterOutage(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 2, 1)
	revision := c.runOutage()
	c.store.Resume(0)
	c.awaitState("j", work.Completed)
	var keys []string
	for _, ch := range c.changesAfter(revision) {
		keys = append(keys, ch.Item.Key)
	}
	require.Contains(t, keys, jobstore.EpochKey)
	rec, _ := c.entries[c.awaitLeader()].cache.LeaderRecord()
	require.EqualValues(t, 2, rec.Epoch)
	c.requireNoBreaches()
	require.Zero(t, c.steps.Starts(work.RunKey{Task: work.TaskKey{Job: "j"}, Run: 2}))
}
