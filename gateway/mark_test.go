package gateway

import (
	"context"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	testConfigKey = "operators/config"
	testJobID     = "0000000000000001"
)

// testDeclarations has a configuration that is fresh.
type testDeclarations struct{ cfg *queue.Configuration }

func (d testDeclarations) Configuration() *queue.Configuration { return d.cfg }

func (d testDeclarations) FreshAsOf() time.Time { return uptime.Now() }

func (d testDeclarations) RepliedAt() time.Time { return uptime.Now() }

func (d testDeclarations) Expect(uint64, time.Time) {}

// markedEntry is an entry with a store whose faults are set by the name "entry".
func markedEntry(s *standin.Transactions) (*Gateway, *queue.Configuration) {
	cfg := &queue.Configuration{
		Version: 1, Key: testConfigKey, Revision: s.Put(testConfigKey, []byte("1")),
		Queues: []queue.Queue{{Name: "q", Host: "h", Prefix: "/q/", Service: "s", Public: true}}, Accounts: map[string]queue.Account{},
	}
	cfg.Index()
	view := s.View("entry")
	return New(Config{Store: view, Cache: jobstore.NewCache(view, zerolog.Nop()), Declarations: testDeclarations{cfg}, KeyRevocationDelay: 5 * time.Second, Log: zerolog.Nop()}), cfg
}

func testCall(marked *bool) queue.Call {
	return queue.Call{Host: "h", Path: "/q/" + testJobID, Deadline: time.Now().Add(10 * time.Second), Marked: marked}
}

func testJob() *work.Job { return &work.Job{ID: testJobID, Steps: []work.Step{{Count: 1}}} }

// sendLateWrite writes the job at an entry of markedEntry, without a reply. With markedBefore
// the write replaces the mark of an earlier refusal.
func sendLateWrite(t *testing.T, s *standin.Transactions, g *Gateway, cfg *queue.Configuration, markedBefore bool) {
	var markVersion uint64
	if markedBefore {
		refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
		require.ErrorIs(t, g.refuseMarked(t.Context(), testCall(nil), testJobID, refusal), refusal)
		require.ErrorIs(t, g.writeJob(t.Context(), cfg, testJob(), &markVersion), rosemarysill.ErrVersion)
		require.NotZero(t, markVersion)
	}
	s.SetFault("entry", standin.Late)
	require.ErrorIs(t, g.writeJob(t.Context(), cfg, testJob(), &markVersion), rosemarysill.ErrStoreUnavailable)
	s.SetFault("entry", standin.Healthy)
}

// Guards against a job that runs after it was refused, because an earlier write of it takes
// effect late, and against a job that is never accepted after a refusal.
func TestLateWriteOfRefusedJobFails(t *testing.T) {
	refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
	for name, tc := range map[string]struct {
		markedBefore bool // the late write is a try that replaces the mark of an earlier refusal
	}{
		"first try":                    {},
		"try after an earlier refusal": {markedBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			s.LateBy = 300 * time.Millisecond
			g, cfg := markedEntry(s)
			ctx := context.Background()
			sendLateWrite(t, s, g, cfg, tc.markedBefore)
			var marked bool
			require.ErrorIs(t, g.refuseMarked(ctx, testCall(&marked), testJobID, refusal), refusal)
			require.True(t, marked)
			time.Sleep(2 * s.LateBy) // the late write is executed
			require.Empty(t, s.Keys(jobstore.JobKey("")), "the refused job is on record")

			// A later try of the same job is accepted, and leaves no mark.
			err := g.Submit(ctx, testCall(nil), func() (*work.Job, error) { return testJob(), nil })
			require.NoError(t, err)
			require.Len(t, s.Keys(jobstore.JobKey("")), 1)
			require.Empty(t, s.Keys(jobstore.MarkKey("")))
		})
	}
}

// Guards against a refusal of a job that is on record, and against one whose mark is not
// confirmed.
func TestRefusalIsConfirmed(t *testing.T) {
	refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
	for name, tc := range map[string]struct {
		recorded bool
		fault    standin.Fault
		want     rosemarysill.Code
	}{
		"confirmed":                 {false, standin.Healthy, rosemarysill.Overloaded},
		"job on record":             {true, standin.Healthy, rosemarysill.Done},
		"reply to the mark is lost": {false, standin.Losing, rosemarysill.OutcomeUnknown},
		"store refuses":             {false, standin.Refusing, rosemarysill.OutcomeUnknown},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			g, cfg := markedEntry(s)
			if tc.recorded {
				require.NoError(t, g.writeJob(context.Background(), cfg, testJob(), new(uint64)))
			}
			s.SetFault("entry", tc.fault)
			var marked bool
			c := testCall(&marked)
			c.Deadline = time.Now().Add(300 * time.Millisecond)
			err := g.refuseMarked(context.Background(), c, testJobID, refusal)
			require.Equal(t, tc.want, rosemarysill.CodeOf(err))
			require.Equal(t, tc.want == rosemarysill.Overloaded, marked)
		})
	}
}

// Guards against marks that stay for ever, and against marks that are taken for jobs: by
// the copy of the records, by a question, and by an entry of a version without marks, whose
// write is guarded by the key of the job only.
func TestMarksAreNoJobs(t *testing.T) {
	s := standin.NewTransactions()
	g, cfg := markedEntry(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.cfg.Cache.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-g.cfg.Cache.Synced()
	refusal := rosemarysill.NewError(rosemarysill.Overloaded, "test")
	require.ErrorIs(t, g.refuseMarked(ctx, testCall(nil), testJobID, refusal), refusal)
	require.Len(t, s.Keys(jobstore.MarkKey("")), 1)
	_, err := g.Status(ctx, testCall(nil))
	require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(err))
	require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(g.Cancel(ctx, testCall(nil))))
	require.Zero(t, g.cfg.Cache.NumJobs())
	require.NoError(t, s.View("entry").Revoke(ctx, g.marks.lease), "the mark is attached to a lease")
	require.Empty(t, s.Keys(jobstore.MarkKey("")))

	// The entry takes another lease when its own has expired.
	require.ErrorIs(t, g.refuseMarked(ctx, testCall(nil), testJobID, refusal), refusal)
	require.Len(t, s.Keys(jobstore.MarkKey("")), 1)
	value, err := jobstore.EncodeJob(testJob())
	require.NoError(t, err)
	_, items, err := s.View("old").Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: cfg.Key, Version: cfg.Revision}, {Key: jobstore.JobKey(testJobID)}},
		Writes: []rosemarysill.Write{{Key: jobstore.JobKey(testJobID), Value: value}},
	})
	require.False(t, errors.Is(err, rosemarysill.ErrVersion), "an earlier version would take the job for accepted: %v", items)
}

// Guards against a job that starts seconds after its cancel was answered with "no such job",
// because the write that accepts it is executed late.
func TestCancelOfUnknownJobStands(t *testing.T) {
	for name, tc := range map[string]struct {
		markedBefore bool // the late write replaces the mark of an earlier refusal
	}{
		"first try":                    {},
		"try after an earlier refusal": {markedBefore: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			s.LateBy = 300 * time.Millisecond
			g, cfg := markedEntry(s)
			ctx := context.Background()
			sendLateWrite(t, s, g, cfg, tc.markedBefore)
			require.Equal(t, rosemarysill.UnknownJob, rosemarysill.CodeOf(g.Cancel(ctx, testCall(nil))))
			time.Sleep(2 * s.LateBy) // the late write is executed
			require.Empty(t, s.Keys(jobstore.JobKey("")), "the job that does not exist is on record")
			require.NoError(t, g.Submit(ctx, testCall(nil), func() (*work.Job, error) { return testJob(), nil }))
			require.NoError(t, g.Cancel(ctx, testCall(nil)))
			require.Len(t, s.Keys(jobstore.CancelKey("")), 1)
		})
	}
}

// refusedReads is a store that refuses reads of single keys.
type refusedReads struct {
	rosemarysill.TransactionalStore
}

func (refusedReads) Get(context.Context, string) (rosemarysill.Item, error) {
	return rosemarysill.Item{}, rosemarysill.ErrStoreRefused
}

// cancelsLost is a store whose commits get no reply, and which refuses reads after the first
// commit.
type cancelsLost struct {
	rosemarysill.TransactionalStore
	reads rosemarysill.TransactionalStore
}

func (s *cancelsLost) Get(ctx context.Context, key string) (rosemarysill.Item, error) {
	return s.reads.Get(ctx, key)
}

func (s *cancelsLost) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	s.reads = refusedReads{s.reads}
	_, _, _ = s.TransactionalStore.Commit(ctx, c)
	return 0, nil, rosemarysill.ErrStoreUnavailable
}

// Guards against a cancel that is answered with 503, which says that it had no effect,
// although a commit of it without a reply took effect, because the job cannot be read again.
func TestCancelWithoutReplyIsUnknown(t *testing.T) {
	s := standin.NewTransactions()
	g, cfg := markedEntry(s)
	require.NoError(t, g.writeJob(context.Background(), cfg, testJob(), new(uint64)))
	g.cfg.Store = &cancelsLost{g.cfg.Store, g.cfg.Store}
	c := testCall(nil)
	c.Deadline = time.Now().Add(300 * time.Millisecond)
	require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(g.Cancel(context.Background(), c)))
	require.Len(t, s.Keys(jobstore.CancelKey("")), 1)
}

// Guards against a job that runs after it was refused at the limit of jobs on record,
// because an earlier write of it takes effect late.
func TestLateWriteOfJobBeyondLimitFails(t *testing.T) {
	s := standin.NewTransactions()
	s.LateBy = 300 * time.Millisecond
	g, cfg := markedEntry(s)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); g.cfg.Cache.Run(ctx) }()
	defer func() { cancel(); <-done }()
	other := testJob()
	other.ID = "0000000000000002"
	require.NoError(t, g.writeJob(ctx, cfg, other, new(uint64)))
	require.Eventually(t, func() bool { return g.cfg.Cache.NumJobs() == 1 }, 10*time.Second, time.Millisecond)
	g.cfg.MaxJobs = 1
	s.SetFault("entry", standin.Late)
	require.ErrorIs(t, g.writeJob(ctx, cfg, testJob(), new(uint64)), rosemarysill.ErrStoreUnavailable)
	s.SetFault("entry", standin.Healthy)
	var marked bool
	err := g.Submit(ctx, testCall(&marked), func() (*work.Job, error) { return testJob(), nil })
	require.Equal(t, rosemarysill.QueueFull, rosemarysill.CodeOf(err))
	require.True(t, marked)
	time.Sleep(2 * s.LateBy) // the late write is executed
	require.Equal(t, []string{jobstore.JobKey(other.ID)}, s.Keys(jobstore.JobKey("")), "the refused job is on record")
}

// markedMeanwhile is a store whose first commit is refused, after another entry has refused
// the same job.
type markedMeanwhile struct {
	rosemarysill.TransactionalStore
	refuse func()
}

func (s *markedMeanwhile) Commit(ctx context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	if s.refuse != nil {
		s.refuse()
		s.refuse = nil
		return 0, nil, rosemarysill.ErrStoreRefused
	}
	return s.TransactionalStore.Commit(ctx, c)
}

// Guards against a job that runs after it was refused, because an earlier try of it, whose
// connection the caller has lost, is repeated at another entry and replaces the mark.
func TestEarlierTryDoesNotReplaceMark(t *testing.T) {
	refusal := rosemarysill.NewError(rosemarysill.NoCapacity, "test")
	for name, tc := range map[string]struct {
		repeated bool // by the relay of another entry
	}{
		"repeated at this entry": {},
		"repeated by a relay":    {true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			g, _ := markedEntry(s)
			other := New(g.cfg)
			other.cfg.Store = s.View("other")
			refuse := func() {
				require.ErrorIs(t, other.refuseMarked(context.Background(), testCall(nil), testJobID, refusal), refusal)
			}
			var marked bool
			c := testCall(&marked)
			if c.Repeated = tc.repeated; tc.repeated {
				refuse()
			} else {
				g.cfg.Store = &markedMeanwhile{g.cfg.Store, refuse}
			}
			err := g.Submit(context.Background(), c, func() (*work.Job, error) { return testJob(), nil })
			require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err))
			require.True(t, marked)
			require.Empty(t, s.Keys(jobstore.JobKey("")), "the refused job is on record")
			require.Len(t, s.Keys(jobstore.MarkKey("")), 1)

			// The next try of the caller is accepted.
			require.NoError(t, other.Submit(context.Background(), testCall(nil), func() (*work.Job, error) { return testJob(), nil }))
			require.Len(t, s.Keys(jobstore.JobKey("")), 1)
		})
	}
}
