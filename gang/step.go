package gang

import (
	"slices"
	"time"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// MaxFailedWorkers is the number of different workers on which a job may fail
// before it is ended.
const MaxFailedWorkers = 3

// Step takes an event and returns what is to be done.
func (a *Attempt) Step(e Event, now time.Time) []Effect {
	if a.phase == ended || e.Member < 0 || e.Member >= len(a.members) {
		return nil
	}
	m := &a.members[e.Member]
	switch e.Kind {
	case Superseded:
		a.end(Lost)
		return nil
	case CancelAsked:
		a.job.CancelRequested = true
	case WriteTook, WriteConflict, WriteRefused, WriteUnresolved:
		return a.written(e, now)
	case Reported:
		if e.Report.Job != a.job.Spec.ID || e.Report.Attempt != a.number || !a.isBoot(e.Member, e.Boot) {
			return nil
		}
		a.report(m, e.Report)
	case NewBoot:
		if a.isBoot(e.Member, e.Boot) {
			return nil
		}
		m.ended, m.running = true, false
	case StopAnswered:
		m.neverStarted = m.neverStarted || e.Stop.NeverStarted && a.isBoot(e.Member, e.Stop.Boot) && !m.started
		m.ended = m.ended || e.Stop.Stopped
		if m.ended || m.neverStarted {
			m.running = false
		}
		if e.Stop.Checkpoint != "" {
			a.job.Checkpoint = e.Stop.Checkpoint
		}
	}
	switch a.phase {
	case reserving:
		return a.reserve(e, m, now)
	case committing, running:
		return a.run(e, now)
	case stopping:
		return a.settle(e, now)
	default:
		return nil
	}
}

// report takes over what an agent says about a member.
func (a *Attempt) report(m *member, r rosemarysill.TaskReport) {
	m.running = r.State == rosemarysill.TaskRunning
	m.started = m.started || r.State != rosemarysill.TaskReserved
	m.done = m.done || r.State == rosemarysill.TaskDone
	m.failed = m.failed || r.State == rosemarysill.TaskFailure
	m.stopped = m.stopped || r.State == rosemarysill.TaskStopped
	if r.State == rosemarysill.TaskDone {
		m.result = r.Result
	}
	if r.Detail != "" {
		m.detail = r.Detail
	}
	if r.Checkpoint != "" {
		a.job.Checkpoint = r.Checkpoint
	}
}

// reserve handles the events before the start is recorded.
func (a *Attempt) reserve(e Event, m *member, now time.Time) []Effect {
	switch e.Kind {
	case ReserveAccepted:
		m.reserved = true
	case ReserveRefused, ReserveLost, CancelAsked, ReclaimAsked, AgentMissing, NewBoot:
		a.stale = a.stale || e.Code == rosemarysill.StaleAttempt
		return a.abandon()
	}
	if !now.Before(a.reservedUntil) {
		return a.abandon()
	}
	if slices.ContainsFunc(a.members, func(m member) bool { return !m.reserved }) {
		return nil
	}
	a.phase = recording
	return a.write(RecordStart, a.record(rosemarysill.JobStarting))
}

// abandon ends an attempt whose start was not recorded. No commit has been or
// will be sent, so no member starts.
func (a *Attempt) abandon() []Effect {
	a.end(Abandoned)
	return a.sendStops()
}

// run handles the events from the recorded start to the end.
func (a *Attempt) run(e Event, now time.Time) []Effect {
	all := func(f func(member) bool) bool {
		return !slices.ContainsFunc(a.members, func(m member) bool { return !f(m) })
	}
	switch {
	case all(func(m member) bool { return m.done }):
		return a.settle(e, now)
	case a.job.CancelRequested:
		return a.stop(cancelled, now)
	case e.Kind == ReclaimAsked:
		return a.stop(reclaimed, now)
	case !all(func(m member) bool { return !m.failed }):
		return a.stop(taskFailed, now)
	case e.Kind == CommitRefused:
		return a.stop(startFailed, now)
	case e.Kind == AgentMissing && !a.members[e.Member].done,
		!all(func(m member) bool { return !m.ended && !m.stopped && !m.neverStarted }):
		return a.stop(memberLost, now)
	case a.phase == committing && all(func(m member) bool { return m.running || m.done }):
		a.phase = running
		if a.job.State != rosemarysill.JobRunning {
			return a.write(WriteState, a.record(rosemarysill.JobRunning))
		}
	case a.phase == committing && !now.Before(a.startBy):
		return a.stop(startFailed, now)
	}
	return nil
}

// stop begins to end the members. The record says so before the next entry may
// need to know why.
func (a *Attempt) stop(why reason, now time.Time) []Effect {
	a.phase, a.reason = stopping, why
	j := a.record(rosemarysill.JobStopping)
	j.Code, j.Detail = rosemarysill.Done, string(why)
	if why == taskFailed {
		j.Code = rosemarysill.TaskFailed
		j.FailedOn = a.failedOn()
	}
	effects := a.sendStops()
	a.resendAt = now.Add(a.timings.BeatEvery)
	effects = append(effects, Effect{Kind: AskFence, Job: a.record(rosemarysill.JobStopping)})
	if a.job.State != rosemarysill.JobStopping {
		effects = append(effects, a.write(WriteState, j)...)
	}
	return append(effects, a.settle(Event{Kind: Tick}, now)...)
}

// failedOn returns the workers on which the job has failed, each once.
func (a *Attempt) failedOn() []string {
	all := slices.Clone(a.job.FailedOn)
	for i, m := range a.members {
		if m.failed && !slices.Contains(all, a.slots[i].Worker) {
			all = append(all, a.slots[i].Worker)
		}
	}
	return all
}

// sendStops asks the agents of all members that may run, or may yet start.
func (a *Attempt) sendStops() []Effect {
	var effects []Effect
	for i, m := range a.members {
		if !m.proved() {
			effects = append(effects, Effect{Kind: SendStop, Member: i, Job: a.record(a.job.State), Checkpoint: a.reason == reclaimed && a.job.Spec.Idempotent})
		}
	}
	return effects
}

// write begins a write of the record. One write is under way at a time; the
// answer to it makes the next.
func (a *Attempt) write(kind EffectKind, j rosemarysill.Job) []Effect {
	if a.writing != nil {
		return nil
	}
	a.writing = &j
	return []Effect{{Kind: kind, Job: j, Deadline: a.reservedUntil}}
}

// written takes the answer to a write of the record.
func (a *Attempt) written(e Event, now time.Time) []Effect {
	if a.writing == nil {
		return nil
	}
	wrote := *a.writing
	a.writing = nil
	switch e.Kind {
	case WriteUnresolved:
		// The write may have taken effect. No commit follows, and the record
		// tells what to do when it can be read.
		a.end(Unclear)
		return nil
	case WriteConflict:
		return a.conflict(e.Job, now)
	case WriteRefused:
		if a.phase == recording {
			return a.abandon()
		}
		a.end(Unclear)
		return nil
	}
	checkpoint, cancel := a.job.Checkpoint, a.job.CancelRequested
	a.job = wrote
	a.job.CancelRequested = a.job.CancelRequested || cancel
	if checkpoint != "" {
		a.job.Checkpoint = checkpoint
	}
	switch a.phase {
	case recording:
		return a.recorded(now)
	case closing:
		a.end(Finished)
		if wrote.State == rosemarysill.JobQueued {
			a.end(Requeued)
		}
		return nil
	case stopping:
		return a.settle(Event{Kind: Tick}, now)
	default:
		return a.run(Event{Kind: Tick}, now)
	}
}

// recorded sends the commits, unless the reservations have ended meanwhile.
func (a *Attempt) recorded(now time.Time) []Effect {
	a.phase, a.startBy = committing, now.Add(a.timings.GangLease)
	if a.job.CancelRequested {
		return a.stop(cancelled, now)
	}
	if !now.Before(a.reservedUntil) {
		return a.stop(startFailed, now)
	}
	var effects []Effect
	for i := range a.members {
		effects = append(effects, Effect{Kind: SendCommit, Member: i, Job: a.job, Deadline: a.reservedUntil})
	}
	return effects
}

// conflict takes the record that another entry wrote. Only a request to cancel
// the same attempt lets this entry go on.
func (a *Attempt) conflict(found rosemarysill.Job, now time.Time) []Effect {
	if a.phase == recording {
		return a.abandon()
	}
	if found.Epoch > a.epoch {
		a.end(Lost)
		return nil
	}
	if found.Attempt != a.number || found.State.Final() || found.State == rosemarysill.JobQueued {
		a.end(Unclear)
		return nil
	}
	cancel := a.job.CancelRequested || found.CancelRequested
	a.job = found
	a.job.CancelRequested = cancel
	if a.phase == closing {
		a.phase = stopping
	}
	if a.phase == stopping {
		if cancel {
			a.reason = cancelled
		}
		return a.settle(Event{Kind: Tick}, now)
	}
	if a.phase == running {
		a.phase = committing
	}
	return a.run(Event{Kind: Tick}, now)
}

func (a *Attempt) end(o Outcome) { a.phase, a.outcome, a.writing = ended, o, nil }
