package runner

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// callTimeout is the time for a call to the worker, which is on the same
	// machine and answers in a millisecond unless it is slow.
	callTimeout = 400 * time.Millisecond
	// holdWait is how long the worker may hold a call back until a run ends.
	holdWait = time.Second
	// holdPause is the pause between two calls that need not wait for an end.
	holdPause = 100 * time.Millisecond
	// redialPause is the pause before a stream is opened again.
	redialPause = 100 * time.Millisecond
	// orderPause is the pause before an order that got no answer is repeated.
	orderPause = 100 * time.Millisecond
	// maxOrders bounds the orders that are being carried out at a time.
	maxOrders = 64
)

// Config is what an agent is told.
type Config struct {
	Name     string
	Store    rosemarysill.TransactionalStore
	Runtime  work.Runtime
	Register func(work.Registrar) http.Handler // the worker's interface for status reports
	Log      zerolog.Logger
}

// Runner is the agent beside a worker.
type Runner struct {
	cfg    Config
	done   chan struct{}
	report chan struct{} // the leader should know something at once
	wake   chan struct{} // the worker may have something to say
	orders chan struct{} // limits orders in progress

	mu       sync.Mutex
	ledger   *ledger
	inFlight map[work.RunKey]bool
	endHold  context.CancelFunc // ends the present lease renewal
	rec      jobstore.LeaderRecord
	moved    chan struct{} // closed when leader changes
}

// New returns an agent. Its fences begin at the present time, so that they are
// above those of an earlier process.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, done: make(chan struct{}), report: make(chan struct{}, 1), wake: make(chan struct{}, 1),
		orders: make(chan struct{}, maxOrders), moved: make(chan struct{}),
		ledger: newLedger(cfg.Name, time.Now().UnixMilli()), inFlight: make(map[work.RunKey]bool),
	}
}

// Done is closed when the agent has ended.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Run serves the worker's status reports on l until ctx ends.
func (r *Runner) Run(ctx context.Context, l net.Listener) error {
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{Handler: r.cfg.Register(r), ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	var parts sync.WaitGroup
	for _, part := range []func(context.Context){r.follow, r.attach, r.hold} {
		parts.Go(func() { part(ctx) })
	}
	event.RunnerStarted.Log(r.cfg.Log).Str("Agent", r.cfg.Name).Send()
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	cancel()
	_ = server.Close() // ends connections of the worker, which reports again
	parts.Wait()
	event.RunnerStopped.Log(r.cfg.Log).Str("Agent", r.cfg.Name).Send()
	return err
}

// Announce implements work.Registrar.
func (r *Runner) Announce(a work.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.ledger.instance.State
	if r.ledger.announce(a, uptime.Now()) {
		event.RunnerWorker.Log(r.cfg.Log).Str("Worker", r.ledger.incarnation()).Str("Service", a.Service).Str("Rack", a.Rack).Send()
		notify(r.wake)
	} else if now := r.ledger.instance.State; now != before {
		event.RunnerWorkerState.Log(r.cfg.Log).Str("Worker", r.ledger.incarnation()).Str("State", string(now)).Send()
		notify(r.report)
	}
}

// Leave implements work.Registrar.
func (r *Runner) Leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.ledger.leave(id)
	event.RunnerWorkerLeft.Log(r.cfg.Log).Str("Worker", id).Send()
	notify(r.report)
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// follow keeps the address of the leader up to date.
func (r *Runner) follow(ctx context.Context) {
	jobstore.FollowLeader(ctx, r.cfg.Store, r.led, func(err error) {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
	})
}

// lookUp reads the leader after a stream has failed. A watch that fell silent
// would show a change only later.
func (r *Runner) lookUp(ctx context.Context) {
	s, err := jobstore.ReadLeader(ctx, r.cfg.Store)
	if err != nil {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
		return
	}
	r.led(s)
}

func (r *Runner) led(s jobstore.LeaderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Address.IsValid() && s.Epoch > r.rec.Epoch {
		r.rec = s
		close(r.moved)
		r.moved = make(chan struct{})
	}
}

// attach keeps a stream to the leader.
func (r *Runner) attach(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		leader, moved := r.rec.Address, r.moved
		r.mu.Unlock()
		if !leader.IsValid() {
			select {
			case <-moved:
			case <-ctx.Done():
			}
			continue
		}
		err := r.stream(ctx, leader, moved)
		if ctx.Err() != nil {
			return
		}
		event.RunnerDetached.Log(r.cfg.Log).Str("Leader", leader.String()).AnErr("Cause", err).Send()
		r.lookUp(ctx)
		uptime.Sleep(ctx, redialPause)
	}
}

var (
	errMoved  = errors.New("another entry leads")
	errSilent = errors.New("nothing arrives")
)

// stream serves one stream until it fails, falls silent, or another entry
// leads.
func (r *Runner) stream(ctx context.Context, leader netip.AddrPort, moved <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	silent := time.AfterFunc(control.StreamTimeout, cancel)
	defer silent.Stop()
	conn, err := control.Dial(ctx, leader)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the stream has ended by then
	event.RunnerAttached.Log(r.cfg.Log).Str("Leader", leader.String()).Send()
	received := make(chan error, 1)
	go func() { received <- r.receive(ctx, conn, silent) }()
	tick := time.NewTicker(control.ReportEvery)
	defer tick.Stop()
	for {
		r.mu.Lock()
		report := r.ledger.report(uptime.Now())
		r.mu.Unlock()
		if err := conn.Send(report); err != nil {
			cancel()
			return errors.CombineErrors(err, <-received)
		}
		select {
		case <-tick.C:
		case <-r.report:
		case err := <-received:
			return err
		case <-moved:
			cancel()
			<-received
			return errMoved
		case <-ctx.Done():
			<-received
			return errSilent
		}
	}
}

// receive takes the leader's orders.
func (r *Runner) receive(ctx context.Context, conn *control.Connection, silent *time.Timer) error {
	for {
		o, err := conn.Receive()
		if err != nil {
			return err
		}
		silent.Reset(control.StreamTimeout)
		r.take(ctx, o)
	}
}

// pause waits for d, or until the worker may have something to say.
func (r *Runner) pause(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.wake:
	case <-t.C:
	}
}
