package workload

import (
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Arrival is a job of a scenario with what its caller does not know.
type Arrival struct {
	At       time.Duration // since the start
	Spec     rosemarysill.JobSpec
	Run      time.Duration // true run time
	Fails    bool          // fails everywhere after a few seconds
	CancelAt time.Duration // 0: never
}

// DomainMove is a failure domain that is taken out, switched off after a notice,
// and brought back.
type DomainMove struct {
	Domain              string
	TakeOut, Off, Again time.Duration
}

// Fault is a worker that fails every task in an interval.
type Fault struct {
	Worker      string
	From, Until time.Duration
}

// Scenario is a workload on a cluster.
type Scenario struct {
	Name     string
	Seed     uint64
	Length   time.Duration // arrivals end here; jobs run on
	Config   rosemarysill.Configuration
	Workers  []rosemarysill.WorkerState
	Arrivals []Arrival // by time
	Moves    []DomainMove
	Faults   []Fault
}

// LargeGang is the number of accelerators from which a gang counts as large in
// the figures: two whole workers.
const LargeGang = 16

// start is the virtual time at which every scenario starts.
var start = time.Date(2026, 1, 5, 18, 0, 0, 0, time.UTC)
