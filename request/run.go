package request

import (
	"context"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// run makes attempts until the request has a final outcome.
func (r *Router) run(ctx context.Context, j *job) (Answer, error) {
	if j.call.Key != "" && !j.idempotent {
		return r.runClaimed(ctx, j)
	}
	var last *attempt
	for {
		target := j.pick(last)
		if target == nil {
			return Answer{}, j.exhausted(last)
		}
		last = r.attempt(ctx, j, target)
		if last.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED {
			r.acknowledge(j, last)
			return j.answer(last), nil
		}
		j.note(last)
		if !r.mayRetry(ctx, j, last) {
			return Answer{}, j.exhausted(last)
		}
		r.metrics.retries.Add(ctx, 1)
	}
}

// note remembers an attempt that may have run. The request can then no longer
// be reported as not run, whatever later attempts say.
func (j *job) note(a *attempt) {
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && j.unknown == nil {
		j.unknown = a
	}
}

// pick chooses the target of the next attempt: one that was not tried, or any
// when the last attempt ended because its connection was silent.
func (j *job) pick(last *attempt) *targetState {
	target := j.service.chooser.pick(j.tried)
	if target == nil && last != nil && last.silent() {
		clear(j.tried)
		target = j.service.chooser.pick(j.tried)
	}
	if target != nil {
		j.tried[target] = true
		j.attempts++
	}
	return target
}

// attemptID names an attempt. Attempts of a non-idempotent request have IDs of
// their own: one that was fenced leaves the next free to run on that agent.
func (j *job) attemptID() structs.RequestID {
	if j.idempotent || j.attempts == 1 {
		return j.id
	}
	return structs.RequestID(fmt.Sprintf("%s.%d", j.id, j.attempts))
}

// attempt makes one attempt and settles its outcome by the rules.
func (r *Router) attempt(ctx context.Context, j *job, target *targetState) *attempt {
	if j.idempotent {
		return r.sendHedged(ctx, j, target)
	}
	a := r.send(ctx, j, target, j.attemptID())
	if a.outcome == daisywallpb.Outcome_OUTCOME_UNKNOWN && a.err != nil {
		r.settle(ctx, j, a)
	}
	return a
}

// mayRetry reports whether the request may be sent to another target. A
// non-idempotent one may only after it surely has not run.
func (r *Router) mayRetry(ctx context.Context, j *job, a *attempt) bool {
	notRun := a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN
	if !notRun && !j.idempotent {
		return false
	}
	if ctx.Err() != nil || j.attempts >= maxAttempts || time.Until(j.deadline) <= 0 {
		return false
	}
	if notRun && a.reason == structs.ReasonQueueFull {
		// An urgent one has waited for its place here and cost the agent next
		// to nothing. A deferred one is refused at once.
		return j.urgent && j.attempts < maxRefusals
	}
	return j.service.budget.spend()
}

// exhausted is the outcome when no attempt was answered.
func (j *job) exhausted(last *attempt) error {
	if j.unknown != nil {
		return j.unknown.unknownError()
	}
	if last != nil {
		return last.finalError()
	}
	return &structs.NotRunError{Reason: structs.ReasonNoTarget, RetryAfter: time.Second}
}

// finalError is the error of a request that ends with this attempt.
func (a *attempt) finalError() error {
	if a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN {
		return a.notRunError()
	}
	return a.unknownError()
}

func (j *job) answer(a *attempt) Answer {
	return Answer{
		ID: a.id, Status: int(a.answer.Status), Headers: a.answer.Headers, Body: a.answer.Body,
		Worker: a.target.candidate.Worker, Attempts: j.attempts,
	}
}

// sendHedged sends an idempotent request, and a second time elsewhere when the
// answer is later than most. The first answer wins; the other attempt is
// cancelled.
func (r *Router) sendHedged(ctx context.Context, j *job, target *targetState) *attempt {
	delay := j.service.hedgeDelay()
	if !r.options.Hedge || !j.urgent || delay == 0 {
		return r.send(ctx, j, target, j.id)
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan *attempt, 2)
	start := func(t *targetState) { go func() { results <- r.send(ctx, j, t, j.id) }() }
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
			j.note(a)
		case <-timer.C:
			if second := r.pickHedge(j); second != nil {
				r.metrics.hedges.Add(ctx, 1)
				start(second)
				running++
			}
		}
	}
	return a
}

// pickHedge chooses a second target within the retry budget.
func (r *Router) pickHedge(j *job) *targetState {
	if !j.service.budget.spend() {
		return nil
	}
	second := j.service.chooser.pick(j.tried)
	if second != nil {
		j.tried[second] = true
		j.attempts++
	}
	return second
}
