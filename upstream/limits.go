package upstream

import (
	"time"

	"github.com/rosemarysill/rosemarysill/dispatch"
	"github.com/rosemarysill/rosemarysill/record"
)

// Limits bound one entry's router.
type Limits struct {
	Dispatch    dispatch.Limits
	Record      record.Limits
	InProgress  int // calls that wait, are recorded or are forwarded
	AnswerBytes int // largest answer that is carried
	TickEvery   time.Duration
	SettleEvery time.Duration
}

// DefaultLimits returns the limits of a deployment.
func DefaultLimits() Limits {
	return Limits{
		Dispatch:    dispatch.DefaultLimits(),
		Record:      record.DefaultLimits(),
		InProgress:  3072,
		AnswerBytes: 16 << 20,
		TickEvery:   20 * time.Millisecond,
		SettleEvery: time.Second,
	}
}
