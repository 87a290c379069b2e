package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// lateFactor is the multiple of its objective after which a job does not count
// any more, as the users measure it.
const lateFactor = 3

// length is how long the runs of a queue take.
type length struct {
	runs int
	mean time.Duration
}

// lengthWeight is the weight of a run in the mean, once there are that many.
const lengthWeight = 50

func (l length) add(d time.Duration) length {
	l.runs = min(l.runs+1, lengthWeight)
	l.mean += (d - l.mean) / time.Duration(l.runs)
	return l
}

// spread is the part of its duration by which a run may be longer and still be
// expected to be in time. When there is more urgent work than room, jobs that
// wait until their last moment end late, one after the other.
const spread = 0.2

// timeliness is when an occurrence of a job is expected to end. Declared durations
// are often far too low, and the users count by the real ones, so a job is not
// given up before runs of its queue would be late.
func (t *term) timeliness(s *jobState, occurrence int, now time.Time) schedule.Timeliness {
	left := t.remaining(s, occurrence) + t.length(s.job) - chain(s.job)
	limit := t.limit(s.job)
	from, end := begin(s.job, occurrence), now.Add(left)
	delay := t.cfg.StopGrace + time.Duration(spread*float64(left))
	switch {
	case !end.Add(delay).After(from.Add(limit)):
		return schedule.OnTime
	case !end.After(from.Add(limit)):
		return schedule.AtRisk
	case !end.After(from.Add(lateFactor * limit)):
		return schedule.Late
	default:
		return schedule.Expired
	}
}

// canWait reports whether batch work would be in time if it began later, so that it
// leaves room to urgent work that is expected.
func (t *term) canWait(s *jobState, occurrence int, now time.Time) bool {
	left := time.Duration(patience * float64(t.remaining(s, occurrence)))
	return s.job.Priority > 0 && now.Add(left).Before(due(s.job, occurrence))
}

// limit is the time in which an occurrence should be done if it takes as long as
// runs of its queue do.
func (t *term) limit(j *work.Job) time.Duration {
	return within(j, t.length(j))
}

// length is how long an occurrence is expected to take: as declared, or as long as
// runs of its queue, if that is longer.
func (t *term) length(j *work.Job) time.Duration { return max(chain(j), t.lengths[j.Queue].mean) }

// isLate reports whether the job of a run will not be in time any more, by the
// length of the run where its progress shows that.
func (t *term) isLate(j *work.Job, w *workerState, k work.RunKey, now time.Time) bool {
	present, from := time.Now(), begin(j, k.Task.Occurrence)
	if len(j.Steps) > 1 {
		return present.After(from.Add(t.limit(j)))
	}
	length := t.length(j)
	if p := w.trackers[k]; p != nil && p.percent-p.first >= knownPercent {
		length = now.Sub(p.began) * wholePercent / time.Duration(p.percent-p.first)
	}
	waited := present.Sub(from) - now.Sub(w.placed[k])
	return waited+length > within(j, length)
}

// remaining is the declared duration of the longest chain of steps that are not
// done.
func (t *term) remaining(s *jobState, occurrence int) time.Duration {
	return longestChain(s.job, func(step int) bool { return !s.progress.StepDone(s.job, occurrence, step) })
}

// share is the time for which the work of a step would take all of the fleet.
func (t *term) share(j *work.Job, step int) time.Duration {
	s := j.Steps[step]
	if t.cores == 0 {
		return 0
	}
	work := float64(s.Count) * s.Shape.Cores() * float64(max(s.Estimate, t.lengths[j.Queue].mean))
	return time.Duration(work / t.cores)
}

// fleetCores is the size of the workers that are in touch.
func (t *term) fleetCores() float64 {
	var n float64
	for _, w := range t.workers {
		if w.attached {
			n += w.Capacity.Cores()
		}
	}
	return n
}
