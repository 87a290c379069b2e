package agent

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// upstream is the back end of an upstream's agent.
type upstream struct {
	cfg    Config
	opts   rosemarysill.Options
	server rosemarysill.Upstream
	calls  atomic.Int64
}

func newUpstream(cfg Config, u rosemarysill.Upstream, opts rosemarysill.Options) *upstream {
	return &upstream{cfg: cfg, opts: opts, server: u}
}

func (u *upstream) start(context.Context) error { return nil }

func (u *upstream) run(context.Context) {}

func (u *upstream) report(r *rosemarysill.AgentReport) {
	r.InProgress = int(u.calls.Load())
	r.FreeSlots = u.cfg.Identity.Slots - r.InProgress
}

func (u *upstream) obey(rosemarysill.AgentOrders, time.Time) {}

func (u *upstream) leave() {}

func (u *upstream) finish(context.Context) {}

// Forward runs a call at the upstream.
func (u *upstream) Forward(ctx context.Context, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	u.calls.Add(1)
	defer u.calls.Add(-1)
	body, err := u.server.Serve(ctx, r.Call)
	if err != nil {
		return rosemarysill.Answer{}, err
	}
	return rosemarysill.Answer{ID: r.Call.ID, Upstream: u.cfg.Identity.Name, Body: body}, nil
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
