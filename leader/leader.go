// Package leader elects one entry as the leader, which places tasks on workers. The
// leader holds a key of the store under a lease. Every commit of the leader has that key
// as a guard, so a deposed leader cannot record anything, and a start is ordered only
// once its placement is recorded. Stops and throttles need no record.
package leader

import (
	"cmp"
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/declaration"
	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// leaseTTL is the time after which another entry may take over from an unresponsive
	// leader. It bounds the delay of urgent jobs after a crash.
	leaseTTL = 1200 * time.Millisecond
	// renewInterval leaves time for three tries before the lease expires.
	renewInterval = 300 * time.Millisecond
	// electionRetryDelay is the delay between two tries to become the leader.
	electionRetryDelay = 200 * time.Millisecond
	// releaseTimeout is how long a former leader tries to revoke a lease that it could
	// not renew. It exceeds the outages of the store that are expected.
	releaseTimeout = 30 * time.Second
	// releaseCallTimeout bounds one of these calls, which may get no answer during an
	// outage.
	releaseCallTimeout = 500 * time.Millisecond
	// releaseRetryDelay is the pause between two of these calls.
	releaseRetryDelay = 50 * time.Millisecond
	// maxCopyAge is the age of the copies at an election beyond which a new leader starts
	// nothing until they have been confirmed: after an outage they may lack a domain that
	// was taken out. It exceeds their age of up to 2 s at rest, when watches return once a
	// second, by two replies of a slow store.
	maxCopyAge = 2500 * time.Millisecond
	// decisionInterval is the longest time between two scheduling passes.
	decisionInterval = 100 * time.Millisecond
)

// Declarations gives access to the operators' documents that are in force.
type Declarations interface {
	// Configuration returns the newest configuration, or nil if there is none.
	Configuration() *queue.Configuration
	// DomainOut reports whether a failure domain is taken out of service.
	DomainOut(domain string) bool
	// Waves returns the maintenance waves by key.
	Waves() map[string]declaration.Wave
	// FreshAsOf returns the time up to which all changes of the documents are known.
	FreshAsOf() time.Time
}

// Config holds the settings and dependencies of a leader.
type Config struct {
	Name             string
	Address          netip.AddrPort // where agents open their streams
	Cores            float64        // processor share of this entry; 0 if unknown
	LinkMbps         float64        // network bandwidth of this entry; 0 if unknown
	Store            rosemarysill.TransactionalStore
	Cache            *jobstore.Cache
	Declarations     Declarations
	LeaseMin         time.Duration       // shortest lease that the store grants
	StatusRetention  time.Duration       // least time for which final jobs are kept
	StopGrace        time.Duration       // longest time that the stop of a run takes
	GangWait         time.Duration       // for which members of a gang wait for the others
	ReclaimTimeout   time.Duration       // within which guaranteed work starts
	Delay            delay.Model         // what delays and stops cost callers; the default if zero
	RemoteSlowdown   float64             // factor by which tasks take longer away from their rack; 0 if unknown
	Adviser          work.Adviser        // nil if there is no advice service
	Machines         work.MachineManager // nil if machines cannot be controlled
	EncodeWaveStatus WaveStatusEncoder
	Meter            *meter.Meter
	Log              zerolog.Logger
}

// defaultGangWait is used if the settings give no GangWait. It is the shortest one of the
// users' sites.
const defaultGangWait = 3 * time.Second

func (c Config) withDefaults() Config {
	c.GangWait = cmp.Or(c.GangWait, defaultGangWait)
	c.RemoteSlowdown = cmp.Or(c.RemoteSlowdown, defaultRemoteSlowdown)
	return c
}

// leaderRecord returns the record of this entry that other entries read.
func (c Config) leaderRecord() jobstore.LeaderRecord {
	return jobstore.LeaderRecord{Name: c.Name, Address: c.Address, Cores: c.Cores, LinkMbps: c.LinkMbps}
}

// leaseTTL is the lifetime of the lease of the leader record.
func (c Config) leaseTTL() time.Duration { return max(leaseTTL, c.LeaseMin) }

// Leader takes part in elections and leads while it is elected.
type Leader struct {
	cfg  Config
	ttl  time.Duration
	done chan struct{}

	candidate lockedCandidate
	releases  sync.WaitGroup // calls of releaseLapsed

	mu   sync.Mutex
	term *term // nil while this entry does not lead

	explanations explanationLimit
}

var _ control.Leader = (*Leader)(nil)

// New returns a Leader that takes part in elections once it runs.
func New(cfg Config) *Leader {
	cfg = cfg.withDefaults()
	return &Leader{cfg: cfg, ttl: cfg.leaseTTL(), done: make(chan struct{}), candidate: lockedCandidate{candidate: candidate{own: cfg.leaderRecord()}}}
}

// Done is closed when Run returns.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Run takes part in elections until ctx ends. If this entry leads then, it steps down.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.done)
	defer l.releases.Wait()
	for ctx.Err() == nil {
		if l.mayCampaign() {
			if t, err := l.elect(ctx); err == nil {
				l.serveTerms(ctx, t)
				continue
			} else if !errors.Is(err, rosemarysill.ErrVersion) && ctx.Err() == nil {
				l.cfg.Log.Debug().Err(err).Msg("grant of the lease, or commit of the leader record, failed")
			}
			uptime.Sleep(ctx, electionRetryDelay)
			continue
		}
		uptime.Sleep(ctx, electionRetryDelay/4)
	}
}

// mayCampaign reports whether there is no leader and this entry campaigns.
func (l *Leader) mayCampaign() (campaign bool) {
	_, vacant := l.cfg.Cache.LeaderVacancy()
	vacant = vacant && l.cfg.Cache.HasSynced()
	l.candidate.do(func(c *candidate) {
		if !vacant {
			c.observeLeader()
			return
		}
		campaign = c.shouldCampaign(l.cfg.Cache.Entries(), uptime.Now())
	})
	return campaign
}

// elect tries to become the leader.
func (l *Leader) elect(ctx context.Context) (*term, error) {
	requested := uptime.Now()
	lease, err := l.cfg.Store.Grant(ctx, l.ttl)
	if err != nil {
		return nil, err
	}
	vacancy, vacant := l.cfg.Cache.LeaderVacancy()
	if !vacant {
		l.release(lease)
		return nil, errors.Wrap(rosemarysill.ErrVersion, "another entry has become the leader")
	}
	epoch, epochVersion := l.cfg.Cache.Epoch()
	return l.takeLead(ctx, requested, lease, vacancy, epoch, epochVersion)
}

// reelect tries to lead again at once after a term whose leader record has been removed,
// as by the expiry of the lease in an outage. The copies may not show the removal yet, but
// the guards hold only if no other entry has been elected since: the epoch was written
// together with the record of that term. It returns nil if this entry may not lead, or
// another one does.
func (l *Leader) reelect(ctx context.Context, earlier *term) *term {
	if ctx.Err() != nil || !earlier.leaderRecordGone() || !l.mayLeadAgain() {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, releaseCallTimeout)
	defer cancel()
	requested := uptime.Now()
	lease, err := l.cfg.Store.Grant(ctx, l.ttl)
	if err == nil {
		var t *term
		if t, err = l.takeLead(ctx, requested, lease, 0, earlier.rec.Epoch, earlier.leaderVersion); err == nil {
			return t
		}
	}
	l.cfg.Log.Debug().Err(err).Msg("the former leader was not elected again at once")
	return nil
}

// mayLeadAgain reports whether this entry leaves a vacancy to no other.
func (l *Leader) mayLeadAgain() (may bool) {
	l.candidate.do(func(c *candidate) { may = !c.defers(l.cfg.Cache.Entries(), uptime.Now()) })
	return may
}

// takeLead writes the leader record under the lease and the next epoch. vacancy and
// epochVersion are the versions of the records that it replaces.
func (l *Leader) takeLead(ctx context.Context, requested time.Time, lease rosemarysill.LeaseID, vacancy, epoch, epochVersion uint64) (*term, error) {
	rec := l.cfg.leaderRecord()
	rec.Epoch = epoch + 1
	recValue, err := jobstore.EncodeLeader(rec)
	if err != nil {
		return nil, err
	}
	epochValue, err := jobstore.EncodeEpoch(rec.Epoch)
	if err != nil {
		return nil, err
	}
	revision, _, err := l.cfg.Store.Commit(ctx, rosemarysill.Commit{
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey, Version: vacancy}, {Key: jobstore.EpochKey, Version: epochVersion}},
		Writes: []rosemarysill.Write{{Key: jobstore.LeaderKey, Value: recValue, Lease: lease}, {Key: jobstore.EpochKey, Value: epochValue}},
	})
	if err != nil {
		l.release(lease)
		return nil, err
	}
	t := newTerm(l.cfg, rec, revision, lease, requested.Add(l.ttl))
	t.requireCopies(requested.Add(-maxCopyAge))
	return t, nil
}

// release revokes a lease, so that other entries need not wait until it expires.
func (l *Leader) release(lease rosemarysill.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.cfg.Store.Revoke(ctx, lease); err != nil {
		l.cfg.Log.Debug().Err(err).Msg("revoking the lease failed; it expires by itself")
	}
}

// releaseLapsed revokes a lease that this entry could not renew as soon as the store
// answers again. Leases do not expire while the store is down: without it, the lease
// would keep all entries from leading for another leaseTTL after an outage.
func (l *Leader) releaseLapsed(ctx context.Context, lease rosemarysill.LeaseID) {
	ctx, cancel := context.WithTimeout(ctx, releaseTimeout)
	defer cancel()
	for ctx.Err() == nil {
		callCtx, cancelCall := context.WithTimeout(ctx, releaseCallTimeout)
		err := l.cfg.Store.Revoke(callCtx, lease)
		cancelCall()
		if err == nil || errors.Is(err, rosemarysill.ErrLeaseLapsed) {
			return
		}
		l.cfg.Log.Debug().Err(err).Msg("revoking the lapsed lease failed; it is repeated")
		uptime.Sleep(ctx, releaseRetryDelay)
	}
}

// serveTerms leads until a term ends and this entry is not elected again at once.
func (l *Leader) serveTerms(ctx context.Context, t *term) {
	for t != nil {
		l.serveTerm(ctx, t)
		if t = l.reelect(ctx, t); t == nil {
			// The cache may still show the leader record of this entry, which expires with
			// the lease. Until then this entry does not campaign, so it pauses.
			uptime.Sleep(ctx, electionRetryDelay)
		}
	}
}

// serveTerm leads until the term ends.
func (l *Leader) serveTerm(ctx context.Context, t *term) {
	event.LeaderElected.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).Send()
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.cfg.Cache.SetUnbatched(true)
	defer l.cfg.Cache.SetUnbatched(false)
	defer l.cfg.Meter.SetSpeedClasses(nil)
	var wg sync.WaitGroup
	wg.Go(func() { defer cancel(); t.renew(termCtx) })
	if t.load(termCtx) {
		l.mu.Lock()
		l.term = t
		l.mu.Unlock()
		wg.Go(func() { defer cancel(); t.run(termCtx) })
		wg.Go(func() { t.queryAdvice(termCtx) })
		wg.Go(func() { t.runMaintenance(termCtx) })
		wg.Go(func() { t.saveSpeeds(termCtx) })
		wg.Go(func() { t.publishLoad(termCtx) })
		wg.Go(func() { defer cancel(); l.monitorLag(termCtx, t) })
	}
	<-termCtx.Done()
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	wg.Wait()
	t.close()
	steppedDown := errors.Is(t.cause(), errStrongerEntry) || errors.Is(t.cause(), errTooSlow)
	if ctx.Err() != nil || steppedDown {
		l.release(t.lease)
		event.LeaderResigned.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).AnErr("Cause", t.cause()).Send()
	}
	if ctx.Err() != nil {
		return
	}
	if steppedDown {
		return
	}
	event.LeaderLost.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).AnErr("Cause", t.cause()).Send()
	l.releases.Go(func() { l.releaseLapsed(ctx, t.lease) })
}

var errNotLeader = errors.New("this entry is not the leader")

// Attach implements control.Leader.
func (l *Leader) Attach(s control.AgentStream) error {
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil {
		return errors.Wrapf(errNotLeader, "stream to entry %q", l.cfg.Name)
	}
	return t.attach(s)
}
