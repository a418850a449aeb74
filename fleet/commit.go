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

// findOwnCommit reports whether a conflict was caused by the commit itself,
// which an earlier attempt had applied although its answer was lost. It then
// returns the stored row.
func findOwnCommit(err error, next leadership) (leaderRow, bool) {
	var conflict *substrate.VersionConflictError
	if !errors.As(err, &conflict) {
		return leaderRow{}, false
	}
	for _, row := range conflict.Rows {
		if row.Table != tableLeader || row.Key != leaderKey {
			continue
		}
		if r := decodeLeaderRow(row); r.equal(next) {
			return r, true
		}
	}
	return leaderRow{}, false
}

// Timeout of an attempt of a commit, and pauses between attempts.
const (
	commitTimeout  = 2 * time.Second // several times the slowest answer of a slow store
	commitPauseMin = 30 * time.Millisecond
	commitPauseMax = 250 * time.Millisecond
)

// committer writes one batch after the other. It repeats a batch until the
// outcome is known, unless the store refuses the first attempt. An attempt without
// an answer may still be applied, so a later batch must not start before the outcome
// is known.
type committer struct {
	store substrate.PartStore
	clock bootclock.Clock
	log   *zap.Logger
}

// commitResult is the outcome of a batch.
type commitResult struct {
	row  leaderRow
	sent bootclock.Time // when the first attempt was sent
	took time.Duration
	err  error // *structs.FencedError, or the error of the context
	// refused is the error of a batch that the store has refused and that it never
	// applies, else nil. The other fields are not set then.
	refused error
	// isInvalid is set if the store refuses the same batch again.
	isInvalid bool
}

// hadNoEffect reports whether a commit that failed with the error is certainly never
// applied.
func hadNoEffect(err error) bool {
	var unavailable *structs.UnavailableError
	var unknown *structs.UnknownOutcomeError
	return errors.As(err, &unavailable) && !errors.As(err, &unknown)
}

// run repeats the batch until it is stored or the leadership is lost, or returns it
// if the first attempt was refused, or any attempt as not valid. A batch with an earlier attempt without an answer
// is repeated also after a refusal.
func (c *committer) run(ctx context.Context, seen leaderRow, next leadership, puts, removes []substrate.PartRow) commitResult {
	first := c.clock()
	pause := commitPauseMin
	for attempt := 1; ; attempt++ {
		sent := c.clock()
		call, cancel := context.WithTimeout(ctx, commitTimeout)
		row, err := commitWithLeadership(call, c.store, seen, next, puts, removes)
		cancel()
		if err == nil {
			if attempt > 1 {
				sent = first // an earlier attempt may have been the one that was applied
			}
			return commitResult{row: row, sent: sent, took: c.clock().Sub(first)}
		}
		var conflict *substrate.VersionConflictError
		var invalid *substrate.TxnRefusedError
		switch {
		case errors.As(err, &conflict):
			return commitResult{err: &structs.FencedError{Cell: fleetPart, Epoch: next.Epoch}}
		case errors.As(err, &invalid):
			return commitResult{refused: err, isInvalid: true}
		case ctx.Err() != nil:
			return commitResult{err: ctx.Err()}
		case attempt == 1 && hadNoEffect(err):
			return commitResult{refused: err}
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
