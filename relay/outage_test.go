package relay_test

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"google.golang.org/grpc"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/queue"
	"github.com/rosemarysill/rosemarysill/relay"
	"github.com/rosemarysill/rosemarysill/work"
)

// countingPeer counts the calls that reach a peer.
type countingPeer struct {
	stub
	calls *atomic.Int64
}

func (p countingPeer) Status(ctx context.Context, c queue.Call) (queue.Status, error) {
	p.calls.Add(1)
	return p.stub.Status(ctx, c)
}

func (p countingPeer) Submit(ctx context.Context, c queue.Call, decode func() (*work.Job, error)) error {
	p.calls.Add(1)
	return p.stub.Submit(ctx, c, decode)
}

// Guards against calls that spend the time of their callers on one peer after another
// while no entry is in contact with the store, and against calls that are not forwarded
// although a peer is in contact with it.
func TestNoForwardsWhileStoreIsAwayForAll(t *testing.T) {
	for name, tc := range map[string]struct {
		second    stub // the first peer has no contact with the store
		wantCalls int64
	}{
		"away for all":                    {stub{code: rosemarysill.StoreUnavailable, cutOff: true}, 2},
		"a peer is in contact":            {stub{code: rosemarysill.StoreUnavailable}, 6},
		"peers without contact that know": {stub{code: rosemarysill.UnknownJob, cutOff: true}, 2},
	} {
		t.Run(name, func(t *testing.T) {
			var calls atomic.Int64
			var peers []relay.Peer
			for i, s := range []stub{{code: rosemarysill.StoreUnavailable, cutOff: true}, tc.second} {
				l, err := net.Listen("tcp4", "127.0.0.1:0")
				require.NoError(t, err)
				server := grpc.NewServer()
				relay.Register(server, countingPeer{s, &calls}, nil)
				done := make(chan struct{})
				go func() { defer close(done); _ = server.Serve(l) }() // returns after Stop
				t.Cleanup(func() { server.Stop(); <-done })
				peers = append(peers, relay.Peer{Name: string(rune('a' + i)), Address: netip.MustParseAddrPort(l.Addr().String())})
			}
			r := relay.New(relay.Config{Name: "this", Local: stub{code: rosemarysill.StoreUnavailable, cutOff: true}, Log: zerolog.Nop(), Peers: func() []relay.Peer { return peers }})
			t.Cleanup(r.Close)
			call := queue.Call{Path: "/q/1", Deadline: time.Now().Add(20 * time.Second)}
			for range 3 {
				_, _ = r.Status(context.Background(), call) // the codes are those of the stubs
			}
			require.Equal(t, tc.wantCalls, calls.Load())
		})
	}
}
