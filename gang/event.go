package gang

import (
	"time"

	"github.com/google/uuid"

	rosemarysill "github.com/rosemarysill/rosemarysill"
)

// EventKind names what has happened to an attempt.
type EventKind string

// The events of an attempt. The model under spec/ uses the same names.
const (
	ReserveAccepted EventKind = "ReserveAccepted"
	ReserveRefused  EventKind = "ReserveRefused" // Code
	ReserveLost     EventKind = "ReserveLost"
	WriteTook       EventKind = "WriteTook"       // the record write took effect
	WriteConflict   EventKind = "WriteConflict"   // it did not; Job is the record found
	WriteRefused    EventKind = "WriteRefused"    // it did not and the store is not reachable
	WriteUnresolved EventKind = "WriteUnresolved" // whether it did is not known
	CommitAccepted  EventKind = "CommitAccepted"
	CommitRefused   EventKind = "CommitRefused" // Code
	CommitLost      EventKind = "CommitLost"
	Reported        EventKind = "Reported" // Report, Boot
	AgentMissing    EventKind = "AgentMissing"
	NewBoot         EventKind = "NewBoot"
	StopAnswered    EventKind = "StopAnswered" // Stop
	StopLost        EventKind = "StopLost"
	CancelAsked     EventKind = "CancelAsked"
	ReclaimAsked    EventKind = "ReclaimAsked"
	FenceComplete   EventKind = "FenceComplete"
	Superseded      EventKind = "Superseded" // another entry places with a higher epoch
	Tick            EventKind = "Tick"       // Deadline may have been reached
)

// Event is something that has happened to an attempt. Member is used by the
// events that concern one member.
type Event struct {
	Kind   EventKind
	Member int
	Code   rosemarysill.Code
	Job    rosemarysill.Job
	Report rosemarysill.TaskReport
	Boot   uuid.UUID
	Stop   rosemarysill.StopReply
}

// EffectKind names what is to be done.
type EffectKind string

// The effects of an attempt.
const (
	SendReserve EffectKind = "SendReserve"
	SendCommit  EffectKind = "SendCommit"
	SendStop    EffectKind = "SendStop"
	AskFence    EffectKind = "AskFence"
	RecordStart EffectKind = "RecordStart" // write Job; needs authority by store
	WriteState  EffectKind = "WriteState"  // write Job
)

// Effect is something to be done. The answers come back as events. Deadline is
// the end of the reservation for SendReserve and SendCommit.
type Effect struct {
	Kind       EffectKind
	Member     int
	Job        rosemarysill.Job
	Deadline   time.Time
	Checkpoint bool
}

// Outcome tells how the attempt ended for its placing entry.
type Outcome string

// The outcomes. Open is the outcome of an attempt that has not ended.
const (
	Open      Outcome = ""
	Abandoned Outcome = "Abandoned" // no start was recorded; the job is still queued
	Requeued  Outcome = "Requeued"  // the record is Queued again
	Finished  Outcome = "Finished"  // the record is final
	Unclear   Outcome = "Unclear"   // read the record again, then TakeOver
	Lost      Outcome = "Lost"      // another entry places the job
)
