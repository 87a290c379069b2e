package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
)

const (
	// probeInterval is the time between two probes of a store that does not reply. A probe
	// that was sent during an outage waits until its timeout of 0.7 s, also if the store
	// returns meanwhile; later ones do not wait for it.
	probeInterval = 150 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 6
)

// probeReply is the reply to one probe.
type probeReply struct {
	changes     []rosemarysill.Change
	next        uint64
	requestedAt time.Time
	err         error
}

// probe watches the prefix without waiting for changes, repeatedly and with overlapping
// calls, until the store replies or the prefix has to be listed.
func (f *Follower) probe(ctx context.Context, revision uint64) probeReply {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan probeReply, maxProbes)
	due := time.NewTicker(probeInterval)
	defer due.Stop()
	inFlight := 0
	for {
		if inFlight < maxProbes {
			inFlight++
			calls.Go(func() {
				r := probeReply{requestedAt: uptime.Now()}
				r.changes, r.next, r.err = f.store.Watch(ctx, f.prefix, revision, 0)
				replies <- r
			})
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return probeReply{next: revision, err: ctx.Err()}
			case r := <-replies:
				inFlight--
				if r.err == nil || needsList(r.err) {
					return r
				}
			case <-due.C:
				waiting = false
			}
		}
	}
}
