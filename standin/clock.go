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
	for again := false; ; again = true {
		ticked := c.ticked()
		left := t.Sub(c.now())
		if left <= 0 {
			return true
		}
		timer := newTimer(left, again)
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

// newTimer returns a timer for the next look at the clock. The second and later
// looks are at least a millisecond apart, because an injected clock may stand
// still.
func newTimer(d time.Duration, again bool) *time.Timer {
	if again {
		d = max(d, time.Millisecond)
	}
	return time.NewTimer(d)
}
