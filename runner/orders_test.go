package runner

import (
	"context"
	"sync"
	"testing"
	"time"

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

func (w *recovering) Start(context.Context, time.Duration, string, int64, work.Start, time.Duration) (work.Look, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.starts++
	if w.starts == 1 {
		return work.Look{Refusal: work.RefusedOther}, nil
	}
	return work.Look{Clock: time.Second}, nil
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
	r.ledger.announce(work.Announcement{ID: "i", Born: 1, Sequence: 1, State: work.WorkerReady}, now)
	r.ledger.look(work.Look{Clock: time.Second}, r.ledger.fence, now)
	orders := control.Orders{Epoch: 1, Echo: now, Leased: true, Incarnation: r.ledger.incarnation(), Starts: []work.Start{{Key: key(0)}}}
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

	r.take(context.Background(), control.Orders{Epoch: 1, Echo: now, Leased: true, Incarnation: orders.Incarnation})
	require.Empty(t, r.ledger.refused, "once the leader orders the run no more")
}
