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
	// foldInterval is the minimum time between two runs of a folder. A random
	// delay of up to the same length is added.
	foldInterval = 5 * time.Minute
	// liveRetention is how long live rows are kept after their window ends. The
	// short burn windows and late writers need them.
	liveRetention = 75 * time.Minute
	// hourRetention is how long hour rows are kept. The longest burn window
	// needs them.
	hourRetention = 4 * day
	// dayRetention is how long day rows are kept. The longest window of an
	// error budget needs them.
	dayRetention = 91 * day
	// foldBatchSize bounds the rows that one transaction folds.
	foldBatchSize = 100
	// foldTimeout bounds one listing of rows, and one commit together with the
	// reads that it needs.
	foldTimeout = 5 * time.Second
)

// Folder merges live rows into hour rows and hour rows into day rows, and
// deletes day rows that no error budget needs. Several folders may run at the
// same time. Each transaction checks the revisions of the rows that it folds,
// so that no count is lost or added twice.
type Folder struct {
	table   substrate.Table
	metrics *metrics
	log     *zap.Logger
}

// NewFolder returns a folder. Every entry runs one.
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
			f.log.Debug("folding burn counts failed", zap.Error(err))
		}
	}
}

// Fold folds all rows that are old enough. If it returns an error of the table,
// the rows that it folded before the error remain folded.
func (f *Folder) Fold(ctx context.Context) error {
	now := time.Now()
	if err := f.foldRows(ctx, livePrefix, hourPrefix, time.Hour, now.Add(-liveRetention)); err != nil {
		return err
	}
	if err := f.foldRows(ctx, hourPrefix, dayPrefix, day, now.Add(-hourRetention)); err != nil {
		return err
	}
	return f.deleteExpiredDays(ctx, now.Add(-dayRetention))
}

// foldRows merges the rows with the prefix from whose periods ended before the
// cutoff. The merged rows have the prefix to and periods of the given length.
func (f *Folder) foldRows(ctx context.Context, from, to string, length time.Duration, cutoff time.Time) error {
	after := ""
	for {
		rows, err := f.listRows(ctx, from, after)
		if err != nil {
			return err
		}
		batch := newFoldBatch()
		more := len(rows) == foldBatchSize
		for _, row := range rows {
			after = row.Key
			start, rowLength, err := parsePeriod(row.Key)
			if err == nil && !start.Add(rowLength).Before(cutoff) {
				more = false // rows are sorted by their start
				break
			}
			b, err := decodeRow(row)
			if err != nil {
				f.log.Warn("skipping corrupt burn row", zap.Error(err))
				continue
			}
			batch.addRow(row, b, foldedKey(to, start.Truncate(length).Unix()))
		}
		if err := f.commit(ctx, batch); err != nil {
			return err
		}
		if !more {
			return nil
		}
	}
}

func (f *Folder) listRows(ctx context.Context, prefix, after string) ([]substrate.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	rows, err := f.table.List(ctx, prefix, after, foldBatchSize)
	if err != nil {
		return nil, fmt.Errorf("list rows %s: %w", prefix, err)
	}
	return rows, nil
}

// foldBatch is the transaction that folds one batch of rows.
type foldBatch struct {
	txn     substrate.Txn
	buckets map[string][]bucket // by key of the hour row or day row that they are merged into
}

func newFoldBatch() *foldBatch {
	return &foldBatch{txn: substrate.Txn{ID: uuid.NewString()}, buckets: map[string][]bucket{}}
}

func (b *foldBatch) addRow(row substrate.Row, part bucket, into string) {
	b.txn.Compares = append(b.txn.Compares, substrate.Compare{Key: row.Key, Revision: row.Revision})
	b.txn.Deletes = append(b.txn.Deletes, row.Key)
	b.buckets[into] = append(b.buckets[into], part)
}

// foldBuckets adds the buckets to the counts of a row. It adds each live row
// only once.
func foldBuckets(into *counts, buckets []bucket) *counts {
	total := mergeCounts(into)
	if into != nil {
		total.Folded = into.Folded
	}
	for _, part := range buckets {
		if slices.Contains(total.Folded, hashKey(part.key)) {
			continue
		}
		total.add(part.counts)
		if part.length == Window {
			total.Folded = append(total.Folded, hashKey(part.key))
		}
	}
	return total
}

// commit adds the buckets to the rows that they are merged into. A conflict
// means that another folder or a writer has changed a row. The next run then
// folds the remaining rows.
func (f *Folder) commit(ctx context.Context, b *foldBatch) error {
	if len(b.buckets) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	for key, parts := range b.buckets {
		revision, existing, err := f.readFolded(ctx, key)
		if err != nil {
			return err
		}
		data, err := encodeCounts(foldBuckets(existing, parts))
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
		return fmt.Errorf("commit folded rows: %w", err)
	}
	f.metrics.countFolded(len(b.txn.Deletes))
	return nil
}

// readFolded returns the revision and the counts of an hour row or day row, or
// revision 0 if the row is absent.
func (f *Folder) readFolded(ctx context.Context, key string) (int64, *counts, error) {
	row, err := f.table.Get(ctx, key)
	var absent *structs.NotFoundError
	if errors.As(err, &absent) {
		return 0, nil, nil
	}
	if err != nil {
		return 0, nil, fmt.Errorf("read row %s: %w", key, err)
	}
	c, err := decodeCounts(key, row.Value)
	return row.Revision, c, err
}

// deleteExpiredDays deletes the day rows whose days ended before the cutoff.
func (f *Folder) deleteExpiredDays(ctx context.Context, cutoff time.Time) error {
	rows, err := f.listRows(ctx, dayPrefix, "")
	if err != nil {
		return err
	}
	txn := substrate.Txn{ID: uuid.NewString()}
	for _, row := range rows {
		b, err := decodeRow(row)
		if err == nil && b.end().Before(cutoff) {
			txn.Deletes = append(txn.Deletes, row.Key)
		}
	}
	if len(txn.Deletes) == 0 {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, foldTimeout)
	defer cancel()
	if _, err := f.table.Commit(ctx, txn); err != nil {
		return fmt.Errorf("delete expired day rows: %w", err)
	}
	return nil
}
