package peer

import (
	"context"

	"github.com/rosemarysill/rosemarysill"
	"github.com/rosemarysill/rosemarysill/peer/peerpb"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"
)

// encodeError turns an error into a gRPC status with the numbered code.
func encodeError(err error) error {
	if err == nil {
		return nil
	}
	detail := clip(rosemarysill.DetailOf(err))
	s, withErr := status.New(codes.Aborted, "").WithDetails(&peerpb.Failure{
		Code:   int32(rosemarysill.CodeOf(err)),
		Detail: detail,
	})
	if withErr != nil {
		return status.Error(codes.Internal, detail)
	}
	return s.Err()
}

// decodeError turns the error of a gRPC call into an Error. Without a numbered
// code of the other process, "not run" is proved only when nothing was sent.
func decodeError(err error, sent bool) error {
	if err == nil {
		return nil
	}
	s := status.Convert(err)
	for _, detail := range s.Details() {
		if f, ok := detail.(*peerpb.Failure); ok && f.GetCode() != int32(rosemarysill.Done) {
			return rosemarysill.NewError(rosemarysill.Code(f.GetCode()), "%s", clip(f.GetDetail()))
		}
	}
	if !sent {
		return rosemarysill.NewError(rosemarysill.Unreachable, "%s: %s", s.Code(), clip(s.Message()))
	}
	return rosemarysill.NewError(rosemarysill.OutcomeUnknown, "%s: %s", s.Code(), clip(s.Message()))
}

// sending records whether any part of a request was handed to a connection.
// One goroutine uses it: gRPC reports the header of a unary call in the
// caller's goroutine.
type sending struct{ sent bool }

type sendingKey struct{}

func withSending(ctx context.Context) (context.Context, *sending) {
	s := &sending{}
	return context.WithValue(ctx, sendingKey{}, s), s
}

// sendingHandler is a stats.Handler that fills in sending. gRPC queues the
// header of a request for its connection just before it reports OutHeader; a
// call that ends without that report sent nothing.
type sendingHandler struct{}

func (sendingHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

func (sendingHandler) HandleRPC(ctx context.Context, s stats.RPCStats) {
	if _, ok := s.(*stats.OutHeader); !ok {
		return
	}
	if record, ok := ctx.Value(sendingKey{}).(*sending); ok {
		record.sent = true
	}
}

func (sendingHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

func (sendingHandler) HandleConn(context.Context, stats.ConnStats) {}
