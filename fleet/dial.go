package fleet

import (
	"context"
	"errors"
	"fmt"
	"net"
	"sync"
	"syscall"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/credentials/insecure"
)

// keepAliveInterval is the time between probes of an idle connection. The
// connection is closed after two probes without an answer.
const keepAliveInterval = time.Second

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * keepAliveInterval, Interval: keepAliveInterval, Count: 2}}
	return d.DialContext(ctx, "tcp", address)
}

// dialer opens the connections of one client and keeps the error of the last
// attempt.
type dialer struct {
	dial          Dial
	mu            sync.Mutex
	lastErr       error
	everConnected bool // an attempt has succeeded
}

// connect returns a client connection, which dials when it is first used.
func (d *dialer) connect(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(d.open),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes)),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: answerTimeout}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

func (d *dialer) open(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, address)
	d.mu.Lock()
	d.lastErr = err
	d.everConnected = d.everConnected || err == nil
	d.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

// connected reports whether a connection has ever been open. Otherwise no call
// has been sent.
func (d *dialer) connected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.everConnected
}

// refused reports whether the last attempt was refused because nothing listens
// at the address.
func (d *dialer) refused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Is(d.lastErr, syscall.ECONNREFUSED)
}
