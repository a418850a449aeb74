package substrate

import (
	"context"
	"time"
)

// PartRow is one row of a partitioned store.
type PartRow struct {
	Table   string
	Part    string // rows of one part can be written in one transaction
	Key     string
	Value   []byte
	Version int64 // of the store's single counter, always above 0
	Removed bool  // in changes only: the row was removed
}

// RowVersion is a condition: the row has the version. Version 0 means that the
// row does not exist.
type RowVersion struct {
	Table, Part, Key string
	Version          int64
}

// PartTxn is a transaction over rows of one part. All conditions hold and all
// writes happen at one point in time, or none do.
type PartTxn struct {
	Expect []RowVersion
	Puts   []PartRow // Version and Removed are ignored
	Remove []PartRow // Value, Version and Removed are ignored
}

// VersionConflictError reports that a condition of a transaction did not hold.
type VersionConflictError struct {
	Rows []PartRow // the rows of the conditions as they are now
}

func (e *VersionConflictError) Error() string { return "a row has another version than expected" }

// HistoryLostError reports that changes since the wanted version are no longer
// known. The rows have to be read again.
type HistoryLostError struct{ Since int64 }

func (e *HistoryLostError) Error() string { return "history of changes lost" }

// PartStore is a transactional store whose rows lie in tables and parts.
//
// Reads return *structs.UnavailableError when the store cannot be reached.
// Commit returns *VersionConflictError when a condition fails,
// *structs.UnavailableError when the transaction surely had no effect, and
// *structs.UnknownOutcomeError when it may have taken effect, or may do so
// later while its conditions hold.
//
// A transaction may be sent more than once, so that a conflict may stem from an
// earlier sending of the same transaction that took effect.
type PartStore interface {
	// Row returns a row, or *structs.NotFoundError.
	Row(ctx context.Context, table, part, key string) (PartRow, error)
	// Rows returns the rows of a part of a table in key order and the version
	// of the store as of the first page; each page that the store serves is as
	// of one moment.
	Rows(ctx context.Context, table, part string) (rows []PartRow, version int64, err error)
	// Commit applies the transaction and returns its version.
	Commit(ctx context.Context, txn PartTxn) (version int64, err error)
	// Changes waits until rows of the table have changed after the version,
	// for at most the time given, and returns them with the version to go on
	// from. It returns *HistoryLostError when the changes are not known.
	Changes(ctx context.Context, table string, since int64, wait time.Duration) (rows []PartRow, version int64, err error)
}
