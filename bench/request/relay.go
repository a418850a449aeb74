package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards TCP connections to an address. Its connections can be made
// silent for good; new ones work.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*relayed
}

// relayed is one connection with both of its ends.
type relayed struct {
	ends   [2]net.Conn
	silent atomic.Bool
}

func startRelay(to string) (*relay, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	r := &relay{listener: listener, to: to}
	go r.accept()
	return r, nil
}

func (r *relay) address() string { return r.listener.Addr().String() }

func (r *relay) accept() {
	for {
		near, err := r.listener.Accept()
		if err != nil {
			return
		}
		far, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = near.Close()
			continue
		}
		c := &relayed{ends: [2]net.Conn{near, far}}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(near, far)
		go c.copy(far, near)
	}
}

// copy moves bytes until an end closes; a silent connection swallows them.
func (c *relayed) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			continueSilent(from, buffer, err)
			return
		}
		if n > 0 {
			if _, err := to.Write(buffer[:n]); err != nil {
				break
			}
		}
		if err != nil {
			break
		}
	}
	for _, end := range c.ends {
		_ = end.Close()
	}
}

// continueSilent swallows bytes and never tells the other end.
func continueSilent(from io.Reader, buffer []byte, err error) {
	for err == nil {
		_, err = from.Read(buffer)
	}
}

// silence makes all present connections silent.
func (r *relay) silence() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		c.silent.Store(true)
	}
}

func (r *relay) stop() {
	_ = r.listener.Close()
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, c := range r.conns {
		for _, end := range c.ends {
			_ = end.Close()
		}
	}
}
