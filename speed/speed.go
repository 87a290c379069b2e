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
	Change  int           // of the percentage in that time
	Number  int           // of the sample among those of the run, from 1
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
	// reportJitter is the standard deviation of the time at which a change of the
	// percentage is seen: agents report every 400 ms.
	reportJitter = 160 * time.Millisecond
	// roundingDeviation is that of a change of the percentage, which is a whole number.
	roundingDeviation = 0.4
)

// weight returns the weight of the sample, the inverse of the variance of the logarithm
// of the rate.
func (s Sample) weight() float64 {
	own := taskDeviation
	if s.Even {
		own = evenDeviation
	}
	jitter := reportJitter.Seconds() / s.Span.Seconds()
	rounding := roundingDeviation / float64(s.Change)
	w := taskDeviation * taskDeviation / (own*own + jitter*jitter + rounding*rounding)
	if !s.Even {
		w /= float64(s.Number) // the samples of one run share the deviation of its task
	}
	return w
}

// valid reports whether the rate can be used.
func (s Sample) valid() bool {
	return s.Rate > 0 && !math.IsInf(s.Rate, 0) && s.Span > 0 && s.Change > 0 && s.Number > 0
}

// minSpan is the least time over which a rate is measured. The percentage changes about
// once a second, and shorter spans are dominated by the times of the reports.
const minSpan = 700 * time.Millisecond

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
	samples int
}

// Observe records the percentage in a report and returns the rate since the last sample.
// It reports false if the rate is not known yet. Only Rate, Span, Change, Number and At of
// the sample are set.
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
		s.percent, s.at = percent, now
		return Sample{}, false
	}
	span := now.Sub(s.at)
	if span < minSpan {
		return Sample{}, false
	}
	s.samples++
	sample := Sample{Rate: float64(percent-s.percent) / span.Seconds(), Span: span, Change: percent - s.percent, Number: s.samples, At: now}
	s.percent, s.at = percent, now
	return sample, true
}

// HasSamples reports whether the rate of the run is known.
func (s *Sampler) HasSamples() bool { return s.samples > 0 }
