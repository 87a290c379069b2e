package leader

import (
	"math"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maxRestartPercent and maxRestartAge bound the work that is lost with a run that is
	// started again elsewhere: its progress, and its age as a share of the duration on a
	// worker of speed 1.
	maxRestartPercent = 40
	maxRestartAge     = 0.75
	// maxRestartSpeeds bounds the tasks that wait to be started again.
	maxRestartSpeeds = 256
)

// slowRun is a run, or a gang, that will miss its objective on its workers and could be in
// time elsewhere.
type slowRun struct {
	state    *jobState
	key      work.RunKey // of the first member of a gang
	indexes  []int
	minSpeed float64 // of workers on which a new run is in time
}

// restartSlowRun stops a run that will miss its objective, if workers that are fast enough
// to repeat it in time are free now. A task is started again for this reason at most once.
// One run is stopped in a pass, so that two do not count on the same free workers.
func (t *term) restartSlowRun(units []*schedule.Unit, now time.Time) {
	r := t.findSlowRun(units, now)
	if r == nil {
		return
	}
	fleet := t.fleet(nil, now)
	t.requireSpeeds(nil, fleet, now)
	u := &schedule.Unit{Job: r.state.job, Occurrence: r.key.Task.Occurrence, Step: r.key.Task.Step, Indexes: r.indexes, MinSpeed: r.minSpeed, TasksByWorker: make(map[string]int)}
	t.setRisk(u, 0) // it is the first run, and has not failed
	if !schedule.FitsOnFastWorkers(fleet, u) {
		return
	}
	if len(t.restartSpeeds) >= maxRestartSpeeds {
		clear(t.restartSpeeds)
	}
	t.restartSpeeds[r.key.Task] = r.minSpeed
	t.cfg.Meter.CountSpeedRestart()
	t.stopRun(r.state, r.key, "it will miss its objective, and faster workers are free")
}

// findSlowRun returns the most urgent run to start again, or nil if there is none. Waiting
// units of the same priority or a higher one have precedence on free workers.
func (t *term) findSlowRun(units []*schedule.Unit, now time.Time) *slowRun {
	var best *slowRun
	waiting := highestWaiting(units)
	for _, w := range t.workers {
		for k := range w.trackers {
			s, task := t.placedRun(w, k)
			if task == nil || (best != nil && best.state.job.Priority <= s.job.Priority) || s.job.Priority >= waiting {
				continue
			}
			if r := t.slowRun(s, k, now); r != nil {
				best = r
			}
		}
	}
	return best
}

// highestWaiting returns the lowest number of a priority of which units wait.
func highestWaiting(units []*schedule.Unit) int {
	priority := math.MaxInt
	for _, u := range units {
		if u.Timeliness < schedule.Expired {
			priority = min(priority, u.Job.Priority)
		}
	}
	return priority
}

// slowRun returns the run with its gang if it should be started again, or else nil.
func (t *term) slowRun(s *jobState, k work.RunKey, now time.Time) *slowRun {
	step := s.job.Steps[k.Task.Step]
	if step.Gang && k.Task.Index > 0 {
		return nil // the gang is examined with its first member
	}
	if k.Run != 1 || len(s.job.Steps) > 1 || step.LongRunning || step.BestEffort || step.Checkpointing || s.job.Advised || s.hasCrashes || (s.job.MaxSlowdown == 0 && s.job.Objective == 0) {
		return nil
	}
	indexes := []int{k.Task.Index}
	if step.Gang {
		indexes = allIndexes(step.Count)
	}
	f, ok := t.forecastRun(s, k, indexes, now)
	// Without evidence that the worker is slow, the rate may be measured inexactly, or the
	// task may be as slow on any worker.
	if !ok || f.speed >= 1 || f.percent > maxRestartPercent || f.age.Seconds() > maxRestartAge*f.usual.Seconds() {
		return nil
	}
	deadline := queuedSince(s.job, k.Task.Occurrence).Add(max(objectiveFor(s.job, f.usual), t.expectedObjective(s.job)))
	left := time.Until(deadline)
	leftAfterStop := left - t.cfg.StopGrace - startOverhead
	if f.remaining <= left || leftAfterStop <= 0 || f.fastest > leftAfterStop {
		return nil
	}
	return &slowRun{s, k, indexes, (1 + speedMargin/2) * f.usual.Seconds() / leftAfterStop.Seconds()}
}

func allIndexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// runForecast is what the progress of the members of a gang, or of a single run, shows.
type runForecast struct {
	remaining time.Duration // until the slowest one is done
	percent   int           // of the slowest one
	age       time.Duration // since the first report
	usual     time.Duration // duration on workers of speed 1
	fastest   time.Duration // duration at the highest rate of a member; 0 for a single run
	speed     float64       // of the worker of the slowest one
}

// forecastRun returns the forecast of a gang or a run by its own progress, and false if that
// does not show it or if a member is being stopped.
func (t *term) forecastRun(s *jobState, first work.RunKey, indexes []int, now time.Time) (f runForecast, ok bool) {
	var highest, usualRate float64
	for _, i := range indexes {
		k := memberRun(first, i)
		task := s.progress.Task(s.job, k.Task)
		w := t.workers[task.Worker]
		if w == nil || task.Run != k.Run || task.Stopping || w.trackers[k] == nil {
			return f, false
		}
		p := w.trackers[k]
		f.age = max(f.age, now.Sub(p.startedAt))
		rate := p.sampler.Rate()
		if rate <= 0 {
			continue
		}
		if remaining := time.Duration(float64(completePercent-p.percent) / rate * float64(time.Second)); remaining > f.remaining {
			f.remaining, f.percent, f.speed = remaining, p.percent, t.speeds.Speed(w.Incarnation)
		}
		highest = max(highest, rate)
		usualRate = max(usualRate, rate/t.speeds.Speed(w.Incarnation))
	}
	if highest == 0 {
		return f, false
	}
	f.usual = time.Duration(completePercent / usualRate * float64(time.Second))
	if len(indexes) > 1 {
		f.fastest = time.Duration(completePercent / highest * float64(time.Second))
	}
	return f, true
}
