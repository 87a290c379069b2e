package dispatch

import "time"

// Limits bound the queues and retries of one entry.
type Limits struct {
	QueuePerAccount int // waiting calls of one class and account
	Queued          int // waiting calls of all; over half of it, accounts are held to equal parts

	Attempts     int     // forwards of one call
	RetryShare   float64 // retries allowed for each call, once the reserve is used
	RetryReserve float64 // retries allowed to an entry that has served nothing yet
	RetryMost    float64 // unused retries that an entry can save up

	FreshFor    time.Duration // age of the last heartbeat at which an upstream gets no calls
	SkipFor     time.Duration // an upstream that refused as leaving or out is skipped this long
	SkipShort   time.Duration // an upstream that refused as stale or could not be reached is skipped this long
	EjectAfter  int           // failures in a row after which an upstream is set aside
	EjectFor    time.Duration // the first time; it doubles with each failed probe
	EjectMost   time.Duration
	ForgetAfter time.Duration // age at which an observed service time no longer refuses calls
}

// DefaultLimits returns the limits of a deployment.
func DefaultLimits() Limits {
	return Limits{
		QueuePerAccount: 64,
		Queued:          2048,
		Attempts:        4,
		RetryShare:      0.1,
		RetryReserve:    3,
		RetryMost:       100,
		FreshFor:        5 * time.Second,
		SkipFor:         5 * time.Second,
		SkipShort:       time.Second,
		EjectAfter:      5,
		EjectFor:        time.Second,
		EjectMost:       30 * time.Second,
		ForgetAfter:     10 * time.Second,
	}
}
