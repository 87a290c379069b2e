package record

import "time"

// Limits are the bounds of the registry of one entry.
type Limits struct {
	StoredBytes     int           // largest answer that is stored in a record
	WritesPerSecond int           // rate and burst of store writes, divided among accounts like Claims
	Claims          int           // concurrent claims; from half of it on, each account is held to an equal share
	StoreTimeout    time.Duration // of one store request
	LeaseShare      time.Duration // records created within this time share a lease
	IdentifierSlack time.Duration // added to the lifetime of a record for clock differences and late writes
	Unsettled       int           // queued writes of which it is not known whether they took effect
	SettleAttempts  int           // look-ups of a missing record before its write is abandoned
}

// DefaultLimits returns the limits for production. Four entries at 100 writes
// per second each stay below the store's capacity of several hundred.
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
