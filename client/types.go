// Package client is the Go client of the HTTP API that entries serve, with the
// JSON documents that both sides exchange.
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
	HeaderTimeoutMS      = "Request-Timeout-Ms" // time that the caller waits, in milliseconds
	// HeaderTry numbers the caller's own sends of an idempotency key, from 1. A
	// first send needs no proof that nothing ran before, so it is carried also
	// while the table is out.
	HeaderTry      = "Idempotency-Try"
	HeaderOperator = "Operator" // name of the operator, for the history
)

// JobRequest is the body of a job submission. Zero values are taken from the
// team's configuration of the class.
type JobRequest struct {
	Class      string             `json:"class"`
	Tasks      int32              `json:"tasks,omitempty"`
	Input      json.RawMessage    `json:"input,omitempty"` // given to every task
	Resources  *structs.Resources `json:"resources,omitempty"`
	DeadlineMS int64              `json:"deadline_ms,omitempty"` // from submission
	RunTimeMS  int64              `json:"run_time_ms,omitempty"` // declared run time of a task
}

// JobAccepted answers a submission.
type JobAccepted struct {
	ID       structs.JobID `json:"id"`
	Deadline time.Time     `json:"deadline"`
}

// JobStatus counts the tasks of a job by state.
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
	Detail   string           `json:"detail,omitempty"`
}

// Final reports whether the job can no longer change.
func (s JobStatus) Final() bool {
	return s.State == string(structs.TaskFinished) || s.State == string(structs.TaskFailed) || s.State == string(structs.TaskCancelled)
}

// DomainChange is the body of a change of a failure domain.
type DomainChange struct {
	Reason string `json:"reason,omitempty"`
}

// ConfigStatus says which revision is in force where.
type ConfigStatus struct {
	Committed int64            `json:"committed"` // revision that the platform holds
	Entry     int64            `json:"entry"`     // revision in force at the answering entry
	Workers   map[string]int64 `json:"workers"`   // revision in force by worker
	Lagging   []string         `json:"lagging"`   // workers behind the committed revision
}

// TargetStatus is a target as the answering entry knows it.
type TargetStatus struct {
	ID            structs.TargetID        `json:"id"`
	Worker        structs.WorkerID        `json:"worker"`
	FailureDomain structs.FailureDomainID `json:"failure_domain"`
	Team          structs.TeamID          `json:"team"`
	Kinds         []string                `json:"kinds"`
	Slots         int                     `json:"slots"`
}

// ConfigChange adds or replaces teams, and removes teams.
type ConfigChange struct {
	Put    []structs.TeamConfig `json:"put,omitempty"`
	Remove []structs.TeamID     `json:"remove,omitempty"`
}

// ConfigRevision answers a change of the configuration.
type ConfigRevision struct {
	Revision int64 `json:"revision"`
}

// RollbackRequest names the revision whose content becomes a new revision.
type RollbackRequest struct {
	To int64 `json:"to"`
}
