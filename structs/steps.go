package structs

import (
	"fmt"
	"time"
)

// QueueID names a queue of jobs.
type QueueID string

// PoolID names a group of workers that run the tasks of some queues.
type PoolID string

// StepJob is a job of steps. A step begins once the steps it follows are done.
type StepJob struct {
	ID       JobID    `json:"id"`
	Queue    QueueID  `json:"queue"`
	Payload  string   `json:"payload"` // handed to each task as it is
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"` // zero for a job that runs once, at once
}

// Step is a set of equal tasks of a job.
type Step struct {
	Tasks         int32         `json:"tasks"`
	Resources     Resources     `json:"resources"`                // declared size of one task
	Estimate      time.Duration `json:"estimate,omitempty"`       // declared run time of one task, a prior only
	After         []int32       `json:"after,omitempty"`          // earlier steps whose tasks must all have finished
	Image         string        `json:"image,omitempty"`          // tasks of one image behave alike
	Checkpoints   bool          `json:"checkpoints,omitempty"`    // progress survives a stop
	Speculative   bool          `json:"speculative,omitempty"`    // copies of a task may run at the same time
	LongRunning   bool          `json:"long_running,omitempty"`   // runs until the job is cancelled
	LatencyTarget time.Duration `json:"latency_target,omitempty"` // tail latency that a long-running task keeps below
	Fills         bool          `json:"fills,omitempty"`          // uses processors that others leave idle; its share is not reserved
	Gang          bool          `json:"gang,omitempty"`           // the tasks work only together
	SameRack      bool          `json:"same_rack,omitempty"`      // a gang that is slower across racks
	Label         string        `json:"label,omitempty"`          // the worker must carry it
	Rack          string        `json:"rack,omitempty"`           // rack that holds the input; slower elsewhere
	MaxPerWorker  int32         `json:"max_per_worker,omitempty"` // tasks of the step on one worker, 0 for no limit
	MayMiss       int32         `json:"may_miss,omitempty"`       // disruption budget: tasks that may be away at once
}

// Schedule repeats a job. Round k is due at Start + k*Interval.
type Schedule struct {
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Rounds   int32         `json:"rounds,omitempty"` // 0 for a job without a schedule
}

// RoundCount returns the number of times that the steps run.
func (j *StepJob) RoundCount() int32 { return max(1, j.Schedule.Rounds) }

// Due returns when the round may begin, zero for at once.
func (j *StepJob) Due(round int32) time.Time {
	if j.Schedule.Rounds == 0 {
		return time.Time{}
	}
	return j.Schedule.Start.Add(time.Duration(round) * j.Schedule.Interval)
}

// LongRunning reports whether the job runs until it is cancelled.
func (j *StepJob) LongRunning() bool {
	for i := range j.Steps {
		if j.Steps[i].LongRunning {
			return true
		}
	}
	return false
}

// StepTaskID names a task of a job of steps.
type StepTaskID struct {
	Job   JobID
	Round int32
	Step  int32
	Index int32
}

// StepID names a step of a round of a job.
type StepID struct {
	Job   JobID
	Round int32
	Step  int32
}

// String returns the form "job/round/step".
func (s StepID) String() string { return fmt.Sprintf("%s/%d/%d", s.Job, s.Round, s.Step) }

// StepID returns the step of the task.
func (t StepTaskID) StepID() StepID { return StepID{Job: t.Job, Round: t.Round, Step: t.Step} }

// String returns the form "job/round/step/index".
func (t StepTaskID) String() string {
	return fmt.Sprintf("%s/%d/%d/%d", t.Job, t.Round, t.Step, t.Index)
}

// TaskRun names one run of a task. Numbers start at 1 and grow.
type TaskRun struct {
	Task   StepTaskID
	Number int32
}

// String returns the form "job/round/step/index#number".
func (r TaskRun) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// JobPhase is the state of a job that its owner sees.
type JobPhase string

// Phases of a job. Completed, Failed and Cancelled are final.
const (
	JobQueued    JobPhase = "queued"
	JobRunning   JobPhase = "running"
	JobCompleted JobPhase = "completed"
	JobFailed    JobPhase = "failed"
	JobCancelled JobPhase = "cancelled"
)

// Final reports whether the phase can no longer change.
func (p JobPhase) Final() bool {
	return p == JobCompleted || p == JobFailed || p == JobCancelled
}

// Queue is the operators' configuration of a queue.
type Queue struct {
	ID          QueueID
	Pool        PoolID        // workers that run its tasks
	Priority    int           // 0 goes first
	MaxAttempts int32         // failed runs after which a task, and its job, has failed
	Stretch     float64       // objective: this many times the longest chain of work ...
	Aim         time.Duration // ... and this much more
	Permits     PermitPolicy
}

// PermitPolicy tells that a step of the queue may run only on workers for which
// a permit was given. The zero value asks for none.
type PermitPolicy struct {
	Decide    time.Duration `json:"decide,omitempty"`     // one call takes this long ...
	PerWorker time.Duration `json:"per_worker,omitempty"` // ... and this much more for each worker
	Valid     time.Duration `json:"valid,omitempty"`      // of a permit, 0 without a policy
}

// Required reports whether steps need a permit.
func (p PermitPolicy) Required() bool { return p.Valid > 0 }

// FleetConfig is what operators have set for the workers and queues of a
// deployment. It is never changed once published.
type FleetConfig struct {
	Version int64 // grows with every change of the queues
	Queues  map[QueueID]Queue
	Guarded map[PoolID]bool              // pools whose workers refuse what does not fit
	Drained map[FailureDomainID]struct{} // failure domains that get no new tasks
}
