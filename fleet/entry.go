package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of calls to the leader.
const (
	leaderCall   = 900 * time.Millisecond  // one call; a commit in a slow store takes up to 800 ms
	leaderPause  = 50 * time.Millisecond   // between attempts
	leaderRead   = 600 * time.Millisecond  // one read of the leadership row
	retryLeader  = time.Second             // when clients may come back while there is no leader
	leaderSearch = 1500 * time.Millisecond // how long a call waits for a leader: about as long as a takeover takes
	briefSearch  = 250 * time.Millisecond  // the same, once there has been none for that long
	phaseSearch  = 700 * time.Millisecond  // the same, before the store is asked instead
	readInterval = 100 * time.Millisecond  // least time between two reads of the leadership row
)

// Entry passes jobs of callers on to the leader. It keeps nothing that can't
// be lost.
type Entry struct {
	store substrate.PartStore
	dial  Dial
	log   *zap.Logger

	mu      sync.Mutex
	address string // of the leader, empty if unknown
	conn    *grpc.ClientConn
	dialed  *dialer // of conn
	readAt  time.Time
	lostAt  time.Time // since when no leader has answered, zero while one does
}

// NewEntry returns an entry that finds the leader through the store. A nil dial
// stands for TCP.
func NewEntry(store substrate.PartStore, dial Dial, log *zap.Logger) *Entry {
	if dial == nil {
		dial = dialTCP
	}
	return &Entry{store: store, dial: dial, log: log}
}

// Close ends the connection to the leader.
func (e *Entry) Close() error {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn == nil {
		return nil
	}
	err := e.conn.Close()
	e.conn, e.address = nil, ""
	return err
}

// Submit hands a job in within ctx. It returns nil when the job is stored,
// *structs.NotRunError when it surely is not and never will be by this call,
// *structs.UnknownOutcomeError otherwise, and *structs.InvalidError for a job
// that can't be accepted.
func (e *Entry) Submit(ctx context.Context, job *structs.StepJob, queue structs.Queue) error {
	spec, err := json.Marshal(job)
	if err != nil {
		return fmt.Errorf("encode job: %w", err)
	}
	policy, err := json.Marshal(queue)
	if err != nil {
		return fmt.Errorf("encode queue: %w", err)
	}
	outcome, err := e.decided(ctx, func(ctx context.Context, c fleetpb.FleetClient) (fleetpb.Outcome, string, error) {
		resp, err := c.Submit(ctx, &fleetpb.SubmitRequest{Job: spec, Queue: policy})
		return resp.GetOutcome(), resp.GetLeader(), err
	})
	if err != nil {
		return err
	}
	if outcome != fleetpb.Outcome_DONE {
		return &structs.UnknownOutcomeError{Operation: "submit", Err: &structs.RefusedError{Subject: "job", Detail: outcome.String()}}
	}
	return nil
}

// Cancel cancels a job. It returns nil when that is stored,
// *structs.NotFoundError when there is no such job, and errors like Submit.
func (e *Entry) Cancel(ctx context.Context, id structs.JobID, queue structs.QueueID) error {
	outcome, err := e.decided(ctx, func(ctx context.Context, c fleetpb.FleetClient) (fleetpb.Outcome, string, error) {
		resp, err := c.Cancel(ctx, &fleetpb.CancelRequest{Job: string(id), Queue: string(queue)})
		return resp.GetOutcome(), resp.GetLeader(), err
	})
	switch {
	case err != nil:
		return err
	case outcome == fleetpb.Outcome_NOT_FOUND:
		return e.confirmMissing(ctx, id, queue)
	default:
		return nil
	}
}

// confirmMissing asks the store whether a job that a leader does not know is
// missing: the leader may have been replaced without knowing it yet.
func (e *Entry) confirmMissing(ctx context.Context, id structs.JobID, queue structs.QueueID) error {
	_, err := e.storedPhase(ctx, id, queue)
	if err != nil {
		return err
	}
	e.forget("job is in the store, but unknown to the leader")
	return &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader}
}

func (e *Entry) storedPhase(ctx context.Context, id structs.JobID, queue structs.QueueID) (structs.JobPhase, error) {
	phase, of, err := StoredPhase(ctx, e.store, id)
	if err != nil {
		return "", err
	}
	if of != queue {
		return "", &structs.NotFoundError{Subject: "job", Name: string(id)}
	}
	return phase, nil
}

// Phase returns the phase of a job, or *structs.NotFoundError.
func (e *Entry) Phase(ctx context.Context, id structs.JobID, queue structs.QueueID) (structs.JobPhase, error) {
	var phase string
	search, cancel := context.WithTimeout(ctx, phaseSearch)
	defer cancel()
	outcome, err := e.decided(search, func(ctx context.Context, c fleetpb.FleetClient) (fleetpb.Outcome, string, error) {
		resp, err := c.Phase(ctx, &fleetpb.PhaseRequest{Job: string(id), Queue: string(queue)})
		phase = resp.GetPhase()
		return resp.GetOutcome(), resp.GetLeader(), err
	})
	if err == nil && outcome == fleetpb.Outcome_DONE {
		return structs.JobPhase(phase), nil
	}
	return e.storedPhase(ctx, id, queue)
}

// Waiting returns the number of jobs of the queue that have not begun.
func (e *Entry) Waiting(ctx context.Context, queue structs.QueueID) (int64, error) {
	var waiting int64
	outcome, err := e.decided(ctx, func(ctx context.Context, c fleetpb.FleetClient) (fleetpb.Outcome, string, error) {
		resp, err := c.Waiting(ctx, &fleetpb.WaitingRequest{Queue: string(queue)})
		waiting = resp.GetWaiting()
		return resp.GetOutcome(), resp.GetLeader(), err
	})
	if err != nil {
		return 0, err
	}
	if outcome != fleetpb.Outcome_DONE {
		return 0, &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader}
	}
	return waiting, nil
}

// call is one call to a leader: its outcome, and the leader's address if the
// one that was called is not.
type call func(context.Context, fleetpb.FleetClient) (fleetpb.Outcome, string, error)

// decided repeats a call until a leader has decided or ctx ends.
func (e *Entry) decided(ctx context.Context, f call) (fleetpb.Outcome, error) {
	doubtful := false
	var last error
	begun, search := time.Now(), e.search()
	for {
		outcome, err := e.attempt(ctx, f)
		e.heard(err == nil && outcome != fleetpb.Outcome_NOT_LEADER)
		var invalid *structs.InvalidError
		switch {
		case err == nil && (outcome == fleetpb.Outcome_DONE || outcome == fleetpb.Outcome_NOT_FOUND):
			return outcome, nil
		case errors.As(err, &invalid):
			return outcome, err
		case err == nil && outcome == fleetpb.Outcome_REFUSED && !e.moved(ctx):
			last = &structs.UnavailableError{Dependency: "store", RetryAfter: retryLeader}
			search = 0 // the leader knows better than to wait
		case err == nil && outcome == fleetpb.Outcome_UNKNOWN:
			doubtful = true
			last = &structs.UnavailableError{Dependency: "leader"}
		case err != nil:
			// The store's read of the leadership may be the cause of an
			// unavailable leader; its own outcome is of no matter.
			var unavailable *structs.UnavailableError
			doubtful = doubtful || !errors.As(err, &unavailable)
			last = err
		}
		if time.Since(begun) > search || sleep(ctx, leaderPause) != nil {
			break
		}
	}
	if doubtful {
		return 0, &structs.UnknownOutcomeError{Operation: "call to the leader", Err: last}
	}
	return 0, &structs.NotRunError{Reason: structs.ReasonNotLeader, RetryAfter: retryLeader, Err: last}
}

// search returns how long a call may look for a leader. While there has been
// none for long, waiting for one helps nobody.
func (e *Entry) search() time.Duration {
	e.mu.Lock()
	defer e.mu.Unlock()
	if !e.lostAt.IsZero() && time.Since(e.lostAt) > leaderSearch {
		return briefSearch
	}
	return leaderSearch
}

// heard takes note of whether a leader has answered.
func (e *Entry) heard(answered bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	switch {
	case answered:
		e.lostAt = time.Time{}
	case e.lostAt.IsZero():
		e.lostAt = time.Now()
	}
}

// attempt makes one call. Its error is *structs.UnknownOutcomeError unless the
// call surely did not reach a leader.
func (e *Entry) attempt(ctx context.Context, f call) (fleetpb.Outcome, error) {
	conn, dialed, address, err := e.connect(ctx)
	if err != nil {
		return 0, err
	}
	limited, cancel := context.WithTimeout(ctx, leaderCall)
	defer cancel()
	outcome, leader, err := f(limited, fleetpb.NewFleetClient(conn))
	switch {
	case status.Code(err) == codes.InvalidArgument:
		return 0, &structs.InvalidError{Subject: "job", Faults: []structs.Fault{{Path: "/", Rule: status.Convert(err).Message()}}}
	case err != nil:
		if !expiring(ctx) { // else the caller's time was up, which says nothing of the leader
			e.forgetAddress(address, err.Error())
		}
		if !dialed.connected() {
			return 0, &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader, Err: err}
		}
		return 0, &structs.UnknownOutcomeError{Operation: "call to the leader", Err: err}
	case outcome == fleetpb.Outcome_NOT_LEADER:
		e.forgetAddress(address, "not the leader")
		if leader != "" && leader != address {
			if _, _, _, err := e.use(leader); err != nil {
				return 0, err
			}
		}
	}
	return outcome, nil
}

// expiring reports whether the context is at its end. The other side sees the
// same deadline, and its answer may arrive a little before it.
func expiring(ctx context.Context) bool {
	deadline, limited := ctx.Deadline()
	return ctx.Err() != nil || (limited && time.Until(deadline) < leaderPause)
}

// connect returns a connection to the leader that is known, or to the one that
// the store names.
func (e *Entry) connect(ctx context.Context) (*grpc.ClientConn, *dialer, string, error) {
	e.mu.Lock()
	conn, dialed, address := e.conn, e.dialed, e.address
	since := time.Since(e.readAt)
	if conn == nil && since >= readInterval {
		e.readAt = time.Now()
	}
	e.mu.Unlock()
	if conn != nil {
		return conn, dialed, address, nil
	}
	if since < readInterval {
		return nil, nil, "", &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader}
	}
	limited, cancel := context.WithTimeout(ctx, leaderRead)
	defer cancel()
	row, err := readLeader(limited, e.store)
	if err != nil {
		return nil, nil, "", &structs.UnavailableError{Dependency: "store", RetryAfter: retryLeader, Err: err}
	}
	if row.Address == "" {
		return nil, nil, "", &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader}
	}
	e.log.Info("leader found", zap.String("leader", row.Address), zap.Int64("epoch", row.Epoch), zap.Int64("version", row.Version))
	return e.use(row.Address)
}

// moved reports whether the store names another leader than the one that was
// called, and uses it.
func (e *Entry) moved(ctx context.Context) bool {
	limited, cancel := context.WithTimeout(ctx, briefSearch)
	defer cancel()
	row, err := readLeader(limited, e.store)
	if err != nil || row.Address == "" {
		return false
	}
	e.mu.Lock()
	same := row.Address == e.address
	e.mu.Unlock()
	if same {
		return false
	}
	_, _, _, err = e.use(row.Address)
	return err == nil
}

// use makes the address the leader's.
func (e *Entry) use(address string) (*grpc.ClientConn, *dialer, string, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.conn != nil && e.address == address {
		return e.conn, e.dialed, address, nil
	}
	dialed := &dialer{dial: e.dial}
	conn, err := dialed.connect(address)
	if err != nil {
		return nil, nil, "", &structs.UnavailableError{Dependency: "leader", RetryAfter: retryLeader, Err: err}
	}
	e.drop()
	e.conn, e.dialed, e.address = conn, dialed, address
	return conn, dialed, address, nil
}

// drop closes the connection once calls on it have had time to finish.
func (e *Entry) drop() {
	if old := e.conn; old != nil {
		time.AfterFunc(2*leaderCall, func() {
			if err := old.Close(); err != nil {
				e.log.Debug("close connection to leader", zap.Error(err))
			}
		})
	}
	e.conn, e.dialed, e.address = nil, nil, ""
}

func (e *Entry) forgetAddress(address, reason string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.address != address {
		return
	}
	e.log.Warn("leader lost", zap.String("leader", address), zap.String("reason", reason))
	e.drop()
}

func (e *Entry) forget(reason string) {
	e.mu.Lock()
	address := e.address
	e.mu.Unlock()
	e.forgetAddress(address, reason)
}
