package structs

import (
	"fmt"
	"strings"
	"time"
)

// Reason says why a request or a task was refused. It is a stable,
// machine-readable word.
type Reason string

// Reasons for refusals.
const (
	ReasonNoTarget       Reason = "no_target"
	ReasonQueueFull      Reason = "queue_full"
	ReasonDeadline       Reason = "deadline_unreachable"
	ReasonRateLimit      Reason = "rate_limit"
	ReasonConcurrency    Reason = "concurrency_limit"
	ReasonRetryBudget    Reason = "retry_budget"
	ReasonLeaving        Reason = "target_leaving"
	ReasonFenced         Reason = "fenced"
	ReasonShuttingDown   Reason = "shutting_down"
	ReasonStaleGrant     Reason = "stale_grant"
	ReasonStaleEpoch     Reason = "stale_epoch"
	ReasonCapacity       Reason = "capacity"
	ReasonDomainOut      Reason = "failure_domain_out"
	ReasonQuarantined    Reason = "quarantined"
	ReasonQuota          Reason = "quota"
	ReasonNotInstalled   Reason = "not_installed"
	ReasonUnreachable    Reason = "unreachable"
	ReasonIncarnation    Reason = "incarnation_changed"
	ReasonDuplicate      Reason = "duplicate"
	ReasonNotLeader      Reason = "not_leader"
	ReasonUnschedulable  Reason = "unschedulable"
	ReasonCancelled      Reason = "cancelled"
	ReasonConnectionLost Reason = "connection_lost"
	ReasonUnknownAttempt Reason = "unknown_attempt"
	ReasonNoRoom         Reason = "no_room" // other requests take the memory or the connections of the process
)

// NotRunError reports that a request has not run and never will under this
// request ID. Callers may safely send it again after RetryAfter.
type NotRunError struct {
	Reason     Reason
	RetryAfter time.Duration
	Err        error // cause, may be nil
}

func (e *NotRunError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("not run: %s: %v", e.Reason, e.Err)
	}
	return fmt.Sprintf("not run: %s", e.Reason)
}

// Unwrap returns the cause.
func (e *NotRunError) Unwrap() error { return e.Err }

// UnknownOutcomeError reports that an operation may or may not have taken
// effect.
type UnknownOutcomeError struct {
	Operation string
	Err       error // cause, may be nil
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("%s: outcome unknown: %v", e.Operation, e.Err)
}

// Unwrap returns the cause.
func (e *UnknownOutcomeError) Unwrap() error { return e.Err }

// UnavailableError reports that a dependency could not be reached and that
// the operation had no effect.
type UnavailableError struct {
	Dependency string
	RetryAfter time.Duration
	Err        error // cause, may be nil
}

func (e *UnavailableError) Error() string {
	if e.Err == nil {
		return e.Dependency + " unavailable"
	}
	return fmt.Sprintf("%s unavailable: %v", e.Dependency, e.Err)
}

// Unwrap returns the cause.
func (e *UnavailableError) Unwrap() error { return e.Err }

// PanicError reports that a panic ended an operation.
type PanicError struct {
	Operation string
	Value     any    // value of the panic
	Stack     []byte // stack of the goroutine
}

func (e *PanicError) Error() string {
	return fmt.Sprintf("%s: panic: %v", e.Operation, e.Value)
}

// StaleError reports that the copy of stored data in memory is too old to
// decide on.
type StaleError struct {
	Subject string        // what was read, such as "operators' rows"
	Version int64         // version of the copy
	Age     time.Duration // time since the last successful read
}

func (e *StaleError) Error() string {
	return fmt.Sprintf("%s at version %d were last read %s ago", e.Subject, e.Version, e.Age)
}

// NotFoundError reports that a named object does not exist.
type NotFoundError struct {
	Subject string // what was looked for, such as "job" or "row"
	Name    string
}

func (e *NotFoundError) Error() string {
	return fmt.Sprintf("%s %q not found", e.Subject, e.Name)
}

// ConflictError reports that a comparison of a transaction did not hold.
type ConflictError struct {
	Key  string // row whose comparison failed
	Want int64  // revision that the comparison requires
	Have int64  // revision that the row has, 0 if absent
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("row %q has revision %d, expected %d", e.Key, e.Have, e.Want)
}

// FencedError reports that the writer has lost its leadership to a newer
// epoch.
type FencedError struct {
	Cell  CellID
	Epoch int64 // epoch of the fenced writer
}

func (e *FencedError) Error() string {
	return fmt.Sprintf("cell %s: epoch %d is fenced", e.Cell, e.Epoch)
}

// RefusedError reports that an operation other than a request was refused.
type RefusedError struct {
	Subject string
	Reason  Reason
	Detail  string
}

func (e *RefusedError) Error() string {
	return fmt.Sprintf("%s refused: %s: %s", e.Subject, e.Reason, e.Detail)
}

// Fault describes one violated rule of an input document.
type Fault struct {
	Path  string `json:"path"`  // JSON pointer or field name
	Value string `json:"value"` // offending value, shortened
	Rule  string `json:"rule"`
}

// InvalidError lists every fault of a rejected input. Nothing was changed.
type InvalidError struct {
	Subject string
	Faults  []Fault
}

// maxDecodeErrorBytes limits the text of a decoder's error in a fault.
const maxDecodeErrorBytes = 200

// DecodeFault returns the fault of a document that cannot be decoded. The error
// of a decoder may repeat a value of the document, of any size.
func DecodeFault(err error) Fault {
	rule := err.Error()
	if len(rule) > maxDecodeErrorBytes {
		rule = strings.ToValidUTF8(rule[:maxDecodeErrorBytes], "") + "…"
	}
	return Fault{Path: "/", Rule: rule}
}

func (e *InvalidError) Error() string {
	lines := make([]string, 0, len(e.Faults))
	for _, f := range e.Faults {
		lines = append(lines, fmt.Sprintf("%s: %s (got %s)", f.Path, f.Rule, f.Value))
	}
	return fmt.Sprintf("invalid %s: %s", e.Subject, strings.Join(lines, "; "))
}
