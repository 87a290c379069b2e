package runner

import (
	"context"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// recoveringWorker is a worker that refuses the first start and accepts later ones.
type recoveringWorker struct {
	work.Runtime
	mu     sync.Mutex
	starts int
}

func (w *recoveringWorker) Start(context.Context, time.Duration, string, int64, work.Start, time.Duration) (work.RuntimeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.starts == 1 {
		return work.RuntimeReply{Refusal: work.RefusedUnhealthy}, nil
	}
	return work.RuntimeReply{Clock: time.Second}, nil
}

func (w *recoveringWorker) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Guards against starting a run that this worker has refused, when the leader has
// already placed it on another worker and an earlier order arrives late: the task
// would run twice, and the worker would exceed its capacity.
func TestRefusedStartIsNotRepeated(t *testing.T) {
	worker := &recoveringWorker{}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	now := uptime.Now()
	r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
	r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, now)
	orders := control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation(), Starts: []work.Start{{Key: key(0)}}}
	idle := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.inFlight) == 0
	}
	for range 2 {
		r.applyOrders(context.Background(), orders)
		require.Eventually(t, idle, 10*time.Second, time.Millisecond)
	}
	require.Equal(t, 1, worker.count())
	require.Len(t, r.worker.refused, 1, "the refusal is still reported")
	r.applyOrders(context.Background(), control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: orders.Incarnation, Deferred: []work.RunKey{key(0)}})
	require.Len(t, r.worker.refused, 1, "a later message orders the run")

	r.applyOrders(context.Background(), control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: orders.Incarnation})
	require.Empty(t, r.worker.refused, "the leader no longer orders the run")
}

// Guards against an agent that is suspended between the check of an order and the
// call, and then carries out an order that the leader may have withdrawn.
func TestOutdatedOrderIsNotCarriedOut(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want int
	}{"current order": {0, 1}, "outdated order": {control.OrderMaxAge + 100*time.Millisecond, 0}} {
		t.Run(name, func(t *testing.T) {
			worker := &recoveringWorker{}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
			r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, now)
			r.worker.applyLease(control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation()})
			r.startRun(context.Background(), r.worker.incarnation(), work.Start{Key: key(0)}, now.Add(-c.age))
			require.Equal(t, c.want, worker.count())
		})
	}
}

// resettingWorker is a worker that replies to lease renewals, but to no start.
type resettingWorker struct {
	work.Runtime
	mu         sync.Mutex
	fences     []int64 // of the starts
	carriedOut bool    // the first start is carried out despite the error
}

func (w *resettingWorker) Start(_ context.Context, _ time.Duration, _ string, fence int64, _ work.Start, _ time.Duration) (work.RuntimeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fences = append(w.fences, fence)
	return work.RuntimeReply{}, errors.New("connection reset")
}

func (w *resettingWorker) RenewLeases(ctx context.Context, _ time.Duration, _ string, _ int64, renewal work.LeaseRenewal) (work.RuntimeReply, error) {
	if renewal.Wait > 0 {
		<-ctx.Done()
		return work.RuntimeReply{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	reply := work.RuntimeReply{Clock: time.Second}
	if w.carriedOut && len(w.fences) > 0 {
		reply.Running = []work.RunStatus{{Key: key(0)}}
	}
	return reply, nil
}

// Guards against a gang that waits for a member whose worker replies to no start,
// because the agent repeats the start for as long as it is ordered, 1.5 s and more. A
// start without a reply is refused only if a later lease renewal does not list the run.
func TestUnansweredStartIsAbandoned(t *testing.T) {
	for name, c := range map[string]struct {
		carriedOut bool
		refused    []control.Refusal
	}{
		"never carried out": {false, []control.Refusal{{Key: key(0), Reason: work.RefusedUnresponsive}}},
		"carried out":       {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &resettingWorker{carriedOut: c.carriedOut}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
			r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, now)
			ctx, cancel := context.WithCancel(context.Background())
			done := make(chan struct{})
			go func() { defer close(done); r.renewLeases(ctx) }()
			defer func() { cancel(); <-done }()
			r.applyOrders(ctx, control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation(), Starts: []work.Start{{Key: key(0)}}})
			require.Eventually(t, func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return len(r.inFlight) == 0
			}, 10*time.Second, time.Millisecond)
			r.mu.Lock()
			defer r.mu.Unlock()
			require.Equal(t, c.refused, r.worker.refused)
			require.LessOrEqual(t, len(worker.fences), maxStartAttempts)
			require.Equal(t, c.carriedOut, r.worker.hasRun(key(0)))
		})
	}
}

// scriptedWorker is a worker that replies to each start by the next function, and to
// nothing else.
type scriptedWorker struct {
	work.Runtime
	starts []func() (work.RuntimeReply, error)
	calls  []string // with the identifiers that they were meant for
}

func (w *scriptedWorker) Start(_ context.Context, _ time.Duration, id string, _ int64, _ work.Start, _ time.Duration) (work.RuntimeReply, error) {
	w.calls = append(w.calls, "start "+id)
	if len(w.starts) == 0 {
		return unanswered()
	}
	next := w.starts[0]
	w.starts = w.starts[1:]
	return next()
}

func (w *scriptedWorker) Stop(_ context.Context, _ time.Duration, id string, _ int64, _ work.RunKey) (work.RuntimeReply, error) {
	w.calls = append(w.calls, "stop "+id)
	return unanswered()
}

func (w *scriptedWorker) Throttle(_ context.Context, _ time.Duration, id string, _ int64, _ work.RunKey, _ int) (work.RuntimeReply, error) {
	w.calls = append(w.calls, "pace "+id)
	return unanswered()
}

func unanswered() (work.RuntimeReply, error) {
	return work.RuntimeReply{}, errors.New("connection reset")
}

// newScriptedRunner returns an agent whose worker has confirmed its incarnation and may
// be granted leases.
func newScriptedRunner(starts ...func() (work.RuntimeReply, error)) (*Runner, *scriptedWorker) {
	worker := &scriptedWorker{starts: starts}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	now := uptime.Now()
	r.worker.applyAnnouncement(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
	r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, now)
	r.worker.applyLease(control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation()})
	return r, worker
}

// Guards against a refusal of a run that the worker has: a start without a reply is
// carried out, the next lease renewal lists the run, and the second attempt is refused.
// The leader would place the run on another worker while it is running here.
func TestListedRunIsNotRefused(t *testing.T) {
	listed := func(r *Runner) {
		running := []work.RunStatus{{Key: key(0)}}
		r.handleRenewal(t.Context(), r.worker.incarnation(), r.worker.fence, uptime.Now(), work.RuntimeReply{Clock: time.Second, Running: running}, nil)
	}
	attempt := func(r *Runner) {
		r.attemptStart(t.Context(), r.worker.incarnation(), work.Start{Key: key(0)}, uptime.Now())
	}

	t.Run("the worker drains before the second attempt", func(t *testing.T) {
		r, worker := newScriptedRunner(unanswered)
		attempt(r)
		listed(r)
		r.Announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 2, State: work.WorkerDraining})
		attempt(r)
		require.Len(t, worker.calls, 1)
		require.Empty(t, r.worker.report(uptime.Now()).Refused)
		require.True(t, r.worker.hasRun(key(0)))
	})
	t.Run("the second attempt is in flight", func(t *testing.T) {
		var r *Runner
		r, _ = newScriptedRunner(unanswered, func() (work.RuntimeReply, error) {
			listed(r)
			return work.RuntimeReply{Refusal: work.RefusedUnhealthy}, nil
		})
		attempt(r)
		attempt(r)
		require.Empty(t, r.worker.report(uptime.Now()).Refused)
		require.True(t, r.worker.hasRun(key(0)))
	})
	t.Run("the list of runs is not known yet", func(t *testing.T) {
		var r *Runner
		r, _ = newScriptedRunner(unanswered, func() (work.RuntimeReply, error) {
			r.worker.applyReply(work.RuntimeReply{Clock: time.Second}, r.worker.fence, uptime.Now()) // of another order
			return work.RuntimeReply{Refusal: work.RefusedUnhealthy}, nil
		})
		attempt(r)
		attempt(r)
		require.Empty(t, r.worker.report(uptime.Now()).Refused)
	})
}

// Guards against an order that outlives the incarnation that it was meant for: the
// leader has been told that the incarnation has ended and has placed the run on another
// worker, so the order must not reach the next incarnation. Nor may it reach one that
// has left.
func TestOrderDoesNotReachAnotherIncarnation(t *testing.T) {
	next := func(r *Runner) {
		now := uptime.Now()
		r.worker.announceNext(t, work.Announcement{ID: "i2", StartedAtMS: 2, Sequence: 1, State: work.WorkerReady}, now)
		r.worker.renewAt(work.RuntimeReply{Clock: time.Second}, r.worker.fence, now)
		r.worker.applyLease(control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.worker.incarnation()})
	}
	left := func(r *Runner) { r.worker.recordEnd() }
	unconfirmed := func(r *Runner) {
		r.worker.announceNext(t, work.Announcement{ID: "i", StartedAtMS: 2, Sequence: 1, State: work.WorkerReady}, uptime.Now())
	}
	for name, change := range map[string]func(*Runner){"next incarnation": next, "worker that has left": left, "unconfirmed incarnation": unconfirmed} {
		t.Run(name, func(t *testing.T) {
			var r *Runner
			r, worker := newScriptedRunner(func() (work.RuntimeReply, error) {
				change(r)
				return unanswered()
			})
			incarnation := r.worker.incarnation()
			r.startRun(t.Context(), incarnation, work.Start{Key: key(0)}, uptime.Now())
			r.startRun(t.Context(), incarnation, work.Start{Key: key(1)}, uptime.Now())
			r.stopRun(t.Context(), incarnation, key(0))
			r.throttleRun(t.Context(), incarnation, control.Throttle{Key: key(0), Percent: 50})
			require.Equal(t, []string{"start i"}, worker.calls)
			require.Empty(t, r.worker.refused)
			require.Empty(t, r.worker.unansweredStarts)
		})
	}
}
