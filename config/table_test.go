package config

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/structs"
)

// fakeTable is a table in memory with fault switches.
type fakeTable struct {
	mu       sync.Mutex
	rows     map[string]platform.Row
	revision int64
	down     bool          // refuses everything, without effect
	loseNext int           // commits whose answer is lost after the effect
	dropNext int           // commits lost before the effect, also of unknown outcome
	delay    time.Duration // of every call
	reads    int
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]platform.Row{}} }

func (f *fakeTable) set(change func(f *fakeTable)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTable) wait(ctx context.Context) error {
	f.mu.Lock()
	delay, down := f.delay, f.down
	f.reads++
	f.mu.Unlock()
	if delay > 0 {
		select {
		case <-ctx.Done():
			return &structs.UnavailableError{Dependency: "table", Err: ctx.Err()}
		case <-time.After(delay):
		}
	}
	if down {
		return &structs.UnavailableError{Dependency: "table"}
	}
	return nil
}

func (f *fakeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	if err := f.wait(ctx); err != nil {
		return platform.Row{}, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	row, found := f.rows[key]
	if !found || row.Value == nil {
		return platform.Row{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return row, nil
}

func (f *fakeTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	rows, _, err := f.Changes(ctx, prefix, 0)
	rows = slices.DeleteFunc(rows, func(r platform.Row) bool { return r.Value == nil || r.Key <= after })
	return rows[:min(limit, len(rows))], err
}

func (f *fakeTable) Changes(ctx context.Context, prefix string, since int64) ([]platform.Row, int64, error) {
	if err := f.wait(ctx); err != nil {
		return nil, 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var rows []platform.Row
	for key, row := range f.rows {
		if strings.HasPrefix(key, prefix) && row.Revision > since {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b platform.Row) int { return cmp.Compare(a.Key, b.Key) })
	return rows, f.revision, nil
}

func (f *fakeTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	if err := f.wait(ctx); err != nil {
		return 0, err
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.dropNext > 0 {
		f.dropNext--
		return 0, &structs.UnknownOutcomeError{Operation: "commit"}
	}
	for _, c := range txn.Compares {
		row := f.rows[c.Key]
		if row.Value == nil {
			row.Revision = 0
		}
		if row.Revision != c.Revision {
			return 0, &structs.ConflictError{Key: c.Key, Want: c.Revision, Have: row.Revision}
		}
	}
	f.revision++
	for _, p := range txn.Puts {
		f.rows[p.Key] = platform.Row{Key: p.Key, Value: slices.Clone(p.Value), Revision: f.revision, TxnID: txn.ID}
	}
	for _, key := range txn.Deletes {
		f.rows[key] = platform.Row{Key: key, Revision: f.revision, TxnID: txn.ID}
	}
	if f.loseNext > 0 {
		f.loseNext--
		return 0, &structs.UnknownOutcomeError{Operation: "commit"}
	}
	return f.revision, nil
}
