package agent

import (
	"net/netip"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Config bounds an agent. Zero values stand for the defaults.
type Config struct {
	// Identity is what the agent announces. New sets its Boot when it is zero.
	Identity rosemarysill.AgentIdentity
	// Entries are the addresses from the settings. They are kept for ever;
	// those named in replies are dropped when they no longer answer.
	Entries    []netip.AddrPort
	MaxEntries int           // default 16
	MaxAnswer  int           // bytes; default and limit 16 MiB
	StopWithin time.Duration // time limit for the graceful stop; default 30 s
	PollEvery  time.Duration // between polls of the runtime's tasks; default 500 ms
	CallWithin time.Duration // time limit of a request to the runtime or to an entry; default 2 s
	// CheckpointWithin and EndWithin limit a checkpoint and the stop of one
	// task at the runtime; defaults 15 s and 10 s. Both together are shorter
	// than ReclaimWithin.
	CheckpointWithin time.Duration
	EndWithin        time.Duration
	// Calls bounds the non-idempotent calls that an upstream's agent
	// remembers; default 16,384.
	Calls   int
	Answers int // answers kept for duplicate deliveries; default 256
	// AnswerBytes bounds the bodies of the kept answers; default 4 MiB.
	AnswerBytes int
	// Jobs bounds the jobs that the ledger of a worker remembers; default 4,096.
	Jobs int
}

func (c Config) withDefaults() Config {
	set := func(n *int, value int) {
		if *n <= 0 {
			*n = value
		}
	}
	limit := func(d *time.Duration, value time.Duration) {
		if *d <= 0 {
			*d = value
		}
	}
	set(&c.MaxEntries, 16)
	set(&c.MaxAnswer, maxAnswer)
	c.MaxAnswer = min(c.MaxAnswer, maxAnswer)
	set(&c.Answers, 256)
	set(&c.AnswerBytes, 4<<20)
	set(&c.Jobs, 4096)
	limit(&c.StopWithin, 30*time.Second)
	limit(&c.PollEvery, 500*time.Millisecond)
	limit(&c.CallWithin, 2*time.Second)
	limit(&c.CheckpointWithin, 15*time.Second)
	limit(&c.EndWithin, 10*time.Second)
	set(&c.Calls, 16384)
	return c
}
