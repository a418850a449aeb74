package config

import (
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// ConflictError reports that a change was based on a revision that is no longer
// current. The configuration is unchanged.
type ConflictError struct {
	Expected          int64      // revision that the change was based on
	Current           int64      // current revision in the table, or a lower bound of it if the table cannot be read
	Difference        Difference // fields that differ between Expected and Current
	DifferenceMissing bool       // Difference is missing: the history does not reach back to Expected or cannot be read
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("configuration is at revision %d, expected %d: %d fields differ", e.Current, e.Expected, len(e.Difference))
}

// BaseNotRetainedError reports a delta update whose base revision is not
// retained in this daemon. The receiver must request an update for its own
// revision.
type BaseNotRetainedError struct {
	Base    int64 // revision that the update is based on
	Current int64 // revision in force in this daemon
}

func (e *BaseNotRetainedError) Error() string {
	return fmt.Sprintf("update builds on revision %d, revision %d is in force", e.Base, e.Current)
}

// CorruptError reports stored or received configuration that cannot be decoded.
type CorruptError struct {
	Source string // row key, or "update"
	Detail string
	Err    error // cause, nil if there is none
}

func (e *CorruptError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("configuration in %s: %s: %v", e.Source, e.Detail, e.Err)
	}
	return fmt.Sprintf("configuration in %s: %s", e.Source, e.Detail)
}

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// revisionNotFound returns the error for a revision outside the retained
// history.
func revisionNotFound(revision int64) error {
	return &structs.NotFoundError{Subject: "configuration revision", Name: fmt.Sprint(revision)}
}
