package peer

import (
	"context"
	"net"
	"time"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/event"
	"github.com/rosemarysill/rosemarysill/intake"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"google.golang.org/grpc"
	"google.golang.org/grpc/keepalive"
)

// Handlers are the services that a process offers; nil ones are not offered.
type Handlers struct {
	Agent rosemarysill.Agent
	Entry rosemarysill.HeartbeatReceiver
	Peer  rosemarysill.Peer
}

// ServerConfig bounds a server. Zero values stand for the defaults.
type ServerConfig struct {
	Connections  int           // at a time; default 4,096
	MessageBytes int64         // of all messages that are not complete; default and least value: one message of the largest size
	StopWithin   time.Duration // time limit for the requests in progress at shutdown; default 30 s
}

func (c ServerConfig) withDefaults() ServerConfig {
	if c.Connections <= 0 {
		c.Connections = 4096
	}
	c.MessageBytes = max(c.MessageBytes, intake.MessageBudget(maxMessage))
	if c.StopWithin <= 0 {
		c.StopWithin = 30 * time.Second
	}
	return c
}

// Server serves the protocol on one listener.
type Server struct {
	cfg  ServerConfig
	opts rosemarysill.Options
	gate *intake.Gate
	grpc *grpc.Server
	done chan struct{}
}

// NewServer returns a server for the handlers. It uses the options Now and Log.
func NewServer(cfg ServerConfig, h Handlers, opts ...rosemarysill.Option) *Server {
	cfg = cfg.withDefaults()
	s := &Server{cfg: cfg, opts: rosemarysill.NewOptions(opts...), done: make(chan struct{})}
	s.gate = intake.NewGate(intake.Limits{RPCConnections: cfg.Connections, MessageBytes: cfg.MessageBytes}, s.opts.Log)
	s.grpc = grpc.NewServer(append(s.gate.RPCOptions(),
		grpc.MaxRecvMsgSize(maxMessage),
		grpc.MaxSendMsgSize(maxMessage),
		grpc.InitialWindowSize(windowSize),
		grpc.InitialConnWindowSize(windowSize),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: serverPingAfter, Timeout: pingWithin}),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: minPing}),
		grpc.UnaryInterceptor(s.intercept),
	)...)
	if h.Agent != nil {
		peerpb.RegisterAgentServer(s.grpc, &agentServer{agent: h.Agent, now: s.opts.Now})
	}
	if h.Entry != nil {
		peerpb.RegisterEntryServer(s.grpc, &entryServer{entry: h.Entry})
	}
	if h.Peer != nil {
		peerpb.RegisterMemberServer(s.grpc, &memberServer{peer: h.Peer})
	}
	return s
}

// Run serves the listener until ctx ends, then lets the requests in progress
// finish within StopWithin. It closes the listener.
func (s *Server) Run(ctx context.Context, l net.Listener) error {
	defer close(s.done)
	failed := make(chan error, 1)
	go func() { failed <- s.grpc.Serve(s.gate.ListenRPC(l, "peers")) }()
	select {
	case err := <-failed:
		s.grpc.Stop()
		return err
	case <-ctx.Done():
	}
	limit := time.AfterFunc(s.cfg.StopWithin, func() {
		event.PeerStopForced.Log(s.opts.Log).Msg("requests are cut off")
		s.grpc.Stop()
	})
	defer limit.Stop()
	s.grpc.GracefulStop()
	return <-failed
}

// Counts returns the counts of the limits on connections.
func (s *Server) Counts() intake.Counts { return s.gate.Counts() }

// Done is closed when Run has returned.
func (s *Server) Done() <-chan struct{} { return s.done }

// intercept converts errors, and turns a panic of a handler into an unknown
// outcome, so that one request cannot stop the process.
func (s *Server) intercept(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
	defer func() {
		if fault := recover(); fault != nil {
			event.PeerHandlerPanicked.Log(s.opts.Log).Str("Method", info.FullMethod).Interface("Fault", fault).Send()
			resp, err = nil, encodeError(rosemarysill.NewError(rosemarysill.OutcomeUnknown, "fault in %s", info.FullMethod))
		}
	}()
	resp, err = handler(ctx, req)
	if rosemarysill.CodeOf(err) == rosemarysill.InvalidRequest {
		event.PeerMessageRefused.Log(s.opts.Log).Str("Method", info.FullMethod).Str("Detail", rosemarysill.DetailOf(err)).Send()
	}
	return resp, encodeError(err)
}
