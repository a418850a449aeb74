package request

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

const (
	// retryAfterMin is the least time that a refusal asks callers to wait.
	retryAfterMin = 50 * time.Millisecond
	// serviceSmoothing is the weight of the latest service time.
	serviceSmoothing = 0.1
	// urgentReserve is the part of the limit, as a divisor, that deferred
	// requests leave free for urgent ones.
	urgentReserve = 4
	// pressureTime is the time for which deferred requests are refused after
	// an urgent one was.
	pressureTime = 200 * time.Millisecond
	// starvedMin and starvedMax bound the time for which no deferred request
	// may wait after one waited in vain. It doubles each time.
	starvedMin = 500 * time.Millisecond
	starvedMax = 4 * time.Second
	// deferredQueue is the part of the queue, as a divisor, that deferred
	// requests may fill.
	deferredQueue = 4
	// gapSmoothing is the weight of the latest gap between starts of waiting
	// deferred requests.
	gapSmoothing = 0.2
)

// refusal says why a request was not admitted.
type refusal struct {
	reason     structs.Reason
	retryAfter time.Duration
}

func (r *refusal) asError() *structs.NotRunError {
	return &structs.NotRunError{Reason: r.reason, RetryAfter: r.retryAfter}
}

// gate admits requests up to a limit and queues a bounded number. Urgent
// requests go before deferred ones and push them out of a full queue. A
// request that cannot end before its deadline is refused at once; a request
// that loses its place is told at once.
type gate struct {
	mu       sync.Mutex
	limit    func() int // called with mu held
	queueMax func(limit int) int
	inUse    int
	deferred int // deferred requests in use
	queues   [2][]*waiter
	service  float64 // smoothed seconds that a request holds its place
	closed   *refusal

	pressure  time.Time     // until when deferred requests are refused
	gap       time.Duration // smoothed time between starts of waiting deferred requests
	lastStart time.Time     // last start, or arrival at an empty deferred queue

	starved    time.Time // until when no deferred request may wait
	starvedFor time.Duration
}

// Indices of gate.queues.
const (
	queueUrgent   = 0
	queueDeferred = 1
)

type waiter struct {
	deadline time.Time
	decided  chan *refusal // nil when admitted
}

func newGate(limit func() int, queueMax func(limit int) int) *gate {
	return &gate{limit: limit, queueMax: queueMax}
}

// acquire takes a place or refuses. A waiting request is given up on when ctx
// ends or fenced is closed. On success the caller must call release.
func (g *gate) acquire(ctx context.Context, fenced <-chan struct{}, urgent bool, deadline time.Time) *refusal {
	g.mu.Lock()
	if g.closed != nil {
		defer g.mu.Unlock()
		return g.closed
	}
	if g.mayBegin(urgent) {
		g.take(urgent)
		g.mu.Unlock()
		return nil
	}
	w, refused := g.enqueue(urgent, deadline)
	g.mu.Unlock()
	if refused != nil {
		return refused
	}
	select {
	case decision := <-w.decided:
		return decision
	case <-ctx.Done():
	case <-fenced:
	}
	return g.abandon(w, urgent)
}

// tryAcquire takes a place when one is free and nobody waits.
func (g *gate) tryAcquire(urgent bool) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed != nil || !g.mayBegin(urgent) {
		return false
	}
	g.take(urgent)
	return true
}

// mayBegin reports whether a request may begin at once. The caller holds the
// lock.
func (g *gate) mayBegin(urgent bool) bool {
	if !g.hasPlace(urgent) || len(g.queues[queueUrgent]) > 0 {
		return false
	}
	return urgent || (len(g.queues[queueDeferred]) == 0 && !time.Now().Before(g.pressure))
}

// hasPlace reports whether a request may begin. Deferred requests leave a part
// of the limit to urgent ones. The caller holds the lock.
func (g *gate) hasPlace(urgent bool) bool {
	limit := g.limit()
	if g.inUse >= limit {
		return false
	}
	return urgent || limit == 1 || g.deferred < limit-max(1, limit/urgentReserve)
}

func (g *gate) take(urgent bool) {
	g.inUse++
	if !urgent {
		g.deferred++
	}
}

// enqueue adds a waiter, or refuses a request that would not end in time. The
// caller holds the lock.
func (g *gate) enqueue(urgent bool, deadline time.Time) (*waiter, *refusal) {
	now := time.Now()
	limit := g.limit()
	wait := g.waitFor(len(g.queues[queueUrgent]), limit)
	if !urgent {
		wait = max(wait, g.deferredWait(len(g.queues[queueDeferred]), now))
	}
	if refused := g.judge(urgent, limit, now, deadline, wait); refused != nil {
		if urgent {
			g.press(now)
		}
		return nil, refused
	}
	w := &waiter{deadline: deadline, decided: make(chan *refusal, 1)}
	class := classOf(urgent)
	if !urgent && len(g.queues[class]) == 0 {
		g.lastStart = now
	}
	g.queues[class] = append(g.queues[class], w)
	return w, nil
}

// judge refuses a request that cannot wait. The caller holds the lock.
func (g *gate) judge(urgent bool, limit int, now, deadline time.Time, wait time.Duration) *refusal {
	if !urgent && (now.Before(g.pressure) || now.Before(g.starved)) {
		return &refusal{structs.ReasonQueueFull, max(wait, pressureTime)}
	}
	if !urgent && len(g.queues[queueDeferred]) >= g.deferredMax(limit) {
		return &refusal{structs.ReasonQueueFull, max(wait, retryAfterMin)}
	}
	if deadline.Sub(now) < wait+g.serviceTime() {
		return &refusal{structs.ReasonDeadline, max(wait, retryAfterMin)}
	}
	if g.queued() >= g.queueMax(limit) && !g.pushOut(urgent, wait) {
		return &refusal{structs.ReasonQueueFull, max(wait, retryAfterMin)}
	}
	return nil
}

// deferredMax is the number of deferred requests that may wait: one, to try,
// after others waited in vain. The caller holds the lock.
func (g *gate) deferredMax(limit int) int {
	if g.starvedFor >= starvedMin {
		return 1
	}
	return max(1, g.queueMax(limit)/deferredQueue)
}

// press refuses deferred requests for a while, those that wait included,
// because an urgent request had to be refused. The caller holds the lock.
func (g *gate) press(now time.Time) {
	g.pressure = now.Add(pressureTime)
	if len(g.queues[queueDeferred]) > 0 {
		g.starve(now)
	}
	for _, w := range g.queues[queueDeferred] {
		w.decided <- &refusal{structs.ReasonQueueFull, pressureTime}
	}
	g.queues[queueDeferred] = nil
}

// refusedBehind takes note of a request that was admitted here and found no
// room behind this gate.
func (g *gate) refusedBehind(urgent bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if urgent {
		g.press(time.Now())
		return
	}
	g.starve(time.Now())
}

// starve keeps deferred requests from waiting for a while, because one waited
// in vain. The caller holds the lock.
func (g *gate) starve(now time.Time) {
	if now.Before(g.starved) {
		return
	}
	g.starvedFor = min(max(2*g.starvedFor, starvedMin), starvedMax)
	g.starved = now.Add(g.starvedFor)
}

// deferredWait estimates the wait of a deferred request behind ahead others
// from the pace at which waiting ones have started. The caller holds the lock.
func (g *gate) deferredWait(ahead int, now time.Time) time.Duration {
	gap := g.gap
	if ahead > 0 {
		gap = max(gap, now.Sub(g.lastStart))
	}
	return time.Duration(ahead+1) * gap
}

// started learns the pace of waiting deferred requests. The caller holds the
// lock.
func (g *gate) started(now time.Time) {
	gap := now.Sub(g.lastStart)
	g.gap += time.Duration(gapSmoothing * float64(gap-g.gap))
	g.lastStart = now
	g.starvedFor /= 2
}

// pushOut makes room for an urgent request by refusing the latest deferred
// one. The caller holds the lock.
func (g *gate) pushOut(urgent bool, wait time.Duration) bool {
	last := len(g.queues[queueDeferred]) - 1
	if !urgent || last < 0 {
		return false
	}
	g.queues[queueDeferred][last].decided <- &refusal{structs.ReasonQueueFull, max(wait, retryAfterMin)}
	g.queues[queueDeferred] = g.queues[queueDeferred][:last]
	g.starve(time.Now())
	return true
}

// abandon takes back a request whose caller no longer waits.
func (g *gate) abandon(w *waiter, urgent bool) *refusal {
	g.mu.Lock()
	defer g.mu.Unlock()
	class := classOf(urgent)
	for i, other := range g.queues[class] {
		if other == w {
			g.queues[class] = append(g.queues[class][:i], g.queues[class][i+1:]...)
			return &refusal{structs.ReasonDeadline, retryAfterMin}
		}
	}
	decision := <-w.decided
	if decision == nil {
		g.leave(urgent)
		return &refusal{structs.ReasonDeadline, retryAfterMin}
	}
	return decision
}

// release gives a place back after it was held for took.
func (g *gate) release(urgent bool, took time.Duration) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.service == 0 {
		g.service = took.Seconds()
	}
	g.service += serviceSmoothing * (took.Seconds() - g.service)
	g.leave(urgent)
}

// leave frees a place and admits waiters. The caller holds the lock.
func (g *gate) leave(urgent bool) {
	g.inUse--
	if !urgent {
		g.deferred--
	}
	g.admit()
}

// admit lets waiters in while there are places, urgent ones first, and refuses
// those that can no longer end in time. The caller holds the lock.
func (g *gate) admit() {
	for class, urgent := range []bool{true, false} {
		for len(g.queues[class]) > 0 {
			w := g.queues[class][0]
			if time.Until(w.deadline) < g.serviceTime() {
				g.queues[class] = g.queues[class][1:]
				w.decided <- &refusal{structs.ReasonDeadline, max(g.serviceTime(), retryAfterMin)}
				if !urgent {
					g.starve(time.Now())
				}
				continue
			}
			if !g.hasPlace(urgent) {
				break
			}
			g.queues[class] = g.queues[class][1:]
			g.take(urgent)
			if !urgent {
				g.started(time.Now())
			}
			w.decided <- nil
		}
	}
}

// close refuses every waiter and everything that comes later.
func (g *gate) close(reason structs.Reason) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.closed = &refusal{reason, retryAfterMin}
	for class := range g.queues {
		for _, w := range g.queues[class] {
			w.decided <- g.closed
		}
		g.queues[class] = nil
	}
}

// gateLoad is a reading of a gate.
type gateLoad struct {
	limit, inUse, queued int
	service              time.Duration
}

func (g *gate) load() gateLoad {
	g.mu.Lock()
	defer g.mu.Unlock()
	return gateLoad{g.limit(), g.inUse, g.queued(), g.serviceTime()}
}

func (g *gate) queued() int { return len(g.queues[queueUrgent]) + len(g.queues[queueDeferred]) }

func (g *gate) serviceTime() time.Duration { return time.Duration(g.service * float64(time.Second)) }

// waitFor estimates the time until the request behind ahead waiters begins.
func (g *gate) waitFor(ahead, limit int) time.Duration {
	return time.Duration(g.service * float64(ahead+1) / float64(max(1, limit)) * float64(time.Second))
}

func classOf(urgent bool) int {
	if urgent {
		return queueUrgent
	}
	return queueDeferred
}
