package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against runs that are given up, or started again elsewhere, while
// their worker is only out of touch for as long as the users' cuts and outages
// last, and against tasks that are away longer than the users allow when it is gone.
func TestLeaseOutlastsACut(t *testing.T) {
	const (
		cut       = 5700 * time.Millisecond // the longest of the users' sites
		reconnect = ReportEvery + 200*time.Millisecond
		away      = 7 * time.Second // of a task that lasts
	)
	require.GreaterOrEqual(t, Lease, cut+reconnect)
	require.Less(t, LapsedAfter(), away)
	require.Greater(t, LapsedAfter(), time.Duration(float64(Lease)*(1+ClockDrift)), "by the worker's clock the lease may last longer")
}
