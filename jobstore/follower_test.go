package jobstore_test

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// followed is what a follower has applied.
type followed struct {
	mu    sync.Mutex
	items map[string]string
	fails int
}

func (f *followed) get(key string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.items[key]
}

func follow(t *testing.T, s *standin.Transactions) (*jobstore.Follower, *followed) {
	f := &followed{items: make(map[string]string)}
	fl := jobstore.NewFollower(s.View("v"), "p/", func(c rosemarysill.Change) {
		f.mu.Lock()
		defer f.mu.Unlock()
		if c.Deleted {
			delete(f.items, c.Item.Key)
			return
		}
		f.items[c.Item.Key] = string(c.Item.Value)
	}, func(error) {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.fails++
	}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); fl.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return fl, f
}

const soon = 20 * time.Second

// Guards against changes that are missed or kept when the history is lost
// while the store cannot be reached.
func TestHistoryLost(t *testing.T) {
	s := standin.NewTransactions()
	s.Put("p/stays", []byte("1"))
	s.Put("p/goes", []byte("1"))
	fl, f := follow(t, s)
	<-fl.Synced()
	s.SetFault("v", standin.Refusing)
	s.Put("p/stays", []byte("2"))
	s.Remove("p/goes")
	s.Put("p/comes", []byte("1"))
	s.Compact()
	s.SetFault("v", standin.Healthy)
	require.Eventually(t, func() bool { return f.get("p/stays") == "2" && f.get("p/goes") == "" && f.get("p/comes") == "1" }, soon, 5*time.Millisecond)
}

// Guards against a copy that counts as fresh while the store is silent.
func TestFreshness(t *testing.T) {
	s := standin.NewTransactions()
	fl, f := follow(t, s)
	<-fl.Synced()
	require.Less(t, uptime.Now().Sub(fl.FreshAsOf()), 2*time.Second)
	s.SetFault("v", standin.Silent)
	at := uptime.Now()
	require.Eventually(t, func() bool { f.mu.Lock(); defer f.mu.Unlock(); return f.fails > 0 }, soon, 5*time.Millisecond)
	require.Less(t, fl.FreshAsOf().Sub(at), time.Second, "no news is later than the cut")
	s.SetFault("v", standin.Healthy)
	healed := uptime.Now()
	require.Eventually(t, func() bool { return fl.FreshAsOf().After(healed) }, soon, 5*time.Millisecond)
}

// Guards against records of others, or broken ones, that stop the copy.
func TestBadRecords(t *testing.T) {
	s := standin.NewTransactions()
	c := jobstore.NewCache(s.View("v"), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	defer func() { cancel(); <-done }()
	for _, key := range []string{jobstore.JobKey("bad"), jobstore.ProgressKey("bad"), jobstore.LeaderKey, jobstore.EpochKey, "rs/unknown"} {
		s.Put(key, []byte("{]"))
	}
	// Decoded, its number of tasks would end the process that makes room for them.
	s.Put(jobstore.JobKey("bad"), []byte(`{"ID":"bad","Steps":[{"Count":-1}]}`))
	value, err := jobstore.EncodeJob(&work.Job{ID: "good", Queue: "q", Steps: []work.Step{{Count: 1}}})
	require.NoError(t, err)
	s.Put(jobstore.JobKey("good"), value)
	require.Eventually(t, func() bool { _, ok := c.Job("good"); return ok }, soon, 5*time.Millisecond)
	_, ok := c.Job("bad")
	require.False(t, ok)
	require.Equal(t, 1, c.Pending("q"))
	s.Put(jobstore.CancelKey("good"), []byte("{}"))
	require.Eventually(t, func() bool { e, _ := c.Job("good"); return e.State() == work.Cancelled }, soon, 5*time.Millisecond)
	require.Zero(t, c.Pending("q"))
}
