package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// direction is a direction of the bytes on a link.
type direction int

const (
	toUpstream direction = iota // bytes from the connecting side
	fromUpstream
)

// linkFault is a fault that a link applies to its connections.
type linkFault struct {
	delay      time.Duration // delay of each chunk of bytes
	isDropping [2]bool       // whether the bytes are dropped, by direction
}

// link is a loopback proxy in front of an address. A connection that has lost
// bytes stays silent until it is closed, also after the fault has ended.
type link struct {
	listenAddress, upstream string
	isBlocked               func() bool // reports whether a host at either end of the link is isolated

	mu          sync.Mutex
	listener    net.Listener // nil while the link refuses connections
	fault       linkFault
	connections map[*linkConnection]struct{}
}

// linkConnection is one proxied connection. All its bytes are dropped while it is
// silent.
type linkConnection struct {
	downstream, upstream net.Conn
	mu                   sync.Mutex
	silent               bool
}

func newLink(upstream string, isBlocked func() bool) (*link, error) {
	return newLinkAt("127.0.0.1:0", upstream, isBlocked)
}

// newLinkAt returns a link that listens at the address. A link that refuses
// connections for some time needs a reserved port.
func newLinkAt(address, upstream string, isBlocked func() bool) (*link, error) {
	l := &link{listenAddress: address, upstream: upstream, isBlocked: isBlocked, connections: map[*linkConnection]struct{}{}}
	if err := l.listen(); err != nil {
		return nil, err
	}
	l.listenAddress = l.listener.Addr().String()
	return l, nil
}

func (l *link) address() string { return l.listenAddress }

// listen accepts connections from now on.
func (l *link) listen() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.listener != nil {
		return nil
	}
	listener, err := net.Listen("tcp", l.listenAddress)
	if err != nil {
		return err
	}
	l.listener = listener
	go l.accept(listener)
	return nil
}

// refuse ends the open connections and refuses new ones until the next listen.
func (l *link) refuse() {
	l.mu.Lock()
	if l.listener != nil {
		l.listener.Close()
		l.listener = nil
	}
	l.mu.Unlock()
	l.resetAll()
}

func (l *link) accept(listener net.Listener) {
	for {
		downstream, err := listener.Accept()
		if err != nil {
			return
		}
		go l.connect(downstream)
	}
}

func (l *link) connect(downstream net.Conn) {
	upstream, err := net.DialTimeout("tcp", l.upstream, time.Second)
	if err != nil {
		reset(downstream) // resets the connection as a port without a listener does
		return
	}
	c := &linkConnection{downstream: downstream, upstream: upstream}
	l.mu.Lock()
	l.connections[c] = struct{}{}
	l.mu.Unlock()
	var forwarding sync.WaitGroup
	forwarding.Go(func() { l.forward(c, upstream, downstream, toUpstream) })
	forwarding.Go(func() { l.forward(c, downstream, upstream, fromUpstream) })
	forwarding.Wait()
	downstream.Close()
	upstream.Close()
	l.mu.Lock()
	delete(l.connections, c)
	l.mu.Unlock()
}

// forward copies the bytes of one direction of a connection. On a silent
// connection it does not pass on that the other side has closed.
func (l *link) forward(c *linkConnection, to, from net.Conn, d direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		fault := l.fault
		l.mu.Unlock()
		time.Sleep(fault.delay)
		c.mu.Lock()
		c.silent = c.silent || fault.isDropping[d] || l.isBlocked()
		silent := c.silent
		c.mu.Unlock()
		if silent {
			if err != nil {
				return
			}
			continue
		}
		if n > 0 {
			if _, writeErr := to.Write(buffer[:n]); writeErr != nil {
				reset(from)
				return
			}
		}
		switch {
		case errors.Is(err, io.EOF):
			_ = to.(*net.TCPConn).CloseWrite()
			return
		case err != nil:
			reset(to)
			return
		}
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	c.Close()
}

func (l *link) setFault(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// resetAll resets the open connections.
func (l *link) resetAll() {
	for _, c := range l.openConnections() {
		reset(c.downstream)
		reset(c.upstream)
	}
}

// silenceAll makes the open connections silent until they are closed.
func (l *link) silenceAll() {
	for _, c := range l.openConnections() {
		c.mu.Lock()
		c.silent = true
		c.mu.Unlock()
	}
}

func (l *link) openConnections() []*linkConnection {
	l.mu.Lock()
	defer l.mu.Unlock()
	var connections []*linkConnection
	for c := range l.connections {
		connections = append(connections, c)
	}
	return connections
}

func (l *link) close() { l.refuse() }
