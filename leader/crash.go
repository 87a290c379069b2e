package leader

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/crash"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/schedule"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// minAbsence is the least time from the crash of a worker until its agent reports that
// nothing listens at its address, which takes 400 ms and the time of a call.
const minAbsence = 350 * time.Millisecond

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
	if !w.silentSince.IsZero() && w.silentSince.Before(at) {
		at = w.silentSince
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
	var runs []crashedRun
	for k, placedAt := range w.placedAt {
		s, task := t.placedRun(w, k)
		if task == nil || !t.isCommitted(s, k, w.Incarnation) {
			continue
		}
		reported := work.ListsRun(w.running, k)
		if !reported && placedAt.After(at) && !t.isInherited(placedAt) {
			continue
		}
		runs = append(runs, crashedRun{k, task, max(0, at.Sub(placedAt)), reported})
	}
	slices.SortFunc(runs, func(a, b crashedRun) int {
		return cmp.Or(cmp.Compare(a.age, b.age), cmp.Compare(a.key.Task.Job, b.key.Task.Job), cmp.Compare(a.key.String(), b.key.String()))
	})
	return runs
}

// isInherited reports whether a run was placed by an earlier leader, so that it is not known
// when.
func (t *term) isInherited(placedAt time.Time) bool { return placedAt.Equal(t.elected) }

// recordCrash records the crash of a worker in the tasks whose runs were on it. The runs
// end afterwards, so that one commit has both.
func (t *term) recordCrash(w *workerState, now time.Time) {
	if w.crashed {
		return
	}
	w.crashed = true
	at := w.crashedBy(now)
	runs := t.crashedRuns(w, at)
	observed := crash.Event{Worker: w.Incarnation, Domain: w.Domain, DomainDown: t.isDomainDown(w), At: at}
	for _, run := range runs {
		observed.Runs = append(observed.Runs, crash.Run{
			Task: run.key.Task, Age: run.age, Unknown: t.isInherited(w.placedAt[run.key]) && (!run.confirmed || run.age <= crash.EarlyAge), Crashes: run.task.Crashes,
		})
	}
	lines := make([]string, len(runs))
	for i, cause := range crash.Attribute(observed.Runs) {
		run, s := runs[i], t.jobs[runs[i].key.Task.Job]
		run.task.RecordCrash(work.Crash{Run: run.key.Run, Worker: w.Incarnation, Age: run.age, Confirmed: run.confirmed, Cause: cause})
		s.dirty, s.hasCrashes = true, true
		if s.crashedAt == nil {
			s.crashedAt = make(map[work.TaskKey]time.Time)
		}
		s.crashedAt[run.key.Task] = now
		t.cfg.Meter.ObserveCrash(run.age)
		lines[i] = fmt.Sprintf("%s %v for %v, crashes %d, %s", run.key.Task.Job, run.key, run.age.Round(time.Millisecond), len(run.task.Crashes), describeCause(run.task.Crashes[len(run.task.Crashes)-1]))
	}
	event.LeaderWorkerCrashed.Log(t.cfg.Log).Str("Worker", w.Incarnation).Str("Agent", w.agent).Str("Domain", w.Domain).
		Dur("Since", now.Sub(at)).Strs("Runs", lines).Uint64("Epoch", t.rec.Epoch).Send()
	t.withdrawCrashes(t.recentCrashes.Observe(observed))
}

// describeCause describes the cause of a crash for logs.
func describeCause(c work.Crash) string {
	if c.Confirmed {
		return "cause " + string(c.Cause)
	}
	return "cause " + string(c.Cause) + ", not reported"
}

// isDomainDown reports whether no worker of the failure domain of a crashed worker is left.
func (t *term) isDomainDown(crashed *workerState) bool {
	for _, w := range t.workers {
		if w != crashed && w.attached && w.Domain == crashed.Domain && !w.crashed && !w.NoListener {
			return false
		}
	}
	return true
}

// withdrawCrashes records that crashes say nothing about the tasks that were there.
func (t *term) withdrawCrashes(withdrawals []crash.Withdrawal) {
	for _, wd := range withdrawals {
		k := work.RunKey{Task: wd.Task}
		s, task := t.task(k)
		if task == nil || !task.WithdrawCrash(wd.Worker) {
			continue
		}
		s.dirty = true
		k.Run = task.Run
		event.LeaderCrashWithdrawn.Log(t.cfg.Log).Str("Job", wd.Task.Job).Stringer("Run", k).Str("Worker", wd.Worker).Send()
	}
}

// lastCrash returns when the latest crash under a task became known. Those under an
// earlier leader count from the election.
func (t *term) lastCrash(s *jobState, k work.TaskKey) time.Time {
	if at, ok := s.crashedAt[k]; ok {
		return at
	}
	return t.elected
}

// markSuspect marks a unit as isolated if one of its tasks may crash its worker. It waits
// for a worker without a recent start for up to crash.IsolationWait.
func (t *term) markSuspect(s *jobState, u *schedule.Unit, index int) {
	k := work.TaskKey{Job: s.job.ID, Occurrence: u.Occurrence, Step: u.Step, Index: index}
	if !s.hasCrashes || crash.Judge(s.progress.Task(s.job, k)) != crash.Suspect {
		return
	}
	u.Isolated = true
	u.AvoidsRecentStarts = u.AvoidsRecentStarts || uptime.Now().Sub(t.lastCrash(s, k)) < crash.IsolationWait
}

// isKeptForSuspect reports whether nothing may start on a worker because it has a run of a
// suspect that may still crash it.
func (t *term) isKeptForSuspect(w *workerState, now time.Time) bool {
	for k, placedAt := range w.placedAt {
		s, task := t.placedRun(w, k)
		if task == nil || !s.hasCrashes || crash.Judge(task) == crash.Clear {
			continue
		}
		if now.Sub(placedAt) < crash.Isolation(task) {
			return true
		}
	}
	return false
}

// startedRecently reports whether a run has just started on a worker.
func (w *workerState) startedRecently(now time.Time) bool {
	for _, placedAt := range w.placedAt {
		if now.Sub(placedAt) <= crash.EarlyAge {
			return true
		}
	}
	return false
}

// giveUpJobs ends the jobs with a task that must not be started any more.
func (t *term) giveUpJobs(now time.Time) {
	for _, s := range t.jobs {
		if !s.hasCrashes || s.progress.State.Final() {
			continue
		}
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if !task.Done && !task.Placed() && crash.Judge(task) == crash.GiveUp && now.Sub(t.lastCrash(s, k)) >= crash.Settle && s.progress.GiveUp(time.Now()) {
				s.dirty = true
				t.logGivenUp(k, task)
				t.stopEndedJob(s)
			}
		})
	}
}

func (t *term) logGivenUp(k work.TaskKey, task *work.Task) {
	crashes := make([]string, len(task.Crashes))
	for i, c := range task.Crashes {
		crashes[i] = fmt.Sprintf("run %d on %s for %v, %s", c.Run, c.Worker, c.Age.Round(time.Millisecond), describeCause(c))
	}
	event.LeaderJobGivenUp.Log(t.cfg.Log).Str("Job", k.Job).Stringer("Run", work.RunKey{Task: k, Run: task.Run}).Strs("Crashes", crashes).
		Int("LaterRuns", task.LaterRuns).Uint64("Epoch", t.rec.Epoch).Send()
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
