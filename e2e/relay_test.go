package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to an address. Its open connections can be
// silenced for good. Connections that are opened later are forwarded.
type relay struct {
	listener net.Listener
	upstream string

	mu          sync.Mutex
	connections []*relayedConnection
}

// relayedConnection is one forwarded connection. While it is silenced, both
// directions are blocked and neither side is closed.
type relayedConnection struct {
	downstream, upstream net.Conn
	mu                   sync.RWMutex // locked for writing while the connection is silent
}

func newRelay(t testing.TB, upstream string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, upstream: upstream}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		downstream, err := r.listener.Accept()
		if err != nil {
			return
		}
		upstream, err := net.Dial("tcp", r.upstream)
		if err != nil {
			downstream.Close()
			continue
		}
		c := &relayedConnection{downstream: downstream, upstream: upstream}
		r.mu.Lock()
		r.connections = append(r.connections, c)
		r.mu.Unlock()
		go c.copy(upstream, downstream)
		go c.copy(downstream, upstream)
	}
}

func (c *relayedConnection) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		c.mu.RLock()
		_, writeErr := to.Write(buffer[:n])
		c.mu.RUnlock()
		if err != nil || writeErr != nil {
			if errors.Is(err, io.EOF) {
				_ = to.(*net.TCPConn).CloseWrite()
			} else {
				to.Close()
			}
			return
		}
	}
}

// silence blocks all traffic on the connections that are open now and returns
// the number of these connections.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenced := len(r.connections)
	for _, c := range r.connections {
		c.mu.Lock()
	}
	r.connections = nil
	return silenced
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.connections {
		c.downstream.Close()
		c.upstream.Close()
	}
}
