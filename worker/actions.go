package worker

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// stopTimeout bounds the retries of one checkpoint or stop. The leader repeats
// an eviction or a cancellation while heartbeats still report the run.
const stopTimeout = 10 * time.Second

// performAction performs an action of the leader. Evictions and cancellations
// continue after it returns. The leader repeats actions that have failed.
func (a *Agent) performAction(ctx context.Context, action *daisywallpb.Action) {
	attempt := api.ToAttempt(action.GetAttempt())
	var err error
	switch action.GetVerb() {
	case daisywallpb.Action_VERB_THROTTLE:
		err = a.throttle(ctx, attempt, action.GetShare())
	case daisywallpb.Action_VERB_EVICT:
		a.stopInBackground(attempt, true)
	case daisywallpb.Action_VERB_CANCEL:
		a.stopInBackground(attempt, false)
	case daisywallpb.Action_VERB_FORGET:
		err = a.forget(ctx, attempt)
	}
	if err != nil {
		a.metrics.countFailedAction(ctx, action)
	}
}

func (a *Agent) throttle(ctx context.Context, attempt structs.AttemptID, share float64) error {
	_, err := callWithTimeout(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.options.Runtime.Throttle(ctx, attempt, share)
	})
	return ignoreRefusal(err)
}

// ignoreRefusal returns nil if err is a refusal, because the runtime then no
// longer has the run.
func ignoreRefusal(err error) error {
	var refused *structs.RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// forget drops an attempt that has ended. The leader repeats the action for an
// attempt that cannot be dropped yet.
func (a *Agent) forget(ctx context.Context, attempt structs.AttemptID) error {
	a.mu.Lock()
	forgettable := a.ledger.mayForget(attempt)
	a.mu.Unlock()
	if !forgettable {
		return nil
	}
	_, err := callWithTimeout(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.options.Runtime.DropRecords(ctx, []structs.AttemptID{attempt})
	})
	if err != nil {
		return err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.ledger.mayForget(attempt) {
		a.ledger.close(attempt, structs.ReasonDuplicate, "has ended here")
	}
	return nil
}

// stopInBackground stops a run in a goroutine of its own, after a checkpoint if
// checkpoint is true.
func (a *Agent) stopInBackground(attempt structs.AttemptID, checkpoint bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, found := a.ledger.entries[attempt]
	if !found || e.phase != phaseRunning || e.stopInProgress || !a.running {
		return
	}
	e.stopInProgress = true
	ctx := a.runCtx
	a.actions.Go(func() {
		a.stopRun(ctx, attempt, checkpoint)
		a.mu.Lock()
		defer a.mu.Unlock()
		e.stopInProgress = false
	})
}

// stopRun stops a run, after a checkpoint if checkpoint is true. When the
// checkpoint fails, the run continues.
func (a *Agent) stopRun(ctx context.Context, attempt structs.AttemptID, checkpoint bool) {
	if checkpoint {
		_, err := retryCall(ctx, a, func(ctx context.Context) (string, error) {
			return a.options.Runtime.Checkpoint(ctx, attempt)
		})
		if err != nil {
			a.options.Log.Warn("checkpoint failed, run not evicted", zap.Stringer("attempt", attempt), zap.Error(err))
			a.metrics.countEviction(ctx, false)
			return
		}
	}
	run, err := retryCall(ctx, a, func(ctx context.Context) (substrate.Run, error) {
		return a.options.Runtime.Stop(ctx, attempt)
	})
	if err != nil {
		return // the next snapshot shows the state of the run
	}
	if checkpoint {
		a.metrics.countEviction(ctx, true)
	}
	a.mu.Lock()
	a.ledger.recordEnd(run)
	a.mu.Unlock()
	signal(a.heartbeatRequested)
}

// retryCall repeats an idempotent call to the runtime until it succeeds, is
// refused or stopTimeout has passed.
func retryCall[T any](ctx context.Context, a *Agent, do func(ctx context.Context) (T, error)) (T, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitialInterval
	retry.MaxInterval = retryMaxInterval
	callOnce := func() (T, error) {
		value, err := callWithTimeout(ctx, a, do)
		var refused *structs.RefusedError
		if errors.As(err, &refused) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}
	return backoff.Retry(ctx, callOnce, backoff.WithBackOff(retry), backoff.WithMaxElapsedTime(stopTimeout))
}
