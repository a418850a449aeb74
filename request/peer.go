package request

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

const (
	// pingAfterSilence is the time without a received message after which a
	// connection with calls in flight is tested with a ping.
	pingAfterSilence = 250 * time.Millisecond
	// pingTimeout bounds the wait for the answer to a ping.
	pingTimeout = 250 * time.Millisecond
	// connectTimeout bounds the establishment of a connection.
	connectTimeout = time.Second
)

// UnresponsiveConnectionError reports a connection that was replaced because it
// no longer carried traffic.
type UnresponsiveConnectionError struct {
	Address   string
	SilentFor time.Duration
}

func (e *UnresponsiveConnectionError) Error() string {
	return fmt.Sprintf("connection to agent %s received nothing for %v", e.Address, e.SilentFor)
}

// notSentError reports a request that was never written to a connection.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// peer makes calls to one agent over a current connection. It monitors the
// connection while calls are in flight. When a ping stays unanswered, it
// replaces the connection, and the calls on it end with
// *UnresponsiveConnectionError.
type peer struct {
	address   string
	dial      func(address string) (AgentConn, error)
	onReplace func(address string) // called after each replacement

	mu         sync.Mutex
	conn       *agentConnection // current connection, nil before the first call and after a failure
	lastUsed   time.Time        // start of the last call
	closed     bool
	clockBound agentClockReading // highest known lower bound of the agent's clock
}

// agentConnection is one connection to an agent with the calls in flight on it.
// The lock of its peer guards it.
type agentConnection struct {
	conn         AgentConn
	lastReceived time.Time // last message received, or start of the first call in flight
	calls        map[*inFlightCall]struct{}
	closing      bool // to be closed when no calls are in flight
	monitored    bool // its monitor goroutine runs
}

type inFlightCall struct {
	cancel context.CancelCauseFunc
}

// agentClockReading is a lower bound of the monotonic clock of one agent
// incarnation.
type agentClockReading struct {
	incarnation string
	reading     time.Duration
	readAt      time.Time // time at this entry at which the agent's clock had reached reading
}

// boundNow returns the lower bound at the current time.
func (c agentClockReading) boundNow() time.Duration { return c.reading + time.Since(c.readAt) }

// call runs send on the current connection, or on a new connection if the
// current connection is avoid. It returns the connection that was used, and
// *notSentError if nothing was sent.
func (p *peer) call(ctx context.Context, avoid *agentConnection, send func(ctx context.Context, conn AgentConn) error) (*agentConnection, error) {
	c, err := p.currentConn(avoid)
	if err != nil {
		return nil, &notSentError{err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	call := &inFlightCall{cancel: cancel}
	p.beginCall(c, call)
	defer p.endCall(c, call)
	ready, stop := context.WithTimeout(ctx, connectTimeout)
	err = c.conn.Ready(ready)
	stop()
	if err != nil {
		p.discard(c)
		return c, &notSentError{err}
	}
	err = send(ctx, c.conn)
	if err == nil {
		p.recordReceived(c)
		return c, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return c, fmt.Errorf("agent %s: %w", p.address, cause)
	}
	return c, fmt.Errorf("agent %s: %w", p.address, err)
}

// currentConn returns the current connection. If there is none, or if it is
// avoid, a new connection becomes the current one.
func (p *peer) currentConn(avoid *agentConnection) (*agentConnection, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &structs.UnavailableError{Dependency: "agent " + p.address}
	}
	if p.conn != nil && p.conn != avoid {
		return p.conn, nil
	}
	return p.redial()
}

// redial makes a new connection the current one. The previous connection is
// closed when no calls are in flight on it. The caller holds the lock.
func (p *peer) redial() (*agentConnection, error) {
	conn, err := p.dial(p.address)
	if err != nil {
		return nil, &structs.UnavailableError{Dependency: "agent " + p.address, Err: err}
	}
	p.closeWhenIdle(p.conn)
	p.conn = &agentConnection{conn: conn, lastReceived: time.Now(), calls: map[*inFlightCall]struct{}{}}
	return p.conn, nil
}

// discard abandons a connection that failed, so that the next call dials a new
// one.
func (p *peer) discard(c *agentConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closeWhenIdle(c)
	if p.conn == c {
		p.conn = nil
	}
}

// closeWhenIdle closes a connection as soon as no calls are in flight on it.
// The caller holds the lock.
func (p *peer) closeWhenIdle(c *agentConnection) {
	if c == nil || c.closing {
		return
	}
	c.closing = true
	if len(c.calls) == 0 {
		_ = c.conn.Close()
	}
}

func (p *peer) beginCall(c *agentConnection, call *inFlightCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(c.calls) == 0 {
		c.lastReceived = time.Now()
	}
	c.calls[call] = struct{}{}
	p.lastUsed = time.Now()
	if !c.monitored {
		c.monitored = true
		go p.monitor(c)
	}
}

func (p *peer) endCall(c *agentConnection, call *inFlightCall) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(c.calls, call)
	if c.closing && len(c.calls) == 0 {
		_ = c.conn.Close()
	}
}

func (p *peer) recordReceived(c *agentConnection) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c.lastReceived = time.Now()
}

// monitor pings a silent connection and replaces it if the ping fails. It
// returns when no calls are in flight on the connection.
func (p *peer) monitor(c *agentConnection) {
	for {
		silence, idle := p.silenceOf(c)
		if idle {
			return
		}
		if silence < pingAfterSilence {
			time.Sleep(pingAfterSilence - silence)
			continue
		}
		if !p.ping(c) {
			p.replaceSilent(c, silence+pingTimeout)
		}
	}
}

// silenceOf returns the time since a message was received on the connection.
// idle reports that no calls are in flight, in which case the monitor must
// return.
func (p *peer) silenceOf(c *agentConnection) (silence time.Duration, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(c.calls) == 0 {
		c.monitored = false
		return 0, true
	}
	return time.Since(c.lastReceived), false
}

// ping reports whether the connection carries traffic in both directions.
func (p *peer) ping(c *agentConnection) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	response, err := c.conn.Ping(ctx, &daisywallpb.PingRequest{})
	if err != nil {
		return false
	}
	p.recordReceived(c)
	p.raiseClockBound(agentClockReading{response.Incarnation, time.Duration(response.AgentClockMs) * time.Millisecond, time.Now()})
	return true
}

// replaceSilent makes a new connection the current one and cancels the calls on
// the silent one.
func (p *peer) replaceSilent(silent *agentConnection, silence time.Duration) {
	cause := &UnresponsiveConnectionError{Address: p.address, SilentFor: silence}
	p.mu.Lock()
	if p.conn == silent {
		if _, err := p.redial(); err != nil {
			p.closeWhenIdle(silent)
			p.conn = nil
		}
	}
	silent.lastReceived = time.Now()
	calls := make([]*inFlightCall, 0, len(silent.calls))
	for call := range silent.calls {
		calls = append(calls, call)
	}
	p.mu.Unlock()
	p.onReplace(p.address)
	for _, call := range calls {
		call.cancel(cause)
	}
}

// raiseClockBound stores a reading if it belongs to another incarnation or is a
// higher bound than the stored one.
func (p *peer) raiseClockBound(reading agentClockReading) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clockBound.incarnation != reading.incarnation || reading.boundNow() > p.clockBound.boundNow() {
		p.clockBound = reading
	}
}

// clockBoundOf returns the higher of the stored bound and other if both belong
// to the same agent incarnation, otherwise other.
func (p *peer) clockBoundOf(other agentClockReading) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clockBound.incarnation != other.incarnation {
		return other.boundNow()
	}
	return max(p.clockBound.boundNow(), other.boundNow())
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.closeWhenIdle(p.conn)
}

// peers holds the peer of each agent address.
type peers struct {
	dial      func(address string) (AgentConn, error)
	onReplace func(address string)

	mu        sync.Mutex
	byAddress map[string]*peer
}

func (s *peers) get(address string) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.byAddress[address]
	if !found {
		p = &peer{address: address, dial: s.dial, onReplace: s.onReplace}
		s.byAddress[address] = p
	}
	return p
}

// closeUnused closes the peers that have no calls in flight and have not been
// used for the given time.
func (s *peers) closeUnused(unused time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.byAddress {
		if p.isUnusedFor(unused) {
			p.close()
			delete(s.byAddress, address)
		}
	}
}

func (p *peer) isUnusedFor(unused time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.conn == nil || len(p.conn.calls) == 0) && time.Since(p.lastUsed) >= unused
}
