// Package runner is the agent beside a worker. It keeps the leases of the
// worker's runs, carries out the leader's orders, and reports what runs and
// what has ended.
package runner

import (
	"slices"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// silentAfter is the time without an answer after which a worker gets no
	// more tasks.
	silentAfter = 1500 * time.Millisecond
	// failsToSilent is the number of calls in a row without an answer after which
	// a worker is silent as well, unless it has answered within failsWithin: a
	// worker that refuses connections fails them in no time.
	failsToSilent = 3
	failsWithin   = 300 * time.Millisecond
	// rememberGone bounds the incarnations that are reported as ended.
	rememberGone = 16
)

// ledger is what an agent knows about its worker. It is pure: the caller gives
// the time.
type ledger struct {
	agent    string
	instance work.Announcement
	heard    time.Time // when instance arrived
	known    bool      // instance has announced itself
	answered bool      // and has answered since with the present fence
	gone     []string
	presumed string    // incarnation that was taken for ended without a word of its own
	refusing time.Time // since when nothing listens at the worker's address

	fence       int64 // of the next call
	fenceSeen   int64 // highest fence with which the worker has answered
	fenceListed int64 // highest fence of a lease renewal that the worker has answered with its lists
	clock       time.Duration
	clockAt     time.Time // when the answer with clock arrived
	answerAt    time.Time
	until       time.Time // latest end of a lease that the worker may have
	leaseFrom   time.Time // stamp of the report that the leader has answered
	epoch       uint64
	seen        uint64 // ends that the leader has recorded
	fails       int    // calls in a row without an answer
	doubtful    bool   // a call got no answer since the worker last said which life it is in
	running     []work.RunStatus
	ended       []work.RunEnd
	refused     []control.Refused
	unanswered  map[work.RunKey]int64     // highest fence of an unanswered start
	started     map[work.RunKey]time.Time // starts that the worker has accepted, and when
	stopped     map[work.RunKey]stopped   // stops that the worker has answered
	paced       map[work.RunKey]int       // shares that the worker has taken
}

func newLedger(agent string, fence int64) *ledger {
	return &ledger{agent: agent, fence: fence, unanswered: make(map[work.RunKey]int64), stopped: make(map[work.RunKey]stopped), started: make(map[work.RunKey]time.Time), paced: make(map[work.RunKey]int)}
}

// lease takes the leader's answer to a report.
func (l *ledger) lease(o control.Orders) bool {
	if o.Epoch < l.epoch {
		return false
	}
	l.epoch = o.Epoch
	if o.ExtendsLease && o.Echo.After(l.leaseFrom) {
		l.leaseFrom = o.Echo
	}
	if o.Incarnation == l.incarnation() && o.AckedSeq > l.seen {
		l.seen = o.AckedSeq
		l.ended = slices.DeleteFunc(l.ended, func(e work.RunEnd) bool { return e.Seq <= l.seen })
	}
	return true
}

// deadline returns the time of the worker's clock until which runs may be
// leased, or 0 if no lease may be given. The worker's clock may be slow, so
// the lease is shorter on it. A silent worker gets no lease: a call without an
// answer may have been carried out, so its leases would never be over.
func (l *ledger) deadline(now time.Time) time.Duration {
	until := l.leaseFrom.Add(control.Lease)
	if l.clockAt.IsZero() || !until.After(now) || now.Sub(l.answerAt) > silentAfter {
		return 0
	}
	left := until.Sub(l.clockAt)
	if until.After(l.until) {
		l.until = until
	}
	return l.clock + time.Duration(float64(left)*(1-control.ClockDrift))
}

// answer takes what the worker says and reports whether it changed anything
// that the leader should know at once.
func (l *ledger) answer(look work.RuntimeReply, fence int64, now time.Time) bool {
	l.refusing = time.Time{}
	if look.Refusal == work.RefusedInstance {
		return false
	}
	if look.Refusal == work.RefusedFence {
		l.raise(fence + fenceLeap)
		return false
	}
	if look.Refusal != work.RefusedUnhealthy {
		l.fenceSeen = max(l.fenceSeen, fence)
		l.answerAt, l.fails = now, 0
	}
	if look.Clock > 0 {
		l.clock, l.clockAt = look.Clock, now
	}
	return true
}

// fenceLeap passes the fences of an earlier agent whose clock was ahead.
const fenceLeap = 60_000

// raise makes the fence at least n.
func (l *ledger) raise(n int64) { l.fence = max(l.fence, n) }

// fullPace is the share at which a run begins.
const fullPace = 100

// mayPace reports whether an order for the speed of a run says anything new.
func (l *ledger) mayPace(k work.RunKey, percent int) bool {
	at, ok := l.paced[k]
	if !ok {
		at = fullPace
	}
	return at != percent && l.listed(k) && !l.ends(k)
}

// forgetPaces drops the speeds of runs that have ended.
func (l *ledger) forgetPaces() {
	for k := range l.paced {
		if !l.listed(k) {
			delete(l.paced, k)
		}
	}
}

// lastSeen is the end up to which the worker may forget. After a call without
// an answer the worker may be in another life, whose numbers start anew.
func (l *ledger) lastSeen() uint64 {
	if l.doubtful {
		return 0
	}
	return l.seen
}

// unheard notes a call that got no answer.
func (l *ledger) unheard() {
	l.doubtful = true
	l.fails++
}

// silent reports whether the worker gets no more tasks because it does not
// answer.
func (l *ledger) silent(now time.Time) bool {
	since := now.Sub(l.answerAt)
	return since > silentAfter || (l.fails >= failsToSilent && since > failsWithin)
}

// lost notes a start that got no answer.
func (l *ledger) lost(k work.RunKey, fence int64) {
	l.unheard()
	l.unanswered[k] = max(l.unanswered[k], fence)
	l.raise(fence + 1)
}

// report describes the worker for the leader.
func (l *ledger) report(now time.Time) control.Report {
	r := control.Report{Agent: l.agent, Stamp: now}
	if l.known && !l.answered {
		return r // an order for an earlier life may have started a run in this one
	}
	r.EndedIncarnations = slices.Clone(l.gone)
	if !l.known {
		return r
	}
	a := l.instance
	r.Worker = &control.Worker{
		Incarnation: l.incarnation(), ID: a.ID, Service: a.Service, Domain: a.Domain, Rack: a.Rack, Labels: a.Labels,
		Capacity: a.Capacity, Draining: a.State == work.WorkerDraining, Remaining: max(0, a.Remaining-now.Sub(l.heard)),
		Unresponsive: l.silent(now),
	}
	r.Worker.LeasesLapsed = r.Worker.Unresponsive && now.After(l.until.Add(control.LapseMargin))
	r.Running, r.Ended, r.Refused = slices.Clone(l.running), slices.Clone(l.ended), slices.Clone(l.refused)
	return r
}
