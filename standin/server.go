package standin

import (
	"context"
	"errors"

	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/substrate/rpc/wire"
)

// Platform is a complete simulated platform: a table, an object store and the
// runtimes of the workers.
type Platform struct {
	Table    *Table
	Objects  *Objects
	Runtimes map[structs.WorkerID]*Runtime
	History  *History // shared by all runtimes
}

// NewPlatform returns a platform without workers.
func NewPlatform() *Platform {
	return &Platform{
		Table:    NewTable(),
		Objects:  NewObjects(),
		Runtimes: map[structs.WorkerID]*Runtime{},
		History:  NewHistory(),
	}
}

// AddWorker adds a worker with every sample program. It is not safe to call
// while the platform is served.
func (p *Platform) AddWorker(worker structs.WorkerID, capacity structs.Resources) *Runtime {
	r := NewRuntime(RuntimeOptions{
		Worker: worker, Capacity: capacity, Objects: p.Objects, Programs: Programs(), History: p.History,
	})
	p.Runtimes[worker] = r
	return r
}

// Close stops every run of the platform's runtimes.
func (p *Platform) Close() {
	for _, r := range p.Runtimes {
		r.Close()
	}
}

// Register serves the platform on a gRPC server.
func (p *Platform) Register(s grpc.ServiceRegistrar) {
	platformpb.RegisterTableServer(s, &tableServer{table: p.Table})
	platformpb.RegisterObjectsServer(s, &objectsServer{objects: p.Objects})
	platformpb.RegisterRuntimeServer(s, &runtimeServer{platform: p})
}

// grpcError maps an error to a gRPC status code: FailedPrecondition if the call
// had no effect, and Unknown if it may have had one.
func grpcError(err error) error {
	var unavailable *structs.UnavailableError
	if errors.As(err, &unavailable) {
		return status.Error(codes.FailedPrecondition, err.Error())
	}
	return status.Error(codes.Unknown, err.Error())
}

// splitRefusal returns a refusal by the runtime as a message of the protocol,
// and any other error as a gRPC status.
func splitRefusal(err error) (*platformpb.Refusal, error) {
	var refusal *structs.RefusedError
	switch {
	case err == nil:
		return nil, nil
	case errors.As(err, &refusal):
		return wire.FromRefusal(refusal), nil
	}
	return nil, grpcError(err)
}

type tableServer struct {
	platformpb.UnimplementedTableServer
	table substrate.Table
}

func (s *tableServer) Get(ctx context.Context, in *platformpb.GetRequest) (*platformpb.GetResponse, error) {
	row, err := s.table.Get(ctx, in.GetKey())
	var missing *structs.NotFoundError
	if errors.As(err, &missing) {
		return &platformpb.GetResponse{}, nil
	}
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.GetResponse{Found: true, Row: wire.FromRow(row)}, nil
}

func (s *tableServer) List(ctx context.Context, in *platformpb.ListRequest) (*platformpb.ListResponse, error) {
	rows, err := s.table.List(ctx, in.GetPrefix(), in.GetAfter(), int(in.GetLimit()))
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.ListResponse{Rows: wire.FromRows(rows)}, nil
}

func (s *tableServer) Commit(ctx context.Context, in *platformpb.CommitRequest) (*platformpb.CommitResponse, error) {
	revision, err := s.table.Commit(ctx, wire.ToTxn(in))
	var conflict *structs.ConflictError
	if errors.As(err, &conflict) {
		return &platformpb.CommitResponse{Conflict: true, ConflictKey: conflict.Key, Want: conflict.Want, Have: conflict.Have}, nil
	}
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.CommitResponse{Revision: revision}, nil
}

func (s *tableServer) Changes(ctx context.Context, in *platformpb.ChangesRequest) (*platformpb.ChangesResponse, error) {
	rows, revision, err := s.table.Changes(ctx, in.GetPrefix(), in.GetSince())
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.ChangesResponse{Rows: wire.FromRows(rows), Revision: revision}, nil
}

type objectsServer struct {
	platformpb.UnimplementedObjectsServer
	objects substrate.Objects
}

func (s *objectsServer) PutObject(ctx context.Context, in *platformpb.PutObjectRequest) (*platformpb.PutObjectResponse, error) {
	if err := s.objects.Put(ctx, in.GetKey(), in.GetValue()); err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.PutObjectResponse{}, nil
}

func (s *objectsServer) GetObject(ctx context.Context, in *platformpb.GetObjectRequest) (*platformpb.GetObjectResponse, error) {
	value, err := s.objects.Get(ctx, in.GetKey())
	var missing *structs.NotFoundError
	if errors.As(err, &missing) {
		return &platformpb.GetObjectResponse{}, nil
	}
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.GetObjectResponse{Found: true, Value: value}, nil
}

func (s *objectsServer) DeleteObject(ctx context.Context, in *platformpb.DeleteObjectRequest) (*platformpb.DeleteObjectResponse, error) {
	if err := s.objects.Delete(ctx, in.GetKey()); err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.DeleteObjectResponse{}, nil
}

func (s *objectsServer) ListObjects(ctx context.Context, in *platformpb.ListObjectsRequest) (*platformpb.ListObjectsResponse, error) {
	keys, err := s.objects.List(ctx, in.GetPrefix())
	if err != nil {
		return nil, grpcError(err)
	}
	return &platformpb.ListObjectsResponse{Keys: keys}, nil
}
