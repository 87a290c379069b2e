// Package speed estimates how fast workers are, relative to the mean of their service, by
// comparing the progress of alike runs on different workers. It reads no clock and does
// no I/O.
package speed

import (
	"math"
	"time"
)

// Group identifies runs whose speeds are comparable: those of one step that run under the
// same conditions.
type Group struct {
	Job              string
	Occurrence, Step int
	Run              int  // of a gang; 0 for single tasks
	Remote           bool // away from the data of the step
	Durations        bool // the rates are derived from whole durations, which include the start
}

// Sample is a measured rate of one run.
type Sample struct {
	Group   Group
	Worker  string // incarnation
	Service string
	Rate    float64       // percent a second
	Span    time.Duration // over which the rate was measured
	Elapsed time.Duration // from the first change of the run's percentage to the span
	Even    bool          // all runs of the group have the same work, as the members of a gang
	At      time.Time     // end of the span
}

const (
	// taskDeviation is the standard deviation of the logarithm of the work of the tasks of
	// a step. All weights are relative to its variance: a sample whose logarithm has that
	// deviation has weight 1.
	taskDeviation = 0.3
	// evenDeviation replaces it for runs with the same work.
	evenDeviation = 0.05
	// reportJitter is the standard deviation of a time between two changes of the percentage:
	// agents report every 400 ms, and learn the percentage every 300 ms or more.
	reportJitter = 200 * time.Millisecond
	// roundingDeviation is that of a change of the percentage, which is a whole number.
	roundingDeviation = 0.4
)

// weight returns the weight of the sample: what it adds to the information from the rate of
// the run since its first change. The deviations of the samples of one run cancel out in
// part, or are those of its task.
func (s Sample) weight() float64 {
	return s.information(s.Elapsed+s.Span, s.Even) - s.information(s.Elapsed, s.Even)
}

// recentWeight returns the weight of the sample by itself, for changes of the speed: these
// show in comparison with earlier samples of the same run.
func (s Sample) recentWeight() float64 { return s.information(s.Span, true) }

// information returns the inverse of the variance of the logarithm of a rate over a time.
func (s Sample) information(d time.Duration, even bool) float64 {
	if d <= 0 {
		return 0
	}
	own := taskDeviation
	if even {
		own = evenDeviation
	}
	jitter := reportJitter.Seconds() / d.Seconds()
	rounding := roundingDeviation / (s.Rate * d.Seconds())
	return taskDeviation * taskDeviation / (own*own + jitter*jitter + rounding*rounding)
}

// valid reports whether the rate can be used.
func (s Sample) valid() bool {
	return s.Rate > 0 && !math.IsInf(s.Rate, 0) && s.Span > 0 && s.Elapsed >= 0
}

// minSpan is the least time over which a rate is measured. It is below the interval of the
// reports, so that each change of the percentage is used.
const minSpan = 350 * time.Millisecond

// completePercent is the progress of a run that has done its work. The rate of a rise to
// it is unknown, because the work may have been done before the report.
const completePercent = 100

// Sampler measures the rate of a run from its reports. The time before the first change
// of the percentage does not count, because the members of a gang wait for each other.
type Sampler struct {
	started bool // there was a report
	percent int  // at the end of the last span
	latest  int  // latest report
	at      time.Time
	firstAt time.Time // of the first change
	first   int       // percentage then
	samples int
}

// Observe records the percentage in a report and returns the rate since the last sample.
// It reports false if the rate is not known yet. Only Rate, Span, Elapsed and At of the
// sample are set.
func (s *Sampler) Observe(percent int, now time.Time) (Sample, bool) {
	if !s.started {
		s.started, s.percent, s.latest = true, percent, percent
		return Sample{}, false
	}
	if percent <= s.latest || percent >= completePercent {
		return Sample{}, false
	}
	s.latest = percent
	if s.at.IsZero() {
		s.percent, s.at, s.first, s.firstAt = percent, now, percent, now
		return Sample{}, false
	}
	span := now.Sub(s.at)
	if span < minSpan {
		return Sample{}, false
	}
	s.samples++
	sample := Sample{Rate: float64(percent-s.percent) / span.Seconds(), Span: span, Elapsed: s.at.Sub(s.firstAt), At: now}
	s.percent, s.at = percent, now
	return sample, true
}

// minForecastSpan is the least time over which the rate is measured for a forecast.
const minForecastSpan = 600 * time.Millisecond

// Rate returns the rate of the run since the first change of the percentage, in percent a
// second, or 0 if it is not known well enough for a forecast.
func (s *Sampler) Rate() float64 {
	if s.samples == 0 || s.at.Sub(s.firstAt) < minForecastSpan {
		return 0
	}
	return float64(s.percent-s.first) / s.at.Sub(s.firstAt).Seconds()
}

// HasSamples reports whether the rate of the run is known.
func (s *Sampler) HasSamples() bool { return s.samples > 0 }
