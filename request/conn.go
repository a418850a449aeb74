package request

import (
	"context"
	"fmt"
	"runtime"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// MaxMessageBytes is the maximum size of a message between entries and agents.
const MaxMessageBytes = 2 * maxAnswerBytes

// flowControlWindowBytes is the initial flow control window of streams and
// connections.
const flowControlWindowBytes = 1 << 20

// AgentServerOptions returns the options for gRPC servers of the Agent service.
func AgentServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(flowControlWindowBytes),
		grpc.InitialConnWindowSize(flowControlWindowBytes),
		grpc.NumStreamWorkers(uint32(runtime.GOMAXPROCS(0))),
	}
}

// AgentConn is a connection to one agent.
type AgentConn interface {
	daisywallpb.AgentClient
	// Ready waits until the connection is established. If that fails, it
	// returns *structs.UnavailableError, and the connection must not be used
	// again.
	Ready(ctx context.Context) error
	Close() error
}

// GRPCDialer returns a dial function for RouterOptions.Dial.
func GRPCDialer(options ...grpc.DialOption) func(address string) (AgentConn, error) {
	return func(address string) (AgentConn, error) {
		all := append([]grpc.DialOption{
			grpc.WithDisableServiceConfig(),
			// With a fixed window, gRPC sends no pings to estimate the window
			// size.
			grpc.WithInitialWindowSize(flowControlWindowBytes),
			grpc.WithInitialConnWindowSize(flowControlWindowBytes),
			grpc.WithDefaultCallOptions(grpc.MaxCallRecvMsgSize(MaxMessageBytes), grpc.MaxCallSendMsgSize(MaxMessageBytes)),
		}, options...)
		conn, err := grpc.NewClient("passthrough:///"+address, all...)
		if err != nil {
			return nil, fmt.Errorf("dial agent %s: %w", address, err)
		}
		conn.Connect()
		return &grpcAgentConn{AgentClient: daisywallpb.NewAgentClient(conn), conn: conn, address: address}, nil
	}
}

type grpcAgentConn struct {
	daisywallpb.AgentClient
	conn    *grpc.ClientConn
	address string
}

func (c *grpcAgentConn) Ready(ctx context.Context) error {
	for {
		state := c.conn.GetState()
		switch state {
		case connectivity.Ready:
			return nil
		case connectivity.TransientFailure, connectivity.Shutdown:
			return &structs.UnavailableError{Dependency: "agent " + c.address}
		case connectivity.Idle:
			c.conn.Connect()
		}
		if !c.conn.WaitForStateChange(ctx, state) {
			return &structs.UnavailableError{Dependency: "agent " + c.address, Err: ctx.Err()}
		}
	}
}

func (c *grpcAgentConn) Close() error { return c.conn.Close() }
