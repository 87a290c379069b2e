package leader

import (
	"math"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/work"
)

// maxRestartSpeeds bounds the tasks that wait to be started again.
const maxRestartSpeeds = 256

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
	members, known := t.progressOf(s, k, indexes, now)
	f, ok := speed.ForecastRun(members)
	if !known || !ok {
		return nil
	}
	left := time.Until(queuedSince(s.job, k.Task.Occurrence).Add(max(objectiveFor(s.job, f.Usual), t.expectedObjective(s.job))))
	if minSpeed := f.RestartSpeed(left, left-t.cfg.StopGrace-startOverhead); minSpeed > 0 {
		return &slowRun{s, k, indexes, minSpeed}
	}
	return nil
}

func allIndexes(n int) []int {
	all := make([]int, n)
	for i := range all {
		all[i] = i
	}
	return all
}

// progressOf returns the progress of the members of a gang, or of a single run, and false if
// one of them is not known or is being stopped.
func (t *term) progressOf(s *jobState, first work.RunKey, indexes []int, now time.Time) ([]speed.Progress, bool) {
	members := make([]speed.Progress, 0, len(indexes))
	for _, i := range indexes {
		k := memberRun(first, i)
		task := s.progress.Task(s.job, k.Task)
		w := t.workers[task.Worker]
		if w == nil || task.Run != k.Run || task.Stopping || w.trackers[k] == nil {
			return nil, false
		}
		p := w.trackers[k]
		members = append(members, speed.Progress{Percent: p.percent, Rate: p.sampler.Rate(), Speed: t.speeds.Speed(w.Incarnation), Age: now.Sub(p.startedAt)})
	}
	return members, true
}
