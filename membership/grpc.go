package membership

import (
	"context"
	"fmt"

	"google.golang.org/grpc"
	"google.golang.org/grpc/connectivity"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// GRPCDialer returns a dialer of entries for AnnouncerOptions and
// EntryDirectoryOptions.
func GRPCDialer(options ...grpc.DialOption) func(address string) (EntryConn, error) {
	return func(address string) (EntryConn, error) {
		conn, err := grpc.NewClient("passthrough:///"+address, options...)
		if err != nil {
			return nil, fmt.Errorf("dial entry %s: %w", address, err)
		}
		return &grpcEntryConn{EntryClient: daisywallpb.NewEntryClient(conn), conn: conn}, nil
	}
}

type grpcEntryConn struct {
	daisywallpb.EntryClient
	conn *grpc.ClientConn
}

func (c *grpcEntryConn) WaitDisconnected(ctx context.Context) {
	for state := c.conn.GetState(); state == connectivity.Ready; state = c.conn.GetState() {
		if !c.conn.WaitForStateChange(ctx, state) {
			return
		}
	}
}

func (c *grpcEntryConn) Close() error { return c.conn.Close() }
