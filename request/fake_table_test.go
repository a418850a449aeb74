package request

import (
	"context"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// fakeTable is a table service in memory with injected faults.
type fakeTable struct {
	mu            sync.Mutex
	rows          map[string]substrate.Row
	revision      int64
	rowsWritten   int
	down          bool
	latency       time.Duration // duration of each call, 0 means 2 ms
	answersToLose int           // commits that are applied and then reported as unknown
}

func newFakeTable() *fakeTable { return &fakeTable{rows: map[string]substrate.Row{}} }

func (t *fakeTable) set(change func(t *fakeTable)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	change(t)
}

func (t *fakeTable) simulateCall(ctx context.Context) error {
	t.mu.Lock()
	down, latency := t.down, t.latency
	t.mu.Unlock()
	if latency == 0 {
		latency = 2 * time.Millisecond
	}
	select {
	case <-time.After(latency):
	case <-ctx.Done():
		return &structs.UnavailableError{Dependency: "table", Err: ctx.Err()}
	}
	if down {
		return &structs.UnavailableError{Dependency: "table"}
	}
	return nil
}

func (t *fakeTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	if err := t.simulateCall(ctx); err != nil {
		return substrate.Row{}, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	row, found := t.rows[key]
	if !found {
		return substrate.Row{}, &structs.NotFoundError{Subject: "row", Name: key}
	}
	return row, nil
}

func (t *fakeTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	if err := t.simulateCall(ctx); err != nil {
		return 0, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, c := range txn.Compares {
		if have := t.rows[c.Key].Revision; have != c.Revision {
			return 0, &structs.ConflictError{Key: c.Key, Want: c.Revision, Have: have}
		}
	}
	t.revision++
	for _, p := range txn.Puts {
		t.rows[p.Key] = substrate.Row{Key: p.Key, Value: p.Value, Revision: t.revision, TxnID: txn.ID}
		t.rowsWritten++
	}
	for _, d := range txn.Deletes {
		delete(t.rows, d)
	}
	if t.answersToLose > 0 {
		t.answersToLose--
		return 0, &structs.UnknownOutcomeError{Operation: "commit"}
	}
	return t.revision, nil
}

func (t *fakeTable) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	if err := t.simulateCall(ctx); err != nil {
		return nil, err
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	var rows []substrate.Row
	for key, row := range t.rows {
		if strings.HasPrefix(key, prefix) && key > after {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows[:min(limit, len(rows))], nil
}

func (t *fakeTable) Changes(ctx context.Context, _ string, _ int64) ([]substrate.Row, int64, error) {
	return nil, 0, t.simulateCall(ctx)
}
