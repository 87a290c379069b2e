package peer

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/google/uuid"
	"github.com/rosemarysill/rosemarysill"
	"github.com/stretchr/testify/require"
	"google.golang.org/protobuf/proto"
)

// countingConn counts the bytes of one connection in both directions, the
// framing of gRPC and HTTP/2 included.
type countingConn struct {
	net.Conn
	read, written *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.read.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.written.Add(int64(n))
	return n, err
}

// steadyBeat is a heartbeat whose identity and tasks are acknowledged.
func steadyBeat(agent int, sequence uint64) rosemarysill.Heartbeat {
	boot := id1
	boot[15] = byte(agent)
	return rosemarysill.Heartbeat{Reports: []rosemarysill.AgentReport{{
		Name: fmt.Sprintf("worker-%04d", agent), Boot: boot, Sequence: 100_000 + sequence,
		FreeSlots: 3, InProgress: 5, TasksDigest: 0x9e3779b97f4a7c15, Revision: 40_000, Echo: 0x9e3779b97f4a7c15,
	}}}
}

// steadyReply grants freshness and the leases of gangs.
func steadyReply(leases int) rosemarysill.HeartbeatReply {
	timings := rosemarysill.DefaultTimings()
	orders := rosemarysill.AgentOrders{AckedDigest: 0x9e3779b97f4a7c15, Revision: 40_000, FreshFor: timings.FreshFor, Epoch: 300, Stamp: 0x9e3779b97f4a7c15}
	for i := range leases {
		orders.Leases = append(orders.Leases, rosemarysill.LeaseGrant{
			Job: uuid.UUID{15: byte(i)}, Attempt: 1, Duration: timings.GangLease,
		})
	}
	return rosemarysill.HeartbeatReply{Orders: []rosemarysill.AgentOrders{orders}, Entries: []netip.AddrPort{
		netip.MustParseAddrPort("10.0.0.1:7000"), netip.MustParseAddrPort("10.0.0.2:7000"), netip.MustParseAddrPort("10.0.0.3:7000"),
	}}
}

// replyTo is an entry that gives every agent the same orders.
type replyTo struct{ reply rosemarysill.HeartbeatReply }

func (r replyTo) Heartbeat(_ context.Context, b rosemarysill.Heartbeat) (rosemarysill.HeartbeatReply, error) {
	orders := r.reply.Orders[0]
	orders.Name = b.Reports[0].Name
	return rosemarysill.HeartbeatReply{Orders: []rosemarysill.AgentOrders{orders}, Entries: r.reply.Entries}, nil
}

// TestBytesOfHeartbeat guards against heartbeats that outgrow the 3 KB/s of a
// node. An agent beats to three entries; an entry hears all agents, today 22
// (11 upstreams, 11 workers).
func TestBytesOfHeartbeat(t *testing.T) {
	const (
		budget  = 3000.0 // bytes per second and node
		entries = 3
		agents  = 22
		beats   = 20
	)
	perSecond := 1 / rosemarysill.DefaultTimings().BeatEvery.Seconds()
	ctx := context.Background()
	for _, leases := range []int{0, 1, 3, 8} {
		reply := steadyReply(leases)
		request := proto.Size(encodeBeat(steadyBeat(1, 0)))
		reply.Orders[0].Name = "worker-0001"
		answer := proto.Size(encodeBeatReply(reply, steadyBeat(1, 0)))
		t.Logf("%d leases: payload of request %d B, of reply %d B", leases, request, answer)
		for _, n := range []int{1, 10, 50} {
			l, address := listen(t)
			s := NewServer(ServerConfig{}, Handlers{Entry: replyTo{reply}})
			stopped, stop := context.WithCancel(ctx)
			go func() { _ = s.Run(stopped, l) }()

			var read, written atomic.Int64
			dial := func(ctx context.Context, address string) (net.Conn, error) {
				conn, err := (&net.Dialer{}).DialContext(ctx, "tcp", address)
				return countingConn{conn, &read, &written}, err
			}
			round := func(receivers []rosemarysill.HeartbeatReceiver, sequence uint64) {
				for i, r := range receivers {
					_, err := r.Heartbeat(ctx, steadyBeat(i, sequence))
					require.NoError(t, err)
				}
			}
			var receivers []rosemarysill.HeartbeatReceiver
			for range n {
				r, err := connect(t, ClientsConfig{Dialer: dial}).Entry(address)
				require.NoError(t, err)
				receivers = append(receivers, r)
			}
			round(receivers, 0)
			round(receivers, 1)
			read.Store(0)
			written.Store(0)
			for i := range uint64(beats) {
				round(receivers, 2+i)
			}
			up := float64(written.Load()) / float64(beats*n)
			down := float64(read.Load()) / float64(beats*n)
			stop()
			<-s.Done()

			wire := up + down
			t.Logf("%d leases, %d agents: request %.1f B, reply %.1f B on the wire; agent with %d entries %.0f B/s, entry with %d agents %.0f B/s, agents within the budget of an entry %.0f",
				leases, n, up, down, entries, wire*entries*perSecond, agents, wire*agents*perSecond, budget/(wire*perSecond))
			require.LessOrEqual(t, wire*entries*perSecond, budget, "agent")
			if leases <= 3 { // 3,400 tasks on 1,100 workers
				require.LessOrEqual(t, wire*agents*perSecond, budget, "entry")
			}
		}
	}
}
