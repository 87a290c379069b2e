package leader

import (
	"maps"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/soundness"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// failuresToAvoid is the number of different jobs with failed runs in a row after
	// which a worker is avoided.
	failuresToAvoid = 2
	// workersToBlameJob is the number of other workers on which runs of a job have failed
	// within maxAvoidTime, and none was done, from which on a failure is not counted
	// against the worker.
	workersToBlameJob = 2
	// A worker is avoided for minAvoidTime at first. The time doubles up to maxAvoidTime.
	minAvoidTime = 4 * time.Second
	maxAvoidTime = 30 * time.Second
)

// health is what the outcomes of runs indicate about a worker.
type health struct {
	failedJobs   map[string]bool // jobs with failed runs since the last one that was done
	avoidedUntil time.Time
	avoidTime    time.Duration // last time for which the worker was avoided; 0 after a run is done
	record       soundness.Record
	risk         float64 // probability that the worker fails the next run
	suspect      bool    // risk is above soundness.SuspectRisk
	evidence     string  // the latest failure in record, for logs
	acquittal    string  // why the latest failures in record do not count any more, for logs
}

func (h *health) isAvoided(now time.Time) bool { return now.Before(h.avoidedUntil) }

// recordOutcome updates the health of a worker at the end of a run.
func (t *term) recordOutcome(w *workerState, k work.RunKey, outcome work.Outcome, now time.Time) {
	h := &w.health
	if s := t.jobs[k.Task.Job]; s != nil && s.failsEverywhere(w.Incarnation, outcome, now) {
		return
	}
	switch outcome {
	case work.OutcomeDone:
		h.failedJobs, h.avoidTime = nil, 0
	case work.OutcomeFailed:
		if h.failedJobs == nil {
			h.failedJobs = make(map[string]bool)
		}
		h.failedJobs[k.Task.Job] = true
		if len(h.failedJobs) >= failuresToAvoid {
			h.failedJobs = nil
			t.avoid(w, "runs of several jobs failed in a row", now)
		}
	}
}

// failsEverywhere updates the latest failures of the job's runs, and reports whether the run
// has failed as others did shortly before on enough other workers.
func (s *jobState) failsEverywhere(worker string, outcome work.Outcome, now time.Time) bool {
	switch outcome {
	case work.OutcomeDone:
		s.failedOn = nil
	case work.OutcomeFailed:
		maps.DeleteFunc(s.failedOn, func(_ string, at time.Time) bool { return now.Sub(at) > maxAvoidTime })
		if s.failedOn == nil {
			s.failedOn = make(map[string]time.Time)
		}
		s.failedOn[worker] = now
		return len(s.failedOn) > workersToBlameJob
	}
	return false
}

// avoid excludes a worker from placement for a time that doubles on each occasion until
// one of its runs is done.
func (t *term) avoid(w *workerState, reason string, now time.Time) {
	h := &w.health
	if h.isAvoided(now) {
		return
	}
	h.avoidTime = min(max(minAvoidTime, 2*h.avoidTime), maxAvoidTime)
	h.avoidedUntil = now.Add(h.avoidTime)
	event.LeaderWorkerAvoided.Log(t.cfg.Log).Str("Worker", w.Incarnation).Str("Why", reason).Dur("For", h.avoidTime).Send()
}
