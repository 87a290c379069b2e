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

// byteCounter counts the TCP payload bytes of connections.
type byteCounter struct{ sent, received atomic.Int64 }

// countingConn is a connection that adds its payload bytes to a counter.
type countingConn struct {
	net.Conn
	counter *byteCounter
}

// Read implements net.Conn.
func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.counter.received.Add(int64(n))
	return n, err
}

// Write implements net.Conn.
func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.counter.sent.Add(int64(n))
	return n, err
}

// agents runs workers' agents in this process, each with its own connections to
// the entries and a stand-in runtime.
type agents struct {
	traffic byteCounter
	wg      sync.WaitGroup
	stop    context.CancelFunc
	ctx     context.Context
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
	return countingConn{Conn: conn, counter: &a.traffic}, nil
}

// add starts the agent with index i.
func (a *agents) add(i int, entries []netip.AddrPort) error {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return errors.Wrap(err, "listen")
	}
	clients := peer.NewClients(peer.ClientsConfig{Dialer: a.dial})
	worker := fmt.Sprintf("worker-%04d", i)
	cfg := agent.Config{
		Identity: rosemarysill.AgentIdentity{
			Name: worker, Address: l.Addr().(*net.TCPAddr).AddrPort(), Domain: domainName(i), Rack: fmt.Sprintf("rack-%03d", i/30),
			Accelerators: 1, Processors: 64, MemoryMB: 128 << 10,
		},
		Entries: entries,
	}
	workerAgent := agent.NewWorker(cfg, clients, standin.NewRuntime(standin.RuntimeOptions{Name: worker, Accelerators: 1}))
	a.wg.Go(func() {
		_ = workerAgent.Serve(a.ctx, l, peer.ServerConfig{})
		clients.Close()
	})
	return nil
}

// domainCount is the number of failure domains at the fleet size expected in two years.
const domainCount = 17

func domainName(i int) string { return fmt.Sprintf("domain-%02d", i%domainCount) }

func (a *agents) close() {
	a.stop()
	a.wg.Wait()
}
