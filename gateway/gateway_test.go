package gateway_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/gateway"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// fakeConfig is a gateway.Declarations with a configuration of a given age.
type fakeConfig struct {
	cfg      *queue.Configuration
	age      atomic.Int64
	expected atomic.Uint64 // revision that the store is known to have
}

func (d *fakeConfig) Configuration() *queue.Configuration { return d.cfg }

func (d *fakeConfig) FreshAsOf() time.Time { return uptime.Now().Add(-time.Duration(d.age.Load())) }

func (d *fakeConfig) RepliedAt() time.Time { return uptime.Now() }

func (d *fakeConfig) Expect(revision uint64, _ time.Time) { d.expected.Store(revision) }

const configKey = "operators/config"

// testEntry is a gateway with a stand-in for the store.
type testEntry struct {
	t            *testing.T
	store        *standin.Transactions
	declarations *fakeConfig
	cache        *jobstore.Cache
	gateway      *gateway.Gateway
}

func newTestEntry(t *testing.T, maxJobs int) *testEntry {
	entry := &testEntry{t: t, store: standin.NewTransactions()}
	revision := entry.store.Put(configKey, []byte("1"))
	entry.declarations = &fakeConfig{cfg: &queue.Configuration{
		Version: 1, Key: configKey, Revision: revision,
		Queues:   []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}, {Name: "open", Host: "h", Prefix: "/q/open/", Service: "s", Public: true}},
		Accounts: map[string]queue.Account{"a": {Name: "a", Keys: []string{"k"}}},
	}}
	entry.declarations.cfg.Index()
	view := entry.store.View("entry")
	cache := jobstore.NewCache(entry.store.View("cache"), zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); cache.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-cache.Synced()
	entry.cache = cache
	entry.gateway = gateway.New(gateway.Config{Store: view, Cache: cache, Declarations: entry.declarations, KeyRevocationDelay: 5 * time.Second, MaxJobs: maxJobs, Log: zerolog.Nop()})
	return entry
}

func (e *testEntry) submit(path string, timeout time.Duration) rosemarysill.Code {
	ctx, cancel := context.WithTimeout(context.Background(), timeout)
	defer cancel()
	c := queue.Call{Host: "h", Path: path, Key: "k", Deadline: time.Now().Add(timeout)}
	return rosemarysill.CodeOf(e.gateway.Submit(ctx, c, func() (*work.Job, error) {
		return &work.Job{Steps: []work.Step{{Count: 1}}}, nil
	}))
}

// Guards against answers that claim a certain outcome when the store does not
// answer, and against waits beyond the caller's deadline.
func TestStoreFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault standin.Fault
		want  rosemarysill.Code
	}{
		"refuses":                   {standin.Refusing, rosemarysill.StoreUnavailable},
		"does not answer":           {standin.Silent, rosemarysill.OutcomeUnknown},
		"commits without answering": {standin.Losing, rosemarysill.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			entry := newTestEntry(t, 0)
			entry.store.SetFault("entry", tc.fault)
			start := time.Now()
			require.Equal(t, tc.want, entry.submit("/q/0000000000000001", time.Second))
			require.Less(t, time.Since(start), 2*time.Second)
		})
	}
}

// Guards against keys that are accepted under a configuration that may be outdated.
func TestStaleConfigurationIsRefused(t *testing.T) {
	entry := newTestEntry(t, 0)
	require.Equal(t, rosemarysill.Done, entry.submit("/q/0000000000000001", time.Second))
	entry.declarations.age.Store(int64(3100 * time.Millisecond))
	require.False(t, entry.gateway.Ready())
	require.Equal(t, rosemarysill.StaleConfiguration, entry.submit("/q/0000000000000002", time.Second))
	entry.declarations.age.Store(0)
	revision := entry.store.Put(configKey, []byte("2"))
	require.Equal(t, rosemarysill.StoreUnavailable, entry.submit("/q/0000000000000003", 300*time.Millisecond), "the entry does not have the latest configuration")
	require.Equal(t, revision, entry.declarations.expected.Load(), "the copy is checked against the revision in the store")
	require.Len(t, entry.store.Keys("rs/job/"), 1)
}

// Guards against an entry that decides calls by its own configuration after its callers
// have been answered by a newer one, and against one that decides a relayed call by an
// older configuration than that of the relaying entry.
func TestOlderConfigurationDecidesNothing(t *testing.T) {
	entry := newTestEntry(t, 0)
	c := queue.Call{Host: "h", Path: "/q/", Key: "k", Deadline: time.Now().Add(time.Second)}
	pending := func(c queue.Call) rosemarysill.Code {
		_, err := entry.gateway.Status(context.Background(), c)
		return rosemarysill.CodeOf(err)
	}
	own := entry.gateway.ConfigID().Revision
	require.Equal(t, rosemarysill.Done, pending(c))
	relayed := c
	relayed.MinRevision = own + 1
	require.Equal(t, rosemarysill.StaleConfiguration, pending(relayed))
	require.Equal(t, own+1, entry.declarations.expected.Load(), "the copy is checked against the revision of the relaying entry")
	require.Equal(t, rosemarysill.Done, pending(c))

	entry.gateway.RaiseMinRevision(own + 2)
	entry.gateway.RaiseMinRevision(own + 1)
	require.Equal(t, own+2, entry.gateway.MinRevision())
	require.Equal(t, rosemarysill.StaleConfiguration, pending(c))
	entry.declarations.cfg = &queue.Configuration{Version: 2, Key: configKey, Revision: own + 2, Queues: entry.declarations.cfg.Queues, Accounts: entry.declarations.cfg.Accounts}
	entry.declarations.cfg.Index()
	require.Equal(t, rosemarysill.Done, pending(c))
}

// Guards against an unbounded number of job records.
func TestJobLimit(t *testing.T) {
	entry := newTestEntry(t, 1)
	require.Equal(t, rosemarysill.Done, entry.submit("/q/0000000000000001", time.Second))
	c := queue.Call{Host: "h", Path: "/q/", Key: "k", Deadline: time.Now().Add(time.Minute)}
	require.Eventually(t, func() bool {
		s, err := entry.gateway.Status(context.Background(), c)
		return err == nil && s == queue.Status{OfQueue: true, Pending: 1}
	}, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, rosemarysill.QueueFull, entry.submit("/q/0000000000000002", time.Second))
	require.Equal(t, rosemarysill.Done, entry.submit("/q/0000000000000001", time.Second), "a repeated submission is not a new job")
}

// Guards against a call that goes to the wrong queue when the prefix of one queue
// begins with that of another.
func TestLongestPrefixWins(t *testing.T) {
	entry := newTestEntry(t, 0)
	c := queue.Call{Host: "h", Path: "/q/open/", Deadline: time.Now().Add(time.Second)}
	s, err := entry.gateway.Status(context.Background(), c)
	require.NoError(t, err, "a public queue needs no key")
	require.True(t, s.OfQueue)
	c.Path = "/q/"
	_, err = entry.gateway.Status(context.Background(), c)
	require.Equal(t, rosemarysill.UnknownAccount, rosemarysill.CodeOf(err))
}

// Guards against an entry that has just started and, before it has read the
// records, reports that no job is pending or that a completed job is queued.
func TestUnsyncedCache(t *testing.T) {
	entry := newTestEntry(t, 0)
	const id = "0000000000000001"
	require.Equal(t, rosemarysill.Done, entry.submit("/q/"+id, time.Second))
	completed, err := jobstore.EncodeProgress(&work.Progress{State: work.Completed, Tasks: make([]work.Task, 1)})
	require.NoError(t, err)
	entry.store.Put(jobstore.ProgressKey(id), completed)
	view := entry.store.View("started")
	restarted := gateway.New(gateway.Config{Store: view, Cache: jobstore.NewCache(view, zerolog.Nop()), Declarations: entry.declarations, KeyRevocationDelay: 5 * time.Second, Log: zerolog.Nop()})
	c := queue.Call{Host: "h", Path: "/q/", Key: "k", Deadline: time.Now().Add(time.Minute)}
	_, err = restarted.Status(context.Background(), c)
	require.Equal(t, rosemarysill.StaleConfiguration, rosemarysill.CodeOf(err))
	require.False(t, restarted.Ready())
	c.Path += id
	s, err := restarted.Status(context.Background(), c)
	require.NoError(t, err)
	require.Equal(t, work.Completed, s.State)
}

// Guards against a job that is reported as running after it has ended. The cache
// of an entry batches changes of the records, so it may lag behind the store.
func TestStateIsReadFromStore(t *testing.T) {
	entry := newTestEntry(t, 0)
	const id = "0000000000000001"
	require.Equal(t, rosemarysill.Done, entry.submit("/q/"+id, time.Second))
	c := queue.Call{Host: "h", Path: "/q/" + id, Key: "k", Deadline: time.Now().Add(time.Minute)}
	for _, want := range []work.State{work.Running, work.Completed} {
		value, err := jobstore.EncodeProgress(&work.Progress{State: want, Tasks: make([]work.Task, 1)})
		require.NoError(t, err)
		entry.store.Put(jobstore.ProgressKey(id), value)
		got, err := entry.gateway.Status(context.Background(), c)
		require.NoError(t, err)
		require.Equal(t, want, got.State)
	}
	require.Eventually(t, func() bool { rec, ok := entry.cache.Job(id); return ok && rec.Progress != nil }, 20*time.Second, time.Millisecond)
	entry.store.SetFault("entry", standin.Refusing)
	got, err := entry.gateway.Status(context.Background(), c)
	require.NoError(t, err)
	require.NotEqual(t, work.Queued, got.State, "without the store, the state is the latest known one")
}

// Guards against a job that is reported as running after it was reported as completed. The
// store may fail between a read of the state and the arrival of the change in the cache.
func TestFinalStateStands(t *testing.T) {
	for name, tc := range map[string]struct {
		learn func(*testEntry, queue.Call)
		want  work.State
	}{
		"read from the store": {func(e *testEntry, c queue.Call) {
			s, err := e.gateway.Status(context.Background(), c)
			require.NoError(e.t, err)
			require.Equal(e.t, work.Completed, s.State)
		}, work.Completed},
		"answered by another entry": {func(e *testEntry, c queue.Call) { e.gateway.RecordState(c, work.Failed) }, work.Failed},
		"cancelled by the answer of another entry": {func(e *testEntry, c queue.Call) {
			e.gateway.RecordState(c, work.Cancelled)
			e.gateway.RecordState(c, work.Running)
		}, work.Cancelled},
		"completed before it was cancelled": {func(e *testEntry, c queue.Call) {
			e.gateway.RecordState(c, work.Cancelled)
			e.gateway.RecordState(c, work.Completed)
			e.gateway.RecordState(c, work.Cancelled)
		}, work.Completed},
	} {
		t.Run(name, func(t *testing.T) {
			entry := newTestEntry(t, 0)
			const id = "0000000000000001"
			require.Equal(t, rosemarysill.Done, entry.submit("/q/"+id, time.Second))
			require.Eventually(t, func() bool { _, ok := entry.cache.Job(id); return ok }, 20*time.Second, time.Millisecond)
			entry.store.SetFault("cache", standin.Refusing)
			value, err := jobstore.EncodeProgress(&work.Progress{State: work.Completed, Tasks: make([]work.Task, 1)})
			require.NoError(t, err)
			entry.store.Put(jobstore.ProgressKey(id), value)
			c := queue.Call{Host: "h", Path: "/q/" + id, Key: "k", Deadline: time.Now().Add(time.Minute)}
			tc.learn(entry, c)
			entry.store.SetFault("entry", standin.Refusing)
			s, err := entry.gateway.Status(context.Background(), c)
			require.NoError(t, err)
			require.Equal(t, tc.want, s.State)
		})
	}
}
