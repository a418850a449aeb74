package request

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

const (
	// minRetryAfter is the shortest delay before a retry that a refusal
	// specifies.
	minRetryAfter = 50 * time.Millisecond
	// serviceTimeSmoothing is the weight of the latest service time in the
	// exponential moving average.
	serviceTimeSmoothing = 0.1
	// urgentReserveDivisor divides the limit. The quotient is the number of
	// slots that deferred requests leave free for urgent ones.
	urgentReserveDivisor = 4
	// shedDuration is the time for which deferred requests are refused after an
	// urgent request was refused.
	shedDuration = 200 * time.Millisecond
	// minDeferredBackoff and maxDeferredBackoff bound the time for which no
	// deferred request may queue after a queued deferred request was refused.
	// The time doubles with each such refusal.
	minDeferredBackoff = 500 * time.Millisecond
	maxDeferredBackoff = 4 * time.Second
	// deferredQueueDivisor divides the maximum queue length. The quotient is
	// the number of deferred requests that may queue.
	deferredQueueDivisor = 4
	// startGapSmoothing is the weight of the latest interval between starts of
	// queued deferred requests in the moving average.
	startGapSmoothing = 0.2
)

// refusal is the reason for which a request was not admitted.
type refusal struct {
	reason     structs.Reason
	retryAfter time.Duration
}

func (r *refusal) asError() *structs.NotRunError {
	return &structs.NotRunError{Reason: r.reason, RetryAfter: r.retryAfter}
}

// admissionQueue limits the number of requests in progress and queues a bounded
// number of further requests. Urgent requests start before deferred ones and
// preempt them in a full queue. A request that cannot finish before its
// deadline is refused without queueing. A queued request that is preempted or
// can no longer finish in time is refused at that moment. mu guards all fields
// below it except limit and maxQueued, which do not change.
type admissionQueue struct {
	mu             sync.Mutex
	limit          func() int          // concurrency limit; called with mu held
	maxQueued      func(limit int) int // maximum number of requests in both queues together
	inUse          int                 // occupied slots
	deferredInUse  int                 // slots that deferred requests occupy
	queues         [2][]*waiter        // waiting requests by queueUrgent and queueDeferred, oldest first
	serviceSeconds float64             // moving average of the time that a request occupies its slot, 0 until the first slot is released
	closeRefusal   *refusal            // answer to every request once the queue is closed, nil while it is open

	shedUntil         time.Time     // end of the time in which deferred requests are refused
	startGap          time.Duration // moving average of the time between starts of queued deferred requests
	lastDeferredStart time.Time     // last start of a queued deferred request, or arrival of a deferred request at an empty queue

	deferredBackoffUntil time.Time     // end of the time in which no deferred request may queue
	deferredBackoff      time.Duration // length of the last backoff, halved with every queued deferred request that starts
}

// Indices of admissionQueue.queues.
const (
	queueUrgent   = 0
	queueDeferred = 1
)

type waiter struct {
	deadline time.Time
	decision chan *refusal // buffered; receives nil on admission, else the refusal
}

func newAdmissionQueue(limit func() int, maxQueued func(limit int) int) *admissionQueue {
	return &admissionQueue{limit: limit, maxQueued: maxQueued}
}

// acquire occupies a slot or returns a refusal. It stops waiting when ctx ends
// or fenced is closed. On success the caller must call release.
func (q *admissionQueue) acquire(ctx context.Context, fenced <-chan struct{}, urgent bool, deadline time.Time) *refusal {
	q.mu.Lock()
	if q.closeRefusal != nil {
		defer q.mu.Unlock()
		return q.closeRefusal
	}
	if q.canStartNow(urgent) {
		q.occupySlot(urgent)
		q.mu.Unlock()
		return nil
	}
	w, refused := q.enqueue(urgent, deadline)
	q.mu.Unlock()
	if refused != nil {
		return refused
	}
	select {
	case decision := <-w.decision:
		return decision
	case <-ctx.Done():
	case <-fenced:
	}
	return q.cancelWaiter(w, urgent)
}

// tryAcquire occupies a slot and returns true if the request may start without
// queueing.
func (q *admissionQueue) tryAcquire(urgent bool) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closeRefusal != nil || !q.canStartNow(urgent) {
		return false
	}
	q.occupySlot(urgent)
	return true
}

// canStartNow reports whether a new request may start without queueing. The
// caller holds the lock.
func (q *admissionQueue) canStartNow(urgent bool) bool {
	if !q.hasFreeSlot(urgent) || len(q.queues[queueUrgent]) > 0 {
		return false
	}
	return urgent || (len(q.queues[queueDeferred]) == 0 && !time.Now().Before(q.shedUntil))
}

// hasFreeSlot reports whether a slot is free for the request's urgency.
// Deferred requests leave part of the limit to urgent ones. The caller holds
// the lock.
func (q *admissionQueue) hasFreeSlot(urgent bool) bool {
	limit := q.limit()
	if q.inUse >= limit {
		return false
	}
	return urgent || limit == 1 || q.deferredInUse < limit-max(1, limit/urgentReserveDivisor)
}

func (q *admissionQueue) occupySlot(urgent bool) {
	q.inUse++
	if !urgent {
		q.deferredInUse++
	}
}

// enqueue adds a waiter, or refuses a request that cannot finish before its
// deadline or for which the queue has no room. The caller holds the lock.
func (q *admissionQueue) enqueue(urgent bool, deadline time.Time) (*waiter, *refusal) {
	now := time.Now()
	limit := q.limit()
	wait := q.estimateWait(len(q.queues[queueUrgent]), limit)
	if !urgent {
		wait = max(wait, q.estimateDeferredWait(len(q.queues[queueDeferred]), now))
	}
	if refused := q.checkEnqueue(urgent, limit, now, deadline, wait); refused != nil {
		if urgent {
			q.shedDeferred(now)
		}
		return nil, refused
	}
	w := &waiter{deadline: deadline, decision: make(chan *refusal, 1)}
	index := queueIndex(urgent)
	if !urgent && len(q.queues[index]) == 0 {
		q.lastDeferredStart = now
	}
	q.queues[index] = append(q.queues[index], w)
	return w, nil
}

// checkEnqueue returns the refusal of a request that may not be queued, or nil.
// It may preempt a deferred request to make room. The caller holds the lock.
func (q *admissionQueue) checkEnqueue(urgent bool, limit int, now, deadline time.Time, wait time.Duration) *refusal {
	if !urgent && (now.Before(q.shedUntil) || now.Before(q.deferredBackoffUntil)) {
		return &refusal{structs.ReasonQueueFull, max(wait, shedDuration)}
	}
	if !urgent && len(q.queues[queueDeferred]) >= q.maxDeferredQueued(limit) {
		return &refusal{structs.ReasonQueueFull, max(wait, minRetryAfter)}
	}
	if deadline.Sub(now) < wait+q.serviceTime() {
		return &refusal{structs.ReasonDeadline, max(wait, minRetryAfter)}
	}
	if q.queueLength() >= q.maxQueued(limit) && !q.preemptDeferred(urgent, wait) {
		return &refusal{structs.ReasonQueueFull, max(wait, minRetryAfter)}
	}
	return nil
}

// maxDeferredQueued is the number of deferred requests that may queue. After a
// backoff it is 1, so that a single request probes whether queued requests
// start again. The caller holds the lock.
func (q *admissionQueue) maxDeferredQueued(limit int) int {
	if q.deferredBackoff >= minDeferredBackoff {
		return 1
	}
	return max(1, q.maxQueued(limit)/deferredQueueDivisor)
}

// shedDeferred refuses all queued deferred requests at once and new deferred
// requests for shedDuration, because an urgent request was refused. The caller
// holds the lock.
func (q *admissionQueue) shedDeferred(now time.Time) {
	q.shedUntil = now.Add(shedDuration)
	if len(q.queues[queueDeferred]) > 0 {
		q.startDeferredBackoff(now)
	}
	for _, w := range q.queues[queueDeferred] {
		w.decision <- &refusal{structs.ReasonQueueFull, shedDuration}
	}
	q.queues[queueDeferred] = nil
}

// recordDownstreamRefusal reduces the admission of deferred requests after a
// request that was admitted here was refused by an agent for lack of room or
// time.
func (q *admissionQueue) recordDownstreamRefusal(urgent bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if urgent {
		q.shedDeferred(time.Now())
		return
	}
	q.startDeferredBackoff(time.Now())
}

// startDeferredBackoff stops deferred requests from queueing for a while,
// because a queued deferred request was refused. The caller holds the lock.
func (q *admissionQueue) startDeferredBackoff(now time.Time) {
	if now.Before(q.deferredBackoffUntil) {
		return
	}
	q.deferredBackoff = min(max(2*q.deferredBackoff, minDeferredBackoff), maxDeferredBackoff)
	q.deferredBackoffUntil = now.Add(q.deferredBackoff)
}

// estimateDeferredWait estimates how long a deferred request waits behind the
// given number of queued deferred requests, from the rate at which such
// requests have started. The first in the queue is expected to start one gap
// after the last start. Only queued requests measure the gap, so an empty queue
// accepts a request after that time. The caller holds the lock.
func (q *admissionQueue) estimateDeferredWait(ahead int, now time.Time) time.Duration {
	sinceStart := now.Sub(q.lastDeferredStart)
	if ahead == 0 {
		return max(0, q.startGap-sinceStart)
	}
	return time.Duration(ahead+1) * max(q.startGap, sinceStart)
}

// recordDeferredStart updates the start rate of queued deferred requests and
// halves the backoff. The caller holds the lock.
func (q *admissionQueue) recordDeferredStart(now time.Time) {
	gap := now.Sub(q.lastDeferredStart)
	q.startGap += time.Duration(startGapSmoothing * float64(gap-q.startGap))
	q.lastDeferredStart = now
	q.deferredBackoff /= 2
}

// preemptDeferred makes room for an urgent request by refusing the deferred
// request that was queued last. It reports whether it did so. The caller holds
// the lock.
func (q *admissionQueue) preemptDeferred(urgent bool, wait time.Duration) bool {
	last := len(q.queues[queueDeferred]) - 1
	if !urgent || last < 0 {
		return false
	}
	q.queues[queueDeferred][last].decision <- &refusal{structs.ReasonQueueFull, max(wait, minRetryAfter)}
	q.queues[queueDeferred] = q.queues[queueDeferred][:last]
	q.startDeferredBackoff(time.Now())
	return true
}

// cancelWaiter removes a request whose caller has stopped waiting. If the
// request was admitted in the meantime, its slot is freed.
func (q *admissionQueue) cancelWaiter(w *waiter, urgent bool) *refusal {
	q.mu.Lock()
	defer q.mu.Unlock()
	index := queueIndex(urgent)
	for i, other := range q.queues[index] {
		if other == w {
			q.queues[index] = append(q.queues[index][:i], q.queues[index][i+1:]...)
			return &refusal{structs.ReasonDeadline, minRetryAfter}
		}
	}
	decision := <-w.decision
	if decision == nil {
		q.freeSlot(urgent)
		return &refusal{structs.ReasonDeadline, minRetryAfter}
	}
	return decision
}

// release frees a slot that was occupied for the duration took.
func (q *admissionQueue) release(urgent bool, took time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.serviceSeconds == 0 {
		q.serviceSeconds = took.Seconds()
	}
	q.serviceSeconds += serviceTimeSmoothing * (took.Seconds() - q.serviceSeconds)
	q.freeSlot(urgent)
}

// freeSlot frees a slot and admits waiters. The caller holds the lock.
func (q *admissionQueue) freeSlot(urgent bool) {
	q.inUse--
	if !urgent {
		q.deferredInUse--
	}
	q.admitWaiters()
}

// admitWaiters starts queued requests while slots are free, urgent ones first,
// and refuses queued requests that can no longer finish before their deadline.
// The caller holds the lock.
func (q *admissionQueue) admitWaiters() {
	for index, urgent := range []bool{true, false} {
		for len(q.queues[index]) > 0 {
			w := q.queues[index][0]
			if time.Until(w.deadline) < q.serviceTime() {
				q.queues[index] = q.queues[index][1:]
				w.decision <- &refusal{structs.ReasonDeadline, max(q.serviceTime(), minRetryAfter)}
				if !urgent {
					q.startDeferredBackoff(time.Now())
				}
				continue
			}
			if !q.hasFreeSlot(urgent) {
				break
			}
			q.queues[index] = q.queues[index][1:]
			q.occupySlot(urgent)
			if !urgent {
				q.recordDeferredStart(time.Now())
			}
			w.decision <- nil
		}
	}
}

// close refuses all queued requests and all later ones.
func (q *admissionQueue) close(reason structs.Reason) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closeRefusal = &refusal{reason, minRetryAfter}
	for index := range q.queues {
		for _, w := range q.queues[index] {
			w.decision <- q.closeRefusal
		}
		q.queues[index] = nil
	}
}

// queueLoad is a snapshot of the load of an admissionQueue.
type queueLoad struct {
	limit, inUse, queueLength int
	serviceTime               time.Duration
}

func (q *admissionQueue) load() queueLoad {
	q.mu.Lock()
	defer q.mu.Unlock()
	return queueLoad{q.limit(), q.inUse, q.queueLength(), q.serviceTime()}
}

func (q *admissionQueue) queueLength() int {
	return len(q.queues[queueUrgent]) + len(q.queues[queueDeferred])
}

func (q *admissionQueue) serviceTime() time.Duration {
	return time.Duration(q.serviceSeconds * float64(time.Second))
}

// estimateWait estimates the time until a request with the given number of
// waiters ahead of it starts.
func (q *admissionQueue) estimateWait(ahead, limit int) time.Duration {
	return time.Duration(q.serviceSeconds * float64(ahead+1) / float64(max(1, limit)) * float64(time.Second))
}

func queueIndex(urgent bool) int {
	if urgent {
		return queueUrgent
	}
	return queueDeferred
}
