package intake

import (
	"container/list"
	"net"
	"net/http"
	"sync"
	"syscall"

	"github.com/rosemarysill/rosemarysill/event"
)

// Listener accepts connections up to a limit. At the limit, a new connection replaces
// the one that has had an unfinished request, or none, for longest.
type Listener struct {
	net.Listener
	gate *Gate
	name string
	rpc  bool

	mu    sync.Mutex
	table *table
}

// Listen returns a listener with a limit of connections, for an HTTP server.
func (g *Gate) Listen(l net.Listener, name string, limit int) *Listener {
	limitUnread(l)
	return &Listener{Listener: l, gate: g, name: name, table: newTable(limit)}
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
			c.messages = newShare(func() { _ = c.Close() })
		}
		l.mu.Lock()
		victim, ok := l.table.add(c)
		l.mu.Unlock()
		if !ok {
			_ = raw.Close() // nothing was read from it
			l.gate.counters.rejected.Add(1)
			event.IntakeRejected.Log(l.gate.log).Str("Server", l.name).Stringer("Client", raw.RemoteAddr()).Send()
			continue
		}
		if l.rpc {
			l.gate.rpcConns.Store(rpcConnKey(c.LocalAddr(), c.RemoteAddr()), c)
		}
		l.gate.counters.open.Add(1)
		if victim != nil {
			l.gate.counters.replaced.Add(1)
			event.IntakeReplaced.Log(l.gate.log).Str("Server", l.name).Stringer("Client", victim.RemoteAddr()).Send()
			_ = victim.Close() // the server that reads from it gets an error
		}
		return c, nil
	}
}

// Conn is an accepted connection.
type Conn struct {
	net.Conn
	listener  *Listener
	closeOnce sync.Once

	position  *list.Element // in the list of connections that may be closed; nil if it is not there
	executing int           // requests that are being executed
	answering bool          // the request has ended, and its answer may not have been written; of the goroutine that serves the connection

	scan     *frameScanner // nil for HTTP/1.1
	messages *share        // incomplete gRPC messages
}

// Close implements net.Conn.
func (c *Conn) Close() error {
	c.closeOnce.Do(func() {
		c.listener.mu.Lock()
		c.listener.table.remove(c)
		c.listener.mu.Unlock()
		c.listener.gate.counters.open.Add(-1)
		if c.messages != nil {
			c.listener.gate.rpcConns.CompareAndDelete(rpcConnKey(c.LocalAddr(), c.RemoteAddr()), c)
			c.listener.gate.close(c.listener.gate.messages, c.messages)
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
	c.listener.mu.Lock()
	defer c.listener.mu.Unlock()
	c.listener.table.end(c)
}
