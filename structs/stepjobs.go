package structs

import (
	"fmt"
	"time"
)

// QueueID names a queue of jobs.
type QueueID string

// PoolID names a group of workers that run the tasks of some queues.
type PoolID string

// StepJob is a job that consists of steps. A step starts once all steps in its
// After list have finished.
type StepJob struct {
	ID       JobID    `json:"id"`
	Queue    QueueID  `json:"queue"`
	Payload  string   `json:"payload"` // passed unchanged to each task
	Steps    []Step   `json:"steps"`
	Schedule Schedule `json:"schedule,omitzero"` // zero for a job that runs once and immediately
}

// TextBytes returns the number of bytes in the texts and lists of the job.
func (j *StepJob) TextBytes() int {
	size := len(j.Payload)
	for i := range j.Steps {
		s := &j.Steps[i]
		size += len(s.Image) + len(s.Label) + len(s.Rack) + 4*len(s.After)
	}
	return size
}

// Step is a set of identical tasks of a job.
type Step struct {
	Tasks          int32         `json:"tasks"`
	Resources      Resources     `json:"resources"`                // declared size of one task
	Estimate       time.Duration `json:"estimate,omitempty"`       // declared run time of one task, an estimate that a run may exceed
	After          []int32       `json:"after,omitempty"`          // indexes of earlier steps that must have finished
	Image          string        `json:"image,omitempty"`          // tasks with the same image are expected to behave alike
	Checkpoints    bool          `json:"checkpoints,omitempty"`    // a stopped task can resume from its last checkpoint
	Speculative    bool          `json:"speculative,omitempty"`    // copies of a task may run at the same time
	LongRunning    bool          `json:"long_running,omitempty"`   // runs until the job is cancelled
	LatencyTarget  time.Duration `json:"latency_target,omitempty"` // upper limit for the tail latency of a long-running task
	Fills          bool          `json:"fills,omitempty"`          // runs on processors that other tasks leave idle; none are reserved for it
	Gang           bool          `json:"gang,omitempty"`           // the tasks make progress only while all of them run
	SameRack       bool          `json:"same_rack,omitempty"`      // the gang is slower if its tasks run in different racks
	Label          string        `json:"label,omitempty"`          // label that the worker must have, empty for none
	Rack           string        `json:"rack,omitempty"`           // rack that holds the input; tasks are slower in other racks
	MaxPerWorker   int32         `json:"max_per_worker,omitempty"` // largest number of tasks of the step on one worker, 0 for no limit
	MaxUnavailable int32         `json:"may_miss,omitempty"`       // disruption budget: number of tasks that may be unavailable at once
}

// Schedule repeats a job. Round k, counted from 0, is due at Start +
// k*Interval.
type Schedule struct {
	Start    time.Time     `json:"start,omitzero"`
	Interval time.Duration `json:"interval,omitempty"`
	Rounds   int32         `json:"rounds,omitempty"` // number of rounds, 0 for a job without a schedule
}

// RoundCount returns the number of times that the steps run.
func (j *StepJob) RoundCount() int32 { return max(1, j.Schedule.Rounds) }

// Due returns the time at which the round may begin. It returns the zero time
// for a job without a schedule.
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

// StepTaskID identifies one task in one round of a StepJob.
type StepTaskID struct {
	Job   JobID
	Round int32
	Step  int32
	Index int32
}

// StepID identifies one step in one round of a StepJob.
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

// RunID identifies one run of a task. The number of the first run is 1, and
// later runs have higher numbers.
type RunID struct {
	Task   StepTaskID
	Number int32
}

// String returns the form "job/round/step/index#number".
func (r RunID) String() string { return fmt.Sprintf("%s#%d", r.Task, r.Number) }

// JobPhase is the state of a job as reported to its owner.
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

// Queue is the operators' configuration of a queue. The latency objective of a
// job is Stretch times the length of its critical path, plus Aim.
type Queue struct {
	ID          QueueID
	Pool        PoolID        // workers that run its tasks
	Priority    int           // 0 is the most urgent
	MaxAttempts int32         // failed runs after which a task, and with it its job, fails
	Stretch     float64       // factor on the critical path in the latency objective
	Aim         time.Duration // constant part of the latency objective
	Permits     PermitPolicy
}

// PermitPolicy requires a permit for each worker on which a step of the queue
// may run. The zero value requires none.
type PermitPolicy struct {
	BaseLatency time.Duration `json:"decide,omitempty"`     // base duration of one call to the permit service
	PerWorker   time.Duration `json:"per_worker,omitempty"` // additional duration of the call for each worker in it
	Validity    time.Duration `json:"valid,omitempty"`      // validity of a permit, 0 if no permits are required
}

// Required reports whether steps need a permit.
func (p PermitPolicy) Required() bool { return p.Validity > 0 }

// FleetConfig is the operators' configuration of the queues, pools and failure
// domains of a deployment. It is immutable once published.
type FleetConfig struct {
	Version          int64 // increases with every change of the queues
	Queues           map[QueueID]Queue
	EnforcesCapacity map[PoolID]bool              // pools whose workers refuse tasks that exceed their free capacity
	Drained          map[FailureDomainID]struct{} // failure domains that get no new tasks
}
