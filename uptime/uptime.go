// Package uptime is the clock by which leases are kept. Unlike the monotonic
// clock of package time it counts the time in which the machine is suspended,
// so a process that wakes up sees that its leases have lapsed.
package uptime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine started, as a time without a
// monotonic reading. Only differences of two values on one machine mean
// anything.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // CLOCK_BOOTTIME is there since Linux 2.6.39
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Sleep waits for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
