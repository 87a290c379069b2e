package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// hold extends the lease of the worker's runs and reads its lists.
func (r *Runner) hold(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		l := r.ledger
		known, id, incarnation, fence := l.known, l.instance.ID, l.incarnation(), l.fence
		h := work.LeaseRenewal{AckedSeq: l.lastSeen(), Until: l.deadline(uptime.Now())}
		// Ends that the leader has not recorded yet are listed again at once,
		// and a worker that is not known to answer is asked without waiting.
		if len(l.ended) == 0 && l.answered && fence == l.fenceSeen {
			h.Wait = holdWait
		}
		r.mu.Unlock()
		if !known {
			r.pause(ctx, holdWait)
			continue
		}
		callCtx, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.endHold = cancel
		r.mu.Unlock()
		sent := uptime.Now()
		look, err := r.cfg.Runtime.RenewLeases(callCtx, callTimeout, id, fence, h)
		again := err != nil && callCtx.Err() != nil
		cancel()
		if again {
			continue
		}
		r.held(ctx, incarnation, fence, sent, look, err)
		if h.Wait == 0 || err != nil || look.Refusal != work.Accepted {
			r.pause(ctx, holdPause)
		}
	}
}

// holdAgain ends a lease renewal that waits, so that the worker is asked with the
// present fence. The caller holds mu.
func (r *Runner) holdAgain() {
	if r.endHold != nil {
		r.endHold()
	}
	notify(r.wake)
}

// held takes the answer to a lease renewal.
func (r *Runner) held(ctx context.Context, incarnation string, fence int64, sent time.Time, look work.RuntimeReply, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.ledger
	if l.incarnation() != incarnation {
		return
	}
	if err != nil {
		l.raise(fence + 1)
		l.unheard()
		event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", "hold").Str("Worker", incarnation).Err(err).Send()
		if errors.Is(err, work.ErrNoListener) && l.absent(uptime.Now()) {
			event.RunnerWorkerLeft.Log(r.cfg.Log).Str("Worker", incarnation).Str("Why", "nothing listens at its address").Send()
			notify(r.report)
		}
		return
	}
	before := len(l.ended)
	if l.lookSent(look, fence, sent, uptime.Now()) {
		for _, e := range l.ended[min(before, len(l.ended)):] {
			event.RunnerEnded.Log(r.cfg.Log).Str("Job", e.Key.Task.Job).Stringer("Run", e.Key).Str("How", string(e.Outcome)).Uint64("Seq", e.Seq).Send()
		}
		notify(r.report)
	}
}
