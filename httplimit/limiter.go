// Package httplimit bounds what the clients of an HTTP server can make its
// process hold, whether or not they behave.
//
// A server accepts a limited number of connections. A connection waits for its
// client while a request has not arrived or only a part of it has, and while the
// client does not read an answer. If all places are taken, the connection that
// has waited for the longest time is closed to make room for the next one. A
// connection whose request is being handled is not closed.
//
// What a request takes beyond a small allowance is reserved from the memory of
// all requests before it is read. A request for which there is no memory in
// time is refused, and has not reached its handler or will not run.
package httplimit

import (
	"container/list"
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"golang.org/x/sync/semaphore"
)

// Times of a connection.
const (
	bodyTimeout  = 5 * time.Minute // for a whole body
	writeTimeout = 10 * time.Second
	// discardTimeout bounds the wait for the rest of a request that is answered
	// before all of it has arrived.
	discardTimeout = 500 * time.Millisecond
	// minWait is the time for which a connection may wait for its client before
	// it has to make room.
	minWait = 500 * time.Millisecond
	// recheckInterval is the time between two searches for a connection that
	// can make room.
	recheckInterval = 20 * time.Millisecond
)

// Limiter bounds the clients of one server.
type Limiter struct {
	limits   Limits
	requests func() RequestLimits
	metrics  metrics

	mu       sync.Mutex
	open     int // connections that are not closed
	evicting int // open connections that have been told to make room
	// unproven and served hold the connections that wait for their client, in the
	// order in which they began to. Those that have had a request served are in
	// served.
	unproven, served *list.List
	released         chan struct{} // receives a signal when a connection was closed
	memoryWaits      int           // connections that wait for memory
	isReclaiming     bool          // reclaimMemory runs
	holders          *list.List    // connections that hold memory, in the order in which they began to

	memory   *semaphore.Weighted // for requests that are being read or handled
	decoding *semaphore.Weighted // for bodies that are being decoded
}

// New returns a limiter. Its errors are those of the meter.
func New(o Options) (*Limiter, error) {
	if o.Limits == (Limits{}) {
		o.Limits = Host{}.Main()
	}
	if o.Requests == nil {
		o.Requests = func() RequestLimits { return RequestLimits{} }
	}
	if o.Meter == nil {
		o.Meter = noop.Meter{}
	}
	l := &Limiter{
		limits: o.Limits, requests: o.Requests, unproven: list.New(), served: list.New(), holders: list.New(), released: make(chan struct{}, 1),
		memory: semaphore.NewWeighted(o.Limits.RequestBytes), decoding: semaphore.NewWeighted(o.Limits.DecodeBytes),
	}
	var err error
	l.metrics, err = newMetrics(o, l)
	return l, err
}

// NewServer returns a server for listeners that Listen has returned.
func (l *Limiter) NewServer(handler http.Handler) *http.Server {
	return &http.Server{
		Handler:        limitRequests(handler),
		MaxHeaderBytes: 1 << 20, // the connections have a lower limit
		ConnContext: func(ctx context.Context, c net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, c)
		},
		ConnState: func(c net.Conn, state http.ConnState) {
			if limited, ok := c.(*conn); ok {
				limited.changeState(state)
			}
		},
	}
}

func (l *Limiter) add(accepted net.Conn) *conn {
	c := &conn{Conn: accepted, limiter: l}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.open++
	return c
}

// makeRoom closes connections until there are no more than the limit. It
// returns false if the listener is closed before.
func (l *Limiter) makeRoom(listenerClosed <-chan struct{}) bool {
	for {
		l.mu.Lock()
		hasRoom := l.open <= l.limits.Connections
		if !hasRoom && l.open-l.evicting > l.limits.Connections {
			if c := l.longestWaiting(time.Now()); c != nil {
				l.evict(c, reasonConnections)
			}
		}
		l.mu.Unlock()
		if hasRoom {
			return true
		}
		select {
		case <-l.released:
		case <-time.After(recheckInterval):
		case <-listenerClosed:
			return false
		}
	}
}

// longestWaiting returns the connection that has to make room next, or nil if
// each has waited for less than minWait. The caller holds mu.
func (l *Limiter) longestWaiting(now time.Time) *conn {
	for _, queue := range []*list.List{l.unproven, l.served} {
		if first := queue.Front(); first != nil {
			if c := first.Value.(*conn); now.Sub(c.waitingSince) >= minWait {
				return c
			}
		}
	}
	return nil
}

// enqueue records that a connection waits for its client from now on. The
// caller holds mu.
func (l *Limiter) enqueue(c *conn, now time.Time) {
	if c.queue != nil || c.closed || c.evicted.Load() {
		return
	}
	c.waitingSince = now
	c.queue = l.unproven
	if c.hasServed {
		c.queue = l.served
	}
	c.element = c.queue.PushBack(c)
}

// dequeue records that a connection does not wait for its client. The caller
// holds mu.
func (l *Limiter) dequeue(c *conn) {
	if c.queue != nil {
		c.queue.Remove(c.element)
		c.queue, c.element = nil, nil
	}
}

// evict ends the wait of a connection, whose server then closes it. The caller
// holds mu.
func (l *Limiter) evict(c *conn, reason string) {
	l.dequeue(c)
	c.evicted.Store(true)
	l.evicting++
	if c.cancelMemoryWait != nil {
		c.cancelMemoryWait()
	}
	l.metrics.countEviction(reason)
	_ = c.SetDeadline(longAgo) // fails only on a closed connection
}

// remove forgets a closed connection.
func (l *Limiter) remove(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		return
	}
	c.closed = true
	l.dequeue(c)
	l.release(c, 0)
	l.open--
	if c.evicted.Load() {
		l.evicting--
	}
	select {
	case l.released <- struct{}{}:
	default: // a signal is pending already
	}
}

// usage returns the number of open connections and the reserved memory in bytes.
func (l *Limiter) usage() (connections int, memory int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for element := l.holders.Front(); element != nil; element = element.Next() {
		memory += element.Value.(*conn).heldBytes
	}
	return l.open, memory
}
