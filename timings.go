package rosemarysill

import "time"

// Timings are the intervals of the protocol between processes. All processes
// of a deployment use the same ones; docs/design.md, section 6, derives them.
type Timings struct {
	BeatEvery     time.Duration // between heartbeats of an agent
	FreshFor      time.Duration // freshness of configuration granted to an agent, at most
	StoreFresh    time.Duration // age of the last read at which store contact ends
	ConfirmEvery  time.Duration // between confirmations among entries
	ConfirmFresh  time.Duration // age at which a confirmation ends
	OutageGrace   time.Duration // longest authority by silence
	Margin        time.Duration // added where clocks of two hosts are involved
	MemberFresh   time.Duration // age at which a report counts as missing
	ReserveFor    time.Duration // life of a reservation
	GangLease     time.Duration // life of a gang lease
	PlacerLease   time.Duration // life of the placement lease
	ReclaimWithin time.Duration // longest stop of a borrowed task
	GangPatience  time.Duration // wait after which a large gang gets a reservation
	RequestMemory time.Duration // life of the record of a non-idempotent call
	PlanLife      time.Duration // time in which a plan can be confirmed
	DecideEvery   time.Duration // between placement decisions
}

// DefaultTimings returns the timings of a deployment.
func DefaultTimings() Timings {
	return Timings{
		BeatEvery:     2 * time.Second,
		FreshFor:      5 * time.Second,
		StoreFresh:    3 * time.Second,
		ConfirmEvery:  time.Second,
		ConfirmFresh:  3 * time.Second,
		OutageGrace:   time.Hour,
		Margin:        time.Second,
		MemberFresh:   5 * time.Second,
		ReserveFor:    3 * time.Second,
		GangLease:     15 * time.Second,
		PlacerLease:   5 * time.Second,
		ReclaimWithin: 30 * time.Second,
		GangPatience:  2 * time.Minute,
		RequestMemory: time.Hour,
		PlanLife:      10 * time.Minute,
		DecideEvery:   250 * time.Millisecond,
	}
}

// Scaled returns the timings multiplied by f, for demonstrations and tests.
func (t Timings) Scaled(f float64) Timings {
	for _, d := range []*time.Duration{
		&t.BeatEvery, &t.FreshFor, &t.StoreFresh, &t.ConfirmEvery, &t.ConfirmFresh,
		&t.OutageGrace, &t.Margin, &t.MemberFresh, &t.ReserveFor, &t.GangLease,
		&t.PlacerLease, &t.ReclaimWithin, &t.GangPatience, &t.RequestMemory,
		&t.PlanLife, &t.DecideEvery,
	} {
		*d = time.Duration(float64(*d) * f)
	}
	return t
}
