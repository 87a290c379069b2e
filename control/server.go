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

// NewServer returns a server for the calls of other processes of the system. A
// panic in one of them ends that call alone: grpc-go would end the process, and a
// message that causes one is repeated to the next leader.
func NewServer(log zerolog.Logger) *grpc.Server {
	return grpc.NewServer(
		grpc.UnaryInterceptor(func(ctx context.Context, r any, info *grpc.UnaryServerInfo, next grpc.UnaryHandler) (a any, err error) {
			defer contain(log, info.FullMethod, &err)
			return next(ctx, r)
		}),
		grpc.StreamInterceptor(func(srv any, s grpc.ServerStream, info *grpc.StreamServerInfo, next grpc.StreamHandler) (err error) {
			defer contain(log, info.FullMethod, &err)
			return next(srv, s)
		}),
	)
}

// contain turns a panic into an error of the call.
func contain(log zerolog.Logger, method string, err *error) {
	if cause := recover(); cause != nil {
		LogPanic(log, method, cause)
		*err = status.Error(codes.Internal, "the call failed in an unexpected way")
	}
}

// LogPanic logs a panic that was contained.
func LogPanic(log zerolog.Logger, where string, cause any) {
	event.NodePanic.Log(log).Str("Where", where).Interface("Cause", cause).Bytes("Stack", debug.Stack()).Send()
}
