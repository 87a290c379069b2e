package upstream

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/dispatch"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/record"
)

// answerGrace is how long an answer may travel after the deadline, at which the
// agent ends the work. Without it, each call that ends just in time would be
// unknown.
const answerGrace = 500 * time.Millisecond

// Call serves a call. It returns when the answer is known or ctx ends. Work in
// progress for a call that must run at most once goes on after that, so that
// its outcome is recorded.
func (r *Router) Call(ctx context.Context, c rosemarysill.Call) rosemarysill.Answer {
	arrived := r.opts.Now()
	t, a, ok := r.admit(c, arrived)
	if !ok {
		r.observe(c, a.Code, 0, r.opts.Now().Sub(arrived))
		return a
	}
	go r.serve(t)
	select {
	case a = <-t.answer:
		return a
	case <-ctx.Done():
	}
	r.mu.Lock()
	t.gone = true
	forwarded := r.state.Forwarded(t.ticket)
	r.decide(dispatch.Withdrawn{Ticket: t.ticket})
	r.mu.Unlock()
	if !forwarded {
		return <-t.answer // ends by the bounds of the store's exchanges
	}
	if c.Idempotent {
		t.cancel()
	}
	select {
	case a = <-t.answer:
		return a
	default:
		return answer(c, rosemarysill.OutcomeUnknown, "the caller's connection ended while the call was in progress")
	}
}

// admit returns the task of a call that may be served, or its refusal.
func (r *Router) admit(c rosemarysill.Call, now time.Time) (*task, rosemarysill.Answer, bool) {
	if code, detail := r.check(c, now); code != rosemarysill.Done {
		return nil, r.refuse(c, code, detail), false
	}
	r.mu.Lock()
	old := now.Sub(r.seen) > 2*r.limits.TickEvery
	r.mu.Unlock()
	if old { // before the first tick, or after a pause
		r.Wake()
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.stopping {
		return nil, r.refuse(c, rosemarysill.ShuttingDown, "the entry is shutting down"), false
	}
	if len(r.tasks) >= r.limits.InProgress {
		return nil, r.refuse(c, rosemarysill.Overloaded, "too many calls in progress"), false
	}
	// A call that would be refused is not recorded first, unless its record may
	// tell the caller what became of an earlier sending.
	if !c.Idempotent && !c.Resent {
		if code, detail := r.state.Refusal(c.Account, c.Class, c.Deadline, now); code != rosemarysill.Done {
			return nil, answer(c, code, detail), false
		}
	}
	r.last++
	t := &task{
		call: c, ticket: r.last, arrived: now,
		effects: make(chan dispatch.Effect, 1), answer: make(chan rosemarysill.Answer, 1),
	}
	t.ctx, t.cancel = context.WithDeadline(context.Background(), c.Deadline.Add(answerGrace))
	r.tasks[t.ticket] = t
	return t, rosemarysill.Answer{}, true
}

// check returns the code of a call that the entry may not serve at all.
func (r *Router) check(c rosemarysill.Call, now time.Time) (rosemarysill.Code, string) {
	if fault := record.IdentifierFault(c.ID, now, r.opts.Timings.RequestMemory); fault != "" {
		return rosemarysill.IdentifierExpired, fault
	}
	auth := r.src.Authority()
	if !auth.Valid(now) {
		return rosemarysill.NotAuthoritative, "the entry cannot prove that its configuration is the newest"
	}
	if _, known := auth.Config.Account(c.Account); !known {
		return rosemarysill.UnknownAccount, "the client account is not declared"
	}
	if !now.Before(c.Deadline) {
		return rosemarysill.DeadlineUnmeetable, "the deadline has passed"
	}
	if c.Deadline.Sub(now) > r.opts.Timings.RequestMemory/2 {
		return rosemarysill.InvalidRequest, "the deadline is later than the identifier is honoured"
	}
	if !c.Idempotent && !auth.ByStore(now) {
		return rosemarysill.StoreUnavailable, "the entry has no contact with the store, which records calls that run at most once"
	}
	return rosemarysill.Done, ""
}

// refuse answers a call whose record was not seen. For a resent call this
// proves nothing.
func (r *Router) refuse(c rosemarysill.Call, code rosemarysill.Code, detail string) rosemarysill.Answer {
	if c.Resent && !c.Idempotent && code.Truth() == rosemarysill.TruthNotRun {
		return answer(c, rosemarysill.OutcomeUnknown, "an earlier sending may have run; this one was refused as "+code.String()+": "+detail)
	}
	return answer(c, code, detail)
}

// serve takes a task from its admission to its answer.
func (r *Router) serve(t *task) {
	defer t.cancel()
	a := r.run(t)
	if t.held != nil {
		r.finish(t, a)
	}
	now := r.opts.Now()
	queued := now.Sub(t.arrived)
	if !t.sent.IsZero() {
		queued = t.sent.Sub(t.arrived)
	}
	r.observe(t.call, a.Code, queued, now.Sub(t.arrived))
	t.answer <- a
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.tasks, t.ticket)
	r.checkIdle()
}

// finish records the outcome. A slow store must not make the answer late, so
// the wait ends with the call's deadline, but for a short time that a write
// needs.
func (r *Router) finish(t *task, a rosemarysill.Answer) {
	until := r.opts.Now().Add(r.limits.Record.StoreTimeout / 10)
	if t.call.Deadline.After(until) {
		until = t.call.Deadline
	}
	ctx, cancel := context.WithDeadline(context.Background(), until)
	defer cancel()
	r.keeper.Finish(ctx, t.held, a)
}

func (r *Router) observe(c rosemarysill.Call, code rosemarysill.Code, queued, took time.Duration) {
	if r.src.Observe == nil {
		return
	}
	// Names that callers make up must not fill the figures of the accounts.
	cfg := r.src.Authority().Config
	if _, declared := cfg.Account(c.Account); !declared {
		c.Account = ""
	}
	r.src.Observe(c, code, queued, took)
}

// run records the call if it must run at most once and forwards it until it has
// an answer.
func (r *Router) run(t *task) rosemarysill.Answer {
	c := t.call
	if !c.Idempotent {
		claim := r.claim(t)
		if claim.Owned == nil && claim.FromRecord {
			return claim.Answer
		}
		if claim.Owned == nil {
			return r.refuse(c, claim.Answer.Code, claim.Answer.Detail)
		}
		t.held = claim.Owned
	}
	r.mu.Lock()
	if t.gone {
		r.mu.Unlock()
		return answer(c, rosemarysill.CancelledUnstarted, "the caller closed the connection before the call was forwarded")
	}
	r.decide(dispatch.Arrived{Ticket: t.ticket, Account: c.Account, Class: c.Class, Idempotent: c.Idempotent, Deadline: c.Deadline})
	r.mu.Unlock()
	for effect := range t.effects {
		switch effect := effect.(type) {
		case dispatch.Send:
			r.forward(t, effect)
		case dispatch.End:
			if t.reply.Code == effect.Code {
				t.reply.Detail = effect.Detail
				return t.reply
			}
			return answer(c, effect.Code, effect.Detail)
		}
	}
	return answer(c, rosemarysill.OutcomeUnknown, "the call was lost") // effects is never closed
}

// claim records the call, until its deadline at the latest.
func (r *Router) claim(t *task) record.Claim {
	ctx, cancel := context.WithDeadline(t.ctx, t.call.Deadline)
	defer cancel()
	return r.keeper.Claim(ctx, t.call)
}

// forward makes one attempt and gives the slot back.
func (r *Router) forward(t *task, send dispatch.Send) {
	begin := r.opts.Now()
	if t.sent.IsZero() {
		t.sent = begin
	}
	returned := dispatch.Returned{Ticket: t.ticket}
	t.reply, returned.Sent = r.attempt(t, send, begin)
	returned.Code, returned.Detail, returned.Took = t.reply.Code, t.reply.Detail, r.opts.Now().Sub(begin)
	r.mu.Lock()
	defer r.mu.Unlock()
	r.decide(returned)
}

// attempt forwards the call to the upstream. The second result tells whether
// the upstream was used, so that its answer says something about it.
func (r *Router) attempt(t *task, send dispatch.Send, now time.Time) (rosemarysill.Answer, bool) {
	c, up := t.call, send.Upstream
	// The process may have been paused since the call was admitted.
	auth := r.src.Authority()
	switch {
	case !auth.Valid(now):
		return answer(c, rosemarysill.NotAuthoritative, "the entry has lost its authority"), false
	case auth.Config.DomainOut(up.Domain):
		return answer(c, rosemarysill.DomainOut, "the failure domain was taken out"), false
	case !now.Before(c.Deadline):
		return answer(c, rosemarysill.DeadlineUnmeetable, "the deadline passed before the call was forwarded"), false
	}
	agent, err := r.opts.Agents.Agent(up.Address)
	if err != nil {
		return answer(c, rosemarysill.Unreachable, rosemarysill.DetailOf(err)), true
	}
	a, err := agent.Forward(t.ctx, rosemarysill.ForwardRequest{
		Call: c, Attempt: send.Attempt, Revision: auth.Config.Revision, Remaining: c.Deadline.Sub(now),
	})
	a = r.checked(c, a, err)
	if a.Upstream == "" {
		a.Upstream = up.Name
	}
	return a, true
}

// checked returns the answer of an agent as far as it can be relied on.
func (r *Router) checked(c rosemarysill.Call, a rosemarysill.Answer, err error) rosemarysill.Answer {
	if err != nil {
		code := rosemarysill.CodeOf(err)
		if code.Truth() == rosemarysill.TruthNone || code == rosemarysill.Done {
			code = rosemarysill.OutcomeUnknown
		}
		return answer(c, code, rosemarysill.DetailOf(err))
	}
	switch {
	case a.ID != c.ID:
		event.AnswerMismatch.Log(r.opts.Log).Stringer("Want", c.ID).Stringer("Got", a.ID).Str("Upstream", a.Upstream).Send()
		return answer(c, rosemarysill.OutcomeUnknown, "the upstream answered another call")
	case a.Code.Truth() == rosemarysill.TruthNone:
		a.Code, a.Body = rosemarysill.OutcomeUnknown, nil
	case a.Code == rosemarysill.Done && len(a.Body) > r.limits.AnswerBytes:
		a.Code, a.Detail, a.Body = rosemarysill.AnswerTooLarge, "the call ran; its answer exceeds the limit", nil
	}
	return a
}

func answer(c rosemarysill.Call, code rosemarysill.Code, detail string) rosemarysill.Answer {
	return rosemarysill.Answer{ID: c.ID, Code: code, Detail: detail}
}
