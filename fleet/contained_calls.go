package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// containCall makes a call to a dependency. A panic, such as one while an
// unexpected answer is decoded, counts as a call of unknown outcome. The calls
// run in goroutines of their own, where it would end the process, and the same
// answer then ends the next one.
func containCall[T any](operation string, log *zap.Logger, call func() (T, error)) (value T, err error) {
	panicked := true
	defer func() {
		if panicked {
			err = &structs.UnknownOutcomeError{Operation: operation, Err: err}
		}
	}()
	defer recoverAs(&err, operation, log)
	value, err = call()
	panicked = false
	return value, err
}

// containedRunner contains the panics of the calls to a runner.
type containedRunner struct {
	runner substrate.Runner
	log    *zap.Logger
}

func (c containedRunner) Start(ctx context.Context, fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) (substrate.RuntimeClock, error) {
	return containCall("start", c.log, func() (substrate.RuntimeClock, error) { return c.runner.Start(ctx, fence, start, lease) })
}

func (c containedRunner) Stop(ctx context.Context, fence int64, run structs.RunID) error {
	_, err := containCall("stop", c.log, func() (struct{}, error) { return struct{}{}, c.runner.Stop(ctx, fence, run) })
	return err
}

func (c containedRunner) PollRuns(ctx context.Context, fence, acknowledged int64, lease substrate.RuntimeClock, wait time.Duration) (substrate.RunnerState, error) {
	return containCall("poll of the runner", c.log, func() (substrate.RunnerState, error) {
		return c.runner.PollRuns(ctx, fence, acknowledged, lease, wait)
	})
}

func (c containedRunner) SetPace(ctx context.Context, fence int64, run structs.RunID, percent int) error {
	_, err := containCall("change of pace", c.log, func() (struct{}, error) { return struct{}{}, c.runner.SetPace(ctx, fence, run, percent) })
	return err
}

// containedPermits contains the panics of the calls for permits.
type containedPermits struct {
	permits substrate.PermitSource
	log     *zap.Logger
}

func (c containedPermits) RequestPermits(ctx context.Context, step structs.StepID, runners []string) (substrate.Permits, error) {
	return containCall("call for permits", c.log, func() (substrate.Permits, error) { return c.permits.RequestPermits(ctx, step, runners) })
}

// containCalls makes the calls to the runner and for permits contained.
func (o *Options) containCalls() {
	newRunner, log := o.Runner, o.Log
	o.Runner = func(info substrate.RunnerInfo) substrate.Runner { return containedRunner{newRunner(info), log} }
	if o.Permits != nil {
		o.Permits = containedPermits{o.Permits, log}
	}
}
