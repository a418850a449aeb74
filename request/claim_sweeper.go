package request

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// claimMarkKey is the key of the row that holds the claim marks. A mark is
	// a table revision whose minimum age is known, so that the age of claims
	// can be derived from their revisions.
	claimMarkKey = "claim-marks"
	// claimMarkInterval is the least time between two marks, measured by the
	// monotonic clock of the entry that adds the mark.
	claimMarkInterval = time.Hour
	// claimRetentionMarks is the number of marks, and so of intervals, for
	// which a claim is kept.
	claimRetentionMarks = 24
	// claimSweepInterval is the time between checks whether a mark is due.
	claimSweepInterval = time.Minute
	// claimSweepPageRows is the maximum number of rows that are listed at once
	// and removed in one transaction.
	claimSweepPageRows = 100
	// claimSweepPause is the pause between pages.
	claimSweepPause = time.Second
)

// claimMarkRow holds the marks, oldest first. Consecutive marks are at least
// one claimMarkInterval apart.
type claimMarkRow struct {
	Revisions []int64 `json:"revisions"`
}

// ClaimSweeper removes the rows of claims that are at least claimRetentionMarks
// intervals old. Every entry runs a sweeper. The sweepers do not compare wall
// clocks. An entry adds a mark after it has observed the mark row unchanged for
// one interval of its own monotonic clock.
type ClaimSweeper struct {
	table substrate.Table
	log   *zap.Logger

	seenRevision int64     // revision of the mark row at the last check, -1 before the first check and after a failed one
	seenSince    time.Time // time of the first check that found seenRevision
}

// NewClaimSweeper returns a sweeper of the claims in the table. The log may be
// nil.
func NewClaimSweeper(table substrate.Table, log *zap.Logger) *ClaimSweeper {
	if log == nil {
		log = zap.NewNop()
	}
	return &ClaimSweeper{table: table, log: log, seenRevision: -1}
}

// Run removes old claims until ctx ends. After an error it tries again at the
// next check.
func (s *ClaimSweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(claimSweepInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		bound, err := s.advanceMarks(ctx)
		if err == nil && bound > 0 {
			err = s.removeClaimsBefore(ctx, bound)
		}
		if err != nil {
			s.log.Debug("removal of old idempotency claims failed", zap.Error(err))
		}
	}
}

// advanceMarks adds a mark if a mark is due. If this entry added the mark and
// there are enough marks, it returns the revision below which claims may be
// removed. Otherwise it returns 0.
func (s *ClaimSweeper) advanceMarks(ctx context.Context) (bound int64, err error) {
	row, marks, err := s.readMarks(ctx)
	if err != nil {
		s.seenRevision = -1
		return 0, err
	}
	if row.Revision != s.seenRevision {
		s.seenRevision, s.seenSince = row.Revision, time.Now()
	}
	if row.Revision > 0 && time.Since(s.seenSince) < claimMarkInterval {
		return 0, nil
	}
	if row.Revision > 0 {
		// The mark row has been unchanged for one interval, so this revision is
		// at least that old.
		marks.Revisions = append(marks.Revisions, row.Revision)
	}
	if extra := len(marks.Revisions) - claimRetentionMarks; extra > 0 {
		marks.Revisions = marks.Revisions[extra:]
	}
	value, err := json.Marshal(marks)
	if err != nil {
		return 0, fmt.Errorf("claim marks: %w", err)
	}
	_, err = s.table.Commit(ctx, substrate.Txn{
		ID:       uuid.NewString(),
		Compares: []substrate.Compare{{Key: claimMarkKey, Revision: row.Revision}},
		Puts:     []substrate.Put{{Key: claimMarkKey, Value: value}},
	})
	if err != nil || len(marks.Revisions) < claimRetentionMarks {
		return 0, err
	}
	return marks.Revisions[0], nil
}

// readMarks returns the mark row and its marks, both empty if the row does not
// exist.
func (s *ClaimSweeper) readMarks(ctx context.Context) (substrate.Row, claimMarkRow, error) {
	var marks claimMarkRow
	row, err := s.table.Get(ctx, claimMarkKey)
	var missing *structs.NotFoundError
	if errors.As(err, &missing) {
		return substrate.Row{}, marks, nil
	}
	if err != nil {
		return substrate.Row{}, marks, err
	}
	if err := json.Unmarshal(row.Value, &marks); err != nil {
		return substrate.Row{}, marks, fmt.Errorf("claim marks: %w", err)
	}
	return row, marks, nil
}

// removeClaimsBefore removes claims whose row was last written before the
// bound.
func (s *ClaimSweeper) removeClaimsBefore(ctx context.Context, bound int64) error {
	after := ""
	for {
		rows, err := s.table.List(ctx, ClaimRowPrefix, after, claimSweepPageRows)
		if err != nil || len(rows) == 0 {
			return err
		}
		after = rows[len(rows)-1].Key
		if err := s.removeRowsBefore(ctx, rows, bound); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(claimSweepPause):
		}
	}
}

func (s *ClaimSweeper) removeRowsBefore(ctx context.Context, rows []substrate.Row, bound int64) error {
	txn := substrate.Txn{ID: uuid.NewString()}
	for _, row := range rows {
		if row.Revision < bound && strings.HasPrefix(row.Key, ClaimRowPrefix) {
			txn.Compares = append(txn.Compares, substrate.Compare{Key: row.Key, Revision: row.Revision})
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	_, err := s.table.Commit(ctx, txn)
	return err
}
