package standin

import (
	"context"
	"encoding/json"
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
	done    chan struct{}
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
			Handler:           h,
			ReadHeaderTimeout: 10 * time.Second,
			ReadTimeout:       time.Minute,
			MaxHeaderBytes:    64 << 10,
			BaseContext:       func(net.Listener) context.Context { return context.WithValue(base, baseKey{}, base) },
		},
		cancel: cancel,
		done:   make(chan struct{}),
	}
	go func() {
		defer close(s.done)
		_ = s.http.Serve(ln)
	}()
	return s
}

// Address returns the address at which the stand-in listens.
func (s *Server) Address() netip.AddrPort { return s.address }

// Stop closes the listener and all connections. It does not wait; see Done.
func (s *Server) Stop() {
	s.cancel()
	_ = s.http.Close()
}

// Done is closed when the stand-in accepts no more connections.
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
	return json.NewDecoder(http.MaxBytesReader(w, r.Body, limit)).Decode(into)
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
