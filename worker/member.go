package worker

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// stage is how far a member has come on this worker.
type stage int

const (
	reserved  stage = iota // holds capacity until reservedUntil
	committed              // accepted for start; nothing was sent to the runtime
	starting               // the start was sent; it may run
	running                // the runtime has confirmed the start
	finished               // runs no more, and holds no capacity
)

// member is one member of a gang on this worker.
type member struct {
	request       rosemarysill.ReserveRequest
	stage         stage
	reservedUntil time.Time
	epoch         uint64    // of the accepted commit
	leaseUntil    time.Time // of the gang
	runtimeUntil  time.Time // the lease that the runtime knows
	confirmed     time.Time // when the runtime confirmed the start

	stopWanted       bool
	checkpointWanted bool
	inFlight         EffectKind // the effect that the shell performs, if any
	stopInFlight     bool
	retryAt          time.Time // no effect before this time, after a failed one

	startFailed bool // the runtime did not confirm the start

	// Of a finished member.
	outcome      rosemarysill.TaskState
	neverStarted bool
	detail       string
	result       []byte
	finishedAt   time.Time
	acked        bool // an entry has acknowledged the outcome

	checkpoint   string    // name of the last checkpoint
	checkpointOf time.Time // the lease deadline before which it was taken
}

func (m *member) active() bool { return m.stage != finished }

// mayRun reports whether the runtime may have the task.
func (m *member) mayRun() bool { return m.stage == starting || m.stage == running }

// unstarted reports whether the member was committed and never sent to the
// runtime. It is not reported, because every state of a report but Reserved
// says that the member started; the answer to a stop gives the proof.
func (m *member) unstarted() bool {
	return m.stage == finished && m.neverStarted && m.outcome == rosemarysill.TaskStopped
}

// wantStop asks for the stop of a member that may run. The first reason stays.
func (m *member) wantStop(checkpoint bool, detail string) {
	if m.stopWanted {
		return
	}
	m.stopWanted, m.checkpointWanted, m.retryAt = true, checkpoint, time.Time{}
	if m.detail == "" {
		m.detail = detail
	}
}

func (m *member) finish(outcome rosemarysill.TaskState, detail string, now time.Time) {
	m.neverStarted = m.neverStarted || m.stage == reserved || m.stage == committed
	m.stage, m.outcome, m.detail, m.finishedAt = finished, outcome, detail, now
	m.request.Spec.Body = nil
	m.acked = m.unstarted() // no entry needs to learn it from a report
}

// state returns the state for reports. A start that the runtime has not
// confirmed counts as reserved, so that no gang lease is granted on it.
func (m *member) state() rosemarysill.TaskState {
	switch {
	case m.stage == finished:
		return m.outcome
	case m.stopWanted:
		return rosemarysill.TaskStopping
	case m.stage == running:
		return rosemarysill.TaskRunning
	default:
		return rosemarysill.TaskReserved
	}
}
