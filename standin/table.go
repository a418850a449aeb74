package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Load counts the operations on a store.
type Load struct {
	Reads       int64
	Writes      int64 // transactions or objects written, including failed comparisons
	RowsWritten int64 // rows or objects put or deleted
	BytesRead   int64 // size of the values read
	BytesWrite  int64 // size of the values written
}

// Table is an in-memory substrate.Table.
type Table struct {
	Faults Faults

	mu       sync.Mutex
	revision int64
	rows     map[string]substrate.Row // by key; a deleted row stays with a nil Value
	keys     []string                 // sorted keys of rows
	load     Load
}

var _ substrate.Table = (*Table)(nil)

// NewTable returns an empty table.
func NewTable() *Table {
	return &Table{rows: map[string]substrate.Row{}}
}

// Load returns the counts of operations.
func (t *Table) Load() Load {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.load
}

// Get implements substrate.Table.
func (t *Table) Get(ctx context.Context, key string) (substrate.Row, error) {
	return withFaults(ctx, &t.Faults, callInfo{"table", "get", false}, func() (substrate.Row, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.load.Reads++
		row, found := t.rows[key]
		if !found || row.Value == nil {
			return substrate.Row{}, &structs.NotFoundError{Subject: "row", Name: key}
		}
		t.load.BytesRead += int64(len(row.Value))
		return copyRow(row), nil
	})
}

// List implements substrate.Table.
func (t *Table) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	return withFaults(ctx, &t.Faults, callInfo{"table", "list", false}, func() ([]substrate.Row, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.load.Reads++
		var rows []substrate.Row
		for _, key := range t.keysWithPrefix(prefix) {
			if len(rows) == limit {
				break
			}
			row := t.rows[key]
			if key <= after || row.Value == nil {
				continue
			}
			t.load.BytesRead += int64(len(row.Value))
			rows = append(rows, copyRow(row))
		}
		return rows, nil
	})
}

// Changes implements substrate.Table.
func (t *Table) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	type changes struct {
		rows     []substrate.Row
		revision int64
	}
	c, err := withFaults(ctx, &t.Faults, callInfo{"table", "changes", false}, func() (changes, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		t.load.Reads++
		var rows []substrate.Row
		for _, key := range t.keysWithPrefix(prefix) {
			row := t.rows[key]
			if row.Revision <= since {
				continue
			}
			t.load.BytesRead += int64(len(row.Value))
			rows = append(rows, copyRow(row))
		}
		return changes{rows, t.revision}, nil
	})
	return c.rows, c.revision, err
}

// Commit implements substrate.Table.
func (t *Table) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	txn = copyTxn(txn)
	return withFaults(ctx, &t.Faults, callInfo{"table", "commit", true}, func() (int64, error) {
		t.mu.Lock()
		defer t.mu.Unlock()
		return t.commitLocked(txn)
	})
}

func (t *Table) commitLocked(txn substrate.Txn) (int64, error) {
	t.load.Writes++
	for _, c := range txn.Compares {
		var have int64
		if row, found := t.rows[c.Key]; found && row.Value != nil {
			have = row.Revision
		}
		if have != c.Revision {
			return 0, &structs.ConflictError{Key: c.Key, Want: c.Revision, Have: have}
		}
	}
	if len(txn.Puts)+len(txn.Deletes) == 0 {
		return t.revision, nil
	}
	t.revision++
	for _, p := range txn.Puts {
		t.writeRowLocked(p.Key, p.Value, txn.ID)
	}
	for _, key := range txn.Deletes {
		if row, found := t.rows[key]; found && row.Value != nil {
			t.writeRowLocked(key, nil, txn.ID)
		}
	}
	return t.revision, nil
}

func (t *Table) writeRowLocked(key string, value []byte, txnID string) {
	if _, found := t.rows[key]; !found {
		at, _ := slices.BinarySearch(t.keys, key)
		t.keys = slices.Insert(t.keys, at, key)
	}
	t.rows[key] = substrate.Row{Key: key, Value: value, Revision: t.revision, TxnID: txnID}
	t.load.RowsWritten++
	t.load.BytesWrite += int64(len(value))
}

// keysWithPrefix returns the sorted keys that start with prefix.
func (t *Table) keysWithPrefix(prefix string) []string {
	from, _ := slices.BinarySearch(t.keys, prefix)
	to := from
	for to < len(t.keys) && strings.HasPrefix(t.keys[to], prefix) {
		to++
	}
	return t.keys[from:to]
}

func copyRow(r substrate.Row) substrate.Row {
	r.Value = bytes.Clone(r.Value)
	return r
}

// copyTxn returns a copy that shares no memory with the caller's transaction.
// The values of its puts are never nil, since a nil value marks a deleted row.
func copyTxn(txn substrate.Txn) substrate.Txn {
	puts := make([]substrate.Put, 0, len(txn.Puts))
	for _, p := range txn.Puts {
		value := append([]byte{}, p.Value...)
		puts = append(puts, substrate.Put{Key: p.Key, Value: value})
	}
	return substrate.Txn{
		ID:       txn.ID,
		Compares: slices.Clone(txn.Compares),
		Puts:     puts,
		Deletes:  slices.Clone(txn.Deletes),
	}
}
