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

// Defaults of WatcherOptions.
const (
	DefaultPollInterval = time.Second
	DefaultReadTimeout  = time.Second
)

// Peers fetches configuration updates from other daemons. A peer may hold a
// higher revision while the table is unavailable.
type Peers interface {
	// FetchUpdates requests from each reachable peer the update since the given
	// revision and returns the encoded updates. Peers without a newer revision
	// contribute none.
	FetchUpdates(ctx context.Context, since int64) [][]byte
}

// NoPeers is the Peers of a daemon without peers.
type NoPeers struct{}

// FetchUpdates implements Peers.
func (NoPeers) FetchUpdates(context.Context, int64) [][]byte { return nil }

// WatcherOptions holds the intervals and timeouts of a Watcher. A zero value
// selects the default.
type WatcherOptions struct {
	PollInterval time.Duration // time between two polls of the head row, shortened by up to a tenth at random
	ReadTimeout  time.Duration // limit of one table read or of one fetch from the peers
}

// Watcher keeps a Holder at the revision in the table. Entries and cell leaders
// run one each.
type Watcher struct {
	table         substrate.Table
	holder        *Holder
	peers         Peers
	log           *zap.Logger
	options       WatcherOptions
	tableSnapshot *snapshot // latest snapshot read from the table, nil before the first read
	tableRevision int64     // table revision up to which tableSnapshot contains all changes
	readsFailing  bool
}

// NewWatcher returns a watcher that applies the revisions it reads to the
// holder.
func NewWatcher(table substrate.Table, holder *Holder, peers Peers, log *zap.Logger, options WatcherOptions) *Watcher {
	if options.PollInterval == 0 {
		options.PollInterval = DefaultPollInterval
	}
	if options.ReadTimeout == 0 {
		options.ReadTimeout = DefaultReadTimeout
	}
	return &Watcher{table: table, holder: holder, peers: peers, log: log, options: options}
}

// Run polls until ctx ends. Failed reads are counted and retried.
func (w *Watcher) Run(ctx context.Context) error {
	for {
		w.Poll(ctx)
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(w.jitteredInterval()):
		}
	}
}

// jitteredInterval returns the poll interval, shortened at random by up to a
// tenth, so that daemons do not poll at the same time.
func (w *Watcher) jitteredInterval() time.Duration {
	tenth := int64(w.options.PollInterval / 10)
	return w.options.PollInterval - time.Duration(rand.Int64N(tenth+1))
}

// Poll reads the head row once, and the changed rows if its revision has
// changed. If the table cannot be read, it fetches updates from the peers.
func (w *Watcher) Poll(ctx context.Context) {
	err := w.syncFromTable(ctx)
	if w.readsFailing != (err != nil) && ctx.Err() == nil {
		w.readsFailing = err != nil
		w.log.Info("configuration reads", zap.Bool("failing", w.readsFailing), zap.Error(err))
	}
	if err == nil {
		return
	}
	w.holder.metrics.countPoll("failed")
	w.fetchFromPeers(ctx)
}

func (w *Watcher) syncFromTable(ctx context.Context) error {
	changed, err := w.headChanged(ctx)
	if err != nil {
		return err
	}
	if !changed {
		w.holder.metrics.countPoll("same")
		return nil
	}
	w.holder.metrics.countPoll("changed")
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	rows, revision, err := w.table.Changes(ctx, currentPrefix, w.tableRevision)
	if err != nil {
		return fmt.Errorf("read configuration: %w", err)
	}
	next, err := applyRows(w.tableSnapshot, rows)
	if err != nil {
		return err
	}
	w.tableSnapshot, w.tableRevision = next, revision
	w.holder.replaceIfNewer(next)
	return nil
}

// headChanged reads the head row and reports whether its configuration revision
// differs from that of tableSnapshot.
func (w *Watcher) headChanged(ctx context.Context) (bool, error) {
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
		return false, &CorruptError{Source: headKey, Detail: "malformed JSON", Err: err}
	}
	return w.tableSnapshot == nil || head.Revision != w.tableSnapshot.revision, nil
}

func (w *Watcher) fetchFromPeers(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, w.options.ReadTimeout)
	defer cancel()
	for _, data := range w.peers.FetchUpdates(ctx, w.holder.Revision()) {
		if _, err := w.holder.ApplyUpdateIfNewer(data); err != nil {
			w.log.Debug("configuration update of a peer refused", zap.Error(err))
		}
	}
}
