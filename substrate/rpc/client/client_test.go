package client_test

import (
	"context"
	"net"
	"sync"
	"testing"
	"testing/synctest"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/substrate/rpc/client"
)

// fakeNetwork dials an in-memory listener. Its connections can be made to hang.
type fakeNetwork struct {
	listener *bufconn.Listener

	mu    sync.Mutex
	conns []*hangingConn
	down  bool
}

// hangingConn discards what is written to it while hanging is set.
type hangingConn struct {
	net.Conn
	mu      sync.Mutex
	hanging bool
}

func (c *hangingConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.hanging {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (n *fakeNetwork) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	conn, err := n.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	c := &hangingConn{Conn: conn}
	n.conns = append(n.conns, c)
	return c, nil
}

// hangConnections makes every open connection hang. New connections work.
func (n *fakeNetwork) hangConnections() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.hanging = true
		c.mu.Unlock()
	}
}

func (n *fakeNetwork) setDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

func testOverFakeNetwork(t *testing.T, check func(is *is.I, n *fakeNetwork, p *standin.Platform, table substrate.Table)) {
	synctest.Test(t, func(t *testing.T) {
		n := &fakeNetwork{listener: bufconn.Listen(1 << 20)}
		p := standin.NewPlatform()
		server := grpc.NewServer()
		p.Register(server)
		go func() { _ = server.Serve(n.listener) }()
		defer server.Stop()
		conn, err := client.Dial("passthrough:///platform", client.Options{
			Timeout: callTimeout, Dial: []grpc.DialOption{grpc.WithContextDialer(n.dial)},
		})
		if err != nil {
			t.Fatal(err)
		}
		defer conn.Close()
		check(is.New(t), n, p, conn.Table())
	})
}

func commit(table substrate.Table, id string) error {
	_, err := table.Commit(context.Background(), substrate.Txn{ID: id, Puts: []substrate.Put{put("k", id)}})
	return err
}

func TestCommitWithoutAConnectionIsUnavailable(t *testing.T) {
	testOverFakeNetwork(t, func(is *is.I, n *fakeNetwork, _ *standin.Platform, table substrate.Table) {
		n.setDown(true)
		is.True(isError[*structs.UnavailableError](commit(table, "t")))
	})
}

func TestCommitOnAHungConnectionHasUnknownOutcomeAndTheNextReconnects(t *testing.T) {
	testOverFakeNetwork(t, func(is *is.I, n *fakeNetwork, _ *standin.Platform, table substrate.Table) {
		is.NoErr(commit(table, "t1"))
		n.hangConnections()
		is.True(isError[*structs.UnknownOutcomeError](commit(table, "t2")))
		is.NoErr(commit(table, "t3"))
	})
}

func TestCommitOnAClosedConnectionHasUnknownOutcome(t *testing.T) {
	testOverFakeNetwork(t, func(is *is.I, n *fakeNetwork, p *standin.Platform, table substrate.Table) {
		is.NoErr(commit(table, "t1"))
		p.Table.Faults.Pause()
		defer p.Table.Faults.Clear()
		result := make(chan error)
		go func() { result <- commit(table, "t2") }()
		synctest.Wait()
		n.mu.Lock()
		for _, c := range n.conns {
			_ = c.Close()
		}
		n.mu.Unlock()
		is.True(isError[*structs.UnknownOutcomeError](<-result))
	})
}
