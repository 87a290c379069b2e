package kvstore

import (
	"cmp"
	"time"
)

// Options are the limits of a Client. A zero field takes the default.
type Options struct {
	CallTimeout   time.Duration // of each call, default 1 s
	WatchWait     time.Duration // longest wait of a watch at the store, default 10 s
	MaxValueBytes int           // default 1 MB, the platform's limit
	MaxReplyBytes int64         // of one reply, default 16 MiB
	MaxListBytes  int64         // of the values of all pages of a list, default 128 MiB
	WritesPerS    float64       // default 100; negative is unlimited
	ReadsPerS     float64       // default 500; negative is unlimited
	MaxConns      int           // concurrent connections, default 64
}

// DefaultOptions returns the limits of an entry. With these rates four entries
// can share a store that accepts 400 writes/s and 2,000 reads/s.
func DefaultOptions() Options {
	return Options{
		CallTimeout:   time.Second,
		WatchWait:     10 * time.Second,
		MaxValueBytes: 1_000_000,
		MaxReplyBytes: 16 << 20,
		MaxListBytes:  128 << 20,
		WritesPerS:    100,
		ReadsPerS:     500,
		MaxConns:      64,
	}
}

func (o Options) withDefaults() Options {
	d := DefaultOptions()
	o.CallTimeout = cmp.Or(o.CallTimeout, d.CallTimeout)
	o.WatchWait = cmp.Or(o.WatchWait, d.WatchWait)
	o.MaxValueBytes = cmp.Or(o.MaxValueBytes, d.MaxValueBytes)
	o.MaxReplyBytes = cmp.Or(o.MaxReplyBytes, d.MaxReplyBytes)
	o.MaxListBytes = cmp.Or(o.MaxListBytes, d.MaxListBytes)
	o.WritesPerS = cmp.Or(o.WritesPerS, d.WritesPerS)
	o.ReadsPerS = cmp.Or(o.ReadsPerS, d.ReadsPerS)
	o.MaxConns = cmp.Or(o.MaxConns, d.MaxConns)
	return o
}
