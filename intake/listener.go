package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"
	"time"

	"github.com/rosemarysill/rosemarysill/event"
)

// Listener accepts connections up to a limit. At the limit, a new connection replaces one
// that is not used: Accept closes that one and returns the new one when the server has ended
// the other. So the limit counts all connections whose memory the server may still hold.
type Listener struct {
	net.Listener
	gate *Gate
	name string
	rpc  bool

	freed     chan struct{} // has an element after the server has ended a connection
	closeOnce sync.Once
	done      chan struct{} // closed by Close

	mu    sync.Mutex
	table *table
}

// Listen returns a listener with a limit of connections, for an HTTP server.
func (g *Gate) Listen(l net.Listener, name string, limit int) *Listener {
	limitUnread(l)
	return &Listener{
		Listener: l, gate: g, name: name, freed: make(chan struct{}, 1), done: make(chan struct{}), table: newTable(limit),
	}
}

// limitUnread sets the receive buffer of a listening socket, which accepted sockets
// inherit, and the length of its queue of connections that have not been accepted. The
// buffer has to be set there, because bytes arrive before the connection is accepted.
func limitUnread(l net.Listener) {
	socket, ok := l.(syscall.Conn)
	if !ok {
		return
	}
	raw, err := socket.SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { // without it the buffers and the queue have their usual size
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		_ = syscall.Listen(int(fd), backlog)
	})
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		raw, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := &Conn{Conn: raw, listener: l}
		if l.rpc {
			c.scan = newFrameScanner()
			c.messages = newShare(c.abort)
		}
		added, err := l.add(c)
		if err != nil {
			_ = raw.Close() // the error of the listener is the one to return
			return nil, err
		}
		if !added {
			_ = raw.Close() // nothing was read from it
			l.gate.counters.rejected.Add(1)
			event.IntakeRejected.Log(l.gate.log).Str("Server", l.name).Stringer("Client", raw.RemoteAddr()).Send()
			continue
		}
		if l.rpc {
			l.gate.rpcConns.Store(rpcConnKey(c.LocalAddr(), c.RemoteAddr()), c)
		}
		l.gate.counters.open.Add(1)
		return c, nil
	}
}

// add adds a connection to the table. At the limit it closes another one and waits until
// the server has ended it. It returns false if no other may be closed.
func (l *Listener) add(c *Conn) (bool, error) {
	for {
		now := time.Now()
		l.mu.Lock()
		added := l.table.add(c, now)
		var victim *Conn
		var retry time.Time
		if !added {
			victim, retry = l.table.victim(now)
		}
		l.mu.Unlock()
		if added || retry.IsZero() {
			return added, nil
		}
		if victim != nil {
			l.gate.counters.replaced.Add(1)
			event.IntakeReplaced.Log(l.gate.log).Str("Server", l.name).Stringer("Client", victim.RemoteAddr()).Send()
			victim.abort() // the server that reads from it gets an error
		}
		wait := time.NewTimer(retry.Sub(now))
		select {
		case <-l.freed:
		case <-wait.C:
		case <-l.done:
			wait.Stop()
			return false, net.ErrClosed
		}
		wait.Stop()
	}
}

// free wakes Accept after a connection has been removed from the table.
func (l *Listener) free() {
	l.gate.counters.open.Add(-1)
	select {
	case l.freed <- struct{}{}:
	default:
	}
}

// Close implements net.Listener.
func (l *Listener) Close() error {
	l.closeOnce.Do(func() { close(l.done) })
	return l.Listener.Close()
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once

	// The table of the listener uses these.
	position  *list.Element // in the list of connections that may be closed; nil if it is not there
	executing int           // number of requests that are being executed
	idle      bool          // no bytes have arrived since the latest answer, which the client may not have read
	closing   bool          // was closed for another
	closed    bool          // by the server
	arrival   arrival       // of the present request

	// answering reports that a request has ended and its answer may not have been written.
	// Only the goroutine of net/http that serves the connection uses it.
	answering bool

	scan     *frameScanner // nil for HTTP/1.1
	messages *share        // incomplete gRPC messages
}

// abort ends the connection towards the client. It counts until the server has closed it,
// because the server holds memory for it until then.
func (c *Conn) abort() {
	c.listener.mu.Lock()
	answered := c.idle
	c.listener.mu.Unlock()
	// Unless the client may not have read an answer yet, the kernel need not keep its bytes.
	if tcp, ok := c.Conn.(*net.TCPConn); ok && !answered {
		_ = tcp.SetLinger(0)
	}
	_ = c.Conn.Close() // the client may have closed it
}

// Close implements net.Conn. The server calls it when it holds no memory of the connection
// any more.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		l := c.listener
		l.mu.Lock()
		gone := l.table.close(c, l.rpc)
		l.mu.Unlock()
		if gone {
			l.free()
		}
		if c.messages != nil {
			l.gate.rpcConns.CompareAndDelete(rpcConnKey(c.LocalAddr(), c.RemoteAddr()), c)
			l.gate.close(l.gate.messages, c.messages)
		}
	})
	return c.Conn.Close()
}

// CloseWrite ends the connection towards the client. net/http uses it after an answer to a
// request that it has not read completely; closing alone would reset the connection, and
// the client might lose the answer.
func (c *Conn) CloseWrite() error {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		return half.CloseWrite()
	}
	return nil
}

// receive records that bytes have arrived.
func (c *Conn) receive(n int) {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.receive(c, n, time.Now())
}

// beginBody records that the body of a request arrives.
func (c *Conn) beginBody() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.arrival.body = true
}

// refuse records that a request was answered before its body had arrived.
func (c *Conn) refuse() {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.refuse(c, time.Now())
}

func (c *Conn) begin() bool {
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	return c.listener.table.begin(c)
}

// ConnState is for http.Server.ConnState. It ends the execution of a request that may
// have had an effect when its answer has been written: until then the connection is not
// closed for another, because a closed connection tells that the request has not run.
func ConnState(raw net.Conn, state http.ConnState) {
	if c, ok := raw.(*Conn); ok && state == http.StateIdle && c.answering {
		c.answering = false
		c.end()
	}
}

func (c *Conn) end() {
	l := c.listener
	l.mu.Lock()
	gone := l.table.end(c, time.Now())
	l.mu.Unlock()
	if gone {
		l.free()
	}
}
