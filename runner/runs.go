package runner

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

// stopRetryInterval is the time after which a stop to which the worker has replied is
// sent again. The worker needs up to a second to carry it out.
const stopRetryInterval = 1500 * time.Millisecond

// settledRun is a run whose stop the worker has answered, or whose start it refused as
// outdated.
type settledRun struct {
	fence int64
	at    time.Time
}

// recordAcceptedStart records that the worker has accepted a start.
func (w *workerState) recordAcceptedStart(k work.RunKey, now time.Time) {
	delete(w.unansweredStarts, k)
	w.acceptedStarts[k] = now
	if !w.hasRun(k) {
		w.running = append(w.running, work.RunStatus{Key: k})
	}
}

// applyRenewal takes the running and ended runs from the reply to a lease renewal and
// reports whether they changed. Replies on different connections overtake each other,
// so the lists say nothing about calls to which the worker has replied after the
// renewal was sent.
func (w *workerState) applyRenewal(reply work.RuntimeReply, fence int64, sent, now time.Time) bool {
	if reply.Refusal == work.Accepted && w.isOfAnother(reply) {
		a := w.announcement
		a.StartedAtMS, a.Sequence, a.Capacity = reply.StartedAtMS, 0, work.Shape{} // not announced yet
		if announced, ok := w.dropCandidate(w.incarnationOf(a)); ok {
			a = announced
		}
		w.withdrawEnd(w.incarnationOf(a)) // it replies
		w.startIncarnation(a, now)
		return true
	}
	if !w.applyReply(reply, fence, now) || reply.Refusal != work.Accepted {
		return false
	}
	w.incarnationUncertain = false
	w.renewedFence = max(w.renewedFence, fence)
	changed := !w.confirmed || w.moreEnded != reply.MoreEnded
	w.moreEnded = reply.MoreEnded
	w.confirmed = w.confirmed || fence >= w.fence
	changed = changed && w.confirmed
	for _, e := range reply.Ended {
		known := slices.ContainsFunc(w.ended, func(o work.RunEnd) bool { return o.Seq == e.Seq })
		if e.Seq > w.ackedSeq && !known {
			w.ended = append(w.ended, e)
			changed = true
		}
	}
	running := w.addRecentStarts(reply.Running, sent)
	changed = changed || !sameRuns(w.running, running)
	w.running = running
	w.recordRunning(now)
	w.pruneThrottles()
	return w.refuseSettledStarts(fence, sent) || changed
}

// recordRunning records since when runs are listed.
func (w *workerState) recordRunning(now time.Time) {
	since := make(map[work.RunKey]time.Time, len(w.running))
	for _, run := range w.running {
		first, ok := w.runningSince[run.Key]
		if !ok {
			first = now
		}
		since[run.Key] = first
	}
	w.runningSince = since
}

// renewalWait returns how long a lease renewal may wait at the worker for a run to end.
func (w *workerState) renewalWait(now time.Time) time.Duration {
	if len(w.running) > maxYoungRuns {
		return renewalWait
	}
	for _, run := range w.running {
		if since, ok := w.runningSince[run.Key]; !ok || now.Sub(since) < youngRunAge {
			return youngRenewalWait
		}
	}
	return renewalWait
}

// addRecentStarts returns the running runs of a reply, and those whose start was
// accepted after the renewal was sent.
func (w *workerState) addRecentStarts(running []work.RunStatus, sent time.Time) []work.RunStatus {
	running = slices.Clone(running)
	for k, at := range w.acceptedStarts {
		switch {
		case at.Before(sent):
			delete(w.acceptedStarts, k)
		case !w.hasEnded(k) && !work.ListsRun(running, k):
			running = append(running, work.RunStatus{Key: k})
		}
	}
	return running
}

// recordOutdatedStart records that the worker refuses a start because the run has
// ended or was stopped there. The next lease renewal shows how it ended; if it lists
// no end of the run, the refusal is reported.
func (w *workerState) recordOutdatedStart(k work.RunKey, fence int64, now time.Time) {
	if _, ok := w.settledRuns[k]; !ok {
		w.settledRuns[k] = settledRun{fence, now}
	}
}

// refuseSettledStarts records a refusal for the settled runs that a later lease renewal
// lists neither as running nor as ended: their stop arrived before their start, or their
// end was discarded.
func (w *workerState) refuseSettledStarts(fence int64, sent time.Time) bool {
	changed := false
	for k, st := range w.settledRuns {
		switch {
		case w.hasEnded(k):
			delete(w.settledRuns, k)
		case fence >= st.fence && sent.After(st.at) && w.recordRefusal(k, work.RefusedOutdated):
			delete(w.settledRuns, k)
			changed = true
		}
	}
	return changed
}

func sameRuns(a, b []work.RunStatus) bool {
	return slices.EqualFunc(a, b, func(x, y work.RunStatus) bool { return x.Key == y.Key && x.Checkpoint == y.Checkpoint })
}

// lapsedRuns returns the runs that the worker still lists as running in the reply to a
// lease renewal, although their leases have lapsed by the agent's clock. The leader may
// have started them on another worker. The worker's clock does not count the time for
// which the machine was suspended.
func (w *workerState) lapsedRuns(sent time.Time) []work.RunKey {
	if !sent.After(w.leasedUntil.Add(control.LapseMargin)) {
		return nil
	}
	var lapsed []work.RunKey
	for _, s := range w.running {
		lapsed = append(lapsed, s.Key)
	}
	return lapsed
}

// hasEnded reports whether the run is listed as ended.
func (w *workerState) hasEnded(k work.RunKey) bool {
	return slices.ContainsFunc(w.ended, func(e work.RunEnd) bool { return e.Key == k })
}

// shouldStart reports whether a start of the run should be sent. The leader places a
// refused run on another worker, so orders for it that arrive late are ignored. The worker
// refuses each start of a settled run.
func (w *workerState) shouldStart(k work.RunKey) bool {
	_, settled := w.settledRuns[k]
	return !settled && !w.hasRun(k) && !w.isRefused(k)
}

func (w *workerState) isRefused(k work.RunKey) bool {
	return slices.ContainsFunc(w.refused, func(r control.Refusal) bool { return r.Key == k })
}

// shouldStop reports whether a stop of the run should be sent.
func (w *workerState) shouldStop(k work.RunKey, now time.Time) bool {
	st, ok := w.settledRuns[k]
	return !w.hasEnded(k) && (!ok || now.Sub(st.at) > stopRetryInterval)
}

// hasRun reports whether the run is listed as running or ended.
func (w *workerState) hasRun(k work.RunKey) bool {
	return w.hasEnded(k) || work.ListsRun(w.running, k)
}

// recordRefusal records that a start is refused and reports true. It records nothing if
// the worker lists the run, or if an earlier start call without a reply was or may
// still be carried out. That is ruled out by an accepted lease renewal with a higher
// fence that does not list the run; a reply to any other call says nothing about it.
// While the lists lack ends, an earlier start may have been carried out and have ended,
// also one by an earlier process of the agent.
func (w *workerState) recordRefusal(k work.RunKey, reason work.Refusal) bool {
	if w.hasRun(k) || w.mayStillStart(k) || w.moreEnded {
		return false
	}
	delete(w.unansweredStarts, k)
	if !w.isRefused(k) {
		w.refused = append(w.refused, control.Refusal{Key: k, Reason: reason})
	}
	return true
}

// abandonStart records a refusal for a run whose starts got no reply, and reports
// whether it did. It needs a lease renewal with a higher fence that does not list the
// run: the start was not carried out before, and the worker refuses it from then on.
func (w *workerState) abandonStart(k work.RunKey) bool {
	_, ok := w.unansweredStarts[k]
	return ok && w.recordRefusal(k, work.RefusedUnresponsive)
}

// pruneRefusals removes the refusals that the leader has processed, which are those of
// runs that it no longer orders.
func (w *workerState) pruneRefusals(o control.Orders) {
	w.refused = slices.DeleteFunc(w.refused, func(r control.Refusal) bool {
		return !slices.Contains(o.Stops, r.Key) && !slices.Contains(o.Deferred, r.Key) && !slices.ContainsFunc(o.Starts, func(s work.Start) bool { return s.Key == r.Key })
	})
}
