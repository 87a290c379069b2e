package entry

import (
	"cmp"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/google/uuid"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/attempt"
	"github.com/rosemarysill/rosemarysill/caller"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/fleet"
	"github.com/rosemarysill/rosemarysill/job"
	"github.com/rosemarysill/rosemarysill/kvstore"
	"github.com/rosemarysill/rosemarysill/lease"
	"github.com/rosemarysill/rosemarysill/membership"
	"github.com/rosemarysill/rosemarysill/message"
	"github.com/rosemarysill/rosemarysill/metric"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/rosemarysill/rosemarysill/placer"
	"github.com/rosemarysill/rosemarysill/upstream"
)

// Config is what an entry needs besides its options.
type Config struct {
	Name   string
	HTTP   netip.AddrPort // for callers and operators
	GRPC   netip.AddrPort // for agents and other entries
	Peers  []netip.AddrPort
	Limits message.Limits // of HTTP requests; default message.DefaultLimits
	Server peer.ServerConfig
	Calls  upstream.Limits // of the router; default upstream.DefaultLimits

	MaxJobs         int           // jobs that are not final; default 10,000
	MaxAgents       int           // in the table; default 2,500
	MaxJobBodyBytes int           // of a job's body; default 512 KiB, because its record must fit into 1 MB
	KeepJobs        time.Duration // after which a final job is deleted from the store; default 24 h
}

func (c Config) withDefaults() Config {
	c.MaxJobs = cmp.Or(c.MaxJobs, 10000)
	c.MaxAgents = cmp.Or(c.MaxAgents, 2500)
	c.MaxJobBodyBytes = cmp.Or(c.MaxJobBodyBytes, 512<<10)
	c.KeepJobs = cmp.Or(c.KeepJobs, 24*time.Hour)
	c.Limits = cmp.Or(c.Limits, message.DefaultLimits())
	c.Calls = cmp.Or(c.Calls, upstream.DefaultLimits())
	return c
}

// maxAccounts bounds the client accounts with histograms of their own; the
// two-year size is 91.
const maxAccounts = 128

// members is what an entry needs of package membership.
type members interface {
	rosemarysill.Peer
	Run(ctx context.Context) error
	Leave(ctx context.Context) error
	Authority() rosemarysill.Authority
	Fenced(job uuid.UUID, attempt int) bool
	FenceAttempt(ctx context.Context, job uuid.UUID, attempt int, epoch uint64) error
	Change(ctx context.Context, f func(rosemarysill.Configuration) (rosemarysill.Configuration, error)) (rosemarysill.Configuration, error)
	RemoveEntries(ctx context.Context, ids []uuid.UUID) error
}

// Entry is one entry process. It implements the services for callers and
// operators, and rosemarysill.BeatReceiver for agents.
type Entry struct {
	cfg     Config
	opts    rosemarysill.Options
	self    rosemarysill.Member
	members members
	table   *fleet.Table
	book    *job.Book
	holder  *lease.Holder
	router  *upstream.Router
	calls   *metric.Calls
	jobs    *metric.Calls // by final state
	placer  *placer.Placer

	started  time.Time
	stopping atomic.Bool
	done     chan struct{}
}

// New returns an entry process. It needs the options Store, Policy, Agents and
// Peers.
func New(cfg Config, opts ...rosemarysill.Option) *Entry {
	cfg = cfg.withDefaults()
	o := rosemarysill.NewOptions(opts...)
	e := &Entry{
		cfg:   cfg,
		opts:  o,
		self:  rosemarysill.Member{ID: uuid.New(), Name: cfg.Name, Address: cfg.GRPC, State: rosemarysill.Joining},
		table: fleet.New(o.Timings, cfg.MaxAgents, o.Now()),
		calls: metric.NewCalls(maxAccounts),
		jobs:  metric.NewCalls(maxAccounts),
		done:  make(chan struct{}),
	}
	e.members = membership.New(e.self, cfg.Peers, opts...)
	e.book = job.NewBook(o.Store, o.Log, func() { e.placer.Wake() })
	e.holder = lease.NewHolder(o.Store, e.self.ID, o.Timings.PlacerLease, o.Now)
	e.router = newRouter(e)
	e.placer = placer.New(attempt.Parts{
		Opts: o, Holder: e.holder, Table: e.table, Book: e.book, Members: e.members,
		Started: func() time.Time { return e.started },
	}, cfg.KeepJobs, e.finished)
	return e
}

// optionList returns the options for parts of the entry.
func (e *Entry) optionList() []rosemarysill.Option {
	return []rosemarysill.Option{func(o *rosemarysill.Options) { *o = e.opts }}
}

// Done is closed when Run has returned.
func (e *Entry) Done() <-chan struct{} { return e.done }

// Handler returns the HTTP paths for callers and operators.
func (e *Entry) Handler() http.Handler {
	callers := caller.NewHandler(e, e.cfg.Limits, e.optionList()...)
	operators := operator.NewHandler(e, e.cfg.Limits, e.optionList()...)
	mux := http.NewServeMux()
	mux.Handle("/", callers)
	for _, path := range []string{"/v1/plans", "/v1/plans/", "/v1/status", "/debug/vars"} {
		mux.Handle(path, operators)
	}
	return mux
}

// Run serves until ctx ends, finishes the requests in progress, gives the
// placement lease back and leaves the list of entries.
func (e *Entry) Run(ctx context.Context, httpListener, grpcListener net.Listener) error {
	defer close(e.done)
	e.started = e.opts.Now()
	server := peer.NewServer(e.cfg.Server, peer.Handlers{Entry: e, Peer: e.members}, e.optionList()...)
	callers := message.NewServer(e.Handler(), e.cfg.Limits, e.optionList()...)
	defer metric.Publish(e.cfg.Name, e.calls, e.jobs, func() metric.Routing {
		r := e.routing()
		r.Connections = connections(callers.Counts(), server.Counts())
		return r
	})()
	event.EntryStarted.Log(e.opts.Log).Str("Entry", e.cfg.Name).Str("ID", e.self.ID.String()).Send()

	// The parts outlive ctx: requests in progress need them.
	serving, stop := context.WithCancel(context.WithoutCancel(ctx))
	var parts sync.WaitGroup
	watcher := kvstore.NewWatcher(e.opts.Store, job.Prefix, e.book.Update,
		kvstore.WatcherOptions{ListEvery: time.Minute, Now: e.opts.Now, Log: e.opts.Log})
	parts.Go(func() { _ = server.Run(serving, grpcListener) })
	parts.Go(func() { _ = e.members.Run(serving) })
	parts.Go(func() { watcher.Run(serving) })
	parts.Go(func() { _ = e.router.Run(serving) })
	placing, stopPlacing := context.WithCancel(serving)
	placed := make(chan struct{})
	go func() { defer close(placed); e.placer.Run(placing) }()

	err := callers.Run(e.untilStop(ctx), httpListener)

	stopPlacing()
	<-placed
	leave, cancel := context.WithTimeout(serving, e.opts.Timings.StoreFresh)
	e.holder.Release(leave)
	_ = e.members.Leave(leave)
	cancel()
	stop()
	parts.Wait()
	event.EntryStopped.Log(e.opts.Log).Str("Entry", e.cfg.Name).Send()
	return err
}

// untilStop marks the entry as stopping when ctx ends.
func (e *Entry) untilStop(ctx context.Context) context.Context {
	context.AfterFunc(ctx, func() {
		e.stopping.Store(true)
		event.EntryStopping.Log(e.opts.Log).Str("Entry", e.cfg.Name).Send()
	})
	return ctx
}

// finished tells the metrics about a job that reached a final state. Started is
// the start of its last attempt, or zero.
func (e *Entry) finished(j rosemarysill.Job, started time.Time) {
	event.JobFinished.Log(e.opts.Log).Stringer("Job", j.Spec.ID).Str("State", string(j.State)).
		Stringer("Code", j.Code).Str("Detail", j.Detail).Send()
	took := j.Changed.Sub(j.Submitted)
	queued := took
	if !started.IsZero() {
		queued = started.Sub(j.Submitted)
	}
	e.jobs.Observe(j.Spec.Account, j.Spec.Class, j.Code, queued, took)
}
