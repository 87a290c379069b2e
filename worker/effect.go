package worker

import (
	"maps"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// EffectKind is what the shell of a ledger does at the runtime.
type EffectKind string

// The kinds of effect.
const (
	StartTask      EffectKind = "Start"
	ExtendTask     EffectKind = "Extend"
	CheckpointTask EffectKind = "Checkpoint"
	StopTask       EffectKind = "Stop"
	ForgetTask     EffectKind = "Forget"
)

// Effect is one request to the runtime. The shell performs it at once, reports
// the result to Did, and gives up other requests for the task when it is a
// stop.
type Effect struct {
	Kind  EffectKind
	Task  rosemarysill.RuntimeTask
	Start rosemarysill.TaskStart // of a start
	Until time.Time              // of an extension
}

// Due returns the effects that are due at now and counts them as in flight.
// Everything that a start depends on is checked here, at the moment of the
// effect.
func (l *Ledger) Due(now time.Time) []Effect {
	l.expire(now)
	var effects []Effect
	for _, task := range l.sorted() {
		if e, ok := l.due(task, l.members[task], now); ok {
			effects = append(effects, e)
		}
	}
	for _, task := range sortTasks(maps.Keys(l.orphans)) {
		effects = append(effects, Effect{Kind: StopTask, Task: task})
	}
	clear(l.orphans)
	for _, task := range l.forget {
		effects = append(effects, Effect{Kind: ForgetTask, Task: task})
	}
	l.forget = nil
	return effects
}

func (l *Ledger) due(task rosemarysill.RuntimeTask, m *member, now time.Time) (Effect, bool) {
	if now.Before(m.retryAt) {
		return Effect{}, false
	}
	switch {
	case m.stage == committed:
		return l.dueStart(task, m, now)
	case !m.mayRun() || m.stopInFlight:
		return Effect{}, false
	case m.stopWanted:
		return l.dueStop(task, m, now)
	case m.inFlight != "" || m.stage != running:
		return Effect{}, false
	case m.leaseUntil.Sub(m.runtimeUntil) >= l.cfg.Timings.BeatEvery/2:
		m.inFlight = ExtendTask
		return Effect{Kind: ExtendTask, Task: task, Until: m.leaseUntil}, true
	case m.leaseUntil.Sub(now) <= l.cfg.Timings.GangLease/3 && !m.checkpointOf.Equal(m.leaseUntil):
		// The lease was not renewed for several heartbeats. The checkpoint is
		// taken while the member may still run, so that it is stopped in time.
		m.inFlight, m.checkpointOf = CheckpointTask, m.leaseUntil
		return Effect{Kind: CheckpointTask, Task: task}, true
	default:
		return Effect{}, false
	}
}

func (l *Ledger) dueStart(task rosemarysill.RuntimeTask, m *member, now time.Time) (Effect, bool) {
	if err := l.startRefusal(task, m.epoch, m, now); err != nil {
		m.finish(rosemarysill.TaskStopped, "not started: "+rosemarysill.DetailOf(err), now)
		return Effect{}, false
	}
	m.stage, m.inFlight, m.runtimeUntil = starting, StartTask, m.leaseUntil
	return Effect{Kind: StartTask, Task: task, Start: rosemarysill.TaskStart{
		Task:         task,
		Account:      m.request.Spec.Account,
		Accelerators: m.request.Slot.Accelerators,
		Processors:   m.request.Spec.Shape.Processors,
		MemoryMB:     m.request.Spec.Shape.MemoryMB,
		Body:         m.request.Spec.Body,
		Checkpoint:   m.request.Checkpoint,
		LeaseUntil:   m.leaseUntil,
	}}, true
}

// dueStop takes the checkpoint first if one is wanted and the lease still
// holds. A start in flight is waited for: a stop that overtakes it at the
// runtime would leave the task running.
func (l *Ledger) dueStop(task rosemarysill.RuntimeTask, m *member, now time.Time) (Effect, bool) {
	switch {
	case m.inFlight == StartTask:
		return Effect{}, false
	case m.checkpointWanted && now.Before(m.leaseUntil):
		if m.inFlight == CheckpointTask {
			return Effect{}, false
		}
		m.inFlight = CheckpointTask
		return Effect{Kind: CheckpointTask, Task: task}, true
	default:
		m.stopInFlight = true
		return Effect{Kind: StopTask, Task: task}, true
	}
}

// Begin checks an effect again just before the shell performs it, and reports
// whether it is still due: the process may have paused since Due returned it.
func (l *Ledger) Begin(e Effect, now time.Time) bool {
	l.expire(now)
	m, ok := l.members[e.Task]
	switch {
	case e.Kind == StopTask || e.Kind == ForgetTask:
		return true
	case !ok || !m.active() || m.inFlight != e.Kind:
		return false
	case e.Kind == StartTask:
		err := l.startRefusal(e.Task, m.epoch, m, now)
		if err == nil && m.stopWanted {
			err = rosemarysill.NewError(rosemarysill.StaleAttempt, "%s", m.detail)
		}
		if err == nil {
			return true
		}
		m.inFlight, m.neverStarted = "", true
		m.finish(rosemarysill.TaskStopped, "not started: "+rosemarysill.DetailOf(err), now)
		return false
	case e.Kind == CheckpointTask && m.checkpointWanted && now.Before(m.leaseUntil), !m.stopWanted:
		return true
	default:
		m.inFlight, m.checkpointWanted = "", false
		return false
	}
}

// Did takes in the result of an effect. checkpoint is the name that a
// checkpoint returned.
func (l *Ledger) Did(e Effect, checkpoint string, err error, now time.Time) {
	l.expire(now)
	m, ok := l.members[e.Task]
	if !ok {
		return
	}
	if e.Kind == StopTask {
		m.stopInFlight = false
	} else if m.inFlight == e.Kind {
		m.inFlight = ""
	}
	if !m.active() {
		return
	}
	switch e.Kind {
	case StartTask:
		l.didStart(m, err, now)
		return // a start that failed is followed by its stop at once
	case ExtendTask:
		if err == nil {
			m.runtimeUntil = e.Until
		}
	case CheckpointTask:
		m.checkpointWanted = false
		if err == nil {
			m.checkpoint = checkpoint
		}
		return // a checkpoint that failed does not delay the stop
	case StopTask:
		if err == nil {
			outcome := rosemarysill.TaskStopped
			if m.startFailed {
				outcome = rosemarysill.TaskFailure
			}
			l.ended(e.Task, m, outcome, m.detail, now)
		}
	}
	if err != nil {
		m.retryAt = now.Add(l.cfg.RetryAfter)
	}
}

func (l *Ledger) didStart(m *member, err error, now time.Time) {
	switch {
	case err == nil:
		m.stage, m.confirmed = running, now
		m.request.Spec.Body = nil // only the start needs it
	case rosemarysill.CodeOf(err).Truth() == rosemarysill.TruthNotRun:
		m.neverStarted = true
		m.finish(rosemarysill.TaskFailure, "not started: "+rosemarysill.DetailOf(err), now)
	default:
		// It may run, so it is stopped.
		m.startFailed = true
		m.detail = "start: " + rosemarysill.DetailOf(err)
		m.wantStop(false, "")
	}
}

// ended notes that a task runs no more, and lets the runtime forget it.
func (l *Ledger) ended(task rosemarysill.RuntimeTask, m *member, outcome rosemarysill.TaskState, detail string, now time.Time) {
	m.finish(outcome, detail, now)
	l.forget = append(l.forget, task)
}
