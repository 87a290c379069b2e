package control

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"
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

// waitingLeader serves a stream until its context is done.
type waitingLeader struct{}

func (waitingLeader) Attach(s AgentStream) error {
	go func() {
		for {
			if _, err := s.Receive(); err != nil {
				return
			}
		}
	}()
	<-s.Context().Done()
	return context.Cause(s.Context())
}

// reportStream is a stream on which reports arrive at the given times.
type reportStream struct {
	grpc.ServerStream
	ctx     context.Context
	reports <-chan struct{}
}

func (s reportStream) Context() context.Context { return s.ctx }

func (s reportStream) RecvMsg(any) error {
	if _, ok := <-s.reports; !ok {
		return io.EOF
	}
	return nil
}

// Guards against a stream of a client that sends one report and then nothing. Its connection
// is in use as long as the stream is open, and is not closed for another.
func TestSilentStreamEnds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		reports := make(chan struct{})
		start := time.Now()
		ended := make(chan error, 1)
		go func() {
			ended <- serviceDesc.Streams[0].Handler(waitingLeader{}, reportStream{ctx: t.Context(), reports: reports})
		}()
		for range 10 {
			time.Sleep(silenceTimeout - ReportEvery)
			reports <- struct{}{}
		}
		synctest.Wait()
		require.Empty(t, ended)
		last := time.Now()
		time.Sleep(2 * silenceTimeout)
		synctest.Wait()
		require.Len(t, ended, 1)
		require.ErrorIs(t, <-ended, errSilent)
		require.Greater(t, last.Sub(start), silenceTimeout)
		close(reports)
	})
}
