package leader

import (
	"fmt"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/soundness"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// maxWithheldTime is the time for which a unit waits for workers that are likelier to be
	// sound, from the first pass in which it would fit without. Users take a job for lost
	// after 3 s, in which it may also wait for a rack.
	maxWithheldTime = 800 * time.Millisecond
	// maxGuaranteedWithheldTime is the same within a guarantee, whose units have to start
	// within 2.7 s of their submission, also after runs have been stopped for them.
	maxGuaranteedWithheldTime = 400 * time.Millisecond
	// maxLastAttemptRisk is the risk that a last attempt does not take at once: a job that
	// fails costs its users more than ten late ones, so that a wait that makes the job late
	// costs less than this risk.
	maxLastAttemptRisk = 0.2
	// earlyPercent is the progress below which a failure may be early.
	earlyPercent = 10
	// earlyAge is the age of a run up to which its failure is early, whatever its declared
	// duration. It allows for the time of the order and of the report.
	earlyAge = 500 * time.Millisecond
)

// endedRun is what the leader knows about a run when it ends.
type endedRun struct {
	placedAt time.Time // zero if the run is not known on the worker
	progress int       // percent since its first report
}

// endedRun returns what is known about a run, before it is removed from the worker.
func (w *workerState) endedRun(k work.RunKey) endedRun {
	e := endedRun{placedAt: w.placedAt[k]}
	if p := w.trackers[k]; p != nil {
		e.progress = p.percent - p.firstPercent
	}
	return e
}

// recordEvidence updates the record of a worker at the end of a run that was not stopped.
// It follows recordOutcome, which updates the workers on which the job has failed. After a
// failure the step is withheld from suspect workers anew: otherwise its tasks start on the
// failing worker as often as they fail, and use up their attempts.
func (t *term) recordEvidence(w *workerState, k work.RunKey, outcome work.Outcome, e endedRun, now time.Time) {
	h, s := &w.health, t.jobs[k.Task.Job]
	if outcome == work.OutcomeFailed {
		delete(t.withheldSince, keyOfStep(k.Task))
	}
	switch {
	case outcome == work.OutcomeDone && !e.placedAt.Equal(t.elected):
		h.prove(e.placedAt, k, "is done")
	case outcome == work.OutcomeFailed && len(s.failedOn) > workersToBlameJob:
		for _, other := range t.workers {
			other.health.retract(k.Task.Job)
		}
	case outcome == work.OutcomeFailed:
		f := soundness.Failure{
			Job: k.Task.Job, At: now, FailedElsewhere: max(0, len(s.failedOn)-1),
			Early:    e.progress < earlyPercent && now.Sub(e.placedAt) < max(earlyAge, t.stepDuration(s.job, k.Task.Step)/10),
			Contrast: t.worksElsewhere(s, k, w.Incarnation),
		}
		h.record.Fail(f)
		h.evidence = fmt.Sprintf("run %v of %s failed %d ms after its placement; early: %t, others work: %t, failed on other workers: %d",
			k, k.Task.Job, now.Sub(e.placedAt).Milliseconds(), f.Early, f.Contrast, f.FailedElsewhere)
	}
}

// worksElsewhere reports whether other tasks of the step of a run work on other workers or
// are done.
func (t *term) worksElsewhere(s *jobState, k work.RunKey, worker string) bool {
	tasks := s.progress.Step(s.job, k.Task.Occurrence, k.Task.Step)
	for i := range tasks {
		task := &tasks[i]
		switch {
		case i == k.Task.Index || task.Worker == worker:
		case task.Done, task.Placed() && !task.Stopping && s.job.Steps[k.Task.Step].Gang:
			return true
		case task.Placed() && !task.Stopping && task.Percent > 0:
			return true
		}
	}
	return false
}

// observeWorkingRun takes a run that is reported to work as evidence that its worker was
// sound when it started. The members of a gang that wait for others show nothing.
func (t *term) observeWorkingRun(w *workerState, s *jobState, k work.RunKey, now time.Time) {
	placedAt, ok := w.placedAt[k]
	if !ok || placedAt.Equal(t.elected) || now.Sub(placedAt) < soundness.ProofAge {
		return
	}
	p := w.trackers[k]
	if s.job.Steps[k.Task.Step].Gang && (p == nil || !p.risen) {
		return
	}
	if p != nil && now.Sub(p.startedAt) < soundness.ProofAge/2 {
		return // the order has arrived late
	}
	w.health.prove(placedAt, k, "works")
}

// prove records that a run which was placed at the given time has worked.
func (h *health) prove(placedAt time.Time, k work.RunKey, how string) {
	failed := h.record.HasFailures()
	h.record.Prove(placedAt)
	if failed && !h.record.HasFailures() {
		h.acquittal = fmt.Sprintf("run %v of %s, which was placed since, %s", k, k.Task.Job, how)
	}
}

// retract removes the failures of a job that fails wherever it starts.
func (h *health) retract(job string) {
	failed := h.record.HasFailures()
	h.record.Retract(job)
	if failed && !h.record.HasFailures() {
		h.acquittal = job + " fails on other workers as well"
	}
}

// updateSoundness estimates how probable it is that each worker fails the next run, and
// logs which workers have become suspect or are not any more.
func (t *term) updateSoundness(now time.Time) {
	records := make([]*soundness.Record, 0, len(t.workers))
	for _, w := range t.workers {
		if w.attached {
			records = append(records, &w.health.record)
		}
	}
	spell := soundness.FindSpell(records, now)
	t.riskRaised = spell.Active()
	for _, w := range t.workers {
		h := &w.health
		h.risk = h.record.Risk(spell, now)
		t.riskRaised = t.riskRaised || h.record.HasFailures()
		if suspect := h.risk > soundness.SuspectRisk; suspect != h.suspect {
			h.suspect = suspect
			t.logSuspicion(w)
		}
	}
}

func (t *term) logSuspicion(w *workerState) {
	h := &w.health
	if h.suspect {
		event.LeaderWorkerSuspect.Log(t.cfg.Log).Str("Worker", w.Incarnation).Float64("Risk", h.risk).Str("Why", h.evidence).Send()
		return
	}
	why := h.acquittal
	if h.record.HasFailures() {
		why = "no failure for some time"
	}
	event.LeaderWorkerCleared.Log(t.cfg.Log).Str("Worker", w.Incarnation).Float64("Risk", h.risk).Str("Why", why).Send()
}

// isProbing reports whether a run that was placed on the worker since its last failure has
// not shown yet whether it works.
func (t *term) isProbing(w *workerState) bool {
	if !w.health.suspect {
		return false
	}
	for k, placedAt := range w.placedAt {
		if _, task := t.placedRun(w, k); task != nil && !task.Stopping && placedAt.After(w.health.record.LastFailure()) {
			return true
		}
	}
	return false
}

// setRisk sets which risk a unit takes. A last attempt takes little for all its members
// together. Several tasks that start together take no suspect worker, and neither does a
// task that has failed; single tasks with attempts to spare may probe one.
func (t *term) setRisk(u *schedule.Unit, failures int) {
	last := u.Job.MaxAttempts-failures <= 1
	u.Failed = failures > 0
	u.Careful = u.Failed || (last && t.riskRaised)
	u.AcceptsSuspects = u.CompletesGang || u.MustStartNow
	switch {
	case last:
		u.MaxRisk = max(maxLastAttemptRisk/float64(len(u.Indexes)), 2*soundness.BaseRisk)
	case u.Failed || len(u.Indexes) > 1:
		u.MaxRisk = soundness.SuspectRisk
	}
}

// endWithholding lets units that have been withheld from risky workers for long enough
// start on any worker.
func (t *term) endWithholding(units []*schedule.Unit, now time.Time) {
	withheld := make(map[stepKey]time.Time, len(t.withheldSince))
	for _, u := range units {
		key := keyOfUnit(u)
		since, ok := t.withheldSince[key]
		if !ok {
			continue
		}
		withheld[key] = since
		limit := maxWithheldTime
		if u.Guaranteed {
			limit = maxGuaranteedWithheldTime
		}
		u.AcceptsSuspects = u.AcceptsSuspects || now.Sub(since) >= limit
	}
	t.withheldSince = withheld
}

// observeWithheld records since when steps have units that would have started on workers
// which were too risky for them.
func (t *term) observeWithheld(withheld []schedule.StepKey, now time.Time) {
	for _, k := range withheld {
		key := stepKey{k.Job, k.Occurrence, k.Step}
		if _, ok := t.withheldSince[key]; !ok {
			t.withheldSince[key] = now
		}
	}
}
