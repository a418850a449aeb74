package request

import (
	"context"
	"errors"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

const (
	// maxAttempts bounds the attempts of one request.
	maxAttempts = 4
	// maxRefusals is the number of attempts up to which a refusal for lack of
	// room is followed by another attempt whatever the retry budget.
	maxRefusals = 3
	// settleExtra is the time past the deadline in which an unknown outcome is
	// settled.
	settleExtra = 100 * time.Millisecond
	// settleRetry is the wait between tries to settle.
	settleRetry = 50 * time.Millisecond
	// keyRetention is the time for which agents keep the outcome of a request
	// with an idempotency key.
	keyRetention = 10 * time.Minute
)

// attempt is one try of a request at one target.
type attempt struct {
	target     *targetState
	id         structs.RequestID
	sentMS     int64 // lower bound of the agent's clock when it was sent
	outcome    daisywallpb.Outcome
	answer     *daisywallpb.Answer
	reason     structs.Reason
	retryAfter time.Duration
	link       *link // connection that it was sent on
	err        error // cause of an unknown outcome
}

// silent reports whether the connection of the attempt was silent.
func (a *attempt) silent() bool {
	var silent *SilentConnectionError
	return errors.As(a.err, &silent)
}

func (a *attempt) unknownError() error {
	return &structs.UnknownOutcomeError{Operation: "request " + string(a.id), Err: a.err}
}

// notRunError is the final refusal after this attempt.
func (a *attempt) notRunError() error {
	return &structs.NotRunError{Reason: a.reason, RetryAfter: max(a.retryAfter, retryAfterMin), Err: a.err}
}

// send makes one attempt. The caller has picked the target.
func (r *Router) send(ctx context.Context, j *job, target *targetState, id structs.RequestID) *attempt {
	began := time.Now()
	clock := r.agentClock(target)
	a := &attempt{target: target, id: id, sentMS: clock.Milliseconds()}
	p := r.peers.get(target.candidate.Address)
	var response *daisywallpb.ExecuteResponse
	l, err := p.call(ctx, nil, func(ctx context.Context, conn AgentConn) error {
		var err error
		response, err = conn.Execute(ctx, j.message(target, clock, id))
		return err
	})
	a.link = l
	var notSent *notSentError
	switch {
	case errors.As(err, &notSent):
		a.outcome, a.reason, a.err = daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonUnreachable, err
	case err != nil:
		a.outcome, a.reason, a.err = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonConnectionLost, err
	default:
		a.take(response)
		p.learnClock(agentClock{target.candidate.Incarnation, time.Duration(response.AgentClockMs) * time.Millisecond, time.Now()})
	}
	r.learn(ctx, j, a, time.Since(began), response.GetLoad())
	return a
}

// take copies what an agent answered.
func (a *attempt) take(response *daisywallpb.ExecuteResponse) {
	a.outcome, a.answer, a.reason = response.Outcome, response.Answer, structs.Reason(response.Reason)
	a.retryAfter = time.Duration(response.RetryAfterMs) * time.Millisecond
	if a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED && a.answer == nil {
		a.outcome, a.reason = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonDuplicate
	}
}

// agentClock returns a lower bound of the clock of the target's agent.
func (r *Router) agentClock(target *targetState) time.Duration {
	c := target.candidate
	return r.peers.get(c.Address).clockOf(agentClock{c.Incarnation, c.AgentClock, c.ClockRead})
}

// message builds the request to an agent whose clock is at least the reading.
func (j *job) message(target *targetState, clock time.Duration, id structs.RequestID) *daisywallpb.ExecuteRequest {
	c := target.candidate
	left := max(time.Until(j.deadline), time.Millisecond)
	message := &daisywallpb.ExecuteRequest{
		RequestId: string(id), Team: string(j.call.Team), Kind: j.call.Kind,
		Idempotent: j.idempotent, Urgent: j.urgent, TimeoutMs: left.Milliseconds(),
		Target: string(c.Target.ID), Method: j.call.Method, Path: j.call.Path,
		Headers: j.call.Headers, Body: j.call.Body,
		AgentIncarnation: c.Incarnation,
		NotAfterMs:       (clock + min(left, maxBeginWindow)).Milliseconds() + 1,
		RetentionMs:      j.retention().Milliseconds(),
	}
	return message
}

// retention is the time for which agents keep the outcome of the request.
func (j *job) retention() time.Duration {
	if j.call.Key != "" {
		return keyRetention
	}
	return ledgerRetention
}

// learn feeds the end of an attempt to the choice of targets and to the
// admission.
func (r *Router) learn(ctx context.Context, j *job, a *attempt, took time.Duration, load *daisywallpb.Load) {
	how := resultAnswered
	switch {
	case ctx.Err() != nil && a.outcome != daisywallpb.Outcome_OUTCOME_ANSWERED:
		how = resultDropped
	case a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED && a.answer.Status >= 500:
		how = resultFailed
	case a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED:
		j.service.answered(took)
	case a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN && a.reason != structs.ReasonUnreachable:
		how = resultRefused
		if a.reason == structs.ReasonQueueFull || a.reason == structs.ReasonDeadline {
			j.service.overloaded(j.urgent)
		}
	default:
		how = resultFailed
	}
	if j.service.chooser.done(a.target, how, took, load) {
		r.metrics.ejections.Add(ctx, 1)
	}
}

// settle asks the agent for the outcome of an attempt that stayed unknown, on
// another connection than the one it was sent on, and fences it.
func (r *Router) settle(ctx context.Context, j *job, a *attempt) {
	c := a.target.candidate
	r.settleAt(ctx, j, a, c.Address, c.Incarnation)
}

func (r *Router) settleAt(ctx context.Context, j *job, a *attempt, address, incarnation string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), j.deadline.Add(settleExtra))
	defer cancel()
	p := r.peers.get(address)
	for ctx.Err() == nil {
		r.metrics.settles.Add(ctx, 1)
		var response *daisywallpb.SettleResponse
		l, err := p.call(ctx, a.link, func(ctx context.Context, conn AgentConn) error {
			var err error
			response, err = conn.Settle(ctx, &daisywallpb.SettleRequest{
				RequestId: string(a.id), AgentIncarnation: incarnation,
				WaitMs: max(0, time.Until(j.deadline)).Milliseconds(),
				SentMs: a.sentMS, RetentionMs: j.retention().Milliseconds(),
			})
			return err
		})
		if err == nil {
			a.outcome, a.answer, a.reason = response.Outcome, response.Answer, structs.Reason(response.Reason)
			if a.outcome == daisywallpb.Outcome_OUTCOME_RUNNING {
				a.outcome = daisywallpb.Outcome_OUTCOME_UNKNOWN
			}
			return
		}
		a.link, a.err = l, err
		select {
		case <-ctx.Done():
		case <-time.After(settleRetry):
		}
	}
}
