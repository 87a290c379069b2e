package leader

import (
	"cmp"
	"time"

	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/work"
)

// maxAdviceWait is the time after which a step without room gets every second query. Its
// advice is of use as soon as runs end.
const maxAdviceWait = 5 * time.Second

// adviceTurn is a waiting step that needs advice.
type adviceTurn struct {
	query      adviceQuery
	job        *work.Job
	usable     bool      // the step could start with its advice now
	askedAt    time.Time // as in stepAdvice
	waitsSince time.Time
}

// compare orders steps that are both usable or not: by priority, then in turn. Those that
// have not been asked about go by deadline, then the least recently asked first.
func (a *adviceTurn) compare(b *adviceTurn) int {
	return cmp.Or(
		cmp.Compare(a.job.Priority, b.job.Priority),
		a.askedAt.Compare(b.askedAt),
		deadline(a.job, 0).Compare(deadline(b.job, 0)),
		cmp.Compare(a.job.ID, b.job.ID),
		cmp.Compare(a.query.key.occurrence, b.query.key.occurrence),
		cmp.Compare(a.query.key.step, b.query.key.step),
	)
}

// chooseTurn returns the step to ask about. A usable one goes before the others, whatever
// their priority: tickets expire, so that steps without room would be asked about without
// end. Of the others, one that has waited for long goes first if the last query was about a
// usable one. Either may be nil.
func chooseTurn(usable, other *adviceTurn, lastUsable bool, now time.Time) *adviceTurn {
	if usable == nil || (other != nil && lastUsable && now.Sub(other.waitsSince) >= maxAdviceWait) {
		return other
	}
	return usable
}

// freeCapacities returns the capacity of each worker that its runs leave free, by the
// identifier of the worker.
func (t *term) freeCapacities() map[string]work.Shape {
	free := make(map[string]work.Shape, len(t.workers))
	for _, w := range t.workers {
		if !w.attached {
			continue
		}
		left := w.Capacity
		for k := range w.placedAt {
			if s, task := t.placedRun(w, k); task != nil {
				left = left.Sub(schedule.Demand(s.job.Steps[k.Task.Step]))
			}
		}
		free[w.ID] = left
	}
	return free
}

// hasRoom reports whether the free capacity of the workers that may be allowed holds a
// task of the step, or all members of a gang.
func (a *stepAdvice) hasRoom(s work.Step, candidates []string, free map[string]work.Shape) bool {
	unplaced := 1
	if s.Gang {
		unplaced = s.Count
	}
	d := schedule.Demand(s)
	for _, id := range candidates {
		if a.queried[id] && !a.allowed[id] {
			continue
		}
		for left := free[id]; unplaced > 0 && d.FitsIn(left); left = left.Sub(d) {
			unplaced--
		}
	}
	return unplaced == 0
}
