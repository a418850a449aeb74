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
	// historyKept is the number of revisions that the history reaches back.
	historyKept = 1024
	// historyPage is the number of history rows read at once.
	historyPage = 256
	// settleInterval is the first wait before a commit of unknown outcome is
	// repeated.
	settleInterval = 50 * time.Millisecond
	// commitTimeout bounds one try of a commit. An answer that takes longer is
	// taken as lost.
	commitTimeout = 2 * time.Second
)

// Store keeps the configuration in the platform's table.
type Store struct {
	table substrate.Table
}

// NewStore returns a store on the table.
func NewStore(table substrate.Table) *Store { return &Store{table: table} }

// position is the configuration together with the table revision of its head
// row, 0 before the first change.
type position struct {
	*snapshot
	headRevision int64
}

// Current returns the configuration in force: revision 0 without teams before
// the first change.
func (s *Store) Current(ctx context.Context) (*structs.Config, error) {
	at, err := s.position(ctx)
	if err != nil {
		return nil, err
	}
	return at.config, nil
}

func (s *Store) position(ctx context.Context) (position, error) {
	rows, _, err := s.table.Changes(ctx, currentPrefix, 0)
	if err != nil {
		return position{}, fmt.Errorf("read configuration: %w", err)
	}
	snap, err := applyRows(nil, rows)
	if err != nil {
		return position{}, err
	}
	at := position{snapshot: snap}
	for _, row := range rows {
		if row.Key == headKey {
			at.headRevision = row.Revision
		}
	}
	return at, nil
}

// Apply makes the change if expected is still the current revision, and
// returns the new revision. It returns *ConflictError with the difference when
// another change came first, *structs.InvalidError with every fault of the
// change, *structs.UnavailableError when nothing was changed, and
// *structs.UnknownOutcomeError when ctx ended before the outcome was known.
func (s *Store) Apply(ctx context.Context, expected int64, change Change, operator string) (int64, error) {
	at, err := s.position(ctx)
	if err != nil {
		return 0, err
	}
	if at.revision != expected {
		return 0, s.conflict(ctx, expected, at)
	}
	return s.apply(ctx, at, change, HistoryEntry{Operator: operator})
}

// Rollback makes the configuration equal to that of an earlier revision, as a
// new revision. Errors are those of Apply and *structs.NotFoundError for a
// revision that the history no longer holds.
func (s *Store) Rollback(ctx context.Context, to int64, operator string) (int64, error) {
	at, err := s.position(ctx)
	if err != nil {
		return 0, err
	}
	wanted, err := s.rewind(ctx, at, to)
	if err != nil {
		return 0, err
	}
	change := replaceAll(at.config, wanted.config)
	return s.apply(ctx, at, change, HistoryEntry{Operator: operator, RollbackTo: to})
}

// At returns the configuration of a revision that the history holds.
func (s *Store) At(ctx context.Context, revision int64) (*structs.Config, error) {
	at, err := s.position(ctx)
	if err != nil {
		return nil, err
	}
	snap, err := s.rewind(ctx, at, revision)
	if err != nil {
		return nil, err
	}
	return snap.config, nil
}

// apply commits the change on top of at and settles its outcome.
func (s *Store) apply(ctx context.Context, at position, change Change, entry HistoryEntry) (int64, error) {
	next, err := change.applyTo(at.config)
	if err != nil {
		return 0, err
	}
	snap, err := newSnapshot(next)
	if err != nil {
		return 0, err
	}
	entry.Revision = next.Revision
	entry.At = time.Now().UTC()
	txn, err := transaction(at, snap, entry)
	if err != nil {
		return 0, err
	}
	err = s.commit(ctx, txn, entry.Revision)
	var lost *structs.ConflictError
	if errors.As(err, &lost) {
		now, readErr := s.position(ctx)
		if readErr != nil {
			return 0, &ConflictError{Expected: at.revision, Current: at.revision + 1, Partial: true}
		}
		return 0, s.conflict(ctx, at.revision, now)
	}
	if err != nil {
		return 0, err
	}
	return entry.Revision, nil
}

// transaction writes the head, the changed teams and the history row, and
// drops the oldest history row.
func transaction(at position, next *snapshot, entry HistoryEntry) (substrate.Txn, error) {
	txn := substrate.Txn{
		ID:       uuid.NewString(),
		Compares: []substrate.Compare{{Key: headKey, Revision: at.headRevision}},
	}
	changed, removed := next.changedFrom(at.snapshot)
	for _, id := range changed {
		txn.Puts = append(txn.Puts, substrate.Put{Key: teamKey(id), Value: next.teams[id]})
		entry.Changes = append(entry.Changes, TeamChange{Team: id, Before: json.RawMessage(at.teams[id]), After: json.RawMessage(next.teams[id])})
	}
	for _, id := range removed {
		txn.Deletes = append(txn.Deletes, teamKey(id))
		entry.Changes = append(entry.Changes, TeamChange{Team: id, Before: json.RawMessage(at.teams[id])})
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
	if oldest := entry.Revision - historyKept; oldest > 0 {
		txn.Deletes = append(txn.Deletes, historyKey(oldest))
	}
	return txn, nil
}

// commit repeats the transaction while its outcome is unknown. The comparison
// of the head lets it take effect at most once; a conflict is settled by the
// transaction ID in the history row.
func (s *Store) commit(ctx context.Context, txn substrate.Txn, revision int64) error {
	wait := backoff.NewExponentialBackOff()
	wait.InitialInterval = settleInterval
	unknown := false
	_, err := backoff.Retry(ctx, func() (struct{}, error) {
		try, cancel := context.WithTimeout(ctx, commitTimeout)
		defer cancel()
		_, err := s.table.Commit(try, txn)
		var conflict *structs.ConflictError
		switch {
		case err == nil:
			return struct{}{}, nil
		case errors.As(err, &conflict):
			return struct{}{}, s.settle(ctx, txn.ID, revision, err)
		case isUnknown(err):
			unknown = true
			return struct{}{}, err
		case unknown:
			return struct{}{}, err // this try had no effect, an earlier one may have
		default:
			return struct{}{}, backoff.Permanent(err)
		}
	}, backoff.WithBackOff(wait), backoff.WithMaxElapsedTime(0))
	var conflict *structs.ConflictError
	if err == nil || errors.As(err, &conflict) {
		return err
	}
	if unknown {
		return &structs.UnknownOutcomeError{Operation: fmt.Sprintf("change to configuration revision %d", revision), Err: err}
	}
	return fmt.Errorf("commit configuration: %w", err)
}

// settle tells whether the conflict came from an earlier try of the same
// transaction. It returns nil when the transaction has taken effect.
func (s *Store) settle(ctx context.Context, txnID string, revision int64, conflict error) error {
	row, err := s.table.Get(ctx, historyKey(revision))
	var absent *structs.NotFoundError
	switch {
	case err == nil && row.TxnID == txnID:
		return nil
	case err == nil || errors.As(err, &absent):
		return backoff.Permanent(conflict)
	default:
		return &structs.UnknownOutcomeError{Operation: "read back", Err: err}
	}
}

func isUnknown(err error) bool {
	var unknown *structs.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// conflict builds the error of a change against a revision that is not at.
func (s *Store) conflict(ctx context.Context, expected int64, at position) error {
	e := &ConflictError{Expected: expected, Current: at.revision}
	seen, err := s.rewind(ctx, at, expected)
	if err != nil {
		e.Partial = true
		return e
	}
	e.Difference = Diff(seen.config, at.config)
	return e
}
