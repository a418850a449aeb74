package fleet

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Timeouts and pauses of calls to the leader.
const (
	leaderCallTimeout  = 900 * time.Millisecond // a commit in a slow store takes up to 800 ms
	leaderRetryPause   = 50 * time.Millisecond
	slowAnswerAfter    = 200 * time.Millisecond  // after which an attempt without an answer follows the leadership row
	noLeaderRetryAfter = time.Second             // retry delay for clients while there is no leader
	leaderSearchLimit  = 1500 * time.Millisecond // how long a call without effect searches for a leader, about as long as a takeover takes
	shortSearchLimit   = 250 * time.Millisecond  // replaces leaderSearchLimit once no leader has answered for leaderSearchLimit
	phaseSearchLimit   = 700 * time.Millisecond  // replaces leaderSearchLimit for Phase, which can read the phase from the store instead
	longestSearch      = 10 * time.Second        // how long a call without a deadline searches for a leader that decides it
)

// Entry forwards the requests of clients to the leader. It has no state that
// must survive a restart.
type Entry struct {
	store   substrate.PartStore
	log     *zap.Logger
	leaders *leaderWatch

	mu              sync.Mutex
	unansweredSince time.Time // since when no leader has answered, zero after an answer
}

// NewEntry returns an entry that finds the leader through the store. It uses
// TCP if dial is nil.
func NewEntry(store substrate.PartStore, dial Dial, log *zap.Logger) *Entry {
	if dial == nil {
		dial = dialTCP
	}
	return &Entry{store: store, log: log, leaders: newLeaderWatch(store, dial, log)}
}

// Close ends the connection to the leader. Calls that wait end, and later ones are
// not run.
func (e *Entry) Close() error { return e.leaders.close() }

// Submit submits a job. It returns nil when the job is stored,
// *structs.NotRunError when the job is not stored and this call will never
// store it, *structs.InvalidError for an invalid job, and
// *structs.UnknownOutcomeError otherwise.
func (e *Entry) Submit(ctx context.Context, job *structs.StepJob, queue structs.Queue) error {
	spec, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	policy, err := json.Marshal(queue)
	if err != nil {
		return fmt.Errorf("encode queue: %w", err)
	}
	call := leaderCall{name: "submit", job: job.ID, token: rand.Text()}
	call.send = func(ctx context.Context, c fleetpb.FleetClient, opts ...grpc.CallOption) (leaderReply, error) {
		return c.Submit(ctx, &fleetpb.SubmitRequest{Job: spec, Queue: policy}, opts...)
	}
	outcome, err := e.callUntilDecided(ctx, call)
	if err != nil {
		return err
	}
	if outcome != fleetpb.Outcome_DONE {
		return &structs.UnknownOutcomeError{Operation: "submit", Err: &structs.RefusedError{Subject: "job", Detail: outcome.String()}}
	}
	return nil
}

// Cancel cancels a job. It returns nil when the cancellation is stored,
// *structs.NotFoundError when there is no such job, and otherwise the same
// errors as Submit.
func (e *Entry) Cancel(ctx context.Context, id structs.JobID, queue structs.QueueID) error {
	call := leaderCall{name: "cancel", job: id}
	call.send = func(ctx context.Context, c fleetpb.FleetClient, opts ...grpc.CallOption) (leaderReply, error) {
		return c.Cancel(ctx, &fleetpb.CancelRequest{Job: string(id), Queue: string(queue)}, opts...)
	}
	outcome, err := e.callUntilDecided(ctx, call)
	switch {
	case err != nil:
		return err
	case outcome == fleetpb.Outcome_NOT_FOUND:
		return e.confirmMissing(ctx, id, queue)
	default:
		return nil
	}
}

// confirmMissing checks in the store that a job does not exist after the leader
// has not found it. The node that answered may have lost the leadership
// already.
func (e *Entry) confirmMissing(ctx context.Context, id structs.JobID, queue structs.QueueID) error {
	_, err := e.storedPhase(ctx, id, queue)
	if err != nil {
		return err
	}
	e.log.Warn("job is in the store, but unknown to the leader", zap.String("job", string(id)))
	e.leaders.refresh(ctx, e.leaders.known().Epoch, shortSearchLimit)
	return &structs.UnavailableError{Dependency: "leader", RetryAfter: noLeaderRetryAfter}
}

func (e *Entry) storedPhase(ctx context.Context, id structs.JobID, queue structs.QueueID) (structs.JobPhase, error) {
	phase, storedQueue, err := ReadStoredPhase(ctx, e.store, id)
	if err != nil {
		return "", err
	}
	if storedQueue != queue {
		return "", &structs.NotFoundError{Subject: "job", Name: string(id)}
	}
	return phase, nil
}

// Phase returns the phase of a job, or *structs.NotFoundError if there is no
// such job. It reads the phase from the store if no leader answers.
func (e *Entry) Phase(ctx context.Context, id structs.JobID, queue structs.QueueID) (structs.JobPhase, error) {
	var phase string
	search, cancel := context.WithTimeout(ctx, phaseSearchLimit)
	defer cancel()
	call := leaderCall{name: "phase", readOnly: true, job: id}
	call.send = func(ctx context.Context, c fleetpb.FleetClient, opts ...grpc.CallOption) (leaderReply, error) {
		resp, err := c.Phase(ctx, &fleetpb.PhaseRequest{Job: string(id), Queue: string(queue)}, opts...)
		phase = resp.GetPhase()
		return resp, err
	}
	outcome, err := e.callUntilDecided(search, call)
	if err == nil && outcome == fleetpb.Outcome_DONE {
		return structs.JobPhase(phase), nil
	}
	return e.storedPhase(ctx, id, queue)
}

// Waiting returns the number of jobs in the queue that have not begun.
func (e *Entry) Waiting(ctx context.Context, queue structs.QueueID) (int64, error) {
	var waiting int64
	call := leaderCall{name: "waiting", readOnly: true}
	call.send = func(ctx context.Context, c fleetpb.FleetClient, opts ...grpc.CallOption) (leaderReply, error) {
		resp, err := c.Waiting(ctx, &fleetpb.WaitingRequest{Queue: string(queue)}, opts...)
		waiting = resp.GetWaiting()
		return resp, err
	}
	outcome, err := e.callUntilDecided(ctx, call)
	if err != nil {
		return 0, err
	}
	if outcome != fleetpb.Outcome_DONE {
		return 0, &structs.UnavailableError{Dependency: "leader", RetryAfter: noLeaderRetryAfter}
	}
	return waiting, nil
}

// searchLimit returns how long a call may search for a leader. The limit is
// short if there has been no leader for a long time, since a longer search
// would then hardly find one.
func (e *Entry) searchLimit() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.unansweredSince.IsZero() && time.Since(e.unansweredSince) > leaderSearchLimit {
		return shortSearchLimit
	}
	return leaderSearchLimit
}

// recordAnswer records whether a leader has answered.
func (e *Entry) recordAnswer(answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case answered:
		e.unansweredSince = time.Time{}
	case e.unansweredSince.IsZero():
		e.unansweredSince = time.Now()
	}
}

// attempt makes one call to the leader, which ends as soon as a later leader is
// known. It returns *structs.UnavailableError when the call did not reach a node,
// *structs.InvalidError for an invalid job, and *structs.UnknownOutcomeError
// otherwise.
func (e *Entry) attempt(ctx context.Context, link *leaderLink, call leaderCall) (leaderAnswer, error) {
	limited, cancel := context.WithTimeout(ctx, leaderCallTimeout)
	defer cancel()
	defer context.AfterFunc(link.replaced, cancel)()
	slow := time.AfterFunc(slowAnswerAfter, func() { context.AfterFunc(limited, e.leaders.follow()) })
	defer slow.Stop()
	outgoing := withEpoch(limited, link.epoch)
	if call.token != "" {
		outgoing = metadata.AppendToOutgoingContext(outgoing, submissionKey, call.token)
	}
	var trailer metadata.MD
	reply, err := call.send(outgoing, fleetpb.NewFleetClient(link.conn), grpc.Trailer(&trailer))
	switch {
	case status.Code(err) == codes.InvalidArgument:
		e.leaders.metrics.countAttempt("invalid")
		return leaderAnswer{}, &structs.InvalidError{Subject: "job", Faults: []structs.Fault{{Path: "/", Rule: status.Convert(err).Message()}}}
	case err != nil:
		return leaderAnswer{}, e.attemptError(ctx, link, err)
	}
	answer := leaderAnswer{outcome: reply.GetOutcome(), retryAfter: retryAfterOf(trailer)}
	answer.refusedForGood = answer.outcome == fleetpb.Outcome_REFUSED && slices.Contains(trailer.Get(submissionKey), call.token)
	e.leaders.metrics.countAttempt(strings.ToLower(answer.outcome.String()))
	if answer.outcome == fleetpb.Outcome_NOT_LEADER {
		e.leaders.learn(leaderRow{leadership: leadership{Address: reply.GetLeader(), Epoch: epochOf(trailer)}})
	}
	return answer, nil
}

// attemptError classifies the error of an attempt, and stops the use of its
// connection.
func (e *Entry) attemptError(ctx context.Context, link *leaderLink, err error) error {
	isReplaced, connected := link.replaced.Err() != nil, link.dialer.connected()
	if !isReplaced && !nearDeadline(ctx) { // otherwise the caller's deadline caused the error, not the leader
		e.leaders.drop(link, err.Error())
	}
	switch {
	case isReplaced:
		e.leaders.metrics.countAttempt("replaced")
	case connected:
		e.leaders.metrics.countAttempt("no_answer")
	default:
		e.leaders.metrics.countAttempt("unreachable")
	}
	if !connected {
		return &structs.UnavailableError{Dependency: "leader", RetryAfter: noLeaderRetryAfter, Err: err}
	}
	return &structs.UnknownOutcomeError{Operation: "call to the leader", Err: err}
}

// nearDeadline reports whether the context ends within leaderRetryPause. The
// leader has the same deadline, and its error may arrive a little earlier.
func nearDeadline(ctx context.Context) bool {
	deadline, hasDeadline := ctx.Deadline()
	return ctx.Err() != nil || (hasDeadline && time.Until(deadline) < leaderRetryPause)
}
