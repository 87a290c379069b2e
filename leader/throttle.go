package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// throttleInterval is the least time between two changes of the speed of best-effort
	// runs. The latency that a worker reports covers the last half second.
	throttleInterval = 600 * time.Millisecond
	// throttleRecoveryRatio is the ratio of latency to target below which the speed of
	// best-effort runs rises.
	throttleRecoveryRatio = 0.75
	// throttleStepPercent is added when the speed rises. When it falls, it is halved, so
	// that three changes suspend the runs.
	throttleStepPercent = 10
	// minSpeedPercent: a speed that falls below it becomes 0, which suspends the runs. A
	// rising speed may be lower.
	minSpeedPercent  = 15
	fullSpeedPercent = 100
)

// throttle is the speed of the best-effort runs of a worker.
type throttle struct {
	percent   int
	changedAt time.Time
}

// adjust returns the next throttle, given the worst ratio of tail latency to target among
// the serving tasks. Multiplicative decrease ends an overload in a second or two, and
// additive increase keeps the load from oscillating.
func (s throttle) adjust(worst float64, now time.Time) throttle {
	if now.Sub(s.changedAt) < throttleInterval {
		return s
	}
	next := s.percent
	switch {
	case worst > 1:
		next /= 2
		if next < minSpeedPercent {
			next = 0
		}
	case worst < throttleRecoveryRatio:
		next = min(fullSpeedPercent, next+throttleStepPercent)
	}
	if next == s.percent {
		return s
	}
	return throttle{next, now}
}

// worstLatencyRatio returns the worst ratio of tail latency to target among the serving
// tasks of a worker, or 0 if it has none.
func (t *term) worstLatencyRatio(w *workerState) float64 {
	worst := 0.0
	for _, run := range w.running {
		if target := t.stepOf(run.Key).TargetLatency; target > 0 {
			worst = max(worst, float64(run.Load)*float64(time.Millisecond)/float64(target))
		}
	}
	return worst
}

// stepOf returns the step of a run, or an empty one if the run is unknown.
func (t *term) stepOf(k work.RunKey) work.Step {
	s, task := t.task(k)
	if task == nil {
		return work.Step{}
	}
	return s.job.Steps[k.Task.Step]
}

// updateThrottle adjusts the speed of the best-effort runs of a worker.
func (t *term) updateThrottle(w *workerState, now time.Time) {
	if w.throttle.changedAt.IsZero() {
		w.throttle.percent = fullSpeedPercent
	}
	w.throttle = w.throttle.adjust(t.worstLatencyRatio(w), now)
}

// addThrottles adds the orders that set the speed of best-effort runs. Full speed is
// ordered only after a lower one.
func (t *term) addThrottles(o *control.Orders, w *workerState) {
	if w.throttle.changedAt.IsZero() {
		return
	}
	for _, run := range w.running {
		if t.stepOf(run.Key).BestEffort {
			o.Throttles = append(o.Throttles, control.Throttle{Key: run.Key, Percent: w.throttle.percent})
		}
	}
}
