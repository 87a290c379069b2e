package leader

import (
	"cmp"
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/speed"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// A run counts as stalled once it has made no progress for both minStallTime and
	// stallFactor times its average time per percent. A run of hours needs a minute for
	// one percent.
	minStallTime = 1500 * time.Millisecond
	stallFactor  = 8
	// estimateFactor multiplies declared durations, which may be far too low.
	estimateFactor = 4
	// defaultEstimate is the duration of a task that declares none.
	defaultEstimate = 30 * time.Second
	// maxEstimate bounds the declared duration that a run without progress is given time for.
	maxEstimate = 30 * 24 * time.Hour
	// maxDoublings bounds the doublings of that time. It allows for a task of two days that
	// declares a second.
	maxDoublings = 10
	// gapFactor multiplies the longest time between two rises so far: a percentage may rise
	// in large steps, or be read once a second.
	gapFactor = 2
	// maxInheritedPause bounds the time that an inherited run without a declared duration is
	// given.
	maxInheritedPause = time.Minute
)

// tracker tracks the progress of a run.
//
// The speed of a run is measured from a rise of its percentage, or from its start. A run
// that resumes shows its saved progress some time after its first report, and a run that
// an earlier leader has placed is first reported anywhere between two rises. In both
// cases, the first rise shows nothing about the speed and only begins the measurement.
type tracker struct {
	startedAt    time.Time // begin of the measurement: time of the first report, or of the first rise
	firstPercent int       // progress at startedAt
	percent      int
	progressedAt time.Time     // when percent last rose
	forecastEnd  time.Time     // set once the run is expected to end soon
	stalls       int           // earlier runs of the task that were stopped without progress
	midway       bool          // the measurement begins with the next rise
	inherited    bool          // an earlier leader has placed the run
	seenAt       time.Time     // time of the first report
	workedBefore time.Duration // working time before startedAt, as far as known
	risen        bool          // the progress has risen since the first report
	longestPace  time.Duration // time per percent since its job was accepted, at the first report of an inherited run
	rises        int           // since startedAt
	longestGap   time.Duration // between two rises, and between startedAt and the first one
	sampler      speed.Sampler
	slowest      float64 // long-term speed of the slowest worker of its gang, or of its own worker
}

// observe records the progress of the run.
func (p *tracker) observe(percent int, now time.Time) {
	if p.startedAt.IsZero() {
		p.seenAt, p.startedAt, p.firstPercent, p.percent, p.progressedAt = now, now, percent, percent, now
		return
	}
	if percent <= p.percent {
		return
	}
	p.risen = true
	if p.midway {
		p.workedBefore += now.Sub(p.startedAt)
		p.startedAt, p.firstPercent, p.percent, p.progressedAt, p.midway = now, percent, percent, now, false
		return
	}
	p.rises++
	p.longestGap = max(p.longestGap, now.Sub(p.progressedAt))
	p.percent, p.progressedAt = percent, now
}

// hasProgressed reports whether the progress has risen since the measurement began.
func (p *tracker) hasProgressed() bool { return p.percent > p.firstPercent }

// hasWorked reports whether the run has worked, rather than waited for other members of
// its gang since its start.
func (p *tracker) hasWorked() bool {
	return p.risen || (p.inherited && p.percent > 0)
}

// maxPause returns the longest time between two rises of the progress that the speed of
// the run explains. The first rises may be far apart from the average, so the estimate
// counts as well, and half as much with each further rise. Before any progress, only the
// estimate is known, which may be missing or wrong by any factor, so each earlier run that
// was stopped doubles the time.
func (p *tracker) maxPause(estimate time.Duration) time.Duration {
	if p.hasProgressed() {
		average := p.progressedAt.Sub(p.startedAt) / time.Duration(p.percent-p.firstPercent)
		expected := min(estimate, maxEstimate) / completePercent >> min(p.rises-1, maxDoublings)
		return max(minStallTime, stallFactor*average, stallFactor*expected, gapFactor*p.longestGap)
	}
	if estimate == 0 && p.longestPace > 0 {
		return min(max(minStallTime, stallFactor*p.longestPace), maxInheritedPause) << min(p.stalls, maxDoublings)
	}
	pause := max(minStallTime, stallFactor*estimateFactor*min(cmp.Or(estimate, defaultEstimate), maxEstimate)/100)
	return pause << min(p.stalls, maxDoublings)
}

// stalledFor returns how long the run has made no progress, or 0 if that is within what
// its speed explains.
func (p *tracker) stalledFor(estimate time.Duration, now time.Time) time.Duration {
	if p.percent >= completePercent {
		return 0 // it waits for the other members of its gang
	}
	since := now.Sub(p.progressedAt)
	if since < p.maxPause(estimate) {
		return 0
	}
	return since
}

// unsavedWork returns the working time that is lost if the run is stopped.
func (p *tracker) unsavedWork(checkpointing bool) time.Duration {
	if checkpointing {
		return 0 // the run saves a checkpoint when it is stopped
	}
	return p.workedBefore + p.progressedAt.Sub(p.startedAt)
}

// endsWithin reports whether the run is expected to end within d, for which its speed
// must be known. The first such forecast is kept: once it has passed, the run is not
// expected to end soon any more.
func (p *tracker) endsWithin(d, estimate time.Duration, now time.Time) bool {
	if !p.forecastEnd.IsZero() {
		return now.Before(p.forecastEnd)
	}
	if p.percent-p.firstPercent < minMeasuredPercent || p.stalledFor(estimate, now) > 0 || p.remaining(estimate, now) > d {
		return false
	}
	p.forecastEnd = now.Add(d)
	return true
}

// completePercent is the progress of a run that has done its work.
const completePercent = 100

// minMeasuredPercent is the progress since the first report from which the speed of a run
// is known.
const minMeasuredPercent = 3

// remaining estimates the time until the run is done.
func (p *tracker) remaining(estimate time.Duration, now time.Time) time.Duration {
	if n := p.percent - p.firstPercent; n >= minMeasuredPercent {
		return time.Duration(100-p.percent) * now.Sub(p.startedAt) / time.Duration(n)
	}
	return max(0, estimate-now.Sub(p.startedAt))
}

// trackRun updates the progress of a run. A stalled run is stopped once it has stalled
// for longer than a new start would take to repeat its unsaved work.
func (t *term) trackRun(w *workerState, run work.RunStatus, now time.Time) {
	s, task := t.task(run.Key)
	step := s.job.Steps[run.Key.Task.Step]
	if step.LongRunning || step.BestEffort {
		return
	}
	p := w.trackers[run.Key]
	if p == nil {
		p = t.newTracker(w, run, step, task, now)
		w.trackers[run.Key] = p
	}
	p.observe(run.Percent, now)
	t.sampleSpeed(s, w, run, p, now)
	if step.Gang && !p.hasWorked() && !t.allMembersSeen(s, run.Key) {
		p.progressedAt = now // waiting for other members is not a fault of the worker
		if now.Sub(p.seenAt) > t.cfg.gangTimeout() && !task.Stopping {
			t.stopGang(s, run.Key.Task, "a gang member has not started in time")
		}
		return
	}
	stalled := p.stalledFor(t.stepDuration(s.job, run.Key.Task.Step), now)
	if stalled == 0 || task.Stopping {
		return
	}
	if p.hasProgressed() || task.Stalls == 0 {
		// Otherwise the task may be slower than it declares, on any worker.
		t.avoid(w, fmt.Sprintf("run stalled at %d percent", run.Percent), now)
	}
	if stalled > p.unsavedWork(step.Checkpointing) {
		if !p.hasProgressed() {
			recordStall(s, run.Key.Task)
		}
		t.stopRun(s, run.Key, "the run has stalled")
	}
}

// newTracker returns the tracker of a run that is reported for the first time.
func (t *term) newTracker(w *workerState, run work.RunStatus, step work.Step, task *work.Task, now time.Time) *tracker {
	p := &tracker{stalls: task.Stalls, midway: task.Checkpoint != ""}
	if w.placedAt[run.Key].Equal(t.elected) {
		// An earlier leader has placed the run; its progress indicates when it started.
		p.midway, p.inherited = true, true
		p.workedBefore = step.Estimate * time.Duration(run.Percent) / completePercent
		w.placedAt[run.Key] = now.Add(-p.workedBefore)
		if run.Percent > 0 {
			p.longestPace = min(time.Since(queuedSince(t.jobs[run.Key.Task.Job].job, run.Key.Task.Occurrence)), maxEstimate) / time.Duration(run.Percent)
		}
	}
	return p
}

// recordStall counts a run that is stopped without progress, for all members of a gang.
func recordStall(s *jobState, k work.TaskKey) {
	s.dirty = true
	if !s.job.Steps[k.Step].Gang {
		s.progress.Task(s.job, k).Stalls++
		return
	}
	members := s.progress.Step(s.job, k.Occurrence, k.Step)
	for i := range members {
		members[i].Stalls++
	}
}

// stopRun stops a run together with the other members of its gang.
func (t *term) stopRun(s *jobState, k work.RunKey, reason string) {
	if !s.job.Steps[k.Task.Step].Gang {
		t.stop(k, s.progress.Task(s.job, k.Task), reason)
		return
	}
	t.stopGang(s, k.Task, reason)
}

// drainMargin is the least time between the expected end of a run and the shutdown of its
// worker.
const drainMargin = 300 * time.Millisecond

// drainWorker stops the runs that will not be done before their draining worker shuts
// down, so that they restart elsewhere sooner, from a checkpoint if they save one.
func (t *term) drainWorker(w *workerState, now time.Time) {
	if !w.Draining {
		return
	}
	for k := range w.placedAt {
		s, task := t.placedRun(w, k)
		if task == nil || task.Stopping {
			continue
		}
		step := s.job.Steps[k.Task.Step]
		if step.LongRunning || t.remainingTime(s, k.Task, now)+drainMargin > w.Remaining {
			t.stopRun(s, k, "its worker is draining")
		}
	}
}

// remainingTime estimates the time until the run of a task is done. Members of a gang are
// done when the slowest one is.
func (t *term) remainingTime(s *jobState, k work.TaskKey, now time.Time) time.Duration {
	step := s.job.Steps[k.Step]
	if !step.Gang {
		return t.runRemainingTime(s, k, now)
	}
	var longest time.Duration
	for i := range step.Count {
		k.Index = i
		longest = max(longest, t.runRemainingTime(s, k, now))
	}
	return longest
}

func (t *term) runRemainingTime(s *jobState, k work.TaskKey, now time.Time) time.Duration {
	estimate := s.job.Steps[k.Step].Estimate
	task := s.progress.Task(s.job, k)
	if w := t.workers[task.Worker]; w != nil {
		if p := w.trackers[work.RunKey{Task: k, Run: task.Run}]; p != nil {
			return p.remaining(time.Duration(float64(estimate)/cmp.Or(p.slowest, 1)), now)
		}
	}
	return estimate
}
