package httplimit

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Times and sizes of reserved memory.
const (
	reserveTimeout  = time.Second // longest wait for memory
	reclaimInterval = 5 * time.Millisecond
	// unreadBytes is what the operating system may hold of a client while its
	// connection waits for memory.
	unreadBytes = 64 << 10
	// retryAfter is the delay after which a refused caller should come back.
	retryAfter = time.Second
)

// reserve reserves n bytes for the current request of a connection. It returns
// *structs.NotRunError if there is no memory in time.
func (l *Limiter) reserve(ctx context.Context, c *conn, n int64) error {
	if n <= 0 {
		return nil
	}
	if l.memory.TryAcquire(n) {
		l.hold(c, n)
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, reserveTimeout)
	defer cancel()
	if n > l.limits.RequestBytes || !l.startMemoryWait(c, cancel) {
		return l.refuse(refusalMemory)
	}
	err := l.memory.Acquire(ctx, n)
	l.endMemoryWait(c)
	if err != nil {
		return l.refuse(refusalMemory)
	}
	l.hold(c, n)
	return nil
}

func (l *Limiter) refuse(reason string) error {
	l.metrics.countRefusal(reason)
	return &structs.NotRunError{Reason: structs.ReasonNoRoom, RetryAfter: retryAfter}
}

// startMemoryWait records that a connection waits for memory until cancel is
// called. It returns false if too many do.
func (l *Limiter) startMemoryWait(c *conn, cancel context.CancelFunc) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.memoryWaits >= max(1, int(l.limits.RequestBytes/4/unreadBytes)) || c.evicted.Load() {
		return false
	}
	l.memoryWaits++
	c.cancelMemoryWait = cancel
	if !l.isReclaiming {
		l.isReclaiming = true
		go l.reclaimMemory()
	}
	return true
}

func (l *Limiter) endMemoryWait(c *conn) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.memoryWaits--
	c.cancelMemoryWait = nil
}

// reclaimMemory evicts connections one after another while others wait for
// memory: first the one that has held memory for the longest time, of those
// that wait for their client.
func (l *Limiter) reclaimMemory() {
	for {
		l.mu.Lock()
		if l.memoryWaits == 0 {
			l.isReclaiming = false
			l.mu.Unlock()
			return
		}
		if c := l.longestHolder(time.Now()); c != nil {
			l.evict(c, reasonMemory)
		}
		l.mu.Unlock()
		time.Sleep(reclaimInterval)
	}
}

// longestHolder returns the connection that has to release its memory next, or
// nil if each holds it for less than minWait. The caller holds mu.
func (l *Limiter) longestHolder(now time.Time) *conn {
	for element := l.holders.Front(); element != nil; element = element.Next() {
		c := element.Value.(*conn)
		if now.Sub(c.holdsSince) < minWait {
			return nil
		}
		if c.queue != nil {
			return c
		}
	}
	return nil
}

// hold records reserved memory of a connection.
func (l *Limiter) hold(c *conn, n int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if c.closed {
		l.memory.Release(n)
		return
	}
	if c.heldBytes == 0 {
		c.holdsSince = time.Now()
		c.holdElement = l.holders.PushBack(c)
	}
	c.heldBytes += n
}

// release releases the memory of a connection but for keep bytes. The caller
// holds mu.
func (l *Limiter) release(c *conn, keep int64) {
	if c.heldBytes <= keep {
		return
	}
	l.memory.Release(c.heldBytes - keep)
	c.heldBytes = keep
	if keep == 0 {
		l.holders.Remove(c.holdElement)
		c.holdElement = nil
	}
}

// held returns the reserved memory of a connection.
func (c *conn) held() int64 {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	return c.heldBytes
}

// releaseTo releases the memory of a connection but for keep bytes.
func (c *conn) releaseTo(keep int64) {
	c.limiter.mu.Lock()
	defer c.limiter.mu.Unlock()
	c.limiter.release(c, keep)
}
