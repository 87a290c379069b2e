package clientload_test

import (
	"io"
	"net"
	"net/netip"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/rosemarysill/rosemarysill/platform"
)

const (
	// maxReconnects bounds the connections that one client of a crowd opens.
	maxReconnects = 5000
	// reconnectTime is the time for which the clients of a crowd connect again before the
	// ordinary request.
	reconnectTime = 4 * time.Second
)

// crowd is a number of clients that open a new connection as soon as the server has closed
// the last one.
type crowd struct {
	stopping chan struct{}
	clients  sync.WaitGroup

	mu    sync.Mutex
	conns map[net.Conn]struct{}
	count int // of connections since the beginning
}

// reconnect starts a crowd, and returns it after reconnectTime. It stops at the end of the
// test, or before.
func reconnect(t *testing.T, address netip.AddrPort, count int, send func(i int, c net.Conn)) *crowd {
	t.Helper()
	c := &crowd{stopping: make(chan struct{}), conns: make(map[net.Conn]struct{})}
	for i := range count {
		c.clients.Go(func() {
			for range maxReconnects {
				if !c.connect(address, func(conn net.Conn) { send(i, conn) }) {
					return
				}
			}
		})
	}
	t.Cleanup(c.stop)
	time.Sleep(reconnectTime)
	c.mu.Lock()
	defer c.mu.Unlock()
	require.NotZero(t, c.count)
	t.Logf("%d clients have opened %d connections", count, c.count)
	return c
}

// connect opens a connection, sends on it, and waits until the server closes it. It returns
// false if the crowd is to stop.
func (c *crowd) connect(address netip.AddrPort, send func(net.Conn)) bool {
	conn, err := net.DialTimeout("tcp4", address.String(), sendTimeout)
	if err != nil { // a refused connection is a legal answer
		select {
		case <-c.stopping:
			return false
		case <-time.After(10 * time.Millisecond): // the loop must not take the processor from the server
			return true
		}
	}
	// Without TIME_WAIT, in which the crowd would use up the ports of the machine.
	_ = conn.(*net.TCPConn).SetLinger(0)
	if !c.add(conn) {
		return false
	}
	defer c.remove(conn)
	send(conn)
	_, _ = io.Copy(io.Discard, conn) // ends when either side closes the connection
	return true
}

// add adds an open connection. It closes it and returns false if the crowd is to stop.
func (c *crowd) add(conn net.Conn) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	select {
	case <-c.stopping:
		_ = conn.Close() // nothing was sent
		return false
	default:
	}
	c.conns[conn] = struct{}{}
	c.count++
	return true
}

func (c *crowd) remove(conn net.Conn) {
	_ = conn.Close() // may be closed
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.conns, conn)
}

// stop closes all connections and waits until the clients have stopped.
func (c *crowd) stop() {
	c.mu.Lock()
	select {
	case <-c.stopping:
	default:
		close(c.stopping)
	}
	for conn := range c.conns {
		_ = conn.Close() // may be closed by its client
	}
	c.mu.Unlock()
	c.clients.Wait()
}

// reconnecting are the ways in which the clients of a crowd use their connections. Their
// bodies stop before the end, so that only the server ends a connection.
var reconnecting = []string{"body stops one byte short", "large chunks stop short", "small chunks stop short", "half a header", "body over the limit"}

// Guards against an entry whose memory grows with the connections that it has closed,
// because their clients connect again at once.
func TestPlatformCallersReconnect(t *testing.T) {
	for _, name := range reconnecting {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			c := reconnect(t, n.Callers, connections, func(i int, c net.Conn) { crowds[name](platformRequest, i, c) })
			requireAnswer(t, func() error { return submit(n.Callers) })
			c.stop()
			requireAnswer(t, func() error { return submit(n.Callers) })
		})
	}
}

// Guards against the same failure with a limit of connections under which the server cannot
// keep up with the crowd on a machine with several processors.
func TestPlatformCallersReconnectLarge(t *testing.T) {
	for _, name := range []string{"body stops one byte short", "large chunks stop short"} {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformEntryAs(t, newStore(t), platform.Node{Name: "node0", MemoryMB: 284, MaxDescriptors: 4100})
			defer p.check(t)
			c := reconnect(t, n.Callers, 1500, func(i int, c net.Conn) { crowds[name](platformRequest, i, c) })
			requireAnswer(t, func() error { return submit(n.Callers) })
			c.stop()
			requireAnswer(t, func() error { return submit(n.Callers) })
		})
	}
}

// Guards against the same failure of the product's own HTTP interface.
func TestProductCallersReconnect(t *testing.T) {
	for _, name := range reconnecting {
		t.Run(name, func(t *testing.T) {
			p, callers, _ := startEntry(t)
			defer p.check(t)
			c := reconnect(t, callers, connections, func(i int, c net.Conn) { crowds[name](productRequest, i, c) })
			requireAnswer(t, func() error { return answersStatus(callers) })
			c.stop()
			requireAnswer(t, func() error { return answersStatus(callers) })
		})
	}
}

// Guards against the same failure of an agent.
func TestPlatformAgentReconnect(t *testing.T) {
	for _, name := range reconnecting {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformAgent(t)
			defer p.check(t)
			c := reconnect(t, n.Control, connections, func(i int, c net.Conn) { crowds[name](agentRequest, i, c) })
			requireAnswer(t, func() error { return reports(n.Control) })
			c.stop()
			requireAnswer(t, func() error { return reports(n.Control) })
		})
	}
}

// Guards against the same failure of the server for health checks.
func TestPlatformReadinessReconnect(t *testing.T) {
	for _, name := range reconnecting {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			c := reconnect(t, n.Ready, connections, func(i int, c net.Conn) { crowds[name](agentRequest, i, c) })
			requireAnswer(t, func() error { return submit(n.Callers) })
			requireAnswer(t, func() error { return isReady(n.Ready) })
			c.stop()
			requireAnswer(t, func() error { return isReady(n.Ready) })
		})
	}
}

// Guards against the same failure of the gRPC servers.
func TestRPCReconnect(t *testing.T) {
	for name, tc := range rpcCrowds {
		t.Run("platform/"+name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			c := reconnect(t, n.Internal, tc.connections, func(_ int, c net.Conn) { tc.send("/rosemarysill.Relay/Call", c) })
			requireAnswer(t, func() error { return answersCall(n.Internal) })
			requireAnswer(t, func() error { return submit(n.Callers) })
			c.stop()
			requireAnswer(t, func() error { return answersCall(n.Internal) })
		})
		t.Run("product/"+name, func(t *testing.T) {
			p, callers, peers := startEntry(t)
			defer p.check(t)
			c := reconnect(t, peers, tc.connections, func(_ int, c net.Conn) { tc.send("/rosemarysill.Entry/Beat", c) })
			requireAnswer(t, func() error { return answersCall(peers) })
			requireAnswer(t, func() error { return answersStatus(callers) })
			c.stop()
			requireAnswer(t, func() error { return answersCall(peers) })
		})
	}
}
