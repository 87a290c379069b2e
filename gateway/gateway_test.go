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

// declared is a gateway.Declarations whose documents are of a given age.
type declared struct {
	cfg *queue.Configuration
	age atomic.Int64
}

func (d *declared) Configuration() *queue.Configuration { return d.cfg }

func (d *declared) FreshAsOf() time.Time { return uptime.Now().Add(-time.Duration(d.age.Load())) }

const configKey = "operators/config"

type world struct {
	store    *standin.Transactions
	declared *declared
	copy     *jobstore.Cache
	gate     *gateway.Gateway
}

func newWorld(t *testing.T, maxJobs int) *world {
	w := &world{store: standin.NewTransactions()}
	revision := w.store.Put(configKey, []byte("1"))
	w.declared = &declared{cfg: &queue.Configuration{
		Version: 1, Key: configKey, Revision: revision,
		Queues:   []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s"}, {Name: "open", Host: "h", Prefix: "/q/open/", Service: "s", Public: true}},
		Accounts: map[string]queue.Account{"a": {Name: "a", Keys: []string{"k"}}},
	}}
	w.declared.cfg.Index()
	view := w.store.View("entry")
	c := jobstore.NewCache(view, zerolog.Nop())
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); c.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-done })
	<-c.Synced()
	w.copy = c
	w.gate = gateway.New(gateway.Config{Store: view, Cache: c, Declarations: w.declared, KeyRevocationDelay: 5 * time.Second, MaxJobs: maxJobs, Log: zerolog.Nop()})
	return w
}

func (w *world) submit(path string, within time.Duration) rosemarysill.Code {
	ctx, cancel := context.WithTimeout(context.Background(), within)
	defer cancel()
	c := queue.Call{Host: "h", Path: path, Key: "k", Deadline: time.Now().Add(within)}
	return rosemarysill.CodeOf(w.gate.Submit(ctx, c, func() (*work.Job, error) {
		return &work.Job{Steps: []work.Step{{Count: 1}}}, nil
	}))
}

// Guards against answers that claim more than is known when the store does not
// answer, and against waits beyond the caller's time.
func TestStoreFaults(t *testing.T) {
	for name, tc := range map[string]struct {
		fault standin.Fault
		want  rosemarysill.Code
	}{
		"refuses":                {standin.Refusing, rosemarysill.StoreUnavailable},
		"is silent":              {standin.Silent, rosemarysill.OutcomeUnknown},
		"does and answers never": {standin.Losing, rosemarysill.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 0)
			w.store.SetFault("entry", tc.fault)
			began := time.Now()
			require.Equal(t, tc.want, w.submit("/q/0000000000000001", time.Second))
			require.Less(t, time.Since(began), 2*time.Second)
		})
	}
}

// Guards against keys that are honoured under a configuration that may be old.
func TestAgeOfConfiguration(t *testing.T) {
	w := newWorld(t, 0)
	require.Equal(t, rosemarysill.Done, w.submit("/q/0000000000000001", time.Second))
	w.declared.age.Store(int64(3100 * time.Millisecond))
	require.False(t, w.gate.Ready())
	require.Equal(t, rosemarysill.StaleConfiguration, w.submit("/q/0000000000000002", time.Second))
	w.declared.age.Store(0)
	w.store.Put(configKey, []byte("2"))
	require.Equal(t, rosemarysill.StoreUnavailable, w.submit("/q/0000000000000003", 300*time.Millisecond), "the entry has not heard of the newest yet")
	require.Len(t, w.store.Keys("rs/job/"), 1)
}

// Guards against records without a bound.
func TestTooManyJobs(t *testing.T) {
	w := newWorld(t, 1)
	require.Equal(t, rosemarysill.Done, w.submit("/q/0000000000000001", time.Second))
	c := queue.Call{Host: "h", Path: "/q/", Key: "k", Deadline: time.Now().Add(time.Minute)}
	require.Eventually(t, func() bool {
		n, err := w.gate.Pending(context.Background(), c)
		return err == nil && n == 1
	}, 10*time.Second, 5*time.Millisecond)
	require.Equal(t, rosemarysill.QueueFull, w.submit("/q/0000000000000002", time.Second))
	require.Equal(t, rosemarysill.Done, w.submit("/q/0000000000000001", time.Second), "a repetition is no new job")
}

// Guards against the wrong queue where one prefix begins with another.
func TestLongestPrefix(t *testing.T) {
	w := newWorld(t, 0)
	c := queue.Call{Host: "h", Path: "/q/open/", Deadline: time.Now().Add(time.Second)}
	require.True(t, w.gate.IsQueue(c))
	_, err := w.gate.Pending(context.Background(), c)
	require.NoError(t, err, "a public queue needs no key")
	c.Path = "/q/"
	_, err = w.gate.Pending(context.Background(), c)
	require.Equal(t, rosemarysill.UnknownAccount, rosemarysill.CodeOf(err))
}

// Guards against an entry that has just started and says that no job waits, or
// that a job which has ended waits, before it has read the records.
func TestEntryThatHasNotReadTheRecords(t *testing.T) {
	w := newWorld(t, 0)
	const id = "0000000000000001"
	require.Equal(t, rosemarysill.Done, w.submit("/q/"+id, time.Second))
	done, err := jobstore.EncodeProgress(&work.Progress{State: work.Completed, Tasks: make([]work.Task, 1)})
	require.NoError(t, err)
	w.store.Put(jobstore.ProgressKey(id), done)
	view := w.store.View("started")
	started := gateway.New(gateway.Config{Store: view, Cache: jobstore.NewCache(view, zerolog.Nop()), Declarations: w.declared, KeyRevocationDelay: 5 * time.Second, Log: zerolog.Nop()})
	c := queue.Call{Host: "h", Path: "/q/", Key: "k", Deadline: time.Now().Add(time.Minute)}
	_, err = started.Pending(context.Background(), c)
	require.Equal(t, rosemarysill.StaleConfiguration, rosemarysill.CodeOf(err))
	require.False(t, started.Ready())
	c.Path += id
	state, err := started.State(context.Background(), c)
	require.NoError(t, err)
	require.Equal(t, work.Completed, state)
}

// Guards against a job that is shown as running after it has ended, because this
// entry lets changes of the records gather before it reads them.
func TestStateIsThePresentOne(t *testing.T) {
	w := newWorld(t, 0)
	const id = "0000000000000001"
	require.Equal(t, rosemarysill.Done, w.submit("/q/"+id, time.Second))
	c := queue.Call{Host: "h", Path: "/q/" + id, Key: "k", Deadline: time.Now().Add(time.Minute)}
	for _, want := range []work.State{work.Running, work.Completed} {
		value, err := jobstore.EncodeProgress(&work.Progress{State: want, Tasks: make([]work.Task, 1)})
		require.NoError(t, err)
		w.store.Put(jobstore.ProgressKey(id), value)
		got, err := w.gate.State(context.Background(), c)
		require.NoError(t, err)
		require.Equal(t, want, got)
	}
	require.Eventually(t, func() bool { e, ok := w.copy.Job(id); return ok && e.Progress != nil }, 20*time.Second, time.Millisecond)
	w.store.SetFault("entry", standin.Refusing)
	got, err := w.gate.State(context.Background(), c)
	require.NoError(t, err)
	require.NotEqual(t, work.Queued, got, "without the store the latest that is known")
}
