package jobstore_test

import (
	"context"
	"fmt"
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

// recorder records the changes and failures of a follower.
type recorder struct {
	mu       sync.Mutex
	items    map[string]string
	failures int
}

func (r *recorder) get(key string) string {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.items[key]
}

func follow(t *testing.T, s *standin.Transactions) (*jobstore.Follower, *recorder) {
	r := &recorder{items: make(map[string]string)}
	follower := jobstore.NewFollower(s.View("v"), "p/", func(c rosemarysill.Change) {
		r.mu.Lock()
		defer r.mu.Unlock()
		if c.Deleted {
			delete(r.items, c.Item.Key)
			return
		}
		r.items[c.Item.Key] = string(c.Item.Value)
	}, func(error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.failures++
	}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return follower, r
}

const testTimeout = 20 * time.Second

// Guards against missed changes, and deleted items that are kept, when the store
// discards its history while it is unreachable.
func TestHistoryCompactedWhileUnreachable(t *testing.T) {
	s := standin.NewTransactions()
	s.Put("p/stays", []byte("1"))
	s.Put("p/goes", []byte("1"))
	follower, r := follow(t, s)
	<-follower.Synced()
	s.SetFault("v", standin.Refusing)
	s.Put("p/stays", []byte("2"))
	s.Remove("p/goes")
	s.Put("p/comes", []byte("1"))
	s.Compact()
	s.SetFault("v", standin.Healthy)
	require.Eventually(t, func() bool { return r.get("p/stays") == "2" && r.get("p/goes") == "" && r.get("p/comes") == "1" }, testTimeout, 5*time.Millisecond)
}

// Guards against a copy that counts as fresh while the store does not reply.
func TestFreshness(t *testing.T) {
	s := standin.NewTransactions()
	follower, r := follow(t, s)
	<-follower.Synced()
	require.Less(t, uptime.Now().Sub(follower.FreshAsOf()), 2*time.Second)
	s.SetFault("v", standin.Silent)
	unresponsiveAt := uptime.Now()
	require.Eventually(t, func() bool { r.mu.Lock(); defer r.mu.Unlock(); return r.failures > 0 }, testTimeout, 5*time.Millisecond)
	require.Less(t, follower.FreshAsOf().Sub(unresponsiveAt), time.Second, "nothing is confirmed after the store has stopped replying")
	require.Less(t, follower.RepliedAt().Sub(unresponsiveAt), time.Second, "a watch that has failed is no reply")
	s.SetFault("v", standin.Healthy)
	recoveredAt := uptime.Now()
	require.Eventually(t, func() bool { return follower.FreshAsOf().After(recoveredAt) }, testTimeout, 5*time.Millisecond)
}

// runCache returns a cache of the records, which follows the store until the test ends.
func runCache(t *testing.T, s *standin.Transactions) *jobstore.Cache {
	c := jobstore.NewCache(s.View("v"), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	return c
}

// Guards against records of unknown kinds, or records that cannot be decoded, that stop
// the cache.
func TestUndecodableRecords(t *testing.T) {
	s := standin.NewTransactions()
	c := runCache(t, s)
	for _, key := range []string{jobstore.JobKey("bad"), jobstore.ProgressKey("bad"), jobstore.LeaderKey, jobstore.EpochKey, "rs/unknown"} {
		s.Put(key, []byte("{]"))
	}
	// If it were accepted, allocating its negative number of tasks would panic.
	s.Put(jobstore.JobKey("bad"), []byte(`{"ID":"bad","Steps":[{"Count":-1}]}`))
	value, err := jobstore.EncodeJob(&work.Job{ID: "good", Queue: "q", Steps: []work.Step{{Count: 1}}})
	require.NoError(t, err)
	s.Put(jobstore.JobKey("good"), value)
	require.Eventually(t, func() bool { _, ok := c.Job("good"); return ok }, testTimeout, 5*time.Millisecond)
	_, ok := c.Job("bad")
	require.False(t, ok)
	require.Equal(t, 1, c.Pending("q"))
	s.Put(jobstore.CancelKey("good"), []byte("{}"))
	require.Eventually(t, func() bool { e, _ := c.Job("good"); return e.State() == work.Cancelled }, testTimeout, 5*time.Millisecond)
	require.Zero(t, c.Pending("q"))
}

// watchRecorder is a store whose watches fail until the outage is over. It records how
// long they were to wait.
type watchRecorder struct {
	rosemarysill.TransactionalStore
	failures int
	waits    chan time.Duration
}

func (w *watchRecorder) List(context.Context, string) ([]rosemarysill.Item, uint64, error) {
	return nil, 1, nil
}

func (w *watchRecorder) Watch(ctx context.Context, _ string, after uint64, wait time.Duration) ([]rosemarysill.Change, uint64, error) {
	select {
	case w.waits <- wait:
	case <-ctx.Done():
		return nil, after, ctx.Err()
	}
	if w.failures > 0 {
		w.failures--
		return nil, after, rosemarysill.ErrStoreUnavailable
	}
	return nil, after, nil
}

// Get replies to probes.
func (w *watchRecorder) Get(context.Context, string) (rosemarysill.Item, error) {
	return rosemarysill.Item{}, rosemarysill.ErrNotFound
}

// Guards against callers that are refused for another watch timeout after an outage: the
// copy counts as fresh once a watch has returned, and nothing may change for that long.
func TestFirstWatchAfterFailureDoesNotWait(t *testing.T) {
	s := &watchRecorder{failures: 2, waits: make(chan time.Duration)}
	f := jobstore.NewFollower(s, "p/", func(rosemarysill.Change) {}, func(error) {}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	require.NotZero(t, <-s.waits, "fails")
	require.Zero(t, <-s.waits, "fails again")
	require.Zero(t, <-s.waits, "is back")
	require.NotZero(t, <-s.waits)
}

// silentStore is a store whose watches never return anything. It counts lists.
type silentStore struct {
	rosemarysill.TransactionalStore
	mu       sync.Mutex
	lists    int
	revision uint64
}

func (s *silentStore) List(context.Context, string) ([]rosemarysill.Item, uint64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.lists++
	return []rosemarysill.Item{{Key: "p/key", Version: s.revision}}, s.revision, nil
}

func (s *silentStore) Watch(ctx context.Context, _ string, after uint64, _ time.Duration) ([]rosemarysill.Change, uint64, error) {
	<-ctx.Done()
	return nil, after, ctx.Err()
}

func (s *silentStore) setRevision(revision uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.revision = revision
}

func (s *silentStore) numLists() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lists
}

// Guards against changes that a watch withholds until its timeout after the store has
// discarded its history: jobs wait because the copy of the configuration, or of the jobs,
// is old. A change that is already there, and one that is expected again at once, cost
// no list.
func TestUndeliveredChangeIsListed(t *testing.T) {
	s := &silentStore{revision: 1}
	var mu sync.Mutex
	var applied []uint64
	f := jobstore.NewFollower(s, "p/", func(c rosemarysill.Change) {
		mu.Lock()
		defer mu.Unlock()
		applied = append(applied, c.Item.Version)
	}, func(error) {}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); f.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-f.Synced()
	f.Expect(1, uptime.Now())
	s.setRevision(2)
	f.Expect(2, uptime.Now())
	require.Eventually(t, func() bool {
		f.Expect(2, uptime.Now()) // the first one may have come before the watch
		mu.Lock()
		defer mu.Unlock()
		return len(applied) == 2 && applied[1] == 2
	}, testTimeout, time.Millisecond)
	require.Equal(t, 2, s.numLists())
}

// Guards against a position that a copy reports before it has all items of a list: the
// leader's record is listed before the progress of jobs.
func TestPositionIsReachedAfterWholeList(t *testing.T) {
	s := standin.NewTransactions()
	for _, key := range []string{"p/a", "p/b", "p/c"} {
		s.Put(key, []byte("1"))
	}
	var follower *jobstore.Follower
	var newest uint64
	early := 0
	follower = jobstore.NewFollower(s.View("v"), "p/", func(c rosemarysill.Change) {
		newest = max(newest, c.Item.Version)
		if follower.Position() >= c.Item.Version {
			early++
		}
	}, func(error) {}, func() {})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); follower.Run(ctx) }()
	select {
	case <-follower.Synced():
	case <-time.After(testTimeout):
		t.Error("the list is not applied")
	}
	cancel()
	<-done
	require.Zero(t, early)
	require.GreaterOrEqual(t, follower.Position(), newest)
}

// Guards against a new job that takes the progress of a removed one with the same
// identifier: it would count as done, or its progress as that of another job.
func TestNewJobTakesNoProgressOfRemovedOne(t *testing.T) {
	s := standin.NewTransactions()
	put := func(tasks int) {
		j := &work.Job{ID: "j", Queue: "q", Steps: []work.Step{{Count: tasks}}}
		value, err := jobstore.EncodeJob(j)
		require.NoError(t, err)
		s.Put(jobstore.JobKey("j"), value)
	}
	put(1)
	progress, err := jobstore.EncodeProgress(&work.Progress{State: work.Completed, Tasks: []work.Task{{Run: 1, Done: true}}})
	require.NoError(t, err)
	s.Put(jobstore.ProgressKey("j"), progress)
	c := runCache(t, s)
	require.Eventually(t, func() bool { e, _ := c.Job("j"); return e.State() == work.Completed }, testTimeout, 5*time.Millisecond)
	s.SetFault("v", standin.Refusing)
	s.Remove(jobstore.JobKey("j"))
	s.Remove(jobstore.ProgressKey("j"))
	put(2)
	s.Compact()
	s.SetFault("v", standin.Healthy)
	require.Eventually(t, func() bool { e, ok := c.Job("j"); return ok && len(e.Job.Steps) == 1 && e.Job.Steps[0].Count == 2 }, testTimeout, 5*time.Millisecond)
	e, _ := c.Job("j")
	require.Equal(t, work.Queued, e.State())
	p, err := e.CloneProgress()
	require.NoError(t, err)
	require.Len(t, p.Tasks, 2)
}

// Guards against entries of removed jobs that stay in the cache and count towards the limit
// of jobs on record.
func TestRemovedJobsLeaveNothingBehind(t *testing.T) {
	s := standin.NewTransactions()
	c := runCache(t, s)
	progress, err := jobstore.EncodeProgress(&work.Progress{State: work.Cancelled, Tasks: make([]work.Task, 1)})
	require.NoError(t, err)
	remove := rosemarysill.Commit{}
	for i := range 5 {
		id := fmt.Sprintf("%016x", i)
		value, err := jobstore.EncodeJob(&work.Job{ID: id, Queue: "q", Steps: []work.Step{{Count: 1}}})
		require.NoError(t, err)
		s.Put(jobstore.JobKey(id), value)
		s.Put(jobstore.CancelKey(id), []byte("{}"))
		s.Put(jobstore.ProgressKey(id), progress)
		remove.Remove = append(remove.Remove, jobstore.JobKey(id), jobstore.ProgressKey(id), jobstore.CancelKey(id))
	}
	s.Put(jobstore.CancelKey("stray"), []byte("{}")) // of no job
	require.Eventually(t, func() bool { e, _ := c.Job("0000000000000004"); return c.NumJobs() == 6 && e.State() == work.Cancelled }, testTimeout, 5*time.Millisecond)
	s.Remove(jobstore.CancelKey("stray"))
	_, _, err = s.View("v").Commit(context.Background(), remove)
	require.NoError(t, err)
	require.Eventually(t, func() bool { _, ok := c.Job("0000000000000004"); return !ok }, testTimeout, 5*time.Millisecond)
	require.Eventually(t, func() bool { return c.NumJobs() == 0 }, 5*time.Second, 5*time.Millisecond, "%d entries are left", c.NumJobs())
	require.Empty(t, c.TakeChanged())
}

// silentProbe is a store whose first watch fails, and whose first probes get no reply.
type silentProbe struct {
	rosemarysill.TransactionalStore
	mu       sync.Mutex
	watches  int
	probes   int
	answered int // number of the probe that gets a reply
}

func (s *silentProbe) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]rosemarysill.Change, uint64, error) {
	s.mu.Lock()
	s.watches++
	first := s.watches == 1
	s.mu.Unlock()
	if first {
		return nil, after, rosemarysill.ErrStoreUnavailable
	}
	return s.TransactionalStore.Watch(ctx, prefix, after, wait)
}

func (s *silentProbe) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	s.mu.Lock()
	s.probes++
	n := s.probes
	s.mu.Unlock()
	if n < s.answered {
		<-ctx.Done() // only the follower itself ends the call
		return rosemarysill.Item{}, ctx.Err()
	}
	return s.TransactionalStore.Get(ctx, key)
}

// Guards against a follower that waits for calls that were sent during an outage although
// the store replies to later ones, and against several watches at a time, each of which
// would carry all changes that were missed.
func TestProbesDoNotWaitForEarlierOnes(t *testing.T) {
	s := &silentProbe{TransactionalStore: standin.NewTransactions().View("v"), answered: 4}
	recovered := make(chan int, 1)
	follower := jobstore.NewFollower(s, "p/", func(rosemarysill.Change) {}, func(error) {}, func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		recovered <- s.watches
	})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); follower.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	select {
	case watches := <-recovered:
		require.Equal(t, 2, watches)
	case <-time.After(testTimeout):
		require.FailNow(t, "the follower waits for calls without a reply")
	}
}
