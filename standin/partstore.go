package standin

import (
	"context"
	"encoding/base64"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// StoreMode is the behaviour of a PartStore towards one client.
type StoreMode int

// Modes of a client of a PartStore.
const (
	StoreServes       StoreMode = iota
	StoreRefuses                // fails calls without an effect
	StoreUnresponsive           // neither applies commits nor replies to any call
	StoreLosesReplies           // applies commits and sends no reply
	StoreCommitsLate            // applies commits after LateCommitDelay if their conditions still hold, and sends no reply
)

// Latencies of a PartStore.
const (
	CommitTime      = 8 * time.Millisecond
	ReadTime        = 4 * time.Millisecond
	LateCommitDelay = 3 * time.Second
)

// Limits of a transaction, from the platform's documentation of its store.
const (
	MaxRowBytes   = 64 << 10
	MaxTxnEntries = 100
	MaxTxnBytes   = 1_000_000
)

// checkLimits returns *substrate.TxnRefusedError if the transaction breaks a limit.
func checkLimits(txn substrate.PartTxn) error {
	size := 0
	for _, p := range txn.Puts {
		if len(p.Value) > MaxRowBytes {
			return &substrate.TxnRefusedError{Reason: fmt.Sprintf("row %s/%s has %d bytes", p.Table, p.Key, len(p.Value))}
		}
		size += base64.StdEncoding.EncodedLen(len(p.Value)) + len(p.Table) + len(p.Part) + len(p.Key)
	}
	if n := len(txn.Expect) + len(txn.Puts) + len(txn.Remove); n > MaxTxnEntries || size > MaxTxnBytes {
		return &substrate.TxnRefusedError{Reason: fmt.Sprintf("%d entries, %d bytes", n, size)}
	}
	return nil
}

type rowKey struct{ table, part, key string }

// PartStore is an in-memory store of rows in tables and parts.
type PartStore struct {
	mu           sync.Mutex
	rows         map[rowKey]substrate.PartRow
	version      int64
	history      []substrate.PartRow // changes in order of their versions
	historyStart int64               // newest version whose changes are no longer in the history
	changed      chan struct{}       // closed with the next change
}

// NewPartStore returns an empty store.
func NewPartStore() *PartStore {
	return &PartStore{rows: map[rowKey]substrate.PartRow{}, changed: make(chan struct{})}
}

// Client returns a client with a mode of its own.
func (s *PartStore) Client() *PartStoreClient { return &PartStoreClient{store: s} }

// Version returns the newest version.
func (s *PartStore) Version() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

// LoseHistory drops the history of changes, so that clients have to list the
// rows again.
func (s *PartStore) LoseHistory() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.history, s.historyStart = nil, s.version
	close(s.changed)
	s.changed = make(chan struct{})
}

// Commit applies a transaction without a simulated delay.
func (s *PartStore) Commit(txn substrate.PartTxn) (int64, error) {
	if err := checkLimits(txn); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	var conflicting []substrate.PartRow
	conflict := false
	for _, e := range txn.Expect {
		row, found := s.rows[rowKey{e.Table, e.Part, e.Key}]
		if found {
			conflicting = append(conflicting, row)
		}
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		return 0, &substrate.VersionConflictError{Rows: conflicting}
	}
	s.version++
	for _, p := range txn.Puts {
		p.Version, p.Removed = s.version, false
		s.rows[rowKey{p.Table, p.Part, p.Key}] = p
		s.history = append(s.history, p)
	}
	for _, r := range txn.Remove {
		key := rowKey{r.Table, r.Part, r.Key}
		if _, found := s.rows[key]; !found {
			continue
		}
		delete(s.rows, key)
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
	for key, row := range s.rows {
		if key.table == table && key.part == part {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b substrate.PartRow) int { return strings.Compare(a.Key, b.Key) })
	return rows, s.version
}

// changesSince returns the changes of a table after a version, the newest
// version, and a channel that is closed with the next change.
func (s *PartStore) changesSince(table string, version int64) ([]substrate.PartRow, int64, <-chan struct{}, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if version < s.historyStart {
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

// PartStoreClient is the client of one process to a PartStore. It implements
// substrate.PartStore.
type PartStoreClient struct {
	store *PartStore
	mu    sync.Mutex
	mode  StoreMode
}

var _ substrate.PartStore = (*PartStoreClient)(nil)

// SetMode changes the mode of the client.
func (c *PartStoreClient) SetMode(m StoreMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

func (c *PartStoreClient) currentMode() StoreMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

// wait blocks for d, or returns the error of ctx when ctx ends first.
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

// withholdReply blocks until ctx ends and returns the error of a call without a
// reply.
func withholdReply(ctx context.Context, operation string) error {
	<-ctx.Done()
	return &structs.UnknownOutcomeError{Operation: operation, Err: ctx.Err()}
}

// Commit implements substrate.PartStore.
func (c *PartStoreClient) Commit(ctx context.Context, txn substrate.PartTxn) (int64, error) {
	if wait(ctx, CommitTime) != nil {
		return 0, withholdReply(ctx, "commit")
	}
	switch c.currentMode() {
	case StoreRefuses:
		return 0, &structs.UnavailableError{Dependency: "store"}
	case StoreUnresponsive:
		return 0, withholdReply(ctx, "commit")
	case StoreLosesReplies:
		// The reply is lost, also if it reports a conflict.
		_, _ = c.store.Commit(txn)
		return 0, withholdReply(ctx, "commit")
	case StoreCommitsLate:
		time.AfterFunc(LateCommitDelay, func() { _, _ = c.store.Commit(txn) })
		return 0, withholdReply(ctx, "commit")
	default:
		return c.store.Commit(txn)
	}
}

// simulateRead waits for the latency of a read and returns the error that the
// mode of the client causes.
func (c *PartStoreClient) simulateRead(ctx context.Context) error {
	if wait(ctx, ReadTime) != nil {
		return &structs.UnavailableError{Dependency: "store", Err: ctx.Err()}
	}
	switch c.currentMode() {
	case StoreRefuses:
		return &structs.UnavailableError{Dependency: "store"}
	case StoreUnresponsive:
		return &structs.UnavailableError{Dependency: "store", Err: withholdReply(ctx, "read")}
	default:
		return nil
	}
}

// Row implements substrate.PartStore.
func (c *PartStoreClient) Row(ctx context.Context, table, part, key string) (substrate.PartRow, error) {
	if err := c.simulateRead(ctx); err != nil {
		return substrate.PartRow{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	row, found := c.store.rows[rowKey{table, part, key}]
	if !found {
		return substrate.PartRow{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return row, nil
}

// Rows implements substrate.PartStore.
func (c *PartStoreClient) Rows(ctx context.Context, table, part string) ([]substrate.PartRow, int64, error) {
	if err := c.simulateRead(ctx); err != nil {
		return nil, 0, err
	}
	rows, version := c.store.List(table, part)
	return rows, version, nil
}

// Changes implements substrate.PartStore.
func (c *PartStoreClient) Changes(ctx context.Context, table string, since int64, maxWait time.Duration) ([]substrate.PartRow, int64, error) {
	if err := c.simulateRead(ctx); err != nil {
		return nil, 0, err
	}
	limit := time.NewTimer(maxWait)
	defer limit.Stop()
	for {
		rows, version, changed, err := c.store.changesSince(table, since)
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
