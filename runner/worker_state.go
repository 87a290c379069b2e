package runner

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// unresponsiveAfter is the time without a reply after which a worker counts as
	// unresponsive and gets no more tasks.
	unresponsiveAfter = 1500 * time.Millisecond
	// maxFailedCalls is the number of consecutive calls without a reply after which a
	// worker counts as unresponsive before unresponsiveAfter has passed. It has to
	// have been without a reply for failedCallsGrace as well, because calls to a
	// worker that refuses connections fail at once.
	maxFailedCalls   = 3
	failedCallsGrace = 300 * time.Millisecond
	// maxEndedIncarnations bounds the number of incarnations that are reported as ended.
	maxEndedIncarnations = 16
)

// workerState is what an agent knows about its worker. Its methods make no calls and
// read no clock; the caller passes the current time.
type workerState struct {
	agent             string
	announcement      work.Announcement
	announcedAt       time.Time           // when announcement arrived
	registered        bool                // the worker has announced itself and has not ended
	confirmed         bool                // it has accepted a lease renewal with the current fence in this incarnation
	endedIncarnations []string            // oldest first
	leavingSince      time.Time           // when the worker has said that it is about to end, zero after a later status report
	presumedEnded     string              // incarnation that has said that it was about to end, and at whose address nothing listened then
	presumedEndedSeq  uint64              // of its latest status report
	series            reportSeries        // reports of the current incarnation that were not applied
	candidates        []work.Announcement // reports of incarnations that the worker has not confirmed, oldest first
	endedAt           time.Time           // when an incarnation was last taken for ended, zero if none was
	noListenerSince   time.Time           // first call that found no listener at the worker's address, zero after a reply
	noListener        bool                // that was so for noListenerAfter

	fence                int64         // fence of the next call
	renewedFence         int64         // highest fence of an accepted lease renewal
	workerClock          time.Duration // worker's clock in its latest reply
	workerClockAt        time.Time     // when the reply with workerClock arrived
	lastReplyAt          time.Time     // latest reply of a healthy worker, or the start of the incarnation
	leasedUntil          time.Time     // latest time until which a run may be leased
	leaseStart           time.Time     // stamp of the latest report with which the leader has extended the lease
	epoch                uint64        // highest epoch of a leader whose orders have arrived
	ackedSeq             uint64        // run ends up to this sequence number are recorded by the leader
	failedCalls          int           // consecutive calls without a reply
	incarnationUncertain bool          // a call has got no reply since the last accepted lease renewal
	running              []work.RunStatus
	runningSince         map[work.RunKey]time.Time // when a run was first listed
	ended                []work.RunEnd
	moreEnded            bool // the worker may have ended runs that its latest reply did not list
	refused              []control.Refusal
	unansweredStarts     map[work.RunKey]int64      // highest fence of the starts without a reply
	acceptedStarts       map[work.RunKey]time.Time  // when the worker has accepted a start
	settledRuns          map[work.RunKey]settledRun // runs whose stop the worker has answered, or whose start it refused as outdated
	throttles            map[work.RunKey]int        // speeds in percent that the worker has accepted
	demands              map[work.RunKey]work.Shape // capacity that runs take, as far as it is known
	startsInFlight       map[work.RunKey]bool       // starts that are being called
	largestCapacity      work.Shape                 // announced by the incarnation largestCapacityOf, by resource
	largestCapacityOf    string
}

func newWorkerState(agent string, fence int64) *workerState {
	return &workerState{agent: agent, fence: fence, unansweredStarts: make(map[work.RunKey]int64), settledRuns: make(map[work.RunKey]settledRun), acceptedStarts: make(map[work.RunKey]time.Time), throttles: make(map[work.RunKey]int), demands: make(map[work.RunKey]work.Shape), runningSince: make(map[work.RunKey]time.Time), startsInFlight: make(map[work.RunKey]bool)}
}

// applyLease takes the lease and the acknowledged sequence number from the leader's
// orders. It reports false for orders of an earlier leader, which have no effect.
func (w *workerState) applyLease(o control.Orders) bool {
	if o.Epoch < w.epoch {
		return false
	}
	w.epoch = o.Epoch
	if o.ExtendsLease && o.Echo.After(w.leaseStart) {
		w.leaseStart = o.Echo
	}
	if o.Incarnation == w.incarnation() && o.AckedSeq > w.ackedSeq {
		w.ackedSeq = o.AckedSeq
		w.ended = slices.DeleteFunc(w.ended, func(e work.RunEnd) bool { return e.Seq <= w.ackedSeq })
	}
	return true
}

// grantLease returns the time on the worker's clock until which runs are leased, or 0 if
// no lease may be granted, and records the lease in leasedUntil. The lease is shortened
// by control.ClockDrift, because the worker's clock may be slow. A worker without a
// reply for unresponsiveAfter gets no lease: a call without a reply may have been
// carried out, so leasedUntil would move on with every failed call and the leases would
// never lapse. A worker at whose address nothing listens gets none either.
func (w *workerState) grantLease(now time.Time) time.Duration {
	until := w.leaseStart.Add(control.Lease)
	if w.workerClockAt.IsZero() || !until.After(now) || now.Sub(w.lastReplyAt) > unresponsiveAfter || !w.noListenerSince.IsZero() {
		return 0
	}
	remaining := until.Sub(w.workerClockAt)
	if until.After(w.leasedUntil) {
		w.leasedUntil = until
	}
	return w.workerClock + time.Duration(float64(remaining)*(1-control.ClockDrift))
}

// applyReply takes the clock and the fence from a worker's reply. It reports false if
// the reply says nothing about the current incarnation, or if the worker refuses the
// fence as too low.
func (w *workerState) applyReply(reply work.RuntimeReply, fence int64, now time.Time) bool {
	w.noListenerSince, w.noListener = time.Time{}, false
	if reply.Refusal == work.RefusedInstance {
		return false
	}
	if w.isOfAnother(reply) {
		w.incarnationUncertain = true // the next lease renewal shows which one it is
		return false
	}
	if reply.Refusal == work.RefusedFence {
		w.raiseFence(fence + fenceJump)
		return false
	}
	if reply.Refusal != work.RefusedUnhealthy {
		w.lastReplyAt, w.failedCalls = now, 0
	}
	if reply.Clock > 0 {
		w.workerClock, w.workerClockAt = reply.Clock, now
	}
	return true
}

// fenceJump is added to a fence that the worker has refused as too low. Fences start
// at the Unix time in milliseconds, so it exceeds those of an earlier process of the
// agent whose clock was up to a minute ahead.
const fenceJump = 60_000

// raiseFence sets the fence of the next call to at least fence.
func (w *workerState) raiseFence(fence int64) { w.fence = max(w.fence, fence) }

// fullSpeedPercent is the speed at which a run starts.
const fullSpeedPercent = 100

// shouldThrottle reports whether the run is running at another speed than percent.
func (w *workerState) shouldThrottle(k work.RunKey, percent int) bool {
	current, ok := w.throttles[k]
	if !ok {
		current = fullSpeedPercent
	}
	return current != percent && w.hasRun(k) && !w.hasEnded(k)
}

// pruneThrottles removes the speeds of runs that are neither running nor listed as
// ended.
func (w *workerState) pruneThrottles() {
	for k := range w.throttles {
		if !w.hasRun(k) {
			delete(w.throttles, k)
		}
	}
}

// discardableSeq returns the sequence number up to which the worker may discard run
// ends. Sequence numbers start again in each incarnation, and after a call without a
// reply the next call may reach another incarnation, so it is 0 until the next
// accepted lease renewal.
func (w *workerState) discardableSeq() uint64 {
	if w.incarnationUncertain {
		return 0
	}
	return w.ackedSeq
}

// recordFailedCall records a call that got no reply.
func (w *workerState) recordFailedCall() {
	w.incarnationUncertain = true
	w.failedCalls++
}

// unresponsive reports whether the worker has not replied for so long, or to so many
// calls, that it gets no more tasks, or nothing listens at its address.
func (w *workerState) unresponsive(now time.Time) bool {
	since := now.Sub(w.lastReplyAt)
	return w.noListener || since > unresponsiveAfter || (w.failedCalls >= maxFailedCalls && since > failedCallsGrace)
}

// recordFailedStart records a start that got no reply. The fence rises, so that the
// worker refuses the start if it arrives after the next call.
func (w *workerState) recordFailedStart(k work.RunKey, fence int64) {
	w.recordFailedCall()
	w.unansweredStarts[k] = max(w.unansweredStarts[k], fence)
	w.raiseFence(fence + 1)
}

// report returns the report for the leader.
func (w *workerState) report(now time.Time) control.Report {
	r := control.Report{Agent: w.agent, Stamp: now}
	if w.registered && !w.confirmed {
		return r // an order for an earlier incarnation may have started a run in this one
	}
	r.EndedIncarnations, r.Left = slices.Clone(w.endedIncarnations), w.presumedEnded
	if !w.registered {
		return r
	}
	a := w.announcement
	r.Worker = &control.Worker{
		Incarnation: w.incarnation(), ID: a.ID, Service: a.Service, Domain: a.Domain, Rack: a.Rack, Labels: a.Labels,
		Capacity: a.Capacity, LargestCapacity: w.formerCapacity(), Draining: a.State == work.WorkerDraining, Remaining: max(0, a.Remaining-now.Sub(w.announcedAt)),
		Unresponsive: w.leaving() || w.unresponsive(now), NoListener: w.noListener,
	}
	r.Worker.LeasesLapsed = w.unresponsive(now) && now.After(w.leasedUntil.Add(control.LapseMargin))
	r.MoreEnded = w.moreEnded
	r.Running, r.Ended, r.Refused = slices.Clone(w.running), slices.Clone(w.ended), slices.Clone(w.refused)
	return r
}
