package control

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// Guards against a lease that is too short or too long. If it lapses during a
// network partition or an outage, the runs of a healthy worker are stopped or
// started again elsewhere. If it lapses too late after a worker has failed, its
// long-running tasks are unavailable for longer than the users allow.
func TestLeaseOutlastsPartition(t *testing.T) {
	const (
		partition      = 5700 * time.Millisecond // longest partition or outage at the users' sites
		reconnect      = ReportEvery + 200*time.Millisecond
		maxUnavailable = 7 * time.Second // of a long-running task
	)
	require.GreaterOrEqual(t, Lease, partition+reconnect)
	require.Less(t, LapsedAfter(), maxUnavailable)
	require.Greater(t, LapsedAfter(), time.Duration(float64(Lease)*(1+ClockDrift)), "the lease may last longer by a slow clock of the worker")
}
