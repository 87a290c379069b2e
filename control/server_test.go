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

// panicking is a Leader whose first stream fails in an unexpected way.
type panicking struct{ streams int }

func (p *panicking) Attach(s AgentStream) error {
	p.streams++
	if p.streams == 1 {
		var none *Report
		_ = none.Agent // a fault that a malformed message may uncover
	}
	r, err := s.Receive()
	if err != nil {
		return err
	}
	return s.Send(Orders{Incarnation: r.Agent})
}

// Guards against one message that ends a whole process, and then, as its sender
// repeats it, the next leader as well.
func TestPanicEndsOneStream(t *testing.T) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	server := NewServer(zerolog.Nop())
	Register(server, &panicking{})
	done := make(chan struct{})
	go func() { defer close(done); _ = server.Serve(l) }() // it ends with Stop
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
