package standin

import (
	"context"
	"sync"
	"time"
)

// clock waits for times of an injected clock. Waiters look at the clock again
// when real time suggests that they are due and at each tick.
type clock struct {
	now  func() time.Time
	mu   sync.Mutex
	tick chan struct{}
}

func newClock(now func() time.Time) *clock {
	return &clock{now: now, tick: make(chan struct{})}
}

// wake makes all waiters look at the clock again.
func (c *clock) wake() {
	c.mu.Lock()
	defer c.mu.Unlock()
	close(c.tick)
	c.tick = make(chan struct{})
}

func (c *clock) ticked() <-chan struct{} {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.tick
}

// until waits for the clock to reach t. It reports false when ctx ends first.
func (c *clock) until(ctx context.Context, t time.Time) bool {
	for {
		ticked := c.ticked()
		left := t.Sub(c.now())
		if left <= 0 {
			return true
		}
		timer := time.NewTimer(left)
		select {
		case <-ctx.Done():
			timer.Stop()
			return false
		case <-timer.C:
		case <-ticked:
		}
		timer.Stop()
	}
}
