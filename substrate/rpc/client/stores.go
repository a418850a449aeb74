package client

import (
	"context"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/substrate/rpc/wire"
)

type table struct{ conn *Conn }

// Table returns the table service.
func (c *Conn) Table() substrate.Table { return &table{conn: c} }

// Get implements substrate.Table.
func (t *table) Get(ctx context.Context, key string) (substrate.Row, error) {
	m, err := invoke(ctx, t.conn, operation{"table", "get", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.GetResponse, error) {
		return platformpb.NewTableClient(conn).Get(ctx, &platformpb.GetRequest{Key: key})
	})
	if err != nil {
		return substrate.Row{}, err
	}
	if !m.GetFound() {
		return substrate.Row{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return wire.ToRow(m.GetRow()), nil
}

// List implements substrate.Table.
func (t *table) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	m, err := invoke(ctx, t.conn, operation{"table", "list", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.ListResponse, error) {
		return platformpb.NewTableClient(conn).List(ctx, &platformpb.ListRequest{Prefix: prefix, After: after, Limit: int32(limit)})
	})
	return wire.ToRows(m.GetRows()), err
}

// Commit implements substrate.Table.
func (t *table) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	m, err := invoke(ctx, t.conn, operation{"table", "commit", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.CommitResponse, error) {
		return platformpb.NewTableClient(conn).Commit(ctx, wire.FromTxn(txn))
	})
	if err != nil {
		return 0, err
	}
	if m.GetConflict() {
		return 0, &structs.ConflictError{Key: m.GetConflictKey(), Want: m.GetWant(), Have: m.GetHave()}
	}
	return m.GetRevision(), nil
}

// Changes implements substrate.Table.
func (t *table) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	m, err := invoke(ctx, t.conn, operation{"table", "changes", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.ChangesResponse, error) {
		return platformpb.NewTableClient(conn).Changes(ctx, &platformpb.ChangesRequest{Prefix: prefix, Since: since})
	})
	return wire.ToRows(m.GetRows()), m.GetRevision(), err
}

type objects struct{ conn *Conn }

// Objects returns the object store.
func (c *Conn) Objects() substrate.Objects { return &objects{conn: c} }

// Put implements substrate.Objects.
func (o *objects) Put(ctx context.Context, key string, value []byte) error {
	_, err := invoke(ctx, o.conn, operation{"objects", "put", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.PutObjectResponse, error) {
		return platformpb.NewObjectsClient(conn).PutObject(ctx, &platformpb.PutObjectRequest{Key: key, Value: value})
	})
	return err
}

// Get implements substrate.Objects.
func (o *objects) Get(ctx context.Context, key string) ([]byte, error) {
	m, err := invoke(ctx, o.conn, operation{"objects", "get", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.GetObjectResponse, error) {
		return platformpb.NewObjectsClient(conn).GetObject(ctx, &platformpb.GetObjectRequest{Key: key})
	})
	if err != nil {
		return nil, err
	}
	if !m.GetFound() {
		return nil, &structs.NotFoundError{Subject: "object", Name: key}
	}
	return m.GetValue(), nil
}

// Delete implements substrate.Objects.
func (o *objects) Delete(ctx context.Context, key string) error {
	_, err := invoke(ctx, o.conn, operation{"objects", "delete", true}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.DeleteObjectResponse, error) {
		return platformpb.NewObjectsClient(conn).DeleteObject(ctx, &platformpb.DeleteObjectRequest{Key: key})
	})
	return err
}

// List implements substrate.Objects.
func (o *objects) List(ctx context.Context, prefix string) ([]string, error) {
	m, err := invoke(ctx, o.conn, operation{"objects", "list", false}, func(ctx context.Context, conn grpc.ClientConnInterface) (*platformpb.ListObjectsResponse, error) {
		return platformpb.NewObjectsClient(conn).ListObjects(ctx, &platformpb.ListObjectsRequest{Prefix: prefix})
	})
	return m.GetKeys(), err
}
