package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/delay"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// minKnownRuns is the number of runs of a queue from which their mean duration predicts
// that of the next run better than its declaration.
const minKnownRuns = 5

// occurrenceKey identifies an occurrence of a job.
type occurrenceKey struct {
	job        string
	occurrence int
}

// forecast returns what a job loses if the steps of an occurrence that are not done start
// later. It is zero for a job without an objective. It is computed once in a pass.
func (t *term) forecast(s *jobState, occurrence int, wallNow time.Time) delay.Forecast {
	key := occurrenceKey{s.job.ID, occurrence}
	f, ok := t.forecasts[key]
	if !ok {
		f = t.computeForecast(s, occurrence, wallNow)
		t.forecasts[key] = f
	}
	return f
}

func (t *term) computeForecast(s *jobState, occurrence int, wallNow time.Time) delay.Forecast {
	limit := t.expectedObjective(s.job)
	if limit == 0 {
		return delay.Forecast{}
	}
	from := queuedSince(s.job, occurrence)
	return t.cfg.Delay.Forecast(delay.Job{
		Priority: s.job.Priority, Work: t.jobWork(s.job), Remaining: t.expectedRemaining(s, occurrence),
		UntilLate: from.Add(limit).Sub(wallNow), UntilExpired: from.Add(work.ExpiredFactor * limit).Sub(wallNow),
		KnownDuration: t.runDurations[s.job.Queue].runs >= minKnownRuns,
	})
}

// addForecast sets what a unit loses by waiting.
func (t *term) addForecast(u *schedule.Unit, s *jobState, wallNow time.Time) {
	if s.job.Steps[u.Step].LongRunning {
		return
	}
	u.Forecast = t.forecast(s, u.Occurrence, wallNow)
	u.Density = u.Forecast.Density(t.stepWork(s.job, u.Step))
}

// stepWork returns the expected work of a step in core-seconds.
func (t *term) stepWork(j *work.Job, step int) float64 {
	s := j.Steps[step]
	return float64(s.Count) * s.Shape.Cores() * t.stepDuration(j, step).Seconds()
}

// jobWork returns the expected work of an occurrence of a job in core-seconds.
func (t *term) jobWork(j *work.Job) float64 {
	var sum float64
	for step := range j.Steps {
		sum += t.stepWork(j, step)
	}
	return sum
}

// stepDuration returns the declared duration of a task of the step or the mean duration of
// the runs of its queue, whichever is longer.
func (t *term) stepDuration(j *work.Job, step int) time.Duration {
	return max(j.Steps[step].Estimate, t.runDurations[j.Queue].mean)
}

// taskDuration returns the expected duration of a task, 0 if it does not end by itself or
// nothing is known.
func (t *term) taskDuration(j *work.Job, step int) time.Duration {
	if j.Steps[step].LongRunning {
		return 0
	}
	return t.stepDuration(j, step)
}

// stopCost returns in which time the run is expected to end by itself, 0 if that is not
// known, and what its stop costs. The members of a gang share what their job loses.
func (t *term) stopCost(s *jobState, w *workerState, k work.RunKey, now time.Time) (endsIn time.Duration, cost float64) {
	step, model := s.job.Steps[k.Task.Step], t.cfg.Delay
	stop := delay.Stop{Work: step.Shape.Cores() * now.Sub(w.placedAt[k]).Seconds(), Earlier: s.earlierStops(k.Task)}
	if step.LongRunning {
		stop.Work = step.Shape.Cores() * serviceAbsence.Seconds()
		return 0, model.CostOfStop(stop)
	}
	if step.Checkpointing {
		stop.Work = step.Shape.Cores() // one second: it saves a checkpoint when it is stopped
	}
	endsIn = t.expectedEnd(s, w, k, now)
	forecast := t.forecast(s, k.Task.Occurrence, time.Now())
	if !forecast.Known() {
		return endsIn, model.CostOfStop(stop)
	}
	stop.Running, stop.Restarted = forecast, forecast.Remaining
	stop.Running.Remaining = max(0, forecast.Remaining-t.stepDuration(s.job, k.Task.Step)) + endsIn
	if step.Checkpointing {
		stop.Restarted = stop.Running.Remaining
	}
	stop.Wait = t.cfg.StopGrace + t.startWaits[s.job.Priority].mean
	if step.Gang {
		stop.Running = stop.Running.Share(step.Count)
	} else {
		stop.Running = stop.Running.ForOneOf(step.Count)
	}
	return endsIn, model.CostOfStop(stop)
}

// earlierStops returns how often the task has been preempted in this term, or how often
// the tasks of its job were on average if that is more.
func (s *jobState) earlierStops(k work.TaskKey) float64 {
	return max(float64(s.preempted[k]), float64(s.preemptions)/float64(len(s.progress.Tasks)))
}

// expectedEnd returns the time until the run is expected to end. It is 0 if the run has
// taken longer than expected and its speed is not known.
func (t *term) expectedEnd(s *jobState, w *workerState, k work.RunKey, now time.Time) time.Duration {
	duration := t.stepDuration(s.job, k.Task.Step)
	if p := w.trackers[k]; p != nil {
		return p.remaining(duration, now)
	}
	return max(0, time.Duration(float64(duration)/t.speeds.Speed(w.Incarnation))-now.Sub(w.placedAt[k]))
}

// preempt stops runs for more urgent jobs.
func (t *term) preempt(stops []schedule.Stop) {
	for _, stop := range stops {
		s, task := t.task(stop.RunKey)
		if task.Stopping {
			continue
		}
		if s.preempted == nil {
			s.preempted = make(map[work.TaskKey]int)
		}
		s.preempted[stop.Task]++
		s.preemptions++
		t.cfg.Meter.ObservePreemption(s.job.Priority, stop.Cost)
		t.markStopping(stop.RunKey, task)
		event.LeaderStopped.Log(t.cfg.Log).Str("Job", stop.Task.Job).Stringer("Run", stop.RunKey).Str("Worker", task.Worker).Str("Why", "preempted by a more urgent job").
			Str("For", stop.For).Float64("Cost", stop.Cost).Int("Priority", s.job.Priority).Int("Preemptions", s.preempted[stop.Task]).Send()
	}
}
