package main

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync"
	"sync/atomic"

	"github.com/cockroachdb/errors"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/agent"
	"github.com/rosemarysill/rosemarysill/peer"
	"github.com/rosemarysill/rosemarysill/standin"
)

// counter counts bytes that connections carry, as TCP payload.
type counter struct{ sent, received atomic.Int64 }

type countedConn struct {
	net.Conn
	c *counter
}

// Read counts the bytes received.
func (c countedConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.c.received.Add(int64(n))
	return n, err
}

// Write counts the bytes sent.
func (c countedConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.c.sent.Add(int64(n))
	return n, err
}

// agents are workers' agents in this process, each with its own connections to
// the entries and a stand-in runtime.
type agents struct {
	bytes counter
	parts sync.WaitGroup
	stop  context.CancelFunc
	ctx   context.Context
}

func newAgents() *agents {
	a := &agents{}
	a.ctx, a.stop = context.WithCancel(context.Background())
	return a
}

func (a *agents) dial(ctx context.Context, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, err
	}
	return countedConn{Conn: conn, c: &a.bytes}, nil
}

// add starts the i-th agent.
func (a *agents) add(i int, entries []netip.AddrPort) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	clients := peer.NewClients(peer.ClientsConfig{Dialer: a.dial})
	name := fmt.Sprintf("worker-%04d", i)
	cfg := agent.Config{
		Identity: rosemarysill.AgentIdentity{
			Name: name, Address: l.Addr().(*net.TCPAddr).AddrPort(), Domain: domainName(i), Rack: fmt.Sprintf("rack-%03d", i/30),
			Accelerators: 1, Processors: 64, MemoryMB: 128 << 10,
		},
		Entries: entries,
	}
	w := agent.NewWorker(cfg, clients, standin.NewRuntime(standin.RuntimeOptions{Name: name, Accelerators: 1}))
	a.parts.Go(func() {
		_ = w.Serve(a.ctx, l, peer.ServerConfig{})
		clients.Close()
	})
	return nil
}

// domains is the number of failure domains at the two-year size.
const domains = 17

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i%domains) }

func (a *agents) close() {
	a.stop()
	a.parts.Wait()
}
