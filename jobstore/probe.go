package jobstore

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
)

const (
	// probeInterval is the time between two probes of a store that does not reply. A probe
	// that was sent during an outage waits until its timeout of 0.8 s, also if the store
	// returns meanwhile; later ones do not wait for it.
	probeInterval = 150 * time.Millisecond
	// maxProbes bounds the probes in flight.
	maxProbes = 6
)

// probe returns when the store replies again, or ctx ends. Its calls overlap, so each reads
// a single key: overlapping watches would each carry all changes that were missed, over a
// link that may be narrow.
func (f *Follower) probe(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	replies := make(chan bool, maxProbes)
	due := time.NewTicker(probeInterval)
	defer due.Stop()
	for inFlight := 0; ; {
		if inFlight < maxProbes {
			inFlight++
			calls.Go(func() {
				_, err := f.store.Get(ctx, f.prefix)
				replies <- err == nil || errors.Is(err, rosemarysill.ErrNotFound)
			})
		}
		for waiting := true; waiting; {
			select {
			case <-ctx.Done():
				return
			case replied := <-replies:
				inFlight--
				if replied {
					return
				}
			case <-due.C:
				waiting = false
			}
		}
	}
}
