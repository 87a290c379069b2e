package leader

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
)

const (
	// strongerRatio is the ratio of processor shares from which another entry makes a
	// better leader. A smaller difference does not justify a handover.
	strongerRatio = 2
	// deferToStronger is how long an entry leaves a vacant leadership to stronger
	// entries. These check for a vacancy every electionRetryDelay/4 and need about 15 ms
	// for an election. The delay adds to leaseTTL (1.2 s), which passes before the
	// vacancy shows.
	deferToStronger = 250 * time.Millisecond
	// slowBackoff is how long after it stepped down as too slow an entry defers to
	// others when it campaigns, and does not step down for that reason again. Machines
	// of the users become slow for about six seconds at a time.
	slowBackoff = 10 * time.Second
	// minTermBeforeHandover is the time in which the other entries register when all
	// start at once. Before that, a stronger entry may not be known.
	minTermBeforeHandover = time.Second
	// minHandoverInterval is the least time between two handovers to stronger entries,
	// all of which may be unable to lead although they are registered.
	minHandoverInterval = 30 * time.Second
	// A leader measures its timer delay every lagInterval and steps down if the mean of
	// the last lagSamples delays exceeds maxMeanLag. Urgent jobs have to start within
	// 300 ms, and a decision is delayed by several timers. maxMeanLag is above 90 ms,
	// the longest time for which a processor quota suspends a process.
	lagInterval = 50 * time.Millisecond
	lagSamples  = 8
	maxMeanLag  = 150 * time.Millisecond
)

// candidate decides when an entry campaigns for leadership and when it steps down. It
// does no I/O, and callers pass the current time.
type candidate struct {
	own          jobstore.LeaderRecord
	vacantSince  time.Time // zero while there is a leader
	slowAt       time.Time // when this entry was last too slow to lead
	handedOverAt time.Time // when this entry last handed over to a stronger one
	lags         [lagSamples]time.Duration
	samples      int
}

// shouldCampaign reports whether the entry campaigns for a vacant leadership. entries
// includes this entry.
func (c *candidate) shouldCampaign(entries []jobstore.LeaderRecord, now time.Time) bool {
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	return !c.defers(entries, now) || now.Sub(c.vacantSince) >= deferToStronger
}

// defers reports whether the entry first leaves a vacancy to others: to a stronger entry,
// or to any after it stepped down as too slow. entries includes this entry.
func (c *candidate) defers(entries []jobstore.LeaderRecord, now time.Time) bool {
	return c.isOutranked(entries) || (!c.slowAt.IsZero() && now.Sub(c.slowAt) < slowBackoff)
}

// observeLeader records that there is a leader.
func (c *candidate) observeLeader() { c.vacantSince = time.Time{} }

// isOutranked reports whether a stronger entry is registered. entries includes this
// entry.
func (c *candidate) isOutranked(entries []jobstore.LeaderRecord) bool {
	for _, o := range entries {
		if o.Name != c.own.Name && o.Cores >= strongerRatio*c.own.Cores && o.LinkMbps >= c.own.LinkMbps && o.Cores > 0 {
			return true
		}
	}
	return false
}

// observeLag records the delay of a timer.
func (c *candidate) observeLag(lag time.Duration) {
	c.lags[c.samples%lagSamples] = lag
	c.samples++
}

var (
	errStrongerEntry = errors.New("a stronger entry is registered")
	errTooSlow       = errors.New("this entry is too slow to lead")
)

// checkStepDown returns why a leader elected at the given time steps down, or nil if it
// keeps the leadership. entries includes this entry. checkStepDown records the time of a
// step-down, so that the same reason does not apply again for slowBackoff or
// minHandoverInterval.
func (c *candidate) checkStepDown(entries []jobstore.LeaderRecord, elected, now time.Time) error {
	if len(entries) < 2 {
		return nil // no other entry could take over
	}
	var sum time.Duration
	for _, lag := range c.lags {
		sum += lag
	}
	if c.samples >= lagSamples && sum > lagSamples*maxMeanLag && (c.slowAt.IsZero() || now.Sub(c.slowAt) >= slowBackoff) {
		c.slowAt = now
		return errors.Wrapf(errTooSlow, "mean timer delay %v, at most %v allowed", sum/lagSamples, maxMeanLag)
	}
	if c.isOutranked(entries) && now.Sub(elected) >= minTermBeforeHandover && (c.handedOverAt.IsZero() || now.Sub(c.handedOverAt) >= minHandoverInterval) {
		c.handedOverAt = now
		return errors.Wrapf(errStrongerEntry, "another entry has at least %d times %.3g cores", strongerRatio, c.own.Cores)
	}
	return nil
}

// lockedCandidate is a candidate that is safe for use by several goroutines.
type lockedCandidate struct {
	mu sync.Mutex
	candidate
}

func (g *lockedCandidate) do(f func(*candidate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.candidate)
}

// monitorLag measures the timer delay of this entry while it leads, and ends the term
// when another entry should lead.
func (l *Leader) monitorLag(ctx context.Context, t *term) {
	l.candidate.do(func(c *candidate) { c.samples = 0 })
	for ctx.Err() == nil {
		sleepStart := uptime.Now()
		uptime.Sleep(ctx, lagInterval)
		now := uptime.Now()
		var reason error
		l.candidate.do(func(c *candidate) {
			c.observeLag(now.Sub(sleepStart) - lagInterval)
			reason = c.checkStepDown(l.cfg.Cache.Entries(), t.elected, now)
		})
		if reason != nil {
			t.recordEndCause(reason)
			return
		}
	}
}
