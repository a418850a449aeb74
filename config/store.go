package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// maxHistoryRevisions is the number of revisions that the history holds.
	maxHistoryRevisions = 1024
	// historyPageRows is the number of history rows read in one call.
	historyPageRows = 256
	// commitRetryInterval is the first backoff before a commit of unknown
	// outcome is repeated.
	commitRetryInterval = 50 * time.Millisecond
	// commitTimeout bounds one commit attempt. After it the outcome of the
	// attempt is unknown.
	commitTimeout = 2 * time.Second
)

// Store reads and changes the configuration in the platform's table.
type Store struct {
	table substrate.Table
}

// NewStore returns a store on the table.
func NewStore(table substrate.Table) *Store { return &Store{table: table} }

// storedConfig is a snapshot read from the table, with the table revision of
// the head row. That revision is 0 before the first change.
type storedConfig struct {
	*snapshot
	headRowRevision int64
}

// Current returns the configuration in the table. Before the first change this
// is revision 0 without teams.
func (s *Store) Current(ctx context.Context) (*structs.Config, error) {
	current, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	return current.config, nil
}

func (s *Store) readCurrent(ctx context.Context) (storedConfig, error) {
	rows, _, err := s.table.Changes(ctx, currentPrefix, 0)
	if err != nil {
		return storedConfig{}, fmt.Errorf("read configuration: %w", err)
	}
	snap, err := applyRows(nil, rows)
	if err != nil {
		return storedConfig{}, err
	}
	stored := storedConfig{snapshot: snap}
	for _, row := range rows {
		if row.Key == headKey {
			stored.headRowRevision = row.Revision
		}
	}
	return stored, nil
}

// Apply commits the change if expected is still the current revision, and
// returns the new revision. It returns *ConflictError with the difference if
// another change was committed first, *structs.InvalidError with every fault of
// the change, *structs.UnavailableError if nothing was changed, and
// *structs.UnknownOutcomeError if ctx ended before the outcome was known.
func (s *Store) Apply(ctx context.Context, expected int64, change Change, operator string) (int64, error) {
	current, err := s.readCurrent(ctx)
	if err != nil {
		return 0, err
	}
	if current.revision != expected {
		return 0, s.conflictError(ctx, expected, current)
	}
	return s.apply(ctx, current, change, HistoryEntry{Operator: operator})
}

// Rollback commits a new revision with the content of an earlier one. It
// returns the errors of Apply, and *structs.NotFoundError if the history no
// longer holds the earlier revision.
func (s *Store) Rollback(ctx context.Context, to int64, operator string) (int64, error) {
	current, err := s.readCurrent(ctx)
	if err != nil {
		return 0, err
	}
	desired, err := s.snapshotAt(ctx, current, to)
	if err != nil {
		return 0, err
	}
	change := buildChange(current.config, desired.config)
	return s.apply(ctx, current, change, HistoryEntry{Operator: operator, RollbackTo: to})
}

// ReadRevision returns the configuration of a revision that the history holds.
func (s *Store) ReadRevision(ctx context.Context, revision int64) (*structs.Config, error) {
	current, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	snap, err := s.snapshotAt(ctx, current, revision)
	if err != nil {
		return nil, err
	}
	return snap.config, nil
}

// apply commits the change to current and returns the new revision.
func (s *Store) apply(ctx context.Context, current storedConfig, change Change, entry HistoryEntry) (int64, error) {
	next, err := change.applyTo(current.config)
	if err != nil {
		return 0, err
	}
	snap, err := newSnapshot(next)
	if err != nil {
		return 0, err
	}
	entry.Revision = next.Revision
	entry.At = time.Now().UTC()
	txn, err := buildTransaction(current, snap, entry)
	if err != nil {
		return 0, err
	}
	err = s.commit(ctx, txn, entry.Revision)
	var conflict *structs.ConflictError
	if errors.As(err, &conflict) {
		latest, readErr := s.readCurrent(ctx)
		if readErr != nil {
			return 0, &ConflictError{Expected: current.revision, Current: current.revision + 1, DifferenceMissing: true}
		}
		return 0, s.conflictError(ctx, current.revision, latest)
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, nil
}

// buildTransaction returns the transaction that writes the head row, the
// changed teams and the history row, and deletes the oldest history row.
func buildTransaction(current storedConfig, next *snapshot, entry HistoryEntry) (substrate.Txn, error) {
	txn := substrate.Txn{
		ID:       uuid.NewString(),
		Compares: []substrate.Compare{{Key: headKey, Revision: current.headRowRevision}},
	}
	changed, removed := next.changedTeams(current.snapshot)
	for _, id := range changed {
		txn.Puts = append(txn.Puts, substrate.Put{Key: teamKey(id), Value: next.documents[id]})
		entry.Changes = append(entry.Changes, TeamChange{Team: id, Before: json.RawMessage(current.documents[id]), After: json.RawMessage(next.documents[id])})
	}
	for _, id := range removed {
		txn.Deletes = append(txn.Deletes, teamKey(id))
		entry.Changes = append(entry.Changes, TeamChange{Team: id, Before: json.RawMessage(current.documents[id])})
	}
	head, err := json.Marshal(headRow{Revision: entry.Revision})
	if err != nil {
		return txn, fmt.Errorf("encode head: %w", err)
	}
	history, err := json.Marshal(entry)
	if err != nil {
		return txn, fmt.Errorf("encode history: %w", err)
	}
	txn.Puts = append(txn.Puts,
		substrate.Put{Key: headKey, Value: head},
		substrate.Put{Key: historyKey(entry.Revision), Value: history})
	if oldest := entry.Revision - maxHistoryRevisions; oldest > 0 {
		txn.Deletes = append(txn.Deletes, historyKey(oldest))
	}
	return txn, nil
}

// commit repeats the transaction while its outcome is unknown. The transaction
// compares the revision of the head row, so that it takes effect at most once.
// After a conflict, the transaction ID in the history row shows whether an
// earlier attempt took effect.
func (s *Store) commit(ctx context.Context, txn substrate.Txn, revision int64) error {
	retryBackoff := backoff.NewExponentialBackOff()
	retryBackoff.InitialInterval = commitRetryInterval
	outcomeUnknown := false
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		attemptCtx, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := s.table.Commit(attemptCtx, txn)
		var conflict *structs.ConflictError
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.As(err, &conflict):
			return struct{}{}, s.resolveConflict(ctx, txn.ID, revision, err)
		case isUnknownOutcome(err):
			outcomeUnknown = true
			return struct{}{}, err
		case outcomeUnknown:
			return struct{}{}, err // this attempt had no effect, but an earlier one may have
		default:
			return struct{}{}, backoff.Permanent(err)
		}
	}, backoff.WithBackOff(retryBackoff), backoff.WithMaxElapsedTime(0))
	var conflict *structs.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return err
	}
	if outcomeUnknown {
		return &structs.UnknownOutcomeError{Operation: fmt.Sprintf("change to configuration revision %d", revision), Err: err}
	}
	return fmt.Errorf("commit configuration: %w", err)
}

// resolveConflict determines whether an earlier attempt of the same transaction
// caused the conflict. It returns nil if the transaction has taken effect.
func (s *Store) resolveConflict(ctx context.Context, txnID string, revision int64, conflict error) error {
	row, err := s.table.Get(ctx, historyKey(revision))
	var absent *structs.NotFoundError
	switch {
	case err == nil && row.TxnID == txnID:
		return nil
	case err == nil || errors.As(err, &absent):
		return backoff.Permanent(conflict)
	default:
		return &structs.UnknownOutcomeError{Operation: "read history row after a commit conflict", Err: err}
	}
}

func isUnknownOutcome(err error) bool {
	var unknown *structs.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// conflictError returns the error for a change that was based on the revision
// expected, which is no longer current.
func (s *Store) conflictError(ctx context.Context, expected int64, current storedConfig) error {
	e := &ConflictError{Expected: expected, Current: current.revision}
	expectedSnapshot, err := s.snapshotAt(ctx, current, expected)
	if err != nil {
		e.DifferenceMissing = true
		return e
	}
	e.Difference = Diff(expectedSnapshot.config, current.config)
	return e
}
