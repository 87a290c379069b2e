package rosemarysill

import (
	"time"

	"github.com/google/uuid"
)

// Class is the urgency of a request.
type Class string

// The classes, most urgent first.
const (
	Urgent Class = "Urgent"
	Normal Class = "Normal"
	Batch  Class = "Batch"
)

// Classes returns all classes, most urgent first.
func Classes() []Class { return []Class{Urgent, Normal, Batch} }

// Rank returns 0 for the most urgent class; an unknown class ranks last.
func (c Class) Rank() int {
	for i, known := range Classes() {
		if c == known {
			return i
		}
	}
	return len(Classes())
}

// Call is a short request that an upstream answers on the caller's connection.
type Call struct {
	ID         uuid.UUID // version 7, chosen by the caller
	Account    string
	Class      Class
	Idempotent bool
	// Resent tells that the caller sent the identifier before and does not
	// know the outcome. A refusal then proves nothing unless the call's record
	// was seen. Only for calls that are not idempotent.
	Resent   bool
	Deadline time.Time
	Body     []byte
}

// Answer is the result of a call. Body is whole: its length and hash have been
// checked by the receiver.
type Answer struct {
	ID       uuid.UUID
	Code     Code
	Detail   string
	Upstream string
	Body     []byte
}

// Shape is the size of a gang. Accelerators, Processors and MemoryMB are per
// member.
type Shape struct {
	Members      int
	Accelerators int
	Processors   int
	MemoryMB     int
	Adjacent     bool // all members in one rack
}

// TotalAccelerators returns the accelerators of all members.
func (s Shape) TotalAccelerators() int { return s.Members * s.Accelerators }

// JobSpec is a job as its caller submits it.
type JobSpec struct {
	ID              uuid.UUID // version 7, chosen by the caller
	Account         string
	Class           Class
	Idempotent      bool
	Shape           Shape
	DeclaredSeconds int // the caller's estimate of the run time; not trusted
	Body            []byte
}

// JobState is the stage that a job has reached.
type JobState string

// The states of a job. The last four are final.
const (
	JobQueued    JobState = "Queued"
	JobStarting  JobState = "Starting"
	JobRunning   JobState = "Running"
	JobStopping  JobState = "Stopping"
	JobDone      JobState = "Done"
	JobFailed    JobState = "Failed"
	JobCancelled JobState = "Cancelled"
	JobUnknown   JobState = "Unknown"
)

// Final reports whether the job will not change any more.
func (s JobState) Final() bool {
	switch s {
	case JobDone, JobFailed, JobCancelled, JobUnknown:
		return true
	default:
		return false
	}
}

// Slot is the place of one member of a gang: accelerators of one worker, named
// by their index on it.
type Slot struct {
	Worker       string
	Boot         uuid.UUID // the boot of the worker's agent that was reserved
	Accelerators []int
}

// Job is the record of a job in the store, under the key "job/<id>".
type Job struct {
	Spec            JobSpec
	State           JobState
	Attempt         int // 0 until the first attempt is recorded
	Epoch           uint64
	Slots           []Slot // one for each member of the current attempt
	Guaranteed      bool   // the current attempt is part of the account's guarantee
	Submitted       time.Time
	Changed         time.Time
	Code            Code
	Detail          string
	Result          []byte
	CancelRequested bool
	MayHaveRun      bool     `json:"Ran"` // a member of an earlier attempt may have started
	FailedOn        []string // workers on which attempts failed
	Checkpoint      string   // name of the last checkpoint of a stopped attempt
	WriteID         uuid.UUID
}
