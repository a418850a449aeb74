package daemon

import (
	"context"
	"runtime/debug"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"
)

// recoveryOptions returns server options by which a panic in a handler fails one
// call with the code Internal instead of ending the process. log may be nil.
func recoveryOptions(log *zap.Logger) []grpc.ServerOption {
	if log == nil {
		log = zap.NewNop()
	}
	return []grpc.ServerOption{
		grpc.ChainUnaryInterceptor(func(ctx context.Context, req any, info *grpc.UnaryServerInfo, handler grpc.UnaryHandler) (resp any, err error) {
			defer recoverCall(&err, info.FullMethod, log)
			return handler(ctx, req)
		}),
		grpc.ChainStreamInterceptor(func(srv any, stream grpc.ServerStream, info *grpc.StreamServerInfo, handler grpc.StreamHandler) (err error) {
			defer recoverCall(&err, info.FullMethod, log)
			return handler(srv, stream)
		}),
	}
}

// recoverCall turns a panic of the calling function into an error of the call. It
// must be deferred.
func recoverCall(err *error, method string, log *zap.Logger) {
	if v := recover(); v != nil {
		log.Error("panic", zap.String("operation", method), zap.Any("value", v), zap.ByteString("stack", debug.Stack()))
		*err = status.Errorf(codes.Internal, "%s: panic: %v", method, v)
	}
}
