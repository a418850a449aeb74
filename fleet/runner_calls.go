package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// beginStart starts a run in the background. It drops orders that are too old,
// because the state on which they are based may have changed.
func (a *agentSession) beginStart(ctx context.Context, s *fleetpb.Start, age time.Duration) {
	r := runFromProto(s.GetRun())
	if _, found := a.starting[r]; found {
		return
	}
	if age > a.host.o.Timing.MaxOrderAge {
		a.log.Warn("start dropped: order too old", zap.Stringer("run", r), zap.Duration("age", age))
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
		attempts, err := a.startUntilSettled(call, start)
		took := a.host.o.Clock().Sub(begunAt)
		if err == nil {
			a.pacer.setStarted(ctx, r)
		}
		a.host.metrics.startDelay.Record(ctx, took.Seconds())
		a.log.Info("start settled", zap.Stringer("run", r), zap.Duration("took", took), zap.Duration("order_age", age), zap.Int("attempts", attempts), zap.Error(err))
		if err != nil {
			a.host.metrics.count(a.host.metrics.refusedStarts, refusalLabel(err))
		}
		a.runInLoop(ctx, func() { op.settledAtPoll = a.pollCount })
	}()
}

func refusalLabel(err error) string {
	var refused *substrate.StartRefusedError
	if errors.As(err, &refused) {
		return string(refused.Refusal)
	}
	return "other"
}

// startUntilSettled repeats a start until the run has started or can no longer
// start. After a call without an answer, a refusal is not final, because the
// unanswered call may still start the run. The run is then stopped, which
// prevents a later start.
func (a *agentSession) startUntilSettled(ctx context.Context, start substrate.TaskStart) (attempts int, err error) {
	mayStillStart := false
	timeout := a.host.o.Timing.RunnerCallTimeout
	for attempts = 1; ; attempts++ {
		err = a.callRunner(ctx, timeout, func(call context.Context) error {
			clock, err := a.runner.Start(call, a.fencingToken, start, a.runnerLease())
			if err == nil {
				a.updateRunnerClock(clock)
			}
			return err
		})
		var refused *substrate.StartRefusedError
		var other *substrate.IncarnationError
		var unknown *structs.UnknownOutcomeError
		switch {
		case err == nil, errors.As(err, &other):
			return attempts, err
		case errors.As(err, &refused) && refused.Refusal != substrate.RefusalUnhealthy:
			return attempts, a.preventLateStart(ctx, mayStillStart, start.Run, err)
		case errors.As(err, &unknown):
			mayStillStart = true
		}
		timeout = min(2*timeout, maxRunnerCallTimeout)
		if ctx.Err() != nil || a.host.draining() || sleep(ctx, runnerRetryPause) != nil {
			return attempts, a.preventLateStart(ctx, mayStillStart, start.Run, err)
		}
	}
}

// preventLateStart stops a run whose start was abandoned with err, if an
// unanswered call may still start it.
func (a *agentSession) preventLateStart(ctx context.Context, mayStillStart bool, r structs.RunID, err error) error {
	if !mayStillStart {
		return err
	}
	return errors.Join(err, a.stopUntilSettled(context.WithoutCancel(ctx), r))
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
		var refused *substrate.StartRefusedError
		var other *substrate.IncarnationError
		if err == nil || errors.As(err, &refused) || errors.As(err, &other) {
			return err
		}
		timeout = min(2*timeout, maxRunnerCallTimeout)
		if sleep(ctx, runnerRetryPause) != nil {
			return err
		}
	}
	return err
}
