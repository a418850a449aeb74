package config

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Default times of a Watcher.
const (
	DefaultPollInterval = time.Second
	DefaultReadTimeout  = time.Second
)

// Peers are other daemons that may hold a higher revision while the table is
// out.
type Peers interface {
	// Updates asks each reachable peer for its update since the revision
	// (Holder.UpdateSince). Peers without one are left out.
	Updates(ctx context.Context, since int64) [][]byte
}

// NoPeers is the Peers of a daemon that knows no others.
type NoPeers struct{}

// Updates returns nothing.
func (NoPeers) Updates(context.Context, int64) [][]byte { return nil }

// WatcherOptions holds the times of a Watcher. Zero values take the defaults.
type WatcherOptions struct {
	PollInterval time.Duration // between polls of the head row; each varies by a tenth
	ReadTimeout  time.Duration // of one read of the table or of the peers
}

// Watcher keeps a Holder at the revision of the table. Entries and cell
// leaders run one.
type Watcher struct {
	table   substrate.Table
	holder  *Holder
	peers   Peers
	log     *zap.Logger
	options WatcherOptions
	seen    *snapshot // as read from the table, nil before the first read
	rowsAt  int64     // table revision of seen
	failing bool
}

// NewWatcher returns a watcher that offers what it reads to the holder.
func NewWatcher(table substrate.Table, holder *Holder, peers Peers, log *zap.Logger, options WatcherOptions) *Watcher {
	if options.PollInterval == 0 {
		options.PollInterval = DefaultPollInterval
	}
	if options.ReadTimeout == 0 {
		options.ReadTimeout = DefaultReadTimeout
	}
	return &Watcher{table: table, holder: holder, peers: peers, log: log, options: options}
}

// Run polls until ctx ends. Failures of the table are counted and retried.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.Poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(w.jittered()):
		}
	}
}

// jittered spreads the polls of many daemons.
func (w *Watcher) jittered() time.Duration {
	tenth := int64(w.options.PollInterval / 10)
	return w.options.PollInterval - time.Duration(rand.Int64N(tenth+1))
}

// Poll reads the head row once, and the changed rows when it has moved. While
// the table can't be read it asks the peers instead.
func (w *Watcher) Poll(ctx context.Context) {
	err := w.readTable(ctx)
	if w.failing != (err != nil) && ctx.Err() == nil {
		w.failing = err != nil
		w.log.Info("configuration reads", zap.Bool("failing", w.failing), zap.Error(err))
	}
	if err == nil {
		return
	}
	w.holder.counts.polled("failed")
	w.askPeers(ctx)
}

func (w *Watcher) readTable(ctx context.Context) error {
	moved, err := w.headMoved(ctx)
	if err != nil {
		return err
	}
	if !moved {
		w.holder.counts.polled("same")
		return nil
	}
	w.holder.counts.polled("changed")
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	rows, revision, err := w.table.Changes(ctx, currentPrefix, w.rowsAt)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	next, err := applyRows(w.seen, rows)
	if err != nil {
		return err
	}
	w.seen, w.rowsAt = next, revision
	w.holder.offer(next)
	return nil
}

// headMoved reads the head row and reports whether it names another revision
// than the rows read so far.
func (w *Watcher) headMoved(ctx context.Context) (bool, error) {
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	row, err := w.table.Get(ctx, headKey)
	var absent *structs.NotFoundError
	if errors.As(err, &absent) {
		return false, nil // no change has been accepted yet
	}
	if err != nil {
		return false, fmt.Errorf("read configuration head: %w", err)
	}
	var head headRow
	if err := json.Unmarshal(row.Value, &head); err != nil {
		return false, &CorruptError{Source: headKey, Detail: "not readable", Err: err}
	}
	return w.seen == nil || head.Revision != w.seen.revision, nil
}

func (w *Watcher) askPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	for _, data := range w.peers.Updates(ctx, w.holder.Revision()) {
		if _, err := w.holder.OfferUpdate(data); err != nil {
			w.log.Debug("configuration update of a peer refused", zap.Error(err))
		}
	}
}
