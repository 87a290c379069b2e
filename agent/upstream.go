package agent

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	ledger "github.com/rosemarysill/rosemarysill/worker"
)

// upstream is the back end of an upstream's agent.
type upstream struct {
	cfg    Config
	opts   rosemarysill.Options
	server rosemarysill.Upstream

	mu       sync.Mutex
	standing ledger.Standing
	journal  *journal
	running  int
	calls    sync.WaitGroup
}

func newUpstream(cfg Config, u rosemarysill.Upstream, opts rosemarysill.Options) *upstream {
	return &upstream{cfg: cfg, opts: opts, server: u, journal: newJournal(cfg)}
}

func (u *upstream) start(context.Context) error { return nil }

func (u *upstream) run(context.Context) {}

func (u *upstream) report(r *rosemarysill.AgentReport) {
	u.mu.Lock()
	defer u.mu.Unlock()
	r.InProgress = u.running
	r.FreeSlots = max(u.cfg.Identity.Slots-u.running, 0)
	r.Leaving = u.standing.Leaving
	r.Revision = u.standing.Revision
}

func (u *upstream) obey(o rosemarysill.AgentOrders, sent time.Time) {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standing.Obey(o, sent, u.opts.Timings.FreshFor)
}

func (u *upstream) leave() {
	u.mu.Lock()
	defer u.mu.Unlock()
	u.standing.Leaving = true
}

// finish waits for all calls in progress, each bounded by its deadline, without
// a limit of its own: a planned stop interrupts none.
func (u *upstream) finish(context.Context) { u.calls.Wait() }

// Forward runs a call at the upstream, or answers a repeated delivery like the
// first.
func (u *upstream) Forward(ctx context.Context, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	d, err := u.accept(ctx, r)
	if err != nil {
		return rosemarysill.Answer{}, err
	}
	select {
	case <-d.done:
	case <-ctx.Done():
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	d.waiters--
	if !d.over {
		return rosemarysill.Answer{}, rosemarysill.NewError(rosemarysill.OutcomeUnknown, "call %s has not ended: %v", d.id, ctx.Err())
	}
	return d.answer, d.err
}

// accept returns the delivery whose answer the request gets. All checks and the
// count of the slot happen under one lock, so that a call is either refused or
// waited for when the agent leaves.
func (u *upstream) accept(ctx context.Context, r rosemarysill.ForwardRequest) (*delivery, error) {
	u.mu.Lock()
	defer u.mu.Unlock()
	now := u.opts.Now()
	d, err := u.journal.find(r)
	if err != nil {
		return nil, err
	}
	if d == nil {
		if err := u.refusal(r, now); err != nil {
			return nil, err
		}
		if d, err = u.journal.begin(r, now); err != nil {
			return nil, err
		}
		u.running++
		// The call does not end with the connection that brought it: a
		// repeated delivery may wait for it too.
		u.calls.Go(func() { u.serve(context.WithoutCancel(ctx), d, r.Call, now) })
	}
	d.waiters++
	return d, nil
}

// refusal returns why a new call is not run, or nil.
func (u *upstream) refusal(r rosemarysill.ForwardRequest, now time.Time) error {
	if err := u.standing.Refusal(now); err != nil {
		return err
	}
	switch {
	case u.standing.Drained:
		return rosemarysill.NewError(rosemarysill.Leaving, "%s is drained in revision %d", u.cfg.Identity.Name, u.standing.Revision)
	case !now.Before(r.Call.Deadline):
		return rosemarysill.NewError(rosemarysill.DeadlineUnmeetable, "the deadline passed %s ago", now.Sub(r.Call.Deadline))
	case u.running >= u.cfg.Identity.Slots:
		return rosemarysill.NewError(rosemarysill.NoCapacity, "all %d slots are taken", u.cfg.Identity.Slots)
	default:
		return nil
	}
}

// serve runs a call until its deadline and sets its answer.
func (u *upstream) serve(ctx context.Context, d *delivery, c rosemarysill.Call, now time.Time) {
	ctx, cancel := context.WithTimeout(ctx, c.Deadline.Sub(now))
	defer cancel()
	body, err := u.server.Serve(ctx, c)
	if err == nil && len(body) > u.cfg.MaxAnswer {
		err = rosemarysill.NewError(rosemarysill.AnswerTooLarge, "answer of %d bytes; the limit is %d", len(body), u.cfg.MaxAnswer)
	}
	var answer rosemarysill.Answer
	if err == nil {
		answer = rosemarysill.Answer{ID: c.ID, Upstream: u.cfg.Identity.Name, Body: body}
	} else {
		event.AgentCallFailed.Log(u.opts.Log).Stringer("Call", c.ID).Err(err).Send()
	}
	u.mu.Lock()
	defer u.mu.Unlock()
	u.running--
	u.journal.finish(d, answer, err, u.opts.Now())
}

func (u *upstream) refuse() error {
	return rosemarysill.NewError(rosemarysill.InvalidRequest, "%s is an upstream and runs no gangs", u.cfg.Identity.Name)
}

// Reserve is refused: gangs run on workers.
func (u *upstream) Reserve(context.Context, rosemarysill.ReserveRequest) error { return u.refuse() }

// Commit is refused: gangs run on workers.
func (u *upstream) Commit(context.Context, rosemarysill.CommitRequest) error { return u.refuse() }

// Stop is refused: gangs run on workers.
func (u *upstream) Stop(context.Context, rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	return rosemarysill.StopReply{}, u.refuse()
}
