// Package client is the Go client of the HTTP API that entries serve. It also
// defines the JSON documents that clients and entries exchange.
package client

import (
	"encoding/json"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Headers of the HTTP API.
const (
	HeaderIdempotencyKey = "Idempotency-Key"
	HeaderRequestID      = "Request-Id"
	HeaderTimeoutMS      = "Request-Timeout-Ms" // how long the caller waits, in milliseconds
	// HeaderAttempt is the header with the number of the caller's attempt with
	// an idempotency key, starting at 1. The first attempt needs no proof that
	// no earlier attempt ran, so entries accept it even while the table is
	// unavailable.
	HeaderAttempt  = "Idempotency-Try"
	HeaderOperator = "Operator" // name of the operator in the history of changes
)

// JobRequest is the body of a job submission. Fields with a zero value default
// to the team's configuration of the class.
type JobRequest struct {
	Class      string             `json:"class"`
	Tasks      int32              `json:"tasks,omitempty"`
	Input      json.RawMessage    `json:"input,omitempty"` // passed to every task
	Resources  *structs.Resources `json:"resources,omitempty"`
	DeadlineMS int64              `json:"deadline_ms,omitempty"` // time from the submission to the deadline
	RunTimeMS  int64              `json:"run_time_ms,omitempty"` // expected run time of a task
}

// JobAccepted is the response to a job submission.
type JobAccepted struct {
	ID       structs.JobID `json:"id"`
	Deadline time.Time     `json:"deadline"`
}

// JobStatus is the state of a job with the number of its tasks that have ended.
type JobStatus struct {
	ID       structs.JobID    `json:"id"`
	Team     structs.TeamID   `json:"team"`
	Class    string           `json:"class"`
	Kind     structs.WorkKind `json:"kind"`
	State    string           `json:"state"`
	Deadline time.Time        `json:"deadline"`
	Tasks    int32            `json:"tasks"`
	Finished int32            `json:"finished"`
	Failed   int32            `json:"failed"`
	Detail   string           `json:"detail,omitempty"` // detail of a failed task, empty if no task failed
}

// Final reports whether the job has ended.
func (s JobStatus) Final() bool {
	return s.State == string(structs.TaskFinished) || s.State == string(structs.TaskFailed) || s.State == string(structs.TaskCancelled)
}

// DomainChange is the body of a request that changes the state of a failure
// domain.
type DomainChange struct {
	Reason string `json:"reason,omitempty"`
}

// ConfigStatus is the configuration revision of the platform, the entry and
// each worker.
type ConfigStatus struct {
	Committed int64            `json:"committed"` // revision that the platform stores
	Entry     int64            `json:"entry"`     // revision in force at the answering entry
	Workers   map[string]int64 `json:"workers"`   // revision in force by worker
	Lagging   []string         `json:"lagging"`   // workers behind the committed revision
}

// TargetStatus is a target that is registered at the answering entry.
type TargetStatus struct {
	ID            structs.TargetID        `json:"id"`
	Worker        structs.WorkerID        `json:"worker"`
	FailureDomain structs.FailureDomainID `json:"failure_domain"`
	Team          structs.TeamID          `json:"team"`
	Kinds         []string                `json:"kinds"`
	Slots         int                     `json:"slots"`
}

// ConfigChange lists teams to add or replace and teams to remove.
type ConfigChange struct {
	Put    []structs.TeamConfig `json:"put,omitempty"`
	Remove []structs.TeamID     `json:"remove,omitempty"`
}

// ConfigRevision is the response to a change of the configuration.
type ConfigRevision struct {
	Revision int64 `json:"revision"`
}

// RollbackRequest names the earlier revision whose content becomes a new
// revision.
type RollbackRequest struct {
	To int64 `json:"to"`
}
