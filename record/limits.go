package record

import "time"

// Limits bound the records of one entry.
type Limits struct {
	StoredBytes     int           // largest answer that is kept in a record
	WritesPerSecond int           // store writes, on average and at once; shared like Claims
	Claims          int           // records being created at a time; over half of it, accounts are held to equal parts
	StoreTimeout    time.Duration // one exchange with the store
	LeaseShare      time.Duration // records created within this time share a lease
	IdentifierSlack time.Duration // a record outlives its identifier by this, for clocks that differ and late writes
	Unsettled       int           // records whose last write is not known to have taken effect
	SettleAttempts  int           // look-ups of a record that is not found
}

// DefaultLimits returns the limits of a deployment. Four entries with 100
// writes each stay below the store's several hundred writes per second.
func DefaultLimits() Limits {
	return Limits{
		StoredBytes:     64 << 10,
		WritesPerSecond: 100,
		Claims:          128,
		StoreTimeout:    time.Second,
		LeaseShare:      time.Minute,
		IdentifierSlack: time.Minute,
		Unsettled:       64,
		SettleAttempts:  8,
	}
}
