package fleet

import (
	"context"
	"errors"
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// startOp is a start that is in progress, or that is settled but may be missing
// from the last list of runs.
type startOp struct {
	cancel        context.CancelFunc
	settledAtPoll int64 // value of pollCount when the start was settled, -1 until then
	// mayStartUntil is set when the start is abandoned although a call without
	// an answer may still start the run, see startOutcome.
	mayStartUntil substrate.RuntimeClock
}

// isSettledBy reports whether a list of runs settles the start: it contains the
// run, or the run never starts. clock is the runner's clock in that list.
func (op *startOp) isSettledBy(pollNumber int64, clock substrate.RuntimeClock) bool {
	if op.settledAtPoll >= 0 {
		return op.settledAtPoll < pollNumber
	}
	return op.mayStartUntil > 0 && clock >= op.mayStartUntil
}

// beginStart starts a run in the background. It drops orders that are too old,
// because the state on which they are based may have changed.
func (a *agentSession) beginStart(ctx context.Context, s *fleetpb.Start, age time.Duration) {
	r := runFromProto(s.GetRun())
	if _, found := a.starting[r]; found {
		return
	}
	maxAge, deadline := a.host.o.Timing.MaxOrderAge, bootclock.Time(math.MaxInt64)
	if ms := s.GetStartWithinMs(); ms > 0 {
		within := time.Duration(ms) * time.Millisecond
		maxAge, deadline = min(maxAge, within), a.lastOrdersAt.Add(within-age)
	}
	if age > maxAge {
		a.log.Warn("start dropped: order too old", zap.Stringer("run", r), zap.Duration("age", age))
		return
	}
	if a.host.isStopping() {
		a.log.Info("start dropped: the agent stops", zap.Stringer("run", r))
		return
	}
	basis := a.lastOrdersAt.Add(-age)
	calls := a.host.recordStart(a.epoch, a.info.Incarnation, r)
	if calls == nil {
		a.log.Warn("start dropped: another leader", zap.Stringer("run", r))
		return
	}
	a.pacer.addStart(r, s.GetFills(), s.GetLatencyTargetMs())
	call, cancel := context.WithCancel(ctx)
	op := &startOp{cancel: cancel, settledAtPoll: -1}
	a.starting[r] = op
	start := substrate.TaskStart{Run: r, Payload: s.GetPayload(), Checkpoint: s.GetCheckpoint(), Permit: s.GetPermit()}
	begunAt := a.host.o.Clock()
	go func() {
		defer cancel()
		outcome := a.startUntilSettled(call, start, basis, deadline)
		took := a.host.o.Clock().Sub(begunAt)
		a.host.recordStartEnd(calls, !outcome.isUnanswered)
		if outcome.err == nil {
			a.host.recordStarted(a.info.Incarnation, r)
			a.pacer.setStarted(ctx, r)
		}
		a.host.metrics.startDelay.Record(ctx, took.Seconds())
		a.log.Info("start settled", zap.Stringer("run", r), zap.Duration("took", took), zap.Duration("order_age", age), zap.Int("attempts", outcome.attempts),
			zap.Bool("may_still_start", outcome.mayStartUntil > 0), zap.Error(outcome.err))
		if outcome.err != nil {
			a.host.metrics.count(a.host.metrics.refusedStarts, refusalLabel(outcome.err))
		}
		if outcome.mayStartUntil > 0 {
			a.runInLoop(ctx, func() { op.mayStartUntil = outcome.mayStartUntil })
			// The stop is also needed if the session or the process ends.
			if !isStopSettled(a.stopUntilSettled(context.WithoutCancel(ctx), r)) {
				return
			}
		}
		a.runInLoop(ctx, func() {
			op.settledAtPoll = a.pollCount
			a.listSettledStarts()
		})
	}()
}

func refusalLabel(err error) string {
	var refused *substrate.StartRefusedError
	if errors.As(err, &refused) {
		return string(refused.Refusal)
	}
	return "other"
}

// startOutcome is the result of the calls to start a run.
type startOutcome struct {
	attempts int
	err      error // nil if the run has started
	// mayStartUntil is the latest end of a lease, on the runner's clock, of the
	// calls without an answer. The runner may still carry out such a call until
	// then, unless it has answered a stop of the run. It is 0 if no call can
	// still start the run.
	mayStartUntil substrate.RuntimeClock
	isUnanswered  bool // a call may have been sent and had no answer
}

// startUntilSettled repeats a start until the run has started or can no longer
// start. After a call without an answer, a refusal is not final, because the
// unanswered call may still start the run. basis is when the list was sent on
// which the order is based. Once the capacity has shrunk after it, the start may
// not fit, and is given up. It is also given up at the deadline, at which the lease in
// the calls ends, so that the runner does not carry out a late call after it.
func (a *agentSession) startUntilSettled(ctx context.Context, start substrate.TaskStart, basis, deadline bootclock.Time) startOutcome {
	var o startOutcome
	timeout := a.host.o.Timing.RunnerCallTimeout
	for o.attempts = 1; ; o.attempts++ {
		var lease substrate.RuntimeClock
		o.err = a.callRunner(ctx, min(timeout, deadline.Sub(a.host.o.Clock())), func(call context.Context) error {
			if a.host.shrankAfter(basis) {
				return &substrate.StartRefusedError{Refusal: substrate.RefusalCapacity}
			}
			lease = a.runnerLeaseUntil(deadline)
			clock, err := a.runner.Start(call, a.fencingToken, start, lease)
			if err == nil {
				a.updateRunnerClock(clock)
			}
			return err
		})
		var refused *substrate.StartRefusedError
		var other *substrate.IncarnationError
		var unknown *structs.UnknownOutcomeError
		o.isUnanswered = o.isUnanswered || o.err != nil && !errors.As(o.err, &refused)
		switch {
		case o.err == nil, errors.As(o.err, &other):
			o.mayStartUntil = 0
			return o
		case errors.As(o.err, &refused) && refused.Refusal != substrate.RefusalUnhealthy:
			return o
		case errors.As(o.err, &unknown):
			o.mayStartUntil = max(o.mayStartUntil, lease)
		}
		timeout = min(2*timeout, maxRunnerCallTimeout)
		if ctx.Err() != nil || a.host.draining() || sleep(ctx, runnerRetryPause) != nil || a.host.o.Clock() >= deadline {
			return o
		}
	}
}

// isStopSettled reports whether a stop with the given result prevents the run
// from starting later.
func isStopSettled(err error) bool {
	var refused *substrate.StartRefusedError
	var other *substrate.IncarnationError
	return err == nil || errors.As(err, &refused) && refused.Refusal != substrate.RefusalUnhealthy || errors.As(err, &other)
}

// runnerRetryPause is the pause between two attempts of a call to the runner.
const runnerRetryPause = 20 * time.Millisecond

// maxStopAttempts limits the attempts to stop a run. The leader repeats the
// order if they all fail.
const maxStopAttempts = 20

// callRunner runs f with a timeout once a call slot is free.
func (a *agentSession) callRunner(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	select {
	case a.runnerCallSlots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-a.runnerCallSlots }()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(call)
}

// beginStop stops a run in the background, and cancels its start if that is in
// progress.
func (a *agentSession) beginStop(ctx context.Context, r structs.RunID) {
	if a.stopping[r] {
		return
	}
	a.stopping[r] = true
	if op, found := a.starting[r]; found {
		op.cancel()
	}
	go func() {
		err := a.stopUntilSettled(ctx, r)
		a.log.Info("stop settled", zap.Stringer("run", r), zap.Error(err))
		a.runInLoop(ctx, func() { delete(a.stopping, r) })
	}()
}

// stopUntilSettled repeats a stop until the runner has answered.
func (a *agentSession) stopUntilSettled(ctx context.Context, r structs.RunID) error {
	timeout := a.host.o.Timing.RunnerCallTimeout
	var err error
	for range maxStopAttempts {
		err = a.callRunner(ctx, timeout, func(call context.Context) error { return a.runner.Stop(call, a.fencingToken, r) })
		if isStopSettled(err) {
			return err
		}
		timeout = min(2*timeout, maxRunnerCallTimeout)
		if sleep(ctx, runnerRetryPause) != nil {
			return err
		}
	}
	return err
}
