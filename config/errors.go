package config

import (
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// ConflictError reports that a change was made against a revision that is no
// longer current. Nothing was changed.
type ConflictError struct {
	Expected   int64      // revision that the operator saw
	Current    int64      // revision in the table
	Difference Difference // from Expected to Current
	Partial    bool       // the history no longer reaches back to Expected
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, expected %d: %d fields differ", e.Current, e.Expected, len(e.Difference))
}

// BaseError reports an update that builds on a revision which this daemon does
// not hold. The sender must be asked again with the daemon's own revision.
type BaseError struct {
	Base int64 // revision that the update builds on
	Have int64 // revision in force here
}

func (e *BaseError) Error() string {
	return fmt.Sprintf("update builds on revision %d, revision %d is in force", e.Base, e.Have)
}

// CorruptError reports stored or received configuration that can't be read.
type CorruptError struct {
	Source string // row key, or "update"
	Detail string
	Err    error // cause, may be nil
}

func (e *CorruptError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("configuration in %s: %s: %v", e.Source, e.Detail, e.Err)
	}
	return fmt.Sprintf("configuration in %s: %s", e.Source, e.Detail)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// revisionNotFound reports a revision outside the kept history.
func revisionNotFound(revision int64) error {
	return &structs.NotFoundError{Subject: "configuration revision", Name: fmt.Sprint(revision)}
}
