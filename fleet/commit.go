package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// ownCommit reports whether a conflict shows that the commit itself had been
// applied, by an earlier sending whose answer was lost.
func ownCommit(err error, next leadership) (leaderRow, bool) {
	var conflict *substrate.VersionConflictError
	if !errors.As(err, &conflict) {
		return leaderRow{}, false
	}
	for _, row := range conflict.Rows {
		if row.Table != tableLeader || row.Key != leaderKey {
			continue
		}
		if r, err := decodeLeader(row); err == nil && r.leadership == next {
			return r, true
		}
	}
	return leaderRow{}, false
}

// Pauses between attempts of a commit.
const (
	commitTimeout  = 2 * time.Second // one attempt; several times the slowest answers of a slow store
	commitPauseMin = 30 * time.Millisecond
	commitPauseMax = 250 * time.Millisecond
)

// committer writes one batch after the other. It repeats a batch until its fate
// is known: an attempt without an answer may still take effect, and nothing
// that follows could be decided before.
type committer struct {
	store substrate.PartStore
	clock bootclock.Clock
	log   *zap.Logger
}

// commitResult is the fate of a batch.
type commitResult struct {
	row  leaderRow
	sent bootclock.Time // when the attempt that succeeded, or the first one, was sent
	took time.Duration
	err  error // *structs.FencedError, or the end of the context
}

// run repeats the batch until it is stored or the leadership is lost.
func (c *committer) run(ctx context.Context, seen leaderRow, next leadership, puts, removes []substrate.PartRow) commitResult {
	first := c.clock()
	pause := commitPauseMin
	for attempt := 1; ; attempt++ {
		sent := c.clock()
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		row, err := replaceLeader(call, c.store, seen, next, puts, removes)
		cancel()
		if err == nil {
			if attempt > 1 {
				sent = first // an earlier sending may be the one that was applied
			}
			return commitResult{row: row, sent: sent, took: c.clock().Sub(first)}
		}
		var conflict *substrate.VersionConflictError
		switch {
		case errors.As(err, &conflict):
			return commitResult{err: &structs.FencedError{Cell: fleetPart, Epoch: next.Epoch}}
		case ctx.Err() != nil:
			return commitResult{err: ctx.Err()}
		}
		c.log.Warn("commit repeated", zap.Int64("commit", next.Commit),
			zap.Int("attempt", attempt), zap.Duration("since_first", c.clock().Sub(first)), zap.Error(err))
		if err := sleep(ctx, pause/2+rand.N(pause)); err != nil {
			return commitResult{err: err}
		}
		pause = min(2*pause, commitPauseMax)
	}
}

// sleep waits for d or until ctx ends.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
