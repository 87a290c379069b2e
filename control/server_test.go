package control

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
)

// panickingLeader is a Leader that panics on its first stream.
type panickingLeader struct{ streams int }

func (p *panickingLeader) Attach(s AgentStream) error {
	p.streams++
	if p.streams == 1 {
		var report *Report
		_ = report.Agent // like the handling of a malformed message
	}
	r, err := s.Receive()
	if err != nil {
		return err
	}
	return s.Send(Orders{Incarnation: r.Agent})
}

// Guards against a message that ends the leader's process by a panic, and then
// that of the next leader, because its sender retries it there.
func TestPanicEndsOneStream(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(zerolog.Nop())
	Register(server, &panickingLeader{})
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }() // returns after Stop
	defer func() { server.Stop(); <-done }()
	ctx, cancel := context.WithTimeout(context.Background(), 20*time.Second)
	defer cancel()
	address := netip.MustParseAddrPort(l.Addr().String())
	first, err := Dial(ctx, address)
	require.NoError(t, err)
	defer first.Close()
	_, err = first.Receive()
	require.Error(t, err)
	second, err := Dial(ctx, address)
	require.NoError(t, err)
	defer second.Close()
	require.NoError(t, second.Send(Report{Agent: "a"}))
	o, err := second.Receive()
	require.NoError(t, err)
	require.Equal(t, "a", o.Incarnation)
}
