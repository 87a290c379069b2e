package control

import (
	"context"
	"runtime/debug"

	"github.com/rs/zerolog"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/rosemarysill/rosemarysill/event"
)

// NewServer returns a server for the calls of other processes of the system. It
// recovers panics in handlers, so that a panic fails one call only. grpc-go does
// not recover them: a message that causes a panic would end the process, and then
// the next leader's, because its sender retries it there. The options state the limits.
func NewServer(log zerolog.Logger, opts ...grpc.ServerOption) *grpc.Server {
	return grpc.NewServer(append(opts,
		grpc.UnaryInterceptor(func(ctx context.Context, r any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (a any, err error) {
			defer recoverPanic(log, info.FullMethod, &err)
			return next(ctx, r)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer recoverPanic(log, info.FullMethod, &err)
			return next(srv, s)
		}),
	)...)
}

// recoverPanic converts a panic into an error of the call. It has to be deferred.
func recoverPanic(log zerolog.Logger, method string, err *error) {
	if cause := recover(); cause != nil {
		LogPanic(log, method, cause)
		*err = status.Error(codes.Internal, "the handler of the call panicked; the log of the server has the stack")
	}
}

// LogPanic logs a recovered panic and the stack.
func LogPanic(log zerolog.Logger, where string, cause any) {
	event.NodePanic.Log(log).Str("Where", where).Interface("Cause", cause).Bytes("Stack", debug.Stack()).Send()
}
