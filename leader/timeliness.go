package leader

import (
	"cmp"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

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

// durationTolerance is the share of the remaining time that a job needs as slack,
// besides Config.StopGrace, to count as OnTime rather than AtRisk. Without this slack,
// jobs that start at the last moment under overload end late one after the other if
// their runs take a little longer than expected.
const durationTolerance = 0.2

// timeliness predicts whether an occurrence meets its deadline. A late one counts as
// Expiring from one expected duration before its last useful start. Declared durations are
// often far too low, and users measure by the real ones: if the mean run duration of its
// queue is longer than the declared duration, it replaces the declared one in both the
// predicted end and the deadline.
func (t *term) timeliness(s *jobState, occurrence int, now time.Time) schedule.Timeliness {
	remaining := t.expectedRemaining(s, occurrence)
	limit := t.expectedObjective(s.job)
	from, end := queuedSince(s.job, occurrence), now.Add(remaining)
	margin := t.cfg.StopGrace + time.Duration(durationTolerance*float64(remaining))
	switch {
	case !end.Add(margin).After(from.Add(limit)):
		return schedule.OnTime
	case !end.After(from.Add(limit)):
		return schedule.AtRisk
	case !end.Add(remaining).After(from.Add(work.ExpiredFactor * limit)):
		return schedule.Late
	case !end.After(from.Add(work.ExpiredFactor * limit)):
		return schedule.Expiring
	default:
		return schedule.Expired
	}
}

// expectedRemaining returns the expected duration of the steps that are not done.
func (t *term) expectedRemaining(s *jobState, occurrence int) time.Duration {
	return t.remainingPath(s, occurrence) + t.expectedDuration(s.job) - criticalPath(s.job)
}

// isDeferrable reports whether batch work would be on time if it started later, so that
// it can leave capacity to urgent work that is expected.
func (t *term) isDeferrable(s *jobState, occurrence int, now time.Time) bool {
	remaining := time.Duration(deferrableFactor * float64(t.remainingPath(s, occurrence)))
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

// isLate reports whether the job of a run will miss its objective. Once the progress of the
// run is known, its duration is extrapolated from it. A gang ends with its slowest member,
// while the objective is that of workers of speed 1. A job with several steps
// counts as late only once its deadline has passed, because the run shows nothing about
// later steps.
func (t *term) isLate(j *work.Job, w *workerState, k work.RunKey, now time.Time) bool {
	wallNow, from := time.Now(), queuedSince(j, k.Task.Occurrence)
	if len(j.Steps) > 1 {
		return wallNow.After(from.Add(t.expectedObjective(j)))
	}
	usual, speed := t.expectedDuration(j), t.speeds.LongTerm(w.Incarnation) // usual is on a worker of speed 1
	p := w.trackers[k]
	if p != nil && p.percent-p.firstPercent >= minMeasuredPercent {
		measured := now.Sub(p.startedAt) * completePercent / time.Duration(p.percent-p.firstPercent)
		usual = time.Duration(speed * float64(measured))
	}
	if p != nil {
		speed = cmp.Or(p.slowest, speed)
	}
	waited := wallNow.Sub(from) - now.Sub(w.placedAt[k])
	return waited+time.Duration(float64(usual)/speed) > objectiveFor(j, usual)
}

// remainingPath returns the declared duration of the longest chain of steps that are not
// done.
func (t *term) remainingPath(s *jobState, occurrence int) time.Duration {
	return longestChain(s.job, func(step int) bool { return !s.progress.StepDone(s.job, occurrence, step) })
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
