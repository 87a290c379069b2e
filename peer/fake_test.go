package peer

import (
	"context"
	"net"
	"net/netip"
	"testing"

	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
)

// fake answers every service with its fields.
type fake struct {
	forward func(rosemarysill.ForwardRequest) (rosemarysill.Answer, error)
	err     error
	reply   rosemarysill.HeartbeatReply
	confirm rosemarysill.ConfirmReply
	last    any
}

func (f *fake) Forward(_ context.Context, r rosemarysill.ForwardRequest) (rosemarysill.Answer, error) {
	return f.forward(r)
}

func (f *fake) Reserve(_ context.Context, r rosemarysill.ReserveRequest) error {
	f.last = r
	return f.err
}

func (f *fake) Commit(_ context.Context, r rosemarysill.CommitRequest) error {
	f.last = r
	return f.err
}

func (f *fake) Stop(_ context.Context, r rosemarysill.StopRequest) (rosemarysill.StopReply, error) {
	f.last = r
	return rosemarysill.StopReply{Boot: id2, Stopped: true, NeverStarted: true, Checkpoint: "c1"}, f.err
}

func (f *fake) Heartbeat(_ context.Context, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	f.last = b
	return f.reply, f.err
}

func (f *fake) Confirm(_ context.Context, r rosemarysill.ConfirmRequest) (rosemarysill.ConfirmReply, error) {
	f.last = r
	return f.confirm, f.err
}

func (f *fake) Fence(_ context.Context, r rosemarysill.FenceRequest) error {
	f.last = r
	return f.err
}

func (f *fake) Join(_ context.Context, r rosemarysill.JoinRequest) error {
	f.last = r
	return f.err
}

func listen(t *testing.T) (net.Listener, netip.AddrPort) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	return l, netip.MustParseAddrPort(l.Addr().String())
}

// serve runs a server for f until the test ends.
func serve(t *testing.T, f *fake, l net.Listener) {
	s := NewServer(ServerConfig{}, Handlers{Agent: f, Entry: f, Peer: f})
	ctx, cancel := context.WithCancel(context.Background())
	go func() { _ = s.Run(ctx, l) }()
	t.Cleanup(func() {
		cancel()
		<-s.Done()
	})
}

func connect(t *testing.T, cfg ClientsConfig) *Clients {
	c := NewClients(cfg)
	t.Cleanup(c.Close)
	return c
}
