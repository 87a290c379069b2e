package relay

import (
	"context"
	"net/netip"
	"sync"
	"time"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/meter"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// attemptTimeout bounds an attempt at one entry, this one included. The store
	// answers in milliseconds, and within 300 ms when it is slow.
	attemptTimeout = 700 * time.Millisecond
	// answerReserve is the part of a caller's time that is kept for the answer.
	answerReserve = 150 * time.Millisecond
	// replyReserve is the part of an attempt that is kept for the reply of a peer. A peer
	// that waits for the store until its deadline would otherwise never be heard.
	replyReserve = 50 * time.Millisecond
	// maxPeerAttempts bounds the number of peers that are tried for one call.
	maxPeerAttempts = 4
)

// Peer is another entry.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Local is the service of this entry.
type Local interface {
	queue.Jobs
	// StoreReachable reports whether this entry is in contact with the store.
	StoreReachable() bool
	// StoreContactAge returns the time since the last contact with the store.
	StoreContactAge() time.Duration
	// ConfigID identifies the latest configuration that this entry has.
	ConfigID() queue.ConfigID
	// MinRevision returns the least revision of the configuration that may decide calls.
	MinRevision() uint64
	// RaiseMinRevision records that a call was answered by the configuration with the
	// given revision.
	RaiseMinRevision(revision uint64)
	// RecordState records the state of a job that another entry has reported.
	RecordState(c queue.Call, s work.State)
	// FinalState returns the state of a job and true if it is known to be final.
	FinalState(c queue.Call) (work.State, bool)
}

// Config configures a Relay.
type Config struct {
	Name  string // of this entry
	Local Local
	// Peers returns the other entries in order of preference.
	Peers func() []Peer
	Meter *meter.Meter
	Log   zerolog.Logger
}

// contactLost is the reason of a forward that was not attempted at this entry first.
// The reason of any other forward is the code of the local attempt.
const contactLost = "StoreContactLost"

// Relay is a queue.Jobs that serves calls at this entry, or at others when this
// entry cannot reach the store.
type Relay struct {
	cfg    Config
	outage outage
	mu     sync.Mutex
	conns  map[netip.AddrPort]*grpc.ClientConn
}

var _ queue.Jobs = (*Relay)(nil)

// New returns a relay.
func New(cfg Config) *Relay {
	return &Relay{cfg: cfg, conns: make(map[netip.AddrPort]*grpc.ClientConn)}
}

// Close closes the connections to other entries.
func (r *Relay) Close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		_ = c.Close() // no call is in progress any more
	}
}

// MaxBody implements queue.Jobs.
func (r *Relay) MaxBody() int64 { return r.cfg.Local.MaxBody() }

// Submit implements queue.Jobs.
func (r *Relay) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	var job *work.Job
	var decodeErr error
	decodeOnce := func() (*work.Job, error) {
		if job == nil && decodeErr == nil {
			job, decodeErr = decode()
		}
		return job, decodeErr
	}
	a := r.call(ctx, Request{Operation: Submit, Call: c}, func(_ context.Context, req Request) Answer {
		// The time of the attempt begins when the body has arrived, which may take all of
		// the caller's time but what the store needs.
		attemptCtx, cancel := context.WithCancel(ctx)
		defer cancel()
		timeout := time.AfterFunc(req.Remaining, cancel)
		defer timeout.Stop()
		var foundMark uint64
		req.Call.FoundMark = &foundMark
		err := r.cfg.Local.Submit(attemptCtx, req.Call, func() (*work.Job, error) {
			timeout.Stop()
			defer timeout.Reset(req.Remaining)
			return decodeOnce()
		})
		return Answer{Code: rosemarysill.CodeOf(err), Detail: rosemarysill.DetailOf(err), RetryAfter: rosemarysill.RetryAfterOf(err), MarkVersion: foundMark}
	}, func(req *Request) error {
		j, err := decodeOnce()
		req.Job = j
		return err
	})
	return a.err()
}

// Status implements queue.Jobs. A final state that this entry knows stands if another entry
// with older records reports that the job is in progress.
func (r *Relay) Status(ctx context.Context, c queue.Call) (queue.Status, error) {
	a := r.do(ctx, Status, c)
	if a.Code != rosemarysill.Done {
		return queue.Status{}, a.err()
	}
	if !a.OfQueue {
		if known, ok := r.cfg.Local.FinalState(c); ok && !a.State.Final() {
			a.State = known
		} else {
			r.cfg.Local.RecordState(c, a.State)
		}
	}
	return queue.Status{OfQueue: a.OfQueue, Pending: a.Pending, State: a.State}, nil
}

// Cancel implements queue.Jobs.
func (r *Relay) Cancel(ctx context.Context, c queue.Call) error { return r.do(ctx, Cancel, c).err() }

// do makes a call other than Submit, which alone has a body.
func (r *Relay) do(ctx context.Context, op Operation, c queue.Call) Answer {
	return r.call(ctx, Request{Operation: op, Call: c}, func(ctx context.Context, req Request) Answer {
		return execute(ctx, r.cfg.Local, req)
	}, func(*Request) error { return nil })
}

// call tries this entry first if it is in contact with the store, and then its
// peers. If it is not, this entry comes last, and only if no peer may have carried
// out the request. prepare completes the request before it is relayed.
func (r *Relay) call(ctx context.Context, req Request, serveLocal func(context.Context, Request) Answer, prepare func(*Request) error) Answer {
	deadline := req.Call.Deadline.Add(-answerReserve)
	reachable, contactAge := r.cfg.Local.StoreReachable(), r.cfg.Local.StoreContactAge()
	last := Answer{Code: rosemarysill.StoreUnavailable, Detail: "no entry can reach the store"}
	reason := contactLost
	uncertain := false
	if reachable {
		last = attempt(ctx, req, deadline, serveLocal)
		if !retryable(last.Code) {
			return last
		}
		reason = last.Code.String()
		uncertain = last.Code.Truth() == rosemarysill.TruthUnknown
		req.recordAttempt(last)
	}
	if err := prepare(&req); err != nil {
		return Answer{Code: rosemarysill.CodeOf(err), Detail: rosemarysill.DetailOf(err)}
	}
	var said replies
	peers := r.cfg.Peers()
	if len(peers) == 0 && !reachable {
		r.outage.observe(said, 0, time.Now())
	}
	if r.outage.isGeneral(time.Now()) {
		peers = nil
	}
	for i, peer := range peers {
		if i == maxPeerAttempts || time.Until(deadline) <= 0 || ctx.Err() != nil {
			break
		}
		sent := time.Now()
		a := attempt(ctx, req, deadline, func(ctx context.Context, req Request) Answer { return r.forward(ctx, peer, req) })
		r.report(req, peer, a, reason, contactAge, time.Since(sent))
		said.add(a)
		r.outage.observe(said, len(peers), time.Now())
		if !retryable(a.Code) {
			r.cfg.Local.RaiseMinRevision(a.Config.Revision)
			return finalAnswer(req.Operation, a, uncertain)
		}
		uncertain = uncertain || a.Code.Truth() == rosemarysill.TruthUnknown
		req.recordAttempt(a)
		last = a
	}
	if !reachable && !uncertain {
		// Nobody else is tried after this entry, which may use the remaining time.
		last = attemptWithin(ctx, time.Until(deadline), req, deadline, serveLocal)
	}
	return finalAnswer(req.Operation, last, uncertain)
}

// recordAttempt prepares the call for a repetition at another entry after the answer of one.
func (r *Request) recordAttempt(a Answer) {
	r.Call.Repeated = true
	if a.MarkVersion != 0 {
		r.Call.MarkVersion = a.MarkVersion
	}
}

// report logs and counts a forward. contactAge is the time since the last contact with the
// store when the call arrived.
func (r *Relay) report(req Request, peer Peer, a Answer, reason string, contactAge, took time.Duration) {
	r.cfg.Meter.CountRelayed(reason, a.Code)
	event.QueueRelayed.Log(r.cfg.Log).Str("Job", req.Call.LastSegment()).Str("Path", req.Call.Path).Str("Operation", string(req.Operation)).
		Str("Entry", peer.Name).Str("Code", a.Code.String()).Str("Reason", reason).Dur("ContactAge", contactAge).
		Int64("OwnVersion", r.cfg.Local.ConfigID().Version).Int64("Version", a.Config.Version).Dur("Took", took).Send()
}

// finalAnswer replaces an answer that claims that a request had no effect if an
// earlier attempt may have taken effect, because a later refusal by another entry
// does not rule that out. A refusal that has left a mark of its own in the store does,
// because the writes of earlier attempts fail on it. Status never has an effect.
func finalAnswer(op Operation, a Answer, uncertain bool) Answer {
	if op == Status || !uncertain || a.Marked || a.Code.Truth() != rosemarysill.TruthNotRun {
		return a
	}
	return Answer{Code: rosemarysill.OutcomeUnknown, Detail: "an earlier attempt may have taken effect; last answer: " + a.Detail}
}

// retryable reports whether another entry may give a different answer.
func retryable(c rosemarysill.Code) bool {
	switch c {
	case rosemarysill.StoreUnavailable, rosemarysill.StaleConfiguration, rosemarysill.OutcomeUnknown, rosemarysill.ShuttingDown:
		return true
	default:
		return false
	}
}

// attempt calls serve with a deadline for one entry.
func attempt(ctx context.Context, req Request, deadline time.Time, serve func(context.Context, Request) Answer) Answer {
	return attemptWithin(ctx, attemptTimeout, req, deadline, serve)
}

// attemptWithin calls serve with a deadline for one entry, which has at most the given time.
func attemptWithin(ctx context.Context, limit time.Duration, req Request, deadline time.Time, serve func(context.Context, Request) Answer) Answer {
	req.Remaining = min(limit, time.Until(deadline))
	req.Call.Deadline = time.Now().Add(req.Remaining)
	ctx, cancel := context.WithDeadline(ctx, req.Call.Deadline)
	defer cancel()
	return serve(ctx, req)
}

// forward relays a request to a peer. Its outcome is unknown if no answer arrives.
func (r *Relay) forward(ctx context.Context, peer Peer, req Request) Answer {
	conn, err := r.conn(peer.Address)
	if err != nil {
		return Answer{Code: rosemarysill.StoreUnavailable, Detail: err.Error(), lost: true}
	}
	req.Remaining -= min(replyReserve, req.Remaining/2)
	req.Call.RelayedBy, req.Call.MinRevision = r.cfg.Name, r.cfg.Local.MinRevision()
	var a Answer
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+methodName, &req, &a); err != nil {
		return Answer{Code: rosemarysill.OutcomeUnknown, Detail: err.Error(), lost: true}
	}
	// The least revision may have risen while the call was in progress.
	if outdated(req.Operation, a, r.cfg.Local.MinRevision()) {
		return Answer{Code: rosemarysill.StaleConfiguration, Detail: "entry " + peer.Name + " has answered by an older configuration", Config: a.Config, StoreAway: a.StoreAway}
	}
	return a
}

// outdated reports whether an answer was decided by a configuration that is older than the
// given revision and had no effect. A change that was made stands.
func outdated(op Operation, a Answer, least uint64) bool {
	if a.Config.Revision >= least || retryable(a.Code) {
		return false
	}
	return op == Status || a.Code.Truth() == rosemarysill.TruthNotRun
}

func (r *Relay) conn(address netip.AddrPort) (*grpc.ClientConn, error) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if c, ok := r.conns[address]; ok {
		return c, nil
	}
	c, err := control.NewConn(address)
	if err == nil {
		r.conns[address] = c
	}
	return c, err
}
