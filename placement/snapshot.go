// Package placement decides for the leader of a cell on which workers tasks
// run, which runs are throttled, evicted or preempted, and which workers are
// quarantined. Planning is a pure function from a Snapshot to a Plan, without
// clocks, goroutines, locks or I/O: the same snapshot gives the same plan. The
// caller owns the snapshot. A plan is a proposal, and the worker's agent may
// reject any part of it.
//
// Harm is the relative growth of a service's tail latency that is caused by the
// other runs on its worker.
package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Snapshot is the input of one planning cycle. The planner does not change it.
type Snapshot struct {
	// Now is a reading of the leader's monotonic clock.
	Now time.Duration
	// Workers holds all workers of the cell, including silent and leaving ones,
	// so that a job is not refused as too large while a host restarts.
	Workers []Worker
	// Pending holds the tasks that are waiting to start.
	Pending []Task
	// Cancelled holds the running attempts whose tasks were cancelled, oldest
	// first.
	Cancelled []structs.AttemptID
	Teams     []Team
	Services  []Service
	// Domains holds the state of each failure domain. Nothing starts in a
	// failure domain that is absent.
	Domains map[structs.FailureDomainID]structs.DomainState
	// Outcomes holds the recent outcomes of attempts, oldest first.
	Outcomes []Outcome
	// Estimates provides usage, run times and interference by class.
	Estimates Estimates
	// State is the State of the previous plan, zero in the first cycle.
	State PlannerState
}

// WorkerState is the state of a worker, which decides whether tasks may be
// placed on it.
type WorkerState string

// States of a worker. The zero value counts as WorkerReady.
const (
	WorkerReady   WorkerState = "ready"
	WorkerSilent  WorkerState = "silent"  // no recent heartbeat
	WorkerLeaving WorkerState = "leaving" // draining: its runs are evicted
)

// Worker is one host with its runs.
type Worker struct {
	structs.Worker
	State WorkerState
	// Runs holds all attempts that are not confirmed to have ended, including
	// those that are assigned and not yet running. The sum of their Resources
	// is committed.
	Runs []Run
}

// Run is an attempt that holds resources of a worker.
type Run struct {
	Attempt   structs.AttemptID
	Team      structs.TeamID
	Class     string
	Kind      structs.WorkKind
	Resources structs.Resources // committed resources
	Usage     structs.Resources // last reported usage, zero before the first report
	Age       time.Duration     // time since the start
	RunTime   time.Duration     // declared run time, used as a prior
	Progress  float64           // share of the work done, 0 to 1
	// TimeLeft is the time until the deadline, valid only with HasDeadline.
	TimeLeft    time.Duration
	HasDeadline bool
	// Throttle is the share of processor time that the run may use. Both zero
	// and one mean that the run is not throttled.
	Throttle float64
	// Stopping is set while an eviction or cancellation is in progress.
	Stopping bool
	// LatencyMS is the reported tail latency of a service, zero for batch work
	// and before the first report. ReportAge is the time since the end of the
	// report's window.
	LatencyMS float64
	ReportAge time.Duration
}

// Task is a pending task.
type Task struct {
	ID          structs.TaskID
	Team        structs.TeamID
	Class       string
	Kind        structs.WorkKind
	Resources   structs.Resources // declared resources, used as a prior
	RunTime     time.Duration     // declared run time, used as a prior
	Progress    float64           // share of the work in its checkpoint, 0 to 1
	Waited      time.Duration     // time since the task became pending
	TimeLeft    time.Duration     // time until the deadline, valid only with HasDeadline
	HasDeadline bool
	MaxAttempts int32              // failures after which the task is unschedulable, 0 for the planner's default
	FailedOn    []structs.WorkerID // worker of each failed attempt, oldest first
}

// Team is the quota of a team.
type Team struct {
	ID structs.TeamID
	// Share is the part of the quota that may be committed in this cell.
	Share structs.Resources
	// Quota is the quota over all cells. A task that exceeds it can never run.
	Quota structs.Resources
}

// Service is the state of a long-running service over all cells.
type Service struct {
	Job              structs.JobID
	RunningInstances int32 // running instances in all cells, including instances of this cell that are stopping
	MinAvailable     int32 // instances that must keep running while workers are drained
}

// Outcome is the success or failure of an attempt. Evicted, cancelled and lost
// attempts have no outcome.
type Outcome struct {
	At     time.Duration // reading of the leader's clock
	Task   structs.TaskID
	Class  string
	Worker structs.WorkerID
	Failed bool
}

// Estimates predicts the behaviour of classes of work. It must not change
// during a planning cycle.
type Estimates interface {
	// Reserve returns the resources to commit for one task of the class.
	Reserve(class string, declared structs.Resources) structs.Resources
	// Usage returns the expected usage of one task of the class.
	Usage(class string, declared structs.Resources) structs.Resources
	// RunTime returns a cautious estimate of the run time of a whole task of
	// the class.
	RunTime(class string, declared time.Duration) time.Duration
	// Band returns the load band of a service that has the given usage.
	Band(service string, usage structs.Resources) int
	// Harm returns the expected relative growth of the service's tail latency
	// that one task of the class on the same worker causes, such as 0.1 for a
	// tenth, and the standard deviation of this estimate.
	Harm(service, class string, band int) (mean, deviation float64)
	// Baseline returns the tail latency in milliseconds of the service at the
	// usage without neighbours. known is false if there is no estimate.
	Baseline(service string, usage structs.Resources) (ms float64, known bool)
}
