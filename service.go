package rosemarysill

import (
	"context"
	"time"

	"github.com/google/uuid"
)

// CallerService is what an entry offers to callers. Errors carry a Code.
type CallerService interface {
	// Call serves a call on the caller's connection.
	Call(ctx context.Context, c Call) Answer
	// Submit accepts a job durably. Submitting the same spec again returns
	// the job that was accepted.
	Submit(ctx context.Context, spec JobSpec) (Job, error)
	// Cancel asks for the end of a job.
	Cancel(ctx context.Context, id uuid.UUID) (Job, error)
	// Job returns a job with its result when it has one.
	Job(ctx context.Context, id uuid.UUID) (Job, error)
}

// OperatorService is what an entry offers to operators. Errors carry a Code.
type OperatorService interface {
	// Plan answers an intent; nothing changes.
	Plan(ctx context.Context, in Intent) (Plan, error)
	// LookUp returns a plan that was made before, or UnknownPlan.
	LookUp(ctx context.Context, plan uuid.UUID) (Plan, error)
	// Confirm puts a plan into force. Confirming it again has no further
	// effect.
	Confirm(ctx context.Context, plan uuid.UUID) (Confirmation, error)
	// Status describes the system as this entry sees it.
	Status(ctx context.Context) (Status, error)
}

// UpstreamState is an upstream as an entry knows it.
type UpstreamState struct {
	Identity      AgentIdentity
	FreeSlots     int // by the last report
	Leaving       bool
	Drained       bool
	DomainOut     bool
	LastHeartbeat time.Time `json:"LastBeat"`
}

// AccountStatus is the use of capacity by one client account.
type AccountStatus struct {
	Name                   string
	GuaranteedAccelerators int
	UsedAccelerators       int
	WaitingJobs            int
	RunningJobs            int
	UnmetGuarantees        []string `json:"Short"` // guarantees that the usable workers could not hold
}

// Status is an entry's view of the system.
type Status struct {
	Entry            Member
	Entries          []Member
	Authoritative    bool
	StoreContact     bool
	IsPlacer         bool `json:"Places"` // this entry holds the placement lease
	Epoch            uint64
	Revision         uint64
	Domains          []Domain
	Drained          []string
	Accounts         []AccountStatus
	Workers          []WorkerState
	Upstreams        []UpstreamState
	Jobs             map[JobState]int
	FreeAccelerators int
	LargestFreeBlock int // accelerators free in one rack, at most
	AgentsAtRevision int // agents that have this revision
	AgentsBehind     []string
	WaitingCalls     int
	CallsInProgress  int
}
