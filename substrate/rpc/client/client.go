// Package client adapts the platform's gRPC services to the ports of package
// platform. Every call has a timeout. A write fails with
// *structs.UnavailableError only when it surely had no effect.
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
	// reconnectBase and reconnectMax bound the time between attempts to
	// connect, so that the end of an outage is seen soon.
	reconnectBase   = 100 * time.Millisecond
	reconnectMax    = time.Second
	reconnectFactor = 1.6
	reconnectJitter = 0.2
	// maxMessageBytes bounds one message both ways.
	maxMessageBytes = 16 << 20
)

// Options configures a connection.
type Options struct {
	Timeout time.Duration        // upper bound of every call; 2 s when 0
	Meters  metric.MeterProvider // none when nil
	Dial    []grpc.DialOption    // added to the defaults
}

func (o Options) complete() Options {
	if o.Timeout <= 0 {
		o.Timeout = defaultTimeout
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	return o
}

// Conn is a connection to the platform. It replaces its transport after a call
// that got no answer in time, since a connection may stay silent for good while
// new ones work.
type Conn struct {
	address string
	options Options
	metrics *metrics

	mu       sync.Mutex
	current  *grpc.ClientConn
	replaced time.Time
	retiring map[*grpc.ClientConn]*time.Timer
	closed   bool
}

// Dial returns a connection to the address, which connects with its first
// call.
func Dial(address string, options Options) (*Conn, error) {
	c := &Conn{address: address, options: options.complete(), retiring: map[*grpc.ClientConn]*time.Timer{}}
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

// replace puts a fresh transport in the place of a silent one, at most once in
// the timeout of a call. The old one is closed when its calls have ended.
func (c *Conn) replace(silent *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed || c.current != silent || time.Since(c.replaced) < c.options.Timeout {
		return
	}
	fresh, err := c.dial()
	if err != nil {
		return
	}
	c.current = fresh
	c.replaced = time.Now()
	c.metrics.replaced.Add(context.Background(), 1)
	c.retiring[silent] = time.AfterFunc(c.options.Timeout, func() { c.retire(silent) })
}

func (c *Conn) retire(silent *grpc.ClientConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return
	}
	delete(c.retiring, silent)
	silent.Close()
}

// operation names one method of a service.
type operation struct {
	dependency string
	method     string
	write      bool
}

// invoke calls the platform with a bounded time and maps the errors.
func invoke[T any](ctx context.Context, c *Conn, op operation, send func(ctx context.Context, conn grpc.ClientConnInterface) (T, error)) (T, error) {
	var zero T
	ctx, cancel := context.WithTimeout(ctx, c.options.Timeout)
	defer cancel()
	var sent atomic.Bool
	conn := c.transport()
	answer, err := send(context.WithValue(ctx, sentKey{}, &sent), conn)
	c.metrics.count(op, err)
	if err == nil {
		return answer, nil
	}
	if errors.Is(ctx.Err(), context.DeadlineExceeded) {
		c.replace(conn)
	}
	// The stand-in answers FailedPrecondition when the call had no effect.
	noEffect := !sent.Load() || status.Code(err) == codes.FailedPrecondition
	if op.write && !noEffect {
		return zero, &structs.UnknownOutcomeError{Operation: op.dependency + " " + op.method, Err: err}
	}
	return zero, &structs.UnavailableError{Dependency: op.dependency, Err: err}
}

// sentKey finds the mark of a call that says whether any byte of it may have
// left this process.
type sentKey struct{}

// sentHandler sets the marks. A call that fails before its headers were
// written cannot have had an effect.
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
