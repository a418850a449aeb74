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

// endTimeout bounds one evict or cancel. The leader asks again for a run that
// it still sees.
const endTimeout = 10 * time.Second

// act carries an action out. Evictions and cancels go on after it returns. The
// leader asks again for what has failed.
func (a *Agent) act(ctx context.Context, action *daisywallpb.Action) {
	attempt := api.ToAttempt(action.GetAttempt())
	var err error
	switch action.GetVerb() {
	case daisywallpb.Action_VERB_THROTTLE:
		err = a.throttle(ctx, attempt, action.GetShare())
	case daisywallpb.Action_VERB_EVICT:
		a.end(attempt, true)
	case daisywallpb.Action_VERB_CANCEL:
		a.end(attempt, false)
	case daisywallpb.Action_VERB_FORGET:
		err = a.forget(ctx, attempt)
	}
	if err != nil {
		a.metrics.actionFailed(ctx, action)
	}
}

func (a *Agent) throttle(ctx context.Context, attempt structs.AttemptID, share float64) error {
	_, err := call(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.o.Runtime.Throttle(ctx, attempt, share)
	})
	return unlessRefused(err)
}

// unlessRefused drops the refusal of an action on a run that is gone.
func unlessRefused(err error) error {
	var refused *structs.RefusedError
	if errors.As(err, &refused) {
		return nil
	}
	return err
}

// forget drops an attempt that is over. The leader asks again for one that can
// not be dropped yet.
func (a *Agent) forget(ctx context.Context, attempt structs.AttemptID) error {
	a.mu.Lock()
	known := a.ledger.mayForget(attempt)
	a.mu.Unlock()
	if !known {
		return nil
	}
	_, err := call(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.o.Runtime.Forget(ctx, []structs.AttemptID{attempt})
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

// end stops a run in the background, after a checkpoint if wanted.
func (a *Agent) end(attempt structs.AttemptID, checkpoint bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	e, found := a.ledger.entries[attempt]
	if !found || e.phase != live || e.ending || !a.running {
		return
	}
	e.ending = true
	ctx := a.ctx
	a.actions.Go(func() {
		a.endRun(ctx, attempt, checkpoint)
		a.mu.Lock()
		defer a.mu.Unlock()
		e.ending = false
	})
}

// endRun stops a run, after a checkpoint if wanted. Without the checkpoint the
// run goes on.
func (a *Agent) endRun(ctx context.Context, attempt structs.AttemptID, checkpoint bool) {
	if checkpoint {
		_, err := again(ctx, a, func(ctx context.Context) (string, error) {
			return a.o.Runtime.Checkpoint(ctx, attempt)
		})
		if err != nil {
			a.o.Log.Warn("no checkpoint", zap.Stringer("attempt", attempt), zap.Error(err))
			a.metrics.evicted(ctx, false)
			return
		}
	}
	run, err := again(ctx, a, func(ctx context.Context) (substrate.Run, error) {
		return a.o.Runtime.Stop(ctx, attempt)
	})
	if err != nil {
		return // the next snapshot tells
	}
	if checkpoint {
		a.metrics.evicted(ctx, true)
	}
	a.mu.Lock()
	a.ledger.ended(run)
	a.mu.Unlock()
	signal(a.kick)
}

// again repeats an idempotent call to the runtime until it succeeds, is refused
// or endTimeout has passed.
func again[T any](ctx context.Context, a *Agent, do func(ctx context.Context) (T, error)) (T, error) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryLast
	attempt := func() (T, error) {
		value, err := call(ctx, a, do)
		var refused *structs.RefusedError
		if errors.As(err, &refused) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(retry), backoff.WithMaxElapsedTime(endTimeout))
}
