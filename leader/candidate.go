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
	// entries. They notice the vacancy within some milliseconds and need 15 ms for an
	// election; the loss of a leader already costs 1.2 s.
	deferToStronger = 250 * time.Millisecond
	// slowBackoff is how long an entry that was too slow as the leader defers to others.
	// The users' machines turn slow for about six seconds.
	slowBackoff = 10 * time.Second
	// minTermBeforeHandover is the time in which the other entries register when all
	// start at once. Before that, a stronger entry may not be known.
	minTermBeforeHandover = time.Second
	// minHandoverInterval is the least time between two handovers to stronger entries,
	// all of which may be unable to lead although they are registered.
	minHandoverInterval = 30 * time.Second
	// A leader measures its timer delay every lagInterval and steps down if the mean of
	// lagSamples measurements exceeds maxMeanLag: an urgent job may start 300 ms late,
	// and one decision takes several delays. maxMeanLag is above the 90 ms for which a
	// processor quota can suspend a process.
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

// shouldCampaign reports whether the entry campaigns for a vacant leadership.
func (c *candidate) shouldCampaign(others []jobstore.LeaderRecord, now time.Time) bool {
	if c.vacantSince.IsZero() {
		c.vacantSince = now
	}
	deferring := c.isOutranked(others) || (!c.slowAt.IsZero() && now.Sub(c.slowAt) < slowBackoff)
	return !deferring || now.Sub(c.vacantSince) >= deferToStronger
}

// observeLeader records that there is a leader.
func (c *candidate) observeLeader() { c.vacantSince = time.Time{} }

// isOutranked reports whether a stronger entry is registered.
func (c *candidate) isOutranked(others []jobstore.LeaderRecord) bool {
	for _, o := range others {
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

// stepDownReason returns why a leader elected at the given time steps down, or nil if it
// keeps the leadership.
func (c *candidate) stepDownReason(others []jobstore.LeaderRecord, elected, now time.Time) error {
	if len(others) < 2 {
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
	if c.isOutranked(others) && now.Sub(elected) >= minTermBeforeHandover && (c.handedOverAt.IsZero() || now.Sub(c.handedOverAt) >= minHandoverInterval) {
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
			reason = c.stepDownReason(l.cfg.Cache.Entries(), t.elected, now)
		})
		if reason != nil {
			t.end(reason)
			return
		}
	}
}
