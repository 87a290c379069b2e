package leader

import (
	"context"
	"sync"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/uptime"
)

var errLeaseLapsed = errors.New("the lease of the leader record has expired")

// renew renews the lease until it expires or ctx ends. Calls overlap: one that is
// delayed by other traffic on a narrow link still counts when it arrives, and a lost
// call does not delay the others.
func (t *term) renew(ctx context.Context) {
	var calls sync.WaitGroup
	defer calls.Wait()
	for {
		uptime.Sleep(ctx, renewInterval)
		if ctx.Err() != nil {
			return
		}
		if t.leaseExpired() {
			t.recordEndCause(errors.Wrapf(errLeaseLapsed, "no renewal within %v", t.cfg.leaseTTL()))
			return
		}
		select {
		case <-t.leaseLost:
			t.recordEndCause(errors.Wrap(errLeaseLapsed, "renewal rejected by the store"))
			return
		default:
		}
		calls.Go(func() { t.renewOnce(ctx) })
	}
}

// leaseExpired reports whether the lease has expired by the clock of this entry.
func (t *term) leaseExpired() bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	return uptime.Now().After(t.leaseExpiry)
}

// renewOnce makes one renewal. The lease counts from the time at which it was sent.
func (t *term) renewOnce(ctx context.Context) {
	sent := uptime.Now()
	ctx, cancel := context.WithTimeout(ctx, t.cfg.leaseTTL())
	defer cancel()
	err := t.cfg.Store.Renew(ctx, t.lease)
	if err == nil {
		t.mu.Lock()
		if expiry := sent.Add(t.cfg.leaseTTL()); expiry.After(t.leaseExpiry) {
			t.leaseExpiry = expiry
		}
		t.mu.Unlock()
		return
	}
	if errors.Is(err, rosemarysill.ErrLeaseLapsed) {
		t.mu.Lock()
		t.over = true
		t.mu.Unlock()
		notify(t.leaseLost)
	}
	t.cfg.Log.Debug().Err(err).Msg("lease renewal failed")
}
