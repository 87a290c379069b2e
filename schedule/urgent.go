package schedule

import (
	"slices"
	"time"
)

// peakWindow is how long a peak of urgent use counts as expected demand. It has to
// exceed the two to three seconds between the jobs of a burst, and is shorter than the
// six seconds of a burst, so that little is kept free after it.
const peakWindow = 4 * time.Second

// burstGrowth is the ratio of the expected use to the peak in the window. It is above
// 1 because a burst is detected while it still grows.
const burstGrowth = 1.5

// UrgentUse tracks the demand of urgent work on the fleet over a sliding window.
type UrgentUse struct {
	current float64 // cores, as last observed
	peaks   []peak  // maxima of the window: cores descending, times ascending
}

// peak is an observation that exceeds all later ones.
type peak struct {
	cores float64
	at    time.Time
}

// Observe records the cores that urgent work uses or waits for.
func (u *UrgentUse) Observe(cores float64, now time.Time) {
	u.current = cores
	for len(u.peaks) > 0 && u.peaks[len(u.peaks)-1].cores <= cores {
		u.peaks = u.peaks[:len(u.peaks)-1]
	}
	u.peaks = append(u.peaks, peak{cores, now})
	for now.Sub(u.peaks[0].at) > peakWindow {
		u.peaks = u.peaks[1:]
	}
}

// Expected returns the cores that urgent work is expected to need in addition to its
// current use, based on the peak in the window.
func (u *UrgentUse) Expected() float64 {
	if len(u.peaks) == 0 {
		return 0
	}
	return burstGrowth*u.peaks[0].cores - u.current
}

// Clone returns an independent copy.
func (u *UrgentUse) Clone() UrgentUse { return UrgentUse{u.current, slices.Clone(u.peaks)} }
