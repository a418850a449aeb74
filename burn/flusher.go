package burn

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// FlushInterval is the longest time that counts stay in memory while the
	// table answers. A daemon that dies loses at most these.
	FlushInterval = 10 * time.Second
	// writeTimeout bounds one write.
	writeTimeout = 2 * time.Second
)

// segment is one row of this daemon. It is rewritten with its whole content as
// the window goes on, which makes a repeated write harmless.
type segment struct {
	key      string
	durable  *counts        // content of the row, nil before the first write
	revision int64          // of the row, 0 before the first write
	pending  *substrate.Txn // write of unknown outcome, repeated until it is known
}

// Flusher writes the counts of a Recorder to the table. Each life of a daemon
// has rows of its own, so no two writers meet, except that a Folder may take a
// row away.
type Flusher struct {
	recorder *Recorder
	table    substrate.Table
	daemon   string // unique for each start

	mu       sync.Mutex // held by Flush, guards what follows
	fresh    map[int64]*counts
	open     map[int64]*segment // the segment that the window's counts go to
	unknown  []*segment         // segments with a pending write
	sequence int
}

// NewFlusher returns a flusher for the daemon, such as an entry's or a cell's
// ID. Run writes the counts.
func NewFlusher(recorder *Recorder, table substrate.Table, daemon string) *Flusher {
	return &Flusher{
		recorder: recorder, table: table, daemon: daemon + "." + uuid.NewString(),
		fresh: map[int64]*counts{}, open: map[int64]*segment{},
	}
}

// Run flushes until ctx ends, and once more for at most writeTimeout.
func (f *Flusher) Run(ctx context.Context) error {
	ticker := time.NewTicker(FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
			defer cancel()
			f.Flush(last)
			return nil
		case <-ticker.C:
			f.Flush(ctx)
		}
	}
}

// Flush writes what was counted since the last flush. What can't be written
// now is kept for the next one. It may be called while Run runs.
func (f *Flusher) Flush(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for start, c := range f.recorder.take() {
		f.fresh[start] = sum(f.fresh[start], c)
	}
	f.settle(ctx)
	for start, c := range f.fresh {
		f.write(ctx, start, c)
	}
	f.dropClosed()
}

// dropClosed forgets the segments of windows that are over.
func (f *Flusher) dropClosed() {
	now := windowOf(time.Now())
	for start := range f.open {
		if start < now && f.fresh[start] == nil {
			delete(f.open, start)
		}
	}
}

// write adds the fresh counts of a window to its segment.
func (f *Flusher) write(ctx context.Context, start int64, fresh *counts) {
	s, found := f.open[start]
	if !found {
		s = &segment{key: liveKey(start, fmt.Sprintf("%s.%d", f.daemon, f.sequence))}
		f.sequence++
		f.open[start] = s
	}
	value := sum(s.durable, fresh)
	data, err := encodeCounts(value)
	if err != nil {
		return // kept as fresh
	}
	txn := substrate.Txn{
		ID:       uuid.NewString(),
		Compares: []substrate.Compare{{Key: s.key, Revision: s.revision}},
		Puts:     []substrate.Put{{Key: s.key, Value: data}},
	}
	revision, err := f.commit(ctx, txn)
	var unknown *structs.UnknownOutcomeError
	switch {
	case err == nil:
		s.durable, s.revision = value, revision
		delete(f.fresh, start)
		f.recorder.metrics.flushed("written")
	case errors.As(err, &unknown):
		s.pending = &txn
		f.unknown = append(f.unknown, s)
		delete(f.open, start) // later counts go to another segment
		delete(f.fresh, start)
		f.recorder.metrics.flushed("unknown")
	default:
		// Unavailable, or folded meanwhile: the row stays as it is, and the
		// fresh counts go to another segment.
		if s.revision > 0 {
			delete(f.open, start)
		}
		f.recorder.metrics.flushed("unavailable")
	}
}

func (f *Flusher) commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	revision, err := f.table.Commit(ctx, txn)
	if err != nil {
		return 0, fmt.Errorf("flush %s: %w", txn.Puts[0].Key, err)
	}
	return revision, nil
}

// settle repeats the writes of unknown outcome. The comparison lets each take
// effect at most once.
func (f *Flusher) settle(ctx context.Context) {
	f.unknown = slices.DeleteFunc(f.unknown, func(s *segment) bool { return f.settled(ctx, s) })
}

// settled reports whether the outcome of the pending write is known now.
func (f *Flusher) settled(ctx context.Context, s *segment) bool {
	_, err := f.commit(ctx, *s.pending)
	var conflict *structs.ConflictError
	if err == nil {
		return true
	}
	if !errors.As(err, &conflict) {
		return false
	}
	ctx, cancel := context.WithTimeout(ctx, writeTimeout)
	defer cancel()
	row, err := f.table.Get(ctx, s.key)
	var absent *structs.NotFoundError
	switch {
	case err == nil && row.TxnID == s.pending.ID:
		return true
	case err == nil || errors.As(err, &absent):
		// A folder took the row before the outcome was known. Writing again
		// might count twice.
		f.recorder.metrics.lost("overtaken")
		f.recorder.metrics.flushed("overtaken")
		return true
	default:
		return false
	}
}
