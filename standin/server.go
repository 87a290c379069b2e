package standin

import (
	"context"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Server is a stand-in that listens on loopback.
type Server struct {
	address netip.AddrPort
	http    *http.Server
	cancel  context.CancelFunc
	idle    chan struct{} // signalled at the end of a request
	done    chan struct{}

	mu       sync.Mutex
	stopped  bool
	requests int
}

type baseKey struct{}

// Serve runs the handler at a loopback address; port 0 and the zero address
// choose a free port. Stop ends it.
func Serve(address netip.AddrPort, h http.Handler) (*Server, error) {
	if !address.IsValid() {
		address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
	}
	if !address.Addr().IsLoopback() {
		return nil, errors.Newf("standin: %s is not a loopback address", address)
	}
	ln, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return nil, errors.Wrap(err, "standin: listen")
	}
	if limited, ok := h.(interface{ MaxConns() int }); ok {
		l := &connListener{TCPListener: ln, limit: limited.MaxConns()}
		return serve(l, h), nil
	}
	return serve(ln, h), nil
}

// connListener closes connections over its limit at once.
type connListener struct {
	*net.TCPListener
	limit int
	open  atomic.Int64
}

type limitedConn struct {
	net.Conn
	closed sync.Once
	open   *atomic.Int64
}

func (c *limitedConn) Close() error {
	c.closed.Do(func() { c.open.Add(-1) })
	return c.Conn.Close()
}

// Accept implements net.Listener.
func (l *connListener) Accept() (net.Conn, error) {
	for {
		c, err := l.TCPListener.Accept()
		if err != nil {
			return nil, err
		}
		if l.open.Add(1) <= int64(l.limit) {
			return &limitedConn{Conn: c, open: &l.open}, nil
		}
		l.open.Add(-1)
		_ = c.Close()
	}
}

func serve(ln net.Listener, h http.Handler) *Server {
	base, cancel := context.WithCancel(context.Background())
	s := &Server{
		address: ln.Addr().(*net.TCPAddr).AddrPort(),
		http: &http.Server{
			// No ReadTimeout: it would end the context of calls that run longer.
			// readBody sets the deadline of a body.
			ReadHeaderTimeout: 10 * time.Second,
			MaxHeaderBytes:    64 << 10,
			BaseContext:       func(net.Listener) context.Context { return context.WithValue(base, baseKey{}, base) },
		},
		cancel: cancel,
		idle:   make(chan struct{}, 1),
		done:   make(chan struct{}),
	}
	s.http.Handler = s.track(h)
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln)
		for s.busy() {
			<-s.idle
		}
	}()
	return s
}

// track counts the requests in progress and refuses those that come after Stop.
func (s *Server) track(h http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.mu.Lock()
		if s.stopped {
			s.mu.Unlock()
			dropConnection()
		}
		s.requests++
		s.mu.Unlock()
		defer func() {
			s.mu.Lock()
			s.requests--
			s.mu.Unlock()
			select {
			case s.idle <- struct{}{}:
			default:
			}
		}()
		h.ServeHTTP(w, r)
	})
}

func (s *Server) busy() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.requests > 0
}

// Address returns the address at which the stand-in listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Stop closes the listener and all connections. It does not wait; see Done.
func (s *Server) Stop() {
	s.mu.Lock()
	s.stopped = true
	s.mu.Unlock()
	s.cancel()
	_ = s.http.Close()
}

// Done is closed when the stand-in has stopped and no request is in progress.
func (s *Server) Done() <-chan struct{} { return s.done }

// serverContext returns the context that ends with the server of the request
// instead of with the request, for work that goes on after its client has left.
func serverContext(ctx context.Context) context.Context {
	if base, ok := ctx.Value(baseKey{}).(context.Context); ok {
		return base
	}
	return ctx
}

// readJSON decodes a request body of at most limit bytes.
func readJSON(w http.ResponseWriter, r *http.Request, limit int64, into any) error {
	body, err := readBody(w, r, limit)
	if err != nil {
		return err
	}
	return json.Unmarshal(body, into)
}

// readBody reads a request body of at most limit bytes within a minute.
func readBody(w http.ResponseWriter, r *http.Request, limit int64) ([]byte, error) {
	// A recorder of tests has no deadlines; the error is of no consequence.
	c := http.NewResponseController(w)
	_ = c.SetReadDeadline(time.Now().Add(time.Minute))
	defer func() { _ = c.SetReadDeadline(time.Time{}) }()
	return io.ReadAll(http.MaxBytesReader(w, r.Body, limit))
}

func writeJSON(w http.ResponseWriter, status int, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// dropConnection closes the client's connection without an answer.
func dropConnection() { panic(http.ErrAbortHandler) }
