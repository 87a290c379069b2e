package message

import (
	"bytes"
	"cmp"
	"context"
	"log"
	"net"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rs/zerolog"
)

// Limits bound what a server accepts.
type Limits struct {
	HeaderBytes  int           // of a request's header
	BodyBytes    int64         // of a request's body
	HeldBytes    int64         // of all bodies held at a time, those that have arrived in part included
	Requests     int64         // in progress at a time
	Connections  int           // open at a time; 0 stands for the default
	ReadWithin   time.Duration // a client sends a request's header, and then its body, in this time
	WriteWithin  time.Duration // a client takes an answer in this time
	IdleFor      time.Duration // a connection without request is kept this long
	LingerFor    time.Duration // new requests are answered ShuttingDown this long before the listener closes
	AnswerWithin time.Duration // the longest time that a request may ask for
}

// DefaultLimits returns limits for an entry with a few GB of memory. A body of
// 1 MiB is 1.4 MB in base64. Requests exceeds the calls that a router holds, so
// that the router, which knows the accounts, decides which are refused.
func DefaultLimits() Limits {
	return Limits{
		HeaderBytes:  16 << 10,
		BodyBytes:    1500 << 10,
		HeldBytes:    256 << 20,
		Requests:     4096,
		Connections:  8192,
		ReadWithin:   10 * time.Second,
		WriteWithin:  30 * time.Second,
		IdleFor:      2 * time.Minute,
		LingerFor:    time.Second,
		AnswerWithin: 30 * time.Minute,
	}
}

// Server serves HTTP requests and ends without cutting one off.
type Server struct {
	limits   Limits
	handler  http.Handler // under the limits of the gate
	gate     *intake.Gate
	log      zerolog.Logger
	stopping atomic.Bool
	done     chan struct{}
}

// NewServer returns a server of the handler that uses the Log of opts.
func NewServer(handler http.Handler, limits Limits, opts ...rosemarysill.Option) *Server {
	limits.Connections = cmp.Or(limits.Connections, DefaultLimits().Connections)
	s := &Server{limits: limits, log: rosemarysill.NewOptions(opts...).Log, done: make(chan struct{})}
	s.gate = intake.NewGate(intake.Limits{
		Connections: limits.Connections, BodyBytes: limits.HeldBytes,
		BodyPause: limits.ReadWithin, BodyTime: limits.ReadWithin, AnswerTimeout: limits.WriteWithin,
	}, s.log)
	checked := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) { s.serve(w, r, handler) })
	s.handler = s.gate.Handler(checked, s.gate.NewSlots("callers", int(limits.Requests)), func(w http.ResponseWriter, r *http.Request) {
		s.refuse(w, r, rosemarysill.Overloaded, "too many requests in progress")
	})
	return s
}

// Counts returns the counts of the limits on connections.
func (s *Server) Counts() intake.Counts { return s.gate.Counts() }

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// Run serves on the listener until ctx ends. From then on new requests are
// answered ShuttingDown, and Run returns when those in progress are finished.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	server := &http.Server{
		Handler:           s,
		ConnContext:       intake.ConnContext,
		ConnState:         intake.ConnState,
		ReadHeaderTimeout: s.limits.ReadWithin,
		IdleTimeout:       s.limits.IdleFor,
		MaxHeaderBytes:    s.limits.HeaderBytes,
		ErrorLog:          log.New(faults{s.log}, "", 0),
	}
	failed := make(chan error, 1)
	go func() { failed <- server.Serve(s.gate.Listen(l, "callers", s.limits.Connections)) }()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
	}
	s.stopping.Store(true)
	linger := time.NewTimer(s.limits.LingerFor)
	defer linger.Stop()
	select {
	case err := <-failed:
		return errors.Wrap(err, "serve")
	case <-linger.C:
	}
	// No deadline: each request in progress has its own.
	err := server.Shutdown(context.Background())
	<-failed
	return errors.Wrap(err, "shut down")
}

// faults turns the lines of net/http's log into events.
type faults struct{ log zerolog.Logger }

func (f faults) Write(line []byte) (int, error) {
	event.ServerFault.Log(f.log).Bytes("Detail", bytes.TrimSpace(line)).Send()
	return len(line), nil
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) { s.handler.ServeHTTP(w, r) }

// serve refuses what exceeds the limits or arrives during the shutdown and hands the rest to
// the handler.
func (s *Server) serve(w http.ResponseWriter, r *http.Request, handler http.Handler) {
	if s.stopping.Load() {
		w.Header().Set("Connection", "close")
		s.refuse(w, r, rosemarysill.ShuttingDown, "the entry is shutting down")
		return
	}
	if r.ContentLength > s.limits.BodyBytes {
		s.refuse(w, r, rosemarysill.TooLarge, "the request exceeds the limit")
		return
	}
	handler.ServeHTTP(w, r)
}

func (s *Server) refuse(w http.ResponseWriter, r *http.Request, code rosemarysill.Code, detail string) {
	id, _ := RequestID(r)
	_ = Write(w, code, NewReply(id, code, detail), time.Now().Add(s.limits.WriteWithin))
}
