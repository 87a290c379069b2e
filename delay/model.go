// Package delay models what callers lose when a job is delayed or one of its runs is
// stopped. The order of waiting work, reservations and the choice of runs to preempt
// follow from it. The package is pure: it reads no clock and does no I/O.
package delay

import (
	"cmp"
	"math"
	"time"
)

// Model holds the settings of the model. Values are in units of the fixed part of a job
// of the lowest priority.
type Model struct {
	Weights     []float64 // fixed part of the value of a job, by priority; the last one holds for lower priorities too
	WorkBonus   float64   // largest addition to the value for the work of a job, as a multiple of the fixed part
	TypicalWork float64   // core-seconds for which half of WorkBonus is added
	LateLoss    float64   // share of its value that a job loses when it is late
	ExpiredLoss float64   // loss when it is worthless, as a multiple of its value
	WorkPrice   float64   // value of a core-second of work that is discarded
	StopPrice   float64   // value of a stop and a new start, without the work
}

// Default returns the settings for any customer.
func Default() Model {
	return Model{
		Weights:     []float64{4, 2, 1}, // each priority counts half as much as the one before it
		WorkBonus:   1,
		TypicalWork: 1000,
		LateLoss:    0.75,
		ExpiredLoss: 2, // users rate the share of jobs that are served at all on a logarithmic scale, so that it outweighs several late jobs
		WorkPrice:   0.0005,
		StopPrice:   0.01,
	}
}

// OrDefault returns m, or the default settings if m is zero.
func (m Model) OrDefault() Model {
	if len(m.Weights) == 0 {
		return Default()
	}
	return m
}

// Job describes the work that is left of a job.
type Job struct {
	Priority      int
	Work          float64       // core-seconds of the whole job
	Remaining     time.Duration // expected duration of the steps that are not done
	UntilLate     time.Duration // time left until the job is late; negative afterwards
	UntilExpired  time.Duration // time left until it is worthless
	KnownDuration bool          // Remaining comes from measured durations
}

// Value returns the value of a job that is done in time: a fixed part, and a part that
// grows with its work up to a bound.
func (m Model) Value(priority int, work float64) float64 {
	weight := m.Weights[min(max(priority, 0), len(m.Weights)-1)]
	return weight * (1 + m.WorkBonus*work/(work+m.TypicalWork))
}

const (
	// declaredSpread is the exponent of the distribution of the duration if it is only
	// declared: one job in 17 takes more than twice as long.
	declaredSpread = 4.0
	// knownSpread is the exponent if the duration is that of earlier runs: one job in 27
	// takes more than one and a half times as long.
	knownSpread = 8.0
)

// Forecast is what a job loses if it starts after a given wait. The zero Forecast is that
// of work without a deadline.
type Forecast struct {
	LateLoss     float64       // value lost when the job is late
	ExpiredLoss  float64       // value lost beyond LateLoss when it is worthless
	Remaining    time.Duration // expected duration
	UntilLate    time.Duration // time left until the job is late
	UntilExpired time.Duration // time left until it is worthless
	Spread       float64       // exponent of the distribution of the duration
}

// Forecast returns the forecast for a job.
func (m Model) Forecast(j Job) Forecast {
	value := m.Value(j.Priority, j.Work)
	f := Forecast{
		LateLoss: m.LateLoss * value, ExpiredLoss: (m.ExpiredLoss - m.LateLoss) * value,
		Remaining: j.Remaining, UntilLate: j.UntilLate, UntilExpired: j.UntilExpired, Spread: declaredSpread,
	}
	if j.KnownDuration {
		f.Spread = knownSpread
	}
	return f
}

// Known reports whether the forecast is that of a job with a deadline.
func (f Forecast) Known() bool { return f.Spread > 0 }

// Forever is a wait whose end is not known. It bounds all waits.
const Forever time.Duration = 1 << 62

// Loss returns the expected loss of value if the job starts after the wait.
func (f Forecast) Loss(wait time.Duration) float64 {
	return f.LateLoss*f.exceeds(f.UntilLate-wait) + f.ExpiredLoss*f.exceeds(f.UntilExpired-wait)
}

// CostOfDelay returns the value that is expected to be lost by a start after the wait
// rather than now.
func (f Forecast) CostOfDelay(wait time.Duration) float64 { return f.Loss(wait) - f.Loss(0) }

// exceeds returns the probability that the job takes longer than the time left. Its
// duration has a log-logistic distribution around the expected one, so that the cost of a
// delay rises smoothly while the slack shrinks.
func (f Forecast) exceeds(left time.Duration) float64 {
	if left <= 0 {
		return 1
	}
	return 1 / (1 + math.Pow(float64(left)/float64(max(f.Remaining, time.Millisecond)), f.Spread))
}

// Slowed returns the forecast of a job whose remaining work takes longer by the factor. A
// factor below 1 counts as 1.
func (f Forecast) Slowed(factor float64) Forecast {
	f.Remaining = time.Duration(float64(f.Remaining) * max(1, factor))
	return f
}

// Share returns the part of the forecast for one of n units that the job needs.
func (f Forecast) Share(n int) Forecast {
	f.LateLoss, f.ExpiredLoss = f.LateLoss/float64(n), f.ExpiredLoss/float64(n)
	return f
}

// ForOneOf returns the forecast for one of n tasks that run independently. The stop of one
// costs their job as much as the stop of all, of which usually some are stopped; the share
// is the geometric mean of these cases.
func (f Forecast) ForOneOf(n int) Forecast {
	share := math.Sqrt(float64(n))
	f.LateLoss, f.ExpiredLoss = f.LateLoss/share, f.ExpiredLoss/share
	return f
}

// rateStep is the delay over which Density measures the loss.
const rateStep = time.Second

// Density returns the value lost per second of delay and core-second of work, by which
// waiting units are ordered.
func (f Forecast) Density(work float64) float64 {
	return f.CostOfDelay(rateStep) / rateStep.Seconds() / cmp.Or(work, 1)
}

// Stop describes the stop of a run, or of all runs of a gang.
type Stop struct {
	Running   Forecast      // of the job if the run goes on
	Restarted time.Duration // expected duration of the job once the run has started again
	Wait      time.Duration // time until it has started again
	Work      float64       // core-seconds that are lost
	Earlier   float64       // times that the task, or the tasks of its job on average, have been stopped before
}

// CostOfStop returns what a stop costs: the value that the job is likely to lose by
// starting over, the work lost, and the new start. Each earlier stop adds the cost once
// more, so that no job is stopped again and again.
func (m Model) CostOfStop(s Stop) float64 {
	restarted := s.Running
	restarted.Remaining = s.Restarted
	loss := max(0, restarted.Loss(s.Wait)-s.Running.Loss(0))
	return (1 + s.Earlier) * (m.StopPrice + m.WorkPrice*s.Work + loss)
}
