// Package client implements the interfaces of package substrate over the
// platform's gRPC services. Every call has a timeout. A write fails with
// *structs.UnavailableError only if it certainly had no effect.
package client

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/stats"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/structs"
)

const (
	defaultTimeout = 2 * time.Second
	// reconnectBase and reconnectMax limit the delay between attempts to
	// connect, so that calls succeed soon after an outage.
	reconnectBase   = 100 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2
	// maxMessageBytes limits the size of a message in either direction.
	maxMessageBytes = 16 << 20
)

// Options configures a connection.
type Options struct {
	Timeout time.Duration        // timeout of every call, 2 s when 0
	Meters  metric.MeterProvider // no metrics when nil
	Dial    []grpc.DialOption    // added to the default options
}

func (o Options) withDefaults() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	return o
}

// Conn is a connection to the platform. It is safe for concurrent use. It
// replaces its transport after a call that timed out, because an open
// connection may hang permanently while new connections work.
type Conn struct {
	address string
	options Options
	metrics *metrics

	mu         sync.Mutex
	current    *grpc.ClientConn
	replacedAt time.Time
	retiring   map[*grpc.ClientConn]*time.Timer
	closed     bool
}

// Dial returns a connection to the address. The first call on the connection
// establishes it.
func Dial(address string, options Options) (*Conn, error) {
	c := &Conn{address: address, options: options.withDefaults(), retiring: map[*grpc.ClientConn]*time.Timer{}}
	var err error
	if c.metrics, err = newMetrics(c.options.Meters); err != nil {
		return nil, err
	}
	if c.current, err = c.dial(); err != nil {
		return nil, err
	}
	return c, nil
}

func (c *Conn) dial() (*grpc.ClientConn, error) {
	options := []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithStatsHandler(sentHandler{}),
		grpc.WithDisableServiceConfig(),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: reconnectBase, Multiplier: reconnectFactor, Jitter: reconnectJitter, MaxDelay: reconnectMax},
			MinConnectTimeout: c.options.Timeout,
		}),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
	conn, err := grpc.NewClient(c.address, append(options, c.options.Dial...)...)
	if err != nil {
		return nil, fmt.Errorf("connect to platform: %w", err)
	}
	return conn, nil
}

// Close ends the connection and fails the calls in flight.
func (c *Conn) Close() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for conn, timer := range c.retiring {
		timer.Stop()
		conn.Close()
	}
	return c.current.Close()
}

func (c *Conn) transport() *grpc.ClientConn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.current
}

// replaceTransport replaces a hung transport with a new one, at most once per
// call timeout. The old transport is closed one call timeout later, when its
// calls have ended.
func (c *Conn) replaceTransport(hung *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.current != hung || time.Since(c.replacedAt) < c.options.Timeout {
		return
	}
	replacement, err := c.dial()
	if err != nil {
		return
	}
	c.current = replacement
	c.replacedAt = time.Now()
	c.metrics.connectionReplacements.Add(context.Background(), 1)
	c.retiring[hung] = time.AfterFunc(c.options.Timeout, func() { c.closeRetired(hung) })
}

func (c *Conn) closeRetired(hung *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	delete(c.retiring, hung)
	hung.Close()
}

// operation names one method of a service.
type operation struct {
	dependency string
	method     string
	write      bool // whether the method changes state
}

// invoke makes a call with a timeout and converts its errors to those of
// package structs.
func invoke[T any](ctx context.Context, c *Conn, op operation, send func(ctx context.Context, conn grpc.ClientConnInterface) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var sent atomic.Bool
	conn := c.transport()
	answer, err := send(context.WithValue(ctx, sentKey{}, &sent), conn)
	c.metrics.recordCall(op, err)
	if err == nil {
		return answer, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.replaceTransport(conn)
	}
	// The stand-in returns FailedPrecondition when the call had no effect.
	noEffect := !sent.Load() || status.Code(err) == codes.FailedPrecondition
	if op.write && !noEffect {
		return zero, &structs.UnknownOutcomeError{Operation: op.dependency + " " + op.method, Err: err}
	}
	return zero, &structs.UnavailableError{Dependency: op.dependency, Err: err}
}

// sentKey is the context key of the flag that is set when any byte of a call
// may have left this process.
type sentKey struct{}

// sentHandler sets the flag of a call when its headers are written. A call that
// fails earlier cannot have had an effect.
type sentHandler struct{}

// TagRPC implements stats.Handler.
func (sentHandler) TagRPC(ctx context.Context, _ *stats.RPCTagInfo) context.Context { return ctx }

// HandleRPC implements stats.Handler.
func (sentHandler) HandleRPC(ctx context.Context, event stats.RPCStats) {
	if _, ok := event.(*stats.OutHeader); !ok {
		return
	}
	if sent, ok := ctx.Value(sentKey{}).(*atomic.Bool); ok {
		sent.Store(true)
	}
}

// TagConn implements stats.Handler.
func (sentHandler) TagConn(ctx context.Context, _ *stats.ConnTagInfo) context.Context { return ctx }

// HandleConn implements stats.Handler.
func (sentHandler) HandleConn(context.Context, stats.ConnStats) {}
