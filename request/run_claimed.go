package request

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// firstClaimWait bounds the time for which a caller's first send waits for its
// claim.
const firstClaimWait = 50 * time.Millisecond

// HeldKeyError reports that another request holds the idempotency key.
type HeldKeyError struct {
	ID structs.RequestID
}

func (e *HeldKeyError) Error() string { return "idempotency key is held by request " + string(e.ID) }

// runClaimed runs a non-idempotent request with an idempotency key. The claim
// of the key names the agent and the request ID of the only attempt that may
// run. Another entry with the same key settles that attempt; when that proves
// that it never runs, it moves the claim and sends its own.
func (r *Router) runClaimed(ctx context.Context, j *job) (Answer, error) {
	key := claimKeyOf(j.call.Team, j.call.Kind, j.call.Key)
	var seen *Claim
	if j.call.Try > 1 {
		held, err := r.options.Claims.Find(ctx, key)
		if err != nil {
			return r.collect(ctx, j, key, err)
		}
		last := r.settleHeld(ctx, j, held)
		if done, answer, err := r.ends(ctx, j, last); done {
			return answer, err
		}
		seen = &held
	}
	var last *attempt
	for j.attempts < maxAttempts {
		target := j.service.chooser.pick(j.tried)
		if target == nil {
			return Answer{}, j.unclaimed(last)
		}
		want := newClaim(key, seen, target, r.agentClock(target))
		held, granted, err := r.acquire(ctx, j, key, want, seen)
		if err != nil && j.call.Try == 1 && seen == nil {
			return r.runFirst(ctx, j, target, want, err)
		}
		if err != nil {
			j.service.chooser.done(target, resultDropped, 0, nil)
			return Answer{}, unclaimedError(err)
		}
		j.attempts++
		if granted {
			j.tried[target] = true
			last = r.sendClaimed(ctx, j, target, held.ID)
		} else {
			j.service.chooser.done(target, resultDropped, 0, nil)
			last = r.settleHeld(ctx, j, held)
		}
		if done, answer, err := r.ends(ctx, j, last); done {
			return answer, err
		}
		seen = &held
	}
	return Answer{}, last.finalError()
}

// acquire asks for the claim; a caller's first send does not wait long for it.
func (r *Router) acquire(ctx context.Context, j *job, key string, want Claim, seen *Claim) (Claim, bool, error) {
	if j.call.Try == 1 {
		var cancel context.CancelFunc
		ctx, cancel = context.WithTimeout(ctx, firstClaimWait)
		defer cancel()
	}
	return r.options.Claims.Acquire(ctx, key, want, seen)
}

// ends reports whether the request ends with this attempt, and how.
func (r *Router) ends(ctx context.Context, j *job, last *attempt) (bool, Answer, error) {
	if last.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
		return true, j.answer(last), nil
	}
	if !r.mayRetry(ctx, j, last) {
		return true, Answer{}, last.finalError()
	}
	return false, Answer{}, nil
}

// sendClaimed sends the attempt that holds the claim and settles it.
func (r *Router) sendClaimed(ctx context.Context, j *job, target *targetState, id structs.RequestID) *attempt {
	a := r.send(ctx, j, target, id)
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && a.err != nil {
		r.settle(ctx, j, a)
	}
	return a
}

// settleHeld settles the attempt that another request made with the key.
func (r *Router) settleHeld(ctx context.Context, j *job, held Claim) *attempt {
	a := &attempt{
		target: &targetState{}, id: held.ID, sentMS: held.SentMS,
		outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, err: &HeldKeyError{ID: held.ID},
	}
	a.target.candidate.Worker = held.Worker
	r.settleAt(ctx, j, a, held.Address, held.Incarnation)
	return a
}

// runFirst runs the caller's first send without its claim, which could not be
// had. Nobody else starts this key: repetitions only collect what they find.
// When the claim may have been written, only the attempt that it names may
// run, since a repetition that finds the claim may fence and move it.
func (r *Router) runFirst(ctx context.Context, j *job, target *targetState, want Claim, cause error) (Answer, error) {
	var absent *structs.UnavailableError
	surelyAbsent := errors.As(cause, &absent)
	for {
		j.tried[target] = true
		j.attempts++
		last := r.sendClaimed(ctx, j, target, want.ID)
		done, answer, err := r.ends(ctx, j, last)
		if !done && (!surelyAbsent || last.reason == structs.ReasonFenced) {
			done, err = true, last.finalError()
		}
		if done {
			return answer, err
		}
		if target = j.service.chooser.pick(j.tried); target == nil {
			return Answer{}, last.finalError()
		}
	}
}

// collect looks for a key without a claim at every agent of its kind. It
// returns the answer that it finds; otherwise the outcome stays unknown, and
// the first attempt is fenced wherever it had not begun.
func (r *Router) collect(ctx context.Context, j *job, key string, cause error) (Answer, error) {
	candidates := r.options.Members.Candidates(j.call.Team, j.call.Kind)
	id := newClaimID(key, 1)
	found := make(chan *attempt, len(candidates))
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	for _, c := range candidates {
		go func() {
			a := &attempt{target: &targetState{candidate: c}, id: id, err: cause}
			r.settleAt(ctx, j, a, c.Address, c.Incarnation)
			found <- a
		}()
	}
	for range candidates {
		if a := <-found; a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
			return j.answer(a), nil
		}
	}
	return Answer{}, &structs.UnknownOutcomeError{Operation: "request " + string(id), Err: cause}
}

// newClaim names the next attempt of a key.
func newClaim(key string, seen *Claim, target *targetState, clock time.Duration) Claim {
	want := Claim{
		Worker: target.candidate.Worker, Address: target.candidate.Address,
		Incarnation: target.candidate.Incarnation, Version: 1,
		SentMS: clock.Milliseconds(),
	}
	if seen != nil {
		want.Version = seen.Version + 1
	}
	want.ID = newClaimID(key, want.Version)
	return want
}

// newClaimID names the attempt of one version. Every version has a request ID
// of its own, so that fencing one leaves the next free.
func newClaimID(key string, version int64) structs.RequestID {
	return structs.RequestID(fmt.Sprintf("%s.%d", key, version))
}

// unclaimed is the outcome when no target is left to claim for.
func (j *job) unclaimed(last *attempt) error {
	if last != nil {
		return last.finalError()
	}
	return unclaimedError(&structs.UnavailableError{Dependency: "targets"})
}

// unclaimedError reports that this request was not sent, while an earlier one
// with the same key may have run.
func unclaimedError(err error) error {
	return &structs.UnavailableError{Dependency: "claim of the idempotency key", RetryAfter: retryAfterMin, Err: err}
}
