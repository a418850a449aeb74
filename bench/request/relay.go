package main

import (
	"io"
	"net"
	"sync"
	"sync/atomic"
)

// relay forwards TCP connections to an address. It can silence its open
// connections, which then drop all data. Later connections work.
type relay struct {
	listener net.Listener
	to       string

	mu    sync.Mutex
	conns []*relayedConn
}

// relayedConn is one connection with both of its ends.
type relayedConn struct {
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
		client, err := r.listener.Accept()
		if err != nil {
			return
		}
		server, err := net.Dial("tcp", r.to)
		if err != nil {
			_ = client.Close()
			continue
		}
		c := &relayedConn{ends: [2]net.Conn{client, server}}
		r.mu.Lock()
		r.conns = append(r.conns, c)
		r.mu.Unlock()
		go c.copy(client, server)
		go c.copy(server, client)
	}
}

// copy forwards data until an end closes. On a silenced connection it drops the
// data.
func (c *relayedConn) copy(to io.Writer, from io.Reader) {
	buffer := make([]byte, 64<<10)
	for {
		n, err := from.Read(buffer)
		if c.silent.Load() {
			discardUntilClosed(from, buffer, err)
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

// discardUntilClosed reads and drops data until from is closed. It does not
// close the other end.
func discardUntilClosed(from io.Reader, buffer []byte, err error) {
	for err == nil {
		_, err = from.Read(buffer)
	}
}

// silenceAll silences all open connections.
func (r *relay) silenceAll() {
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
