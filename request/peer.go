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
	// silentAfter is the time without a message, while requests are in
	// flight, after which a connection is tested with a ping.
	silentAfter = 250 * time.Millisecond
	// pingTimeout is the time that a ping may stay unanswered.
	pingTimeout = 250 * time.Millisecond
	// connectTimeout bounds the establishment of a connection.
	connectTimeout = time.Second
)

// SilentConnectionError reports a connection that stopped carrying traffic.
type SilentConnectionError struct {
	Address string
	Silence time.Duration
}

func (e *SilentConnectionError) Error() string {
	return fmt.Sprintf("connection to agent %s was silent for %v", e.Address, e.Silence)
}

// notSentError reports a request that was never written to a connection.
type notSentError struct{ err error }

func (e *notSentError) Error() string { return "not sent: " + e.err.Error() }
func (e *notSentError) Unwrap() error { return e.err }

// peer is the connection of this entry to one agent. While requests are in
// flight it watches the connection, and replaces it when a ping stays
// unanswered; the requests on it end with *SilentConnectionError.
type peer struct {
	address string
	dial    func(address string) (AgentConn, error)
	onQuiet func(address string) // told of every replaced connection

	mu     sync.Mutex
	link   *link
	used   time.Time // last request
	closed bool
	clock  agentClock
}

// link is one connection with the requests on it.
type link struct {
	conn    AgentConn
	heard   time.Time // last message received, or first request sent
	flights map[*flight]struct{}
	retired bool // closed once the last flight ends
	watched bool // a monitor runs
}

type flight struct {
	cancel context.CancelCauseFunc
}

// agentClock is a lower bound of an agent's monotonic clock.
type agentClock struct {
	incarnation string
	reading     time.Duration
	at          time.Time
}

// now returns the lower bound at this moment.
func (c agentClock) now() time.Duration { return c.reading + time.Since(c.at) }

// call runs work on the current connection, or on a fresh one when avoid is
// the current one. It returns *notSentError when nothing was sent.
func (p *peer) call(ctx context.Context, avoid *link, work func(ctx context.Context, conn AgentConn) error) (*link, error) {
	l, err := p.current(avoid)
	if err != nil {
		return nil, &notSentError{err}
	}
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	f := &flight{cancel: cancel}
	p.begin(l, f)
	defer p.end(l, f)
	ready, stop := context.WithTimeout(ctx, connectTimeout)
	err = l.conn.Ready(ready)
	stop()
	if err != nil {
		p.drop(l)
		return l, &notSentError{err}
	}
	err = work(ctx, l.conn)
	if err == nil {
		p.heard(l)
		return l, nil
	}
	if cause := context.Cause(ctx); cause != nil {
		return l, fmt.Errorf("agent %s: %w", p.address, cause)
	}
	return l, fmt.Errorf("agent %s: %w", p.address, err)
}

// current returns the connection to use.
func (p *peer) current(avoid *link) (*link, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.closed {
		return nil, &structs.UnavailableError{Dependency: "agent " + p.address}
	}
	if p.link != nil && p.link != avoid {
		return p.link, nil
	}
	return p.renew()
}

// renew makes a fresh connection the current one. The former one is closed
// when its last request ends. The caller holds the lock.
func (p *peer) renew() (*link, error) {
	conn, err := p.dial(p.address)
	if err != nil {
		return nil, &structs.UnavailableError{Dependency: "agent " + p.address, Err: err}
	}
	p.retire(p.link)
	p.link = &link{conn: conn, heard: time.Now(), flights: map[*flight]struct{}{}}
	return p.link, nil
}

// drop lets the next request dial anew after a connection failed.
func (p *peer) drop(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.retire(l)
	if p.link == l {
		p.link = nil
	}
}

// retire closes a connection once it is unused. The caller holds the lock.
func (p *peer) retire(l *link) {
	if l == nil || l.retired {
		return
	}
	l.retired = true
	if len(l.flights) == 0 {
		_ = l.conn.Close()
	}
}

func (p *peer) begin(l *link, f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.flights) == 0 {
		l.heard = time.Now()
	}
	l.flights[f] = struct{}{}
	p.used = time.Now()
	if !l.watched {
		l.watched = true
		go p.monitor(l)
	}
}

func (p *peer) end(l *link, f *flight) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(l.flights, f)
	if l.retired && len(l.flights) == 0 {
		_ = l.conn.Close()
	}
}

func (p *peer) heard(l *link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	l.heard = time.Now()
}

// monitor tests a connection while requests are in flight on it.
func (p *peer) monitor(l *link) {
	for {
		silence, idle := p.quiet(l)
		if idle {
			return
		}
		if silence < silentAfter {
			time.Sleep(silentAfter - silence)
			continue
		}
		if !p.ping(l) {
			p.replace(l, silence+pingTimeout)
		}
	}
}

// quiet returns how long a connection has been silent, or that no requests are
// in flight on it; its monitor then ends.
func (p *peer) quiet(l *link) (silence time.Duration, idle bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(l.flights) == 0 {
		l.watched = false
		return 0, true
	}
	return time.Since(l.heard), false
}

// ping reports whether the connection carries traffic both ways.
func (p *peer) ping(l *link) bool {
	ctx, cancel := context.WithTimeout(context.Background(), pingTimeout)
	defer cancel()
	response, err := l.conn.Ping(ctx, &daisywallpb.PingRequest{})
	if err != nil {
		return false
	}
	p.heard(l)
	p.learnClock(agentClock{response.Incarnation, time.Duration(response.AgentClockMs) * time.Millisecond, time.Now()})
	return true
}

// replace makes a fresh connection the current one and ends the requests on
// the silent one.
func (p *peer) replace(silent *link, silence time.Duration) {
	cause := &SilentConnectionError{Address: p.address, Silence: silence}
	p.mu.Lock()
	if p.link == silent {
		if _, err := p.renew(); err != nil {
			p.retire(silent)
			p.link = nil
		}
	}
	silent.heard = time.Now()
	flights := make([]*flight, 0, len(silent.flights))
	for f := range silent.flights {
		flights = append(flights, f)
	}
	p.mu.Unlock()
	p.onQuiet(p.address)
	for _, f := range flights {
		f.cancel(cause)
	}
}

// learnClock keeps the highest lower bound of the agent's clock.
func (p *peer) learnClock(reading agentClock) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock.incarnation != reading.incarnation || reading.now() > p.clock.now() {
		p.clock = reading
	}
}

// clockOf returns a lower bound of the clock of the agent's incarnation.
func (p *peer) clockOf(other agentClock) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.clock.incarnation != other.incarnation {
		return other.now()
	}
	return max(p.clock.now(), other.now())
}

func (p *peer) close() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.closed = true
	p.retire(p.link)
}

// peers holds the connections to agents by address.
type peers struct {
	dial    func(address string) (AgentConn, error)
	onQuiet func(address string)

	mu        sync.Mutex
	byAddress map[string]*peer
}

func (s *peers) get(address string) *peer {
	s.mu.Lock()
	defer s.mu.Unlock()
	p, found := s.byAddress[address]
	if !found {
		p = &peer{address: address, dial: s.dial, onQuiet: s.onQuiet}
		s.byAddress[address] = p
	}
	return p
}

// closeUnused closes the connections that were not used for the time.
func (s *peers) closeUnused(unused time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, p := range s.byAddress {
		if p.unusedFor(unused) {
			p.close()
			delete(s.byAddress, address)
		}
	}
}

func (p *peer) unusedFor(unused time.Duration) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return (p.link == nil || len(p.link.flights) == 0) && time.Since(p.used) >= unused
}
