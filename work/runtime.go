package work

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// Refusal is the reason for which a worker did not carry out an order.
type Refusal string

// Refusals of a worker. RefusedUnhealthy includes an overloaded worker.
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
	RefusedDraining     Refusal = "draining" // by the agent: the worker is leaving
	RefusedUnresponsive Refusal = "silent"   // by the agent: the worker does not answer start orders
)

// RunStatus is the status of a run that a worker reports as running.
type RunStatus struct {
	Key        RunKey
	Checkpoint string `json:"Saved"`
	Percent    int
	Load       int // tail latency in ms of a task that serves requests, otherwise its processor use
}

// ListsRun reports whether a run is among those that a worker reports as running.
func ListsRun(running []RunStatus, k RunKey) bool {
	return slices.ContainsFunc(running, func(r RunStatus) bool { return r.Key == k })
}

// RunEnd is the end of a run that a worker reports.
type RunEnd struct {
	Seq        uint64 // counts up from 1 in each incarnation
	Key        RunKey
	Outcome    Outcome `json:"How"`
	Checkpoint string  `json:"Saved"`
}

// MaxListedEnds is the largest number of ended runs in a reply of a worker. Later ones
// are listed once these are acknowledged.
const MaxListedEnds = 500

// RuntimeReply is the reply of a worker to an order, with the state of its runs.
type RuntimeReply struct {
	Refusal     Refusal
	Clock       time.Duration // reading of the worker's own clock
	StartedAtMS int64         `json:"Born"` // start of the incarnation, Unix milliseconds; 0 if not reported
	Running     []RunStatus
	Ended       []RunEnd
	MoreEnded   bool // there may be ended runs beyond those in Ended, so a run in neither list may have ended
}

// Start is an order to start a run.
type Start struct {
	Key        RunKey
	Spec       string
	Checkpoint string `json:"Saved"`
	Ticket     string
	Demand     Shape // capacity that the run takes on its worker
}

// LeaseRenewal extends the leases of all runs of a worker and requests its status.
type LeaseRenewal struct {
	Until    time.Duration // end of the leases on the worker's clock; 0 extends nothing
	AckedSeq uint64        `json:"LastSeen"` // the worker may discard run ends up to this one
	Wait     time.Duration // longest time to wait for a run to end
}

// ErrNoListener marks the error of a call that failed because no process listens
// at the worker's address.
var ErrNoListener = errors.New("no process listens at the worker's address")

// Runtime controls the worker of an agent. Each call has the incarnation of the
// worker that it is meant for and a fencing token, fence. The worker refuses a
// call with a lower fence than it has received before. After an error, the call
// may still have been carried out, or may be carried out later.
type Runtime interface {
	// Start orders a run whose lease ends at leaseUntil on the worker's clock.
	Start(ctx context.Context, timeout time.Duration, incarnation string, fence int64, start Start, leaseUntil time.Duration) (RuntimeReply, error)
	// Stop orders the worker to stop a run.
	Stop(ctx context.Context, timeout time.Duration, incarnation string, fence int64, k RunKey) (RuntimeReply, error)
	// Throttle sets the speed of a run in percent of full speed.
	Throttle(ctx context.Context, timeout time.Duration, incarnation string, fence int64, k RunKey, percent int) (RuntimeReply, error)
	// RenewLeases extends the leases of all runs and returns the runs in progress
	// and those that have ended.
	RenewLeases(ctx context.Context, timeout time.Duration, incarnation string, fence int64, renewal LeaseRenewal) (RuntimeReply, error)
}

// WorkerState is the state of a worker. A draining worker accepts no new tasks.
type WorkerState string

// States of a worker.
const (
	WorkerReady    WorkerState = "ready"
	WorkerDraining WorkerState = "draining"
)

// Announcement is a status report of a worker to its agent.
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
	Remaining   time.Duration // minimum time until a draining worker leaves
}

// Registrar receives the announcements of the worker of an agent.
type Registrar interface {
	// Announce processes an announcement.
	Announce(a Announcement)
	// Leave records that the worker has said that it is about to end. The message
	// names no incarnation and may be handled late.
	Leave(id string)
}
