package leader

import (
	"maps"
	"time"

	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/work"
)

// runEnd is the latest end of a run of a task that did not complete the task.
type runEnd struct {
	run     int
	worker  string
	outcome work.Outcome
	cause   string // why a run without a reported end counts as ended
	at      time.Time
}

// causeEnded is the cause of an end with an incarnation that its agent reports as ended.
const causeEnded = "ended"

// recordEnd records the end of a run in this term.
func (s *jobState) recordEnd(k work.RunKey, worker string, outcome work.Outcome, now time.Time) {
	if outcome == work.OutcomeDone {
		return
	}
	if s.ends == nil {
		s.ends = make(map[work.TaskKey]runEnd)
	}
	s.ends[k.Task] = runEnd{run: k.Run, worker: worker, outcome: outcome, at: now}
}

// recordCause adds the cause to the recorded end of a run.
func (t *term) recordCause(k work.RunKey, cause string) {
	s, ok := t.jobs[k.Task.Job]
	if !ok {
		return
	}
	if e, ok := s.ends[k.Task]; ok && e.run == k.Run {
		e.cause = cause
		s.ends[k.Task] = e
	}
}

// applyStrays makes the reported runs that are not placed on a worker its orphans, and
// logs each once. An agent reports the list of its worker's last reply. If the worker does
// not respond, a run in it may have ended, until its status has changed.
func (t *term) applyStrays(w *workerState, strays []work.RunStatus, now time.Time) {
	known := maps.Clone(w.orphans)
	clear(w.orphans)
	for _, run := range strays {
		w.orphans[run.Key] = true
		if !known[run.Key] {
			t.describeStray(event.LeaderStray.Log(t.cfg.Log), w, run.Key, now).Int("Percent", run.Percent).Send()
		}
		if w.Unresponsive || w.LeasesLapsed {
			w.outdated[run.Key] = run
		}
		if _, task := t.task(run.Key); task != nil && task.Placed() && w.outdated[run.Key] != run && !w.overlaps[run.Key] {
			w.overlaps[run.Key] = true
			t.describeStray(event.LeaderRunsOverlap.Log(t.cfg.Log), w, run.Key, now).Int("Percent", run.Percent).Send()
		}
	}
	maps.DeleteFunc(w.overlaps, func(k work.RunKey, _ bool) bool { return !w.orphans[k] })
	maps.DeleteFunc(w.outdated, func(k work.RunKey, _ work.RunStatus) bool { return !w.orphans[k] })
}

// strayTasks returns the tasks of which workers report runs that are not placed there.
// The list of a worker whose leases have lapsed is that of its last reply.
func (t *term) strayTasks() map[work.TaskKey]bool {
	strays := make(map[work.TaskKey]bool)
	for _, w := range t.workers {
		if w.LeasesLapsed {
			continue
		}
		for k := range w.orphans {
			strays[k.Task] = true
		}
	}
	return strays
}

// endLate applies the reported end of a run that is not the present one of its task. An
// end as done is acknowledged like any other, so the task counts as done, and a later run
// is stopped.
func (t *term) endLate(s *jobState, worker string, k work.RunKey, outcome work.Outcome, now time.Time) {
	applied := outcome == work.OutcomeDone && s.progress.EndLate(s.job, k, time.Now())
	t.logLateEnd(worker, k, outcome, applied, now)
	if !applied {
		return
	}
	s.dirty = true
	if s.progress.State.Final() {
		t.stopEndedJob(s)
		return
	}
	if s.job.Steps[k.Task.Step].Gang {
		t.stopGang(s, k.Task, taskDone)
	} else if task := s.progress.Task(s.job, k.Task); task.Placed() {
		t.stop(work.RunKey{Task: k.Task, Run: task.Run}, task, taskDone)
	}
}

const taskDone = "the task is done"

// stopDone stops the runs of tasks that are done by an earlier run or, in a gang, by
// another member. An earlier leader may have been about to stop them.
func (t *term) stopDone(s *jobState) {
	forEachTask(s, func(k work.TaskKey, task *work.Task) {
		if task.Done && task.Placed() {
			t.stop(work.RunKey{Task: k, Run: task.Run}, task, taskDone)
		}
	})
}

// logLateEnd logs the reported end of a run that is not the present one of its task, if
// it shows that the task was done, or that a run was in progress that counted as refused
// or as gone with its worker. A run whose lease has lapsed may have ended before.
// Ends that an earlier leader has recorded are reported again and are not logged.
func (t *term) logLateEnd(worker string, k work.RunKey, outcome work.Outcome, applied bool, now time.Time) {
	w := t.workers[worker]
	if w == nil {
		return // the runs of a worker that has ended; nothing was reported
	}
	s, task := t.task(k)
	if outcome == work.OutcomeDone && (task == nil || applied || !task.Done && !s.job.Steps[k.Task.Step].LongRunning) {
		t.describeStray(event.LeaderLateEnd.Log(t.cfg.Log), w, k, now).Bool("Applied", applied).Send()
	}
	if task == nil || !task.Placed() {
		return
	}
	e := s.ends[k.Task]
	assumed := e.run == k.Run && (e.outcome == work.OutcomeRefused || e.cause == causeEnded)
	if assumed && outcome != work.OutcomeLeaseLapsed && outcome != work.OutcomeStopped {
		t.describeStray(event.LeaderRunsOverlap.Log(t.cfg.Log), w, k, now).Str("How", string(outcome)).Send()
	}
}

// describeStray adds what the leader knows about a run that is not the present one of its
// task: the present run, and why an earlier one counts as ended.
func (t *term) describeStray(line *zerolog.Event, w *workerState, k work.RunKey, now time.Time) *zerolog.Event {
	line = line.Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", w.Incarnation).Uint64("Epoch", t.rec.Epoch).Dur("SinceElection", now.Sub(t.elected)).
		Bool("Draining", w.Draining).Bool("Unresponsive", w.Unresponsive).Bool("LeasesLapsed", w.LeasesLapsed)
	s, task := t.task(k)
	if task == nil {
		return line.Bool("Known", false)
	}
	line = line.Int("PresentRun", task.Run).Str("PresentWorker", task.Worker).Bool("Stopping", task.Stopping).Bool("TaskDone", task.Done).Str("JobState", string(s.progress.State))
	if present := t.workers[task.Worker]; present != nil {
		key := work.RunKey{Task: k.Task, Run: task.Run}
		running := work.ListsRun(present.running, key)
		line = line.Dur("PlacedAgo", now.Sub(present.placedAt[key])).Bool("PresentRunning", running)
	}
	if e, ok := s.ends[k.Task]; ok {
		line = line.Int("EndedRun", e.run).Str("EndedWorker", e.worker).Str("EndedAs", string(e.outcome)).Str("EndCause", e.cause).Dur("EndedAgo", now.Sub(e.at))
	}
	return line
}
