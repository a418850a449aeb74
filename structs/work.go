package structs

import "time"

// WorkKind separates long-running services from batch work.
type WorkKind string

// Kinds of work.
const (
	WorkBatch   WorkKind = "batch"
	WorkService WorkKind = "service"
)

// Worker is one host with its capacity.
type Worker struct {
	ID            WorkerID        `json:"id"`
	FailureDomain FailureDomainID `json:"failure_domain"`
	Rack          string          `json:"rack"`
	Cell          CellID          `json:"cell"`
	Capacity      Resources       `json:"capacity"`
	Address       string          `json:"address"` // peer address host:port of its agent
}

// Job is a set of equal tasks that a team submitted together.
type Job struct {
	ID          JobID         `json:"id"`
	Team        TeamID        `json:"team"`
	Class       string        `json:"class"` // work class, such as "pricing"; the unit of interference estimates
	Kind        WorkKind      `json:"kind"`
	Program     string        `json:"program"` // program that the worker runtime starts
	Input       string        `json:"input"`   // object key of the input, may be empty
	Tasks       int32         `json:"tasks"`
	Resources   Resources     `json:"resources"`    // declared size of one task
	RunTime     time.Duration `json:"run_time"`     // declared run time of one task, a prior only
	Deadline    time.Time     `json:"deadline"`     // zero for services
	Submitted   time.Time     `json:"submitted"`    // entry's wall clock, for display and slack only
	MaxAttempts int32         `json:"max_attempts"` // failures after which the task is unschedulable
	// RideOutage is how long a leader that cannot reach the table renews the
	// leases of this job; zero leaves it to the leader's own bound, which it
	// never passes. It is fixed with the submission, so that every leader
	// reckons with the same value.
	RideOutage time.Duration `json:"ride_outage,omitempty"`
}

// TaskState is the committed state of a task.
type TaskState string

// Task states. Finished, Failed and Cancelled are final.
const (
	TaskPending   TaskState = "pending"
	TaskAssigned  TaskState = "assigned"
	TaskFinished  TaskState = "finished"
	TaskFailed    TaskState = "failed"
	TaskCancelled TaskState = "cancelled"
)

// Final reports whether the state can no longer change.
func (s TaskState) Final() bool {
	return s == TaskFinished || s == TaskFailed || s == TaskCancelled
}

// EndCause says how an attempt ended.
type EndCause string

// Causes of the end of an attempt.
const (
	EndFinished   EndCause = "finished"
	EndFailed     EndCause = "failed"
	EndEvicted    EndCause = "evicted"
	EndCancelled  EndCause = "cancelled"
	EndNotStarted EndCause = "not_started" // the agent rejected it, nothing ran
	EndLost       EndCause = "lost"        // new incarnation or lapsed lease
)

// Allocation places one attempt of a task on a worker.
type Allocation struct {
	Attempt     AttemptID `json:"attempt"`
	Worker      WorkerID  `json:"worker"`
	Incarnation string    `json:"incarnation"` // of the worker's runtime
	Epoch       int64     `json:"epoch"`       // of the leader that committed it
	Resources   Resources `json:"resources"`
	Checkpoint  string    `json:"checkpoint"` // object key to resume from, empty for a fresh start
}

// AttemptEnd is the committed end of an attempt.
type AttemptEnd struct {
	Attempt    AttemptID `json:"attempt"`
	Cause      EndCause  `json:"cause"`
	Checkpoint string    `json:"checkpoint"` // object key of the last checkpoint, may be empty
	Result     string    `json:"result"`     // object key of the result of a finished attempt
	Detail     string    `json:"detail"`     // reason of a failure, for people
}

// DomainState is the operators' decision about a failure domain.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is the row of one failure domain.
type FailureDomain struct {
	ID     FailureDomainID `json:"id"`
	State  DomainState     `json:"state"`
	Reason string          `json:"reason"`
	By     string          `json:"by"` // operator
}
