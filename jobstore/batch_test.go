package jobstore_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/work"
)

// watchCounter counts the watches of a store.
type watchCounter struct {
	rosemarysill.TransactionalStore
	watches atomic.Int64
}

func (c *watchCounter) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]rosemarysill.Change, uint64, error) {
	c.watches.Add(1)
	return c.TransactionalStore.Watch(ctx, prefix, after, wait)
}

// Guards against a call to the store by every entry for every commit of the leader:
// the number of calls would grow with the fleet and with the jobs. The leader itself
// has to see new jobs at once, so its changes are not batched.
func TestFollowerBatchesChanges(t *testing.T) {
	const changes = 60
	for name, c := range map[string]struct {
		unbatched  bool
		maxWatches int64
	}{
		"batched, as at a standby entry": {false, changes / 4},
		"unbatched, as at the leader":    {true, 2*changes + 2},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			s := standin.NewTransactions()
			view := s.View("v")
			store := &watchCounter{TransactionalStore: view}
			var seen atomic.Int64
			f := jobstore.NewFollower(store, "p/", func(rosemarysill.Change) { seen.Add(1) }, func(error) {}, func() {})
			f.SetUnbatched(c.unbatched)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); f.Run(ctx) }()
			defer func() { cancel(); <-done }()
			<-f.Synced()
			writer := s.View("w")
			tick := time.NewTicker(5 * time.Millisecond)
			defer tick.Stop()
			for i := range changes {
				_, _, err := writer.Commit(ctx, rosemarysill.Commit{Writes: []rosemarysill.Write{{Key: fmt.Sprint("p/", i), Value: []byte("1")}}})
				require.NoError(t, err)
				<-tick.C
			}
			require.Eventually(t, func() bool { return seen.Load() == changes }, testTimeout, time.Millisecond)
			require.LessOrEqual(t, store.watches.Load(), c.maxWatches)
		})
	}
}

// Guards against an entry that sees the loss of the leader only after the batch
// interval, which would delay the election of the next leader.
func TestLossOfLeaderEndsBatch(t *testing.T) {
	s := standin.NewTransactions()
	value, err := jobstore.EncodeLeader(jobstore.LeaderRecord{Name: "e", Epoch: 1})
	require.NoError(t, err)
	s.Put(jobstore.LeaderKey, value)
	c := jobstore.NewCache(s.View("v"), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-c.Synced()
	for i := range 3 {
		j, err := jobstore.EncodeJob(&work.Job{ID: fmt.Sprint(i), Steps: []work.Step{{Count: 1}}})
		require.NoError(t, err)
		s.Put(jobstore.JobKey(fmt.Sprint(i)), j)
		require.Eventually(t, func() bool { _, ok := c.Job(fmt.Sprint(i)); return ok }, testTimeout, time.Millisecond)
		s.Remove(jobstore.LeaderKey)
		removed := time.Now()
		require.Eventually(t, func() bool { _, at := c.LeaderRecord(); return at == 0 }, testTimeout, time.Millisecond)
		require.Less(t, time.Since(removed), 700*time.Millisecond, "the batch interval is 1 s")
		s.Put(jobstore.LeaderKey, value)
		require.Eventually(t, func() bool { _, at := c.LeaderRecord(); return at != 0 }, testTimeout, time.Millisecond)
	}
}
