package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// firstClaimTimeout bounds the time for which the first send of a key waits for
// its claim, if the caller numbers its sends.
const firstClaimTimeout = 50 * time.Millisecond

// KeyHeldError reports that another request holds the idempotency key.
type KeyHeldError struct {
	ID structs.RequestID // request ID of the holder
}

func (e *KeyHeldError) Error() string { return "idempotency key is held by request " + string(e.ID) }

// runClaimed runs a non-idempotent request with an idempotency key. The claim
// of the key names the agent and the request ID of the only attempt that may
// run. If another entry holds the claim, this entry first settles the attempt
// that the claim names. When that attempt is proven never to run, this entry
// replaces the claim by one for an attempt of its own, and sends that attempt.
func (r *Router) runClaimed(ctx context.Context, req *routedRequest) (Answer, error) {
	key := claimRowName(req.call.Team, req.call.Kind, req.call.Key)
	var previous *Claim
	if req.call.CallerAttempt > 1 {
		held, err := r.options.Claims.Find(ctx, key)
		if err != nil {
			return r.collectAnswer(ctx, req, key, err)
		}
		last := r.settleHolder(ctx, req, held)
		if final, answer, err := r.finalResult(ctx, req, last); final {
			return answer, err
		}
		previous = &held
	}
	var last *attempt
	for req.attempts < maxAttempts {
		target := req.kind.picker.pick(req.triedTargets)
		if target == nil {
			return Answer{}, req.noTargetError(last)
		}
		want := newClaim(key, previous, target, r.agentClockBound(target))
		held, granted, err := r.acquireClaim(ctx, req, key, want, previous)
		if err != nil && req.call.CallerAttempt == 1 && previous == nil {
			return r.runUnclaimed(ctx, req, target, want, err)
		}
		if err != nil {
			req.kind.picker.recordResult(target, resultAbandoned, 0, nil)
			return Answer{}, claimUnavailableError(err)
		}
		req.attempts++
		if granted {
			req.triedTargets[target] = true
			last = r.sendAndSettle(ctx, req, target, held.RequestID)
		} else {
			req.kind.picker.recordResult(target, resultAbandoned, 0, nil)
			last = r.settleHolder(ctx, req, held)
		}
		if final, answer, err := r.finalResult(ctx, req, last); final {
			return answer, err
		}
		previous = &held
	}
	return Answer{}, last.finalError()
}

// acquireClaim acquires the claim. It waits at most firstClaimTimeout on the
// first send of a caller that numbers its sends.
func (r *Router) acquireClaim(ctx context.Context, req *routedRequest, key string, want Claim, previous *Claim) (Claim, bool, error) {
	if req.call.CallerAttempt == 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstClaimTimeout)
		defer cancel()
	}
	return r.options.Claims.Acquire(ctx, key, want, previous)
}

// finalResult reports whether the request ends with this attempt. If it does,
// finalResult also returns the answer or the error.
func (r *Router) finalResult(ctx context.Context, req *routedRequest, last *attempt) (bool, Answer, error) {
	if last.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
		return true, req.buildAnswer(last), nil
	}
	if !r.mayRetry(ctx, req, last) {
		return true, Answer{}, last.finalError()
	}
	return false, Answer{}, nil
}

// sendAndSettle sends an attempt under the ID that the claim names and settles
// an unknown outcome.
func (r *Router) sendAndSettle(ctx context.Context, req *routedRequest, target *targetState, id structs.RequestID) *attempt {
	a := r.send(ctx, req, target, id)
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && a.err != nil {
		r.settle(ctx, req, a)
	}
	return a
}

// settleHolder settles the attempt of another request that holds the key.
func (r *Router) settleHolder(ctx context.Context, req *routedRequest, held Claim) *attempt {
	a := &attempt{
		target: &targetState{}, id: held.RequestID, sentMS: held.AgentClockMS,
		outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, err: &KeyHeldError{ID: held.RequestID},
	}
	a.target.candidate.Worker = held.Worker
	r.settleAt(ctx, req, a, held.Address, held.Incarnation)
	return a
}

// runUnclaimed runs the first send of a key after its claim could not be
// acquired. No other send starts a request under this key, since repetitions
// without a claim only collect an existing answer. If the claim may have been
// written, only the attempt that it names may run, because a repetition that
// finds the claim may fence that attempt and move the claim.
func (r *Router) runUnclaimed(ctx context.Context, req *routedRequest, target *targetState, want Claim, cause error) (Answer, error) {
	var unavailable *structs.UnavailableError
	claimNotWritten := errors.As(cause, &unavailable)
	for {
		req.triedTargets[target] = true
		req.attempts++
		last := r.sendAndSettle(ctx, req, target, want.RequestID)
		final, answer, err := r.finalResult(ctx, req, last)
		if !final && (!claimNotWritten || last.reason == structs.ReasonFenced) {
			final, err = true, last.finalError()
		}
		if final {
			return answer, err
		}
		if target = req.kind.picker.pick(req.triedTargets); target == nil {
			return Answer{}, last.finalError()
		}
	}
}

// collectAnswer handles a repetition whose key has no readable claim. It
// settles the key's first attempt at every agent of the request kind and
// returns the answer if an agent has it. Otherwise the outcome stays unknown,
// and the attempt is fenced wherever it has not begun.
func (r *Router) collectAnswer(ctx context.Context, req *routedRequest, key string, cause error) (Answer, error) {
	candidates := r.options.Candidates.Candidates(req.call.Team, req.call.Kind)
	id := claimRequestID(key, 1)
	settled := make(chan *attempt, len(candidates))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range candidates {
		go func() {
			a := &attempt{target: &targetState{candidate: c}, id: id, err: cause}
			r.settleAt(ctx, req, a, c.Address, c.Incarnation)
			settled <- a
		}()
	}
	for range candidates {
		if a := <-settled; a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
			return req.buildAnswer(a), nil
		}
	}
	return Answer{}, &structs.UnknownOutcomeError{Operation: "request " + string(id), Err: cause}
}

// newClaim returns the claim for the next attempt of a key at the target.
func newClaim(key string, previous *Claim, target *targetState, clock time.Duration) Claim {
	want := Claim{
		Worker: target.candidate.Worker, Address: target.candidate.Address,
		Incarnation: target.candidate.Incarnation, Version: 1,
		AgentClockMS: clock.Milliseconds(),
	}
	if previous != nil {
		want.Version = previous.Version + 1
	}
	want.RequestID = claimRequestID(key, want.Version)
	return want
}

// claimRequestID returns the request ID for a version of the claim. Each
// version has its own ID, so that a fence on the attempt of one version does
// not affect the attempt of the next.
func claimRequestID(key string, version int64) structs.RequestID {
	return structs.RequestID(fmt.Sprintf("%s.%d", key, version))
}

// noTargetError returns the error of a claimed request when no target is left.
func (req *routedRequest) noTargetError(last *attempt) error {
	if last != nil {
		return last.finalError()
	}
	return claimUnavailableError(&structs.UnavailableError{Dependency: "targets"})
}

// claimUnavailableError returns the error of a request that was not sent,
// although an earlier request with the same key may have run.
func claimUnavailableError(err error) error {
	return &structs.UnavailableError{Dependency: "claim of the idempotency key", RetryAfter: minRetryAfter, Err: err}
}
