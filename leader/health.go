package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// failuresToAvoid is the number of failed runs in a row, of different jobs,
	// after which a worker is avoided.
	failuresToAvoid = 2
	// avoidFor is how long a worker is avoided at first; it doubles up to
	// avoidMost.
	avoidFor  = 4 * time.Second
	avoidMost = 30 * time.Second
)

// health is what the ends of runs say about a worker.
type health struct {
	failed map[string]bool // jobs that failed in a row
	last   work.Outcome    // of the latest run that ended by itself
	until  time.Time
	next   time.Duration
}

func (h *health) avoided(now time.Time) bool { return now.Before(h.until) }

// judge takes the end of a run into account.
func (t *term) judge(w *workerState, k work.RunKey, how work.Outcome, now time.Time) {
	h := &w.health
	if how == work.OutcomeDone || how == work.OutcomeFailed {
		h.last = how
	}
	switch how {
	case work.OutcomeDone:
		h.failed, h.next = nil, 0
	case work.OutcomeFailed:
		if h.failed == nil {
			h.failed = make(map[string]bool)
		}
		h.failed[k.Task.Job] = true
		if len(h.failed) >= failuresToAvoid {
			h.failed = nil
			t.avoid(w, "runs of several jobs failed", now)
		}
	}
}

// avoid gives a worker no tasks for a while, which doubles until a run of it is
// done.
func (t *term) avoid(w *workerState, why string, now time.Time) {
	h := &w.health
	if h.avoided(now) {
		return
	}
	h.next = min(max(avoidFor, 2*h.next), avoidMost)
	h.until = now.Add(h.next)
	event.LeaderWorkerAvoided.Log(t.cfg.Log).Str("Worker", w.Incarnation).Str("Why", why).Dur("For", h.next).Send()
}
