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

// Times of connections between daemons.
const (
	peerConnectTimeout = time.Second
	peerBackoffBase    = 50 * time.Millisecond
	peerBackoffMax     = time.Second
	peerIdleTimeout    = 10 * time.Minute
)

// peers keeps a connection to each daemon that this one calls. A connection
// that left a call unanswered is replaced, since it may stay silent for good
// while a new one works.
type peers struct {
	mu    sync.Mutex
	conns map[string]*grpc.ClientConn
}

func newPeers() *peers { return &peers{conns: map[string]*grpc.ClientConn{}} }

func (p *peers) conn(address string) (*grpc.ClientConn, error) {
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

// maxConnected bounds the connections that one question needs.
const maxConnected = 8

// connect returns connections to the first of the addresses.
func (p *peers) connect(addresses []string) []grpc.ClientConnInterface {
	var conns []grpc.ClientConnInterface
	for _, address := range addresses[:min(len(addresses), maxConnected)] {
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

// peerDialOptions are the options of every connection between daemons.
func peerDialOptions() []grpc.DialOption {
	retry := backoff.DefaultConfig
	retry.BaseDelay = peerBackoffBase
	retry.MaxDelay = peerBackoffMax
	return []grpc.DialOption{
		grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithConnectParams(grpc.ConnectParams{Backoff: retry, MinConnectTimeout: peerConnectTimeout}),
		grpc.WithIdleTimeout(peerIdleTimeout),
		grpc.WithDisableServiceConfig(),
		grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(maxMessageBytes), grpc.MaxCallSendMsgSize(maxMessageBytes)),
	}
}

// call runs one call on the connection to the address.
func call[T any](p *peers, address string, run func(conn *grpc.ClientConn) (T, error)) (T, error) {
	conn, err := p.conn(address)
	if err != nil {
		var zero T
		return zero, err
	}
	out, err := run(conn)
	if code := status.Code(err); code == codes.DeadlineExceeded || code == codes.Unavailable {
		p.drop(address, conn)
	}
	return out, err
}

// drop forgets a connection, so that the next call makes a fresh one.
func (p *peers) drop(address string, conn *grpc.ClientConn) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.conns[address] == conn {
		delete(p.conns, address)
		// Calls in flight on a silent connection end with their own deadline;
		// closing it now would turn answers under way into failures.
		time.AfterFunc(peerIdleTimeout, func() { conn.Close() })
	}
}

func (p *peers) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, conn := range p.conns {
		conn.Close()
	}
	p.conns = map[string]*grpc.ClientConn{}
}

// assign implements cell.AssignFunc.
func (p *peers) assign(ctx context.Context, address string, in *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	return call(p, address, func(conn *grpc.ClientConn) (*daisywallpb.AssignResponse, error) {
		return daisywallpb.NewAgentClient(conn).Assign(ctx, in)
	})
}

// heartbeat implements worker.HeartbeatFunc.
func (p *peers) heartbeat(ctx context.Context, address string, in *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	return call(p, address, func(conn *grpc.ClientConn) (*daisywallpb.HeartbeatResponse, error) {
		return daisywallpb.NewCellClient(conn).Heartbeat(ctx, in)
	})
}

// notify tells the leader of a cell that its inbox has new rows.
func (p *peers) notify(ctx context.Context, address string, in *daisywallpb.NotifyRequest) error {
	_, err := call(p, address, func(conn *grpc.ClientConn) (*daisywallpb.NotifyResponse, error) {
		return daisywallpb.NewCellClient(conn).Notify(ctx, in)
	})
	return err
}

// explain asks the leader of a cell for its decision records.
func (p *peers) explain(ctx context.Context, address string, in *daisywallpb.ExplainRequest) (*daisywallpb.ExplainResponse, error) {
	return call(p, address, func(conn *grpc.ClientConn) (*daisywallpb.ExplainResponse, error) {
		return daisywallpb.NewCellClient(conn).Explain(ctx, in)
	})
}
