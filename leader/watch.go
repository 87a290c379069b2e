package leader

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// stallAtLeast is the time without progress after which a run counts as
	// stalled, and stallSteps the number of average steps of one percent: a run
	// of hours makes a percent in a minute.
	stallAtLeast = 1500 * time.Millisecond
	stallSteps   = 8
	// estimateSlack allows for estimates that are far too low.
	estimateSlack = 4
)

// tracker follows the progress of a run.
type tracker struct {
	began   time.Time // first report of the run
	first   int       // percent then
	percent int
	moved   time.Time // when percent last rose
	ends    time.Time // when the run is expected to have ended, once that is near
}

// observe takes a report of the run's progress.
func (p *tracker) observe(percent int, now time.Time) {
	if p.began.IsZero() {
		p.began, p.first, p.percent, p.moved = now, percent, percent, now
		return
	}
	if percent > p.percent {
		p.percent, p.moved = percent, now
	}
}

// perPercent is the average time of a percent, or the declared one before any
// progress.
func (p *tracker) perPercent(estimate time.Duration) time.Duration {
	if n := p.percent - p.first; n > 0 {
		return p.moved.Sub(p.began) / time.Duration(n)
	}
	return estimateSlack * estimate / 100
}

// stalled returns how long the run has made no progress, or 0 if that is
// within what its speed explains.
func (p *tracker) stalled(estimate time.Duration, now time.Time) time.Duration {
	if p.percent >= wholePercent {
		return 0 // it waits for the other members of its gang
	}
	since := now.Sub(p.moved)
	if since < stallAtLeast || since < stallSteps*p.perPercent(estimate) {
		return 0
	}
	return since
}

// unsaved is the time of work that is lost if the run is stopped.
func (p *tracker) unsaved(checkpointing bool) time.Duration {
	if checkpointing {
		return 0 // a stop makes a checkpoint
	}
	return p.moved.Sub(p.began)
}

// endsWithin reports whether the run will have ended after d. Its speed must be
// known for that. The first such forecast holds: once it has passed, the run is
// not expected to end any more.
func (p *tracker) endsWithin(d, estimate time.Duration, now time.Time) bool {
	if !p.ends.IsZero() {
		return now.Before(p.ends)
	}
	if p.percent-p.first < knownPercent || p.stalled(estimate, now) > 0 || p.left(estimate, now) > d {
		return false
	}
	p.ends = now.Add(d)
	return true
}

// wholePercent is the progress of a run that has done its part.
const wholePercent = 100

// knownPercent is the progress after which the speed of a run counts as known.
const knownPercent = 3

// left estimates the time until the run is done.
func (p *tracker) left(estimate time.Duration, now time.Time) time.Duration {
	if n := p.percent - p.first; n >= knownPercent {
		return time.Duration(100-p.percent) * now.Sub(p.began) / time.Duration(n)
	}
	return max(0, estimate-now.Sub(p.began))
}

// watchRun looks at the progress of a run. A run that stands still is stopped
// once it has stood for longer than the work that a new start repeats.
func (t *term) watchRun(w *workerState, run work.RunStatus, now time.Time) {
	s, task := t.task(run.Key)
	step := s.job.Steps[run.Key.Task.Step]
	if step.LongRunning || step.BestEffort {
		return
	}
	p := w.trackers[run.Key]
	if p == nil {
		p = &tracker{}
		w.trackers[run.Key] = p
		if w.placed[run.Key].Equal(t.elected) {
			// An earlier leader has placed it: its progress tells how long ago.
			w.placed[run.Key] = now.Add(-step.Estimate * time.Duration(run.Percent) / wholePercent)
		}
	}
	p.observe(run.Percent, now)
	if step.Gang && p.percent == p.first && !t.isWhole(s, run.Key) {
		p.moved = now // it waits, which is not its worker's fault
		if now.Sub(p.began) > t.cfg.gangPatience() && !task.Stopping {
			t.stopGang(s, run.Key.Task, "a member does not come")
		}
		return
	}
	stalled := p.stalled(step.Estimate, now)
	if stalled == 0 || task.Stopping {
		return
	}
	t.avoid(w, fmt.Sprintf("a run stands still at %d percent", run.Percent), now)
	if stalled > p.unsaved(step.Checkpointing) {
		t.stopRun(s, run.Key, "it stands still")
	}
}

// stopRun stops a run, with the other members of its gang.
func (t *term) stopRun(s *jobState, k work.RunKey, why string) {
	if !s.job.Steps[k.Task.Step].Gang {
		t.stop(k, s.progress.Task(s.job, k.Task), why)
		return
	}
	t.stopGang(s, k.Task, why)
}

// leaveMargin is kept between the end of a run and the least time until its
// worker leaves.
const leaveMargin = 300 * time.Millisecond

// leaveWorker stops the runs that will not be done before their worker leaves,
// so that they begin elsewhere sooner, from a checkpoint if they make one.
func (t *term) leaveWorker(w *workerState, now time.Time) {
	if !w.Draining {
		return
	}
	for k := range w.placed {
		s, task := t.task(k)
		if task == nil || task.Worker != w.Incarnation || task.Run != k.Run || task.Stopping {
			continue
		}
		step := s.job.Steps[k.Task.Step]
		if step.LongRunning || t.timeLeft(s, k.Task, now)+leaveMargin > w.Remaining {
			t.stopRun(s, k, "its worker is leaving")
		}
	}
}

// timeLeft estimates the time until the run of a task is done. The members of a
// gang are done when the slowest one is.
func (t *term) timeLeft(s *jobState, k work.TaskKey, now time.Time) time.Duration {
	step := s.job.Steps[k.Step]
	if !step.Gang {
		return t.runLeft(s, k, now)
	}
	var longest time.Duration
	for i := range step.Count {
		k.Index = i
		longest = max(longest, t.runLeft(s, k, now))
	}
	return longest
}

func (t *term) runLeft(s *jobState, k work.TaskKey, now time.Time) time.Duration {
	estimate := s.job.Steps[k.Step].Estimate
	task := s.progress.Task(s.job, k)
	if w := t.workers[task.Worker]; w != nil {
		if p := w.trackers[work.RunKey{Task: k, Run: task.Run}]; p != nil {
			return p.left(estimate, now)
		}
	}
	return estimate
}
