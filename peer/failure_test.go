package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"github.com/stretchr/testify/require"
)

func forward(within time.Duration) rosemarysill.ForwardRequest {
	return rosemarysill.ForwardRequest{Call: rosemarysill.Call{ID: id1, Class: rosemarysill.Normal}, Remaining: within}
}

// TestUnopenedConnectionIsNotRun guards against an unknown outcome for a call
// of which nothing was sent, and against a proof of "not run" without cause.
func TestUnopenedConnectionIsNotRun(t *testing.T) {
	c := connect(t, ClientsConfig{OpenWithin: 200 * time.Millisecond})
	closed, refusing := listen(t)
	require.NoError(t, closed.Close())
	silent, deaf := listen(t) // accepts in the kernel, never speaks HTTP/2
	defer silent.Close()
	for name, address := range map[string]netip.AddrPort{"refused": refusing, "silent": deaf} {
		t.Run(name, func(t *testing.T) {
			agent, err := c.Agent(address)
			require.NoError(t, err)
			ctx, cancel := context.WithTimeout(context.Background(), 500*time.Millisecond)
			defer cancel()
			_, err = agent.Forward(ctx, forward(time.Second))
			require.Equal(t, rosemarysill.Unreachable, rosemarysill.CodeOf(err), "%v", err)
		})
	}
}

// TestLostConnectionIsUnknown guards against reporting "not run" after the
// request may have reached the other process.
func TestLostConnectionIsUnknown(t *testing.T) {
	cases := map[string]func(conns chan net.Conn, cancel func()){
		"connection lost": func(conns chan net.Conn, _ func()) { _ = (<-conns).Close() },
		"deadline":        func(_ chan net.Conn, cancel func()) { cancel() },
	}
	for name, fail := range cases {
		t.Run(name, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			defer cancel()
			conns := make(chan net.Conn, 8)
			release := make(chan struct{})
			f := &fake{forward: func(r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
				fail(conns, cancel)
				<-release
				return rosemarysill.Answer{ID: r.Call.ID}, nil
			}}
			l, address := listen(t)
			serve(t, f, l)
			c := connect(t, ClientsConfig{Dialer: func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				conns <- conn
				return conn, err
			}})
			agent, err := c.Agent(address)
			require.NoError(t, err)
			_, err = agent.Forward(ctx, forward(time.Minute))
			close(release)
			require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err), "%v", err)
		})
	}
}

// TestErrorsKeepTheirCode guards against a lost or invented proof.
func TestErrorsKeepTheirCode(t *testing.T) {
	f := &fake{}
	l, address := listen(t)
	serve(t, f, l)
	agent, err := connect(t, ClientsConfig{}).Agent(address)
	require.NoError(t, err)
	cases := map[string]struct {
		forward func() error
		want    rosemarysill.Code
		detail  string
	}{
		"refused": {func() error { return rosemarysill.NewError(rosemarysill.Leaving, "u1 leaves") }, rosemarysill.Leaving, "u1 leaves"},
		"plain":   {func() error { return errors.New("broken") }, rosemarysill.OutcomeUnknown, "broken"},
		"invalid text": {func() error { return rosemarysill.NewError(rosemarysill.UpstreamFailed, "\xff") },
			rosemarysill.UpstreamFailed, "?"},
		"panic": {func() error { panic("fault") }, rosemarysill.OutcomeUnknown, "fault in /rosemarysill.Agent/Forward"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			f.forward = func(rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
				return rosemarysill.Answer{}, c.forward()
			}
			_, err := agent.Forward(context.Background(), forward(time.Second))
			require.Equal(t, c.want, rosemarysill.CodeOf(err))
			require.Equal(t, c.detail, rosemarysill.DetailOf(err))
		})
	}
}

// TestMalformedMessagesAreRefused guards against a message that stops the
// process or that reaches a handler with wrong values.
func TestMalformedMessagesAreRefused(t *testing.T) {
	f := &fake{}
	l, address := listen(t)
	serve(t, f, l)
	c := connect(t, ClientsConfig{})
	conn, err := c.acquire(address)
	require.NoError(t, err)
	defer c.release(conn)
	ctx := context.Background()
	agent, entry, other := peerpb.NewAgentClient(conn.grpc), peerpb.NewEntryClient(conn.grpc), peerpb.NewMemberClient(conn.grpc)
	cases := map[string]func() error{
		"empty forward": func() error { _, err := agent.Forward(ctx, &peerpb.ForwardRequest{}); return err },
		"empty reserve": func() error { _, err := agent.Reserve(ctx, &peerpb.ReserveRequest{}); return err },
		"short UUID":    func() error { _, err := agent.Commit(ctx, &peerpb.CommitRequest{Job: []byte{1}}); return err },
		"negative": func() error {
			_, err := agent.Stop(ctx, encodeStop(rosemarysill.StopRequest{Job: id1, Attempt: -1}))
			return err
		},
		"empty beat": func() error { _, err := entry.Beat(ctx, &peerpb.BeatRequest{}); return err },
		"bad address": func() error {
			_, err := other.Join(ctx, &peerpb.JoinRequest{Member: &peerpb.EntryMember{
				Id: id1[:], Address: []byte("12345"), State: peerpb.EntryState_ENTRY_STATE_JOINING}})
			return err
		},
		"unknown enum": func() error {
			m := encodeForward(forward(time.Second))
			m.Class = 99
			_, err := agent.Forward(ctx, m)
			return err
		},
	}
	for name, send := range cases {
		t.Run(name, func(t *testing.T) {
			require.Equal(t, rosemarysill.InvalidRequest, rosemarysill.CodeOf(decodeError(send(), true)))
			require.Nil(t, f.last)
		})
	}
}

// TestDamagedAnswersAreUnknown guards against passing on an answer that is cut
// or belongs to another call.
func TestDamagedAnswersAreUnknown(t *testing.T) {
	cases := map[string]func(m *peerpb.Answer){
		"other call": func(m *peerpb.Answer) { m.Id = id2[:] },
		"cut":        func(m *peerpb.Answer) { m.Body = m.Body[:1] },
		"changed":    func(m *peerpb.Answer) { m.Body = []byte("Whole") },
	}
	for name, damage := range cases {
		t.Run(name, func(t *testing.T) {
			m := encodeAnswer(rosemarysill.Answer{ID: id1, Body: []byte("whole")})
			damage(m)
			_, err := decodeAnswer(m, id1)
			require.Equal(t, rosemarysill.OutcomeUnknown, rosemarysill.CodeOf(err))
		})
	}
}

// TestConnectionsAreBounded guards against one connection for every address
// that was ever named.
func TestConnectionsAreBounded(t *testing.T) {
	c := connect(t, ClientsConfig{Connections: 2})
	addresses := make([]netip.AddrPort, 3)
	for i := range addresses {
		addresses[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(1+i))
	}
	first, err := c.acquire(addresses[0])
	require.NoError(t, err)
	second, err := c.acquire(addresses[1])
	require.NoError(t, err)
	_, err = c.acquire(addresses[2])
	require.Equal(t, rosemarysill.Overloaded, rosemarysill.CodeOf(err), "both are in use")
	c.release(second)
	_, err = c.acquire(addresses[2])
	require.NoError(t, err, "the unused one makes room")
	require.Equal(t, 2, c.Connections())
	c.release(first)
	c.Close()
	_, err = c.acquire(addresses[0])
	require.Equal(t, rosemarysill.ShuttingDown, rosemarysill.CodeOf(err))
}
