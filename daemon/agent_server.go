package daemon

import (
	"context"
	"fmt"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/worker"
)

// agentServer implements the gRPC service that entries and leaders call on an
// agent. It passes requests to the executor and assignments to the task agent.
type agentServer struct {
	daisywallpb.UnimplementedAgentServer
	requests *request.Executor
	tasks    *worker.Agent
}

// Execute implements daisywallpb.AgentServer.
func (s *agentServer) Execute(ctx context.Context, in *daisywallpb.ExecuteRequest) (*daisywallpb.ExecuteResponse, error) {
	return s.requests.Execute(ctx, in)
}

// Settle implements daisywallpb.AgentServer.
func (s *agentServer) Settle(ctx context.Context, in *daisywallpb.SettleRequest) (*daisywallpb.SettleResponse, error) {
	return s.requests.Settle(ctx, in)
}

// Acknowledge implements daisywallpb.AgentServer.
func (s *agentServer) Acknowledge(ctx context.Context, in *daisywallpb.AcknowledgeRequest) (*daisywallpb.AcknowledgeResponse, error) {
	return s.requests.Acknowledge(ctx, in)
}

// Ping implements daisywallpb.AgentServer.
func (s *agentServer) Ping(ctx context.Context, in *daisywallpb.PingRequest) (*daisywallpb.PingResponse, error) {
	return s.requests.Ping(ctx, in)
}

// Claim implements daisywallpb.AgentServer.
func (s *agentServer) Claim(ctx context.Context, in *daisywallpb.ClaimRequest) (*daisywallpb.ClaimResponse, error) {
	return s.requests.Claim(ctx, in)
}

// Assign implements daisywallpb.AgentServer.
func (s *agentServer) Assign(ctx context.Context, in *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	response, err := s.tasks.Assign(ctx, in)
	if err != nil {
		return nil, fmt.Errorf("assign: %w", err)
	}
	return response, nil
}
