package membership

import (
	"context"
	"encoding/json"
	"fmt"
	"sort"
	"sync"
	"time"

	"github.com/google/uuid"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// EntryRowPrefix is the prefix of the keys of entry rows.
	EntryRowPrefix = "entry/"
	// entryWriteInterval is the time between writes of an entry's row.
	entryWriteInterval = 10 * time.Second
	// entryRowExpiry is the time after which an unchanged row of another entry
	// is removed, by the reader's own monotonic clock.
	entryRowExpiry = 60 * time.Second
	// entryTableTimeout bounds one operation on the entry rows.
	entryTableTimeout = 2 * time.Second
)

// EntryRow is the row of one entry.
type EntryRow struct {
	ID         structs.EntryID `json:"id"`
	Address    string          `json:"address"` // peer address
	WriteCount int64           `json:"beat"`    // grows with every write
}

func decodeEntryRow(value []byte) (EntryRow, error) {
	var row EntryRow
	if err := json.Unmarshal(value, &row); err != nil {
		return EntryRow{}, fmt.Errorf("row of an entry: %w", err)
	}
	if row.Address == "" {
		return EntryRow{}, &structs.InvalidError{Subject: "row of an entry", Faults: []structs.Fault{{Path: "/address", Rule: "must be set"}}}
	}
	return row, nil
}

// EntryDirectoryOptions configures an EntryDirectory.
type EntryDirectoryOptions struct {
	Entry   structs.EntryID
	Address string // peer address of this entry
	Table   substrate.Table
	// Seeds are peer addresses of other entries from the settings. The entry
	// announces itself to them, so that it is found in a table outage.
	Seeds []string
	Dial  func(address string) (EntryConn, error) // required with Seeds
	Log   *zap.Logger
	Meter metric.Meter
}

// EntryDirectory writes the row of this entry, reads the rows of the other
// entries and removes the rows of entries that stopped writing.
type EntryDirectory struct {
	options EntryDirectoryOptions
	metrics registryMetrics

	mu           sync.Mutex
	writeCount   int64
	observedRows map[string]observedRow // by row key
	announcedAt  map[string]time.Time   // time of the last RecordEntry of each entry, by address
}

// observedRow is a row as of its last successful read.
type observedRow struct {
	row          EntryRow
	revision     int64
	unchangedFor time.Duration // time over which consecutive successful reads found the same revision
	lastRead     time.Time     // time of the last read, zero after a failed read
}

// NewEntryDirectory returns an EntryDirectory without other entries.
func NewEntryDirectory(options EntryDirectoryOptions) *EntryDirectory {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &EntryDirectory{
		options:      options,
		metrics:      newRegistryMetrics(options.Meter),
		observedRows: map[string]observedRow{},
		announcedAt:  map[string]time.Time{},
	}
}

// Entries returns the peer addresses of the known entries, sorted.
func (e *EntryDirectory) Entries() []string {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := map[string]bool{}
	for _, s := range e.observedRows {
		known[s.row.Address] = true
	}
	for address, at := range e.announcedAt {
		if now.Sub(at) < entryRowExpiry {
			known[address] = true
		}
	}
	list := make([]string, 0, len(known))
	for address := range known {
		list = append(list, address)
	}
	sort.Strings(list)
	return list
}

// RecordEntry records an entry that announced itself to this entry or that a
// seed named.
func (e *EntryDirectory) RecordEntry(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.announcedAt[address]; !found && len(e.announcedAt) >= maxEntries {
		return
	}
	e.announcedAt[address] = time.Now()
}

// Run writes and reads the rows until ctx ends, then removes its own row.
func (e *EntryDirectory) Run(ctx context.Context) error {
	ticker := time.NewTicker(entryWriteInterval)
	defer ticker.Stop()
	for {
		e.writeOwnRow(ctx)
		e.refreshRows(ctx)
		e.announceToSeeds(ctx)
		select {
		case <-ctx.Done():
			e.removeOwnRow(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

func (e *EntryDirectory) key() string { return EntryRowPrefix + string(e.options.Entry) }

func (e *EntryDirectory) writeOwnRow(ctx context.Context) {
	e.writeCount++
	value, err := json.Marshal(EntryRow{ID: e.options.Entry, Address: e.options.Address, WriteCount: e.writeCount})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	// The next write settles an unknown outcome.
	_, _ = e.options.Table.Commit(ctx, substrate.Txn{
		ID: uuid.NewString(), Puts: []substrate.Put{{Key: e.key(), Value: value}},
	})
}

// refreshRows reads the rows of the entries and removes the rows of dead
// entries. A failed read changes no row, but restarts the unchanged time of
// every row, because an entry may be alive and unable to write its row while
// the table is unavailable.
func (e *EntryDirectory) refreshRows(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	rows, err := e.options.Table.List(ctx, EntryRowPrefix, "", maxEntries)
	if err != nil {
		e.resetUnchangedTimes()
		return
	}
	for _, key := range e.observeRows(rows, time.Now()) {
		e.removeDeadRow(ctx, key)
	}
}

// resetUnchangedTimes restarts the unchanged time of every row after a failed
// read.
func (e *EntryDirectory) resetUnchangedTimes() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, s := range e.observedRows {
		s.unchangedFor, s.lastRead = 0, time.Time{}
		e.observedRows[key] = s
	}
}

// observeRows stores the rows of a read and returns the keys of dead rows.
func (e *EntryDirectory) observeRows(rows []substrate.Row, now time.Time) (dead []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]observedRow, len(rows))
	for _, row := range rows {
		entry, err := decodeEntryRow(row.Value)
		if err != nil {
			continue
		}
		s := observedRow{row: entry, revision: row.Revision, lastRead: now}
		if old, found := e.observedRows[row.Key]; found && old.revision == row.Revision && !old.lastRead.IsZero() {
			s.unchangedFor = old.unchangedFor + now.Sub(old.lastRead)
		}
		next[row.Key] = s
		if s.unchangedFor >= entryRowExpiry && row.Key != e.key() {
			dead = append(dead, row.Key)
		}
	}
	e.observedRows = next
	return dead
}

// removeDeadRow removes a row unless it was written in the meantime.
func (e *EntryDirectory) removeDeadRow(ctx context.Context, key string) {
	e.mu.Lock()
	revision := e.observedRows[key].revision
	e.mu.Unlock()
	_, err := e.options.Table.Commit(ctx, substrate.Txn{
		ID: uuid.NewString(), Compares: []substrate.Compare{{Key: key, Revision: revision}}, Deletes: []string{key},
	})
	if err != nil && !isConflict(err) {
		return
	}
	e.mu.Lock()
	delete(e.observedRows, key)
	e.mu.Unlock()
	e.metrics.rowsRemoved.Add(ctx, 1)
	e.options.Log.Info("row of a dead entry removed", zap.String("row", key))
}

// announceToSeeds announces this entry to the seeds and records the entries
// that they return.
func (e *EntryDirectory) announceToSeeds(ctx context.Context) {
	for _, seed := range e.options.Seeds {
		if seed == e.options.Address || e.options.Dial == nil {
			continue
		}
		e.announceToSeed(ctx, seed)
	}
}

func (e *EntryDirectory) announceToSeed(ctx context.Context, seed string) {
	conn, err := e.options.Dial(seed)
	if err != nil {
		return
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	response, err := conn.Register(ctx, &daisywallpb.RegisterRequest{EntryAddress: e.options.Address})
	if err != nil {
		return
	}
	for _, address := range response.Entries {
		if address != e.options.Address {
			e.RecordEntry(address)
		}
	}
}

// removeOwnRow deletes the row of this entry, so that agents stop registering
// with this entry.
func (e *EntryDirectory) removeOwnRow(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	_, _ = e.options.Table.Commit(ctx, substrate.Txn{ID: uuid.NewString(), Deletes: []string{e.key()}})
}
