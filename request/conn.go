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

// MaxMessageBytes is the size of the largest message between entries and
// agents.
const MaxMessageBytes = 2 * maxAnswerBytes

// windowBytes is the flow control window of streams and connections.
const windowBytes = 1 << 20

// AgentServerOptions returns the options of servers of the Agent service.
func AgentServerOptions() []grpc.ServerOption {
	return []grpc.ServerOption{
		grpc.MaxRecvMsgSize(MaxMessageBytes),
		grpc.MaxSendMsgSize(MaxMessageBytes),
		grpc.InitialWindowSize(windowBytes),
		grpc.InitialConnWindowSize(windowBytes),
		grpc.NumStreamWorkers(uint32(runtime.GOMAXPROCS(0))),
	}
}

// AgentConn is a connection to one agent.
type AgentConn interface {
	daisywallpb.AgentClient
	// Ready waits until the connection is up. It returns
	// *structs.UnavailableError when it cannot be established; the connection
	// is then of no more use.
	Ready(ctx context.Context) error
	Close() error
}

// GRPCDialer returns a dialer of agents for RouterOptions.
func GRPCDialer(options ...grpc.DialOption) func(address string) (AgentConn, error) {
	return func(address string) (AgentConn, error) {
		all := append([]grpc.DialOption{
			grpc.WithDisableServiceConfig(),
			// A fixed window saves the pings that estimate one.
			grpc.WithInitialWindowSize(windowBytes),
			grpc.WithInitialConnWindowSize(windowBytes),
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
