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
	// claimMarkKey is the row that dates claims by revisions of the table.
	claimMarkKey = "claim-marks"
	// claimMarkInterval is the time between marks, by an entry's own clock.
	claimMarkInterval = time.Hour
	// claimMarks is the number of intervals for which a claim is kept.
	claimMarks = 24
	// claimSweepPoll is the time between looks at the marks.
	claimSweepPoll = time.Minute
	// claimSweepPage is the number of rows read and removed at once.
	claimSweepPage = 100
	// claimSweepPause is the time between pages.
	claimSweepPause = time.Second
)

// claimMarkRow holds revisions of the table, the oldest first. Each is at
// least one interval older than the next.
type claimMarkRow struct {
	Revisions []int64 `json:"revisions"`
}

// ClaimSweeper removes the rows of claims that are at least claimMarks
// intervals old. No wall clocks are compared: an entry adds a mark after it
// has seen the last one stand for an interval by its own monotonic clock.
type ClaimSweeper struct {
	table substrate.Table
	log   *zap.Logger

	seen  int64 // revision of the marks at the last look
	since time.Time
}

// NewClaimSweeper returns a sweeper of the claims in the table. The log may be
// nil.
func NewClaimSweeper(table substrate.Table, log *zap.Logger) *ClaimSweeper {
	if log == nil {
		log = zap.NewNop()
	}
	return &ClaimSweeper{table: table, log: log, seen: -1}
}

// Run sweeps until ctx ends. A table that fails is asked again at the next
// look.
func (s *ClaimSweeper) Run(ctx context.Context) error {
	ticker := time.NewTicker(claimSweepPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		bound, err := s.mark(ctx)
		if err == nil && bound > 0 {
			err = s.sweep(ctx, bound)
		}
		if err != nil {
			s.log.Debug("claims not swept", zap.Error(err))
		}
	}
}

// mark adds a mark when one is due. It returns the revision below which claims
// may be removed when this entry added the mark, else 0.
func (s *ClaimSweeper) mark(ctx context.Context) (bound int64, err error) {
	row, marks, err := s.read(ctx)
	if err != nil {
		s.seen = -1
		return 0, err
	}
	if row.Revision != s.seen {
		s.seen, s.since = row.Revision, time.Now()
	}
	if row.Revision > 0 && time.Since(s.since) < claimMarkInterval {
		return 0, nil
	}
	if row.Revision > 0 {
		// The marks were last written an interval ago, at this revision.
		marks.Revisions = append(marks.Revisions, row.Revision)
	}
	if extra := len(marks.Revisions) - claimMarks; extra > 0 {
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
	if err != nil || len(marks.Revisions) < claimMarks {
		return 0, err
	}
	return marks.Revisions[0], nil
}

func (s *ClaimSweeper) read(ctx context.Context) (substrate.Row, claimMarkRow, error) {
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

// sweep removes claims that were last written before the bound.
func (s *ClaimSweeper) sweep(ctx context.Context, bound int64) error {
	after := ""
	for {
		rows, err := s.table.List(ctx, ClaimRowPrefix, after, claimSweepPage)
		if err != nil || len(rows) == 0 {
			return err
		}
		after = rows[len(rows)-1].Key
		if err := s.remove(ctx, rows, bound); err != nil {
			return err
		}
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(claimSweepPause):
		}
	}
}

func (s *ClaimSweeper) remove(ctx context.Context, rows []substrate.Row, bound int64) error {
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
