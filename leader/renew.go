package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// contactTimeout is the time without a renewal after which the store counts as
	// unavailable: two renewals have failed.
	contactTimeout = 2 * renewInterval
	// probeInterval is the time between two renewals while the store is unavailable.
	// Calls overlap, so the first one after the return of the store is sent within this
	// time, although earlier ones still wait for replies that do not come.
	probeInterval = 100 * time.Millisecond
	// maxSuspension is how long a leader whose lease has expired by its own clock tries to
	// renew it. It exceeds the outages of the store that are expected.
	maxSuspension = 30 * time.Second
)

// domainTakenOut is why a placement is withdrawn.
const domainTakenOut = "its failure domain was taken out before it was started"

var errLeaseLapsed = errors.New("the lease of the leader record has expired")

// renew renews the lease until the term ends. Calls overlap: one that is delayed by other
// traffic on a narrow link still counts when it arrives, and a lost call does not delay
// the others.
//
// The expiry of the lease by the clock of this entry suspends the term: nothing is ordered
// and no lease of a worker is extended. Where leases do not expire while the store is down,
// the lease can still be renewed after an outage. It was then continuously held, no other
// entry can have led, and the term goes on. If the store has let it expire, it rejects the
// renewal, and the term ends.
func (t *term) renew(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel() // calls in flight may wait for a reply long after the outcome is known
	for {
		t.waitForRenewal(ctx)
		if ctx.Err() != nil {
			return
		}
		if err := t.checkLease(uptime.Now()); err != nil {
			t.recordEndCause(err)
			return
		}
		calls.Go(func() { t.renewOnce(ctx) })
	}
}

// waitForRenewal waits until the next renewal is due, or the store has rejected one.
func (t *term) waitForRenewal(ctx context.Context) {
	interval := renewInterval
	if t.contact.lost(uptime.Now()) {
		interval = probeInterval
	}
	timer := time.NewTimer(interval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-t.leaseLost:
		notify(t.leaseLost) // for checkLease
	case <-timer.C:
	}
}

// checkLease returns why the term has to end, or nil.
func (t *term) checkLease(now time.Time) error {
	select {
	case <-t.leaseLost:
		return errors.Wrap(errLeaseLapsed, "renewal rejected by the store")
	default:
	}
	if !t.leaseExpired() {
		return nil
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if !t.suspended {
		t.suspended = true
		event.LeaderSuspended.Log(t.cfg.Log).Uint64("Epoch", t.rec.Epoch).Send()
	}
	if _, version := t.cfg.Cache.LeaderRecord(); version != t.leaderVersion && t.cfg.Cache.Position() >= t.leaderVersion {
		t.recordGone = version == 0
		return errors.Wrapf(errDeposed, "leader record has version %d, expected %d", version, t.leaderVersion)
	}
	if now.Sub(t.leaseExpiry) > maxSuspension {
		return errors.Wrapf(errLeaseLapsed, "no renewal within %v", t.cfg.leaseTTL()+maxSuspension)
	}
	return nil
}

// leaseExpired reports whether the lease has expired by the clock of this entry.
func (t *term) leaseExpired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uptime.Now().After(t.leaseExpiry)
}

// renewOnce makes one renewal. The lease counts from the time at which it was sent.
func (t *term) renewOnce(ctx context.Context) {
	sent := uptime.Now()
	ctx, cancel := context.WithTimeout(ctx, t.cfg.leaseTTL())
	defer cancel()
	err := t.cfg.Store.Renew(ctx, t.lease)
	if err == nil {
		t.contact.observe(uptime.Now())
		t.extendLease(sent.Add(t.cfg.leaseTTL()))
		return
	}
	if errors.Is(err, rosemarysill.ErrLeaseLapsed) {
		t.mu.Lock()
		t.over, t.recordGone = true, true
		t.mu.Unlock()
		notify(t.leaseLost)
	}
	t.cfg.Log.Debug().Err(err).Msg("lease renewal failed")
}

// extendLease records a renewal. The first one of a suspended term sends the orders that
// have become due meanwhile.
func (t *term) extendLease(expiry time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !expiry.After(t.leaseExpiry) {
		return
	}
	now := uptime.Now()
	// A process that was paused after checkLease may not have noticed the expiry.
	lapsed := t.suspended || now.After(t.leaseExpiry)
	t.leaseExpiry = expiry
	if !lapsed || t.over || !now.Before(expiry) {
		return
	}
	t.suspended = false
	t.requireCopies(now)
	event.LeaderContinued.Log(t.cfg.Log).Uint64("Epoch", t.rec.Epoch).Send()
	for _, wake := range t.streams {
		notify(wake)
	}
	notify(t.wake)
}

// mayOrder reports whether the term goes on and its lease has not expired.
func (t *term) mayOrder() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.holdsLease()
}

// holdsLease is mayOrder for callers that hold mu.
func (t *term) holdsLease() bool { return !t.over && uptime.Now().Before(t.leaseExpiry) }

// requireCopies has nothing placed or started until the copies have all changes that were
// made before the given time.
func (t *term) requireCopies(asOf time.Time) { t.copiesOutdated, t.copiesDue = true, asOf }

// copiesFresh reports whether the copies have the changes that requireCopies asks for.
func (t *term) copiesFresh() bool {
	return !t.copiesOutdated || !t.cfg.Cache.FreshAsOf().Before(t.copiesDue) && !t.cfg.Declarations.FreshAsOf().Before(t.copiesDue)
}

// recheckPlacements checks the placements that were made before a suspension, once the
// copies are fresh. Until then nothing is started or placed, because operators may have
// taken a domain out, or callers cancelled a job, just before the suspension. The runs of
// cancelled jobs are stopped when the changes are merged.
func (t *term) recheckPlacements(copiesFresh bool) {
	if !t.copiesOutdated || !copiesFresh {
		return
	}
	t.copiesOutdated = false
	for id, w := range t.workers {
		t.wakeStream(id)
		if !t.cfg.Declarations.DomainOut(w.Domain) {
			continue
		}
		for k := range w.placedAt {
			if _, task := t.placedRun(w, k); task != nil && !work.ListsRun(w.running, k) {
				t.stop(k, task, domainTakenOut)
			}
		}
	}
}
