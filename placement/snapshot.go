// Package placement decides where tasks run. It is pure decision code: a
// Snapshot goes in and a Plan comes out, without clocks, goroutines or I/O.
// The same snapshot gives the same plan. A plan is a proposal: the worker's
// agent may reject any part of it.
package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Snapshot is everything that one round of planning sees. The planner changes
// nothing in it.
type Snapshot struct {
	// Now is a reading of the leader's monotonic clock.
	Now time.Duration
	// Workers holds every worker that the cell knows, silent and leaving ones
	// included, so that a job is not called too large while a host restarts.
	Workers []Worker
	// Pending holds the tasks that wait for a start.
	Pending []Task
	// Cancelled holds the running attempts whose tasks were cancelled, oldest
	// first.
	Cancelled []structs.AttemptID
	Teams     []Team
	Services  []Service
	// Domains holds the state of each failure domain. Nothing starts in a
	// failure domain that is absent.
	Domains map[structs.FailureDomainID]structs.DomainState
	// Outcomes holds the recent ends of attempts that ran, oldest first.
	Outcomes []Outcome
	// Estimates answers for usage, run times and interference.
	Estimates Estimates
	// Memory is the Memory of the previous plan, zero in the first round.
	Memory Memory
}

// WorkerState says whether a worker takes part in planning.
type WorkerState string

// States of a worker. The zero value counts as WorkerReady.
const (
	WorkerReady   WorkerState = "ready"
	WorkerSilent  WorkerState = "silent"  // no recent heartbeat
	WorkerLeaving WorkerState = "leaving" // its runs are to be moved off
)

// Worker is one host with its resident runs.
type Worker struct {
	structs.Worker
	State WorkerState
	// Runs holds every attempt that is not proved to be over, also those that
	// are assigned and not yet running. The sum of their Resources is what the
	// host has committed.
	Runs []Run
}

// Run is an attempt that holds resources of a worker.
type Run struct {
	Attempt   structs.AttemptID
	Team      structs.TeamID
	Class     string
	Kind      structs.WorkKind
	Resources structs.Resources // committed
	Usage     structs.Resources // last report, zero before the first
	Age       time.Duration     // time since the start
	RunTime   time.Duration     // declared, a prior only
	Progress  float64           // share of the work done, 0 to 1
	// TimeLeft is the time until the deadline, meaningful with HasDeadline.
	TimeLeft    time.Duration
	HasDeadline bool
	// Throttle is the share of processor time in force. Zero and one mean
	// that the run is not throttled.
	Throttle float64
	// Stopping is set while an eviction or cancellation is under way.
	Stopping bool
	// LatencyMS is the reported tail latency of a service, zero for batch work
	// and before the first report. ReportAge is the time since the end of the
	// report's window.
	LatencyMS float64
	ReportAge time.Duration
}

// Task waits for a start.
type Task struct {
	ID          structs.TaskID
	Team        structs.TeamID
	Class       string
	Kind        structs.WorkKind
	Resources   structs.Resources // declared, a prior only
	RunTime     time.Duration     // declared, a prior only
	Progress    float64           // share of the work in its checkpoint, 0 to 1
	Waited      time.Duration     // time since the task became pending
	TimeLeft    time.Duration     // until the deadline, meaningful with HasDeadline
	HasDeadline bool
	MaxAttempts int32              // failures after which the task is unschedulable, 0 means the planner's default
	FailedOn    []structs.WorkerID // worker of each failed attempt, oldest first
}

// Team is the quota of a team in this cell.
type Team struct {
	ID structs.TeamID
	// Share is the part of the quota that this cell may commit.
	Share structs.Resources
	// Quota is the whole quota. A task beyond it can never run.
	Quota structs.Resources
}

// Service is the state of a long-running service over all cells.
type Service struct {
	Job     structs.JobID
	Up      int32 // instances running anywhere, those of this cell that are stopping included
	Minimum int32 // instances kept up through planned movement
}

// Outcome is the end of an attempt that ran. Evictions, cancellations and
// losses are no outcomes.
type Outcome struct {
	At     time.Duration // reading of the leader's clock
	Task   structs.TaskID
	Class  string
	Worker structs.WorkerID
	Failed bool
}

// Estimates is what the planner asks about classes of work. It must not change
// while a plan is made.
type Estimates interface {
	// Reserve returns the resources to commit for one task of the class.
	Reserve(class string, declared structs.Resources) structs.Resources
	// Usage returns the resources that one task of the class is expected to use.
	Usage(class string, declared structs.Resources) structs.Resources
	// RunTime returns a cautious run time of a whole task of the class.
	RunTime(class string, declared time.Duration) time.Duration
	// Band returns the load band of a service that uses usage.
	Band(service string, usage structs.Resources) int
	// Harm returns the expected relative growth of the tail latency of the
	// service through one task of the class beside it, such as 0.1 for a tenth,
	// and the standard deviation of that estimate.
	Harm(service, class string, band int) (mean, deviation float64)
	// Baseline returns the tail latency of the service without neighbours at
	// the usage, in milliseconds, and false while it is unknown.
	Baseline(service string, usage structs.Resources) (ms float64, known bool)
}
