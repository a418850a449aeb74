package request

import (
	"context"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// runAttempts makes attempts until the request has a final outcome.
func (r *Router) runAttempts(ctx context.Context, req *routedRequest) (Answer, error) {
	if req.call.Key != "" && !req.idempotent {
		return r.runClaimed(ctx, req)
	}
	var last *attempt
	for {
		target := req.pickTarget(last)
		if target == nil {
			return Answer{}, req.unansweredError(last)
		}
		last = r.makeAttempt(ctx, req, target)
		if last.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
			r.queueAcknowledgement(req, last)
			return req.buildAnswer(last), nil
		}
		req.recordUnknown(last)
		if !r.mayRetry(ctx, req, last) {
			return Answer{}, req.unansweredError(last)
		}
		r.metrics.retries.Add(ctx, 1)
	}
}

// recordUnknown stores the first attempt that may have run. From then on the
// request can't be reported as not run, whatever the outcome of later attempts.
func (req *routedRequest) recordUnknown(a *attempt) {
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && req.firstUnknown == nil {
		req.firstUnknown = a
	}
}

// pickTarget picks a target that has not been tried yet. If no target is left
// and the connection of the last attempt was silent, all targets may be picked
// again.
func (req *routedRequest) pickTarget(last *attempt) *targetState {
	target := req.kind.picker.pick(req.triedTargets)
	if target == nil && last != nil && last.isConnectionSilent() {
		clear(req.triedTargets)
		target = req.kind.picker.pick(req.triedTargets)
	}
	if target != nil {
		req.triedTargets[target] = true
		req.attempts++
	}
	return target
}

// currentAttemptID returns the request ID of the latest attempt. Each attempt
// of a non-idempotent request has its own ID, so that a fenced attempt does not
// prevent the next one from running on the same agent.
func (req *routedRequest) currentAttemptID() structs.RequestID {
	if req.idempotent || req.attempts == 1 {
		return req.id
	}
	return structs.RequestID(fmt.Sprintf("%s.%d", req.id, req.attempts))
}

// makeAttempt makes one attempt at the target. An idempotent attempt may be
// hedged. An unknown outcome of a non-idempotent attempt is settled.
func (r *Router) makeAttempt(ctx context.Context, req *routedRequest, target *targetState) *attempt {
	if req.idempotent {
		return r.sendHedged(ctx, req, target)
	}
	a := r.send(ctx, req, target, req.currentAttemptID())
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && a.err != nil {
		r.settle(ctx, req, a)
	}
	return a
}

// mayRetry reports whether the request may be sent to another target. A
// non-idempotent request may be sent again only after an attempt that has not
// run and never will. A retry is taken from the budget, except after a refusal
// for lack of room.
func (r *Router) mayRetry(ctx context.Context, req *routedRequest, a *attempt) bool {
	notRun := a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN
	if !notRun && !req.idempotent {
		return false
	}
	if ctx.Err() != nil || req.attempts >= maxAttempts || time.Until(req.deadline) <= 0 {
		return false
	}
	if notRun && a.reason == structs.ReasonQueueFull {
		// An urgent request has waited in this entry's queue for its slot, and
		// its refusal cost the agent next to nothing. A deferred request is not
		// sent again.
		return req.urgent && req.attempts < maxQueueFullAttempts
	}
	return req.kind.budget.tryWithdraw()
}

// unansweredError returns the error of a request of which no attempt was
// answered. last is nil if there was no target for a first attempt.
func (req *routedRequest) unansweredError(last *attempt) error {
	if req.firstUnknown != nil {
		return req.firstUnknown.unknownError()
	}
	if last != nil {
		return last.finalError()
	}
	return &structs.NotRunError{Reason: structs.ReasonNoTarget, RetryAfter: time.Second}
}

// finalError returns the error of a request that ends with this attempt.
func (a *attempt) finalError() error {
	if a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN {
		return a.notRunError()
	}
	return a.unknownError()
}

func (req *routedRequest) buildAnswer(a *attempt) Answer {
	return Answer{
		ID: a.id, Status: int(a.answer.Status), Headers: a.answer.Headers, Body: a.answer.Body,
		Worker: a.target.candidate.Worker, Attempts: req.attempts,
	}
}

// sendHedged sends an idempotent request. If hedging is enabled and there is no
// answer within the hedging delay, it sends the request to a second target as
// well. It returns the first answer and cancels the other attempt.
func (r *Router) sendHedged(ctx context.Context, req *routedRequest, target *targetState) *attempt {
	delay := req.kind.hedgeDelay()
	if !r.options.HedgingEnabled || !req.urgent || delay == 0 {
		return r.send(ctx, req, target, req.id)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt, 2)
	start := func(t *targetState) { go func() { results <- r.send(ctx, req, t, req.id) }() }
	start(target)
	running := 1
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var a *attempt
	for running > 0 {
		select {
		case a = <-results:
			running--
			if a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
				return a
			}
			req.recordUnknown(a)
		case <-timer.C:
			if second := r.pickHedgeTarget(req); second != nil {
				r.metrics.hedges.Add(ctx, 1)
				start(second)
				running++
			}
		}
	}
	return a
}

// pickHedgeTarget picks the target of a hedged attempt, or returns nil if the
// retry budget is spent or no target is left.
func (r *Router) pickHedgeTarget(req *routedRequest) *targetState {
	if !req.kind.budget.tryWithdraw() {
		return nil
	}
	second := req.kind.picker.pick(req.triedTargets)
	if second != nil {
		req.triedTargets[second] = true
		req.attempts++
	}
	return second
}
