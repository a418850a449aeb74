package client

import (
	"context"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/substrate/rpc/wire"
)

type runtime struct {
	conn   *Conn
	worker structs.WorkerID
}

// Runtime returns the runtime of a worker.
func (c *Conn) Runtime(worker structs.WorkerID) substrate.WorkerRuntime {
	return &runtime{conn: c, worker: worker}
}

// Snapshot implements substrate.WorkerRuntime.
func (r *runtime) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	m, err := invoke(ctx, r.conn, operation{"runtime", "snapshot", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.SnapshotResponse, error) {
		return platformpb.NewRuntimeClient(conn).Snapshot(ctx, &platformpb.SnapshotRequest{Worker: string(r.worker)})
	})
	return wire.ToSnapshot(m), err
}

// Start implements substrate.WorkerRuntime.
func (r *runtime) Start(ctx context.Context, spec substrate.StartSpec) error {
	m, err := invoke(ctx, r.conn, operation{"runtime", "start", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.StartResponse, error) {
		return platformpb.NewRuntimeClient(conn).Start(ctx, wire.FromStart(r.worker, spec))
	})
	if err != nil {
		return err
	}
	return wire.ToRefusal(m.GetRefusal())
}

// Renew implements substrate.WorkerRuntime.
func (r *runtime) Renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	m, err := invoke(ctx, r.conn, operation{"runtime", "renew", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.RenewResponse, error) {
		in := &platformpb.RenewRequest{Worker: string(r.worker), Incarnation: incarnation, Leases: wire.FromLeases(leases)}
		return platformpb.NewRuntimeClient(conn).Renew(ctx, in)
	})
	if err != nil {
		return err
	}
	return wire.ToRefusal(m.GetRefusal())
}

// Checkpoint implements substrate.WorkerRuntime.
func (r *runtime) Checkpoint(ctx context.Context, attempt structs.AttemptID) (string, error) {
	m, err := invoke(ctx, r.conn, operation{"runtime", "checkpoint", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.CheckpointResponse, error) {
		in := &platformpb.CheckpointRequest{Worker: string(r.worker), Attempt: wire.FromAttempt(attempt)}
		return platformpb.NewRuntimeClient(conn).Checkpoint(ctx, in)
	})
	if err != nil {
		return "", err
	}
	return m.GetCheckpoint(), wire.ToRefusal(m.GetRefusal())
}

// Throttle implements substrate.WorkerRuntime.
func (r *runtime) Throttle(ctx context.Context, attempt structs.AttemptID, share float64) error {
	m, err := invoke(ctx, r.conn, operation{"runtime", "throttle", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.ThrottleResponse, error) {
		in := &platformpb.ThrottleRequest{Worker: string(r.worker), Attempt: wire.FromAttempt(attempt), Share: share}
		return platformpb.NewRuntimeClient(conn).Throttle(ctx, in)
	})
	if err != nil {
		return err
	}
	return wire.ToRefusal(m.GetRefusal())
}

// Stop implements substrate.WorkerRuntime.
func (r *runtime) Stop(ctx context.Context, attempt structs.AttemptID) (substrate.Run, error) {
	m, err := invoke(ctx, r.conn, operation{"runtime", "stop", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.StopResponse, error) {
		in := &platformpb.StopRequest{Worker: string(r.worker), Attempt: wire.FromAttempt(attempt)}
		return platformpb.NewRuntimeClient(conn).Stop(ctx, in)
	})
	if err != nil {
		return substrate.Run{}, err
	}
	if err := wire.ToRefusal(m.GetRefusal()); err != nil {
		return substrate.Run{}, err
	}
	return wire.ToRun(m.GetRun()), nil
}

// DropRecords implements substrate.WorkerRuntime.
func (r *runtime) DropRecords(ctx context.Context, attempts []structs.AttemptID) error {
	_, err := invoke(ctx, r.conn, operation{"runtime", "forget", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.ForgetResponse, error) {
		in := &platformpb.ForgetRequest{Worker: string(r.worker), Attempts: wire.FromAttempts(attempts)}
		return platformpb.NewRuntimeClient(conn).Forget(ctx, in)
	})
	return err
}

// Usage implements substrate.WorkerRuntime.
func (r *runtime) Usage(ctx context.Context) ([]substrate.Usage, error) {
	m, err := invoke(ctx, r.conn, operation{"runtime", "usage", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.UsageResponse, error) {
		return platformpb.NewRuntimeClient(conn).Usage(ctx, &platformpb.UsageRequest{Worker: string(r.worker)})
	})
	return wire.ToUsage(m.GetUsage()), err
}
