package intake

import (
	"cmp"
	"time"
)

const (
	// stallTime is the time without new bytes after which a body has stalled.
	stallTime = 100 * time.Millisecond
	// headTime replaces stallTime for a connection on which no body arrives: a header usually
	// comes in one piece, and it is there already if the connection had to wait for Accept.
	headTime = 30 * time.Millisecond
	// lossTime replaces stallTime for a body of which provenBytes have arrived: after the loss
	// of a packet TCP waits for 200 ms or more.
	lossTime    = 250 * time.Millisecond
	provenBytes = 8 << 10
	// behindBytes is the number of bytes by which a body or a connection may be behind its own
	// mean rate. It is more than a client sends at once on a slow link.
	behindBytes = 32 << 10
	// startTime is added to the time over which that rate is taken: bytes that arrived while
	// the connection was not accepted are read at once.
	startTime = 200 * time.Millisecond
	// paceFactor is the factor by which the rate of a body may fall.
	paceFactor = 2
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
	last     time.Time // of the latest bytes; earlier if they were fewer than its rate lets expect
	received int64     // bytes since began
	body     bool      // the bytes are those of a body
}

// begin starts a description.
func (a *arrival) begin(now time.Time) { *a = arrival{began: now, last: now, body: a.body} }

// add records n new bytes. It returns false if they are much fewer than its rate lets expect,
// as when a body continues byte by byte.
func (a *arrival) add(n int64, now time.Time) (onPace bool) {
	last := now
	if a.received > 0 {
		last = earlier(now, a.last.Add(time.Duration(paceFactor*float64(n)/a.ownRate()*float64(time.Second))))
	}
	a.last = last
	a.received += n
	return last.Equal(now)
}

// rate is the mean rate in bytes per second.
func (a *arrival) rate(now time.Time) float64 {
	return float64(a.received) / max(now.Sub(a.began), minAge).Seconds()
}

// ownRate is the mean rate in bytes per second up to the latest bytes.
func (a *arrival) ownRate() float64 {
	return float64(a.received) / (a.last.Sub(a.began) + startTime).Seconds()
}

// behind returns the number of bytes that would have arrived since the latest ones.
func (a *arrival) behind(now time.Time) float64 {
	return a.ownRate() * now.Sub(a.last).Seconds()
}

// stallAfter returns the time without new bytes after which it has stalled.
func (a *arrival) stallAfter() time.Duration {
	switch {
	case !a.body:
		return headTime
	case a.received >= provenBytes:
		return lossTime
	}
	return stallTime
}

// stopsAt returns the time from which it has stalled or is behind if nothing arrives.
func (a *arrival) stopsAt() time.Time {
	silence := a.stallAfter()
	if r := a.ownRate(); r*silence.Seconds() > behindBytes {
		silence = time.Duration(behindBytes / r * float64(time.Second))
	}
	return a.last.Add(silence)
}

// stopped reports whether it has stalled or is behind.
func (a *arrival) stopped(now time.Time) bool { return !now.Before(a.stopsAt()) }

// compare returns a negative number if a gives way before o, a positive one if after, and 0
// if bytes arrive on both: those that have stalled first, the one with the lowest rate before
// the others, and then the one that is behind by the most bytes.
func (a *arrival) compare(o *arrival, now time.Time) int {
	stalled, other := now.Sub(a.last) >= a.stallAfter(), now.Sub(o.last) >= o.stallAfter()
	switch {
	case stalled != other:
		if stalled {
			return -1
		}
		return 1
	case stalled:
		return cmp.Compare(a.rate(now), o.rate(now))
	}
	return cmp.Compare(max(o.behind(now), behindBytes), max(a.behind(now), behindBytes))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
