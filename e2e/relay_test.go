package e2e

import (
	"errors"
	"io"
	"net"
	"sync"
	"testing"
)

// relay forwards TCP connections to an address. Those that are open can be
// made silent for good while new ones work.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	pairs []*pair
}

// pair is one relayed connection. Silencing it blocks both directions without
// closing anything.
type pair struct {
	in, out net.Conn
	mu      sync.RWMutex // held for writing while silent
}

func newRelay(t testing.TB, to string) *relay {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	r := &relay{listener: listener, to: to}
	go r.accept()
	t.Cleanup(r.close)
	return r
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		in, err := r.listener.Accept()
		if err != nil {
			return
		}
		out, err := net.Dial("tcp", r.to)
		if err != nil {
			in.Close()
			continue
		}
		p := &pair{in: in, out: out}
		r.mu.Lock()
		r.pairs = append(r.pairs, p)
		r.mu.Unlock()
		go p.copy(out, in)
		go p.copy(in, out)
	}
}

func (p *pair) copy(to, from net.Conn) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		p.mu.RLock()
		_, writeErr := to.Write(buffer[:n])
		p.mu.RUnlock()
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

// silence stops all traffic on the connections that are open now and returns
// their number.
func (r *relay) silence() int {
	r.mu.Lock()
	defer r.mu.Unlock()
	silenced := len(r.pairs)
	for _, p := range r.pairs {
		p.mu.Lock()
	}
	r.pairs = nil
	return silenced
}

func (r *relay) close() {
	r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, p := range r.pairs {
		p.in.Close()
		p.out.Close()
	}
}
