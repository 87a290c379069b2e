package intake

import (
	"context"
	"net"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/stats"
)

const (
	// rpcBuffer is the size of the read and write buffers of a gRPC connection. The
	// library's default of 32 KB each would be 70 MB for 1,100 agents.
	rpcBuffer = 4 << 10
	// rpcHeaderBytes bounds the headers of a call.
	rpcHeaderBytes = 16 << 10
	// rpcConnectTimeout bounds the time until a client has sent its preface.
	rpcConnectTimeout = 5 * time.Second
)

// ListenRPC returns a listener with a limit of connections, for a gRPC server that has the
// options of RPCOptions.
func (g *Gate) ListenRPC(l net.Listener, name string) *Listener {
	limited := g.Listen(l, name, g.limits.RPCConnections)
	limited.rpc = true
	return limited
}

// RPCOptions returns the options of a gRPC server behind ListenRPC.
func (g *Gate) RPCOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxConcurrentStreams(MaxStreams),
		grpc.MaxHeaderListSize(rpcHeaderBytes),
		grpc.ConnectionTimeout(rpcConnectTimeout),
		grpc.ReadBufferSize(rpcBuffer),
		grpc.WriteBufferSize(rpcBuffer),
		grpc.StatsHandler(rpcStats{g}),
	}
}

// Read implements net.Conn. On a gRPC connection it accounts for incomplete messages; one
// that is dropped loses its connection.
func (c *Conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	c.receive(n)
	if c.scan == nil {
		return n, err
	}
	gate, before := c.listener.gate, c.scan.held
	if !c.scan.feed(p[:n]) {
		c.abort() // the client has more streams than it may have
		return 0, net.ErrClosed
	}
	switch change := c.scan.held - before; {
	case change > 0:
		if !gate.draw(gate.messages, c.messages, change, "message") {
			c.abort() // the message was not handled
			return 0, net.ErrClosed
		}
	case change < 0:
		gate.giveBack(gate.messages, c.messages, -change)
	}
	return n, err
}

// rpcStats tells connections which of their calls are executed: those with a message.
type rpcStats struct{ gate *Gate }

type rpcKey struct{}

// rpcCall is a call on a connection.
type rpcCall struct {
	conn  *Conn
	begun atomic.Bool
}

// TagConn implements stats.Handler.
func (s rpcStats) TagConn(ctx context.Context, info *stats.ConnTagInfo) context.Context {
	if c, ok := s.gate.rpcConns.Load(rpcConnKey(info.LocalAddr, info.RemoteAddr)); ok {
		return ConnContext(ctx, c.(*Conn))
	}
	return ctx
}

// rpcConnKey identifies a connection by its addresses, which is all that gRPC tells.
func rpcConnKey(local, remote net.Addr) string { return local.String() + " " + remote.String() }

// HandleConn implements stats.Handler.
func (rpcStats) HandleConn(context.Context, stats.ConnStats) {}

// TagRPC implements stats.Handler.
func (rpcStats) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context {
	if c, ok := ctx.Value(connKey{}).(*Conn); ok {
		return context.WithValue(ctx, rpcKey{}, &rpcCall{conn: c})
	}
	return ctx
}

// HandleRPC implements stats.Handler.
func (rpcStats) HandleRPC(ctx context.Context, s stats.RPCStats) {
	call, ok := ctx.Value(rpcKey{}).(*rpcCall)
	if !ok {
		return
	}
	switch s.(type) {
	case *stats.InPayload:
		if !call.begun.Swap(true) {
			// On a closed connection the call may still run. Its caller gets an error that
			// leaves the outcome open, and not a refusal.
			call.conn.begin()
		}
	case *stats.End:
		if call.begun.Load() {
			call.conn.end()
		}
	}
}
