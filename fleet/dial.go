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

// keepAlive is how often an idle connection is probed; two probes without an
// answer end it.
const keepAlive = time.Second

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	d := net.Dialer{KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: 2 * keepAlive, Interval: keepAlive, Count: 2}}
	return d.DialContext(ctx, "tcp", address)
}

// dialer opens the connections of one client and remembers whether the last
// attempt was refused.
type dialer struct {
	dial Dial
	mu   sync.Mutex
	err  error
	ever bool // an attempt has succeeded
}

// connect returns a client connection, which dials when it is first used.
func (d *dialer) connect(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient("passthrough:///"+address,
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(d.open),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoff.DefaultConfig, MinConnectTimeout: answerTimeout}))
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

func (d *dialer) open(ctx context.Context, address string) (net.Conn, error) {
	conn, err := d.dial(ctx, address)
	d.mu.Lock()
	d.err = err
	d.ever = d.ever || err == nil
	d.mu.Unlock()
	if err != nil {
		return nil, fmt.Errorf("dial %s: %w", address, err)
	}
	return conn, nil
}

// connected reports whether a connection was ever open. Before that, no call
// has left.
func (d *dialer) connected() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ever
}

// refused reports whether nothing listens at the address.
func (d *dialer) refused() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return errors.Is(d.err, syscall.ECONNREFUSED)
}
