// Package agent is the process beside an upstream or a worker. It is the
// authority on the capacity of its back end: it checks every request of an
// entry against its own state, runs it, and reports by heartbeat to all
// entries.
package agent

import (
	"context"
	"sync"
	"time"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/peer"
)

const maxAnswer = peer.MaxBody

// backend is what differs between an upstream's and a worker's agent.
type backend interface {
	rosemarysill.Agent
	// start prepares the back end before the agent announces itself.
	start(ctx context.Context) error
	// run serves until ctx ends.
	run(ctx context.Context)
	// report fills in the parts of a report about the back end.
	report(r *rosemarysill.AgentReport)
	// obey takes in the orders of an entry; sent is when the heartbeat was
	// sent.
	obey(o rosemarysill.AgentOrders, sent time.Time)
	// leave refuses new work from now on.
	leave()
	// finish returns when nothing is in progress. When ctx ends it stops what
	// may be stopped.
	finish(ctx context.Context)
}

// Agent is the process beside one upstream or worker.
type Agent struct {
	backend
	cfg     Config
	opts    rosemarysill.Options
	beats   *heartbeat
	leaving context.Context // ends when the agent is to leave
	end     context.CancelFunc
	done    chan struct{}
}

// NewUpstream returns the agent of an upstream. It uses the options Timings,
// Now and Log.
func NewUpstream(cfg Config, entries rosemarysill.Entries, u rosemarysill.Upstream, opts ...rosemarysill.Option) *Agent {
	cfg = identified(cfg, rosemarysill.UpstreamAgent)
	o := rosemarysill.NewOptions(opts...)
	return newAgent(cfg, entries, o, newUpstream(cfg, u, o))
}

// NewWorker returns the agent of a worker. It uses the options Timings, Now and
// Log.
func NewWorker(cfg Config, entries rosemarysill.Entries, r rosemarysill.Runtime, opts ...rosemarysill.Option) *Agent {
	cfg = identified(cfg, rosemarysill.WorkerAgent)
	o := rosemarysill.NewOptions(opts...)
	return newAgent(cfg, entries, o, newWorker(cfg, r, o))
}

func identified(cfg Config, kind rosemarysill.AgentKind) Config {
	cfg = cfg.withDefaults()
	cfg.Identity.Kind = kind
	if cfg.Identity.Boot == uuid.Nil {
		cfg.Identity.Boot = uuid.New()
	}
	return cfg
}

func newAgent(cfg Config, entries rosemarysill.Entries, opts rosemarysill.Options, b backend) *Agent {
	leaving, end := context.WithCancel(context.Background())
	return &Agent{
		backend: b,
		cfg:     cfg,
		opts:    opts,
		beats:   newHeartbeat(cfg, entries, opts, b),
		leaving: leaving,
		end:     end,
		done:    make(chan struct{}),
	}
}

// Identity returns what the agent announces.
func (a *Agent) Identity() rosemarysill.AgentIdentity { return a.cfg.Identity }

// Leave begins a graceful shutdown: the agent refuses new work at once, tells
// all entries, and finishes what is in progress.
func (a *Agent) Leave() { a.end() }

// Done is closed when Run has returned.
func (a *Agent) Done() <-chan struct{} { return a.done }

// prepare readies the back end unless the agent is to end before.
func (a *Agent) prepare(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer context.AfterFunc(a.leaving, cancel)()
	return a.start(ctx)
}

// Run announces the agent and serves until ctx ends or Leave is called. It
// returns at the end of the graceful shutdown.
func (a *Agent) Run(ctx context.Context) error {
	defer close(a.done)
	if err := a.prepare(ctx); err != nil {
		return err
	}
	event.AgentStarted.Log(a.opts.Log).Str("Agent", a.cfg.Identity.Name).Stringer("Boot", a.cfg.Identity.Boot).Send()

	// The parts outlive ctx: they serve until the work in progress is done.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	parts.Go(func() { a.backend.run(serving) })
	parts.Go(func() { a.beats.run(serving) })

	select {
	case <-ctx.Done():
	case <-a.leaving.Done():
	}
	event.AgentLeaving.Log(a.opts.Log).Str("Agent", a.cfg.Identity.Name).Send()
	a.leave()
	a.beats.now()
	limit, cancel := context.WithTimeout(serving, a.cfg.StopWithin)
	a.finish(limit)
	cancel()
	stop()
	parts.Wait()
	a.beats.last(context.WithoutCancel(ctx))
	event.AgentStopped.Log(a.opts.Log).Str("Agent", a.cfg.Identity.Name).Send()
	return nil
}
