package standin

import (
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// soon is the delay of a crash without one in the specification.
	soon = 10 * time.Millisecond
	// maxCrashes and maxStartsAfter are the bounds of the rule BUDGET: a task is not
	// started maxStartsAfter times after maxCrashes workers have crashed under it.
	maxCrashes     = 3
	maxStartsAfter = 3
)

// taskCrashes counts crashes of workers on which a task ran, and its starts.
type taskCrashes struct{ crashes, starts, startsAfter int }

// crashDelay returns the delay after which a run crashes its worker.
func (r *stepRun) crashDelay() (time.Duration, bool) {
	if !r.has(SpecCrashes) {
		return 0, false
	}
	d, err := time.ParseDuration(r.word(SpecCrashes))
	if err != nil {
		return soon, true
	}
	return d, true
}

// countStart counts a start for the rule BUDGET.
func (w *StepWorker) countStart(k work.RunKey, r *stepRun) {
	c := w.set.crashed[k.Task]
	c.starts++
	if delay, ok := r.crashDelay(); ok {
		if c.crashes >= maxCrashes {
			c.startsAfter++
		}
		if c.startsAfter == maxStartsAfter {
			w.set.breach("BUDGET: job %s: run %v starts at %s: start %d after %d workers have crashed under the task", k.Task.Job, k, w.id, c.startsAfter, c.crashes)
		}
		born := w.born
		time.AfterFunc(delay, func() {
			w.crashIf(func() bool { return w.born.Equal(born) && w.runs[k] != nil })
		})
	}
	w.set.crashed[k.Task] = c
}

// Crashes returns the number of workers that have crashed while they ran a task.
func (s *Steps) Crashes(k work.TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[k].crashes
}

// TaskStarts returns the number of starts of a task.
func (s *Steps) TaskStarts(k work.TaskKey) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.crashed[k].starts
}

// Crash ends the worker's process with all its runs, until its rebirth.
func (w *StepWorker) Crash() { w.crashIf(func() bool { return true }) }

func (w *StepWorker) crashIf(condition func() bool) {
	w.set.mu.Lock()
	w.set.advance(time.Now())
	crashes := !w.down && condition()
	if crashes {
		w.countCrash()
		w.goDown("crash")
	}
	id := w.id
	w.set.mu.Unlock()
	if !crashes {
		return
	}
	w.reportDown(true)
	downtime, next := w.set.Rebirth(id)
	time.AfterFunc(downtime, func() { w.Begin(next) })
}

// countCrash counts a crash of the worker under the tasks that it runs. The caller holds
// the lock.
func (w *StepWorker) countCrash() {
	for k := range w.runs {
		c := w.set.crashed[k.Task]
		c.crashes++
		w.set.crashed[k.Task] = c
		w.observe(WorkerDown, k, "crash")
	}
}

// End ends the worker's process, with all its runs, and reports whether it was up. An
// end that the worker has not announced looks like a crash and counts as one.
func (w *StepWorker) End(announced bool) bool {
	w.set.mu.Lock()
	w.set.advance(time.Now())
	up := !w.down
	if up {
		if !announced {
			w.countCrash()
		}
		w.goDown("end")
	}
	w.set.mu.Unlock()
	if up {
		w.reportDown(true)
	}
	return up
}

// goDown ends the incarnation. The caller holds the lock.
func (w *StepWorker) goDown(why string) {
	w.observe(WorkerDown, work.RunKey{}, why)
	w.reset(time.Time{}) // so that calls in progress end with it
	w.down = true
}

// Begin begins a new incarnation of a worker that is down. Starts that were held are
// carried out first.
func (w *StepWorker) Begin(id string) {
	w.set.mu.Lock()
	if !w.down {
		w.set.mu.Unlock()
		return
	}
	w.id = id
	w.reset(time.Now())
	w.down, w.dark, w.closed = false, false, false
	w.observe(WorkerUp, work.RunKey{}, "")
	for _, carry := range w.waiting {
		carry()
	}
	w.waiting = nil
	w.set.mu.Unlock()
	w.reportDown(false)
}

func (w *StepWorker) reportDown(down bool) {
	if w.OnDown != nil {
		w.OnDown(down)
	}
}

// Restart begins a new incarnation under the same identifier, unless the worker is
// down. The end of the earlier one is not announced, so it counts as a crash.
func (w *StepWorker) Restart() {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	if w.down {
		return
	}
	w.set.advance(time.Now())
	w.countCrash()
	w.reset(time.Now())
	w.dark, w.closed = false, false
	w.observe(WorkerUp, work.RunKey{}, "restart")
}
