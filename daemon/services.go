// Package daemon assembles the services of each daemon and registers them with
// a kernel, which owns their goroutines and stops them in order. The commands
// under cmd only read settings and call this package. The development mode runs
// several daemons in one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/kernel"
)

// Limits of the servers.
const (
	maxMessageBytes = 32 << 20 // size of one gRPC message
	// handshakeTimeout bounds the opening of a gRPC connection. A stop waits
	// for connections that are being opened, and a peer that stops responding
	// never completes its handshake. The bound is well below the grace period
	// of 6 s that the platform allows for a stop.
	handshakeTimeout = 2 * time.Second
)

// backgroundService is a kernel service that runs a function until the service
// is stopped.
type backgroundService struct {
	run    func(ctx context.Context) error
	cancel context.CancelFunc
	done   chan struct{}
}

func newBackgroundService(run func(ctx context.Context) error) *backgroundService {
	return &backgroundService{run: run, done: make(chan struct{})}
}

// Start implements kernel.Service.
func (s *backgroundService) Start(_ context.Context, services *kernel.ServiceContext) error {
	var ctx context.Context
	ctx, s.cancel = context.WithCancel(context.Background())
	services.Go(func(background context.Context) error {
		defer close(s.done)
		stop := context.AfterFunc(background, s.cancel)
		defer stop()
		err := s.run(ctx)
		if ctx.Err() != nil && errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	return nil
}

// Stop implements kernel.Service.
func (s *backgroundService) Stop(ctx context.Context) error {
	s.cancel()
	select {
	case <-s.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("stop background service: %w", ctx.Err())
	}
}

// funcService is a kernel service made of functions. A nil function does
// nothing.
type funcService struct {
	start func(ctx context.Context, services *kernel.ServiceContext) error
	stop  func(ctx context.Context) error
}

// Start implements kernel.Service.
func (h funcService) Start(ctx context.Context, services *kernel.ServiceContext) error {
	if h.start == nil {
		return nil
	}
	return h.start(ctx, services)
}

// Stop implements kernel.Service.
func (h funcService) Stop(ctx context.Context) error {
	if h.stop == nil {
		return nil
	}
	return h.stop(ctx)
}

// httpServer is a kernel service that serves HTTP with a handler and shuts down
// gracefully.
type httpServer struct {
	address         string
	handler         http.Handler
	beforeShutdown  func(ctx context.Context) // runs before the listener closes, may be nil
	shutdownTimeout time.Duration             // bounds the wait for calls in flight at a stop, 0 means the deadline of the stop
	limits          httplimit.Options
	server          *http.Server
}

// Start implements kernel.Service.
func (s *httpServer) Start(_ context.Context, services *kernel.ServiceContext) error {
	limiter, err := httplimit.New(s.limits)
	if err != nil {
		return fmt.Errorf("limit clients: %w", err)
	}
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.server = limiter.NewServer(s.handler)
	services.Go(func(context.Context) error {
		if err := s.server.Serve(limiter.Listen(listener)); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve http: %w", err)
		}
		return nil
	})
	return nil
}

// Stop implements kernel.Service. It lets calls in flight finish, but aborts
// those that take longer than shutdownTimeout, because the rest of a request
// may never arrive if its connection is broken.
func (s *httpServer) Stop(ctx context.Context) error {
	if s.beforeShutdown != nil {
		s.beforeShutdown(ctx)
	}
	if s.shutdownTimeout == 0 {
		return s.server.Shutdown(ctx)
	}
	shutdownCtx, cancel := context.WithTimeout(ctx, s.shutdownTimeout)
	defer cancel()
	err := s.server.Shutdown(shutdownCtx)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return s.server.Close()
}

// grpcServer is a kernel service that serves gRPC and shuts down gracefully.
type grpcServer struct {
	address        string
	options        []grpc.ServerOption // server options in addition to the default ones
	register       func(*grpc.Server)
	beforeShutdown func(ctx context.Context) // runs before the listener closes, may be nil
	log            *zap.Logger               // logs panics of the handlers, may be nil
	server         *grpc.Server
}

// Start implements kernel.Service.
func (s *grpcServer) Start(_ context.Context, services *kernel.ServiceContext) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	options := append([]grpc.ServerOption{grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes)}, recoveryOptions(s.log)...)
	options = append(options, s.options...)
	s.server = grpc.NewServer(options...)
	s.register(s.server)
	services.Go(func(context.Context) error {
		if err := s.server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			return fmt.Errorf("serve grpc: %w", err)
		}
		return nil
	})
	return nil
}

// Stop implements kernel.Service. It lets calls in flight finish until ctx
// ends.
func (s *grpcServer) Stop(ctx context.Context) error {
	if s.beforeShutdown != nil {
		s.beforeShutdown(ctx)
	}
	stopped := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(stopped)
	}()
	select {
	case <-stopped:
		return nil
	case <-ctx.Done():
		s.server.Stop()
		return fmt.Errorf("stop grpc server gracefully: %w", ctx.Err())
	}
}
