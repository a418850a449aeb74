package fleet

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// storeMode is how the store treats one client.
type storeMode int

const (
	storeServes  storeMode = iota
	storeRefuses           // says that nothing was done
	storeSilent            // does nothing and does not answer
	storeLoses             // does it and does not answer
	storeLate              // does it later and does not answer
)

// storeLatency is the time of an answer.
const storeLatency = 8 * time.Millisecond

// fakeStore is a store of rows in memory.
type fakeStore struct {
	mu      sync.Mutex
	rows    map[substrate.RowVersion]substrate.PartRow // by name, Version 0
	version int64
	commits int
}

func newFakeStore() *fakeStore { return &fakeStore{rows: map[substrate.RowVersion]substrate.PartRow{}} }

func nameOf(table, part, key string) substrate.RowVersion {
	return substrate.RowVersion{Table: table, Part: part, Key: key}
}

func (s *fakeStore) commit(txn substrate.PartTxn) (int64, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []substrate.PartRow
	conflict := false
	for _, e := range txn.Expect {
		row, found := s.rows[nameOf(e.Table, e.Part, e.Key)]
		if found {
			current = append(current, row)
		}
		conflict = conflict || row.Version != e.Version
	}
	if conflict {
		return 0, &substrate.VersionConflictError{Rows: current}
	}
	s.version++
	s.commits++
	for _, p := range txn.Puts {
		p.Version = s.version
		s.rows[nameOf(p.Table, p.Part, p.Key)] = p
	}
	for _, r := range txn.Remove {
		delete(s.rows, nameOf(r.Table, r.Part, r.Key))
	}
	return s.version, nil
}

func (s *fakeStore) list(table, part string) ([]substrate.PartRow, int64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var rows []substrate.PartRow
	for name, row := range s.rows {
		if name.Table == table && name.Part == part {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b substrate.PartRow) int {
		return compareWorkers(structs.WorkerID(a.Key), structs.WorkerID(b.Key))
	})
	return rows, s.version
}

// storeClient is the store as one process sees it.
type storeClient struct {
	store *fakeStore
	mu    sync.Mutex
	mode  storeMode
}

func (c *storeClient) set(m storeMode) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.mode = m
}

func (c *storeClient) now() storeMode {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.mode
}

func (c *storeClient) silence(ctx context.Context) error {
	<-ctx.Done()
	return &structs.UnknownOutcomeError{Operation: "call", Err: ctx.Err()}
}

func (c *storeClient) Commit(ctx context.Context, txn substrate.PartTxn) (int64, error) {
	if err := sleep(ctx, storeLatency); err != nil {
		return 0, &structs.UnknownOutcomeError{Operation: "commit", Err: err}
	}
	switch c.now() {
	case storeRefuses:
		return 0, &structs.UnavailableError{Dependency: "store"}
	case storeSilent:
		return 0, c.silence(ctx)
	case storeLoses:
		_, _ = c.store.commit(txn)
		return 0, c.silence(ctx)
	case storeLate:
		time.AfterFunc(3*time.Second, func() { _, _ = c.store.commit(txn) })
		return 0, c.silence(ctx)
	}
	return c.store.commit(txn)
}

func (c *storeClient) read(ctx context.Context) error {
	if err := sleep(ctx, storeLatency/2); err != nil {
		return &structs.UnavailableError{Dependency: "store", Err: err}
	}
	switch c.now() {
	case storeRefuses:
		return &structs.UnavailableError{Dependency: "store"}
	case storeSilent:
		return &structs.UnavailableError{Dependency: "store", Err: c.silence(ctx)}
	}
	return nil
}

func (c *storeClient) Row(ctx context.Context, table, part, key string) (substrate.PartRow, error) {
	if err := c.read(ctx); err != nil {
		return substrate.PartRow{}, err
	}
	c.store.mu.Lock()
	defer c.store.mu.Unlock()
	row, found := c.store.rows[nameOf(table, part, key)]
	if !found {
		return substrate.PartRow{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return row, nil
}

func (c *storeClient) Rows(ctx context.Context, table, part string) ([]substrate.PartRow, int64, error) {
	if err := c.read(ctx); err != nil {
		return nil, 0, err
	}
	rows, version := c.store.list(table, part)
	return rows, version, nil
}

func (c *storeClient) Changes(ctx context.Context, _ string, since int64, wait time.Duration) ([]substrate.PartRow, int64, error) {
	if err := sleep(ctx, wait); err != nil {
		return nil, 0, err
	}
	return nil, since, nil
}
