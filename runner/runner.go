// Package runner implements the agent beside a worker. It renews the leases of the
// worker's runs, carries out the leader's orders, and reports to the leader which
// runs are running and which have ended.
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
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/jobstore"
	"github.com/rosemarysill/rosemarysill/uptime"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// callTimeout is the timeout of a call to the worker, which is on the same machine
	// and usually replies within a millisecond.
	callTimeout = 400 * time.Millisecond
	// renewalWait is how long a lease renewal may wait at the worker for a run to end.
	renewalWait = time.Second
	// youngRenewalWait replaces it while a run is younger than youngRunAge, whose progress
	// shows the leader the speed of the worker and whether the run will be late. The call
	// costs the store nothing. It is not used with more than maxYoungRuns, whose lists take
	// much of the processor time of the smallest machines.
	youngRenewalWait = 300 * time.Millisecond
	youngRunAge      = 3 * time.Second
	maxYoungRuns     = 32
	// renewalInterval is the pause after a lease renewal that did not wait or failed.
	renewalInterval = 100 * time.Millisecond
	// redialInterval is the pause before a new stream to the leader is opened.
	redialInterval = 100 * time.Millisecond
	// refreshTimeout bounds the read of the leader record after a stream has failed. A
	// store that is 60 times slower takes 240 ms. During an outage of the store the agent
	// has no stream for as long, and the leader learns of no ends.
	refreshTimeout = 300 * time.Millisecond
	// orderRetryInterval is the pause before an order that had no effect is repeated.
	orderRetryInterval = 100 * time.Millisecond
	// maxHeaderBytes bounds the headers of a status report.
	maxHeaderBytes = 16 << 10
	// maxOrdersInFlight bounds the number of orders that are executed concurrently.
	maxOrdersInFlight = 64
)

// Config is the configuration of a Runner.
type Config struct {
	Name     string
	Store    rosemarysill.TransactionalStore
	Runtime  work.Runtime
	Register func(work.Registrar) http.Handler // returns the handler for the worker's status reports
	Log      zerolog.Logger
}

// Runner is the agent beside a worker.
type Runner struct {
	cfg        Config
	done       chan struct{}
	reportNow  chan struct{} // a report is due before the next tick
	renewNow   chan struct{} // a lease renewal is due before the next interval
	askNow     chan struct{} // there is a candidate for the worker's incarnation
	orderSlots chan struct{} // one element for each order in flight

	mu            sync.Mutex
	worker        *workerState
	inFlight      map[work.RunKey]bool
	cancelRenewal context.CancelFunc    // cancels the lease renewal in flight
	leader        jobstore.LeaderRecord // latest known leader
	leaderChanged chan struct{}         // closed when leader changes
}

// New returns an agent. Its fences start at the current time, so that they are higher
// than those of an earlier process of the agent.
func New(cfg Config) *Runner {
	return &Runner{
		cfg: cfg, done: make(chan struct{}), reportNow: make(chan struct{}, 1), renewNow: make(chan struct{}, 1), askNow: make(chan struct{}, 1),
		orderSlots: make(chan struct{}, maxOrdersInFlight), leaderChanged: make(chan struct{}),
		worker: newWorkerState(cfg.Name, time.Now().UnixMilli()), inFlight: make(map[work.RunKey]bool),
	}
}

// Done returns a channel that is closed when Run has returned.
func (r *Runner) Done() <-chan struct{} { return r.done }

// Run serves the worker's status reports on l, renews leases and keeps a stream to the
// leader until ctx ends or the server fails.
func (r *Runner) Run(ctx context.Context, l net.Listener) error {
	defer close(r.done)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	server := &http.Server{
		Handler: r.cfg.Register(r), ConnContext: intake.ConnContext, ConnState: intake.ConnState,
		ReadHeaderTimeout: 3 * time.Second, IdleTimeout: time.Minute, MaxHeaderBytes: maxHeaderBytes,
	}
	served := make(chan error, 1)
	go func() { served <- server.Serve(l) }()
	var loops sync.WaitGroup
	for _, loop := range []func(context.Context){r.followLeader, r.maintainStream, r.renewLeases, r.confirmCandidates} {
		loops.Go(func() { loop(ctx) })
	}
	event.RunnerStarted.Log(r.cfg.Log).Str("Agent", r.cfg.Name).Send()
	var err error
	select {
	case <-ctx.Done():
	case err = <-served:
	}
	cancel()
	_ = server.Close() // closes the worker's connections; the worker reports again
	loops.Wait()
	event.RunnerStopped.Log(r.cfg.Log).Str("Agent", r.cfg.Name).Send()
	return err
}

// Announce implements work.Registrar.
func (r *Runner) Announce(a work.Announcement) {
	r.mu.Lock()
	defer r.mu.Unlock()
	previous, wasLeaving := r.worker.announcement, r.worker.leaving()
	incarnation := r.worker.incarnationOf(a)
	wasCandidate := r.worker.candidateIndex(incarnation) >= 0
	begun := r.worker.applyAnnouncement(a, uptime.Now())
	r.worker.recordCapacity()
	if begun {
		r.logIncarnation()
		notify(r.renewNow)
		return
	}
	if !wasCandidate && r.worker.candidateIndex(incarnation) >= 0 {
		event.RunnerCandidate.Log(r.cfg.Log).Str("Worker", r.worker.incarnation()).Str("Candidate", incarnation).
			Str("Service", a.Service).Uint64("Sequence", a.Sequence).Send()
		notify(r.askNow)
	}
	if s := r.worker.series; s.count > 0 && s.latest.Sequence == a.Sequence {
		event.RunnerReportIgnored.Log(r.cfg.Log).Str("Worker", r.worker.incarnation()).Str("Service", a.Service).Uint64("Sequence", a.Sequence).
			Uint64("Present", previous.Sequence).Int("Count", s.count).Send()
	}
	current := r.worker.announcement
	if current.State != previous.State || r.worker.leaving() != wasLeaving {
		event.RunnerWorkerState.Log(r.cfg.Log).Str("Worker", r.worker.incarnation()).Str("State", string(current.State)).Send()
		notify(r.reportNow)
	}
	if current.Capacity != previous.Capacity {
		event.RunnerCapacity.Log(r.cfg.Log).Str("Worker", r.worker.incarnation()).Interface("Before", previous.Capacity).Interface("Capacity", current.Capacity).Send()
		notify(r.reportNow)
	}
}

func (r *Runner) logIncarnation() {
	a := r.worker.announcement
	event.RunnerWorker.Log(r.cfg.Log).Str("Worker", r.worker.incarnation()).Str("Service", a.Service).Str("Rack", a.Rack).Send()
}

// Leave implements work.Registrar. A lease renewal is sent at once; it shows whether the
// worker has ended.
func (r *Runner) Leave(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	current := r.worker.recordLeaving(id, uptime.Now())
	event.RunnerWorkerLeaving.Log(r.cfg.Log).Str("Worker", id).Bool("Current", current).Send()
	if current {
		r.interruptRenewal()
		notify(r.reportNow)
	}
}

func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}

// followLeader watches the record of the leader until ctx ends.
func (r *Runner) followLeader(ctx context.Context) {
	jobstore.FollowLeader(ctx, r.cfg.Store, r.setLeader, func(err error) {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
	})
}

// refreshLeader reads the record of the leader after a stream has failed, because a
// stalled watch would deliver a change of leader later.
func (r *Runner) refreshLeader(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, refreshTimeout)
	defer cancel()
	rec, err := jobstore.ReadLeader(ctx, r.cfg.Store)
	if err != nil {
		event.RunnerStoreFailed.Log(r.cfg.Log).Err(err).Send()
		return
	}
	r.setLeader(rec)
}

// setLeader records a leader whose epoch is higher than that of the latest known one.
func (r *Runner) setLeader(rec jobstore.LeaderRecord) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if rec.Address.IsValid() && rec.Epoch > r.leader.Epoch {
		r.leader = rec
		close(r.leaderChanged)
		r.leaderChanged = make(chan struct{})
	}
}

// maintainStream keeps a stream to the current leader open until ctx ends, and opens a
// new one when a stream fails or the leader changes.
func (r *Runner) maintainStream(ctx context.Context) {
	for ctx.Err() == nil {
		r.mu.Lock()
		address, changed := r.leader.Address, r.leaderChanged
		r.mu.Unlock()
		if !address.IsValid() {
			select {
			case <-changed:
			case <-ctx.Done():
			}
			continue
		}
		err := r.serveStream(ctx, address, changed)
		if ctx.Err() != nil {
			return
		}
		event.RunnerDetached.Log(r.cfg.Log).Str("Leader", address.String()).AnErr("Cause", err).Send()
		r.refreshLeader(ctx)
		uptime.Sleep(ctx, redialInterval)
	}
}

var (
	errLeaderChanged = errors.New("stream closed: another entry has become the leader")
	errStreamTimeout = errors.Newf("stream timed out: no orders from the leader for %v", control.StreamTimeout)
)

// serveStream sends reports on one stream until the stream fails, times out, or
// another entry becomes the leader.
func (r *Runner) serveStream(ctx context.Context, address netip.AddrPort, changed <-chan struct{}) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	timeout := time.AfterFunc(control.StreamTimeout, cancel)
	defer timeout.Stop()
	conn, err := control.Dial(ctx, address)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // the stream has ended already, so nothing depends on the error
	event.RunnerAttached.Log(r.cfg.Log).Str("Leader", address.String()).Send()
	received := make(chan error, 1)
	go func() { received <- r.receiveOrders(ctx, conn, timeout) }()
	tick := time.NewTicker(control.ReportEvery)
	defer tick.Stop()
	for {
		r.mu.Lock()
		report := r.worker.report(uptime.Now())
		r.mu.Unlock()
		if err := conn.Send(report); err != nil {
			cancel()
			return errors.CombineErrors(err, <-received)
		}
		select {
		case <-tick.C:
		case <-r.reportNow:
		case err := <-received:
			return err
		case <-changed:
			cancel()
			<-received
			return errLeaderChanged
		case <-ctx.Done():
			<-received
			return errStreamTimeout // maintainStream ignores the error if the agent is ending
		}
	}
}

// receiveOrders applies the orders that arrive on a stream until it fails. Each message
// restarts the timeout.
func (r *Runner) receiveOrders(ctx context.Context, conn *control.Connection, timeout *time.Timer) error {
	for {
		o, err := conn.Receive()
		if err != nil {
			return err
		}
		timeout.Reset(control.StreamTimeout)
		r.applyOrders(ctx, o)
	}
}

// waitForRenewal waits for d, or until a lease renewal is due earlier.
func (r *Runner) waitForRenewal(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
	case <-r.renewNow:
	case <-t.C:
	}
}
