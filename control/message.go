// Package control is the protocol between the leader, which places tasks, and
// the agents beside the workers. An agent opens a stream to the leader. It
// sends the whole state of its worker, and the leader answers with all orders
// that the state does not show yet, so a message that is lost or repeated
// changes nothing.
package control

import (
	"strings"
	"time"

	"github.com/rosemarysill/rosemarysill/work"
)

// Protocol times.
const (
	// ReportEvery is the longest time between two reports of an agent.
	ReportEvery = 400 * time.Millisecond
	// StreamTimeout ends a stream on which nothing arrives. It is three reports
	// and a half, so one that is late ends no stream.
	StreamTimeout = 1400 * time.Millisecond
	// Lease is the time for which the runs of a worker are leased after a
	// report that the leader has answered. It outlasts the users' cuts and outages
	// of up to 5.7 s with the reconnection after them. A task that lasts may be
	// away for 7 s with its machine, so it has to lapse before that.
	Lease = 6300 * time.Millisecond
	// ClockDrift is the largest relative error of a worker's clock.
	ClockDrift = 0.02
	// LapseMargin is added to a lease before its runs are taken for ended.
	LapseMargin = 300 * time.Millisecond
	// OrderMaxAge is the age of the echoed report after which the orders of a
	// message are not carried out.
	OrderMaxAge = 2 * time.Second
)

// LapsedAfter is the time from the receipt of a worker's last report until all
// of its runs have ended.
func LapsedAfter() time.Duration {
	return time.Duration(float64(Lease)*(1+2*ClockDrift)) + LapseMargin
}

// Incarnation names one life of the worker beside an agent. A machine has one
// worker at a time, so a later life shows that the earlier ones have ended.
func Incarnation(agent, life string) string { return agent + "/" + life }

// BelongsTo reports whether an incarnation is of the worker beside an agent.
func BelongsTo(incarnation, agent string) bool { return strings.HasPrefix(incarnation, agent+"/") }

// Worker is the incarnation of a worker beside an agent.
type Worker struct {
	Incarnation  string
	ID           string // as it announced itself
	Service      string
	Domain       string
	Rack         string
	Labels       []string
	Capacity     work.Shape
	Draining     bool
	Remaining    time.Duration // least time until a draining worker leaves
	Unresponsive bool          `json:"Silent"` // the worker does not answer the agent
	LeasesLapsed bool          `json:"Lapsed"` // it has not for so long that the leases of all its runs have lapsed
}

// Refused is an order that the worker will not carry out.
type Refused struct {
	Key    work.RunKey
	Reason work.Refusal `json:"Why"`
}

// Report is the state of a worker.
type Report struct {
	Agent             string
	Stamp             time.Time // when the report was made, by the agent's clock
	Worker            *Worker   // nil until a worker has announced itself and answered
	EndedIncarnations []string  `json:"Gone"` // incarnations that have ended
	Running           []work.RunStatus
	Ended             []work.RunEnd
	Refused           []Refused
}

// Throttle is an order that a run works at a share of its speed.
type Throttle struct {
	Key     work.RunKey
	Percent int
}

// Orders are the orders of the leader for one worker.
type Orders struct {
	Epoch        uint64
	Echo         time.Time // stamp of the latest report that has arrived
	ExtendsLease bool      `json:"Leased"` // the lease runs from Echo; otherwise it is not extended
	Incarnation  string    // what the orders are for
	AckedSeq     uint64    `json:"Seen"` // ends up to this one are recorded
	Starts       []work.Start
	Stops        []work.RunKey
	Throttles    []Throttle `json:"Paces"`
}
