// Package control is the protocol between the leader, which places tasks, and
// the agents, which control one worker each. An agent opens a stream to the
// leader and sends reports of the whole state of its worker. The leader answers
// with all orders that the state does not reflect yet, so lost and repeated
// messages do no harm.
package control

import (
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Times of the protocol.
const (
	// ReportEvery is the longest interval between two reports of an agent.
	ReportEvery = 400 * time.Millisecond
	// StreamTimeout is the time without a message after which a stream is closed.
	// It is 3.5 report intervals, so one late report does not close the stream.
	StreamTimeout = 1400 * time.Millisecond
	// Lease is the time for which the runs of a worker are leased after a report
	// that the leader has answered. It outlasts network partitions and outages of
	// up to 5.7 s, and the reconnection after them. When a machine fails, its
	// long-running tasks may be unavailable for 7 s, so it has to lapse before that.
	Lease = 6300 * time.Millisecond
	// ClockDrift is the largest relative error of the rate of a worker's clock.
	ClockDrift = 0.02
	// LapseMargin is the time after the end of a lease until its runs count as ended.
	LapseMargin = 300 * time.Millisecond
	// MaxStartBytes bounds the specifications, checkpoints and tickets of the starts in a
	// message of orders. JSON may take six bytes for one, and a stream accepts messages of
	// up to 4 MiB.
	MaxStartBytes = 256 << 10
	// OrderMaxAge is the largest age of the report that a message of orders answers.
	// Agents do not carry out the orders of older messages.
	OrderMaxAge = 2 * time.Second
)

// LapsedAfter is the time from the receipt of a worker's last report until all
// of its runs have ended.
func LapsedAfter() time.Duration {
	return time.Duration(float64(Lease)*(1+2*ClockDrift)) + LapseMargin
}

// Incarnation returns the name of one instance of the worker of an agent, that is
// one start of its process. A machine runs one worker at a time, so a new instance
// proves that the earlier ones have ended.
func Incarnation(agent, instance string) string { return agent + "/" + instance }

// BelongsTo reports whether an incarnation is one of the agent's worker.
func BelongsTo(incarnation, agent string) bool { return strings.HasPrefix(incarnation, agent+"/") }

// Worker describes the present incarnation of an agent's worker.
type Worker struct {
	Incarnation string
	ID          string // from the worker's announcement
	Service     string
	Domain      string
	Rack        string
	Labels      []string
	Capacity    work.Shape
	// LargestCapacity is the largest capacity, by resource, that the agent has known in
	// this incarnation, if that is not Capacity.
	LargestCapacity work.Shape `json:",omitzero"`
	Draining        bool
	Remaining       time.Duration // least time until a draining worker shuts down
	Unresponsive    bool          `json:"Silent"` // the worker does not answer the agent's calls
	LeasesLapsed    bool          `json:"Lapsed"` // the worker has been unresponsive until the leases of all its runs lapsed
	NoListener      bool          // nothing listens at the worker's address; set together with Unresponsive, and later LeasesLapsed
}

// Refusal is the refusal of an order by the worker.
type Refusal struct {
	Key    work.RunKey
	Reason work.Refusal `json:"Why"`
}

// Report is the state of a worker, sent by its agent.
type Report struct {
	Agent             string
	Stamp             time.Time // time of the report by the agent's clock
	Worker            *Worker   // nil until a worker has announced itself and answered a call
	EndedIncarnations []string  `json:"Gone"`       // incarnations that have ended
	Left              string    `json:",omitempty"` // the latest of them that had said that it was about to end
	Running           []work.RunStatus
	Ended             []work.RunEnd
	MoreEnded         bool `json:",omitempty"` // there may be ended runs beyond those in Ended
	Refused           []Refusal
}

// Throttle is an order to limit a run to a percentage of its full speed.
type Throttle struct {
	Key     work.RunKey
	Percent int
}

// Reservation is the capacity that a run takes on its worker.
type Reservation struct {
	Key    work.RunKey
	Demand work.Shape
}

// Orders is a message with the leader's orders for one worker.
type Orders struct {
	Epoch        uint64
	Echo         time.Time // stamp of the latest report that the leader has received
	ExtendsLease bool      `json:"Leased"` // the lease is extended and runs from Echo
	Incarnation  string    // incarnation of the worker that the orders are for
	AckedSeq     uint64    `json:"Seen"` // ends of runs up to this sequence number are recorded
	Starts       []work.Start
	Deferred     []work.RunKey `json:",omitempty"` // runs whose starts are left to later messages
	Stops        []work.RunKey
	Throttles    []Throttle    `json:"Paces"`
	Reserved     []Reservation `json:",omitempty"` // of the runs that the worker lists, if there are starts
}
