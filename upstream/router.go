// Package upstream decides which upstream answers a call, keeps the records of
// calls that must run at most once, and is the client of an upstream.
package upstream

import (
	"context"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/dispatch"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/record"
)

// Sources are what a router reads from its entry. Observe may be nil.
type Sources struct {
	Upstreams func() []rosemarysill.UpstreamState
	Authority func() rosemarysill.Authority
	// Observe is told of each answered call: its time in the queue and its time
	// from arrival to answer. The account is empty when it is not declared.
	Observe func(c rosemarysill.Call, code rosemarysill.Code, queued, took time.Duration)
	// Limits replaces DefaultLimits unless it is nil.
	Limits *Limits
}

// Counts are totals since the start of a router.
type Counts struct {
	Calls    int
	Forwards int
	Records  record.Counts
}

// Router serves calls. It is safe for concurrent use.
type Router struct {
	src    Sources
	opts   rosemarysill.Options
	limits Limits
	keeper *record.Registry
	done   chan struct{}

	mu       sync.Mutex
	state    *dispatch.State
	tasks    map[dispatch.Ticket]*task
	last     dispatch.Ticket
	stopping bool
	forwards int
	seen     time.Time     // when the upstreams were taken over
	idle     chan struct{} // closed when the router stops and no call is left
}

// task is a call that the router serves.
type task struct {
	call    rosemarysill.Call
	ticket  dispatch.Ticket
	arrived time.Time
	sent    time.Time // of the first forward, zero before
	held    *record.OwnedRecord
	effects chan dispatch.Effect     // at most one is outstanding
	answer  chan rosemarysill.Answer // gets one answer
	ctx     context.Context          // of forwards
	cancel  context.CancelFunc
	reply   rosemarysill.Answer // of the last forward
	gone    bool                // the caller does not wait any more; guarded by the router's mu
}

// NewRouter returns a router that uses the Store, Agents, Timings, Now and Log
// of opts. The entry starts Run and waits on Done.
func NewRouter(src Sources, opts ...rosemarysill.Option) *Router {
	r := &Router{
		src:    src,
		opts:   rosemarysill.NewOptions(opts...),
		limits: DefaultLimits(),
		done:   make(chan struct{}),
		tasks:  map[dispatch.Ticket]*task{},
		idle:   make(chan struct{}),
	}
	r.limits.Dispatch.FreshFor = r.opts.Timings.MemberFresh
	if src.Limits != nil {
		r.limits = *src.Limits
	}
	r.state = dispatch.NewState(r.limits.Dispatch)
	r.keeper = record.NewRegistry(r.limits.Record, r.opts)
	return r
}

// Done is closed when Run has returned.
func (r *Router) Done() <-chan struct{} { return r.done }

// Run moves waiting calls on as time passes and puts unsettled records right.
// When ctx ends, new calls are answered ShuttingDown and Run returns when all
// calls that it has are answered.
func (r *Router) Run(ctx context.Context) error {
	defer close(r.done)
	settled := make(chan struct{})
	settling, stop := context.WithCancel(context.WithoutCancel(ctx))
	go r.settle(settling, settled)
	tick := time.NewTicker(r.limits.TickEvery)
	defer tick.Stop()
	stopped := ctx.Done()
	for {
		select {
		case <-tick.C:
			r.Wake()
		case <-stopped:
			stopped = nil
			r.stop()
		case <-r.idle:
			stop()
			<-settled
			r.keeper.Settle(context.WithoutCancel(ctx))
			return nil
		}
	}
}

func (r *Router) settle(ctx context.Context, done chan<- struct{}) {
	defer close(done)
	tick := time.NewTicker(r.limits.SettleEvery)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
			r.keeper.Settle(ctx)
		case <-ctx.Done():
			return
		}
	}
}

func (r *Router) stop() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.stopping = true
	r.checkIdle()
}

// checkIdle is called with mu held.
func (r *Router) checkIdle() {
	if r.stopping && len(r.tasks) == 0 {
		select {
		case <-r.idle:
		default:
			close(r.idle)
		}
	}
}

// Wake takes over the current upstreams and sends waiting calls. The entry may
// call it when a heartbeat brings free slots.
func (r *Router) Wake() {
	ups := r.upstreams()
	r.mu.Lock()
	defer r.mu.Unlock()
	r.seen = r.opts.Now()
	r.decide(dispatch.Reported{Upstreams: ups})
	r.decide(dispatch.Ticked{})
}

// Waiting returns the number of calls in the queues.
func (r *Router) Waiting() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.Waiting()
}

// InProgress returns the number of calls forwarded and not returned.
func (r *Router) InProgress() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.state.InProgress()
}

// Counts returns totals since the start.
func (r *Router) Counts() Counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	return Counts{Calls: int(r.last), Forwards: r.forwards, Records: r.keeper.Counts()}
}

// upstreams returns the entry's upstreams as the newest configuration has them.
func (r *Router) upstreams() []rosemarysill.UpstreamState {
	cfg := r.src.Authority().Config
	ups := r.src.Upstreams()
	for i := range ups {
		ups[i].DomainOut = ups[i].DomainOut || cfg.DomainOut(ups[i].Identity.Domain)
		ups[i].Drained = ups[i].Drained || cfg.IsDrained(ups[i].Identity.Name)
	}
	return ups
}

// decide applies an event and hands its effects on. It is called with mu held.
func (r *Router) decide(e dispatch.Event) {
	for _, effect := range r.state.Decide(e, r.opts.Now()) {
		switch effect := effect.(type) {
		case dispatch.Send:
			r.forwards++
			r.tasks[effect.Ticket].effects <- effect
		case dispatch.End:
			r.tasks[effect.Ticket].effects <- effect
		case dispatch.Changed:
			r.log(effect)
		}
	}
}

func (r *Router) log(c dispatch.Changed) {
	if c.SetAside {
		event.UpstreamSetAside.Log(r.opts.Log).Str("Upstream", c.Upstream).Time("Until", c.Until).Send()
		return
	}
	event.UpstreamRestored.Log(r.opts.Log).Str("Upstream", c.Upstream).Send()
}
