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

// Guards against the message by which an earlier incarnation said that it was about to
// end, and which is handled late: the present incarnation with the same identifier was
// taken for ended, its runs started elsewhere while they went on, and its later status
// reports were ignored for good.
func TestLateLeaveOfEarlierIncarnation(t *testing.T) {
	r, _ := newScriptedRunner()
	announce := func(sequence uint64) {
		r.Announce(work.Announcement{ID: "i", StartedAtMS: 2, Sequence: sequence, State: work.WorkerReady})
	}
	renew := func() {
		r.handleRenewal(t.Context(), r.worker.incarnation(), r.worker.fence, uptime.Now(), work.RuntimeReply{
			Clock: time.Second, StartedAtMS: 2, Running: []work.RunStatus{{Key: key(0)}},
		}, nil)
	}
	announce(1)
	renew() // the reply is from the next incarnation
	renew()
	present := r.worker.incarnation()
	require.Equal(t, present, r.worker.report(uptime.Now()).Worker.Incarnation)

	r.Leave("i")
	renew()
	report := r.worker.report(uptime.Now())
	require.NotContains(t, report.EndedIncarnations, present)
	require.NotNil(t, report.Worker, "it replies, so it has not ended")
	require.True(t, report.Worker.Unresponsive, "it gets no more tasks")
	require.False(t, report.Worker.LeasesLapsed)
	require.Equal(t, []work.RunStatus{{Key: key(0)}}, report.Running)

	announce(1)
	require.True(t, r.worker.report(uptime.Now()).Worker.Unresponsive, "this status report may be older than the message")
	announce(2)
	require.False(t, r.worker.report(uptime.Now()).Worker.Unresponsive, "it lives on")
}

// leavingWorker is a worker at whose address nothing listens once it has said that it is
// about to end. Renewals that may wait are not replied to.
type leavingWorker struct {
	work.Runtime
	renewals chan struct{}
	left     chan struct{}
}

func (w *leavingWorker) RenewLeases(ctx context.Context, _ time.Duration, _ string, _ int64, renewal work.LeaseRenewal) (work.RuntimeReply, error) {
	select {
	case w.renewals <- struct{}{}:
	case <-ctx.Done():
	}
	select {
	case <-w.left:
		return work.RuntimeReply{}, work.ErrNoListener
	default:
	}
	if renewal.Wait > 0 {
		<-ctx.Done()
		return work.RuntimeReply{}, ctx.Err()
	}
	return work.RuntimeReply{Clock: time.Second}, nil
}

// Guards against a worker that has left and whose runs start elsewhere only after the
// time for workers at whose address nothing listens for a moment. A lease renewal is
// sent at once, although the one in flight waits at the worker.
func TestEndOfLeavingWorkerIsFoundAtOnce(t *testing.T) {
	worker := &leavingWorker{renewals: make(chan struct{}), left: make(chan struct{})}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	r.Announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerDraining})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { defer close(done); r.renewLeases(ctx) }()
	defer func() { cancel(); <-done }()
	<-worker.renewals // accepted
	<-worker.renewals // waits
	r.mu.Lock()
	incarnation := r.worker.incarnation()
	r.mu.Unlock()

	close(worker.left)
	r.Leave("another")
	require.Never(t, func() bool {
		select {
		case <-worker.renewals:
			return true
		default:
			return false
		}
	}, 50*time.Millisecond, 10*time.Millisecond, "another worker has left")
	r.Leave("i")
	select {
	case <-worker.renewals:
	case <-time.After(5 * time.Second):
		require.Fail(t, "no lease renewal is sent")
	}
	require.Eventually(t, func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		report := r.worker.report(uptime.Now())
		return report.Worker == nil && len(report.EndedIncarnations) == 1 && report.EndedIncarnations[0] == incarnation && report.Left == incarnation
	}, 10*time.Second, time.Millisecond, "one renewal is enough")
}

// Guards against an end that is taken for proved by a call that was sent before the
// worker said that it was about to end, and against an incarnation that stays ignored
// although it still reports.
func TestEndOfLeavingWorker(t *testing.T) {
	w := newConfirmedWorker(1)
	first := w.incarnation()
	announcement := w.announcement
	require.True(t, w.recordLeaving("i", at(100)))
	require.False(t, w.recordNoListener(at(90), at(110)), "the renewal was sent before")
	require.True(t, w.recordNoListener(at(120), at(130)))
	require.Contains(t, w.report(at(130)).EndedIncarnations, first)

	require.False(t, w.applyAnnouncement(announcement, at(200)), "a status report that was known before")
	require.Contains(t, w.report(at(200)).EndedIncarnations, first)
	announcement.Sequence++
	require.True(t, w.applyAnnouncement(announcement, at(300)), "a new status report: it lives")
	w.renewAt(work.RuntimeReply{Clock: time.Second}, w.fence, at(310))
	report := w.report(at(310))
	require.NotContains(t, report.EndedIncarnations, first)
	require.False(t, report.Worker.Unresponsive)
}

// Guards against runs that are kept for good, or taken for ended before their leases
// have lapsed, when a worker has left and its address does not answer at all.
func TestLeavingWorkerThatIsSilent(t *testing.T) {
	w := newConfirmedWorker(1)
	w.applyLease(control.Orders{Epoch: 1, Echo: at(0), ExtendsLease: true})
	w.grantLease(at(0))
	w.recordLeaving("i", at(100))
	report := w.report(at(200))
	require.True(t, report.Worker.Unresponsive)
	lapsedAt := at(0).Add(control.Lease + control.LapseMargin)
	report = w.report(lapsedAt)
	require.False(t, report.Worker.LeasesLapsed)
	require.Empty(t, report.EndedIncarnations)
	require.True(t, w.report(lapsedAt.Add(100*time.Millisecond)).Worker.LeasesLapsed)
}

// Guards against a task that starts on a worker that is about to end.
func TestLeavingWorkerGetsNoStart(t *testing.T) {
	r, worker := newScriptedRunner()
	r.Leave("i")
	r.startRun(t.Context(), r.worker.incarnation(), work.Start{Key: key(0)}, uptime.Now())
	require.Empty(t, worker.calls)
	require.Equal(t, []control.Refusal{{Key: key(0), Reason: work.RefusedDraining}}, r.worker.report(uptime.Now()).Refused)
}

// Guards against an order that outlives the end of the incarnation that it was meant for if
// that incarnation counts again: the leader has been told of the end and has placed the run
// on another worker.
func TestOrderFromBeforePresumedEndIsNotCarriedOut(t *testing.T) {
	var r *Runner
	countsAgain := func() {
		incarnation := r.worker.incarnation()
		r.Leave("i")
		r.handleRenewal(t.Context(), incarnation, r.worker.fence, uptime.Now(), work.RuntimeReply{}, work.ErrNoListener)
		require.Contains(t, r.worker.report(uptime.Now()).EndedIncarnations, incarnation)
		r.Announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 2, State: work.WorkerReady})
		r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, uptime.Now())
		require.True(t, r.worker.takesOrders(incarnation))
	}
	r, worker := newScriptedRunner(func() (work.RuntimeReply, error) {
		countsAgain()
		return unanswered()
	})
	incarnation, ordered := r.worker.incarnation(), uptime.Now()
	attempt := func(ordered time.Time) {
		r.attemptStart(t.Context(), incarnation, work.Start{Key: key(0)}, ordered)
	}
	attempt(ordered)
	attempt(ordered)
	require.Len(t, worker.calls, 1)

	r.applyOrders(t.Context(), control.Orders{Epoch: 1, Echo: ordered, ExtendsLease: true, Incarnation: incarnation, Starts: []work.Start{{Key: key(1)}}})
	require.Empty(t, r.inFlight, "an order that was on its way")

	attempt(uptime.Now())
	require.Len(t, worker.calls, 2, "an order that answers a later report")
}
