package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// expiredFactor is the multiple of its objective after which a job does not count any
// more in the users' measurements.
const expiredFactor = 3

// meanDuration is the mean duration of the runs of a queue.
type meanDuration struct {
	runs int
	mean time.Duration
}

// maxMeanRuns bounds the number of runs in the mean, so that a new run has a weight of at
// least 1/50.
const maxMeanRuns = 50

func (m meanDuration) add(d time.Duration) meanDuration {
	m.runs = min(m.runs+1, maxMeanRuns)
	m.mean += (d - m.mean) / time.Duration(m.runs)
	return m
}

// durationTolerance is the part of its expected duration by which a run may be longer and
// still be on time. Without it, jobs that wait until their last moment end late one after
// the other when there is more urgent work than capacity.
const durationTolerance = 0.2

// timeliness predicts when an occurrence of a job will end. Declared durations are often
// far too low, and the users count by the real ones, so a job is not treated as late or
// expired before runs of the usual duration of its queue would be.
func (t *term) timeliness(s *jobState, occurrence int, now time.Time) schedule.Timeliness {
	remaining := t.remainingPath(s, occurrence) + t.expectedDuration(s.job) - criticalPath(s.job)
	limit := t.expectedObjective(s.job)
	from, end := queuedSince(s.job, occurrence), now.Add(remaining)
	margin := t.cfg.StopGrace + time.Duration(durationTolerance*float64(remaining))
	switch {
	case !end.Add(margin).After(from.Add(limit)):
		return schedule.OnTime
	case !end.After(from.Add(limit)):
		return schedule.AtRisk
	case !end.After(from.Add(expiredFactor * limit)):
		return schedule.Late
	default:
		return schedule.Expired
	}
}

// canWait reports whether batch work would be on time if it started later, so that it can
// leave capacity to urgent work that is expected.
func (t *term) canWait(s *jobState, occurrence int, now time.Time) bool {
	remaining := time.Duration(canWaitFactor * float64(t.remainingPath(s, occurrence)))
	return s.job.Priority > 0 && now.Add(remaining).Before(deadline(s.job, occurrence))
}

// expectedObjective returns the time within which an occurrence should be done if it
// takes the expected duration.
func (t *term) expectedObjective(j *work.Job) time.Duration {
	return objectiveFor(j, t.expectedDuration(j))
}

// expectedDuration returns the declared duration of an occurrence or the mean duration of
// the runs of its queue, whichever is longer.
func (t *term) expectedDuration(j *work.Job) time.Duration {
	return max(criticalPath(j), t.runDurations[j.Queue].mean)
}

// isLate reports whether the job of a run will miss its objective. Once the speed of the
// run is known, its duration is extrapolated from its progress.
func (t *term) isLate(j *work.Job, w *workerState, k work.RunKey, now time.Time) bool {
	wallNow, from := time.Now(), queuedSince(j, k.Task.Occurrence)
	if len(j.Steps) > 1 {
		return wallNow.After(from.Add(t.expectedObjective(j)))
	}
	duration := t.expectedDuration(j)
	if p := w.trackers[k]; p != nil && p.percent-p.firstPercent >= minMeasuredPercent {
		duration = now.Sub(p.startedAt) * completePercent / time.Duration(p.percent-p.firstPercent)
	}
	waited := wallNow.Sub(from) - now.Sub(w.placedAt[k])
	return waited+duration > objectiveFor(j, duration)
}

// remainingPath returns the declared duration of the longest chain of steps that are not
// done.
func (t *term) remainingPath(s *jobState, occurrence int) time.Duration {
	return criticalPathWhere(s.job, func(step int) bool { return !s.progress.StepDone(s.job, occurrence, step) })
}

// fleetTime returns the time for which the work of a step would occupy the whole fleet.
func (t *term) fleetTime(j *work.Job, step int) time.Duration {
	s := j.Steps[step]
	if t.totalCores == 0 {
		return 0
	}
	coreTime := float64(s.Count) * s.Shape.Cores() * float64(max(s.Estimate, t.runDurations[j.Queue].mean))
	return time.Duration(coreTime / t.totalCores)
}

// fleetCores returns the total size of the attached workers.
func (t *term) fleetCores() float64 {
	var n float64
	for _, w := range t.workers {
		if w.attached {
			n += w.Capacity.Cores()
		}
	}
	return n
}
