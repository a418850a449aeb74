package httplimit

import (
	"net"
	"sync"
)

// Listen limits the connections that the listener accepts.
func (l *Limiter) Listen(listener net.Listener) net.Listener {
	return &limitedListener{Listener: listener, limiter: l, closed: make(chan struct{})}
}

// limitedListener is a net.Listener whose connections belong to a limiter.
type limitedListener struct {
	net.Listener
	limiter   *Limiter
	closeOnce sync.Once
	closed    chan struct{}
}

// Accept implements net.Listener. While there is no room for a connection, it
// leaves the following ones to the queue of the operating system.
func (s *limitedListener) Accept() (net.Conn, error) {
	accepted, err := s.Listener.Accept()
	if err != nil {
		return nil, err
	}
	c := s.limiter.add(accepted)
	if !s.limiter.makeRoom(s.closed) {
		_ = c.Close() // the listener is closed, which is reported
		return nil, net.ErrClosed
	}
	c.startWaiting()
	return c, nil
}

// Close implements net.Listener.
func (s *limitedListener) Close() error {
	s.closeOnce.Do(func() { close(s.closed) })
	return s.Listener.Close()
}
