package cell

import (
	"context"
	"errors"
	"time"

	"github.com/cenkalti/backoff/v5"
	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of the delay between tries of a table call.
const (
	minRetryDelay = 20 * time.Millisecond
	maxRetryDelay = 500 * time.Millisecond
)

func newTxnID() string { return uuid.NewString() }

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minRetryDelay
	b.MaxInterval = maxRetryDelay
	return b
}

// sleep waits for d or the end of ctx.
func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// settler commits transactions and settles those whose answer is lost.
type settler struct {
	table   substrate.Table
	call    time.Duration // limit of one call
	metrics *metrics
}

// newSettler returns a settler for the entry side, which counts nothing.
func newSettler(table substrate.Table, call time.Duration) *settler {
	m, err := newMetrics(noop.NewMeterProvider())
	if err != nil {
		panic(err) // the no-op provider refuses nothing
	}
	return &settler{table: table, call: call, metrics: m}
}

// commit applies the transaction exactly once. Witness is a row that the
// transaction puts and compares, so that it can't apply twice, and that nobody
// but this writer puts while its comparisons hold. The call returns when the
// outcome is known: the revision and the time at which the call that proved it
// was sent, or *structs.ConflictError. It tries until then or until ctx ends,
// which gives *structs.UnavailableError if no try can have taken effect and
// *structs.UnknownOutcomeError otherwise.
func (s *settler) commit(ctx context.Context, txn substrate.Txn, witness string) (int64, time.Time, error) {
	delay := newBackoff()
	maybe := false // an earlier try may have taken effect or may still do so
	first := time.Now()
	for {
		sent := time.Now()
		revision, err := s.try(ctx, txn)
		if err == nil {
			return revision, sent, nil
		}
		conflict, unavailable := asConflict(err), isUnavailable(err)
		if ctx.Err() != nil && conflict == nil {
			return 0, sent, gaveUp(maybe || !unavailable, err)
		}
		if conflict != nil && !maybe {
			return 0, sent, conflict
		}
		if !unavailable || conflict != nil {
			maybe = true
			count(s.metrics.unknown, 1)
			row, found, err := s.readBack(ctx, witness)
			switch {
			case err != nil:
				return 0, sent, &structs.UnknownOutcomeError{Operation: "commit", Err: err}
			case found && row.TxnID == txn.ID:
				// Any try may have done it, so only the first one is a proof.
				return row.Revision, first, nil
			case conflict != nil:
				// A compared row has moved on and revisions never go back, so
				// no try that is still under way can apply.
				return 0, sent, conflict
			}
		}
		if sleep(ctx, delay.NextBackOff()) != nil {
			return 0, sent, gaveUp(maybe, err)
		}
	}
}

// gaveUp is the error of a transaction that was not committed when its context
// ended. Maybe says that some try may have taken effect.
func gaveUp(maybe bool, cause error) error {
	if maybe {
		return &structs.UnknownOutcomeError{Operation: "commit", Err: cause}
	}
	return cause
}

func (s *settler) try(ctx context.Context, txn substrate.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	return s.table.Commit(ctx, txn)
}

// readBack reads a row until the table answers.
func (s *settler) readBack(ctx context.Context, key string) (substrate.Row, bool, error) {
	delay := newBackoff()
	for {
		row, found, err := s.get(ctx, key)
		if err == nil {
			return row, found, nil
		}
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return substrate.Row{}, false, err
		}
	}
}

// get reads a row once. A row that does not exist is no error.
func (s *settler) get(ctx context.Context, key string) (substrate.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	row, err := s.table.Get(ctx, key)
	if isNotFound(err) {
		return substrate.Row{Key: key}, false, nil
	}
	return row, err == nil, err
}

// list reads one page of rows below prefix.
func (s *settler) list(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	return s.table.List(ctx, prefix, after, limit)
}

func asConflict(err error) *structs.ConflictError {
	var conflict *structs.ConflictError
	if errors.As(err, &conflict) {
		return conflict
	}
	return nil
}

func isUnavailable(err error) bool {
	var unavailable *structs.UnavailableError
	return errors.As(err, &unavailable)
}

func isNotFound(err error) bool {
	var missing *structs.NotFoundError
	return errors.As(err, &missing)
}

// changes reads the rows below prefix that changed after the revision.
func (s *settler) changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, s.call)
	defer cancel()
	return s.table.Changes(ctx, prefix, since)
}
