package clientload_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rosemarysill/rosemarysill/control"
	"github.com/rosemarysill/rosemarysill/operator"
	"github.com/rosemarysill/rosemarysill/platform"
	"github.com/rosemarysill/rosemarysill/work"
)

const (
	// answerTimeout is the time for which a client waits for an answer.
	answerTimeout = 3 * time.Second
	// tries is how often a client sends a request: once, and up to four times more.
	tries = 5
	// retryPause is the shortest pause that the header Retry-After can state.
	retryPause = time.Second
)

// requireAnswer checks that an ordinary request is answered.
func requireAnswer(t *testing.T, try func() error) {
	t.Helper()
	var err error
	for range tries {
		if err = try(); err == nil {
			return
		}
		t.Logf("ordinary request: %v", err)
		time.Sleep(retryPause)
	}
	require.NoError(t, err, "ordinary request beside the crowd")
}

// submit submits a small job on the platform's interface.
func submit(a netip.AddrPort) error { return submitAs(a, key, "00000000ffffffff") }

// submitAs submits a small job with a key and an identifier.
func submitAs(a netip.AddrPort, key, id string) error {
	c := platform.NewClient(a, host, key)
	defer c.Close()
	step := work.Step{Count: 1, Shape: work.Shape{MilliCPU: 1000, MemoryMB: 10}, Estimate: 100 * time.Millisecond}
	answer, err := c.Submit(context.Background(), answerTimeout, "/q/", id, &work.Job{Spec: "for=50ms", Steps: []work.Step{step}})
	if err == nil && answer.Status != http.StatusOK {
		err = fmt.Errorf("status %d", answer.Status)
	}
	return err
}

// answersStatus asks for the state of the system on the product's interface.
func answersStatus(a netip.AddrPort) error {
	c := operator.NewClient([]netip.AddrPort{a})
	defer c.Close()
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	_, err := c.Status(ctx)
	return err
}

// answersCall calls a method that no gRPC service has, which the server answers.
func answersCall(a netip.AddrPort) error {
	conn, err := control.NewConn(a)
	if err != nil {
		return err
	}
	defer func() { _ = conn.Close() }() // no call is in progress
	ctx, cancel := context.WithTimeout(context.Background(), answerTimeout)
	defer cancel()
	var in, out struct{}
	err = conn.Invoke(ctx, "/rosemarysill.None/None", &in, &out)
	if status.Code(err) == codes.Unimplemented {
		return nil
	}
	return fmt.Errorf("call of an unknown method: %w", err)
}

// reports sends a status report of a worker to an agent.
func reports(a netip.AddrPort) error {
	c := platform.NewAnnouncer(a)
	defer c.Close()
	return c.Announce(context.Background(), work.Announcement{
		ID: "i-0", StartedAtMS: 1, Sequence: uint64(time.Now().UnixNano()), Service: "svc", Address: netip.MustParseAddrPort("127.0.0.1:1"), Domain: "d0",
		State: work.WorkerReady, Capacity: work.Shape{MilliCPU: 1000, MemoryMB: 1000},
	})
}

// Guards against an entry that exceeds the memory or the descriptors of its machine,
// exits or does not answer because of client connections on the platform's interface.
func TestPlatformCallers(t *testing.T) {
	for name, send := range crowds {
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			open(t, n.Callers, connections, func(i int, c net.Conn) { send(platformRequest, i, c) })
			requireAnswer(t, func() error { return submit(n.Callers) })
		})
	}
}

// Guards against an entry that runs out of descriptors because of connections to the
// address for health checks.
func TestPlatformReadiness(t *testing.T) {
	p, n := startPlatformEntry(t)
	defer p.check(t)
	open(t, n.Ready, connections, func(int, net.Conn) {})
	requireAnswer(t, func() error { return submit(n.Callers) })
	requireAnswer(t, func() error { return isReady(n.Ready) })
}

// isReady asks whether an entry accepts requests.
func isReady(a netip.AddrPort) error {
	if s := httpStatus(a, "/ready"); s != http.StatusOK {
		return fmt.Errorf("status %d", s)
	}
	return nil
}

// Guards against an agent that exceeds its limits because of connections to the address
// for the reports of its worker.
func TestPlatformAgent(t *testing.T) {
	for name, send := range crowds {
		if strings.HasPrefix(name, "whole bodies") {
			continue // the report of a worker has no such body
		}
		t.Run(name, func(t *testing.T) {
			p, n := startPlatformAgent(t)
			defer p.check(t)
			open(t, n.Control, connections, func(i int, c net.Conn) { send(agentRequest, i, c) })
			requireAnswer(t, func() error { return reports(n.Control) })
		})
	}
}

// Guards against the same failures on the product's own HTTP interface.
func TestProductCallers(t *testing.T) {
	for name, send := range crowds {
		t.Run(name, func(t *testing.T) {
			p, callers, _ := startEntry(t)
			defer p.check(t)
			open(t, callers, connections, func(i int, c net.Conn) { send(productRequest, i, c) })
			requireAnswer(t, func() error { return answersStatus(callers) })
		})
	}
}

// rpcCrowds are the ways in which a connection uses a gRPC server.
var rpcCrowds = map[string]struct {
	connections int
	send        func(method string, c net.Conn)
}{
	"idle": {connections, func(string, net.Conn) {}},
	"unfinished messages": {connections, func(method string, c net.Conn) {
		beginMessages(c, method, 1, 3<<20, bodyBytes)
	}},
	"many streams with unfinished messages": {50, func(method string, c net.Conn) {
		beginMessages(c, method, 64, 3<<20, 64<<10)
	}},
}

// Guards against the same failures on the gRPC ports, and against an entry that does not
// serve its clients because of connections to them.
func TestRPC(t *testing.T) {
	for name, tc := range rpcCrowds {
		t.Run("platform/"+name, func(t *testing.T) {
			p, n := startPlatformEntry(t)
			defer p.check(t)
			open(t, n.Internal, tc.connections, func(_ int, c net.Conn) { tc.send("/rosemarysill.Relay/Call", c) })
			requireAnswer(t, func() error { return answersCall(n.Internal) })
			requireAnswer(t, func() error { return submit(n.Callers) })
		})
		t.Run("product/"+name, func(t *testing.T) {
			p, callers, peers := startEntry(t)
			defer p.check(t)
			open(t, peers, tc.connections, func(_ int, c net.Conn) { tc.send("/rosemarysill.Entry/Beat", c) })
			requireAnswer(t, func() error { return answersCall(peers) })
			requireAnswer(t, func() error { return answersStatus(callers) })
		})
	}
}
