package leader

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/standin"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// delayedRenewal is a store that renews leases after a delay.
type delayedRenewal struct {
	rosemarysill.TransactionalStore
	delay time.Duration
	err   error
}

func (s delayedRenewal) Renew(ctx context.Context, _ rosemarysill.LeaseID) error {
	uptime.Sleep(ctx, s.delay)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	return s.err
}

// Guards against a leadership that is lost because renewals are delayed by other traffic
// on a narrow link, as in a burst of jobs, against one that is kept after the lease has
// expired at the store, and against orders after it has expired by the clock of the leader.
func TestSlowLeaseRenewals(t *testing.T) {
	for name, c := range map[string]struct {
		store            delayedRenewal
		holds, suspended bool
	}{
		"late responses":                        {delayedRenewal{delay: 700 * time.Millisecond}, true, false},
		"responses after the lease has expired": {delayedRenewal{delay: 3 * time.Second}, false, true},
		"lease expired at the store":            {delayedRenewal{err: rosemarysill.ErrLeaseLapsed}, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			cfg := Config{Store: c.store, Cache: jobstore.NewCache(c.store, zerolog.Nop()), Log: zerolog.Nop()}
			term := newTerm(cfg, jobstore.LeaderRecord{Epoch: 1}, 1, 1, uptime.Now().Add(cfg.leaseTTL()))
			agent := term.newStream()
			done := make(chan struct{})
			go func() { defer close(done); term.renew(ctx) }()
			for c.holds && ctx.Err() == nil {
				require.False(t, term.leaseExpired(), "a delayed renewal must not delay others")
				uptime.Sleep(ctx, 10*time.Millisecond)
			}
			term.mu.Lock()
			expiry := term.leaseExpiry
			term.mu.Unlock()
			for c.suspended && ctx.Err() == nil {
				if _, ok := agent.orders(); ok {
					require.True(t, uptime.Now().Before(expiry.Add(time.Millisecond)), "orders after the lease has expired")
				}
				uptime.Sleep(ctx, 10*time.Millisecond)
			}
			<-done
			switch {
			case c.holds:
				require.NoError(t, term.cause())
			case c.suspended:
				_, ok := agent.orders()
				require.False(t, ok)
				require.False(t, term.mayOrder())
				require.NoError(t, term.checkLease(expiry.Add(maxSuspension)))
				require.ErrorIs(t, term.checkLease(expiry.Add(maxSuspension+time.Millisecond)), errLeaseLapsed)
			default:
				require.ErrorIs(t, term.cause(), errLeaseLapsed)
				_, ok := agent.orders()
				require.False(t, ok)
			}
		})
	}
}

// fakeFreshness is the configuration of a test, which is known to be the newest as of a
// given time.
type fakeFreshness struct {
	Declarations
	asOf time.Time
	out  string
}

func (d *fakeFreshness) FreshAsOf() time.Time { return d.asOf }

func (d *fakeFreshness) DomainOut(domain string) bool { return domain == d.out }

// Guards against a task that starts after a suspension of the leader although its failure
// domain was taken out just before it, which the copies of the leader do not show yet, and
// against a renewal that was sent before the lease expired and extends it afterwards.
func TestPlacementsAreRecheckedAfterSuspension(t *testing.T) {
	store := standin.NewTransactions()
	cache := jobstore.NewCache(store.View("cache"), zerolog.Nop())
	declarations := &fakeFreshness{asOf: uptime.Now(), out: "d-out"}
	begun := uptime.Now()
	term := newTerm(Config{Cache: cache, Declarations: declarations, Log: zerolog.Nop()}.withDefaults(), jobstore.LeaderRecord{Epoch: 1}, 1, 1, begun.Add(-time.Second))
	j, _, _ := storedJob(t)
	s := &jobState{job: j, progress: work.NewProgress(j)}
	w := newWorkerState(control.Worker{Incarnation: "b/i/1", Domain: "d-out"}, "b", begun)
	w.attached = true
	s.progress.Place(&s.progress.Tasks[0], w.Incarnation, "", 1)
	s.committed = append(s.committed, s.progress.Tasks...)
	key := work.RunKey{Task: work.TaskKey{Job: j.ID}, Run: 1}
	w.placedAt[key] = begun
	term.jobs[j.ID], term.workers[w.Incarnation] = s, w
	agent := term.newStream()
	agent.incarnation = w.Incarnation
	orders := func() (control.Orders, bool) { return agent.orders() }

	require.NoError(t, term.checkLease(uptime.Now()))
	require.True(t, term.suspended)
	term.extendLease(begun.Add(-time.Millisecond)) // a late reply
	_, ok := orders()
	require.False(t, ok, "a reply to an old renewal does not end the suspension")
	require.Nil(t, term.decide(), "nothing is placed while the term is suspended")

	term.extendLease(uptime.Now().Add(time.Minute))
	o, ok := orders()
	require.True(t, ok)
	require.Empty(t, o.Starts, "the copies may be old")
	require.Empty(t, o.Stops)
	term.decide()
	require.True(t, term.copiesOutdated)

	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); cache.Run(ctx) }()
	defer func() { cancel(); <-done }()
	<-cache.Synced()
	term.decide()
	require.True(t, term.copiesOutdated, "the declarations are old")
	declarations.asOf = uptime.Now()
	term.mu.Lock()
	fresh := term.copiesFresh()
	term.recheckPlacements(fresh)
	term.mu.Unlock()
	require.True(t, fresh)
	o, ok = orders()
	require.True(t, ok)
	require.Empty(t, o.Starts)
	require.Equal(t, []work.RunKey{key}, o.Stops)
}

// electionStore counts the calls of an election.
type electionStore struct {
	rosemarysill.TransactionalStore
	calls []string
	last  rosemarysill.Commit
	err   error
}

func (s *electionStore) Grant(context.Context, time.Duration) (rosemarysill.LeaseID, error) {
	s.calls = append(s.calls, "grant")
	return 7, nil
}

func (s *electionStore) Commit(_ context.Context, c rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	s.calls, s.last = append(s.calls, "commit"), c
	return 30, nil, s.err
}

func (s *electionStore) Revoke(context.Context, rosemarysill.LeaseID) error {
	s.calls = append(s.calls, "revoke")
	return nil
}

// Guards against an election after an outage that waits until the copies show the vacancy,
// and against a former leader that leads although another entry has been elected since or
// a stronger one should lead.
func TestFormerLeaderIsReelected(t *testing.T) {
	for name, c := range map[string]struct {
		gone  bool  // the leader record is gone
		slow  bool  // the entry stepped down as too slow
		err   error // of the commit
		calls []string
		leads bool
	}{
		"lease expired in an outage":       {true, false, nil, []string{"grant", "commit"}, true},
		"another entry has been elected":   {true, false, rosemarysill.ErrVersion, []string{"grant", "commit", "revoke"}, false},
		"deposed by another leader":        {false, false, nil, nil, false},
		"entry stepped down as too slow":   {true, true, nil, nil, false},
		"outcome of the commit is unknown": {true, false, rosemarysill.ErrStoreUnavailable, []string{"grant", "commit", "revoke"}, false},
	} {
		t.Run(name, func(t *testing.T) {
			store := &electionStore{err: c.err}
			cfg := Config{Name: "a", Store: store, Cache: jobstore.NewCache(store, zerolog.Nop()), Log: zerolog.Nop()}
			l := New(cfg)
			if c.slow {
				l.candidate.slowAt = uptime.Now()
			}
			earlier := newTerm(l.cfg, jobstore.LeaderRecord{Epoch: 4}, 10, 1, uptime.Now())
			earlier.recordGone = c.gone
			next := l.reelect(context.Background(), earlier)
			require.Equal(t, c.calls, store.calls)
			require.Equal(t, c.leads, next != nil)
			if len(c.calls) > 0 {
				require.Equal(t, []rosemarysill.Guard{{Key: jobstore.LeaderKey}, {Key: jobstore.EpochKey, Version: 10}}, store.last.Guards, "the epoch is that of the earlier term")
			}
			if next != nil {
				require.EqualValues(t, 5, next.rec.Epoch)
				require.EqualValues(t, 30, next.leaderVersion)
			}
		})
	}
}

// hangingCommit is a store whose first commit gets no reply.
type hangingCommit struct {
	rosemarysill.TransactionalStore
	commits int
	started chan struct{}
}

func (s *hangingCommit) Commit(ctx context.Context, _ rosemarysill.Commit) (uint64, []rosemarysill.Item, error) {
	s.commits++
	if s.commits == 1 {
		close(s.started)
		<-ctx.Done()
		return 0, nil, rosemarysill.ErrStoreUnavailable
	}
	return 20, nil, nil
}

// Guards against an end that waits for the timeout of a commit that was sent during an
// outage: the first reply to a renewal has the commit repeated.
func TestCommitIsRepeatedWhenStoreReturns(t *testing.T) {
	store := &hangingCommit{started: make(chan struct{})}
	term := newTerm(Config{Store: store, Cache: jobstore.NewCache(store, zerolog.Nop()), Log: zerolog.Nop()}, jobstore.LeaderRecord{Epoch: 2}, 10, 1, uptime.Now().Add(time.Minute))
	j, _, own := storedJob(t)
	s := &jobState{job: j, progress: work.NewProgress(j), version: 3}
	s.committed = append(s.committed, s.progress.Tasks...)
	result := make(chan error, 1)
	go func() {
		result <- term.commit(context.Background(), &batch{changes: []change{{s, own, s.progress.Tasks}}})
	}()
	<-store.started
	now := uptime.Now()
	require.False(t, term.contact.lost(now))
	term.contact.observe(now) // a renewal while there is contact: the commit may only be slow
	select {
	case err := <-result:
		require.FailNow(t, "interrupted", "%v", err)
	case <-time.After(20 * time.Millisecond):
	}
	later := now.Add(contactTimeout + time.Millisecond)
	require.True(t, term.contact.lost(later))
	term.contact.observe(later)
	require.NoError(t, <-result)
	require.Equal(t, 2, store.commits)
}

// placedTerm is a term with one committed placement on an attached worker in the domain
// "d-out", and the stream of its agent.
func placedTerm(t *testing.T, d Declarations, leaseExpiry time.Time) (*term, *workerState, work.RunKey, *stream) {
	t.Helper()
	cache := jobstore.NewCache(standin.NewTransactions().View("cache"), zerolog.Nop())
	term := newTerm(Config{Cache: cache, Declarations: d, Log: zerolog.Nop()}.withDefaults(), jobstore.LeaderRecord{Epoch: 1}, 1, 1, leaseExpiry)
	j, _, _ := storedJob(t)
	s := &jobState{job: j, progress: work.NewProgress(j)}
	w := newWorkerState(control.Worker{Incarnation: "b/i/1", Domain: "d-out"}, "b", uptime.Now())
	w.attached = true
	s.progress.Place(&s.progress.Tasks[0], w.Incarnation, "", 1)
	s.committed = append(s.committed, s.progress.Tasks...)
	key := work.RunKey{Task: work.TaskKey{Job: j.ID}, Run: 1}
	term.jobs[j.ID], term.workers[w.Incarnation] = s, w
	w.placedAt[key] = uptime.Now()
	agent := term.newStream()
	agent.incarnation = w.Incarnation
	return term, w, key, agent
}

// Guards against a start, after an outage, of a run that an earlier leader placed in a domain
// that has been taken out since. A run that is listed goes on.
func TestPlacementOfEarlierLeaderIsWithdrawn(t *testing.T) {
	for name, c := range map[string]struct {
		out           string
		listed        bool
		starts, stops int
	}{
		"domain in":               {"", false, 1, 0},
		"domain out":              {"d-out", false, 0, 1},
		"domain out, run started": {"d-out", true, 0, 0},
	} {
		t.Run(name, func(t *testing.T) {
			term, w, key, agent := placedTerm(t, &fakeFreshness{asOf: uptime.Now(), out: c.out}, uptime.Now().Add(time.Minute))
			w.placedAt[key] = term.elected
			if c.listed {
				w.running = []work.RunStatus{{Key: key}}
			}
			o, ok := agent.orders()
			require.True(t, ok)
			require.Len(t, o.Starts, c.starts)
			require.Len(t, o.Stops, c.stops)
		})
	}
}

// Guards against a new leader that places or starts by declarations from before an outage,
// which may lack a domain that was taken out, and against one that waits for declarations of
// the age that they have at rest.
func TestNewLeaderNeedsFreshDeclarations(t *testing.T) {
	for name, c := range map[string]struct {
		age   time.Duration
		fresh bool
	}{
		"from before an outage": {5 * time.Second, false},
		"at rest":               {2 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			s := standin.NewTransactions()
			store := s.View("entry")
			ctx, cancel := context.WithCancel(context.Background())
			cache := jobstore.NewCache(store, zerolog.Nop())
			done := make(chan struct{})
			go func() { defer close(done); cache.Run(ctx) }()
			defer func() { cancel(); <-done }()
			<-cache.Synced()
			declarations := &fakeFreshness{asOf: uptime.Now().Add(-c.age)}
			l := New(Config{Name: "a", Store: store, Cache: cache, Declarations: declarations, Log: zerolog.Nop()})
			term, err := l.elect(ctx)
			require.NoError(t, err)
			term.recheckPlacements(term.copiesFresh())
			require.Equal(t, c.fresh, !term.copiesOutdated)
			declarations.asOf = uptime.Now()
			term.recheckPlacements(term.copiesFresh())
			require.False(t, term.copiesOutdated)
		})
	}
}

// Guards against starts by outdated copies after a pause of the process between the check of
// the lease and the sending of the renewal: the expiry was then not seen as a suspension.
func TestUnnoticedExpiryIsASuspension(t *testing.T) {
	term, _, _, agent := placedTerm(t, &fakeFreshness{asOf: uptime.Now()}, uptime.Now().Add(-time.Second))
	require.False(t, term.suspended)
	term.extendLease(uptime.Now().Add(time.Minute))
	o, ok := agent.orders()
	require.True(t, ok)
	require.Empty(t, o.Starts, "the copies may be old")
	require.True(t, term.copiesOutdated)
}
