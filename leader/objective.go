package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// deadline returns the time by which an occurrence of a job should be done.
func deadline(j *work.Job, occurrence int) time.Time {
	return queuedSince(j, occurrence).Add(objective(j))
}

// queuedSince returns the time from which the objective of an occurrence counts: when the
// job was accepted, or when the occurrence was due to start if that is later.
func queuedSince(j *work.Job, occurrence int) time.Time {
	if d := j.OccurrenceStart(occurrence); d.After(j.Accepted) {
		return d
	}
	return j.Accepted
}

// objective returns the time within which an occurrence should be done.
func objective(j *work.Job) time.Duration {
	return objectiveFor(j, criticalPath(j))
}

// objectiveFor returns the time within which an occurrence of that duration should be
// done.
func objectiveFor(j *work.Job, duration time.Duration) time.Duration {
	return j.Objective + time.Duration(j.MaxSlowdown*float64(duration))
}

// criticalPath returns the declared duration of the longest chain of steps.
func criticalPath(j *work.Job) time.Duration { return longestChain(j, func(int) bool { return true }) }

// longestChain returns the declared duration of the longest chain of steps, where
// only the included steps count.
func longestChain(j *work.Job, included func(step int) bool) time.Duration {
	return j.LongestChain(included)
}
