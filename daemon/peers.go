package daemon

import (
	"context"
	"fmt"
	"sync"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// Timeouts and backoff of connections between daemons.
const (
	peerConnectTimeout = time.Second
	peerBackoffBase    = 50 * time.Millisecond
	peerBackoffMax     = time.Second
	peerIdleTimeout    = 10 * time.Minute
)

// peerPool keeps one connection to each daemon that this daemon calls. A call
// that times out or finds the peer unavailable removes its connection from the
// pool, because a broken connection may never respond again although a new one
// would. The mutex guards conns.
type peerPool struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeerPool() *peerPool { return &peerPool{conns: map[string]*grpc.ClientConn{}} }

func (p *peerPool) conn(address string) (*grpc.ClientConn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if conn, found := p.conns[address]; found {
		return conn, nil
	}
	conn, err := dialPeer(address)
	if err != nil {
		return nil, err
	}
	p.conns[address] = conn
	return conn, nil
}

// maxPeerConns bounds the connections that connect returns.
const maxPeerConns = 8

// connect connects to the first maxPeerConns addresses and returns the
// connections. It skips addresses that it cannot connect to.
func (p *peerPool) connect(addresses []string) []grpc.ClientConnInterface {
	var conns []grpc.ClientConnInterface
	for _, address := range addresses[:min(len(addresses), maxPeerConns)] {
		if conn, err := p.conn(address); err == nil {
			conns = append(conns, conn)
		}
	}
	return conns
}

func dialPeer(address string) (*grpc.ClientConn, error) {
	conn, err := grpc.NewClient(address, peerDialOptions()...)
	if err != nil {
		return nil, fmt.Errorf("connect to %s: %w", address, err)
	}
	return conn, nil
}

// peerDialOptions returns the options of every connection between daemons.
func peerDialOptions() []grpc.DialOption {
	backoffConfig := backoff.DefaultConfig
	backoffConfig.BaseDelay = peerBackoffBase
	backoffConfig.MaxDelay = peerBackoffMax
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: backoffConfig, MinConnectTimeout: peerConnectTimeout}),
		grpc.WithIdleTimeout(peerIdleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// callPeer makes one call on the connection to the address. It discards the
// connection if the call times out or finds the peer unavailable.
func callPeer[T any](p *peerPool, address string, run func(conn *grpc.ClientConn) (T, error)) (T, error) {
	conn, err := p.conn(address)
	if err != nil {
		var zero T
		return zero, err
	}
	out, err := run(conn)
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		p.discard(address, conn)
	}
	return out, err
}

// discard removes a connection from the pool, so that the next call opens a new
// one.
func (p *peerPool) discard(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
		// The connection is closed later, because closing it now would fail
		// calls in flight whose responses may still arrive. On a broken
		// connection, these calls end at their own deadlines.
		time.AfterFunc(peerIdleTimeout, func() { conn.Close() })
	}
}

func (p *peerPool) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = map[string]*grpc.ClientConn{}
}

// assign implements cell.AssignFunc.
func (p *peerPool) assign(ctx context.Context, address string, in *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	return callPeer(p, address, func(conn *grpc.ClientConn) (*daisywallpb.AssignResponse, error) {
		return daisywallpb.NewAgentClient(conn).Assign(ctx, in)
	})
}

// heartbeat implements worker.HeartbeatFunc.
func (p *peerPool) heartbeat(ctx context.Context, address string, in *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	return callPeer(p, address, func(conn *grpc.ClientConn) (*daisywallpb.HeartbeatResponse, error) {
		return daisywallpb.NewCellClient(conn).Heartbeat(ctx, in)
	})
}

// notify informs the leader of a cell that its inbox has new rows.
func (p *peerPool) notify(ctx context.Context, address string, in *daisywallpb.NotifyRequest) error {
	_, err := callPeer(p, address, func(conn *grpc.ClientConn) (*daisywallpb.NotifyResponse, error) {
		return daisywallpb.NewCellClient(conn).Notify(ctx, in)
	})
	return err
}

// explain requests the decision records of a task, job or worker from the
// leader of a cell.
func (p *peerPool) explain(ctx context.Context, address string, in *daisywallpb.ExplainRequest) (*daisywallpb.ExplainResponse, error) {
	return callPeer(p, address, func(conn *grpc.ClientConn) (*daisywallpb.ExplainResponse, error) {
		return daisywallpb.NewCellClient(conn).Explain(ctx, in)
	})
}
