package peer

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"
)

// ClientsConfig bounds the connections to other processes. Zero values stand
// for the defaults.
type ClientsConfig struct {
	Connections int                                                         // at a time; default 2,048
	CallWithin  time.Duration                                               // time limit of a request without its own deadline; default 2 s
	OpenWithin  time.Duration                                               // time limit for opening a connection; default 1 s
	Dialer      func(ctx context.Context, address string) (net.Conn, error) // default: TCP
}

func (c ClientsConfig) withDefaults() ClientsConfig {
	if c.Connections <= 0 {
		c.Connections = 2048
	}
	if c.CallWithin <= 0 {
		c.CallWithin = 2 * time.Second
	}
	if c.OpenWithin <= 0 {
		c.OpenWithin = time.Second
	}
	return c
}

// Clients is the set of connections to other processes, one for each address.
// It implements rosemarysill.Agents, Entries and Peers.
type Clients struct {
	cfg    ClientsConfig
	opts   rosemarysill.Options
	mu     sync.Mutex
	conns  map[netip.AddrPort]*connection
	closed bool
}

// connection is a shared connection. The set closes it when it needs room and
// no request uses it.
type connection struct {
	grpc  *grpc.ClientConn
	users int
	used  time.Time
}

// NewClients returns an empty set. It uses the options Now and Log.
func NewClients(cfg ClientsConfig, opts ...rosemarysill.Option) *Clients {
	return &Clients{
		cfg:   cfg.withDefaults(),
		opts:  rosemarysill.NewOptions(opts...),
		conns: map[netip.AddrPort]*connection{},
	}
}

// Agent returns the agent at the address.
func (c *Clients) Agent(address netip.AddrPort) (rosemarysill.Agent, error) {
	if !address.IsValid() {
		return nil, rosemarysill.NewError(rosemarysill.InvalidRequest, "address of an agent is missing")
	}
	return &agentClient{clients: c, address: address}, nil
}

// Entry returns the entry at the address as agents see it.
func (c *Clients) Entry(address netip.AddrPort) (rosemarysill.HeartbeatReceiver, error) {
	if !address.IsValid() {
		return nil, rosemarysill.NewError(rosemarysill.InvalidRequest, "address of an entry is missing")
	}
	return &entryClient{clients: c, address: address}, nil
}

// Peer returns the entry at the address as other entries see it.
func (c *Clients) Peer(address netip.AddrPort) (rosemarysill.Peer, error) {
	if !address.IsValid() {
		return nil, rosemarysill.NewError(rosemarysill.InvalidRequest, "address of an entry is missing")
	}
	return &peerClient{clients: c, address: address}, nil
}

// Close closes all connections. Requests in progress fail.
func (c *Clients) Close() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for address, conn := range c.conns {
		_ = conn.grpc.Close()
		delete(c.conns, address)
	}
}

// Connections returns the number of connections that the set holds.
func (c *Clients) Connections() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.conns)
}

// acquire returns the connection to the address and counts its user.
func (c *Clients) acquire(address netip.AddrPort) (*connection, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return nil, rosemarysill.NewError(rosemarysill.ShuttingDown, "connections are closed")
	}
	conn, ok := c.conns[address]
	if !ok {
		if len(c.conns) >= c.cfg.Connections && !c.evict() {
			return nil, rosemarysill.NewError(rosemarysill.Overloaded, "all %d connections are in use", c.cfg.Connections)
		}
		client, err := grpc.NewClient("passthrough:///"+address.String(), c.dialOptions()...)
		if err != nil {
			return nil, rosemarysill.NewError(rosemarysill.Unreachable, "%v", err)
		}
		conn = &connection{grpc: client}
		c.conns[address] = conn
	}
	conn.users++
	conn.used = c.opts.Now()
	return conn, nil
}

func (c *Clients) release(conn *connection) {
	c.mu.Lock()
	defer c.mu.Unlock()
	conn.users--
}

// evict closes the connection that was unused for the longest time.
func (c *Clients) evict() bool {
	var oldest netip.AddrPort
	for address, conn := range c.conns {
		if conn.users > 0 {
			continue
		}
		if !oldest.IsValid() || conn.used.Before(c.conns[oldest].used) {
			oldest = address
		}
	}
	if !oldest.IsValid() {
		return false
	}
	_ = c.conns[oldest].grpc.Close()
	delete(c.conns, oldest)
	return true
}

func (c *Clients) dialOptions() []grpc.DialOption {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithNoProxy(),
		grpc.WithDisableServiceConfig(),
		grpc.WithDisableRetry(),
		grpc.WithStatsHandler(sendingHandler{}),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithInitialWindowSize(windowSize),
		grpc.WithInitialConnWindowSize(windowSize),
		grpc.WithMaxHeaderListSize(maxHeaderList),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingAfter, Timeout: pingWithin}),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 200 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: 2 * time.Second},
			MinConnectTimeout: c.cfg.OpenWithin,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessage), grpc.MaxCallSendMsgSize(maxMessage)),
	}
	if dial := c.cfg.Dialer; dial != nil {
		options = append(options, grpc.WithContextDialer(dial))
	}
	return options
}

// call sends one request within its time limit. The limit covers the opening
// of the connection.
func (c *Clients) call(ctx context.Context, address netip.AddrPort, within time.Duration, send func(context.Context, grpc.ClientConnInterface) error) error {
	conn, err := c.acquire(address)
	if err != nil {
		return err
	}
	defer c.release(conn)
	ctx, cancel := context.WithTimeout(ctx, within)
	defer cancel()
	ctx, record := withSending(ctx)
	return decodeError(send(ctx, conn.grpc), record.sent)
}
