package standin

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// StoreMode is how a PartStore treats one client.
type StoreMode int

// Modes of a client of a PartStore.
const (
	StoreServes  StoreMode = iota
	StoreRefuses           // says that nothing was done
	StoreSilent            // does nothing and does not answer
	StoreLoses             // does it and does not answer
	StoreLate              // does it LateWrite later, if its conditions still hold, and does not answer
)

// Times of a PartStore.
const (
	CommitTime = 8 * time.Millisecond
	ReadTime   = 4 * time.Millisecond
	LateWrite  = 3 * time.Second
)

type rowName struct{ table, part, key string }

// PartStore is an in-memory store of rows in tables and parts.
type PartStore struct {
	mu      sync.Mutex
	rows    map[rowName]substrate.PartRow
	version int64
	history []substrate.PartRow // changes in order
	lost    int64               // changes up to this version are no longer known
	changed chan struct{}       // closed with the next change
}

// NewPartStore returns an empty store.
func NewPartStore() *PartStore {
	return &PartStore{rows: map[rowName]substrate.PartRow{}, changed: make(chan struct{})}
}

// Client returns a client with faults of its own.
func (s *PartStore) Client() *PartStoreClient { return &PartStoreClient{store: s} }

// Version returns the newest version.
func (s *PartStore) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// LoseHistory forgets the changes so far; followers have to read again.
func (s *PartStore) LoseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.lost = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commit applies a transaction at once.
func (s *PartStore) Commit(txn substrate.PartTxn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []substrate.PartRow
	conflict := false
	for _, e := range txn.Expect {
		row, found := s.rows[rowName{e.Table, e.Part, e.Key}]
		if found {
			current = append(current, row)
		}
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		return 0, &substrate.VersionConflictError{Rows: current}
	}
	s.version++
	for _, p := range txn.Puts {
		p.Version, p.Removed = s.version, false
		s.rows[rowName{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, r := range txn.Remove {
		name := rowName{r.Table, r.Part, r.Key}
		if _, found := s.rows[name]; !found {
			continue
		}
		delete(s.rows, name)
		s.history = append(s.history, substrate.PartRow{Table: r.Table, Part: r.Part, Key: r.Key, Version: s.version, Removed: true})
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version, nil
}

// List returns the rows of a part of a table in key order, and the version.
func (s *PartStore) List(table, part string) ([]substrate.PartRow, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []substrate.PartRow
	for name, row := range s.rows {
		if name.table == table && name.part == part {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b substrate.PartRow) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version
}

// since returns the changes of a table after a version, the newest version and
// a channel that is closed with the next change.
func (s *PartStore) since(table string, version int64) ([]substrate.PartRow, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.lost {
		return nil, 0, nil, &substrate.HistoryLostError{Since: version}
	}
	var rows []substrate.PartRow
	for _, row := range s.history {
		if row.Table == table && row.Version > version {
			rows = append(rows, row)
		}
	}
	return rows, s.version, s.changed, nil
}

// PartStoreClient is a PartStore as one process sees it. It implements
// substrate.PartStore.
type PartStoreClient struct {
	store *PartStore
	mu    sync.Mutex
	mode  StoreMode
}

var _ substrate.PartStore = (*PartStoreClient)(nil)

// Set changes how the store treats the client.
func (c *PartStoreClient) Set(m StoreMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

func (c *PartStoreClient) now() StoreMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

// wait lets d pass.
func wait(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

func unanswered(ctx context.Context, operation string) error {
	<-ctx.Done()
	return &structs.UnknownOutcomeError{Operation: operation, Err: ctx.Err()}
}

// Commit implements substrate.PartStore.
func (c *PartStoreClient) Commit(ctx context.Context, txn substrate.PartTxn) (int64, error) {
	if wait(ctx, CommitTime) != nil {
		return 0, unanswered(ctx, "commit")
	}
	switch c.now() {
	case StoreRefuses:
		return 0, &structs.UnavailableError{Dependency: "store"}
	case StoreSilent:
		return 0, unanswered(ctx, "commit")
	case StoreLoses:
		// The answer, and with it a conflict, is what is lost.
		_, _ = c.store.Commit(txn)
		return 0, unanswered(ctx, "commit")
	case StoreLate:
		time.AfterFunc(LateWrite, func() { _, _ = c.store.Commit(txn) })
		return 0, unanswered(ctx, "commit")
	default:
		return c.store.Commit(txn)
	}
}

func (c *PartStoreClient) read(ctx context.Context) error {
	if wait(ctx, ReadTime) != nil {
		return &structs.UnavailableError{Dependency: "store", Err: ctx.Err()}
	}
	switch c.now() {
	case StoreRefuses:
		return &structs.UnavailableError{Dependency: "store"}
	case StoreSilent:
		return &structs.UnavailableError{Dependency: "store", Err: unanswered(ctx, "read")}
	default:
		return nil
	}
}

// Row implements substrate.PartStore.
func (c *PartStoreClient) Row(ctx context.Context, table, part, key string) (substrate.PartRow, error) {
	if err := c.read(ctx); err != nil {
		return substrate.PartRow{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	row, found := c.store.rows[rowName{table, part, key}]
	if !found {
		return substrate.PartRow{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return row, nil
}

// Rows implements substrate.PartStore.
func (c *PartStoreClient) Rows(ctx context.Context, table, part string) ([]substrate.PartRow, int64, error) {
	if err := c.read(ctx); err != nil {
		return nil, 0, err
	}
	rows, version := c.store.List(table, part)
	return rows, version, nil
}

// Changes implements substrate.PartStore.
func (c *PartStoreClient) Changes(ctx context.Context, table string, since int64, most time.Duration) ([]substrate.PartRow, int64, error) {
	if err := c.read(ctx); err != nil {
		return nil, 0, err
	}
	limit := time.NewTimer(most)
	defer limit.Stop()
	for {
		rows, version, changed, err := c.store.since(table, since)
		if err != nil || len(rows) > 0 {
			return rows, version, err
		}
		select {
		case <-changed:
		case <-limit.C:
			return nil, version, nil
		case <-ctx.Done():
			return nil, 0, &structs.UnavailableError{Dependency: "store", Err: ctx.Err()}
		}
	}
}
