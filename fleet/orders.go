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

// start begins carrying out a start. Orders that were held up on their way are
// dropped: what they rest on may have changed.
func (a *attendance) start(ctx context.Context, s *fleetpb.Start, age time.Duration) {
	r := runFromProto(s.GetRun())
	if _, found := a.starting[r]; found {
		return
	}
	if age > a.h.o.Timing.OrderAge {
		a.log.Warn("start dropped: too old", zap.Stringer("run", r), zap.Duration("age", age))
		return
	}
	a.pacer.know(r, s.GetFills(), s.GetLatencyTargetMs())
	call, cancel := context.WithCancel(ctx)
	op := &startOp{cancel: cancel, settled: -1}
	a.starting[r] = op
	start := substrate.TaskStart{Run: r, Payload: s.GetPayload(), Checkpoint: s.GetCheckpoint(), Permit: s.GetPermit()}
	begun := a.h.o.Clock()
	go func() {
		defer cancel()
		attempts, err := a.startUntilSettled(call, start)
		took := a.h.o.Clock().Sub(begun)
		a.h.metrics.startDelay.Record(ctx, took.Seconds())
		a.log.Info("start settled", zap.Stringer("run", r), zap.Duration("took", took), zap.Duration("order_age", age), zap.Int("attempts", attempts), zap.Error(err))
		if err != nil {
			a.h.metrics.count(a.h.metrics.refused, refusalOf(err))
		}
		a.later(ctx, func() { op.settled = a.launches })
	}()
}

func refusalOf(err error) string {
	var refused *substrate.StartRefusedError
	if errors.As(err, &refused) {
		return string(refused.Refusal)
	}
	return "other"
}

// startUntilSettled repeats a start until it is known to have been carried out
// or never to be. A refusal that follows a call without an answer settles
// nothing, since that call may yet be carried out: the run is stopped, after
// which it can't begin.
func (a *attendance) startUntilSettled(ctx context.Context, start substrate.TaskStart) (attempts int, err error) {
	doubtful := false
	timeout := a.h.o.Timing.RunnerRTT
	for attempts = 1; ; attempts++ {
		err = a.callRunner(ctx, timeout, func(call context.Context) error {
			clock, err := a.runner.Start(call, a.fence, start, a.lease())
			if err == nil {
				a.sawClock(clock)
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
			return attempts, a.preventLater(ctx, doubtful, start.Run, err)
		case errors.As(err, &unknown):
			doubtful = true
		}
		timeout = min(2*timeout, runnerCallLimit)
		if ctx.Err() != nil || a.h.draining() || sleep(ctx, runnerPause) != nil {
			return attempts, a.preventLater(ctx, doubtful, start.Run, err)
		}
	}
}

// preventLater makes sure that a run whose start was given up with err does not
// begin later, if a call for it went without an answer.
func (a *attendance) preventLater(ctx context.Context, doubtful bool, r structs.TaskRun, err error) error {
	if !doubtful {
		return err
	}
	return errors.Join(err, a.stopUntilSettled(context.WithoutCancel(ctx), r))
}

// runnerPause is the pause between attempts of a call to the runner.
const runnerPause = 20 * time.Millisecond

// stopAttempts bounds the attempts to stop a run; the leader asks again.
const stopAttempts = 20

// callRunner makes one call when there is a slot for it.
func (a *attendance) callRunner(ctx context.Context, timeout time.Duration, f func(context.Context) error) error {
	select {
	case a.slots <- struct{}{}:
	case <-ctx.Done():
		return ctx.Err()
	}
	defer func() { <-a.slots }()
	call, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	return f(call)
}

// stop begins ending a run.
func (a *attendance) stop(ctx context.Context, r structs.TaskRun) {
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
		a.later(ctx, func() { delete(a.stopping, r) })
	}()
}

// stopUntilSettled repeats a stop until the runner has answered it.
func (a *attendance) stopUntilSettled(ctx context.Context, r structs.TaskRun) error {
	timeout := a.h.o.Timing.RunnerRTT
	var err error
	for range stopAttempts {
		err = a.callRunner(ctx, timeout, func(call context.Context) error { return a.runner.Stop(call, a.fence, r) })
		var refused *substrate.StartRefusedError
		var other *substrate.IncarnationError
		if err == nil || errors.As(err, &refused) || errors.As(err, &other) {
			return err
		}
		timeout = min(2*timeout, runnerCallLimit)
		if sleep(ctx, runnerPause) != nil {
			return err
		}
	}
	return err
}
