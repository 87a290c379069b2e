package leader

import (
	"context"
	"sync"
	"time"
)

// contact observes the replies of the store to the renewals of the lease. A commit that
// was sent while the store was down may wait until its timeout for a reply that does not
// come. When the store replies to a later call, contact interrupts the commit, so that it
// is repeated at once.
type contact struct {
	mu        sync.Mutex
	repliedAt time.Time
	interrupt context.CancelFunc // ends the commit in flight; nil if there is none
}

// lost reports whether there has been no reply for contactTimeout.
func (c *contact) lost(now time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return now.Sub(c.repliedAt) > contactTimeout
}

// observe records a reply. The first one after a loss of contact interrupts the commit in
// flight.
func (c *contact) observe(now time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Sub(c.repliedAt) > contactTimeout && c.interrupt != nil {
		c.interrupt()
	}
	c.repliedAt = now
}

// begin returns the context of a commit, and a function to call at its end, which reports
// whether the commit was interrupted.
func (c *contact) begin(parent context.Context) (context.Context, func() bool) {
	ctx, cancel := context.WithCancel(parent)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.interrupt = cancel
	return ctx, func() bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		c.interrupt = nil
		interrupted := ctx.Err() != nil && parent.Err() == nil
		cancel()
		return interrupted
	}
}
