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
	Address       string          `json:"address"` // peer address of its agent as host:port
}

// Job is a set of identical tasks that a team submitted together.
type Job struct {
	ID          JobID         `json:"id"`
	Team        TeamID        `json:"team"`
	Class       string        `json:"class"` // work class, such as "pricing"; the unit of interference estimates
	Kind        WorkKind      `json:"kind"`
	Program     string        `json:"program"` // program that the worker runtime starts
	Input       string        `json:"input"`   // object key of the input, may be empty
	Tasks       int32         `json:"tasks"`
	Resources   Resources     `json:"resources"`    // declared size of one task
	RunTime     time.Duration `json:"run_time"`     // declared run time of one task, used only as a prior for estimates
	Deadline    time.Time     `json:"deadline"`     // zero for services
	Submitted   time.Time     `json:"submitted"`    // time of submission on the entry's wall clock, used only for display and slack
	MaxAttempts int32         `json:"max_attempts"` // number of failed attempts after which the task is unschedulable
	// RideOut is how long a leader that cannot reach the table keeps renewing
	// the leases of this job. The leader's own limit is used if RideOut is zero
	// or longer than that limit. The value is fixed at submission, so that all
	// leaders use the same value.
	RideOut time.Duration `json:"ride_outage,omitempty"`
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
	EndNotStarted EndCause = "not_started" // the attempt never ran, for example because the agent rejected it
	EndLost       EndCause = "lost"        // the runtime has a new incarnation, or the lease lapsed
)

// Allocation places one attempt of a task on a worker.
type Allocation struct {
	Attempt     AttemptID `json:"attempt"`
	Worker      WorkerID  `json:"worker"`
	Incarnation string    `json:"incarnation"` // incarnation of the worker's runtime
	Epoch       int64     `json:"epoch"`       // epoch of the leader that committed the allocation
	Resources   Resources `json:"resources"`
	Checkpoint  string    `json:"checkpoint"` // object key to resume from, empty for a fresh start
}

// AttemptEnd is the committed end of an attempt.
type AttemptEnd struct {
	Attempt    AttemptID `json:"attempt"`
	Cause      EndCause  `json:"cause"`
	Checkpoint string    `json:"checkpoint"` // object key of the last checkpoint, may be empty
	Result     string    `json:"result"`     // object key of the result of a finished attempt
	Detail     string    `json:"detail"`     // human-readable reason of a failure
}

// DomainState says whether operators have taken a failure domain out of
// service.
type DomainState string

// States of a failure domain.
const (
	DomainIn  DomainState = "in"
	DomainOut DomainState = "out"
)

// FailureDomain is the stored record of a failure domain.
type FailureDomain struct {
	ID     FailureDomainID `json:"id"`
	State  DomainState     `json:"state"`
	Reason string          `json:"reason"`
	SetBy  string          `json:"by"` // operator who set the state
}
