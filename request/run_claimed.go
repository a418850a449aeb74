package request

import (
	"context"
	"fmt"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// runClaimed runs a non-idempotent request with an idempotency key. The claim
// of the key names the agent and the request ID of the only attempt that may
// run. Another entry with the same key settles that attempt; when that proves
// that it never runs, it moves the claim and sends its own.
func (r *Router) runClaimed(ctx context.Context, j *job) (Answer, error) {
	key := claimKeyOf(j.call.Team, j.call.Kind, j.call.Key)
	var seen *Claim
	var last *attempt
	for j.attempts < maxAttempts {
		target := j.service.chooser.pick(j.tried)
		if target == nil {
			return Answer{}, j.unclaimed(seen, last)
		}
		want := newClaim(key, seen, target)
		held, granted, err := r.options.Claims.Acquire(ctx, key, want, seen)
		if err != nil {
			j.service.chooser.done(target, resultDropped, 0, nil)
			return Answer{}, unclaimedError(err)
		}
		j.attempts++
		if granted {
			j.tried[target] = true
			last = r.send(ctx, j, target, held.ID)
		} else {
			j.service.chooser.done(target, resultDropped, 0, nil)
			last = &attempt{target: &targetState{}, id: held.ID, outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, err: &HeldKeyError{ID: held.ID}}
			last.target.candidate.Worker = held.Worker
		}
		if !granted || (last.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && last.err != nil) {
			r.settleAt(ctx, j, last, held.Address, held.Incarnation)
		}
		if last.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
			return j.answer(last), nil
		}
		if !r.mayRetry(ctx, j, last) {
			return Answer{}, last.finalError()
		}
		seen = &held
	}
	return Answer{}, last.finalError()
}

// newClaim names the next attempt of a key. Every version has a request ID of
// its own, so that fencing one leaves the next free.
func newClaim(key string, seen *Claim, target *targetState) Claim {
	want := Claim{
		Worker: target.candidate.Worker, Address: target.candidate.Address,
		Incarnation: target.candidate.Incarnation, Version: 1,
	}
	if seen != nil {
		want.Version = seen.Version + 1
	}
	want.ID = structs.RequestID(fmt.Sprintf("%s.%d", key, want.Version))
	return want
}

// unclaimed is the outcome when no target is left to claim for.
func (j *job) unclaimed(seen *Claim, last *attempt) error {
	if last != nil {
		return last.finalError()
	}
	return unclaimedError(&structs.NotRunError{Reason: structs.ReasonNoTarget})
}

// unclaimedError reports that this request was not sent, while an earlier one
// with the same key may have run.
func unclaimedError(err error) error {
	return &structs.UnavailableError{Dependency: "claim of the idempotency key", RetryAfter: retryAfterMin, Err: err}
}

// HeldKeyError reports that another request holds the idempotency key.
type HeldKeyError struct {
	ID structs.RequestID
}

func (e *HeldKeyError) Error() string { return "idempotency key is held by request " + string(e.ID) }
