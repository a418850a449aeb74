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
	// maxQueueFullAttempts bounds the attempts of an urgent request after
	// refusals for lack of room. These retries are not taken from the retry
	// budget.
	maxQueueFullAttempts = 3
	// settleWindow is the time after the deadline of a request in which
	// its unknown outcome may still be settled.
	settleWindow = 100 * time.Millisecond
	// settleRetryDelay is the delay between Settle calls.
	settleRetryDelay = 50 * time.Millisecond
	// keyedRetention is the time for which agents keep the outcome of a request
	// with an idempotency key.
	keyedRetention = 10 * time.Minute
)

// attempt is one send of a request to one target, with its outcome.
type attempt struct {
	target     *targetState
	id         structs.RequestID // request ID under which the attempt was sent
	sentMS     int64             // lower bound of the agent's clock when the attempt was sent
	outcome    daisywallpb.Outcome
	answer     *daisywallpb.Answer
	reason     structs.Reason
	retryAfter time.Duration
	conn       *agentConnection // connection of the last Execute or Settle call
	err        error            // cause of an unknown or not-run outcome
}

// isConnectionSilent reports whether the attempt ended because its connection
// stopped carrying traffic.
func (a *attempt) isConnectionSilent() bool {
	var silent *UnresponsiveConnectionError
	return errors.As(a.err, &silent)
}

func (a *attempt) unknownError() error {
	return &structs.UnknownOutcomeError{Operation: "request " + string(a.id), Err: a.err}
}

// notRunError returns the error of a request that ends with the refusal of this
// attempt.
func (a *attempt) notRunError() error {
	return &structs.NotRunError{Reason: a.reason, RetryAfter: max(a.retryAfter, minRetryAfter), Err: a.err}
}

// send sends the request to the target under the given ID and records the
// result. The caller must have picked the target, because targetPicker.pick
// counts the request as in flight.
func (r *Router) send(ctx context.Context, req *routedRequest, target *targetState, id structs.RequestID) *attempt {
	began := time.Now()
	clock := r.agentClockBound(target)
	a := &attempt{target: target, id: id, sentMS: clock.Milliseconds()}
	p := r.peers.get(target.candidate.Address)
	var response *daisywallpb.ExecuteResponse
	conn, err := p.call(ctx, nil, func(ctx context.Context, conn AgentConn) error {
		var err error
		response, err = conn.Execute(ctx, req.buildExecuteRequest(target, clock, id))
		return err
	})
	a.conn = conn
	var notSent *notSentError
	switch {
	case errors.As(err, &notSent):
		a.outcome, a.reason, a.err = daisywallpb.Outcome_OUTCOME_NOT_RUN, structs.ReasonUnreachable, err
	case err != nil:
		a.outcome, a.reason, a.err = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonConnectionLost, err
	default:
		a.applyResponse(response)
		p.raiseClockBound(agentClockReading{target.candidate.Incarnation, time.Duration(response.AgentClockMs) * time.Millisecond, time.Now()})
	}
	r.recordAttempt(ctx, req, a, time.Since(began), response.GetLoad())
	return a
}

// applyResponse copies the agent's response into the attempt. If the agent has
// dropped the answer, the answered outcome becomes unknown.
func (a *attempt) applyResponse(response *daisywallpb.ExecuteResponse) {
	a.outcome, a.answer, a.reason = response.Outcome, response.Answer, structs.Reason(response.Reason)
	a.retryAfter = time.Duration(response.RetryAfterMs) * time.Millisecond
	if a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED && a.answer == nil {
		a.outcome, a.reason = daisywallpb.Outcome_OUTCOME_UNKNOWN, structs.ReasonDuplicate
	}
}

// agentClockBound returns a lower bound of the clock of the target's agent.
func (r *Router) agentClockBound(target *targetState) time.Duration {
	c := target.candidate
	return r.peers.get(c.Address).clockBoundOf(agentClockReading{c.Incarnation, c.AgentClock, c.ClockReadAt})
}

// buildExecuteRequest builds the Execute message. clock is a lower bound of the
// agent's clock. NotAfterMs is based on it and limits the time in which the
// agent may begin the request.
func (req *routedRequest) buildExecuteRequest(target *targetState, clock time.Duration, id structs.RequestID) *daisywallpb.ExecuteRequest {
	c := target.candidate
	left := max(time.Until(req.deadline), time.Millisecond)
	message := &daisywallpb.ExecuteRequest{
		RequestId: string(id), Team: string(req.call.Team), Kind: req.call.Kind,
		Idempotent: req.idempotent, Urgent: req.urgent, TimeoutMs: left.Milliseconds(),
		Target: string(c.Target.ID), Method: req.call.Method, Path: req.call.Path,
		Headers: req.call.Headers, Body: req.call.Body,
		AgentIncarnation: c.Incarnation,
		NotAfterMs:       (clock + min(left, maxBeginWindow)).Milliseconds() + 1,
		RetentionMs:      req.outcomeRetention().Milliseconds(),
	}
	return message
}

// outcomeRetention is the time for which agents keep the outcome of the
// request.
func (req *routedRequest) outcomeRetention() time.Duration {
	if req.call.Key != "" {
		return keyedRetention
	}
	return ledgerRetention
}

// recordAttempt reports the result of an attempt to the target picker and to
// the admission of the request kind.
func (r *Router) recordAttempt(ctx context.Context, req *routedRequest, a *attempt, took time.Duration, load *daisywallpb.Load) {
	result := resultAnswered
	switch {
	case ctx.Err() != nil && a.outcome != daisywallpb.Outcome_OUTCOME_ANSWERED:
		result = resultAbandoned
	case a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED && a.answer.Status >= 500:
		result = resultFailed
	case a.outcome == daisywallpb.Outcome_OUTCOME_ANSWERED:
		req.kind.recordAnswer(took)
	case a.outcome == daisywallpb.Outcome_OUTCOME_NOT_RUN && a.reason != structs.ReasonUnreachable:
		result = resultRefused
		if a.reason == structs.ReasonQueueFull || a.reason == structs.ReasonDeadline {
			req.kind.recordOverload(req.urgent)
		}
	default:
		result = resultFailed
	}
	if req.kind.picker.recordResult(a.target, result, took, load) {
		r.metrics.ejections.Add(ctx, 1)
	}
}

// settle resolves the unknown outcome of an attempt by calls to the agent that
// received it, over another connection. The agent fences an attempt that has
// not begun.
func (r *Router) settle(ctx context.Context, req *routedRequest, a *attempt) {
	c := a.target.candidate
	r.settleAt(ctx, req, a, c.Address, c.Incarnation)
}

// settleAt calls Settle on the agent until a call succeeds or
// settleWindow has passed. Every retry uses another connection than the
// call before.
func (r *Router) settleAt(ctx context.Context, req *routedRequest, a *attempt, address, incarnation string) {
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), req.deadline.Add(settleWindow))
	defer cancel()
	p := r.peers.get(address)
	for ctx.Err() == nil {
		r.metrics.settleCalls.Add(ctx, 1)
		var response *daisywallpb.SettleResponse
		conn, err := p.call(ctx, a.conn, func(ctx context.Context, conn AgentConn) error {
			var err error
			response, err = conn.Settle(ctx, &daisywallpb.SettleRequest{
				RequestId: string(a.id), AgentIncarnation: incarnation,
				WaitMs: max(0, time.Until(req.deadline)).Milliseconds(),
				SentMs: a.sentMS, RetentionMs: req.outcomeRetention().Milliseconds(),
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
		a.conn, a.err = conn, err
		select {
		case <-ctx.Done():
		case <-time.After(settleRetryDelay):
		}
	}
}
