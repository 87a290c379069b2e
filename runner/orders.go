package runner

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

// take carries out the leader's orders for the present incarnation.
func (r *Runner) take(ctx context.Context, o control.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := uptime.Now()
	if !r.ledger.lease(o) || !r.ledger.answered || o.Incarnation != r.ledger.incarnation() || now.Sub(o.Echo) > control.OrderMaxAge {
		return
	}
	r.ledger.settle(o)
	for _, s := range o.Starts {
		r.order(ctx, s.Key, r.ledger.mayStart(s.Key), func() bool { return r.start(ctx, s, o.Echo) })
	}
	for _, k := range o.Stops {
		r.order(ctx, k, r.ledger.mayStop(k, now), func() bool { return r.stop(ctx, k) })
	}
	for _, p := range o.Throttles {
		r.order(ctx, p.Key, r.ledger.mayPace(p.Key, p.Percent), func() bool { return r.pace(ctx, p) })
	}
	if o.AckedSeq > 0 {
		notify(r.wake)
	}
}

// order runs f unless an order for the run is in progress, or too many are.
// The leader repeats orders that were passed over. If f reports that the order
// has no effect yet, a pause keeps the repetitions apart. The caller holds mu.
func (r *Runner) order(ctx context.Context, k work.RunKey, wanted bool, f func() bool) {
	if !wanted || r.inFlight[k] {
		return
	}
	select {
	case r.orders <- struct{}{}:
	default:
		return
	}
	r.inFlight[k] = true
	go func() {
		if !f() {
			uptime.Sleep(ctx, orderPause)
		}
		<-r.orders
		r.mu.Lock()
		delete(r.inFlight, k)
		r.mu.Unlock()
		notify(r.report)
	}()
}

// startTries is the number of starts without an answer after which a run is
// given up. One is lost now and then; a worker that answers none is not sound.
const startTries = 2

// start orders a run at the worker and reports whether it has decided. A run of
// which the worker answers no start is refused, so that it can begin elsewhere.
func (r *Runner) start(ctx context.Context, s work.Start, ordered time.Time) bool {
	for try := 1; ; try++ {
		decided, wait := r.tryStart(ctx, s, ordered)
		if decided || wait {
			return decided
		}
		uptime.Sleep(ctx, orderPause)
		if ctx.Err() != nil {
			return false
		}
		if try == startTries {
			return r.giveUp(s.Key)
		}
	}
}

// giveUp refuses a run whose starts got no answer, if none of them can have
// been carried out.
func (r *Runner) giveUp(k work.RunKey) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.ledger.giveUp(k)
}

// tryStart makes one call. It reports whether the worker has decided, and
// whether another try has to wait for the leader to order the run again.
func (r *Runner) tryStart(ctx context.Context, s work.Start, ordered time.Time) (decided, wait bool) {
	r.mu.Lock()
	l := r.ledger
	id, incarnation, fence := l.instance.ID, l.incarnation(), l.fence
	now := uptime.Now()
	until := l.deadline(now)
	draining := l.instance.State == work.WorkerDraining
	if draining || until == 0 || now.Sub(ordered) > control.OrderMaxAge || !l.mayStart(s.Key) {
		if draining {
			l.refuse(s.Key, work.RefusedDraining)
		}
		r.mu.Unlock()
		return false, true
	}
	r.mu.Unlock()
	look, err := r.cfg.Runtime.Start(ctx, callTimeout, id, fence, s, until)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.incarnation() != incarnation {
		return false, true
	}
	if err != nil {
		l.lost(s.Key, fence)
		r.holdAgain()
		r.failed("start", s.Key, err)
		return false, false
	}
	event.RunnerStart.Log(r.cfg.Log).Str("Job", s.Key.Task.Job).Stringer("Run", s.Key).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(look.Refusal)).Send()
	if !l.answer(look, fence, uptime.Now()) {
		return false, true
	}
	if look.Refusal == work.Accepted {
		l.starting(s.Key, uptime.Now())
		return true, true
	}
	if look.Refusal == work.RefusedOutdated {
		l.refusedOld(s.Key, fence, uptime.Now())
		notify(r.wake)
		return false, true
	}
	l.refuse(s.Key, look.Refusal)
	return true, true
}

// stop orders the end of a run at the worker. The run is listed as ended when
// it has stopped. It reports whether the worker has answered.
func (r *Runner) stop(ctx context.Context, k work.RunKey) bool {
	return r.tell("stop", event.RunnerStop, k, func(id string, fence int64) (work.RuntimeReply, error) {
		return r.cfg.Runtime.Stop(ctx, callTimeout, id, fence, k)
	}, func(l *ledger, fence int64) {
		l.stopped[k] = stopped{fence, uptime.Now()}
	})
}

// pace orders the share at which a run works and reports whether the worker
// has answered.
func (r *Runner) pace(ctx context.Context, p control.Throttle) bool {
	return r.tell("pace", event.RunnerPace, p.Key, func(id string, fence int64) (work.RuntimeReply, error) {
		return r.cfg.Runtime.Throttle(ctx, callTimeout, id, fence, p.Key, p.Percent)
	}, func(l *ledger, _ int64) {
		l.paced[p.Key] = p.Percent
	})
}

// tell makes a call about a run, and notes with taken that the worker has
// accepted it. It reports whether the worker has answered.
func (r *Runner) tell(name string, e event.Event, k work.RunKey, call func(id string, fence int64) (work.RuntimeReply, error), taken func(*ledger, int64)) bool {
	r.mu.Lock()
	l := r.ledger
	id, incarnation, fence := l.instance.ID, l.incarnation(), l.fence
	r.mu.Unlock()
	look, err := call(id, fence)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.incarnation() != incarnation {
		return false
	}
	if err != nil {
		l.raise(fence + 1)
		l.unheard()
		r.failed(name, k, err)
		return false
	}
	e.Log(r.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(look.Refusal)).Send()
	if l.answer(look, fence, uptime.Now()) && look.Refusal == work.Accepted {
		taken(l, fence)
	}
	notify(r.wake)
	return true
}

func (r *Runner) failed(call string, k work.RunKey, err error) {
	event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", call).Str("Job", k.Task.Job).Stringer("Run", k).Err(err).Send()
}
