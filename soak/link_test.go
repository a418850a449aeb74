package soak

import (
	"errors"
	"io"
	"net"
	"sync"
	"time"
)

// direction of bytes on a link.
type direction int

const (
	forth direction = iota // from the side that connects
	back
)

// linkFault is what a link does to its connections.
type linkFault struct {
	delay time.Duration // of each chunk
	cut   [2]bool       // loses what goes in a direction
}

// link is a loopback proxy in front of an address. A connection that has lost
// bytes stays silent for good, also when the link works again.
type link struct {
	listener net.Listener
	to       string
	blocked  func() bool // whether one of the hosts at its ends is cut off

	mu    sync.Mutex
	fault linkFault
	pipes map[*pipe]struct{}
}

type pipe struct {
	in, out net.Conn
	mu      sync.Mutex
	silent  bool
}

func newLink(to string, blocked func() bool) (*link, error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	l := &link{listener: listener, to: to, blocked: blocked, pipes: map[*pipe]struct{}{}}
	go l.accept()
	return l, nil
}

func (l *link) address() string { return l.listener.Addr().String() }

func (l *link) accept() {
	for {
		in, err := l.listener.Accept()
		if err != nil {
			return
		}
		go l.connect(in)
	}
}

func (l *link) connect(in net.Conn) {
	out, err := net.DialTimeout("tcp", l.to, time.Second)
	if err != nil {
		reset(in) // as a port on which nothing listens
		return
	}
	p := &pipe{in: in, out: out}
	l.mu.Lock()
	l.pipes[p] = struct{}{}
	l.mu.Unlock()
	var both sync.WaitGroup
	both.Go(func() { l.pump(p, out, in, forth) })
	both.Go(func() { l.pump(p, in, out, back) })
	both.Wait()
	in.Close()
	out.Close()
	l.mu.Lock()
	delete(l.pipes, p)
	l.mu.Unlock()
}

// pump copies one direction. The end of a silent connection is not passed on.
func (l *link) pump(p *pipe, to, from net.Conn, d direction) {
	buffer := make([]byte, 32<<10)
	for {
		n, err := from.Read(buffer)
		l.mu.Lock()
		fault := l.fault
		l.mu.Unlock()
		time.Sleep(fault.delay)
		p.mu.Lock()
		p.silent = p.silent || fault.cut[d] || l.blocked()
		silent := p.silent
		p.mu.Unlock()
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

func (l *link) set(f linkFault) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.fault = f
}

// resetAll resets the open connections, silenceAll makes them silent.
func (l *link) resetAll() {
	for _, p := range l.open() {
		reset(p.in)
		reset(p.out)
	}
}

func (l *link) silenceAll() {
	for _, p := range l.open() {
		p.mu.Lock()
		p.silent = true
		p.mu.Unlock()
	}
}

func (l *link) open() []*pipe {
	l.mu.Lock()
	defer l.mu.Unlock()
	var pipes []*pipe
	for p := range l.pipes {
		pipes = append(pipes, p)
	}
	return pipes
}

func (l *link) close() {
	l.listener.Close()
	l.resetAll()
}
