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

// Bounds of the delay between two attempts of a table call.
const (
	minCallRetryDelay = 20 * time.Millisecond
	maxCallRetryDelay = 500 * time.Millisecond
)

func newTxnID() string { return uuid.NewString() }

func newBackoff() *backoff.ExponentialBackOff {
	b := backoff.NewExponentialBackOff()
	b.InitialInterval = minCallRetryDelay
	b.MaxInterval = maxCallRetryDelay
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

// tableClient calls the table. It resolves the outcome of transactions whose
// response was lost.
type tableClient struct {
	table       substrate.Table
	callTimeout time.Duration // timeout of one call
	metrics     *metrics
}

// newTableClient returns a client for callers outside a Node. It records no
// metrics.
func newTableClient(table substrate.Table, callTimeout time.Duration) *tableClient {
	m, err := newMetrics(noop.NewMeterProvider())
	if err != nil {
		panic(err) // the no-op provider accepts every instrument
	}
	return &tableClient{table: table, callTimeout: callTimeout, metrics: m}
}

// commit applies the transaction exactly once. WitnessKey names a row that the
// transaction both puts and compares, so that the transaction cannot apply
// twice. No other writer may put this row while the comparisons hold.
//
// Commit returns once the outcome is known. It returns the revision and the
// time at which the call that proved the outcome was sent, or
// *structs.ConflictError. It repeats the call until the outcome is known or ctx
// ends. If ctx ends first, it returns *structs.UnavailableError if no call can
// have taken effect, and *structs.UnknownOutcomeError otherwise.
func (c *tableClient) commit(ctx context.Context, txn substrate.Txn, witnessKey string) (int64, time.Time, error) {
	delay := newBackoff()
	mayHaveApplied := false // an earlier call may have taken effect or may still do so
	firstSent := time.Now()
	for {
		sentAt := time.Now()
		revision, err := c.commitOnce(ctx, txn)
		if err == nil {
			return revision, sentAt, nil
		}
		conflict, unavailable := asConflict(err), isUnavailable(err)
		if ctx.Err() != nil && conflict == nil {
			return 0, sentAt, commitError(mayHaveApplied || !unavailable, err)
		}
		if conflict != nil && !mayHaveApplied {
			return 0, sentAt, conflict
		}
		if !unavailable || conflict != nil {
			mayHaveApplied = true
			count(c.metrics.unknownOutcomes, 1)
			row, found, err := c.getWithRetry(ctx, witnessKey)
			switch {
			case err != nil:
				return 0, sentAt, &structs.UnknownOutcomeError{Operation: "commit", Err: err}
			case found && row.TxnID == txn.ID:
				// Any of the calls may have written the row, so only the send
				// time of the first one is a safe proof.
				return row.Revision, firstSent, nil
			case conflict != nil:
				// A compared row has changed and revisions never decrease, so
				// no call that is still in flight can apply.
				return 0, sentAt, conflict
			}
		}
		if sleep(ctx, delay.NextBackOff()) != nil {
			return 0, sentAt, commitError(mayHaveApplied, err)
		}
	}
}

// commitError returns the error of a transaction whose context ended before it
// was known to be committed. mayHaveApplied reports whether some call may have
// taken effect.
func commitError(mayHaveApplied bool, cause error) error {
	if mayHaveApplied {
		return &structs.UnknownOutcomeError{Operation: "commit", Err: cause}
	}
	return cause
}

func (c *tableClient) commitOnce(ctx context.Context, txn substrate.Txn) (int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.table.Commit(ctx, txn)
}

// getWithRetry reads a row until the table answers or ctx ends.
func (c *tableClient) getWithRetry(ctx context.Context, key string) (substrate.Row, bool, error) {
	delay := newBackoff()
	for {
		row, found, err := c.get(ctx, key)
		if err == nil {
			return row, found, nil
		}
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return substrate.Row{}, false, err
		}
	}
}

// get reads a row once. A missing row is not an error.
func (c *tableClient) get(ctx context.Context, key string) (substrate.Row, bool, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	row, err := c.table.Get(ctx, key)
	if isNotFound(err) {
		return substrate.Row{Key: key}, false, nil
	}
	return row, err == nil, err
}

// list reads one page of rows below prefix.
func (c *tableClient) list(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.table.List(ctx, prefix, after, limit)
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
func (c *tableClient) changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	ctx, cancel := context.WithTimeout(ctx, c.callTimeout)
	defer cancel()
	return c.table.Changes(ctx, prefix, since)
}
