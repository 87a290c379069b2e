package runner

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// applyOrders carries out the leader's orders if they are current and for the current
// incarnation.
func (r *Runner) applyOrders(ctx context.Context, o control.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := uptime.Now()
	if !r.worker.applyLease(o) || !r.worker.takesOrders(o.Incarnation) || !r.worker.isCurrent(o.Echo, now) {
		return
	}
	r.worker.pruneRefusals(o)
	r.worker.recordDemands(o.Reserved)
	for _, s := range o.Starts {
		r.runOrder(ctx, s.Key, r.worker.shouldStart(s.Key), func() bool { return r.startRun(ctx, o.Incarnation, s, o.Echo) })
	}
	for _, k := range o.Stops {
		r.runOrder(ctx, k, r.worker.shouldStop(k, now), func() bool { return r.stopRun(ctx, o.Incarnation, k) })
	}
	for _, t := range o.Throttles {
		r.runOrder(ctx, t.Key, r.worker.shouldThrottle(t.Key, t.Percent), func() bool { return r.throttleRun(ctx, o.Incarnation, t) })
	}
	if o.AckedSeq > 0 {
		notify(r.renewNow)
	}
}

// runOrder executes an order for a run in the background if it is needed. An order is
// skipped while another one for the run, or maxOrdersInFlight of all runs, are in
// flight; the leader repeats it. If f reports that the order has had no effect yet,
// the run takes no other order for orderRetryInterval. The caller holds mu.
func (r *Runner) runOrder(ctx context.Context, k work.RunKey, needed bool, f func() bool) {
	if !needed || r.inFlight[k] {
		return
	}
	select {
	case r.orderSlots <- struct{}{}:
	default:
		return
	}
	r.inFlight[k] = true
	go func() {
		if !f() {
			uptime.Sleep(ctx, orderRetryInterval)
		}
		<-r.orderSlots
		r.mu.Lock()
		delete(r.inFlight, k)
		r.mu.Unlock()
		notify(r.reportNow)
	}()
}

// maxStartAttempts is the number of start calls without a reply after which the start of
// a run is abandoned. A single call may be lost on a healthy worker; a worker that
// replies to none of them counts as unresponsive.
const maxStartAttempts = 2

// startRun starts a run on an incarnation of the worker and reports whether the start is
// accepted or refused for good. If no start call gets a reply, the run is refused, so
// that the leader can place it on another worker.
func (r *Runner) startRun(ctx context.Context, incarnation string, s work.Start, ordered time.Time) bool {
	for attempt := 1; ; attempt++ {
		settled, needsNewOrder := r.attemptStart(ctx, incarnation, s, ordered)
		if settled || needsNewOrder {
			return settled
		}
		uptime.Sleep(ctx, orderRetryInterval)
		if ctx.Err() != nil {
			return false
		}
		if attempt == maxStartAttempts {
			return r.abandonStart(incarnation, s.Key)
		}
	}
}

// abandonStart refuses a run whose start calls got no reply, if none of them can have
// been carried out.
func (r *Runner) abandonStart(incarnation string, k work.RunKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.worker.takesOrders(incarnation) && r.worker.abandonStart(k)
}

// attemptStart makes one start call. It reports whether the worker has accepted or
// refused the start, and whether the agent must not repeat it without a new order. A
// draining or leaving worker gets no call; its refusal is recorded and settled is false.
// A start refused as outdated is not settled either until the next lease renewal.
func (r *Runner) attemptStart(ctx context.Context, incarnation string, s work.Start, ordered time.Time) (settled, needsNewOrder bool) {
	r.mu.Lock()
	w := r.worker
	if !w.takesOrders(incarnation) {
		r.mu.Unlock()
		return false, true
	}
	id, fence := w.announcement.ID, w.fence
	now := uptime.Now()
	until := w.grantLease(now)
	draining := w.announcement.State == work.WorkerDraining || w.leaving()
	if draining || until == 0 || !w.isCurrent(ordered, now) || !w.shouldStart(s.Key) {
		if draining {
			w.recordRefusal(s.Key, work.RefusedDraining)
		}
		r.mu.Unlock()
		return false, true
	}
	if !w.reserve(s) {
		refused := w.recordRefusal(s.Key, work.RefusedNoCapacity)
		event.RunnerNoCapacity.Log(r.cfg.Log).Str("Job", s.Key.Task.Job).Stringer("Run", s.Key).Str("Worker", incarnation).
			Interface("Demand", s.Demand).Interface("Capacity", w.announcement.Capacity).Bool("Refused", refused).Send()
		r.mu.Unlock()
		return refused, true
	}
	r.mu.Unlock()
	reply, err := r.cfg.Runtime.Start(ctx, callTimeout, id, fence, s, until)
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(w.startsInFlight, s.Key)
	if !w.takesOrders(incarnation) {
		return false, true
	}
	if err != nil {
		w.recordFailedStart(s.Key, fence)
		r.interruptRenewal()
		r.logFailedCall("start", s.Key, err)
		return false, false
	}
	event.RunnerStart.Log(r.cfg.Log).Str("Job", s.Key.Task.Job).Stringer("Run", s.Key).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(reply.Refusal)).Send()
	if !w.applyReply(reply, fence, uptime.Now()) {
		return false, true
	}
	if reply.Refusal == work.Accepted {
		w.recordAcceptedStart(s.Key, uptime.Now())
		return true, true
	}
	if reply.Refusal == work.RefusedOutdated {
		w.recordOutdatedStart(s.Key, fence, uptime.Now())
		notify(r.renewNow)
		return false, true
	}
	return w.recordRefusal(s.Key, reply.Refusal) || w.hasRun(s.Key), true
}

// stopRun stops a run on the worker and reports whether the worker has replied. The
// worker lists the run as ended once it has stopped.
func (r *Runner) stopRun(ctx context.Context, incarnation string, k work.RunKey) bool {
	return r.callRuntime("stop", event.RunnerStop, incarnation, k, func(id string, fence int64) (work.RuntimeReply, error) {
		return r.cfg.Runtime.Stop(ctx, callTimeout, id, fence, k)
	}, func(w *workerState, fence int64) {
		w.settledRuns[k] = settledRun{fence, uptime.Now()}
	})
}

// throttleRun sets the speed of a run on the worker and reports whether the worker has
// replied.
func (r *Runner) throttleRun(ctx context.Context, incarnation string, t control.Throttle) bool {
	return r.callRuntime("pace", event.RunnerPace, incarnation, t.Key, func(id string, fence int64) (work.RuntimeReply, error) {
		return r.cfg.Runtime.Throttle(ctx, callTimeout, id, fence, t.Key, t.Percent)
	}, func(w *workerState, _ int64) {
		w.throttles[t.Key] = t.Percent
	})
}

// callRuntime makes a call about a run of an incarnation and reports whether the worker
// has replied. It calls accepted with the fence of the call if the worker has accepted it.
func (r *Runner) callRuntime(name string, e event.Event, incarnation string, k work.RunKey, call func(id string, fence int64) (work.RuntimeReply, error), accepted func(*workerState, int64)) bool {
	r.mu.Lock()
	w := r.worker
	if !w.takesOrders(incarnation) {
		r.mu.Unlock()
		return false
	}
	id, fence := w.announcement.ID, w.fence
	r.mu.Unlock()
	reply, err := call(id, fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	if !w.takesOrders(incarnation) {
		return false
	}
	if err != nil {
		w.raiseFence(fence + 1)
		w.recordFailedCall()
		r.logFailedCall(name, k, err)
		return false
	}
	e.Log(r.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(reply.Refusal)).Send()
	if w.applyReply(reply, fence, uptime.Now()) && reply.Refusal == work.Accepted {
		accepted(w, fence)
	}
	notify(r.renewNow)
	return true
}

func (r *Runner) logFailedCall(call string, k work.RunKey, err error) {
	event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", call).Str("Job", k.Task.Job).Stringer("Run", k).Err(err).Send()
}
