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
	// FlushInterval is the interval at which a Flusher writes its counts while
	// the table is available. A daemon that crashes loses at most the counts of
	// one interval.
	FlushInterval = 10 * time.Second
	// writeTimeout bounds one write of a row.
	writeTimeout = 2 * time.Second
)

// segment is one row of this daemon. Each write replaces the whole content of
// the row, so that repeating a write is harmless.
type segment struct {
	key      string
	stored   *counts        // content of the row, nil before the first write
	revision int64          // revision of the row, 0 before the first write
	pending  *substrate.Txn // write with unknown outcome, retried until its outcome is known
}

// Flusher writes the counts of a Recorder to the table. Each incarnation of a
// daemon writes rows of its own, so that no two writers conflict. Only a Folder
// may delete such a row.
type Flusher struct {
	recorder *Recorder
	table    substrate.Table
	daemon   string // name of the daemon and of its incarnation, unique among all daemons

	mu                sync.Mutex // held by Flush, guards the fields below
	unflushed         map[int64]*counts
	openSegments      map[int64]*segment // segment that receives further counts of a window, by start of the window
	unknownSegments   []*segment         // segments with a pending write
	nextSegmentNumber int
}

// NewFlusher returns a flusher for the daemon with the given name, for example
// the ID of an entry or a worker. The caller must run Run.
func NewFlusher(recorder *Recorder, table substrate.Table, daemon string) *Flusher {
	return &Flusher{
		recorder: recorder, table: table, daemon: daemon + "." + uuid.NewString(),
		unflushed: map[int64]*counts{}, openSegments: map[int64]*segment{},
	}
}

// Run flushes every FlushInterval until ctx ends. Then it flushes once more for
// at most writeTimeout.
func (f *Flusher) Run(ctx context.Context) error {
	ticker := time.NewTicker(FlushInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			flushCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), writeTimeout)
			defer cancel()
			f.Flush(flushCtx)
			return nil
		case <-ticker.C:
			f.Flush(ctx)
		}
	}
}

// Flush writes the counts since the last flush. Counts that cannot be written
// are kept for the next flush. Flush may be called while Run is running.
func (f *Flusher) Flush(ctx context.Context) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for start, c := range f.recorder.drain() {
		f.unflushed[start] = mergeCounts(f.unflushed[start], c)
	}
	f.retryPending(ctx)
	for start, c := range f.unflushed {
		f.write(ctx, start, c)
	}
	f.dropEndedWindows()
}

// dropEndedWindows removes the segments of windows that have ended and have no
// unflushed counts.
func (f *Flusher) dropEndedWindows() {
	now := windowStart(time.Now())
	for start := range f.openSegments {
		if start < now && f.unflushed[start] == nil {
			delete(f.openSegments, start)
		}
	}
}

// write adds the unflushed counts of a window to its segment.
func (f *Flusher) write(ctx context.Context, start int64, unflushed *counts) {
	s, found := f.openSegments[start]
	if !found {
		s = &segment{key: liveKey(start, fmt.Sprintf("%s.%d", f.daemon, f.nextSegmentNumber))}
		f.nextSegmentNumber++
		f.openSegments[start] = s
	}
	value := mergeCounts(s.stored, unflushed)
	data, err := encodeCounts(value)
	if err != nil {
		return // the counts stay unflushed
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
		s.stored, s.revision = value, revision
		delete(f.unflushed, start)
		f.recorder.metrics.countFlush("written")
	case errors.As(err, &unknown):
		s.pending = &txn
		f.unknownSegments = append(f.unknownSegments, s)
		delete(f.openSegments, start) // later counts of the window go to another segment
		delete(f.unflushed, start)
		f.recorder.metrics.countFlush("unknown")
	default:
		// The table is unavailable, or a folder has deleted the row. A segment
		// whose row has been written before is not used again, and the
		// unflushed counts go to another segment.
		if s.revision > 0 {
			delete(f.openSegments, start)
		}
		f.recorder.metrics.countFlush("unavailable")
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

// retryPending retries the writes with unknown outcome. Their revision check
// lets each take effect at most once.
func (f *Flusher) retryPending(ctx context.Context) {
	f.unknownSegments = slices.DeleteFunc(f.unknownSegments, func(s *segment) bool { return f.resolvePending(ctx, s) })
}

// resolvePending retries the pending write of a segment and reports whether the
// outcome of the write is now known.
func (f *Flusher) resolvePending(ctx context.Context, s *segment) bool {
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
		// A folder deleted the row before the outcome was known. Writing the
		// counts again might count them twice.
		f.recorder.metrics.countDropped("overtaken")
		f.recorder.metrics.countFlush("overtaken")
		return true
	default:
		return false
	}
}
