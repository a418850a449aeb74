package fleet

import (
	"cmp"
	"context"
	"errors"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
)

// leaderReply is the response to a call.
type leaderReply interface {
	GetOutcome() fleetpb.Outcome
	GetLeader() string // address of the leader if the node does not lead and knows one
}

// leaderCall is a call that the leader decides.
type leaderCall struct {
	name     string
	readOnly bool
	job      structs.JobID // empty if the call is not for a job
	token    string        // submission token, empty for other calls
	send     func(context.Context, fleetpb.FleetClient, ...grpc.CallOption) (leaderReply, error)
}

// leaderAnswer is the answer of a node to one attempt.
type leaderAnswer struct {
	outcome    fleetpb.Outcome
	retryAfter time.Duration // when to come back after a refusal because of overload, else 0
	// refusedForGood is set if the leader refuses all attempts of the submission,
	// also those that have not arrived yet.
	refusedForGood bool
}

// leaderSearch is the state of one call while it searches for the leader that decides
// it.
type leaderSearch struct {
	begun time.Time
	limit time.Duration // how long the call searches for a leader if it has had no effect
	// unansweredEpoch is the latest epoch of the attempts that may have had an
	// effect, 0 if there is none.
	unansweredEpoch int64
	wasUnanswered   bool      // an attempt had no answer
	firstEpoch      int64     // epoch of the first attempt
	unreachable     leaderRow // row whose leader accepts no connections
	refused         bool      // the leader has refused the call
	reason          structs.Reason
	retryAfter      time.Duration
	lastErr         error
}

// left returns how long the call may go on. A call that may have had an effect
// goes on until shortly before its deadline, because the next leader can decide it.
func (s *leaderSearch) left(ctx context.Context) time.Duration {
	switch deadline, hasDeadline := ctx.Deadline(); {
	case s.unansweredEpoch == 0 && s.refused:
		return 0
	case s.unansweredEpoch == 0:
		return s.limit - time.Since(s.begun)
	case hasDeadline:
		return time.Until(deadline) - leaderRetryPause
	default:
		return longestSearch - time.Since(s.begun)
	}
}

func (s *leaderSearch) recordUnanswered(call leaderCall, epoch int64) {
	s.wasUnanswered = true
	if !call.readOnly {
		s.unansweredEpoch = max(s.unansweredEpoch, epoch)
	}
}

// settle applies an answer of the leader of the epoch to the earlier attempts. A
// refusal for good covers the attempts at this leader, which keeps the submission
// token, and those at earlier leaders: these store nothing any more, and this one
// has restored all that they have stored.
func (s *leaderSearch) settle(answer leaderAnswer, epoch int64) {
	if answer.refusedForGood && s.unansweredEpoch <= epoch {
		s.unansweredEpoch = 0
	}
}

// result returns the error of a call that no leader has decided.
func (s *leaderSearch) result() error {
	if s.unansweredEpoch > 0 {
		return &structs.UnknownOutcomeError{Operation: "call to the leader", Err: s.lastErr}
	}
	return &structs.NotRunError{Reason: s.reason, RetryAfter: s.retryAfter, Err: s.lastErr}
}

// callUntilDecided repeats a call until a leader has decided, no leader was
// found in time, or ctx ends. It makes one attempt at a time. An attempt ends as
// soon as a later leader is known.
func (e *Entry) callUntilDecided(ctx context.Context, call leaderCall) (fleetpb.Outcome, error) {
	s := &leaderSearch{begun: time.Now(), limit: e.searchLimit(), reason: structs.ReasonNotLeader, retryAfter: noLeaderRetryAfter}
	for ctx.Err() == nil && !e.leaders.isClosed() && s.left(ctx) > 0 {
		link, row, err := e.leaders.connect()
		if link == nil || !row.newerThan(s.unreachable) {
			e.recordAnswer(false)
			s.lastErr = cmp.Or(err, s.lastErr, error(&structs.UnavailableError{Dependency: "leader"}))
			e.leaders.awaitNewer(ctx, row, s.left(ctx))
			continue
		}
		answer, err := e.attempt(ctx, link, call)
		s.firstEpoch = cmp.Or(s.firstEpoch, link.epoch)
		s.settle(answer, link.epoch)
		e.recordAnswer(err == nil && answer.outcome != fleetpb.Outcome_NOT_LEADER)
		var invalid *structs.InvalidError
		switch {
		case err == nil && (answer.outcome == fleetpb.Outcome_DONE || answer.outcome == fleetpb.Outcome_NOT_FOUND):
			e.recordEnd(call, s, link.epoch, "decided")
			return answer.outcome, nil
		case errors.As(err, &invalid):
			return answer.outcome, err
		case err != nil:
			e.recordFailure(s, call, link, row, err)
		default:
			e.recordUndecided(ctx, s, call, link, answer)
		}
		if left := s.left(ctx); left > 0 {
			e.leaders.awaitNewer(ctx, row, min(left, leaderRetryPause))
		}
	}
	s.lastErr = cmp.Or(s.lastErr, ctx.Err())
	err := s.result()
	switch {
	case s.unansweredEpoch > 0:
		e.recordEnd(call, s, s.unansweredEpoch, "unknown")
	default:
		e.recordEnd(call, s, s.firstEpoch, "not run")
	}
	return 0, err
}

// recordFailure applies an attempt without an answer to the state of the call. row is
// the one by which the leader of the link was chosen.
func (e *Entry) recordFailure(s *leaderSearch, call leaderCall, link *leaderLink, row leaderRow, err error) {
	s.lastErr = err
	var unavailable *structs.UnavailableError
	if !errors.As(err, &unavailable) {
		s.recordUnanswered(call, link.epoch)
		return
	}
	s.unreachable = e.leaders.known()
	if link.replaced.Err() != nil {
		s.unreachable = row // the known row names another leader, which was not tried
	}
}

// recordUndecided applies an answer that does not decide the call to its state.
func (e *Entry) recordUndecided(ctx context.Context, s *leaderSearch, call leaderCall, link *leaderLink, answer leaderAnswer) {
	switch {
	case answer.outcome == fleetpb.Outcome_UNKNOWN:
		s.recordUnanswered(call, link.epoch)
		s.lastErr = &structs.UnavailableError{Dependency: "leader"}
	case answer.retryAfter > 0:
		s.refused, s.reason, s.retryAfter = true, structs.ReasonDeadline, answer.retryAfter
		s.lastErr = &structs.RefusedError{Subject: "job", Reason: structs.ReasonDeadline, Detail: "the pool is overloaded"}
	case answer.outcome == fleetpb.Outcome_REFUSED:
		s.refused = !e.leaders.refresh(ctx, link.epoch, shortSearchLimit) // another attempt at this leader would not help
		s.lastErr = &structs.UnavailableError{Dependency: "store", RetryAfter: noLeaderRetryAfter}
	}
}

// recordEnd records the end of a call with an attempt without an answer.
func (e *Entry) recordEnd(call leaderCall, s *leaderSearch, epoch int64, result string) {
	if !s.wasUnanswered {
		return
	}
	took := time.Since(s.begun)
	e.leaders.metrics.recordUnanswered(result, took)
	e.log.Info("call with an attempt without an answer", zap.String("call", call.name), zap.String("job", string(call.job)),
		zap.String("result", result), zap.Int64("first_epoch", s.firstEpoch), zap.Int64("epoch", epoch), zap.Duration("took", took))
}
