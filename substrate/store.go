package substrate

import (
	"context"
	"time"
)

// PartRow is one row of a partitioned store.
type PartRow struct {
	Table   string
	Part    string // partition; the rows of a transaction are all in one part
	Key     string
	Value   []byte
	Version int64 // store-wide version of the last write, always above 0
	Removed bool  // set by Changes for a row that was removed
}

// RowVersion is a condition that holds if the row has the version. Version 0
// means that the row does not exist.
type RowVersion struct {
	Table, Part, Key string
	Version          int64
}

// PartTxn is a transaction over rows of one part. It is atomic: either all
// conditions hold and all writes take effect at one point in time, or nothing
// is written.
type PartTxn struct {
	Expect []RowVersion
	Puts   []PartRow // Version and Removed are ignored
	Remove []PartRow // Value, Version and Removed are ignored
}

// VersionConflictError reports that a condition of a transaction did not hold.
type VersionConflictError struct {
	Rows []PartRow // current state of the rows in the conditions
}

func (e *VersionConflictError) Error() string { return "a row has another version than expected" }

// TxnRefusedError reports a transaction that the store never applies, because it breaks a
// limit of the store or is malformed. The same transaction is refused again.
type TxnRefusedError struct{ Reason string }

func (e *TxnRefusedError) Error() string { return "transaction refused: " + e.Reason }

// HistoryLostError reports that the store no longer has all changes since a
// version. The caller has to read the rows again.
type HistoryLostError struct{ Since int64 }

func (e *HistoryLostError) Error() string { return "history of changes lost" }

// PartStore is a transactional store whose rows are grouped into tables and
// parts.
//
// Reads return *structs.UnavailableError when the store cannot be reached.
// Commit returns *VersionConflictError when a condition fails, *TxnRefusedError when the
// transaction is not valid,
// *structs.UnavailableError when the transaction certainly had no effect, and
// *structs.UnknownOutcomeError when it may have taken effect, or may still take
// effect at a time when its conditions hold.
//
// An implementation may send a transaction more than once, so a conflict may be
// caused by an earlier copy of the same transaction that took effect.
type PartStore interface {
	// Row returns a row, or *structs.NotFoundError.
	Row(ctx context.Context, table, part, key string) (PartRow, error)
	// Rows returns the rows of a part of a table in key order. It reads them in
	// pages, each of which is consistent, and returns the version of the store
	// at the first page.
	Rows(ctx context.Context, table, part string) (rows []PartRow, version int64, err error)
	// Commit applies the transaction and returns its version.
	Commit(ctx context.Context, txn PartTxn) (version int64, err error)
	// Changes waits, for at most wait, until rows of the table have versions
	// above since. It returns these rows and the version to pass as since to
	// the next call. It returns *HistoryLostError if the store no longer has
	// all the changes.
	Changes(ctx context.Context, table string, since int64, wait time.Duration) (rows []PartRow, version int64, err error)
}
