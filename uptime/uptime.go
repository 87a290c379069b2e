// Package uptime provides the clock for leases. Unlike the monotonic clock of
// package time it includes the time for which the machine is suspended, so a
// process that is resumed sees that its leases have lapsed.
package uptime

import (
	"context"
	"time"

	"golang.org/x/sys/unix"
)

// Now returns the time since the machine was booted, as a time.Time without a
// monotonic clock reading. Only the difference between two values of the same
// boot of a machine is meaningful.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now() // Linux before 2.6.39 has no CLOCK_BOOTTIME
	}
	return time.Unix(ts.Sec, ts.Nsec)
}

// Sleep pauses for d or until ctx ends.
func Sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
