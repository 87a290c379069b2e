package schedule_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/schedule"
)

// Guards against releasing the reserve between the jobs of a burst, and against holding
// it after the burst.
func TestExpectedUseDuringBurst(t *testing.T) {
	at := func(ms int) time.Time { return time.Unix(100, 0).Add(time.Duration(ms) * time.Millisecond) }
	var use schedule.UrgentUse
	require.Zero(t, use.Expected())
	for _, c := range []struct {
		ms              int
		cores, expected float64
	}{
		{0, 100, 50}, {1000, 800, 400}, {2000, 300, 900}, {3000, 600, 600}, {4000, 0, 1200}, {5000, 0, 1200}, {5001, 0, 900}, {7001, 0, 0},
	} {
		use.Observe(c.cores, at(c.ms))
		require.InDelta(t, c.expected, use.Expected(), 0.1, "at %d ms", c.ms)
	}
}
