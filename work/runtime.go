package work

import (
	"context"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
)

// Refusal is why a worker did not carry out an order.
type Refusal string

// Refusals of a worker. RefusedOther stands for an unhealthy or overloaded one.
const (
	Accepted            Refusal = ""
	RefusedFence        Refusal = "fence"
	RefusedOutdated     Refusal = "old"
	RefusedLate         Refusal = "late"
	RefusedNoCapacity   Refusal = "room"
	RefusedTicket       Refusal = "ticket"
	RefusedInstance     Refusal = "instance"
	RefusedInvalid      Refusal = "invalid"
	RefusedUnhealthy    Refusal = "unhealthy"
	RefusedDraining     Refusal = "draining" // by the agent, because the worker is leaving
	RefusedUnresponsive Refusal = "silent"   // by the agent, because the worker answers no starts
)

// RunStatus is a run that a worker lists as running.
type RunStatus struct {
	Key        RunKey
	Checkpoint string `json:"Saved"`
	Percent    int
	Load       int // tail latency in ms of a task that serves, else the processor use
}

// RunEnd is a run that a worker lists as ended.
type RunEnd struct {
	Seq        uint64 // rises from 1 in each incarnation
	Key        RunKey
	Outcome    Outcome `json:"How"`
	Checkpoint string  `json:"Saved"`
}

// RuntimeReply is what a worker says about its runs.
type RuntimeReply struct {
	Refusal     Refusal
	Clock       time.Duration // the worker's own clock
	StartedAtMS int64         `json:"Born"` // start of the incarnation, Unix milliseconds; 0 if not said
	Running     []RunStatus
	Ended       []RunEnd
}

// Start is an order to start a run.
type Start struct {
	Key        RunKey
	Spec       string
	Checkpoint string `json:"Saved"`
	Ticket     string
}

// LeaseRenewal extends the lease of all runs and asks for them.
type LeaseRenewal struct {
	Until    time.Duration // on the worker's clock; 0 extends nothing
	AckedSeq uint64        `json:"LastSeen"` // ends up to this one are forgotten
	Wait     time.Duration // for an end
}

// ErrNoListener marks a call that failed because no process listens at the
// worker's address.
var ErrNoListener = errors.New("no process listens")

// Runtime is the worker beside an agent. Each call names the incarnation it is
// meant for and a fence: the worker ignores calls with a lower fence than it
// has seen. An error leaves open whether the call is or will be carried out.
type Runtime interface {
	// Start orders a run, leased until the given time of the worker's clock.
	Start(ctx context.Context, timeout time.Duration, instance string, fence int64, s Start, until time.Duration) (RuntimeReply, error)
	// Stop orders the end of a run.
	Stop(ctx context.Context, timeout time.Duration, instance string, fence int64, k RunKey) (RuntimeReply, error)
	// Throttle sets the share in percent at which a run works.
	Throttle(ctx context.Context, timeout time.Duration, instance string, fence int64, k RunKey, percent int) (RuntimeReply, error)
	// RenewLeases extends the lease of all runs and returns what runs and what has
	// ended.
	RenewLeases(ctx context.Context, timeout time.Duration, instance string, fence int64, h LeaseRenewal) (RuntimeReply, error)
}

// WorkerState is whether a worker takes new tasks.
type WorkerState string

// States of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// Announcement is what a worker says about itself.
type Announcement struct {
	ID          string
	StartedAtMS int64 `json:"Born"` // start of the incarnation, Unix milliseconds
	Sequence    uint64
	Service     string
	Address     netip.AddrPort
	Domain      string
	State       WorkerState
	Capacity    Shape
	Labels      []string
	Rack        string
	Remaining   time.Duration // least time until a draining worker leaves
}

// Registrar takes the announcements of the worker beside an agent.
type Registrar interface {
	// Announce takes a status report.
	Announce(a Announcement)
	// Leave notes that the worker has left.
	Leave(id string)
}
