// Package soundness estimates from the ends of runs how probable it is that a worker
// fails the next run that it starts. Some workers fail everything that they start for
// some seconds, while their health checks are good. The package is pure: it reads no
// clock and does no I/O.
package soundness

import (
	"math"
	"slices"
	"time"
)

const (
	// BaseRisk is the risk of a worker of which nothing is known. Few workers fail at any
	// time.
	BaseRisk = 0.005
	// SuspectRisk is the risk above which a worker is suspect.
	SuspectRisk = 0.2
	// ProofAge is the age from which a run that has not failed shows that its worker was
	// sound when it started. Failing workers fail a run within 50 ms; the order and the
	// report take up to 400 ms.
	ProofAge = 500 * time.Millisecond
	// recoveryTime is the time in which the probability that a worker still fails falls to
	// 1/e. Workers fail for about 6.5 s.
	recoveryTime = 6 * time.Second
	// maxFailures bounds the failures that a record holds.
	maxFailures = 8
)

// Likelihood ratios of a failure: its probability on a worker that fails everything to
// that on a sound worker. About 2% of runs fail by a fault of their job, a tenth of them
// within the first tenth of the run.
const (
	earlyRatio    = 100.0 // within the first tenth of the run
	contrastRatio = 500.0 // the same, while other tasks of the step worked elsewhere
	lateRatio     = 10.0  // later: what fails everything fails at once
)

// Failure is a run that failed by itself.
type Failure struct {
	Job             string
	At              time.Time
	Early           bool // within the first tenth of the run
	Contrast        bool // other tasks of the step worked on other workers
	FailedElsewhere int  // other workers on which runs of the job have failed lately
}

// ratio returns the likelihood ratio of the failure. Each other worker on which the job
// has failed makes a fault of the job more probable.
func (f Failure) ratio() float64 {
	ratio := lateRatio
	switch {
	case f.Early && f.Contrast:
		ratio = contrastRatio
	case f.Early:
		ratio = earlyRatio
	}
	return math.Pow(ratio, 1/float64(1+f.FailedElsewhere))
}

// Record is what the runs of a worker's incarnation have shown. The zero value knows
// nothing.
type Record struct {
	failures []Failure // in the order of time, after provedAt
	provedAt time.Time // latest start of a run that has worked
}

// Fail records a failure.
func (r *Record) Fail(f Failure) {
	if f.At.Before(r.provedAt) {
		return
	}
	if len(r.failures) >= maxFailures {
		r.failures = slices.Delete(r.failures, 0, 1)
	}
	r.failures = append(r.failures, f)
}

// Prove records that a run which started at the given time has worked. Earlier failures
// do not count any more.
func (r *Record) Prove(start time.Time) {
	if !start.After(r.provedAt) {
		return
	}
	r.provedAt = start
	r.failures = slices.DeleteFunc(r.failures, func(f Failure) bool { return !f.At.After(start) })
}

// Retract removes the failures of a job that fails wherever it starts.
func (r *Record) Retract(job string) {
	r.failures = slices.DeleteFunc(r.failures, func(f Failure) bool { return f.Job == job })
}

// HasFailures reports whether a run has failed since the worker has proved sound.
func (r *Record) HasFailures() bool { return len(r.failures) > 0 }

// LastFailure returns the time of the latest failure since the worker has proved sound,
// or the zero time.
func (r *Record) LastFailure() time.Time {
	if len(r.failures) == 0 {
		return time.Time{}
	}
	return r.failures[len(r.failures)-1].At
}

// Risk returns the probability that the worker fails the next run that it starts.
func (r *Record) Risk(s Spell, now time.Time) float64 {
	prior := s.risk(r, now)
	risk, at := prior, time.Time{}
	for _, f := range r.failures {
		risk = decay(risk, prior, f.At.Sub(at))
		odds := risk / (1 - risk) * f.ratio()
		risk, at = odds/(1+odds), f.At
	}
	return decay(risk, prior, now.Sub(at))
}

// decay returns the risk after a time without evidence.
func decay(risk, prior float64, d time.Duration) float64 {
	return prior + (risk-prior)*math.Exp(-max(0, d.Seconds())/recoveryTime.Seconds())
}
