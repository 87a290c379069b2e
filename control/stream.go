package control

import (
	"context"
	"encoding/json"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/encoding"
)

// connectTimeout bounds an attempt to connect to a host that does not respond.
const connectTimeout = 600 * time.Millisecond

// codecName is the gRPC content subtype of the messages.
const codecName = "json"

type codec struct{}

func (codec) Marshal(v any) ([]byte, error)      { return json.Marshal(v) }
func (codec) Unmarshal(data []byte, v any) error { return json.Unmarshal(data, v) }
func (codec) Name() string                       { return codecName }

func init() { encoding.RegisterCodec(codec{}) }

// AgentStream is the leader's end of a stream.
type AgentStream interface {
	Context() context.Context
	Receive() (Report, error)
	Send(Orders) error
}

// Leader serves the streams of agents.
type Leader interface {
	// Attach serves a stream until it ends.
	Attach(AgentStream) error
}

var serviceDesc = grpc.ServiceDesc{
	ServiceName: "rosemarysill.Control",
	HandlerType: (*Leader)(nil),
	Streams: []grpc.StreamDesc{{
		StreamName: "Attach", ServerStreams: true, ClientStreams: true,
		Handler: func(srv any, s grpc.ServerStream) error { return serveStream(srv.(Leader), s) },
	}},
}

// Register adds the leader's service to a server.
func Register(s *grpc.Server, l Leader) { s.RegisterService(&serviceDesc, l) }

// silenceTimeout is the time without a report after which the leader closes a stream. An
// agent closes it much earlier, and its worker is lost by then; other clients must not keep
// connections in use with streams on which they send nothing.
const silenceTimeout = 10 * time.Second

var errSilent = errors.Newf("no report on the stream for %v", silenceTimeout)

func serveStream(l Leader, s grpc.ServerStream) error {
	ctx, cancel := context.WithCancelCause(s.Context())
	defer cancel(nil)
	silence := time.AfterFunc(silenceTimeout, func() { cancel(errSilent) })
	defer silence.Stop()
	return l.Attach(serverStream{s, ctx, silence})
}

type serverStream struct {
	grpc.ServerStream
	ctx     context.Context
	silence *time.Timer
}

// Context implements grpc.ServerStream.
func (s serverStream) Context() context.Context { return s.ctx }

func (s serverStream) Receive() (Report, error) {
	var r Report
	err := s.RecvMsg(&r)
	if err == nil {
		s.silence.Reset(silenceTimeout)
	}
	return r, err
}

func (s serverStream) Send(o Orders) error { return s.SendMsg(&o) }

// Connection is an agent's connection to the leader.
type Connection struct {
	conn   *grpc.ClientConn
	stream grpc.ClientStream
}

// NewConn returns a connection to another process of the system. It connects on
// first use.
func NewConn(address netip.AddrPort) (*grpc.ClientConn, error) {
	retry := backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.5, Jitter: 0.2, MaxDelay: time.Second}
	return grpc.NewClient("passthrough:///"+address.String(),
		grpc.WithTransportCredentials(insecure.NewCredentials()), grpc.WithNoProxy(), grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: connectTimeout}),
		grpc.WithDefaultCallOptions(grpc.CallContentSubtype(codecName)))
}

// Dial opens a stream to the leader at the address. The stream ends with ctx.
func Dial(ctx context.Context, address netip.AddrPort) (*Connection, error) {
	conn, err := NewConn(address)
	if err != nil {
		return nil, err
	}
	stream, err := conn.NewStream(ctx, &serviceDesc.Streams[0], "/"+serviceDesc.ServiceName+"/Attach")
	if err != nil {
		_ = conn.Close() // the error of NewStream is the one to return
		return nil, err
	}
	return &Connection{conn, stream}, nil
}

// Send sends a report.
func (c *Connection) Send(r Report) error { return c.stream.SendMsg(&r) }

// Receive returns the next orders.
func (c *Connection) Receive() (Orders, error) {
	var o Orders
	err := c.stream.RecvMsg(&o)
	return o, err
}

// Close ends the stream and the connection.
func (c *Connection) Close() error { return c.conn.Close() }
