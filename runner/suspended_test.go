package runner

import (
	"context"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// stoppableWorker is a worker that has one run until it is stopped, whatever the time.
type stoppableWorker struct {
	work.Runtime
	stopped chan struct{}
}

func (w *stoppableWorker) Stop(context.Context, time.Duration, string, int64, work.RunKey) (work.RuntimeReply, error) {
	close(w.stopped)
	return work.RuntimeReply{Clock: time.Second}, nil
}

func (w *stoppableWorker) RenewLeases(ctx context.Context, _ time.Duration, _ string, _ int64, renewal work.LeaseRenewal) (work.RuntimeReply, error) {
	select {
	case <-w.stopped:
		<-ctx.Done()
		return work.RuntimeReply{}, ctx.Err()
	default:
	}
	if renewal.Wait > 0 {
		select {
		case <-ctx.Done():
		case <-time.After(10 * time.Millisecond):
		}
	}
	return work.RuntimeReply{Clock: time.Second, Running: []work.RunStatus{{Key: key(0)}}}, nil
}

// Guards against a run that goes on for the rest of its lease by the worker's clock after
// its machine was suspended: that clock did not count the time, the leader has started
// the run on another worker, and it may be out of reach.
func TestRunsWithLapsedLeaseAreStopped(t *testing.T) {
	for name, c := range map[string]struct {
		leasedUntil time.Duration // from now
		stops       bool
	}{
		"lapsed":              {-control.LapseMargin - time.Millisecond, true},
		"lapsed a moment ago": {-control.LapseMargin + 10*time.Second, false},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &stoppableWorker{stopped: make(chan struct{})}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
			r.worker.leasedUntil = now.Add(c.leasedUntil)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); r.renewLeases(ctx) }()
			defer func() { cancel(); <-done }()
			select {
			case <-worker.stopped:
				require.True(t, c.stops)
			case <-time.After(map[bool]time.Duration{true: 10 * time.Second, false: 300 * time.Millisecond}[c.stops]):
				require.False(t, c.stops, "the run goes on")
			}
		})
	}
}
