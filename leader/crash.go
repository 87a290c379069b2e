package leader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

// Least times from the crash of a worker until its agent reports it. Agents call their
// worker again 100 ms after a failed call.
const (
	// minSilence is the time until the worker is unresponsive, which takes three calls.
	minSilence = 150 * time.Millisecond
	// minAbsence is the time until its incarnation has ended, because nothing has listened
	// at its address for 400 ms.
	minAbsence = 350 * time.Millisecond
)

// observeSilence updates since when the worker is reported as unresponsive.
func (w *workerState) observeSilence(now time.Time) {
	switch {
	case !w.Unresponsive:
		w.silentSince, w.crashed = time.Time{}, false
	case w.silentSince.IsZero():
		w.silentSince = now
	}
}

// crashedBy returns a time by which a worker had crashed, given when that became known.
// It is at most about half a second after the crash.
func (w *workerState) crashedBy(known time.Time) time.Time {
	at := known.Add(-minAbsence)
	if silent := w.silentSince.Add(-minSilence); !w.silentSince.IsZero() && silent.Before(at) {
		at = silent
	}
	// Without its agent, the next incarnation is the first sign of the crash.
	if next := w.reportedAt.Add(control.ReportEvery); next.Before(at) {
		at = next
	}
	return at
}

// crashedRun is a run that was on a worker when it crashed.
type crashedRun struct {
	key       work.RunKey
	task      *work.Task
	age       time.Duration
	confirmed bool
}

// crashedRuns returns the runs that may have started on a worker before it crashed: those
// that it has reported, and those that were placed there in time for their start. They
// are in the order of their ages.
func (t *term) crashedRuns(w *workerState, at time.Time) []crashedRun {
	reported := make(map[work.RunKey]bool, len(w.running))
	for _, run := range w.running {
		reported[run.Key] = true
	}
	var runs []crashedRun
	for k, placedAt := range w.placedAt {
		s, task := t.task(k)
		if task == nil || task.Worker != w.Incarnation || task.Run != k.Run || !t.isCommitted(s, k, w.Incarnation) || (!reported[k] && placedAt.After(at)) {
			continue
		}
		runs = append(runs, crashedRun{k, task, max(0, at.Sub(placedAt)), reported[k]})
	}
	slices.SortFunc(runs, func(a, b crashedRun) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.key.Task.Job, b.key.Task.Job), cmp.Compare(a.key.String(), b.key.String()))
	})
	return runs
}

// recordCrash records the crash of a worker in the tasks whose runs were on it. The runs
// end afterwards, so that one commit has both.
func (t *term) recordCrash(w *workerState, now time.Time) {
	if w.crashed {
		return
	}
	w.crashed = true
	at := w.crashedBy(now)
	runs := t.crashedRuns(w, at)
	lines := make([]string, len(runs))
	for i, run := range runs {
		run.task.RecordCrash(work.Crash{Run: run.key.Run, Worker: w.Incarnation, Age: run.age, Confirmed: run.confirmed})
		t.jobs[run.key.Task.Job].dirty = true
		t.cfg.Meter.ObserveCrash(run.age)
		lines[i] = fmt.Sprintf("%s %v for %v, crashes %d", run.key.Task.Job, run.key, run.age.Round(time.Millisecond), len(run.task.Crashes))
		if !run.confirmed {
			lines[i] += ", not reported"
		}
	}
	event.LeaderWorkerCrashed.Log(t.cfg.Log).Str("Worker", w.Incarnation).Str("Agent", w.agent).Str("Domain", w.Domain).
		Dur("Since", now.Sub(at)).Strs("Runs", lines).Uint64("Epoch", t.rec.Epoch).Send()
}

// markLeaving marks the worker on a machine that was ordered to go down: its end is no
// crash.
func (t *term) markLeaving(m work.Machine) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if w := t.workerOn(m); w != nil {
		w.leaving = true
	}
}
