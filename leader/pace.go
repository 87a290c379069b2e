package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// paceEvery is the time between two changes of the speed of best-effort runs. A
	// worker's figure is of its last half second.
	paceEvery = 600 * time.Millisecond
	// paceUnder is the part of the target below which best-effort runs get faster.
	paceUnder = 0.75
	// paceStep is what their speed rises by, in percent. It falls by half, so
	// that four changes take it below a tenth.
	paceStep = 10
	// paceFloor is the speed below which best-effort runs are halted.
	paceFloor = 15
	fullPace  = 100
)

// speed is the share at which the best-effort runs of a worker work.
type speed struct {
	percent int
	changed time.Time
}

// adjust returns the next share, given the worst ratio of a serving task's
// tail latency to its target. Multiplicative decrease ends harm in a second or
// two, additive increase keeps the load from swinging.
func (s speed) adjust(worst float64, now time.Time) speed {
	if now.Sub(s.changed) < paceEvery {
		return s
	}
	next := s.percent
	switch {
	case worst > 1:
		next /= 2
		if next < paceFloor {
			next = 0
		}
	case worst < paceUnder:
		next = min(fullPace, next+paceStep)
	}
	if next == s.percent {
		return s
	}
	return speed{next, now}
}

// harm returns the worst ratio of tail latency to target of the serving tasks
// of a worker, 0 without any.
func (t *term) harm(w *workerState) float64 {
	worst := 0.0
	for _, run := range w.running {
		if target := t.step(run.Key).TargetLatency; target > 0 {
			worst = max(worst, float64(run.Load)*float64(time.Millisecond)/float64(target))
		}
	}
	return worst
}

// step returns the step of a run, or an empty one if the run is not known.
func (t *term) step(k work.RunKey) work.Step {
	s, task := t.task(k)
	if task == nil {
		return work.Step{}
	}
	return s.job.Steps[k.Task.Step]
}

// setPace decides at which share the best-effort runs of a worker work.
func (t *term) setPace(w *workerState, now time.Time) {
	if w.speed.changed.IsZero() {
		w.speed.percent = fullPace
	}
	w.speed = w.speed.adjust(t.harm(w), now)
}

// paces adds the orders that set the speed of best-effort runs. Full speed is
// ordered only after a lower one.
func (t *term) paces(o *control.Orders, w *workerState) {
	if w.speed.changed.IsZero() {
		return
	}
	for _, run := range w.running {
		if t.step(run.Key).BestEffort {
			o.Throttles = append(o.Throttles, control.Throttle{Key: run.Key, Percent: w.speed.percent})
		}
	}
}
