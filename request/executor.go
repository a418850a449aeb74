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
	// defaultLedgerRecords bounds the request IDs that an agent remembers.
	defaultLedgerRecords = 100_000
	// defaultLedgerBytes bounds the retained answers of an agent.
	defaultLedgerBytes = 32 << 20
	// ledgerRetention is the time for which an outcome is kept. It is above
	// maxBeginWindow, so that a fence outlives every request it stops.
	ledgerRetention = 2 * time.Minute
	// maxBeginWindow bounds the time, on the agent's clock, within which a
	// request that was sent may begin.
	maxBeginWindow = time.Minute
	// maxAnswerBytes bounds the body of an answer.
	maxAnswerBytes = 8 << 20
	// settleGrace is the time past its deadline for which the agent waits for
	// the answer to a non-idempotent request, so that it can be settled.
	settleGrace = 10 * time.Second
	// maxSettleWait bounds the wait of one Settle.
	maxSettleWait = 30 * time.Second
	// minQueue is the least length of a target's queue.
	minQueue = 2
)

// TargetSource lists the targets of this host; see membership.LocalTargets.
type TargetSource interface {
	Targets() []structs.Target
	Target(id structs.TargetID) (structs.Target, bool)
	Changed() <-chan struct{}
}

// ExecutorOptions configures an Executor. Zero fields take defaults.
type ExecutorOptions struct {
	Targets       TargetSource
	Incarnation   string // of the agent process
	LedgerRecords int
	LedgerBytes   int
	Log           *zap.Logger
	Meter         metric.Meter
}

// Executor is the agent's side of requests. It implements the methods Execute,
// Settle, Acknowledge, Ping and Claim of daisywallpb.AgentServer.
type Executor struct {
	options ExecutorOptions
	metrics executorMetrics
	ledger  *ledger
	forward *forwarder
	claims  *agentClaims
	started time.Time

	mu     sync.Mutex
	gates  map[structs.TargetID]*targetGate
	closed bool
	active sync.WaitGroup
}

// targetGate admits requests to one incarnation of a target.
type targetGate struct {
	*gate
	target  structs.Target
	limiter *limiter // guarded by gate.mu
}

// NewExecutor checks the options and returns an Executor. It returns
// *structs.InvalidError.
func NewExecutor(options ExecutorOptions) (*Executor, error) {
	if options.Targets == nil || options.Incarnation == "" {
		return nil, &structs.InvalidError{Subject: "executor options", Faults: []structs.Fault{
			{Path: "/", Rule: "needs Targets and Incarnation"},
		}}
	}
	if options.LedgerRecords == 0 {
		options.LedgerRecords = defaultLedgerRecords
	}
	if options.LedgerBytes == 0 {
		options.LedgerBytes = defaultLedgerBytes
	}
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	ledger := newLedger(ledgerLimits{options.LedgerRecords, options.LedgerBytes, ledgerRetention})
	observeLedger(options.Meter, ledger)
	return &Executor{
		options: options,
		metrics: newExecutorMetrics(options.Meter),
		ledger:  ledger,
		forward: newForwarder(maxAnswerBytes),
		claims:  newAgentClaims(),
		started: time.Now(),
		gates:   map[structs.TargetID]*targetGate{},
	}, nil
}

// Clock reads this agent's monotonic clock, counted from its start.
func (e *Executor) Clock() time.Duration { return time.Since(e.started) }

// Run withdraws targets as soon as they leave, until ctx ends.
func (e *Executor) Run(ctx context.Context) error {
	for {
		changed := e.options.Targets.Changed()
		e.withdraw()
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		}
	}
}

// Stop refuses new requests and waits until those that have begun ended, or
// until ctx ends, which it returns as an error.
func (e *Executor) Stop(ctx context.Context) error {
	e.mu.Lock()
	e.closed = true
	for _, g := range e.gates {
		g.close(structs.ReasonShuttingDown)
	}
	e.mu.Unlock()
	done := make(chan struct{})
	go func() {
		e.active.Wait()
		close(done)
	}()
	select {
	case <-done:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// withdraw closes the gates of targets that are gone or were replaced. Their
// waiting requests are refused at once; those that have begun go on.
func (e *Executor) withdraw() {
	present := map[structs.TargetID]bool{}
	incarnations := map[structs.TargetID]string{}
	for _, t := range e.options.Targets.Targets() {
		present[t.ID] = true
		incarnations[t.ID] = t.Incarnation
	}
	e.mu.Lock()
	for id, g := range e.gates {
		if incarnations[id] != g.target.Incarnation {
			g.close(structs.ReasonLeaving)
			delete(e.gates, id)
		}
	}
	e.mu.Unlock()
	e.forward.forget(present)
}

// Execute implements the Agent service.
func (e *Executor) Execute(ctx context.Context, request *daisywallpb.ExecuteRequest) (*daisywallpb.ExecuteResponse, error) {
	if !e.enter() {
		return e.refused(structs.ReasonShuttingDown, retryAfterMin), nil
	}
	defer e.active.Done()
	deadline := time.Now().Add(time.Duration(request.TimeoutMs) * time.Millisecond)
	if refused := e.stale(request); refused != nil {
		return refused, nil
	}
	retention := time.Duration(request.RetentionMs) * time.Millisecond
	rec, fresh := e.ledger.admit(request.RequestId, request.Idempotent, retention)
	if rec == nil {
		return e.refused(structs.ReasonQueueFull, retryAfterMin), nil
	}
	if !fresh {
		e.metrics.duplicates.Add(ctx, 1)
		return e.join(ctx, rec), nil
	}
	return e.run(ctx, rec, request, deadline), nil
}

func (e *Executor) enter() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.closed {
		return false
	}
	e.active.Add(1)
	return true
}

// stale refuses a request that was meant for another incarnation or that was
// delayed beyond the time in which it may begin.
func (e *Executor) stale(request *daisywallpb.ExecuteRequest) *daisywallpb.ExecuteResponse {
	if request.AgentIncarnation != "" && request.AgentIncarnation != e.options.Incarnation {
		return e.refused(structs.ReasonIncarnation, 0)
	}
	if request.NotAfterMs > 0 && e.Clock().Milliseconds() > request.NotAfterMs {
		return e.refused(structs.ReasonDeadline, 0)
	}
	return nil
}

// run admits a fresh request, forwards it and stores its outcome.
func (e *Executor) run(ctx context.Context, rec *record, request *daisywallpb.ExecuteRequest, deadline time.Time) *daisywallpb.ExecuteResponse {
	admission, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	g, refused := e.admit(admission, rec.final, request, deadline)
	if refused != nil {
		e.ledger.refuse(rec, refused.reason)
		return e.withLoad(e.refused(refused.reason, refused.retryAfter), g)
	}
	began := time.Now()
	late := e.stale(request)
	if late != nil || !e.ledger.begin(rec) {
		g.release(request.Urgent, 0)
		e.ledger.refuse(rec, structs.ReasonDeadline)
		if late == nil {
			late = e.refused(structs.ReasonFenced, 0)
		}
		return late
	}
	response := e.forwardAndStore(ctx, g, rec, request, deadline)
	g.done(request.Urgent, time.Since(began), response.Outcome)
	return e.withLoad(response, g)
}

// forwardAndStore sends a begun request to the target. A non-idempotent one
// goes on when the entry is gone, so that its outcome can be settled.
func (e *Executor) forwardAndStore(ctx context.Context, g *targetGate, rec *record, request *daisywallpb.ExecuteRequest, deadline time.Time) *daisywallpb.ExecuteResponse {
	if !request.Idempotent {
		ctx = context.WithoutCancel(ctx)
		deadline = deadline.Add(settleGrace)
	}
	ctx, cancel := context.WithDeadline(ctx, deadline)
	defer cancel()
	answer, reached, err := e.forward.send(ctx, g.target, request)
	outcome, reason := daisywallpb.Outcome_OUTCOME_ANSWERED, structs.Reason("")
	switch {
	case err != nil && !reached:
		outcome, reason = daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonUnreachable
	case err != nil:
		outcome, reason = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonConnectionLost
		e.options.Log.Debug("target failed", zap.String("target", string(g.target.ID)), zap.Error(err))
	}
	e.ledger.finish(rec, outcome, answer, reason)
	e.metrics.executed(ctx, outcome)
	return &daisywallpb.ExecuteResponse{Outcome: outcome, Answer: answer, Reason: string(reason), AgentClockMs: e.Clock().Milliseconds()}
}

// admit chooses a target and takes a place with it.
func (e *Executor) admit(ctx context.Context, fenced <-chan struct{}, request *daisywallpb.ExecuteRequest, deadline time.Time) (*targetGate, *refusal) {
	wanted, others := e.gatesFor(request)
	if wanted == nil && len(others) == 0 {
		return nil, &refusal{structs.ReasonLeaving, 0}
	}
	if wanted != nil && wanted.tryAcquire(request.Urgent) {
		return wanted, nil
	}
	for _, g := range others {
		if g.tryAcquire(request.Urgent) {
			return g, nil
		}
	}
	if wanted == nil {
		wanted = others[0]
	}
	return wanted, wanted.acquire(ctx, fenced, request.Urgent, deadline)
}

// gatesFor returns the gate of the target that the entry chose, if present,
// and those of the others that serve the kind.
func (e *Executor) gatesFor(request *daisywallpb.ExecuteRequest) (wanted *targetGate, others []*targetGate) {
	targets := e.options.Targets.Targets()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, t := range targets {
		if !t.Serves(structs.TeamID(request.Team), request.Kind) {
			continue
		}
		g := e.gateOf(t)
		if string(t.ID) == request.Target {
			wanted = g
		} else {
			others = append(others, g)
		}
	}
	return wanted, others
}

// gateOf returns the gate of the target's incarnation. A changed declaration
// takes effect with the next incarnation. The caller holds the lock.
func (e *Executor) gateOf(t structs.Target) *targetGate {
	g, found := e.gates[t.ID]
	if found && g.target.Incarnation == t.Incarnation {
		return g
	}
	if found {
		g.close(structs.ReasonLeaving)
	}
	g = newTargetGate(t)
	if e.closed {
		g.close(structs.ReasonShuttingDown)
	}
	e.gates[t.ID] = g
	return g
}

func newTargetGate(t structs.Target) *targetGate {
	l := newLimiter(t.Slots, t.Connections)
	return &targetGate{
		gate:    newGate(l.value, func(limit int) int { return max(minQueue, limit) }),
		target:  t,
		limiter: l,
	}
}

// done gives the place back and teaches the limiter.
func (g *targetGate) done(urgent bool, took time.Duration, outcome daisywallpb.Outcome) {
	g.mu.Lock()
	switch outcome {
	case daisywallpb.Outcome_OUTCOME_ANSWERED:
		g.limiter.done(time.Now(), took, g.inUse)
	default:
		g.limiter.failed()
	}
	g.mu.Unlock()
	g.release(urgent, took)
}

// join waits for the outcome of a request that another delivery has admitted.
func (e *Executor) join(ctx context.Context, rec *record) *daisywallpb.ExecuteResponse {
	select {
	case <-rec.final:
	case <-ctx.Done():
	}
	s := e.ledger.read(rec)
	if s.outcome == daisywallpb.Outcome_OUTCOME_RUNNING {
		s = settlement{outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, reason: structs.ReasonDuplicate}
	}
	return &daisywallpb.ExecuteResponse{
		Outcome: s.outcome, Answer: s.answer, Reason: string(s.reason), AgentClockMs: e.Clock().Milliseconds(),
	}
}

func (e *Executor) refused(reason structs.Reason, retryAfter time.Duration) *daisywallpb.ExecuteResponse {
	e.metrics.refused(reason)
	return &daisywallpb.ExecuteResponse{
		Outcome: daisywallpb.Outcome_OUTCOME_NOT_RUN, Reason: string(reason),
		RetryAfterMs: retryAfter.Milliseconds(), AgentClockMs: e.Clock().Milliseconds(),
	}
}

func (e *Executor) withLoad(response *daisywallpb.ExecuteResponse, g *targetGate) *daisywallpb.ExecuteResponse {
	if g != nil {
		l := g.load()
		response.Load = &daisywallpb.Load{
			Target: string(g.target.ID), Slots: int32(l.limit), InUse: int32(l.inUse),
			Queued: int32(l.queued), ServiceTimeUs: l.service.Microseconds(),
		}
	}
	return response
}
