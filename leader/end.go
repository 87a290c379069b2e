package leader

import (
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

// applyEnds applies the ends of runs that the worker reports.
func (t *term) applyEnds(w *workerState, r control.Report, now time.Time) {
	for _, e := range r.Ended {
		if e.Seq <= w.appliedSeq {
			continue
		}
		w.appliedSeq = e.Seq
		t.endRun(w.Incarnation, e.Key, e.Outcome, e.Checkpoint, now)
	}
}

// endRun applies the end of a run.
func (t *term) endRun(worker string, k work.RunKey, outcome work.Outcome, checkpoint string, now time.Time) {
	s, task := t.task(k)
	var ended endedRun
	if w := t.workers[worker]; w != nil {
		ended = w.endedRun(k)
		if placedAt, ok := w.placedAt[k]; ok && task != nil && outcome == work.OutcomeDone {
			took := now.Sub(placedAt)
			t.runDurations[s.job.Queue] = t.runDurations[s.job.Queue].add(w.usualDuration(k, took))
			t.sampleDuration(s, w, k, took, now)
		}
		delete(w.placedAt, k)
		delete(w.orphans, k)
		delete(w.trackers, k)
		delete(w.stopRequestedAt, k)
	}
	if task == nil {
		t.logLateEnd(worker, k, outcome, false, now)
		return
	}
	stopped := task.Stopping
	if !s.progress.End(s.job, k, worker, outcome, checkpoint, time.Now()) {
		t.endLate(s, worker, k, outcome, now)
		return
	}
	s.dirty = true
	s.recordEnd(k, worker, outcome, now)
	if w := t.workers[worker]; w != nil && !stopped {
		t.recordOutcome(w, k, outcome, now)
		t.recordEvidence(w, k, outcome, ended, now)
	}
	event.LeaderRunEnded.Log(t.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", worker).Str("How", string(outcome)).Int("Fails", task.Failures).Int("Crashes", len(task.Crashes)).Send()
	if s.progress.State.Final() {
		t.stopEndedJob(s)
		return
	}
	if step := s.job.Steps[k.Task.Step]; step.Gang && outcome != work.OutcomeDone && !t.awaitsReplacement(s, k, outcome, now) {
		t.stopGang(s, k.Task, "another gang member has ended")
	}
}

// stopGang stops the placed members of a gang.
func (t *term) stopGang(s *jobState, k work.TaskKey, reason string) {
	members := s.progress.Step(s.job, k.Occurrence, k.Step)
	for i := range members {
		if members[i].Placed() {
			k.Index = i
			t.stop(work.RunKey{Task: k, Run: members[i].Run}, &members[i], reason)
		}
	}
}

// expireWorkers ends the incarnations whose leases have lapsed without a report.
func (t *term) expireWorkers(now time.Time) {
	for id, w := range t.workers {
		if now.Sub(w.reportedAt) > control.LapsedAfter() {
			if w.NoListener {
				t.recordCrash(w, now)
			}
			t.endIncarnation(id, "no report within the lease", now)
		}
	}
}

// maxEndedIncarnations bounds the number of ended incarnations that are remembered.
const maxEndedIncarnations = 4096

// endIncarnation removes an incarnation and ends its runs.
func (t *term) endIncarnation(id, reason string, now time.Time) {
	if t.endedIncarnations[id] {
		return
	}
	if len(t.endedIncarnations) >= maxEndedIncarnations {
		clear(t.endedIncarnations) // an end reported again is then applied again, but finds no runs
	}
	t.endedIncarnations[id] = true
	if w, ok := t.workers[id]; ok {
		event.LeaderWorkerLost.Log(t.cfg.Log).Str("Worker", id).Str("Agent", w.agent).Str("Why", reason).Send()
	}
	t.endAllRuns(id, reason, now)
	delete(t.workers, id)
	t.speeds.Forget(id)
}

// endLapsedRuns applies the loss of the runs of a worker whose leases have all lapsed. A
// run that it does not list may still begin, because its order may be on its way to the
// agent. No more orders are sent meanwhile, and the agent drops that one after
// control.OrderMaxAge.
func (t *term) endLapsedRuns(w *workerState, now time.Time) {
	if !w.LeasesLapsed {
		w.lapsedSince = time.Time{}
		return
	}
	if w.lapsedSince.IsZero() {
		w.lapsedSince = now
	}
	t.endRuns(w.Incarnation, "all leases have lapsed", now, func(k work.RunKey) bool {
		return now.Sub(w.lapsedSince) > control.OrderMaxAge || work.ListsRun(w.running, k)
	})
}

// endAllRuns applies the loss of all runs of an incarnation.
func (t *term) endAllRuns(id, cause string, now time.Time) {
	t.endRuns(id, cause, now, func(work.RunKey) bool { return true })
}

// endRuns applies the loss of those runs of an incarnation that are lost.
func (t *term) endRuns(id, cause string, now time.Time, isLost func(work.RunKey) bool) {
	var lost []work.RunKey
	for _, s := range t.jobs {
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if run := (work.RunKey{Task: k, Run: task.Run}); task.Worker == id && isLost(run) {
				lost = append(lost, run)
			}
		})
	}
	for _, k := range lost {
		t.endRun(id, k, work.OutcomeWorkerLost, "", now)
		t.recordCause(k, cause)
	}
}
