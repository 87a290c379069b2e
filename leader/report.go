package leader

import (
	"cmp"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// report applies a report of an agent. A report on an earlier stream than the latest one
// of the agent may be outdated and is rejected. So is an older report on a later stream,
// whose opening was delayed.
func (t *term) report(s *stream, r control.Report) error {
	t.mu.Lock()
	defer t.mu.Unlock()
	if s.number < t.latestStreams[r.Agent] {
		return errors.Wrapf(errSuperseded, "report on stream %d of agent %q, latest is %d", s.number, r.Agent, t.latestStreams[r.Agent])
	}
	if id := t.contradicts(r); id != "" {
		return errors.Wrapf(errSuperseded, "report of agent %q, later ones are about %s", r.Agent, id)
	}
	t.latestStreams[r.Agent] = s.number
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
		if r.MoreEnded {
			// A run that was ordered for the earlier incarnation may be among the ends that
			// are not listed yet. It gets no tasks meanwhile.
			delete(t.streams, g)
			continue
		}
		if w, ok := t.workers[g]; ok && !w.Draining && !w.leaving && g != r.Left {
			t.recordCrash(w, now)
		}
		t.endIncarnation(g, causeEnded, now)
	}
	if w == nil {
		return nil
	}
	t.applyEnds(w, r, now)
	t.applyRefusals(w, r, now)
	t.applyRuns(w, r, now)
	if r.Worker.LeasesLapsed && r.Worker.NoListener {
		t.recordCrash(w, now)
	}
	t.endLapsedRuns(w, now)
	return nil
}

// contradicts returns an incarnation about which the agent has sent a later report than
// r, if applying r would change it, or else an empty string. Stamps are comparable only
// within one boot of the machine, and so within one incarnation of its worker.
func (t *term) contradicts(r control.Report) string {
	if r.Worker != nil {
		id := r.Worker.Incarnation
		if w := t.workers[id]; w != nil && r.Stamp.Before(w.stamp) {
			return id
		}
		if t.endedIncarnations[id] {
			return t.successor(id, r.Agent)
		}
		return ""
	}
	for _, id := range r.EndedIncarnations {
		if w := t.workers[id]; w != nil && r.Stamp.Before(w.stamp) {
			return id
		}
	}
	return ""
}

// successor returns another incarnation of the agent's worker that has reported, or an
// empty string.
func (t *term) successor(id, agent string) string {
	for other, w := range t.workers {
		if other != id && w.attached && control.BelongsTo(other, agent) {
			return other
		}
	}
	return ""
}

// needsDecision reports whether a report calls for a scheduling pass at once. Most
// reports only say that runs go on, and a pass looks at the whole fleet: at 1,100
// workers there would be 2,750 passes a second. The next periodic pass takes those
// reports into account.
func (t *term) needsDecision(r control.Report) bool {
	if r.Worker == nil {
		return len(r.EndedIncarnations) > 0
	}
	w, ok := t.workers[r.Worker.Incarnation]
	return !ok || !w.attached || r.Worker.LeasesLapsed || r.Worker.Draining != w.Draining || r.Worker.Unresponsive != w.Unresponsive ||
		r.Worker.Capacity != w.Capacity || len(r.Refused) > 0 || len(r.EndedIncarnations) > 0 || (len(r.Ended) > 0 && r.Ended[len(r.Ended)-1].Seq > w.appliedSeq)
}

// worker returns the state of the reported incarnation, updated from the report.
func (t *term) worker(s *stream, r control.Report, now time.Time) *workerState {
	id := r.Worker.Incarnation
	w, ok := t.workers[id]
	if !ok {
		w = newWorkerState(*r.Worker, r.Agent, now)
		t.workers[id] = w
		t.expireTickets(r.Worker.ID)
	}
	if !w.attached {
		t.restoreSpeed(*r.Worker)
		event.LeaderWorkerSeen.Log(t.cfg.Log).Str("Worker", id).Str("Agent", r.Agent).Str("Domain", r.Worker.Domain).
			Interface("Capacity", r.Worker.Capacity).Send()
	}
	delete(t.endedIncarnations, id)
	if r.Worker.Unresponsive && !w.Unresponsive {
		t.avoid(w, "does not respond to its agent", now)
	}
	before, known := w.Capacity, w.attached
	w.Worker, w.agent, w.attached, w.reportedAt, w.stamp, w.running = *r.Worker, r.Agent, true, now, r.Stamp, r.Running
	if known {
		t.updateCapacity(w, before, now)
	} else {
		w.placedUnder = cmp.Or(w.LargestCapacity, w.Capacity)
	}
	w.observeSilence(now)
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

// adopt moves runs that were ordered for an earlier incarnation to its successor at the
// same agent if they run or have ended there.
func (t *term) adopt(w *workerState, r control.Report, now time.Time) {
	for _, run := range r.Running {
		t.adoptRun(w, r.Agent, run.Key, now)
	}
	for _, end := range r.Ended {
		if end.Seq > w.appliedSeq {
			t.adoptRun(w, r.Agent, end.Key, now)
		}
	}
}

func (t *term) adoptRun(w *workerState, agent string, k work.RunKey, now time.Time) {
	s, task := t.task(k)
	if task != nil && task.Run == k.Run && task.Worker != w.Incarnation && control.BelongsTo(task.Worker, agent) {
		task.Worker = w.Incarnation
		w.placedAt[k] = now
		s.dirty = true
	}
}

// task returns the job and the task of a run, or nil if they are unknown.
func (t *term) task(k work.RunKey) (*jobState, *work.Task) {
	s, ok := t.jobs[k.Task.Job]
	if !ok {
		return nil, nil
	}
	return s, s.progress.Task(s.job, k.Task)
}

// refusalBackoff is how long a worker that refused a start gets no others.
const refusalBackoff = 500 * time.Millisecond

// placedRun returns the job and the task of a run that is placed on the worker, or nil if
// it is not the present run of its task or is placed elsewhere.
func (t *term) placedRun(w *workerState, k work.RunKey) (*jobState, *work.Task) {
	s, task := t.task(k)
	if task == nil || task.Run != k.Run || task.Worker != w.Incarnation {
		return nil, nil
	}
	return s, task
}

// applyRefusals applies the starts that the worker has refused. The refusal of a run that
// it lists is that of a repeated call: an earlier one has started the run.
func (t *term) applyRefusals(w *workerState, r control.Report, now time.Time) {
	for _, f := range r.Refused {
		s, task := t.placedRun(w, f.Key)
		if task == nil {
			continue
		}
		listed := work.ListsRun(r.Running, f.Key)
		event.LeaderRefused.Log(t.cfg.Log).Str("Job", f.Key.Task.Job).Stringer("Run", f.Key).Str("Worker", w.Incarnation).Str("Why", string(f.Reason)).Bool("Listed", listed).Send()
		if listed {
			continue
		}
		w.recordRefusedMember(s, f.Key)
		if a := t.advice[stepKey{f.Key.Task.Job, f.Key.Task.Occurrence, f.Key.Task.Step}]; a != nil && f.Reason == work.RefusedTicket {
			a.expire(w.ID)
		}
		switch {
		case task.Stopping:
		case f.Reason == work.RefusedNoCapacity:
			w.noCapacityUntil = now.Add(refusalBackoff)
		default:
			w.closedUntil = now.Add(refusalBackoff)
		}
		if f.Reason == work.RefusedUnresponsive || f.Reason == work.RefusedUnhealthy {
			t.avoid(w, "refused a start as unresponsive or unhealthy", now)
		}
		t.endRun(w.Incarnation, f.Key, work.OutcomeRefused, "", now)
		t.recordCause(f.Key, string(f.Reason))
	}
}

// applyRuns applies the list of runs on the worker. Runs that are not placed there are
// orphans, which get stopped.
func (t *term) applyRuns(w *workerState, r control.Report, now time.Time) {
	var strays []work.RunStatus
	for _, run := range r.Running {
		s, task := t.placedRun(w, run.Key)
		if task == nil {
			strays = append(strays, run)
			continue
		}
		var members []work.Task
		if s.job.Steps[run.Key.Task.Step].Gang {
			members = s.progress.Step(s.job, run.Key.Task.Occurrence, run.Key.Task.Step)
		}
		saved := s.progress.SaveCheckpoint(task, members, run.Checkpoint)
		s.checkpointsDirty = s.checkpointsDirty || saved
		task.Percent = run.Percent
		t.trackRun(w, run, now)
		if !task.Stopping {
			t.observeWorkingRun(w, s, run.Key, now)
		}
	}
	t.applyStrays(w, strays, now)
	t.checkCapacity(w, now)
	t.drainWorker(w, now)
	t.updateThrottle(w, now)
}
