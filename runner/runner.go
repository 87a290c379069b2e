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
	seat     jobstore.Seat
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
	jobstore.FollowLeader(ctx, r.cfg.Store, r.seated, func(err error) {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
	})
}

// lookUp reads the leader after a stream has failed. A watch that fell silent
// would show a change only later.
func (r *Runner) lookUp(ctx context.Context) {
	s, err := jobstore.ReadSeat(ctx, r.cfg.Store)
	if err != nil {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
		return
	}
	r.seated(s)
}

func (r *Runner) seated(s jobstore.Seat) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if s.Address.IsValid() && s.Epoch > r.seat.Epoch {
		r.seat = s
		close(r.moved)
		r.moved = make(chan struct{})
	}
}

// attach keeps a stream to the leader.
func (r *Runner) attach(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		leader, moved := r.seat.Address, r.moved
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
		sleep(ctx, redialPause)
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
	silent := time.AfterFunc(control.SilentAfter, cancel)
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
		silent.Reset(control.SilentAfter)
		r.take(ctx, o)
	}
}

// take carries out the leader's orders for the present incarnation.
func (r *Runner) take(ctx context.Context, o control.Orders) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := uptime.Now()
	if !r.ledger.lease(o) || !r.ledger.answered || o.Incarnation != r.ledger.incarnation() || now.Sub(o.Echo) > control.OrderValid {
		return
	}
	r.ledger.settle(o)
	for _, s := range o.Starts {
		r.order(ctx, s.Key, !r.ledger.listed(s.Key), func() bool { return r.start(ctx, s) })
	}
	for _, k := range o.Stops {
		r.order(ctx, k, r.ledger.mayStop(k, now), func() bool { return r.stop(ctx, k) })
	}
	for _, p := range o.Paces {
		r.order(ctx, p.Key, r.ledger.mayPace(p.Key, p.Percent), func() bool { return r.pace(ctx, p) })
	}
	if o.Seen > 0 {
		notify(r.wake)
	}
}

// order runs f unless an order for the run is in progress, or too many are.
// The leader repeats orders that were passed over. If f reports that the order
// has no effect yet, a pause keeps the repetitions apart. The caller holds mu.
func (r *Runner) order(ctx context.Context, k work.RunKey, wanted bool, f func() bool) {
	if !wanted || r.inFlight[k] {
		return
	}
	select {
	case r.orders <- struct{}{}:
	default:
		return
	}
	r.inFlight[k] = true
	go func() {
		if !f() {
			sleep(ctx, orderPause)
		}
		<-r.orders
		r.mu.Lock()
		delete(r.inFlight, k)
		r.mu.Unlock()
		notify(r.report)
	}()
}

// start orders a run at the worker and reports whether it has decided.
func (r *Runner) start(ctx context.Context, s control.Start) bool {
	r.mu.Lock()
	l := r.ledger
	id, incarnation, fence := l.instance.ID, l.incarnation(), l.fence
	until := l.deadline(uptime.Now())
	draining := l.instance.State == work.WorkerDraining
	if draining || until == 0 {
		if draining {
			l.refuse(s.Key, work.RefusedDraining)
		}
		r.mu.Unlock()
		return false
	}
	r.mu.Unlock()
	look, err := r.cfg.Runtime.Start(ctx, callTimeout, id, fence, s.Start, until)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.incarnation() != incarnation {
		return false
	}
	if err != nil {
		l.lost(s.Key, fence)
		notify(r.wake)
		r.failed("start", s.Key, err)
		return false
	}
	event.RunnerStart.Log(r.cfg.Log).Str("Job", s.Key.Task.Job).Stringer("Run", s.Key).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(look.Refusal)).Send()
	if !l.answer(look, fence, uptime.Now()) {
		return false
	}
	if look.Refusal == work.Accepted {
		l.starting(s.Key, uptime.Now())
		return true
	}
	l.refuse(s.Key, look.Refusal)
	return true
}

// stop orders the end of a run at the worker. The run is listed as ended when
// it has stopped.
func (r *Runner) stop(ctx context.Context, k work.RunKey) bool {
	r.mu.Lock()
	l := r.ledger
	id, incarnation, fence := l.instance.ID, l.incarnation(), l.fence
	r.mu.Unlock()
	look, err := r.cfg.Runtime.Stop(ctx, callTimeout, id, fence, k)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.incarnation() != incarnation {
		return false
	}
	if err != nil {
		l.raise(fence + 1)
		l.unheard()
		r.failed("stop", k, err)
		return false
	}
	event.RunnerStop.Log(r.cfg.Log).Str("Job", k.Task.Job).Stringer("Run", k).Str("Worker", incarnation).Int64("Fence", fence).Str("Refusal", string(look.Refusal)).Send()
	if l.answer(look, fence, uptime.Now()) && look.Refusal == work.Accepted {
		l.stopped[k] = stopped{fence, uptime.Now()}
	}
	notify(r.wake)
	return true
}

// pace orders the share at which a run works and reports whether the worker
// has answered.
func (r *Runner) pace(ctx context.Context, p control.Pace) bool {
	r.mu.Lock()
	l := r.ledger
	id, incarnation, fence := l.instance.ID, l.incarnation(), l.fence
	r.mu.Unlock()
	look, err := r.cfg.Runtime.Pace(ctx, callTimeout, id, fence, p.Key, p.Percent)
	r.mu.Lock()
	defer r.mu.Unlock()
	if l.incarnation() != incarnation {
		return false
	}
	if err != nil {
		l.raise(fence + 1)
		l.unheard()
		r.failed("pace", p.Key, err)
		return false
	}
	event.RunnerPace.Log(r.cfg.Log).Str("Job", p.Key.Task.Job).Stringer("Run", p.Key).Int("Percent", p.Percent).Str("Refusal", string(look.Refusal)).Send()
	if l.answer(look, fence, uptime.Now()) && look.Refusal == work.Accepted {
		l.paced[p.Key] = p.Percent
	}
	return true
}

func (r *Runner) failed(call string, k work.RunKey, err error) {
	event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", call).Str("Job", k.Task.Job).Stringer("Run", k).Err(err).Send()
}

// hold extends the lease of the worker's runs and reads its lists.
func (r *Runner) hold(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		l := r.ledger
		known, id, incarnation, fence := l.known, l.instance.ID, l.incarnation(), l.fence
		h := work.Hold{LastSeen: l.lastSeen(), Until: l.deadline(uptime.Now())}
		// Ends that the leader has not recorded yet are listed again at once,
		// and a worker that is not known to answer is asked without waiting.
		if len(l.ended) == 0 && l.answered && fence == l.fenceSeen {
			h.Wait = holdWait
		}
		r.mu.Unlock()
		if !known {
			r.pause(ctx, holdWait)
			continue
		}
		sent := uptime.Now()
		look, err := r.cfg.Runtime.Hold(ctx, callTimeout, id, fence, h)
		r.held(ctx, incarnation, fence, sent, look, err)
		if h.Wait == 0 || err != nil || look.Refusal != work.Accepted {
			r.pause(ctx, holdPause)
		}
	}
}

// held takes the answer to a hold.
func (r *Runner) held(ctx context.Context, incarnation string, fence int64, sent time.Time, look work.Look, err error) {
	if ctx.Err() != nil {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	l := r.ledger
	if l.incarnation() != incarnation {
		return
	}
	if err != nil {
		l.raise(fence + 1)
		l.unheard()
		event.RunnerCallFailed.Log(r.cfg.Log).Str("Call", "hold").Str("Worker", incarnation).Err(err).Send()
		if errors.Is(err, work.ErrNoListener) && l.absent(uptime.Now()) {
			event.RunnerWorkerLeft.Log(r.cfg.Log).Str("Worker", incarnation).Str("Why", "nothing listens at its address").Send()
			notify(r.report)
		}
		return
	}
	before := len(l.ended)
	if l.lookSent(look, fence, sent, uptime.Now()) {
		for _, e := range l.ended[min(before, len(l.ended)):] {
			event.RunnerEnded.Log(r.cfg.Log).Str("Job", e.Key.Task.Job).Stringer("Run", e.Key).Str("How", string(e.How)).Uint64("Seq", e.Seq).Send()
		}
		notify(r.report)
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

func sleep(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-t.C:
	}
}
