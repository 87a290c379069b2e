// Package admission decides which submissions are refused and when refused callers should
// come back. It is pure: callers pass the time, the load and the random numbers.
package admission

import "time"

const (
	// minPause is the shortest pause of a refused caller, the smallest value that the
	// header of the answer can carry.
	minPause = time.Second
	// maxOutagePause bounds the pause, before it is spread, while the store is unavailable.
	// A job with an objective of 4 s has no value after 12 s, so a longer pause would often
	// be the last.
	maxOutagePause = 4 * time.Second
	// maxDrainPause bounds the pause, before it is spread, under overload.
	maxDrainPause = 15 * time.Second
	// outageShare is the share of the time for which the store has been unavailable that a
	// caller pauses at least. An outage that has lasted for a time is likely to last about
	// as long again; after a spread by up to two, callers return within that time.
	outageShare = 0.5
)

// OutagePause returns for how long a caller that is refused should pause when the store has
// been unavailable for the given time, 0 if it is not the cause. spread, from 0 to 1, is
// random, so that the callers do not return together.
func OutagePause(outage time.Duration, spread float64) time.Duration {
	return pause(time.Duration(outageShare*float64(min(max(outage, 0), 2*maxOutagePause))), maxOutagePause, spread)
}

// DrainPause returns for how long a caller that is refused should pause until the given work
// ahead has been done.
func DrainPause(ahead time.Duration, spread float64) time.Duration {
	return pause(ahead, maxDrainPause, spread)
}

// pause returns a whole number of seconds between the base and twice the base. Bases are
// rounded after they are spread, so that the shortest pauses are 1 or 2 s.
func pause(base, limit time.Duration, spread float64) time.Duration {
	if !(spread >= 0 && spread <= 1) {
		spread = 0
	}
	base = min(max(base, minPause), limit)
	return (base + time.Duration(spread*float64(base))).Round(time.Second)
}
