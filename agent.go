package rosemarysill

import (
	"context"
	"net/netip"
	"time"

	"github.com/google/uuid"
)

// AgentKind tells what an agent runs beside.
type AgentKind string

// The kinds of agent.
const (
	UpstreamAgent AgentKind = "Upstream"
	WorkerAgent   AgentKind = "Worker"
)

// AgentIdentity is what an agent announces about itself and its back end. Boot
// is new each time the agent starts.
type AgentIdentity struct {
	Name         string
	Boot         uuid.UUID
	Kind         AgentKind
	Address      netip.AddrPort
	Domain       string
	Rack         string
	Slots        int // upstream: calls at a time
	Accelerators int // worker
	Processors   int // worker
	MemoryMB     int // worker
}

// TaskState is the state of a member of a gang at its agent.
type TaskState string

// The states of a member.
const (
	TaskReserved TaskState = "Reserved"
	TaskRunning  TaskState = "Running"
	TaskStopping TaskState = "Stopping"
	TaskDone     TaskState = "Done"
	TaskFailure  TaskState = "Failed"
	TaskStopped  TaskState = "Stopped"
)

// TaskReport is an agent's report on one member of a gang.
type TaskReport struct {
	Job        uuid.UUID
	Attempt    int
	Member     int
	Members    int // size of the gang
	State      TaskState
	Slot       Slot
	Detail     string
	Checkpoint string
	Result     []byte // of a finished member, at most 64 KiB
}

// AgentReport is the part of a heartbeat about one agent. Identity is present
// in the first heartbeat of a boot to an entry and when the entry asks for it.
// Tasks are present when the entry has not acknowledged TasksDigest.
type AgentReport struct {
	Name        string
	Boot        uuid.UUID
	Sequence    uint64
	Identity    *AgentIdentity
	Leaving     bool
	FreeSlots   int
	InProgress  int
	TasksDigest uint64
	Tasks       []TaskReport
	HasTasks    bool   // Tasks is present, possibly empty
	Revision    uint64 // configuration revision that the agent has
	Echo        uint64 // Stamp of the last reply that the agent got from this entry; 0 is none
}

// Heartbeat holds the reports of one agent, or those of several that a relay has
// combined.
type Heartbeat struct {
	Reports []AgentReport
}

// LeaseGrant extends the gang lease of one member. It counts from the time at
// which the agent sent the heartbeat.
type LeaseGrant struct {
	Job      uuid.UUID
	Attempt  int
	Duration time.Duration `json:"For"`
}

// AgentOrders is the part of a heartbeat's reply for one agent.
type AgentOrders struct {
	Name         string
	SendIdentity bool
	AckedDigest  uint64
	Revision     uint64 // configuration revision of the entry
	DomainOut    bool
	Drained      bool
	FreshFor     time.Duration // configuration freshness, counted from the sending of the heartbeat; 0 grants none
	Epoch        uint64        // highest placement epoch known to the entry
	Stamp        uint64        // for the agent to echo; the entry dates the next report by it
	Leases       []LeaseGrant
}

// HeartbeatReply is an entry's reply to a heartbeat. Entries lists the addresses of
// all entries that the answering entry knows.
type HeartbeatReply struct {
	Orders  []AgentOrders
	Entries []netip.AddrPort
}

// ForwardRequest carries a call to an upstream's agent.
type ForwardRequest struct {
	Call      Call // Deadline is set by the receiver from Remaining
	Attempt   int
	Revision  uint64
	Remaining time.Duration
}

// ReserveRequest asks a worker's agent to hold capacity for one member.
type ReserveRequest struct {
	Spec       JobSpec
	Attempt    int
	Epoch      uint64
	Member     int
	Slot       Slot
	Revision   uint64
	Remaining  time.Duration // of the reservation
	Checkpoint string        // to resume from; empty for a fresh start
}

// CommitRequest asks a worker's agent to start a reserved member.
type CommitRequest struct {
	Job     uuid.UUID
	Attempt int
	Epoch   uint64
	Member  int
	Lease   time.Duration // of the gang, from the receipt of the request
}

// StopRequest asks a worker's agent to stop a member or to drop its
// reservation. Stopping what is not there succeeds.
type StopRequest struct {
	Job        uuid.UUID
	Attempt    int
	Epoch      uint64
	Member     int
	Checkpoint bool // take a checkpoint first
}

// StopReply tells whether the member is known to run no more.
// NeverStarted is proof that the member did not start in this boot of the agent
// and will not: the agent refuses a later commit of the attempt. An agent that
// has restarted since the reservation cannot prove it, so Boot tells which boot
// answers.
type StopReply struct {
	Boot         uuid.UUID
	Stopped      bool
	NeverStarted bool
	Checkpoint   string
}

// Agent is the process beside an upstream or a worker, as entries see it. An
// error carries a Code; a not-run code is proof that nothing was done.
type Agent interface {
	Forward(ctx context.Context, r ForwardRequest) (Answer, error)
	Reserve(ctx context.Context, r ReserveRequest) error
	Commit(ctx context.Context, r CommitRequest) error
	Stop(ctx context.Context, r StopRequest) (StopReply, error)
}

// Agents is the set of connections to agents.
type Agents interface {
	// Agent returns the agent at the address. The connection is shared.
	Agent(address netip.AddrPort) (Agent, error)
}

// HeartbeatReceiver is an entry as agents see it.
type HeartbeatReceiver interface {
	Heartbeat(ctx context.Context, b Heartbeat) (HeartbeatReply, error)
}

// Entries is the set of connections to entries that receive heartbeats.
type Entries interface {
	// Entry returns the entry at the address. The connection is shared.
	Entry(address netip.AddrPort) (HeartbeatReceiver, error)
}
