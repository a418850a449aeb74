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
	// EntryRowPrefix is the prefix of the rows of entries.
	EntryRowPrefix = "entry/"
	// entryBeat is the time between writes of an entry's row.
	entryBeat = 10 * time.Second
	// entryDead is the time after which an unchanged row of another entry is
	// removed, by the reader's own monotonic clock.
	entryDead = 60 * time.Second
	// entryTableTimeout bounds one operation on the entry rows.
	entryTableTimeout = 2 * time.Second
)

// EntryRow is the row of one entry.
type EntryRow struct {
	ID      structs.EntryID `json:"id"`
	Address string          `json:"address"` // peer address
	Beat    int64           `json:"beat"`    // grows with every write
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

// EntryRowsOptions configures EntryRows.
type EntryRowsOptions struct {
	Entry   structs.EntryID
	Address string // peer address of this entry
	Table   substrate.Table
	// Seeds are peer addresses of other entries from the settings. The entry
	// announces itself to them, so that it is found in a table outage.
	Seeds []string
	Dial  func(address string) (EntryConn, error) // needed with Seeds
	Log   *zap.Logger
	Meter metric.Meter
}

// EntryRows keeps the row of this entry, learns the other entries and removes
// the rows of entries that stopped writing.
type EntryRows struct {
	options EntryRowsOptions
	metrics registryMetrics

	mu    sync.Mutex
	beat  int64
	seen  map[string]seenRow   // by row key
	noted map[string]time.Time // announced directly, by address
}

// seenRow is a row as it was first seen in its current revision.
type seenRow struct {
	row      EntryRow
	revision int64
	since    time.Duration // time for which the table was read with the row unchanged
	read     time.Time     // last reading
}

// NewEntryRows returns an EntryRows that knows no other entry.
func NewEntryRows(options EntryRowsOptions) *EntryRows {
	if options.Log == nil {
		options.Log = zap.NewNop()
	}
	return &EntryRows{
		options: options,
		metrics: newRegistryMetrics(options.Meter),
		seen:    map[string]seenRow{},
		noted:   map[string]time.Time{},
	}
}

// Entries returns the peer addresses of the known entries, ordered.
func (e *EntryRows) Entries() []string {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	known := map[string]bool{}
	for _, s := range e.seen {
		known[s.row.Address] = true
	}
	for address, at := range e.noted {
		if now.Sub(at) < entryDead {
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

// Note records an entry that announced itself directly.
func (e *EntryRows) Note(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if _, found := e.noted[address]; !found && len(e.noted) >= entriesLimit {
		return
	}
	e.noted[address] = time.Now()
}

// Run writes and reads the rows until ctx ends, then removes its own row.
func (e *EntryRows) Run(ctx context.Context) error {
	ticker := time.NewTicker(entryBeat)
	defer ticker.Stop()
	for {
		e.write(ctx)
		e.read(ctx)
		e.announce(ctx)
		select {
		case <-ctx.Done():
			e.remove(context.WithoutCancel(ctx))
			return nil
		case <-ticker.C:
		}
	}
}

func (e *EntryRows) key() string { return EntryRowPrefix + string(e.options.Entry) }

func (e *EntryRows) write(ctx context.Context) {
	e.beat++
	value, err := json.Marshal(EntryRow{ID: e.options.Entry, Address: e.options.Address, Beat: e.beat})
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	// An unknown outcome is settled by the next write.
	_, _ = e.options.Table.Commit(ctx, substrate.Txn{
		ID: uuid.NewString(), Puts: []substrate.Put{{Key: e.key(), Value: value}},
	})
}

// read learns the other entries. A failed reading changes nothing: the time
// for which a row is unchanged counts only between readings that succeeded.
func (e *EntryRows) read(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	rows, err := e.options.Table.List(ctx, EntryRowPrefix, "", entriesLimit)
	if err != nil {
		e.suspend()
		return
	}
	for _, key := range e.update(rows, time.Now()) {
		e.collect(ctx, key)
	}
}

// suspend restarts the count of unchanged time after a failed reading.
func (e *EntryRows) suspend() {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, s := range e.seen {
		s.since, s.read = 0, time.Time{}
		e.seen[key] = s
	}
}

// update takes a reading and returns the keys of rows that are dead.
func (e *EntryRows) update(rows []substrate.Row, now time.Time) (dead []string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	next := make(map[string]seenRow, len(rows))
	for _, row := range rows {
		entry, err := decodeEntryRow(row.Value)
		if err != nil {
			continue
		}
		s := seenRow{row: entry, revision: row.Revision, read: now}
		if old, found := e.seen[row.Key]; found && old.revision == row.Revision && !old.read.IsZero() {
			s.since = old.since + now.Sub(old.read)
		}
		next[row.Key] = s
		if s.since >= entryDead && row.Key != e.key() {
			dead = append(dead, row.Key)
		}
	}
	e.seen = next
	return dead
}

// collect removes a dead row unless it was written in the meantime.
func (e *EntryRows) collect(ctx context.Context, key string) {
	e.mu.Lock()
	revision := e.seen[key].revision
	e.mu.Unlock()
	_, err := e.options.Table.Commit(ctx, substrate.Txn{
		ID: uuid.NewString(), Compares: []substrate.Compare{{Key: key, Revision: revision}}, Deletes: []string{key},
	})
	if err != nil && !isConflict(err) {
		return
	}
	e.mu.Lock()
	delete(e.seen, key)
	e.mu.Unlock()
	e.metrics.rowsRemoved.Add(ctx, 1)
	e.options.Log.Info("row of a dead entry removed", zap.String("row", key))
}

// announce tells the seeds of this entry.
func (e *EntryRows) announce(ctx context.Context) {
	for _, seed := range e.options.Seeds {
		if seed == e.options.Address || e.options.Dial == nil {
			continue
		}
		e.announceTo(ctx, seed)
	}
}

func (e *EntryRows) announceTo(ctx context.Context, seed string) {
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
			e.Note(address)
		}
	}
}

// remove deletes the row of this entry, so that agents stop registering.
func (e *EntryRows) remove(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTableTimeout)
	defer cancel()
	_, _ = e.options.Table.Commit(ctx, substrate.Txn{ID: uuid.NewString(), Deletes: []string{e.key()}})
}
