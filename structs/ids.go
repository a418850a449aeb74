// Package structs defines the identifiers, records and typed errors that the
// other packages share. It depends on no other package of this module.
package structs

import (
	"fmt"
	"strconv"
	"strings"
)

// WorkerID names a host that runs targets and tasks.
type WorkerID string

// FailureDomainID names a group of workers that operators take out of service
// together.
type FailureDomainID string

// CellID names a group of workers, inside one failure domain, that one leader
// schedules.
type CellID string

// TeamID names a team, the unit of quotas and objectives.
type TeamID string

// TargetID names one process that answers requests.
type TargetID string

// EntryID names one entry host.
type EntryID string

// JobID names a submitted job.
type JobID string

// RequestID names one request of a caller. Retries of a request keep its ID.
type RequestID string

// TaskID names one task of a job.
type TaskID struct {
	Job   JobID `json:"job"`
	Index int32 `json:"index"`
}

// String returns the form "job/index".
func (t TaskID) String() string {
	return string(t.Job) + "/" + strconv.Itoa(int(t.Index))
}

// ParseTaskID parses the form that TaskID.String returns.
func ParseTaskID(s string) (TaskID, error) {
	job, index, found := strings.Cut(s, "/")
	n, err := strconv.ParseInt(index, 10, 32)
	if !found || job == "" || err != nil || n < 0 {
		return TaskID{}, &InvalidError{Subject: "task", Faults: []Fault{{Path: "task", Value: s, Rule: "must have the form job/index"}}}
	}
	return TaskID{Job: JobID(job), Index: int32(n)}, nil
}

// AttemptID names one attempt to run a task. The attempts of a task are
// numbered from 1.
type AttemptID struct {
	Task   TaskID `json:"task"`
	Number int32  `json:"number"`
}

// String returns the form "job/index#number".
func (a AttemptID) String() string {
	return fmt.Sprintf("%s#%d", a.Task, a.Number)
}
