package standin

import (
	"context"

	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate/rpc/wire"
)

type runtimeServer struct {
	platformpb.UnimplementedRuntimeServer
	platform *Platform
}

// runtime returns the runtime of a worker. The error for an unknown worker is
// FailedPrecondition, since the call had no effect.
func (s *runtimeServer) runtime(worker string) (*Runtime, error) {
	r, found := s.platform.Runtimes[structs.WorkerID(worker)]
	if !found {
		return nil, status.Errorf(codes.FailedPrecondition, "no worker %q", worker)
	}
	return r, nil
}

func (s *runtimeServer) Snapshot(ctx context.Context, in *platformpb.SnapshotRequest) (*platformpb.SnapshotResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	snapshot, err := r.Snapshot(ctx)
	if err != nil {
		return nil, grpcError(err)
	}
	return wire.FromSnapshot(snapshot), nil
}

func (s *runtimeServer) Start(ctx context.Context, in *platformpb.StartRequest) (*platformpb.StartResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	refusal, err := splitRefusal(r.Start(ctx, wire.ToStart(in)))
	if err != nil {
		return nil, err
	}
	return &platformpb.StartResponse{Refusal: refusal}, nil
}

func (s *runtimeServer) Renew(ctx context.Context, in *platformpb.RenewRequest) (*platformpb.RenewResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	refusal, err := splitRefusal(r.Renew(ctx, in.GetIncarnation(), wire.ToLeases(in.GetLeases())))
	if err != nil {
		return nil, err
	}
	return &platformpb.RenewResponse{Refusal: refusal}, nil
}

func (s *runtimeServer) Checkpoint(ctx context.Context, in *platformpb.CheckpointRequest) (*platformpb.CheckpointResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	key, err := r.Checkpoint(ctx, wire.ToAttempt(in.GetAttempt()))
	refused, err := splitRefusal(err)
	if err != nil {
		return nil, err
	}
	return &platformpb.CheckpointResponse{Checkpoint: key, Refusal: refused}, nil
}

func (s *runtimeServer) Throttle(ctx context.Context, in *platformpb.ThrottleRequest) (*platformpb.ThrottleResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	refusal, err := splitRefusal(r.Throttle(ctx, wire.ToAttempt(in.GetAttempt()), in.GetShare()))
	if err != nil {
		return nil, err
	}
	return &platformpb.ThrottleResponse{Refusal: refusal}, nil
}

func (s *runtimeServer) Stop(ctx context.Context, in *platformpb.StopRequest) (*platformpb.StopResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	run, err := r.Stop(ctx, wire.ToAttempt(in.GetAttempt()))
	refused, err := splitRefusal(err)
	if err != nil {
		return nil, err
	}
	return &platformpb.StopResponse{Run: wire.FromRun(run), Refusal: refused}, nil
}

func (s *runtimeServer) Forget(ctx context.Context, in *platformpb.ForgetRequest) (*platformpb.ForgetResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	if err := r.DropRecords(ctx, wire.ToAttempts(in.GetAttempts())); err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.ForgetResponse{}, nil
}

func (s *runtimeServer) Usage(ctx context.Context, in *platformpb.UsageRequest) (*platformpb.UsageResponse, error) {
	r, err := s.runtime(in.GetWorker())
	if err != nil {
		return nil, err
	}
	usage, err := r.Usage(ctx)
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.UsageResponse{Usage: wire.FromUsage(usage)}, nil
}
