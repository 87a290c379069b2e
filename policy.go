package rosemarysill

import (
	"time"

	"github.com/google/uuid"
)

// WorkerState is a worker as the placing entry knows it.
type WorkerState struct {
	Identity AgentIdentity
	Usable   bool // heard from, fresh, not leaving, not set aside, domain in
	Probe    bool // set aside, and due for one trial task
}

// PlacedJob is a job that holds capacity: it is starting, running or stopping.
type PlacedJob struct {
	Spec     JobSpec
	Attempt  int
	Slots    []Slot
	Started  time.Time
	Stopping bool
	// Guaranteed repeats PlaceDecision.Guaranteed of the placement.
	Guaranteed bool
	// CheckpointAt is the time of the last checkpoint; zero when there is none.
	CheckpointAt time.Time
}

// WaitingJob is a queued job.
type WaitingJob struct {
	Spec      JobSpec
	Submitted time.Time
	FailedOn  []string
}

// ClusterState is the input of a placement decision. The caller owns it; a
// policy does not change it.
type ClusterState struct {
	Config  Configuration
	Workers []WorkerState // sorted by name
	Placed  []PlacedJob
	Waiting []WaitingJob // in order of submission
	// RunRatio is the learned ratio of observed to declared run time by client
	// account; a missing account counts as 1.
	RunRatio map[string]float64
}

// PlaceDecision starts a waiting job on the slots.
type PlaceDecision struct {
	Job   uuid.UUID
	Slots []Slot
	// Guaranteed tells that the job is placed as part of its account's
	// guarantee and is not reclaimed for another account. The caller records
	// it with the placement.
	Guaranteed bool
}

// ReclaimDecision stops a placed job, with a checkpoint if possible, and queues
// it again when it is idempotent.
type ReclaimDecision struct {
	Job    uuid.UUID
	For    uuid.UUID // the waiting job that needs the capacity
	Reason string
}

// RejectDecision ends a waiting job without running it.
type RejectDecision struct {
	Job    uuid.UUID
	Code   Code
	Detail string
}

// HoldDecision explains why a waiting job is not placed.
type HoldDecision struct {
	Job    uuid.UUID
	Reason string
}

// Decision is the output of a placement decision.
type Decision struct {
	Place   []PlaceDecision
	Reclaim []ReclaimDecision
	Reject  []RejectDecision
	Hold    []HoldDecision
	// Examined counts the workers looked at, the cost of the decision.
	Examined int
}

// Policy is a rule by which waiting jobs are placed on workers. Decide is a
// pure function of its arguments.
type Policy interface {
	Name() string
	Decide(s ClusterState, now time.Time) Decision
}
