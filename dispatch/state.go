// Package dispatch decides which waiting call goes to which upstream, and which
// calls are refused or tried again.
package dispatch

import (
	"fmt"
	"math"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Event is something that happened to a router: Arrived, Reported, Returned,
// Withdrawn or Ticked.
type Event interface {
	apply(s *State, now time.Time)
}

// Arrived is a new call.
type Arrived struct {
	Ticket     Ticket
	Account    string
	Class      rosemarysill.Class
	Idempotent bool
	Deadline   time.Time
}

// Reported is the list of all upstreams that the entry knows.
type Reported struct{ Upstreams []rosemarysill.UpstreamState }

// Returned is the end of a forward. Each Send is followed by one Returned.
type Returned struct {
	Ticket Ticket
	Code   rosemarysill.Code
	Detail string
	Took   time.Duration
	// Sent is false when the router itself stopped before it used the upstream.
	Sent bool
}

// Withdrawn tells that the caller does not wait any more.
type Withdrawn struct{ Ticket Ticket }

// Ticked tells that time has passed.
type Ticked struct{}

// Effect is something that a router has to do: Send, End or Log.
type Effect interface{ effect() }

// Send forwards a call to an upstream, whose slot is counted as taken until
// Returned.
type Send struct {
	Ticket   Ticket
	Upstream rosemarysill.AgentIdentity
	Attempt  int
}

// End answers a call. It is the last effect for its ticket.
type End struct {
	Ticket Ticket
	Code   rosemarysill.Code
	Detail string
}

// Changed tells that an upstream was set aside or is used again.
type Changed struct {
	Upstream string
	SetAside bool
	Until    time.Time
}

func (Send) effect()    {}
func (End) effect()     {}
func (Changed) effect() {}

// State is the state of a router. It is changed by Decide alone, uses no clock
// and no random source, and the same events at the same times give the same
// effects. It is not safe for concurrent use.
type State struct {
	limits  Limits
	queues  queues
	fleet   fleet
	tickets map[Ticket]*ticket
	budget  int // thousandths of retries that are left
	service [3]average
	effects []Effect
}

// NewState returns a state without calls or upstreams.
func NewState(l Limits) *State {
	return &State{limits: l, queues: newQueues(), tickets: map[Ticket]*ticket{}, budget: thousandths(l.RetryReserve)}
}

// thousandths keeps the budget in whole numbers: sums of 0.1 lose a retry.
func thousandths(retries float64) int { return int(math.Round(retries * 1000)) }

// Decide applies the event and returns what is to be done. The effects are
// valid until the next call.
func (s *State) Decide(e Event, now time.Time) []Effect {
	s.effects = s.effects[:0]
	e.apply(s, now)
	s.dispatch(now)
	return s.effects
}

// Waiting returns the number of calls in the queues.
func (s *State) Waiting() int { return s.queues.waiting() }

// Forwarded reports whether the call has been sent to an upstream, now or
// before.
func (s *State) Forwarded(id Ticket) bool {
	t, ok := s.tickets[id]
	return ok && t.attempts > 0
}

// InProgress returns the number of calls forwarded and not returned.
func (s *State) InProgress() int { return len(s.tickets) - s.queues.waiting() }

func (e Arrived) apply(s *State, now time.Time) {
	s.budget = min(s.budget+thousandths(s.limits.RetryShare), thousandths(max(s.limits.RetryMost, s.limits.RetryReserve)))
	if code, detail := s.Refusal(e.Account, e.Class, e.Deadline, now); code != rosemarysill.Done {
		s.effects = append(s.effects, End{Ticket: e.Ticket, Code: code, Detail: detail})
		return
	}
	t := &ticket{id: e.Ticket, account: e.Account, class: e.Class, idempotent: e.Idempotent, deadline: e.Deadline}
	s.tickets[t.id] = t
	s.queues[t.class.Rank()].push(t)
}

// Refusal returns the code with which a call would be refused on arrival, or
// Done.
func (s *State) Refusal(account string, class rosemarysill.Class, deadline, now time.Time) (rosemarysill.Code, string) {
	rank := class.Rank()
	if rank >= len(s.queues) {
		return rosemarysill.InvalidRequest, "unknown class"
	}
	if !now.Before(deadline) {
		return rosemarysill.DeadlineUnmeetable, "the deadline has passed"
	}
	if s.queues.length(rank, account) >= s.queues.most(&s.limits) {
		return rosemarysill.QueueFull, "the queue of the account and class is full"
	}
	if s.queues.waiting() >= s.limits.Queued {
		return rosemarysill.QueueFull, "the queue of the entry is full"
	}
	slots, free := s.fleet.slots(now, &s.limits)
	if slots == 0 {
		return rosemarysill.NoUpstream, "no upstream may take the call"
	}
	if need := s.estimate(account, rank, deadline, now, slots, free); now.Add(need).After(deadline) {
		return rosemarysill.DeadlineUnmeetable, fmt.Sprintf("calls take about %s at present", need.Round(time.Millisecond))
	}
	return rosemarysill.Done, ""
}

// estimate returns the time until the answer of a new call by the service times
// observed lately; 0 when there are none.
func (s *State) estimate(account string, rank int, deadline, now time.Time, slots, free int) time.Duration {
	ahead, work := 0, time.Duration(0)
	for r := 0; r <= rank; r++ {
		n := s.queues[r].waiting
		if r == rank {
			n = s.queues[r].ahead(account, deadline)
		}
		ahead += n
		work += time.Duration(n) * s.service[r].recent(now, s.limits.ForgetAfter)
	}
	own := s.service[rank].recent(now, s.limits.ForgetAfter)
	if ahead < free {
		return own
	}
	// The last term is the wait for the slot of the call itself.
	return own + (work+own)/time.Duration(slots)
}

func (e Reported) apply(s *State, _ time.Time) { s.fleet = s.fleet.update(e.Upstreams) }

func (e Ticked) apply(s *State, now time.Time) {
	for i := range s.queues {
		for _, t := range s.queues[i].expired(now) {
			s.end(t, rosemarysill.DeadlineUnmeetable, "the deadline passed in the queue")
		}
	}
}

func (e Withdrawn) apply(s *State, _ time.Time) {
	t, ok := s.tickets[e.Ticket]
	if !ok {
		return
	}
	if t.at != nil {
		t.withdrawn = true
		return
	}
	s.queues[t.class.Rank()].remove(t)
	s.end(t, rosemarysill.CancelledUnstarted, "the caller closed the connection before the call was forwarded")
}

func (e Returned) apply(s *State, now time.Time) {
	t, ok := s.tickets[e.Ticket]
	if !ok || t.at == nil {
		return
	}
	b := t.at
	probe := t.probe
	b.giveBack(t)
	if e.Sent {
		s.learn(b, t, e, probe, now)
	}
	if e.Code.Truth() == rosemarysill.TruthUnknown {
		t.open = true
	}
	if s.again(t, e, now) {
		t.tried = append(t.tried, b.state.Identity.Name)
		s.queues[t.class.Rank()].push(t)
		return
	}
	s.end(t, e.Code, e.Detail)
}

// reroutable holds the refusals of an agent after which another upstream may
// take the call.
var reroutable = map[rosemarysill.Code]bool{
	rosemarysill.Leaving:            true,
	rosemarysill.StaleConfiguration: true,
	rosemarysill.NoCapacity:         true,
	rosemarysill.Unreachable:        true,
	rosemarysill.DomainOut:          true,
	rosemarysill.ShuttingDown:       true,
	rosemarysill.Overloaded:         true,
}

// again reports whether the call is to be forwarded once more. A refused call
// costs an upstream nothing and goes elsewhere without drawing on the budget:
// each refusal makes the upstream skipped, so refusals cannot pile up. Work
// that may run twice draws on it.
func (s *State) again(t *ticket, e Returned, now time.Time) bool {
	if t.withdrawn || t.attempts >= s.limits.Attempts || !now.Before(t.deadline) {
		return false
	}
	if reroutable[e.Code] {
		return true
	}
	if e.Code != rosemarysill.OutcomeUnknown || !t.idempotent || s.budget < thousandths(1) {
		return false
	}
	s.budget -= thousandths(1)
	return true
}

// learn updates what is known of the upstream.
func (s *State) learn(b *backend, t *ticket, e Returned, probe bool, now time.Time) {
	switch {
	case e.Code == rosemarysill.Done:
		b.observed.add(e.Took, now)
		s.service[t.class.Rank()].add(e.Took, now)
		b.failures = 0
		if b.ejected {
			b.ejected, b.ejections = false, 0
			s.effects = append(s.effects, Changed{Upstream: b.state.Identity.Name})
		}
	case e.Code == rosemarysill.Leaving || e.Code == rosemarysill.ShuttingDown || e.Code == rosemarysill.DomainOut:
		b.skipUntil = now.Add(s.limits.SkipFor)
	case e.Code == rosemarysill.StaleConfiguration:
		b.skipUntil = now.Add(s.limits.SkipShort)
	case e.Code == rosemarysill.NoCapacity || e.Code == rosemarysill.Overloaded:
		b.taken += b.free()
	case e.Code == rosemarysill.Unreachable:
		s.failed(b, probe, now)
		b.skipUntil = now.Add(s.limits.SkipShort)
	case e.Code == rosemarysill.UpstreamFailed || (e.Code.Truth() == rosemarysill.TruthUnknown && !t.withdrawn):
		s.failed(b, probe, now)
	}
}

func (s *State) failed(b *backend, probe bool, now time.Time) {
	b.failures++
	switch {
	case b.ejected && probe:
		b.ejections++
	case !b.ejected && b.failures >= s.limits.EjectAfter && s.fleet.mayEject(now, &s.limits):
		b.ejected = true
	default:
		return
	}
	wait := s.limits.EjectFor
	for range b.ejections {
		wait = min(2*wait, s.limits.EjectMost)
	}
	b.ejectedUntil = now.Add(wait)
	s.effects = append(s.effects, Changed{Upstream: b.state.Identity.Name, SetAside: true, Until: b.ejectedUntil})
}

// end answers a call. A refusal proves nothing when an earlier forward may have
// run.
func (s *State) end(t *ticket, code rosemarysill.Code, detail string) {
	delete(s.tickets, t.id)
	if t.open && code.Truth() == rosemarysill.TruthNotRun {
		code, detail = rosemarysill.OutcomeUnknown, "an earlier attempt may have run; then "+code.String()+": "+detail
	}
	s.effects = append(s.effects, End{Ticket: t.id, Code: code, Detail: detail})
}

// dispatch sends waiting calls while there are slots.
func (s *State) dispatch(now time.Time) {
	for {
		rank, ok := s.queues.next()
		if !ok {
			return
		}
		t := s.queues[rank].peek()
		b := s.fleet.choose(t, now, &s.limits)
		if b == nil {
			return
		}
		if !now.Before(t.deadline) {
			s.queues[rank].remove(t)
			s.end(t, rosemarysill.DeadlineUnmeetable, "the deadline passed in the queue")
			continue
		}
		s.queues.pop(rank)
		t.attempts++
		b.take(t)
		s.effects = append(s.effects, Send{Ticket: t.id, Upstream: b.state.Identity, Attempt: t.attempts})
	}
}
