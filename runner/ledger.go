// Package runner is the agent beside a worker. It keeps the leases of the
// worker's runs, carries out the leader's orders, and reports what runs and
// what has ended.
package runner

import (
	"slices"
	"strconv"
	"time"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// silentAfter is the time without an answer after which a worker gets no
	// more tasks.
	silentAfter = 1500 * time.Millisecond
	// rememberGone bounds the incarnations that are reported as ended.
	rememberGone = 16
)

// stopAgain is how long a stop that was answered is not repeated. The worker
// needs up to a second to carry it out.
const stopAgain = 1500 * time.Millisecond

// stopped is a stop that the worker has answered.
type stopped struct {
	fence int64
	at    time.Time
}

// ledger is what an agent knows about its worker. It is pure: the caller gives
// the time.
type ledger struct {
	agent    string
	instance work.Announcement
	heard    time.Time // when instance arrived
	known    bool      // instance has announced itself
	answered bool      // and has answered since with the present fence
	left     bool
	gone     []string
	presumed string    // incarnation that was taken for ended without a word of its own
	refusing time.Time // since when nothing listens at the worker's address

	fence      int64 // of the next call
	fenceSeen  int64 // highest fence with which the worker has answered
	clock      time.Duration
	clockAt    time.Time // when the answer with clock arrived
	answerAt   time.Time
	until      time.Time // latest end of a lease that the worker may have
	leaseFrom  time.Time // stamp of the report that the leader has answered
	epoch      uint64
	seen       uint64 // ends that the leader has recorded
	doubtful   bool   // a call got no answer since the worker last said which life it is in
	running    []work.RunStatus
	ended      []work.RunEnd
	refused    []control.Refused
	unanswered map[work.RunKey]int64     // highest fence of an unanswered start
	started    map[work.RunKey]time.Time // starts that the worker has accepted, and when
	stopped    map[work.RunKey]stopped   // stops that the worker has answered
	paced      map[work.RunKey]int       // shares that the worker has taken
}

func newLedger(agent string, fence int64) *ledger {
	return &ledger{agent: agent, fence: fence, unanswered: make(map[work.RunKey]int64), stopped: make(map[work.RunKey]stopped), started: make(map[work.RunKey]time.Time), paced: make(map[work.RunKey]int)}
}

// incarnation names the present life of the worker.
func (l *ledger) incarnation() string { return l.incarnationOf(l.instance) }

func (l *ledger) incarnationOf(a work.Announcement) string {
	return control.Incarnation(l.agent, a.ID+"/"+strconv.FormatInt(a.Born, 10))
}

// announce takes a status report of the worker and reports whether it began a
// new incarnation. Reports of earlier incarnations, and reports that were
// overtaken, change nothing.
func (l *ledger) announce(a work.Announcement, now time.Time) bool {
	if l.known && a.Born < l.instance.Born {
		return false
	}
	if l.presumed != "" && l.presumed == l.incarnationOf(a) {
		l.gone = slices.DeleteFunc(l.gone, func(g string) bool { return g == l.presumed })
		l.presumed = ""
	}
	if slices.Contains(l.gone, l.incarnationOf(a)) {
		return false
	}
	if l.known && a.ID == l.instance.ID && a.Born == l.instance.Born {
		if a.Sequence > l.instance.Sequence {
			l.instance, l.heard = a, now
		}
		return false
	}
	l.renew(a, now)
	return true
}

// renew begins a new incarnation. The fence rises, so calls meant for the
// earlier one that arrive late have no effect after the first answer.
func (l *ledger) renew(a work.Announcement, now time.Time) {
	if l.known {
		l.end(l.incarnation())
	}
	l.instance, l.heard, l.known, l.left, l.answered = a, now, true, false, false
	l.fence++
	l.fenceSeen, l.seen, l.running, l.ended, l.refused = 0, 0, nil, nil, nil
	l.clock, l.clockAt, l.answerAt = 0, time.Time{}, now
	// An earlier process of this agent may have leased runs until then.
	l.until = now.Add(control.Lease)
	clear(l.unanswered)
	clear(l.stopped)
	clear(l.started)
	clear(l.paced)
}

func (l *ledger) end(incarnation string) {
	l.gone = append(l.gone, incarnation)
	if len(l.gone) > rememberGone {
		l.gone = l.gone[1:]
	}
}

// leave notes that the worker has gone.
func (l *ledger) leave(id string) {
	if l.known && l.instance.ID == id {
		l.end(l.incarnation())
		l.known, l.answered, l.left = false, false, true
		l.running, l.ended, l.refused = nil, nil, nil
	}
}

// absentAfter is the time in which nothing listens at a worker's address after
// which its process has ended. It is several tries.
const absentAfter = 400 * time.Millisecond

// absent notes that nothing listens at the worker's address and reports
// whether the worker is taken for ended. If it reports again it is back, and
// the leader stops what still runs there.
func (l *ledger) absent(now time.Time) bool {
	if l.refusing.IsZero() {
		l.refusing = now
	}
	if !l.known || now.Sub(l.refusing) < absentAfter {
		return false
	}
	l.refusing, l.presumed = time.Time{}, l.incarnation()
	l.leave(l.instance.ID)
	return true
}

// lease takes the leader's answer to a report.
func (l *ledger) lease(o control.Orders) bool {
	if o.Epoch < l.epoch {
		return false
	}
	l.epoch = o.Epoch
	if o.Leased && o.Echo.After(l.leaseFrom) {
		l.leaseFrom = o.Echo
	}
	if o.Incarnation == l.incarnation() && o.Seen > l.seen {
		l.seen = o.Seen
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
func (l *ledger) answer(look work.Look, fence int64, now time.Time) bool {
	l.refusing = time.Time{}
	if look.Refusal == work.RefusedInstance {
		return false
	}
	if look.Refusal == work.RefusedFence {
		l.raise(fence + fenceLeap)
		return false
	}
	if look.Refusal != work.RefusedOther {
		l.fenceSeen = max(l.fenceSeen, fence)
		l.answerAt = now
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

// starting notes that the worker has accepted a start.
func (l *ledger) starting(k work.RunKey, now time.Time) {
	delete(l.unanswered, k)
	l.started[k] = now
	if !l.listed(k) {
		l.running = append(l.running, work.RunStatus{Key: k})
	}
}

// look takes the lists of a hold that was sent just now.
func (l *ledger) look(look work.Look, fence int64, now time.Time) bool {
	return l.lookSent(look, fence, now, now)
}

// lookSent takes the lists of a hold and reports whether they changed. Answers
// on different connections overtake each other, so the lists say nothing about
// what was answered after the hold was sent.
func (l *ledger) lookSent(look work.Look, fence int64, sent, now time.Time) bool {
	if !l.answer(look, fence, now) || look.Refusal != work.Accepted {
		return false
	}
	if look.Born > l.instance.Born {
		a := l.instance
		a.Born, a.Sequence = look.Born, 0
		l.renew(a, now)
		return true
	}
	l.doubtful = false
	changed := !l.answered
	l.answered = l.answered || fence >= l.fence
	changed = changed && l.answered
	running := l.newer(look.Running, sent)
	changed = changed || !sameRuns(l.running, running)
	l.running = running
	l.forgetPaces()
	for _, e := range look.Ended {
		known := slices.ContainsFunc(l.ended, func(o work.RunEnd) bool { return o.Seq == e.Seq })
		if e.Seq > l.seen && !known {
			l.ended = append(l.ended, e)
			changed = true
		}
	}
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

// resolveStops refuses the starts of runs that were stopped before they came:
// the worker has answered the stop and then lists them neither as running nor
// as ended.
func (l *ledger) resolveStops(fence int64, sent time.Time) bool {
	changed := false
	for k, st := range l.stopped {
		switch {
		case l.ends(k):
			delete(l.stopped, k)
		case !l.listed(k) && fence >= st.fence && sent.After(st.at) && l.refuse(k, work.RefusedOld):
			delete(l.stopped, k)
			changed = true
		}
	}
	return changed
}

func sameRuns(a, b []work.RunStatus) bool {
	return slices.EqualFunc(a, b, func(x, y work.RunStatus) bool { return x.Key == y.Key && x.Saved == y.Saved })
}

// ends reports whether the run is known as ended.
func (l *ledger) ends(k work.RunKey) bool {
	return slices.ContainsFunc(l.ended, func(e work.RunEnd) bool { return e.Key == k })
}

// mayStop reports whether a stop of the run is to be sent.
func (l *ledger) mayStop(k work.RunKey, now time.Time) bool {
	st, ok := l.stopped[k]
	return !l.ends(k) && (!ok || now.Sub(st.at) > stopAgain)
}

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
	if !slices.ContainsFunc(l.refused, func(r control.Refused) bool { return r.Key == k }) {
		l.refused = append(l.refused, control.Refused{Key: k, Why: why})
	}
	return true
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
func (l *ledger) unheard() { l.doubtful = true }

// lost notes a start that got no answer.
func (l *ledger) lost(k work.RunKey, fence int64) {
	l.unheard()
	l.unanswered[k] = max(l.unanswered[k], fence)
	l.raise(fence + 1)
}

// settle forgets refusals that the leader has taken note of: it no longer
// orders them.
func (l *ledger) settle(o control.Orders) {
	l.refused = slices.DeleteFunc(l.refused, func(r control.Refused) bool {
		return !slices.Contains(o.Stops, r.Key) && !slices.ContainsFunc(o.Starts, func(s control.Start) bool { return s.Key == r.Key })
	})
}

// report describes the worker for the leader.
func (l *ledger) report(now time.Time) control.Report {
	r := control.Report{Agent: l.agent, Stamp: now}
	if l.known && !l.answered {
		return r // an order for an earlier life may have started a run in this one
	}
	r.Gone = slices.Clone(l.gone)
	if !l.known {
		return r
	}
	a := l.instance
	r.Worker = &control.Worker{
		Incarnation: l.incarnation(), ID: a.ID, Service: a.Service, Domain: a.Domain, Rack: a.Rack, Labels: a.Labels,
		Capacity: a.Capacity, Draining: a.State == work.WorkerDraining, Remaining: max(0, a.Remaining-now.Sub(l.heard)),
		Silent: now.Sub(l.answerAt) > silentAfter,
	}
	r.Worker.Lapsed = r.Worker.Silent && now.After(l.until.Add(control.LapseMargin))
	r.Running, r.Ended, r.Refused = slices.Clone(l.running), slices.Clone(l.ended), slices.Clone(l.refused)
	return r
}
