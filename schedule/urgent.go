package schedule

import "time"

// urgentSpan is how long the most that urgent work used is expected to be
// needed again. Bursts of the users' callers last six seconds, and the jobs of
// one follow each other within two or three.
const urgentSpan = 4 * time.Second

// burstGrowth is the multiple of the most that urgent work used of late which is
// expected of it: a burst is seen while it still grows.
const burstGrowth = 1.5

// UrgentUse follows how much of the fleet urgent work uses.
type UrgentUse struct {
	now   float64 // cores in use
	peaks []peak  // falling, with rising times
}

// peak is a use of cores that no later one has reached.
type peak struct {
	cores float64
	at    time.Time
}

// Observe takes note of the cores that urgent work uses or waits for.
func (u *UrgentUse) Observe(cores float64, now time.Time) {
	u.now = cores
	for len(u.peaks) > 0 && u.peaks[len(u.peaks)-1].cores <= cores {
		u.peaks = u.peaks[:len(u.peaks)-1]
	}
	u.peaks = append(u.peaks, peak{cores, now})
	for now.Sub(u.peaks[0].at) > urgentSpan {
		u.peaks = u.peaks[1:]
	}
}

// Expected returns the cores that urgent work is expected to need beside those
// that it uses, going by what it used at most of late.
func (u *UrgentUse) Expected() float64 {
	if len(u.peaks) == 0 {
		return 0
	}
	return burstGrowth*u.peaks[0].cores - u.now
}
