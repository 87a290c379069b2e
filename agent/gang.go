package agent

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

func (w *worker) report(r *rosemarysill.AgentReport) {
	w.mu.Lock()
	defer w.mu.Unlock()
	standing := w.ledger.Standing()
	r.Tasks, r.TasksDigest = w.ledger.Report(w.opts.Now())
	r.FreeSlots = w.ledger.FreeAccelerators()
	r.InProgress = w.ledger.Active()
	r.Leaving = standing.Leaving
	r.Revision = standing.Revision
}

func (w *worker) obey(o rosemarysill.AgentOrders, sent time.Time) {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := w.opts.Now()
	w.ledger.Obey(o, sent, now)
	if o.AckedDigest != 0 {
		w.ledger.Acknowledge(o.AckedDigest, now)
	}
}

func (w *worker) leave() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.ledger.Leave()
}

// finish lets running members end by themselves until ctx ends, then stops the
// rest with a checkpoint.
func (w *worker) finish(ctx context.Context) {
	w.await(ctx)
	w.mu.Lock()
	w.ledger.StopAll(w.opts.Now())
	w.mu.Unlock()
	limit, cancel := context.WithTimeout(context.WithoutCancel(ctx), w.cfg.CheckpointWithin+w.cfg.EndWithin)
	defer cancel()
	w.settle(limit)
	w.await(limit)
}

// await returns when no member holds capacity or when ctx ends.
func (w *worker) await(ctx context.Context) {
	for {
		w.mu.Lock()
		idle, changed := w.ledger.Active() == 0, w.changed
		w.mu.Unlock()
		if idle {
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return
		}
	}
}

// Forward is refused: calls run on upstreams.
func (w *worker) Forward(context.Context, rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.InvalidRequest, "%s is a worker and answers no calls", w.cfg.Identity.Name)
}

// Reserve holds capacity for one member of a gang.
func (w *worker) Reserve(_ context.Context, r rosemarysill.ReserveRequest) error {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.ledger.Reserve(r, w.opts.Now())
}

// Commit accepts a reserved member for its start and begins it. Heartbeats
// report what became of it.
func (w *worker) Commit(ctx context.Context, r rosemarysill.CommitRequest) error {
	w.mu.Lock()
	err := w.ledger.Commit(r, w.opts.Now())
	w.mu.Unlock()
	if err == nil {
		w.settle(ctx)
	}
	return err
}

// Stop ends a member or keeps it from starting. It waits a while for the end;
// the same request tells the newer state later.
func (w *worker) Stop(ctx context.Context, r rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	within := w.cfg.CallWithin
	if deadline, ok := ctx.Deadline(); ok {
		within = min(within, time.Until(deadline))
	}
	// The reply needs a part of the caller's time limit for its way.
	limit, cancel := context.WithTimeout(ctx, within*3/4)
	defer cancel()
	for {
		w.mu.Lock()
		reply, err := w.ledger.Stop(r, w.opts.Now())
		changed := w.changed
		w.mu.Unlock()
		if err != nil || reply.Stopped {
			return reply, err
		}
		w.settle(ctx)
		select {
		case <-changed:
		case <-limit.Done():
			return reply, nil
		}
	}
}
