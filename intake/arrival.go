package intake

import "time"

const (
	// stallTime is the time without new bytes after which a body or a connection has stalled.
	stallTime = 100 * time.Millisecond
	// firstGap is the expected time between two reads before there have been any.
	firstGap = 40 * time.Millisecond
	// minGap is the least expected time between two reads. The scheduling of a loaded process
	// delays reads by some milliseconds.
	minGap = 5 * time.Millisecond
	// overdueFactor is the multiple of the expected time between two reads after which a body
	// or a connection counts as overdue.
	overdueFactor = 2
	// minAge is the least age in the comparison of two rates, so that a body that has just
	// begun is not compared by a rate over almost no time.
	minAge = 10 * time.Millisecond
	// maxCandidates is the number of connections, or of bodies, that are compared to find the
	// one that gives way. The work under a lock must not grow with their number.
	maxCandidates = 16
)

// arrival describes how the bytes of a body, or on a connection, arrive.
type arrival struct {
	began    time.Time
	last     time.Time // of the latest bytes
	received int64     // bytes since began
	reads    int64     // in which they have arrived
}

// begin starts a description.
func (a *arrival) begin(now time.Time) { *a = arrival{began: now, last: now} }

// add records n new bytes.
func (a *arrival) add(n int64, now time.Time) {
	a.last = now
	a.received += n
	a.reads++
}

// rate is the mean rate in bytes per second.
func (a *arrival) rate(now time.Time) float64 {
	return float64(a.received) / max(now.Sub(a.began), minAge).Seconds()
}

// gap is the expected time between two reads.
func (a *arrival) gap() time.Duration {
	return max((a.last.Sub(a.began)+firstGap)/time.Duration(a.reads+1), minGap)
}

// overdueAt returns the time from which it is overdue or has stalled if nothing arrives.
func (a *arrival) overdueAt() time.Time {
	return a.last.Add(min(overdueFactor*a.gap(), stallTime))
}

// pace is how well bytes arrive. Lower values give way first.
type pace int

const (
	stalled pace = iota // no new bytes for stallTime
	overdue             // no new bytes for much longer than between the earlier ones
	steady
)

func (a *arrival) pace(now time.Time) pace {
	switch {
	case now.Sub(a.last) >= stallTime:
		return stalled
	case !now.Before(a.overdueAt()):
		return overdue
	}
	return steady
}

// worse reports whether a gives way before o: stalled ones first, then those that are overdue
// by the largest multiple of their gaps, and then those with the lowest rate.
func (a *arrival) worse(o *arrival, now time.Time) bool {
	p, other := a.pace(now), o.pace(now)
	switch {
	case p != other:
		return p < other
	case p == overdue:
		return float64(now.Sub(a.last))/float64(a.gap()) > float64(now.Sub(o.last))/float64(o.gap())
	}
	return a.rate(now) < o.rate(now)
}
