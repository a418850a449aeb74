package config

import (
	"context"
	"net"
	"testing"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/test/bufconn"

	"github.com/daisywall/daisywall/api/configpb"
	"github.com/daisywall/daisywall/standin"
)

// startPeer starts the server of a daemon that holds the revision and returns a
// connection to it.
func startPeer(t *testing.T, revision int64) grpc.ClientConnInterface {
	t.Helper()
	holder := NewHolder()
	if revision > 0 {
		_, err := holder.ApplyIfNewer(testConfig(revision, 2))
		is.New(t).NoErr(err)
	}
	listener := bufconn.Listen(1 << 16)
	server := grpc.NewServer()
	configpb.RegisterConfigServer(server, NewServer(holder))
	go func() { _ = server.Serve(listener) }()
	t.Cleanup(server.Stop)
	dial := func(ctx context.Context, _ string) (net.Conn, error) { return listener.DialContext(ctx) }
	connection, err := grpc.NewClient("passthrough:peer", grpc.WithContextDialer(dial), grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.New(t).NoErr(err)
	t.Cleanup(func() { _ = connection.Close() })
	return connection
}

// TestRestartedDaemonFetchesTheHighestPeerRevisionOverGRPC starts a daemon
// while the table is unavailable. Its peers hold different revisions, one of
// them none.
func TestRestartedDaemonFetchesTheHighestPeerRevisionOverGRPC(t *testing.T) {
	is := is.New(t)
	withoutConfig := startPeer(t, 0)
	connections := []grpc.ClientConnInterface{startPeer(t, 3), withoutConfig, startPeer(t, 5), startPeer(t, 4)}
	peers := NewRemotePeers(func() []grpc.ClientConnInterface { return connections })
	table := standin.NewTable()
	table.Faults.Refuse(standin.EveryCall)
	holder := NewHolder()
	watcher := NewWatcher(table, holder, peers, zap.NewNop(), WatcherOptions{})
	watcher.Poll(t.Context())
	is.Equal(holder.Revision(), int64(5))
	is.Equal(holder.Current().Teams, testConfig(5, 2).Teams)
	is.Equal(len(peers.FetchUpdates(t.Context(), 5)), 0)
}
