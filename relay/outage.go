package relay

import (
	"sync"
	"time"
)

const (
	// outageMemory is how long an outage that all peers have reported keeps calls from
	// being forwarded. It bounds the delay of calls when another entry regains contact with
	// the store before this one.
	outageMemory = 500 * time.Millisecond
	// minOutageReplies is the number of peers that have to report an outage, if there are
	// as many: two entries may share a network fault.
	minOutageReplies = 2
)

// replies counts the peers that one call was forwarded to, by what they said about their
// contact with the store.
type replies struct{ away, other int }

// add counts an answer. A peer that has not answered says nothing about the store.
func (n *replies) add(a Answer) {
	switch {
	case a.lost:
	case a.StoreAway:
		n.away++
	default:
		n.other++
	}
}

// outage remembers that no entry is in contact with the store. Without it every call would
// be forwarded to one peer after another, each of which waits for the store, and the time
// of its caller would be over.
type outage struct {
	mu    sync.Mutex
	until time.Time
}

// observe records what the peers that a call was forwarded to have said. A peer that
// is in contact with the store rules an outage for all entries out.
func (o *outage) observe(n replies, peers int, now time.Time) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if n.other > 0 {
		o.until = time.Time{}
	} else if n.away >= min(minOutageReplies, peers) {
		o.until = now.Add(outageMemory)
	}
}

// isGeneral reports whether no entry is known to be in contact with the store.
func (o *outage) isGeneral(now time.Time) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return now.Before(o.until)
}
