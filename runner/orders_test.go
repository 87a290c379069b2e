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

// recovering is a worker that refuses the first start and accepts later ones.
type recovering struct {
	work.Runtime
	mu     sync.Mutex
	starts int
}

func (w *recovering) Start(context.Context, time.Duration, string, int64, work.Start, time.Duration) (work.RuntimeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.starts == 1 {
		return work.RuntimeReply{Refusal: work.RefusedUnhealthy}, nil
	}
	return work.RuntimeReply{Clock: time.Second}, nil
}

func (w *recovering) count() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.starts
}

// Guards against a run that the leader has placed elsewhere after this worker
// refused it, and that an order which was already under way starts here all the
// same: the task runs twice, and the worker holds more than it has room for.
func TestRefusedStartIsNotRepeated(t *testing.T) {
	worker := &recovering{}
	r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
	now := uptime.Now()
	r.ledger.announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
	r.ledger.look(work.RuntimeReply{Clock: time.Second}, r.ledger.fence, now)
	orders := control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.ledger.incarnation(), Starts: []work.Start{{Key: key(0)}}}
	idle := func() bool {
		r.mu.Lock()
		defer r.mu.Unlock()
		return len(r.inFlight) == 0
	}
	for range 2 {
		r.take(context.Background(), orders)
		require.Eventually(t, idle, 10*time.Second, time.Millisecond)
	}
	require.Equal(t, 1, worker.count())
	require.Len(t, r.ledger.refused, 1, "the leader is still told")

	r.take(context.Background(), control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: orders.Incarnation})
	require.Empty(t, r.ledger.refused, "once the leader orders the run no more")
}

// Guards against an agent that is paused between the check of an order and the
// call, and then carries out an order that the leader may have taken back.
func TestOrderThatHasBecomeOld(t *testing.T) {
	for name, c := range map[string]struct {
		age  time.Duration
		want int
	}{"of now": {0, 1}, "before a pause": {control.OrderMaxAge + 100*time.Millisecond, 0}} {
		t.Run(name, func(t *testing.T) {
			worker := &recovering{}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			r.ledger.announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
			r.ledger.look(work.RuntimeReply{Clock: time.Second}, r.ledger.fence, now)
			r.ledger.lease(control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.ledger.incarnation()})
			r.start(context.Background(), work.Start{Key: key(0)}, now.Add(-c.age))
			require.Equal(t, c.want, worker.count())
		})
	}
}

// resetting is a worker that answers holds, and none of the starts.
type resetting struct {
	work.Runtime
	mu     sync.Mutex
	fences []int64 // of the starts
	ran    bool    // the first start is carried out all the same
}

func (w *resetting) Start(_ context.Context, _ time.Duration, _ string, fence int64, _ work.Start, _ time.Duration) (work.RuntimeReply, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.fences = append(w.fences, fence)
	return work.RuntimeReply{}, errors.New("connection reset")
}

func (w *resetting) RenewLeases(ctx context.Context, _ time.Duration, _ string, _ int64, h work.LeaseRenewal) (work.RuntimeReply, error) {
	if h.Wait > 0 {
		<-ctx.Done()
		return work.RuntimeReply{}, ctx.Err()
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	look := work.RuntimeReply{Clock: time.Second}
	if w.ran && len(w.fences) > 0 {
		look.Running = []work.RunStatus{{Key: key(0)}}
	}
	return look, nil
}

// Guards against a gang that waits for a member whose worker answers no start:
// the agent repeated the start for as long as it was ordered, 1.5 s and more.
// What was never answered is refused only if a later list does not show it.
func TestUnansweredStartsAreGivenUp(t *testing.T) {
	for name, c := range map[string]struct {
		ran     bool
		refused []control.Refused
	}{
		"never carried out": {false, []control.Refused{{Key: key(0), Reason: work.RefusedUnresponsive}}},
		"carried out":       {true, nil},
	} {
		t.Run(name, func(t *testing.T) {
			worker := &resetting{ran: c.ran}
			r := New(Config{Name: "a", Runtime: worker, Log: zerolog.Nop()})
			now := uptime.Now()
			r.ledger.announce(work.Announcement{ID: "i", StartedAtMS: 1, Sequence: 1, State: work.WorkerReady}, now)
			r.ledger.look(work.RuntimeReply{Clock: time.Second}, r.ledger.fence, now)
			ctx, cancel := context.WithCancel(context.Background())
			held := make(chan struct{})
			go func() { defer close(held); r.hold(ctx) }()
			defer func() { cancel(); <-held }()
			r.take(ctx, control.Orders{Epoch: 1, Echo: now, ExtendsLease: true, Incarnation: r.ledger.incarnation(), Starts: []work.Start{{Key: key(0)}}})
			require.Eventually(t, func() bool {
				r.mu.Lock()
				defer r.mu.Unlock()
				return len(r.inFlight) == 0
			}, 10*time.Second, time.Millisecond)
			r.mu.Lock()
			defer r.mu.Unlock()
			require.Equal(t, c.refused, r.ledger.refused)
			require.LessOrEqual(t, len(worker.fences), startTries)
			require.Equal(t, c.ran, r.ledger.listed(key(0)))
		})
	}
}
