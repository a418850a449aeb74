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

// network dials a listener in memory. Its connections can go silent.
type network struct {
	listener *bufconn.Listener

	mu    sync.Mutex
	conns []*silentConn
	down  bool
}

// silentConn drops what is written to it once it is silent.
type silentConn struct {
	net.Conn
	mu     sync.Mutex
	silent bool
}

func (c *silentConn) Write(p []byte) (int, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.silent {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (n *network) dial(ctx context.Context, _ string) (net.Conn, error) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.down {
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
	conn, err := n.listener.DialContext(ctx)
	if err != nil {
		return nil, err
	}
	c := &silentConn{Conn: conn}
	n.conns = append(n.conns, c)
	return c, nil
}

// silence lets every open connection go silent. New ones work.
func (n *network) silence() {
	n.mu.Lock()
	defer n.mu.Unlock()
	for _, c := range n.conns {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (n *network) setDown(down bool) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.down = down
}

func onNetwork(t *testing.T, check func(is *is.I, n *network, p *standin.Platform, table substrate.Table)) {
	synctest.Test(t, func(t *testing.T) {
		n := &network{listener: bufconn.Listen(1 << 20)}
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

func TestCommitBeforeAConnectionHadNoEffect(t *testing.T) {
	onNetwork(t, func(is *is.I, n *network, _ *standin.Platform, table substrate.Table) {
		n.setDown(true)
		is.True(isError[*structs.UnavailableError](commit(table, "t")))
	})
}

func TestCommitOnASilentConnectionIsUnknownAndTheNextUsesAFreshOne(t *testing.T) {
	onNetwork(t, func(is *is.I, n *network, _ *standin.Platform, table substrate.Table) {
		is.NoErr(commit(table, "t1"))
		n.silence()
		is.True(isError[*structs.UnknownOutcomeError](commit(table, "t2")))
		is.NoErr(commit(table, "t3"))
	})
}

func TestCommitOnACutConnectionIsUnknown(t *testing.T) {
	onNetwork(t, func(is *is.I, n *network, p *standin.Platform, table substrate.Table) {
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
