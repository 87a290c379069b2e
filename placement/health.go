package placement

import (
	"time"

	"github.com/google/uuid"
)

// Bounds of the quarantine of a faulty worker.
const (
	// FailuresToQuarantine is the number of tasks that fail in a row, of at
	// least two jobs, after which a worker is quarantined.
	FailuresToQuarantine = 3
	// FirstProbeAfter is the delay of the first trial; it doubles up to
	// LastProbeAfter.
	FirstProbeAfter = 30 * time.Second
	LastProbeAfter  = time.Hour
)

// Health follows the outcomes of tasks by worker and quarantines a worker that
// fails every task. It is not safe for concurrent use. Its memory is bounded by
// the workers and FailuresToQuarantine.
type Health struct {
	workers map[string]*record
}

// record is the recent history of one worker.
type record struct {
	failed  []uuid.UUID // jobs of the failures in a row, the newest last
	delay   time.Duration
	probeAt time.Time // zero when the worker is not quarantined
}

// NewHealth returns a Health that knows no failures.
func NewHealth() *Health { return &Health{workers: map[string]*record{}} }

// Succeeded enters a task that finished on the worker and ends a quarantine.
func (h *Health) Succeeded(worker string) { delete(h.workers, worker) }

// Failed enters a task of the job that failed on the worker at now. It reports
// whether the worker is quarantined by this failure or stays so.
func (h *Health) Failed(worker string, job uuid.UUID, now time.Time) bool {
	r := h.workers[worker]
	if r == nil {
		r = &record{}
		h.workers[worker] = r
	}
	r.failed = append(r.failed, job)
	if len(r.failed) > FailuresToQuarantine {
		// One failure of another job is kept among the newest, so that the
		// condition of two jobs is not lost.
		drop := 0
		if last := r.failed[1:]; same(last) {
			drop = 1
		}
		r.failed = append(r.failed[:drop], r.failed[drop+1:]...)
	}
	if r.probeAt.IsZero() && (len(r.failed) < FailuresToQuarantine || same(r.failed)) {
		return false
	}
	r.delay = min(max(2*r.delay, FirstProbeAfter), LastProbeAfter)
	r.probeAt = now.Add(r.delay)
	return true
}

// same reports whether all failures are of one job.
func same(jobs []uuid.UUID) bool {
	for _, j := range jobs {
		if j != jobs[0] {
			return false
		}
	}
	return true
}

// Acquit takes back all failures of a job that failed everywhere: the job was
// at fault. Workers that are quarantined only because of it are released.
func (h *Health) Acquit(job uuid.UUID) {
	for name, r := range h.workers {
		kept := r.failed[:0]
		for _, j := range r.failed {
			if j != job {
				kept = append(kept, j)
			}
		}
		if len(kept) == len(r.failed) {
			continue
		}
		r.failed = kept
		if len(kept) == 0 || !r.probeAt.IsZero() && (len(kept) < FailuresToQuarantine || same(kept)) {
			delete(h.workers, name)
		}
	}
}

// Forget drops what is known about a worker, because it was replaced.
func (h *Health) Forget(worker string) { delete(h.workers, worker) }

// Quarantined reports whether the worker is set aside.
func (h *Health) Quarantined(worker string) bool {
	r := h.workers[worker]
	return r != nil && !r.probeAt.IsZero()
}

// ProbeDue reports whether a quarantined worker is due for a trial task at now.
func (h *Health) ProbeDue(worker string, now time.Time) bool {
	r := h.workers[worker]
	return r != nil && !r.probeAt.IsZero() && !now.Before(r.probeAt)
}
