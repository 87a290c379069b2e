package runner

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

// stopAgain is how long a stop that was answered is not repeated. The worker
// needs up to a second to carry it out.
const stopAgain = 1500 * time.Millisecond

// stopped is a stop that the worker has answered.
type stopped struct {
	fence int64
	at    time.Time
}

// starting notes that the worker has accepted a start.
func (l *ledger) starting(k work.RunKey, now time.Time) {
	delete(l.unanswered, k)
	l.started[k] = now
	if !l.listed(k) {
		l.running = append(l.running, work.RunStatus{Key: k})
	}
}

// look takes the lists of a lease renewal that was sent just now.
func (l *ledger) look(look work.RuntimeReply, fence int64, now time.Time) bool {
	return l.lookSent(look, fence, now, now)
}

// lookSent takes the lists of a lease renewal and reports whether they changed. Answers
// on different connections overtake each other, so the lists say nothing about
// what was answered after the renewal was sent.
func (l *ledger) lookSent(look work.RuntimeReply, fence int64, sent, now time.Time) bool {
	if !l.answer(look, fence, now) || look.Refusal != work.Accepted {
		return false
	}
	if look.StartedAtMS > l.instance.StartedAtMS {
		a := l.instance
		a.StartedAtMS, a.Sequence = look.StartedAtMS, 0
		l.renew(a, now)
		return true
	}
	l.doubtful = false
	l.fenceListed = max(l.fenceListed, fence)
	changed := !l.answered
	l.answered = l.answered || fence >= l.fence
	changed = changed && l.answered
	for _, e := range look.Ended {
		known := slices.ContainsFunc(l.ended, func(o work.RunEnd) bool { return o.Seq == e.Seq })
		if e.Seq > l.seen && !known {
			l.ended = append(l.ended, e)
			changed = true
		}
	}
	running := l.newer(look.Running, sent)
	changed = changed || !sameRuns(l.running, running)
	l.running = running
	l.forgetPaces()
	return l.resolveStops(fence, sent) || changed
}

// newer adds the runs to a list that were started after it was asked for.
func (l *ledger) newer(running []work.RunStatus, sent time.Time) []work.RunStatus {
	running = slices.Clone(running)
	for k, at := range l.started {
		switch {
		case at.Before(sent):
			delete(l.started, k)
		case !l.ends(k) && !slices.ContainsFunc(running, func(s work.RunStatus) bool { return s.Key == k }):
			running = append(running, work.RunStatus{Key: k})
		}
	}
	return running
}

// refusedOld notes that the worker refuses a start because the run has ended or
// was stopped there. The next lists tell how; without an end in them the start
// is refused for good.
func (l *ledger) refusedOld(k work.RunKey, fence int64, now time.Time) {
	if _, ok := l.stopped[k]; !ok {
		l.stopped[k] = stopped{fence, now}
	}
}

// resolveStops refuses the starts of runs that were stopped before they came:
// the worker has answered the stop and then lists them neither as running nor
// as ended.
func (l *ledger) resolveStops(fence int64, sent time.Time) bool {
	changed := false
	for k, st := range l.stopped {
		switch {
		case l.ends(k):
			delete(l.stopped, k)
		case !l.listed(k) && fence >= st.fence && sent.After(st.at) && l.refuse(k, work.RefusedOutdated):
			delete(l.stopped, k)
			changed = true
		}
	}
	return changed
}

func sameRuns(a, b []work.RunStatus) bool {
	return slices.EqualFunc(a, b, func(x, y work.RunStatus) bool { return x.Key == y.Key && x.Checkpoint == y.Checkpoint })
}

// ends reports whether the run is known as ended.
func (l *ledger) ends(k work.RunKey) bool {
	return slices.ContainsFunc(l.ended, func(e work.RunEnd) bool { return e.Key == k })
}

// mayStart reports whether a start of the run is to be sent. The leader places a
// refused run elsewhere, so an order that was under way has to be passed over.
func (l *ledger) mayStart(k work.RunKey) bool {
	return !l.listed(k) && !l.isRefused(k)
}

func (l *ledger) isRefused(k work.RunKey) bool {
	return slices.ContainsFunc(l.refused, func(r control.Refused) bool { return r.Key == k })
}

// mayStop reports whether a stop of the run is to be sent.
func (l *ledger) mayStop(k work.RunKey, now time.Time) bool {
	st, ok := l.stopped[k]
	return !l.ends(k) && (!ok || now.Sub(st.at) > stopAgain)
}

// listed reports whether the run is known as running or ended.
func (l *ledger) listed(k work.RunKey) bool {
	return l.ends(k) || slices.ContainsFunc(l.running, func(s work.RunStatus) bool { return s.Key == k })
}

// refuse notes an order that will never be carried out. A start with a lower
// fence that got no answer may still be carried out until the worker has seen
// a higher one.
func (l *ledger) refuse(k work.RunKey, why work.Refusal) bool {
	if f, ok := l.unanswered[k]; ok && f >= l.fenceSeen {
		return false
	}
	delete(l.unanswered, k)
	if !l.isRefused(k) {
		l.refused = append(l.refused, control.Refused{Key: k, Reason: why})
	}
	return true
}

// giveUp refuses a run whose starts got no answer, unless one of them may have
// been carried out: the lists of a renewal with a higher fence do not show the
// run, and the worker passes over starts with a lower fence from there on.
func (l *ledger) giveUp(k work.RunKey) bool {
	f, ok := l.unanswered[k]
	return ok && f < l.fenceListed && !l.listed(k) && l.refuse(k, work.RefusedUnresponsive)
}

// settle forgets refusals that the leader has taken note of: it no longer
// orders them.
func (l *ledger) settle(o control.Orders) {
	l.refused = slices.DeleteFunc(l.refused, func(r control.Refused) bool {
		return !slices.Contains(o.Stops, r.Key) && !slices.ContainsFunc(o.Starts, func(s work.Start) bool { return s.Key == r.Key })
	})
}
