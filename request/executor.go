package request

import (
	"context"
	"sync"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

const (
	// defaultLedgerRecords is the default maximum of request IDs in an agent's
	// ledger.
	defaultLedgerRecords = 100_000
	// defaultLedgerBytes is the default maximum size of an agent's retained
	// answers.
	defaultLedgerBytes = 32 << 20
	// ledgerRetention is the time for which an outcome is kept. It exceeds
	// maxBeginWindow, so that a fence outlives every delayed request that it
	// must stop.
	ledgerRetention = 2 * time.Minute
	// maxBeginWindow bounds the time on the agent's clock, counted from the
	// send, within which a request may begin.
	maxBeginWindow = time.Minute
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 8 << 20
	// settleGrace is the time after the deadline of a non-idempotent request
	// for which the agent waits for the target's answer, so that the outcome
	// can still be settled.
	settleGrace = 10 * time.Second
	// maxSettleWait bounds the time for which one Settle call waits for an
	// outcome.
	maxSettleWait = 30 * time.Second
	// minQueueLength is the lower bound of the maximum queue length, whatever
	// the concurrency limit.
	minQueueLength = 2
)

// TargetSource lists the targets on this host. It is implemented by
// membership.LocalTargets. Changed returns a channel that is closed on the next
// change.
type TargetSource interface {
	Targets() []structs.Target
	Target(id structs.TargetID) (structs.Target, bool)
	Changed() <-chan struct{}
}

// ExecutorOptions configures an Executor. Zero fields take defaults.
type ExecutorOptions struct {
	Targets                TargetSource
	Incarnation            string // incarnation of the agent process
	MaxLedgerRecords       int    // maximum number of request IDs in the ledger
	MaxRetainedAnswerBytes int    // maximum size of retained answers
	Log                    *zap.Logger
	Meter                  metric.Meter
}

// Executor admits requests at the agent, forwards them to the targets on its
// host and keeps their outcomes. It implements the methods Execute, Settle,
// Acknowledge, Ping and Claim of daisywallpb.AgentServer.
type Executor struct {
	options   ExecutorOptions
	metrics   executorMetrics
	ledger    *ledger
	forwarder *forwarder
	claims    *agentClaims
	startTime time.Time

	mu       sync.Mutex
	queues   map[structs.TargetID]*targetQueue
	closed   bool
	inFlight sync.WaitGroup // Execute calls in progress
}

// targetQueue admits requests to one incarnation of a target.
type targetQueue struct {
	*admissionQueue
	target  structs.Target
	limiter *concurrencyLimiter // guarded by admissionQueue.mu
}

// NewExecutor returns an Executor. It returns *structs.InvalidError if a
// required option is missing.
func NewExecutor(options ExecutorOptions) (*Executor, error) {
	if options.Targets == nil || options.Incarnation == "" {
		return nil, &structs.InvalidError{Subject: "executor options", Faults: []structs.Fault{
			{Path: "/", Rule: "needs Targets and Incarnation"},
		}}
	}
	if options.MaxLedgerRecords == 0 {
		options.MaxLedgerRecords = defaultLedgerRecords
	}
	if options.MaxRetainedAnswerBytes == 0 {
		options.MaxRetainedAnswerBytes = defaultLedgerBytes
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ledger := newLedger(ledgerLimits{options.MaxLedgerRecords, options.MaxRetainedAnswerBytes, ledgerRetention})
	observeLedger(options.Meter, ledger)
	return &Executor{
		options:   options,
		metrics:   newExecutorMetrics(options.Meter),
		ledger:    ledger,
		forwarder: newForwarder(maxAnswerBytes),
		claims:    newAgentClaims(),
		startTime: time.Now(),
		queues:    map[structs.TargetID]*targetQueue{},
	}, nil
}

// Uptime returns the time since the start of this agent on its monotonic clock.
func (e *Executor) Uptime() time.Duration { return time.Since(e.startTime) }

// Run closes the queues of targets that are removed or replaced, until ctx
// ends.
func (e *Executor) Run(ctx context.Context) error {
	for {
		changed := e.options.Targets.Changed()
		e.closeRemovedTargets()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Stop refuses new requests and waits until the requests in progress have
// ended. If ctx ends first, it returns the error of ctx.
func (e *Executor) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.closed = true
	for _, queue := range e.queues {
		queue.close(structs.ReasonShuttingDown)
	}
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.inFlight.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// closeRemovedTargets closes the queues of targets that were removed or
// replaced by another incarnation. Queued requests are refused at once, and
// requests that have begun continue.
func (e *Executor) closeRemovedTargets() {
	present := map[structs.TargetID]bool{}
	incarnations := map[structs.TargetID]string{}
	for _, t := range e.options.Targets.Targets() {
		present[t.ID] = true
		incarnations[t.ID] = t.Incarnation
	}
	e.mu.Lock()
	for id, queue := range e.queues {
		if incarnations[id] != queue.target.Incarnation {
			queue.close(structs.ReasonLeaving)
			delete(e.queues, id)
		}
	}
	e.mu.Unlock()
	e.forwarder.removeAbsent(present)
}

// Execute implements the Agent service.
func (e *Executor) Execute(ctx context.Context, request *daisywallpb.ExecuteRequest) (*daisywallpb.ExecuteResponse, error) {
	if !e.beginRequest() {
		return e.refusedResponse(structs.ReasonShuttingDown, minRetryAfter), nil
	}
	defer e.inFlight.Done()
	deadline := time.Now().Add(time.Duration(request.TimeoutMs) * time.Millisecond)
	if refused := e.refuseStale(request); refused != nil {
		return refused, nil
	}
	retention := time.Duration(request.RetentionMs) * time.Millisecond
	rec, isNew := e.ledger.register(request.RequestId, request.Idempotent, retention)
	if rec == nil {
		return e.refusedResponse(structs.ReasonQueueFull, minRetryAfter), nil
	}
	if !isNew {
		e.metrics.duplicates.Add(ctx, 1)
		return e.awaitOutcome(ctx, rec), nil
	}
	return e.runRequest(ctx, rec, request, deadline), nil
}

func (e *Executor) beginRequest() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.inFlight.Add(1)
	return true
}

// refuseStale returns the refusal of a request that was sent to another
// incarnation of the agent or that arrived after the time in which it may
// begin. It returns nil for any other request.
func (e *Executor) refuseStale(request *daisywallpb.ExecuteRequest) *daisywallpb.ExecuteResponse {
	if request.AgentIncarnation != "" && request.AgentIncarnation != e.options.Incarnation {
		return e.refusedResponse(structs.ReasonIncarnation, 0)
	}
	if request.NotAfterMs > 0 && e.Uptime().Milliseconds() > request.NotAfterMs {
		return e.refusedResponse(structs.ReasonDeadline, 0)
	}
	return nil
}

// runRequest admits a registered request, forwards it and stores its outcome.
func (e *Executor) runRequest(ctx context.Context, rec *requestRecord, request *daisywallpb.ExecuteRequest, deadline time.Time) *daisywallpb.ExecuteResponse {
	admission, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	queue, refused := e.acquireSlot(admission, rec.final, request, deadline)
	if refused != nil {
		e.ledger.removeRefused(rec, refused.reason)
		return e.withLoad(e.refusedResponse(refused.reason, refused.retryAfter), queue)
	}
	began := time.Now()
	staleResponse := e.refuseStale(request)
	if staleResponse != nil || !e.ledger.begin(rec) {
		queue.release(request.Urgent, 0)
		e.ledger.removeRefused(rec, structs.ReasonDeadline)
		if staleResponse == nil {
			staleResponse = e.refusedResponse(structs.ReasonFenced, 0)
		}
		return staleResponse
	}
	response := e.forwardAndStore(ctx, queue, rec, request, deadline)
	queue.finishRequest(request.Urgent, time.Since(began), response.Outcome)
	return e.withLoad(response, queue)
}

// forwardAndStore sends a begun request to the target and stores its outcome in
// the ledger. A non-idempotent request continues if the entry disconnects, so
// that its outcome can be settled.
func (e *Executor) forwardAndStore(ctx context.Context, queue *targetQueue, rec *requestRecord, request *daisywallpb.ExecuteRequest, deadline time.Time) *daisywallpb.ExecuteResponse {
	if !request.Idempotent {
		ctx = context.WithoutCancel(ctx)
		deadline = deadline.Add(settleGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, reached, err := e.forwarder.send(ctx, queue.target, request)
	outcome, reason := daisywallpb.Outcome_OUTCOME_ANSWERED, structs.Reason("")
	switch {
	case err != nil && !reached:
		outcome, reason = daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonUnreachable
	case err != nil:
		outcome, reason = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonConnectionLost
		e.options.Log.Debug("request to target failed", zap.String("target", string(queue.target.ID)), zap.Error(err))
	}
	e.ledger.finish(rec, outcome, answer, reason)
	e.metrics.countExecution(ctx, outcome)
	return &daisywallpb.ExecuteResponse{Outcome: outcome, Answer: answer, Reason: string(reason), AgentClockMs: e.Uptime().Milliseconds()}
}

// acquireSlot occupies a slot of the target that the entry chose, or of another
// target of the kind that has a free slot. If no slot is free, the request
// queues at the chosen target, or at any target of the kind if the chosen
// target is gone.
func (e *Executor) acquireSlot(ctx context.Context, fenced <-chan struct{}, request *daisywallpb.ExecuteRequest, deadline time.Time) (*targetQueue, *refusal) {
	preferred, others := e.queuesFor(request)
	if preferred == nil && len(others) == 0 {
		return nil, &refusal{structs.ReasonLeaving, 0}
	}
	if preferred != nil && preferred.tryAcquire(request.Urgent) {
		return preferred, nil
	}
	for _, queue := range others {
		if queue.tryAcquire(request.Urgent) {
			return queue, nil
		}
	}
	if preferred == nil {
		preferred = others[0]
	}
	return preferred, preferred.acquire(ctx, fenced, request.Urgent, deadline)
}

// queuesFor returns the queue of the target that the entry chose, nil if that
// target is gone, and the queues of the other targets that serve the kind.
func (e *Executor) queuesFor(request *daisywallpb.ExecuteRequest) (preferred *targetQueue, others []*targetQueue) {
	targets := e.options.Targets.Targets()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range targets {
		if !t.Serves(structs.TeamID(request.Team), request.Kind) {
			continue
		}
		queue := e.queueOf(t)
		if string(t.ID) == request.Target {
			preferred = queue
		} else {
			others = append(others, queue)
		}
	}
	return preferred, others
}

// queueOf returns the queue for the target's incarnation. A changed declaration
// of slots or connections takes effect with the next incarnation. The caller
// holds the lock.
func (e *Executor) queueOf(t structs.Target) *targetQueue {
	queue, found := e.queues[t.ID]
	if found && queue.target.Incarnation == t.Incarnation {
		return queue
	}
	if found {
		queue.close(structs.ReasonLeaving)
	}
	queue = newTargetQueue(t)
	if e.closed {
		queue.close(structs.ReasonShuttingDown)
	}
	e.queues[t.ID] = queue
	return queue
}

func newTargetQueue(t structs.Target) *targetQueue {
	l := newConcurrencyLimiter(t.Slots, t.Connections)
	return &targetQueue{
		admissionQueue: newAdmissionQueue(l.current, func(limit int) int { return max(minQueueLength, limit) }),
		target:         t,
		limiter:        l,
	}
}

// finishRequest frees the slot and passes the outcome to the concurrency
// limiter.
func (q *targetQueue) finishRequest(urgent bool, took time.Duration, outcome daisywallpb.Outcome) {
	q.mu.Lock()
	switch outcome {
	case daisywallpb.Outcome_OUTCOME_ANSWERED:
		q.limiter.recordCompletion(time.Now(), took, q.inUse)
	default:
		q.limiter.recordFailure()
	}
	q.mu.Unlock()
	q.release(urgent, took)
}

// awaitOutcome waits for the outcome of a request that an earlier delivery of
// the same message has registered.
func (e *Executor) awaitOutcome(ctx context.Context, rec *requestRecord) *daisywallpb.ExecuteResponse {
	select {
	case <-rec.final:
	case <-ctx.Done():
	}
	s := e.ledger.settlementOf(rec)
	if s.outcome == daisywallpb.Outcome_OUTCOME_RUNNING {
		s = settlement{outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, reason: structs.ReasonDuplicate}
	}
	return &daisywallpb.ExecuteResponse{
		Outcome: s.outcome, Answer: s.answer, Reason: string(s.reason), AgentClockMs: e.Uptime().Milliseconds(),
	}
}

func (e *Executor) refusedResponse(reason structs.Reason, retryAfter time.Duration) *daisywallpb.ExecuteResponse {
	e.metrics.countRefusal(reason)
	return &daisywallpb.ExecuteResponse{
		Outcome: daisywallpb.Outcome_OUTCOME_NOT_RUN, Reason: string(reason),
		RetryAfterMs: retryAfter.Milliseconds(), AgentClockMs: e.Uptime().Milliseconds(),
	}
}

func (e *Executor) withLoad(response *daisywallpb.ExecuteResponse, queue *targetQueue) *daisywallpb.ExecuteResponse {
	if queue != nil {
		l := queue.load()
		response.Load = &daisywallpb.Load{
			Target: string(queue.target.ID), Slots: int32(l.limit), InUse: int32(l.inUse),
			Queued: int32(l.queueLength), ServiceTimeUs: l.serviceTime.Microseconds(),
		}
	}
	return response
}
