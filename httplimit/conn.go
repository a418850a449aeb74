package httplimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"os"
	"sync/atomic"
	"time"
)

// longAgo is a deadline that has passed.
var longAgo = time.Unix(1, 0)

// phase is what a connection does.
type phase uint8

const (
	phaseIdle     phase = iota // no byte of the next request has arrived
	phaseHead                  // the head of a request is arriving
	phaseHandling              // the handler runs
)

// conn is a connection of a limited server.
type conn struct {
	net.Conn
	limiter *Limiter
	evicted atomic.Bool // the connection must be closed

	// The goroutine that serves the connection owns the fields below, but for
	// phase, which a background read of net/http reads too.
	phase      atomic.Uint32
	head       headUsage
	heldByHead int64 // reserved memory before the body

	// The limiter's mu guards the fields below.
	queue        *list.List // contains the connection while it waits for its client, else nil
	element      *list.Element
	waitingSince time.Time
	hasServed    bool
	closed       bool
	heldBytes    int64         // reserved memory
	holdElement  *list.Element // in the limiter's holders, nil without reserved memory
	holdsSince   time.Time
	// cancelMemoryWait ends the wait for memory, nil if there is none.
	cancelMemoryWait context.CancelFunc
}

type connKey struct{}

// connOf returns the connection of a request, or nil if it is not limited.
func connOf(ctx context.Context) *conn {
	c, _ := ctx.Value(connKey{}).(*conn)
	return c
}

// changeState follows the states of the server's connection. net/http reports
// StateActive after the head of a request and before it starts to read in the
// background.
func (c *conn) changeState(state http.ConnState) {
	switch state {
	case http.StateActive:
		c.phase.Store(uint32(phaseHandling))
		c.stopWaiting()
		_ = c.SetReadDeadline(time.Time{})
	case http.StateIdle:
		c.phase.Store(uint32(phaseIdle))
		c.limiter.mu.Lock()
		defer c.limiter.mu.Unlock()
		c.hasServed = true
		c.limiter.release(c, 0)
		c.limiter.enqueue(c, time.Now())
	}
}

// startWaiting records that the connection waits for its client, and reports
// whether it did not before.
func (c *conn) startWaiting() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	if c.queue != nil {
		return false
	}
	c.limiter.enqueue(c, time.Now())
	return true
}

func (c *conn) stopWaiting() {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.dequeue(c)
}

// Read implements net.Conn. It bounds the time, the size and the memory of the
// head of a request and the time between two requests.
func (c *conn) Read(b []byte) (int, error) {
	current := phase(c.phase.Load())
	if current == phaseHandling {
		return c.Conn.Read(b)
	}
	if c.head.refusal != nil {
		return 0, c.head.refusal
	}
	if err := c.setHeadDeadline(current); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(b)
	if n > 0 && current == phaseIdle {
		c.head = headUsage{since: time.Now(), limits: c.limiter.requests().withDefaults()}
		c.phase.Store(uint32(phaseHead))
	}
	if n > 0 {
		if refused := c.admitHead(b[:n]); refused != nil {
			return 0, refused
		}
	}
	return n, err
}

// setHeadDeadline sets the deadline of the next read outside of a body.
func (c *conn) setHeadDeadline(current phase) error {
	var deadline time.Time
	switch {
	case current == phaseHead:
		deadline = c.head.since.Add(c.head.limits.HeaderTimeout)
	case c.isNew():
		deadline = time.Now().Add(c.limiter.requests().withDefaults().HeaderTimeout)
	default:
		deadline = time.Now().Add(c.limiter.requests().withDefaults().IdleTimeout)
	}
	return c.SetReadDeadline(deadline)
}

func (c *conn) isNew() bool {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return !c.hasServed
}

// SetReadDeadline implements net.Conn. The deadline of an evicted connection
// has passed for good.
func (c *conn) SetReadDeadline(deadline time.Time) error {
	if err := c.Conn.SetReadDeadline(deadline); err != nil {
		return err
	}
	if c.evicted.Load() {
		_ = c.Conn.SetReadDeadline(longAgo)
		return os.ErrDeadlineExceeded
	}
	return nil
}

// Write implements net.Conn. A client that does not read must make room like
// one that does not send.
func (c *conn) Write(b []byte) (int, error) {
	timeout := writeTimeout
	if c.evicted.Load() {
		timeout = discardTimeout
	}
	if err := c.SetWriteDeadline(time.Now().Add(timeout)); err != nil {
		return 0, err
	}
	if phase(c.phase.Load()) == phaseHandling && c.startWaiting() {
		defer c.stopWaiting()
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *conn) Close() error {
	err := c.Conn.Close()
	c.limiter.remove(c)
	return err
}
