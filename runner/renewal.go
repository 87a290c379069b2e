package runner

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// renewLeases renews the leases of the worker's runs until ctx ends, and reads from
// the replies which runs are running and which have ended.
func (r *Runner) renewLeases(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		w := r.worker
		registered, id, incarnation, fence := w.registered, w.announcement.ID, w.incarnation(), w.fence
		renewal := work.LeaseRenewal{AckedSeq: w.discardableSeq(), Until: w.grantLease(uptime.Now())}
		// The call waits at the worker for a run to end, unless there are run ends that
		// the leader has not recorded yet, or the worker has not accepted a renewal with
		// the current fence, which settles the starts without a reply.
		if len(w.ended) == 0 && w.confirmed && fence == w.renewedFence {
			renewal.Wait = w.renewalWait(uptime.Now())
		}
		r.mu.Unlock()
		if !registered {
			r.waitForRenewal(ctx, renewalWait)
			continue
		}
		callCtx, cancel := context.WithCancel(ctx)
		r.mu.Lock()
		r.cancelRenewal = cancel
		r.mu.Unlock()
		sent := uptime.Now()
		reply, err := r.cfg.Runtime.RenewLeases(callCtx, callTimeout, id, fence, renewal)
		interrupted := err != nil && callCtx.Err() != nil
		cancel()
		if interrupted {
			continue
		}
		r.handleRenewal(ctx, incarnation, fence, sent, reply, err)
		if renewal.Wait == 0 || err != nil || reply.Refusal != work.Accepted {
			r.waitForRenewal(ctx, renewalInterval)
		}
	}
}

// interruptRenewal cancels a lease renewal that waits at the worker, so that the next
// one is sent at once and with the current fence. The caller holds mu.
func (r *Runner) interruptRenewal() {
	if r.cancelRenewal != nil {
		r.cancelRenewal()
	}
	notify(r.renewNow)
}

// handleRenewal processes the result of a lease renewal, unless the worker has since
// entered a new incarnation.
func (r *Runner) handleRenewal(ctx context.Context, incarnation string, fence int64, sent time.Time, reply work.RuntimeReply, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	w := r.worker
	if w.incarnation() != incarnation {
		return
	}
	if err != nil {
		w.raiseFence(fence + 1)
		w.recordFailedCall()
		event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", "hold").Str("Worker", incarnation).Err(err).Send()
		if errors.Is(err, work.ErrNoListener) {
			r.handleNoListener(incarnation, sent)
		}
		return
	}
	before, hadMore := len(w.ended), w.moreEnded
	if w.applyRenewal(reply, fence, sent, uptime.Now()) {
		for _, e := range w.ended[min(before, len(w.ended)):] {
			event.RunnerEnded.Log(r.cfg.Log).Str("Job", e.Key.Task.Job).Stringer("Run", e.Key).Str("How", string(e.Outcome)).Uint64("Seq", e.Seq).Send()
		}
		if w.moreEnded != hadMore {
			event.RunnerMoreEnded.Log(r.cfg.Log).Str("Worker", incarnation).Bool("More", w.moreEnded).Int("Listed", len(w.ended)).Uint64("AckedSeq", w.ackedSeq).Send()
		}
		notify(r.reportNow)
	}
	for _, k := range w.lapsedRuns(sent) {
		r.runOrder(ctx, k, w.shouldStop(k, uptime.Now()), func() bool {
			event.RunnerLapsed.Log(r.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", incarnation).Send()
			return r.stopRun(ctx, incarnation, k)
		})
	}
}

// handleNoListener processes a lease renewal that has found that nothing listens at the
// worker's address. The caller holds mu.
func (r *Runner) handleNoListener(incarnation string, sent time.Time) {
	before := r.worker.noListener
	switch {
	case r.worker.recordNoListener(sent, uptime.Now()):
		event.RunnerWorkerLeft.Log(r.cfg.Log).Str("Worker", incarnation).Str("Why", "nothing listens at its address").Send()
	case r.worker.noListener && !before:
		event.RunnerNoListener.Log(r.cfg.Log).Str("Worker", incarnation).Send()
	default:
		return
	}
	notify(r.reportNow)
}
