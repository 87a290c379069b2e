package leader

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// report takes a report of an agent. One on an earlier stream than the agent's
// latest may be older than what is known, and changes nothing.
func (t *term) report(s *stream, r control.Report) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.number < t.latest[r.Agent] {
		return errSuperseded
	}
	t.latest[r.Agent] = s.number
	now := uptime.Now()
	s.stamp = r.Stamp
	if t.needsDecision(r) {
		defer notify(t.wake)
	}
	var w *workerState
	if r.Worker != nil {
		w = t.worker(s, r, now)
		t.adopt(w, r, now)
	}
	for _, g := range t.predecessors(r) {
		t.lose(g, "ended", now)
	}
	if w == nil {
		return nil
	}
	t.takeEnds(w, r, now)
	t.takeRefusals(w, r, now)
	t.takeRuns(w, r, now)
	if r.Worker.LeasesLapsed {
		t.endRuns(w.Incarnation, now)
	}
	return nil
}

// needsDecision reports whether a report has anything to decide upon at once. Most only
// say that runs go on, and a decision looks at the whole fleet: at 1,100 workers
// that would be 2,750 decisions a second. The next tick takes those into account.
func (t *term) needsDecision(r control.Report) bool {
	if r.Worker == nil {
		return len(r.EndedIncarnations) > 0
	}
	w, ok := t.workers[r.Worker.Incarnation]
	return !ok || !w.attached || r.Worker.LeasesLapsed || r.Worker.Draining != w.Draining || r.Worker.Unresponsive != w.Unresponsive ||
		len(r.Refused) > 0 || len(r.EndedIncarnations) > 0 || (len(r.Ended) > 0 && r.Ended[len(r.Ended)-1].Seq > w.applied)
}

// worker returns the state of the reported incarnation.
func (t *term) worker(s *stream, r control.Report, now time.Time) *workerState {
	id := r.Worker.Incarnation
	w, ok := t.workers[id]
	if !ok {
		w = newWorkerState(*r.Worker, r.Agent, now)
		t.workers[id] = w
	}
	if !w.attached {
		event.LeaderWorkerSeen.Log(t.cfg.Log).Str("Worker", id).Str("Agent", r.Agent).Str("Domain", r.Worker.Domain).Send()
	}
	delete(t.gone, id)
	if r.Worker.Unresponsive && !w.Unresponsive {
		t.avoid(w, "it does not answer its agent", now)
	}
	w.Worker, w.agent, w.attached, w.heard, w.running = *r.Worker, r.Agent, true, now, r.Running
	s.incarnation = id
	t.streams[id] = s.wake
	return w
}

// predecessors returns the incarnations that a report shows to have ended.
func (t *term) predecessors(r control.Report) []string {
	ended := slices.Clone(r.EndedIncarnations)
	if r.Worker == nil {
		return ended
	}
	for id := range t.workers {
		if id != r.Worker.Incarnation && control.BelongsTo(id, r.Agent) {
			ended = append(ended, id)
		}
	}
	return ended
}

// adopt moves runs that an order for an earlier incarnation has started on its
// successor at the same agent, whether they run or have ended there.
func (t *term) adopt(w *workerState, r control.Report, now time.Time) {
	for _, run := range r.Running {
		t.adoptRun(w, r.Agent, run.Key, now)
	}
	for _, end := range r.Ended {
		if end.Seq > w.applied {
			t.adoptRun(w, r.Agent, end.Key, now)
		}
	}
}

func (t *term) adoptRun(w *workerState, agent string, k work.RunKey, now time.Time) {
	s, task := t.task(k)
	if task != nil && task.Run == k.Run && task.Worker != w.Incarnation && control.BelongsTo(task.Worker, agent) {
		task.Worker = w.Incarnation
		w.placed[k] = now
		s.dirty = true
	}
}

// task returns the task of a run, or nil.
func (t *term) task(k work.RunKey) (*jobState, *work.Task) {
	s, ok := t.jobs[k.Task.Job]
	if !ok {
		return nil, nil
	}
	return s, s.progress.Task(s.job, k.Task)
}

// takeEnds applies the ends that the worker lists.
func (t *term) takeEnds(w *workerState, r control.Report, now time.Time) {
	for _, e := range r.Ended {
		if e.Seq <= w.applied {
			continue
		}
		w.applied = e.Seq
		t.endRun(w.Incarnation, e.Key, e.Outcome, e.Checkpoint, now)
	}
}

// endRun applies the end of a run.
func (t *term) endRun(worker string, k work.RunKey, how work.Outcome, saved string, now time.Time) {
	s, task := t.task(k)
	if w := t.workers[worker]; w != nil {
		if from, ok := w.placed[k]; ok && task != nil && how == work.OutcomeDone {
			t.lengths[s.job.Queue] = t.lengths[s.job.Queue].add(now.Sub(from))
		}
		delete(w.placed, k)
		delete(w.strays, k)
		delete(w.trackers, k)
		delete(w.stops, k)
	}
	if task == nil {
		return
	}
	stopped := task.Stopping
	if !s.progress.End(s.job, k, worker, how, saved, time.Now()) {
		return
	}
	s.dirty = true
	if w := t.workers[worker]; w != nil && !stopped {
		t.judge(w, k, how, now)
	}
	event.LeaderRunEnded.Log(t.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", worker).Str("How", string(how)).Int("Fails", task.Failures).Send()
	if s.progress.State.Final() {
		t.stopAll(s, "the job is "+string(s.progress.State))
		return
	}
	if step := s.job.Steps[k.Task.Step]; step.Gang && how != work.OutcomeDone && !t.completes(s, k, how, now) {
		t.stopGang(s, k.Task, "another member has ended")
	}
}

// stopGang stops the members of a gang of which one has ended.
func (t *term) stopGang(s *jobState, k work.TaskKey, why string) {
	members := s.progress.Step(s.job, k.Occurrence, k.Step)
	for i := range members {
		if members[i].Placed() {
			k.Index = i
			t.stop(work.RunKey{Task: k, Run: members[i].Run}, &members[i], why)
		}
	}
}

// refusedPause is how long a worker that refused a start gets no others.
const refusedPause = 500 * time.Millisecond

// takeRefusals applies the orders that the worker will not carry out.
func (t *term) takeRefusals(w *workerState, r control.Report, now time.Time) {
	for _, f := range r.Refused {
		_, task := t.task(f.Key)
		if task == nil || task.Run != f.Key.Run || task.Worker != w.Incarnation {
			continue
		}
		event.LeaderRefused.Log(t.cfg.Log).Str("Job", f.Key.Task.Job).Stringer("Run", f.Key).Str("Worker", w.Incarnation).Str("Why", string(f.Reason)).Send()
		if !task.Stopping {
			w.closed = now.Add(refusedPause)
		}
		if f.Reason == work.RefusedUnresponsive || f.Reason == work.RefusedUnhealthy {
			t.avoid(w, "it carries no starts out", now)
		}
		t.endRun(w.Incarnation, f.Key, work.OutcomeRefused, "", now)
	}
}

// takeRuns applies what the worker lists as running.
func (t *term) takeRuns(w *workerState, r control.Report, now time.Time) {
	clear(w.strays)
	for _, run := range r.Running {
		s, task := t.task(run.Key)
		if task == nil || task.Run != run.Key.Run || task.Worker != w.Incarnation {
			w.strays[run.Key] = true
			event.LeaderStray.Log(t.cfg.Log).Str("Job", run.Key.Task.Job).Stringer("Run", run.Key).Str("Worker", w.Incarnation).Send()
			continue
		}
		var members []work.Task
		if s.job.Steps[run.Key.Task.Step].Gang {
			members = s.progress.Step(s.job, run.Key.Task.Occurrence, run.Key.Task.Step)
		}
		saved := s.progress.SaveCheckpoint(task, members, run.Checkpoint)
		s.stale = s.stale || saved
		task.Percent = run.Percent
		t.watchRun(w, run, now)
	}
	t.leaveWorker(w, now)
	t.setPace(w, now)
}

// loseWorkers takes the runs of workers for ended whose leases have lapsed.
func (t *term) loseWorkers(now time.Time) {
	for id, w := range t.workers {
		if now.Sub(w.heard) > control.LapsedAfter() {
			t.lose(id, "no report", now)
		}
	}
}

// maxGone bounds the incarnations that are remembered as ended.
const maxGone = 4096

// lose ends an incarnation.
func (t *term) lose(id, why string, now time.Time) {
	if t.gone[id] {
		return
	}
	if len(t.gone) >= maxGone {
		clear(t.gone) // it only keeps an end from being logged twice
	}
	t.gone[id] = true
	if w, ok := t.workers[id]; ok {
		event.LeaderWorkerLost.Log(t.cfg.Log).Str("Worker", id).Str("Agent", w.agent).Str("Why", why).Send()
	}
	t.endRuns(id, now)
	delete(t.workers, id)
}

// endRuns takes all runs of an incarnation for ended.
func (t *term) endRuns(id string, now time.Time) {
	var lost []work.RunKey
	for _, s := range t.jobs {
		forEachTask(s, func(k work.TaskKey, task *work.Task) {
			if task.Worker == id {
				lost = append(lost, work.RunKey{Task: k, Run: task.Run})
			}
		})
	}
	for _, k := range lost {
		t.endRun(id, k, work.OutcomeWorkerLost, "", now)
	}
}
