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
	// strongerBy is the ratio of processor shares from which another entry
	// is the better leader. Small differences are not worth a change.
	strongerBy = 2
	// deferFor is how long a vacant lead is left to stronger entries. They see it
	// within some milliseconds and need 15 ms; a lost leader costs 1.2 s already.
	deferFor = 250 * time.Millisecond
	// recoverFor is how long an entry that was slow as the leader stands back. The
	// users' machines turn slow for about six seconds.
	recoverFor = 10 * time.Second
	// stepDownAfter is the time in which the other entries have entered their records
	// after all have started at once.
	stepDownAfter = time.Second
	// stepDownAgain is the least time between two hand-overs to stronger entries, of
	// which none may be able to lead although their records are there.
	stepDownAgain = 30 * time.Second
	// lagEvery is the time between two measurements of the delay, and lagMost the
	// mean delay of lagSamples from which an entry is too slow to lead: an
	// urgent job may begin 300 ms late, and one decision takes several delays. A
	// processor share that is a quota stops a process for up to 90 ms.
	lagEvery   = 50 * time.Millisecond
	lagSamples = 8
	lagMost    = 150 * time.Millisecond
)

// candidate decides when an entry stands for the lead and when it hands it
// over. It is pure: the caller gives the time.
type candidate struct {
	own     jobstore.LeaderRecord
	vacant  time.Time // since when no entry leads; zero while one does
	slow    time.Time // when it was last too slow to lead
	yielded time.Time // when it last handed the lead to a stronger entry
	lags    [lagSamples]time.Duration
	samples int
}

// campaigns reports whether the entry tries to take a vacant lead.
func (c *candidate) campaigns(others []jobstore.LeaderRecord, now time.Time) bool {
	if c.vacant.IsZero() {
		c.vacant = now
	}
	weak := c.isOutranked(others) || (!c.slow.IsZero() && now.Sub(c.slow) < recoverFor)
	return !weak || now.Sub(c.vacant) >= deferFor
}

// led notes that an entry leads.
func (c *candidate) led() { c.vacant = time.Time{} }

// isOutranked reports whether a stronger entry is present.
func (c *candidate) isOutranked(others []jobstore.LeaderRecord) bool {
	for _, o := range others {
		if o.Name != c.own.Name && o.Cores >= strongerBy*c.own.Cores && o.LinkMbps >= c.own.LinkMbps && o.Cores > 0 {
			return true
		}
	}
	return false
}

// observe takes note of the delay of a timer.
func (c *candidate) observe(lag time.Duration) {
	c.lags[c.samples%lagSamples] = lag
	c.samples++
}

var (
	errWeak = errors.New("a stronger entry is present")
	errSlow = errors.New("this entry is too slow to lead")
)

// stepsDown returns why the entry hands over a lead that it has held since elected,
// or nil.
func (c *candidate) stepsDown(others []jobstore.LeaderRecord, elected, now time.Time) error {
	if len(others) < 2 {
		return nil // there is no other
	}
	var sum time.Duration
	for _, lag := range c.lags {
		sum += lag
	}
	if c.samples >= lagSamples && sum > lagSamples*lagMost && (c.slow.IsZero() || now.Sub(c.slow) >= recoverFor) {
		c.slow = now
		return errSlow
	}
	if c.isOutranked(others) && now.Sub(elected) >= stepDownAfter && (c.yielded.IsZero() || now.Sub(c.yielded) >= stepDownAgain) {
		c.yielded = now
		return errWeak
	}
	return nil
}

// lockedCandidate is a candidate that two goroutines use.
type lockedCandidate struct {
	mu sync.Mutex
	candidate
}

func (g *lockedCandidate) do(f func(*candidate)) {
	g.mu.Lock()
	defer g.mu.Unlock()
	f(&g.candidate)
}

// monitorSelf measures the delay of this entry while it leads, and ends the
// term when another should lead.
func (l *Leader) monitorSelf(ctx context.Context, t *term) {
	l.candidate.do(func(c *candidate) { c.samples = 0 })
	for ctx.Err() == nil {
		asleep := uptime.Now()
		uptime.Sleep(ctx, lagEvery)
		now := uptime.Now()
		var why error
		l.candidate.do(func(c *candidate) {
			c.observe(now.Sub(asleep) - lagEvery)
			why = c.stepsDown(l.cfg.Cache.Entries(), t.elected, now)
		})
		if why != nil {
			t.end(why)
			return
		}
	}
}
