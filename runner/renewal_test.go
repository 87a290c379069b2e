package runner

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// observedRenewals is a worker that records how long lease renewals may wait, and replies
// to the first one.
type observedRenewals struct {
	work.Runtime
	waits chan time.Duration
}

func (w *observedRenewals) RenewLeases(ctx context.Context, _ time.Duration, _ string, _ int64, renewal work.LeaseRenewal) (work.RuntimeReply, error) {
	select {
	case w.waits <- renewal.Wait:
		return work.RuntimeReply{Clock: time.Second}, nil
	case <-ctx.Done():
		return work.RuntimeReply{}, ctx.Err()
	}
}

// Guards against a refusal, or the list that shows a run whose start got no reply, that is
// delayed by a lease renewal that waits at the worker for a run to end: only the reply to
// a renewal shows whether the run was started, and another call has had a reply already.
func TestRenewalDoesNotWaitWhileAStartIsUnsettled(t *testing.T) {
	worker := &observedRenewals{waits: make(chan time.Duration)}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	w := r.worker
	w.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, uptime.Now())
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, uptime.Now())
	w.recordFailedStart(key(0), w.fence)
	w.applyReply(work.RuntimeReply{Clock: time.Second}, w.fence, uptime.Now()) // to another call
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan struct{})
	go func() { defer close(done); r.renewLeases(ctx) }()
	defer func() { cancel(); <-done }()
	require.Zero(t, <-worker.waits)
	require.Equal(t, renewalWait, <-worker.waits, "the start is settled")
}

// Guards against a run whose progress is known only after seconds, when it is too late to
// start it again elsewhere, and against frequent calls for long runs or for long lists.
func TestRenewalWaitsBrieflyWhileARunIsYoung(t *testing.T) {
	w := newWorkerState("a", 1)
	now := uptime.Now()
	require.Equal(t, renewalWait, w.renewalWait(now), "no run")
	w.running = append(w.running, work.RunStatus{Key: key(0)})
	w.recordRunning(now)
	require.Equal(t, youngRenewalWait, w.renewalWait(now.Add(youngRunAge-1)))
	w.recordRunning(now.Add(youngRunAge))
	require.Equal(t, renewalWait, w.renewalWait(now.Add(youngRunAge)))
	w.recordAcceptedStart(key(1), now)
	require.Equal(t, youngRenewalWait, w.renewalWait(now.Add(youngRunAge)), "a start whose run is not listed yet")
	for i := range maxYoungRuns {
		w.recordAcceptedStart(key(i+2), now)
	}
	require.Equal(t, renewalWait, w.renewalWait(now), "a long list")
}
