// Package upstream decides which upstream answers a call, keeps the records of
// calls that must run at most once, and is the client of an upstream.
package upstream

import (
	"context"
	"time"

	"github.com/rosemarysill/rosemarysill"
)

// Sources are what a router reads from its entry. Observe may be nil.
type Sources struct {
	Upstreams func() []rosemarysill.UpstreamState
	Authority func() rosemarysill.Authority
	// Observe is told of each answered call: its time in the queue and its time
	// from arrival to answer.
	Observe func(c rosemarysill.Call, code rosemarysill.Code, queued, took time.Duration)
}

// Router serves calls. It is safe for concurrent use.
type Router struct {
	src  Sources
	opts rosemarysill.Options
	done chan struct{}
}

// NewRouter returns a router that uses the Store, Agents, Timings, Now and Log
// of opts.
func NewRouter(src Sources, opts ...rosemarysill.Option) *Router {
	return &Router{src: src, opts: rosemarysill.NewOptions(opts...), done: make(chan struct{})}
}

// Done is closed when Run has returned.
func (r *Router) Done() <-chan struct{} { return r.done }

// Run keeps the router going until ctx ends.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	<-ctx.Done()
	return nil
}

// Call serves an idempotent call at the upstream with the most free slots.
func (r *Router) Call(ctx context.Context, c rosemarysill.Call) rosemarysill.Answer {
	now := r.opts.Now()
	auth := r.src.Authority()
	switch {
	case !auth.Valid(now):
		return refuse(c, rosemarysill.NotAuthoritative, "the entry has no authority")
	case !c.Idempotent:
		return refuse(c, rosemarysill.StoreUnavailable, "calls that run at most once are not served yet")
	}
	best, ok := r.choose(now)
	if !ok {
		return refuse(c, rosemarysill.NoUpstream, "no upstream may take the call")
	}
	ctx, cancel := context.WithDeadline(ctx, c.Deadline)
	defer cancel()
	agent, err := r.opts.Agents.Agent(best.Identity.Address)
	if err != nil {
		return refuse(c, rosemarysill.Unreachable, err.Error())
	}
	a, err := agent.Forward(ctx, rosemarysill.ForwardRequest{
		Call: c, Attempt: 1, Revision: auth.Config.Revision, Remaining: c.Deadline.Sub(now),
	})
	if err != nil {
		return refuse(c, rosemarysill.CodeOf(err), rosemarysill.DetailOf(err))
	}
	return a
}

func (r *Router) choose(now time.Time) (best rosemarysill.UpstreamState, found bool) {
	for _, u := range r.src.Upstreams() {
		fresh := now.Sub(u.LastBeat) < r.opts.Timings.MemberFresh
		if !fresh || u.Leaving || u.Drained || u.DomainOut {
			continue
		}
		if !found || u.FreeSlots > best.FreeSlots {
			best, found = u, true
		}
	}
	return best, found
}

func refuse(c rosemarysill.Call, code rosemarysill.Code, detail string) rosemarysill.Answer {
	return rosemarysill.Answer{ID: c.ID, Code: code, Detail: detail}
}
