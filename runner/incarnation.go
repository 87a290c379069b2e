package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

// incarnation returns the name of the worker's current incarnation.
func (w *workerState) incarnation() string { return w.incarnationOf(w.announcement) }

func (w *workerState) incarnationOf(a work.Announcement) string {
	return control.Incarnation(w.agent, a.ID+"/"+strconv.FormatInt(a.StartedAtMS, 10))
}

// takesOrders reports whether the incarnation is the current one, has not left and has
// confirmed its fence. The leader may already have placed the runs of any other
// incarnation on another worker.
func (w *workerState) takesOrders(incarnation string) bool {
	return w.registered && w.confirmed && w.incarnation() == incarnation
}

// isCurrent reports whether orders are carried out that answer a report with the given
// stamp: it is not older than control.OrderMaxAge, nor from before an incarnation was taken
// for ended. That incarnation may count again under the same name.
func (w *workerState) isCurrent(stamp, now time.Time) bool {
	return now.Sub(stamp) <= control.OrderMaxAge && !stamp.Before(w.endedAt)
}

// applyAnnouncement processes a status report of the worker and reports whether it
// began a new incarnation. Reports of ended incarnations, and reports that arrive out of
// order, change nothing. A report of another incarnation than the current one may be
// outdated, or from another sender, so it only makes that incarnation a candidate.
func (w *workerState) applyAnnouncement(a work.Announcement, now time.Time) bool {
	incarnation := w.incarnationOf(a)
	if w.presumedEnded == incarnation && a.Sequence > w.presumedEndedSeq {
		w.withdrawEnd(incarnation)
	}
	switch {
	case slices.Contains(w.endedIncarnations, incarnation):
	case !w.registered:
		w.startIncarnation(a, now)
		return true
	case incarnation != w.incarnation():
		w.addCandidate(a)
	case w.shouldApply(a, now):
		w.announcement, w.announcedAt, w.leavingSince = a, now, time.Time{}
	}
	return false
}

// startIncarnation begins a new incarnation. The fence rises, so late calls meant for
// the earlier incarnation have no effect once the worker has replied to the new fence.
func (w *workerState) startIncarnation(a work.Announcement, now time.Time) {
	if w.registered {
		w.recordEndedIncarnation(w.incarnation())
	}
	w.dropCandidate(w.incarnationOf(a))
	w.announcement, w.announcedAt, w.registered, w.confirmed = a, now, true, false
	w.fence++
	w.renewedFence, w.ackedSeq, w.running, w.ended, w.moreEnded, w.refused = 0, 0, nil, nil, false, nil
	w.leavingSince, w.noListenerSince, w.noListener, w.series = time.Time{}, time.Time{}, false, reportSeries{}
	w.workerClock, w.workerClockAt, w.lastReplyAt, w.failedCalls = 0, time.Time{}, now, 0
	// An earlier process of this agent may have granted leases up to this time.
	w.leasedUntil = now.Add(control.Lease)
	clear(w.unansweredStarts)
	clear(w.settledRuns)
	clear(w.acceptedStarts)
	clear(w.throttles)
	w.recordCapacity()
}

func (w *workerState) recordEndedIncarnation(incarnation string) {
	w.endedIncarnations = append(w.endedIncarnations, incarnation)
	if len(w.endedIncarnations) > maxEndedIncarnations {
		w.endedIncarnations = w.endedIncarnations[1:]
	}
}

// withdrawEnd records that an incarnation has not ended after all.
func (w *workerState) withdrawEnd(incarnation string) {
	w.endedIncarnations = slices.DeleteFunc(w.endedIncarnations, func(ended string) bool { return ended == incarnation })
	if w.presumedEnded == incarnation {
		w.presumedEnded = ""
	}
}

// recordLeaving records that the worker has said that it is about to end, and reports
// whether that concerns the current incarnation. Such a message names no incarnation and
// may be late, so it is no proof of an end: the worker only gets no more tasks until its
// next status report.
func (w *workerState) recordLeaving(id string, now time.Time) bool {
	if !w.registered || w.announcement.ID != id {
		return false
	}
	w.leavingSince = now
	return true
}

func (w *workerState) leaving() bool { return !w.leavingSince.IsZero() }

// recordEnd records that the worker's process has ended. A later status report of the
// same incarnation reverses this, and the leader then stops the runs that are still
// running there.
func (w *workerState) recordEnd() {
	w.presumedEnded, w.presumedEndedSeq = w.incarnation(), w.announcement.Sequence
	w.recordEndedIncarnation(w.presumedEnded)
	w.registered, w.confirmed = false, false
	w.running, w.ended, w.refused = nil, nil, nil
	w.leavingSince, w.noListenerSince, w.noListener = time.Time{}, time.Time{}, false
}

// noListenerAfter is how long nothing has to listen at a worker's address until it is
// reported. It spans several calls.
const noListenerAfter = 400 * time.Millisecond

// recordNoListener records that a call that was sent at the given time has found that
// nothing listens at the worker's address, and reports whether the incarnation has ended.
// A worker that only refuses connections goes on with its runs, so it has ended only if
// it has said before that it was about to end.
func (w *workerState) recordNoListener(sent, now time.Time) bool {
	if w.noListenerSince.IsZero() {
		w.noListenerSince = now
	}
	w.noListener = now.Sub(w.noListenerSince) >= noListenerAfter
	if !w.registered || !w.leaving() || !sent.After(w.leavingSince) {
		return false
	}
	w.endedAt = now
	w.recordEnd()
	return true
}
