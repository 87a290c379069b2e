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
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// tryFor is the time that one entry gets for a call, this one included. The
	// store answers in milliseconds, and within 300 ms when it is slow.
	tryFor = 700 * time.Millisecond
	// answerReserve is the part of a caller's time that is left for the answer.
	answerReserve = 150 * time.Millisecond
	// maxTries bounds the entries that are tried for one call.
	maxTries = 4
)

// Peer is another entry.
type Peer struct {
	Name    string
	Address netip.AddrPort
}

// Local is this entry's own service.
type Local interface {
	queue.Jobs
	// StoreReachable reports whether this entry hears from the store.
	StoreReachable() bool
}

// Config is what a relay is told.
type Config struct {
	Local Local
	// Peers returns the other entries, best first.
	Peers func() []Peer
	Log   zerolog.Logger
}

// Relay is a queue.Jobs that serves from this entry, or from others when this
// one does not reach the store.
type Relay struct {
	cfg   Config
	mu    sync.Mutex
	conns map[netip.AddrPort]*grpc.ClientConn
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
		_ = c.Close() // calls have ended by then
	}
}

// IsQueue implements queue.Jobs.
func (r *Relay) IsQueue(c queue.Call) bool { return r.cfg.Local.IsQueue(c) }

// MaxBody implements queue.Jobs.
func (r *Relay) MaxBody() int64 { return r.cfg.Local.MaxBody() }

// Submit implements queue.Jobs.
func (r *Relay) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	var job *work.Job
	var bad error
	once := func() (*work.Job, error) {
		if job == nil && bad == nil {
			job, bad = decode()
		}
		return job, bad
	}
	a := r.call(ctx, Request{Operation: Submit, Call: c}, func(ctx context.Context, q Request) Answer {
		err := r.cfg.Local.Submit(ctx, q.Call, once)
		return Answer{Code: rosemarysill.CodeOf(err), Detail: rosemarysill.DetailOf(err)}
	}, func(q *Request) error {
		j, err := once()
		q.Job = j
		return err
	})
	return a.err()
}

// State implements queue.Jobs.
func (r *Relay) State(ctx context.Context, c queue.Call) (work.State, error) {
	a := r.plain(ctx, State, c)
	return a.State, a.err()
}

// Cancel implements queue.Jobs.
func (r *Relay) Cancel(ctx context.Context, c queue.Call) error { return r.plain(ctx, Cancel, c).err() }

// Pending implements queue.Jobs.
func (r *Relay) Pending(ctx context.Context, c queue.Call) (int, error) {
	a := r.plain(ctx, Pending, c)
	return a.Pending, a.err()
}

// plain makes a call that has no body.
func (r *Relay) plain(ctx context.Context, o Operation, c queue.Call) Answer {
	return r.call(ctx, Request{Operation: o, Call: c}, func(ctx context.Context, q Request) Answer {
		return perform(ctx, r.cfg.Local, q)
	}, func(*Request) error { return nil })
}

// call tries this entry first if it hears from the store, and then others.
// prepare completes a request before it is relayed.
func (r *Relay) call(ctx context.Context, q Request, own func(context.Context, Request) Answer, prepare func(*Request) error) Answer {
	until := q.Call.Deadline.Add(-answerReserve)
	sound := r.cfg.Local.StoreReachable()
	last := Answer{Code: rosemarysill.StoreUnavailable, Detail: "no entry reaches the store"}
	uncertain := false
	if sound {
		last = try(ctx, q, until, own)
		if !undecided(last.Code) {
			return last
		}
		uncertain = last.Code.Truth() == rosemarysill.TruthUnknown
	}
	if err := prepare(&q); err != nil {
		return Answer{Code: rosemarysill.CodeOf(err), Detail: rosemarysill.DetailOf(err)}
	}
	for i, p := range r.cfg.Peers() {
		if i == maxTries || time.Until(until) <= 0 || ctx.Err() != nil {
			break
		}
		a := try(ctx, q, until, func(ctx context.Context, q Request) Answer { return r.ask(ctx, p, q) })
		event.QueueRelayed.Log(r.cfg.Log).Str("Job", q.Call.Path).Str("Operation", string(q.Operation)).Str("Entry", p.Name).Str("Code", a.Code.String()).Send()
		if !undecided(a.Code) {
			return truthful(q.Operation, a, uncertain)
		}
		uncertain = uncertain || a.Code.Truth() == rosemarysill.TruthUnknown
		last = a
	}
	if !sound && !uncertain {
		last = try(ctx, q, until, own)
	}
	return truthful(q.Operation, last, uncertain)
}

// truthful corrects an answer that says that a request has had no effect, if an
// earlier try of it may have had one: another entry's refusal says nothing
// about that. Calls that only look have no effect in any case.
func truthful(o Operation, a Answer, uncertain bool) Answer {
	if o == State || o == Pending || !uncertain || a.Code.Truth() != rosemarysill.TruthNotRun {
		return a
	}
	return Answer{Code: rosemarysill.OutcomeUnknown, Detail: "an earlier try got no answer: " + a.Detail}
}

// undecided reports whether another entry may answer better.
func undecided(c rosemarysill.Code) bool {
	switch c {
	case rosemarysill.StoreUnavailable, rosemarysill.StaleConfiguration, rosemarysill.OutcomeUnknown, rosemarysill.ShuttingDown:
		return true
	default:
		return false
	}
}

// try gives one entry its time.
func try(ctx context.Context, q Request, until time.Time, f func(context.Context, Request) Answer) Answer {
	q.Remaining = min(tryFor, time.Until(until))
	q.Call.Deadline = time.Now().Add(q.Remaining)
	ctx, cancel := context.WithDeadline(ctx, q.Call.Deadline)
	defer cancel()
	return f(ctx, q)
}

// ask relays a request. Without an answer it is not known what became of it.
func (r *Relay) ask(ctx context.Context, p Peer, q Request) Answer {
	conn, err := r.conn(p.Address)
	if err != nil {
		return Answer{Code: rosemarysill.StoreUnavailable, Detail: err.Error()}
	}
	var a Answer
	if err := conn.Invoke(ctx, "/"+serviceName+"/"+methodName, &q, &a); err != nil {
		return Answer{Code: rosemarysill.OutcomeUnknown, Detail: err.Error()}
	}
	return a
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
