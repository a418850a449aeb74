package burn

import (
	"context"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/google/uuid"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// foldInterval is the time between two rounds of a folder.
	foldInterval = 5 * time.Minute
	// liveKept is how long live rows stay after their window, for the short
	// burn windows and for late writers.
	liveKept = 75 * time.Minute
	// hoursKept is how long hour rows stay, for the long burn window.
	hoursKept = 4 * day
	// daysKept is how long day rows stay: the longest error budget window.
	daysKept = 91 * day
	// foldBatch is the most rows that one transaction takes.
	foldBatch = 100
	// foldTimeout bounds one call to the table.
	foldTimeout = 5 * time.Second
)

// Folder packs older rows: live rows into hours, hours into days, and drops
// days that no error budget needs. Several may run at once; each transaction
// compares every row that it takes, so no count is lost or taken twice.
type Folder struct {
	table   substrate.Table
	metrics *metrics
	log     *zap.Logger
}

// NewFolder returns a folder. Entries run one each.
func NewFolder(table substrate.Table, log *zap.Logger) *Folder {
	return &Folder{table: table, metrics: newMetrics(), log: log}
}

// Run folds until ctx ends.
func (f *Folder) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(foldInterval + rand.N(foldInterval)):
		}
		if err := f.Fold(ctx); err != nil && ctx.Err() == nil {
			f.log.Debug("fold of burn counts", zap.Error(err))
		}
	}
}

// Fold makes one round. Errors are those of the table; what was folded before
// stays folded.
func (f *Folder) Fold(ctx context.Context) error {
	now := time.Now()
	if err := f.foldRows(ctx, livePrefix, hourPrefix, time.Hour, now.Add(-liveKept)); err != nil {
		return err
	}
	if err := f.foldRows(ctx, hourPrefix, dayPrefix, day, now.Add(-hoursKept)); err != nil {
		return err
	}
	return f.dropDays(ctx, now.Add(-daysKept))
}

// foldRows packs rows below from that ended before the time into rows of the
// given length below to.
func (f *Folder) foldRows(ctx context.Context, from, to string, length time.Duration, before time.Time) error {
	after := ""
	for {
		rows, err := f.list(ctx, from, after)
		if err != nil {
			return err
		}
		batch := newFoldBatch()
		more := len(rows) == foldBatch
		for _, row := range rows {
			after = row.Key
			start, period, err := period(row.Key)
			if err == nil && !start.Add(period).Before(before) {
				more = false // rows are sorted by their start
				break
			}
			b, err := decodeRow(row)
			if err != nil {
				f.log.Warn("burn row is passed over", zap.Error(err))
				continue
			}
			batch.take(row, b, foldedKey(to, start.Truncate(length).Unix()))
		}
		if err := f.commit(ctx, batch); err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

func (f *Folder) list(ctx context.Context, prefix, after string) ([]substrate.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	rows, err := f.table.List(ctx, prefix, after, foldBatch)
	if err != nil {
		return nil, fmt.Errorf("fold %s: %w", prefix, err)
	}
	return rows, nil
}

// foldedBatch is one transaction in the making.
type foldedBatch struct {
	txn   substrate.Txn
	parts map[string][]bucket // by key of the row that they go into
}

func newFoldBatch() *foldedBatch {
	return &foldedBatch{txn: substrate.Txn{ID: uuid.NewString()}, parts: map[string][]bucket{}}
}

func (b *foldedBatch) take(row substrate.Row, part bucket, into string) {
	b.txn.Compares = append(b.txn.Compares, substrate.Compare{Key: row.Key, Revision: row.Revision})
	b.txn.Deletes = append(b.txn.Deletes, row.Key)
	b.parts[into] = append(b.parts[into], part)
}

// fold adds the parts to the counts of a row, and each live row only once.
func fold(into *counts, parts []bucket) *counts {
	total := sum(into)
	if into != nil {
		total.Folded = into.Folded
	}
	for _, part := range parts {
		if slices.Contains(total.Folded, hash(part.key)) {
			continue
		}
		total.add(part.counts)
		if part.length == Window {
			total.Folded = append(total.Folded, hash(part.key))
		}
	}
	return total
}

// commit adds the parts to their rows. A conflict means that another folder or
// a writer came first; the next round sees what is left.
func (f *Folder) commit(ctx context.Context, b *foldedBatch) error {
	if len(b.parts) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	for key, parts := range b.parts {
		revision, existing, err := f.read(ctx, key)
		if err != nil {
			return err
		}
		data, err := encodeCounts(fold(existing, parts))
		if err != nil {
			return err
		}
		b.txn.Compares = append(b.txn.Compares, substrate.Compare{Key: key, Revision: revision})
		b.txn.Puts = append(b.txn.Puts, substrate.Put{Key: key, Value: data})
	}
	_, err := f.table.Commit(ctx, b.txn)
	var conflict *structs.ConflictError
	if errors.As(err, &conflict) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("fold: %w", err)
	}
	f.metrics.foldedRows(len(b.txn.Deletes))
	return nil
}

// read returns a row that is folded into, or revision 0 when it is absent.
func (f *Folder) read(ctx context.Context, key string) (int64, *counts, error) {
	row, err := f.table.Get(ctx, key)
	var absent *structs.NotFoundError
	if errors.As(err, &absent) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, fmt.Errorf("fold into %s: %w", key, err)
	}
	c, err := decodeCounts(key, row.Value)
	return row.Revision, c, err
}

// dropDays deletes day rows that ended before the time.
func (f *Folder) dropDays(ctx context.Context, before time.Time) error {
	rows, err := f.list(ctx, dayPrefix, "")
	if err != nil {
		return err
	}
	txn := substrate.Txn{ID: uuid.NewString()}
	for _, row := range rows {
		b, err := decodeRow(row)
		if err == nil && b.end().Before(before) {
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	if _, err := f.table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("drop days: %w", err)
	}
	return nil
}
