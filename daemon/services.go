// Package daemon composes the services of each daemon into a kernel. The
// commands under cmd only read settings and call it; the development mode runs
// several daemons of this package in one process.
package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/kernel"
)

// Bounds of the servers.
const (
	maxMessageBytes   = 32 << 20 // one gRPC message
	readHeaderTimeout = 5 * time.Second
	idleTimeout       = 2 * time.Minute
	maxHeaderBytes    = 64 << 10
	// handshakeTimeout bounds the opening of a gRPC connection. A stop waits for
	// those that are being opened, and one that went silent never is. It is well
	// under the grace of 6 s that the platform leaves a stop.
	handshakeTimeout = 2 * time.Second
)

// runner is a kernel service around a function that runs until its context
// ends.
type runner struct {
	run    func(ctx context.Context) error
	cancel context.CancelFunc
	done   chan struct{}
}

func newRunner(run func(ctx context.Context) error) *runner {
	return &runner{run: run, done: make(chan struct{})}
}

// Start implements kernel.Service.
func (r *runner) Start(_ context.Context, host *kernel.Host) error {
	var ctx context.Context
	ctx, r.cancel = context.WithCancel(context.Background())
	host.Go(func(background context.Context) error {
		defer close(r.done)
		stop := context.AfterFunc(background, r.cancel)
		defer stop()
		err := r.run(ctx)
		if ctx.Err() != nil && errors.Is(err, context.Canceled) {
			return nil
		}
		return err
	})
	return nil
}

// Stop implements kernel.Service.
func (r *runner) Stop(ctx context.Context) error {
	r.cancel()
	select {
	case <-r.done:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("wait for background work: %w", ctx.Err())
	}
}

// hooks is a kernel service made of functions; a nil one does nothing.
type hooks struct {
	start func(ctx context.Context, host *kernel.Host) error
	stop  func(ctx context.Context) error
}

// Start implements kernel.Service.
func (h hooks) Start(ctx context.Context, host *kernel.Host) error {
	if h.start == nil {
		return nil
	}
	return h.start(ctx, host)
}

// Stop implements kernel.Service.
func (h hooks) Stop(ctx context.Context) error {
	if h.stop == nil {
		return nil
	}
	return h.stop(ctx)
}

// httpServer is a kernel service that serves a handler and shuts down
// gracefully.
type httpServer struct {
	address  string
	handler  http.Handler
	before   func(ctx context.Context) // runs before the listener closes, may be nil
	patience time.Duration             // longest wait for calls in flight at a stop, 0 for all the time there is
	server   *http.Server
}

// Start implements kernel.Service.
func (s *httpServer) Start(_ context.Context, host *kernel.Host) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	s.server = &http.Server{
		Handler:           s.handler,
		ReadHeaderTimeout: readHeaderTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeaderBytes,
	}
	host.Go(func(context.Context) error {
		if err := s.server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("serve http: %w", err)
		}
		return nil
	})
	return nil
}

// Stop implements kernel.Service. Calls in flight finish, but a call that does
// not end within the patience is cut: on a connection that has gone silent, the
// rest of a request may never come.
func (s *httpServer) Stop(ctx context.Context) error {
	if s.before != nil {
		s.before(ctx)
	}
	if s.patience == 0 {
		return s.server.Shutdown(ctx)
	}
	waiting, cancel := context.WithTimeout(ctx, s.patience)
	defer cancel()
	err := s.server.Shutdown(waiting)
	if err == nil || ctx.Err() != nil {
		return err
	}
	return s.server.Close()
}

// grpcServer is a kernel service that serves gRPC and shuts down gracefully.
type grpcServer struct {
	address  string
	options  []grpc.ServerOption // beside the bound on messages
	register func(*grpc.Server)
	before   func(ctx context.Context) // runs before the listener closes, may be nil
	server   *grpc.Server
}

// Start implements kernel.Service.
func (s *grpcServer) Start(_ context.Context, host *kernel.Host) error {
	listener, err := net.Listen("tcp", s.address)
	if err != nil {
		return fmt.Errorf("listen on %s: %w", s.address, err)
	}
	options := append([]grpc.ServerOption{grpc.ConnectionTimeout(handshakeTimeout), grpc.MaxRecvMsgSize(maxMessageBytes), grpc.MaxSendMsgSize(maxMessageBytes)}, s.options...)
	s.server = grpc.NewServer(options...)
	s.register(s.server)
	host.Go(func(context.Context) error {
		if err := s.server.Serve(listener); err != nil && !errors.Is(err, grpc.ErrServerStopped) {
			return fmt.Errorf("serve grpc: %w", err)
		}
		return nil
	})
	return nil
}

// Stop implements kernel.Service. Calls in flight finish while ctx lasts.
func (s *grpcServer) Stop(ctx context.Context) error {
	if s.before != nil {
		s.before(ctx)
	}
	finished := make(chan struct{})
	go func() {
		s.server.GracefulStop()
		close(finished)
	}()
	select {
	case <-finished:
		return nil
	case <-ctx.Done():
		s.server.Stop()
		return fmt.Errorf("finish calls in flight: %w", ctx.Err())
	}
}
