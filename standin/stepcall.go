package standin

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill/work"
)

var (
	errNoAnswer = errors.New("no answer")
	errEnded    = errors.New("the process has ended") // and its connections with it
	errRefused  = errors.Mark(errors.New("connection refused"), work.ErrNoListener)
)

// call carries f out with its fence, at once or late.
func (w *StepWorker) call(ctx context.Context, timeout time.Duration, instance string, fence int64, fault StartFault, f func(now time.Time) work.Refusal) (work.RuntimeReply, error) {
	w.set.mu.Lock()
	defer w.set.mu.Unlock()
	w.calls++
	switch {
	case w.down, w.closed:
		return work.RuntimeReply{}, errRefused
	case w.dark, fault == StartDropped:
		return work.RuntimeReply{}, errNoAnswer
	case fault == StartUnhealthy:
		return work.RuntimeReply{Refusal: work.RefusedUnhealthy, Clock: w.clock(time.Now()), StartedAtMS: w.born.UnixMilli()}, nil
	case w.mute:
		w.carryLate(w.late, fence, false, func() { _ = w.carry(instance, fence, f) }) // a late call answers nobody
		return work.RuntimeReply{}, errNoAnswer
	case fault == StartHeld:
		w.carryLate(w.held, fence, true, func() { _ = w.carry(instance, fence, f) }) // a late call answers nobody
		return work.RuntimeReply{}, errNoAnswer
	}
	if err := ctx.Err(); err != nil {
		return work.RuntimeReply{}, err
	}
	_ = timeout // the stand-in answers at once
	reply := w.look(w.carry(instance, fence, f))
	if fault == StartLost {
		return work.RuntimeReply{}, errNoAnswer
	}
	return reply, nil
}

func (w *StepWorker) carry(instance string, fence int64, f func(now time.Time) work.Refusal) work.Refusal {
	now := time.Now()
	w.set.advance(now)
	if instance != "" && instance != w.id {
		return work.RefusedInstance
	}
	if fence < w.fence {
		return work.RefusedFence
	}
	w.fence, w.highest = fence, max(w.highest, fence)
	return f(now)
}

// look describes the worker. The caller holds the lock.
func (w *StepWorker) look(why work.Refusal) work.RuntimeReply {
	now := time.Now()
	l := work.RuntimeReply{Refusal: why, Clock: w.clock(now), StartedAtMS: w.born.UnixMilli()}
	for k, r := range w.runs {
		l.Running = append(l.Running, work.RunStatus{Key: k, Checkpoint: r.checkpoint(now), Percent: r.percent(now)})
	}
	for _, e := range w.ended[:min(len(w.ended), w.set.ListedEnds)] {
		l.Ended = append(l.Ended, e.RunEnd)
	}
	l.MoreEnded = len(l.Ended) == w.set.ListedEnds
	return l
}

// Start implements work.Runtime.
func (w *StepWorker) Start(ctx context.Context, timeout time.Duration, instance string, fence int64, s work.Start, until time.Duration) (work.RuntimeReply, error) {
	arrived := time.Now()
	return w.call(ctx, timeout, instance, fence, w.startFault(s.Key), func(now time.Time) work.Refusal {
		w.until = max(w.until, until)
		refusal := work.Accepted
		switch {
		case w.runs[s.Key] != nil:
			return work.Accepted
		case s.Key.Run <= w.latest[s.Key.Task]:
			refusal = work.RefusedOutdated
		case until <= w.clock(now):
			refusal = work.RefusedLate
		}
		if refusal != work.Accepted {
			w.observe(RunRefused, s.Key, string(refusal))
			return refusal
		}
		r := &stepRun{speed: w.speed, spec: s.Spec, demand: s.Demand, come: now, saved: s.Checkpoint}
		w.observe(RunStarted, s.Key, s.Spec)
		w.set.check(w, s.Key, now)
		w.checkCapacity(s.Key, r, arrived)
		w.countStart(s.Key, r)
		w.set.started[s.Key]++
		w.starts++
		w.runs[s.Key] = r
		w.set.advance(now)
		return work.Accepted
	})
}

// Stop implements work.Runtime.
func (w *StepWorker) Stop(ctx context.Context, timeout time.Duration, instance string, fence int64, k work.RunKey) (work.RuntimeReply, error) {
	return w.call(ctx, timeout, instance, fence, StartAnswered, func(now time.Time) work.Refusal {
		w.latest[k.Task] = max(w.latest[k.Task], k.Run)
		if r := w.runs[k]; r != nil && r.stopped.IsZero() {
			r.stopped = now
			w.observe(RunStopped, k, "")
		}
		return work.Accepted
	})
}

// Throttle implements work.Runtime. The stand-in takes no notice of the share.
func (w *StepWorker) Throttle(ctx context.Context, timeout time.Duration, instance string, fence int64, _ work.RunKey, _ int) (work.RuntimeReply, error) {
	return w.call(ctx, timeout, instance, fence, StartAnswered, func(time.Time) work.Refusal { return work.Accepted })
}

// RenewLeases implements work.Runtime.
func (w *StepWorker) RenewLeases(ctx context.Context, timeout time.Duration, instance string, fence int64, h work.LeaseRenewal) (work.RuntimeReply, error) {
	hold := func(time.Time) work.Refusal {
		w.until = max(w.until, h.Until)
		for len(w.ended) > 0 && w.ended[0].Seq <= h.AckedSeq {
			w.set.note(w, w.ended[0])
			w.ended = w.ended[1:]
		}
		return work.Accepted
	}
	until := time.Now().Add(h.Wait)
	born := w.Born()
	for {
		if w.Born() != born {
			return work.RuntimeReply{}, errEnded
		}
		look, err := w.call(ctx, timeout, instance, fence, StartAnswered, hold)
		if err != nil || look.Refusal != work.Accepted || len(look.Ended) > 0 || !time.Now().Before(until) {
			return look, err
		}
		select {
		case <-ctx.Done():
			return work.RuntimeReply{}, ctx.Err()
		case <-time.After(20 * time.Millisecond):
		}
	}
}
