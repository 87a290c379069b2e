// Package leader is the entry that places tasks. One entry leads at a time: it
// holds a key of the store under a lease. Every commit of the leader has that
// key as a guard, so one that was deposed can record nothing, and nothing is
// ordered that is not recorded.
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
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// leaseTTL is the time after which another entry may lead when the leader
	// is silent. It bounds the delay of urgent jobs after a crash.
	leaseTTL = 1200 * time.Millisecond
	// renewEvery leaves three tries before the lease lapses.
	renewEvery = 300 * time.Millisecond
	// electPause is the pause between two tries to lead.
	electPause = 200 * time.Millisecond
	// tick is the longest time between two decisions.
	tick = 100 * time.Millisecond
)

// Declarations are the operators' documents that are in force.
type Declarations interface {
	// Configuration returns the newest configuration, or nil.
	Configuration() *queue.Configuration
	// DomainOut reports whether a failure domain is taken out.
	DomainOut(domain string) bool
	// Waves returns the waves of maintenance by key.
	Waves() map[string]declaration.Wave
	// FreshAsOf returns the time as of which the documents are complete.
	FreshAsOf() time.Time
}

// Config is what a leader is told.
type Config struct {
	Name             string
	Address          netip.AddrPort // for the streams of agents
	Cores            float64        // processor share of this entry; 0 if it is not known
	LinkMbps         float64        // of its network; 0 if it is not known
	Store            rosemarysill.TransactionalStore
	Cache            *jobstore.Cache
	Declarations     Declarations
	LeaseMin         time.Duration       // shortest lease of the store
	StatusRetention  time.Duration       // for which final jobs are kept at least
	StopGrace        time.Duration       // longest time that the stop of a run takes
	GangWait         time.Duration       // for which members of a gang wait for the others
	ReclaimTimeout   time.Duration       // in which guaranteed work begins
	Adviser          work.Adviser        // nil if there is no advice service
	Machines         work.MachineManager // nil if machines cannot be ordered
	EncodeWaveStatus WaveStatusEncoder
	Meter            *meter.Meter
	Log              zerolog.Logger
}

// gangWait is the time for which members of a gang wait for the others where
// the settings do not say. It is the shortest of the users' sites.
const gangWait = 3 * time.Second

func (c Config) withDefaults() Config {
	c.GangWait = cmp.Or(c.GangWait, gangWait)
	return c
}

// record is what other entries learn of this one.
func (c Config) record() jobstore.LeaderRecord {
	return jobstore.LeaderRecord{Name: c.Name, Address: c.Address, Cores: c.Cores, LinkMbps: c.LinkMbps}
}

// leaseTTL is the lease of the leader's record.
func (c Config) leaseTTL() time.Duration { return max(leaseTTL, c.LeaseMin) }

// Leader takes part in the election and leads while it is elected.
type Leader struct {
	cfg  Config
	ttl  time.Duration
	done chan struct{}

	candidate lockedCandidate

	mu   sync.Mutex
	term *term // nil while another entry leads
}

var _ control.Leader = (*Leader)(nil)

// New returns an entry's part in the election.
func New(cfg Config) *Leader {
	cfg = cfg.withDefaults()
	return &Leader{cfg: cfg, ttl: cfg.leaseTTL(), done: make(chan struct{}), candidate: lockedCandidate{candidate: candidate{own: cfg.record()}}}
}

// Done is closed when the leader has ended.
func (l *Leader) Done() <-chan struct{} { return l.done }

// Run takes part in the election until ctx ends, and gives the lead up then.
func (l *Leader) Run(ctx context.Context) {
	defer close(l.done)
	for ctx.Err() == nil {
		if l.mayCampaign() {
			if t, err := l.elect(ctx); err == nil {
				l.lead(ctx, t)
				continue
			} else if !errors.Is(err, rosemarysill.ErrVersion) && ctx.Err() == nil {
				l.cfg.Log.Debug().Err(err).Msg("election failed")
			}
			uptime.Sleep(ctx, electPause)
			continue
		}
		uptime.Sleep(ctx, electPause/4)
	}
}

// mayCampaign reports whether the lead is vacant and this entry tries to take it.
func (l *Leader) mayCampaign() (stands bool) {
	_, version := l.cfg.Cache.LeaderRecord()
	vacant := version == 0 && l.cfg.Cache.HasSynced()
	l.candidate.do(func(c *candidate) {
		if !vacant {
			c.led()
			return
		}
		stands = c.campaigns(l.cfg.Cache.Entries(), uptime.Now())
	})
	return stands
}

// elect tries to take the lead.
func (l *Leader) elect(ctx context.Context) (*term, error) {
	asked := uptime.Now()
	lease, err := l.cfg.Store.Grant(ctx, l.ttl)
	if err != nil {
		return nil, err
	}
	epoch, epochAt := l.cfg.Cache.Epoch()
	rec := l.cfg.record()
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
		Guards: []rosemarysill.Guard{{Key: jobstore.LeaderKey}, {Key: jobstore.EpochKey, Version: epochAt}},
		Writes: []rosemarysill.Write{{Key: jobstore.LeaderKey, Value: recValue, Lease: lease}, {Key: jobstore.EpochKey, Value: epochValue}},
	})
	if err != nil {
		l.release(lease)
		return nil, err
	}
	return newTerm(l.cfg, rec, revision, lease, asked.Add(l.ttl)), nil
}

// release ends a lease, so that another entry need not wait for its end.
func (l *Leader) release(lease rosemarysill.LeaseID) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if err := l.cfg.Store.Revoke(ctx, lease); err != nil {
		l.cfg.Log.Debug().Err(err).Msg("lease not released; it lapses")
	}
}

// lead serves one term.
func (l *Leader) lead(ctx context.Context, t *term) {
	event.LeaderElected.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).Send()
	termCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	l.cfg.Cache.SetUnbatched(true)
	defer l.cfg.Cache.SetUnbatched(false)
	var parts sync.WaitGroup
	parts.Go(func() { defer cancel(); t.renew(termCtx) })
	if t.load(termCtx) {
		l.mu.Lock()
		l.term = t
		l.mu.Unlock()
		parts.Go(func() { defer cancel(); t.run(termCtx) })
		parts.Go(func() { t.askAdvice(termCtx) })
		parts.Go(func() { t.keepUp(termCtx) })
		parts.Go(func() { defer cancel(); l.monitorSelf(termCtx, t) })
	}
	<-termCtx.Done()
	l.mu.Lock()
	l.term = nil
	l.mu.Unlock()
	parts.Wait()
	t.close()
	yielded := errors.Is(t.cause(), errWeak) || errors.Is(t.cause(), errSlow)
	if ctx.Err() != nil || yielded {
		l.release(t.lease)
		event.LeaderResigned.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).AnErr("Cause", t.cause()).Send()
	}
	if ctx.Err() != nil {
		return
	}
	if yielded {
		uptime.Sleep(ctx, electPause)
		return
	}
	event.LeaderLost.Log(l.cfg.Log).Uint64("Epoch", t.rec.Epoch).AnErr("Cause", t.cause()).Send()
	// The record lapses with the lease. Until the cache shows it, this entry
	// would only see its own record.
	uptime.Sleep(ctx, electPause)
}

var errNotLeader = errors.New("this entry does not lead")

// Attach implements control.Leader.
func (l *Leader) Attach(s control.AgentStream) error {
	l.mu.Lock()
	t := l.term
	l.mu.Unlock()
	if t == nil {
		return errNotLeader
	}
	return t.attach(s)
}
