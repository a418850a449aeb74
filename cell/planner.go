package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Planner decides which tasks run on which workers. A planner has no side
// effects on the cell and keeps no reference to the snapshot.
type Planner interface {
	Plan(s *Snapshot) Plan
}

// Snapshot is the state of a cell that a planner decides on.
type Snapshot struct {
	Cell      structs.CellID
	Now       time.Time // wall clock of the leader, used only for the time left until deadlines
	MaxStarts int       // largest number of placements that the leader accepts from this plan
	Pending   []PendingTask
	Workers   []WorkerView
	// Shares is the part of each team's quota that this cell may commit. It is
	// nil without quotas.
	Shares   map[structs.TeamID]structs.Resources
	Outcomes []Outcome // recent ends of attempts that finished or failed, oldest first
}

// Outcome is the end of an attempt that finished or failed.
type Outcome struct {
	At     time.Time // reading of this leader's clock after the commit of the end
	Task   structs.TaskID
	Class  string
	Worker structs.WorkerID
	Failed bool
}

// PendingTask is a task that waits for a worker. The pending tasks of a
// snapshot are ordered by ID.
type PendingTask struct {
	Task       structs.TaskID
	Job        *structs.Job // must not be changed
	Attempts   int32        // number of attempts so far
	Checkpoint string
	FailedOn   []structs.WorkerID // workers of its failed attempts
	Waiting    time.Duration      // time since this leader first saw the task pending
}

// WorkerView is a worker with its free resources. The workers of a snapshot
// are ordered by ID.
type WorkerView struct {
	Worker    structs.Worker
	Free      structs.Resources // capacity less the declared sizes of all attempts committed to the worker
	Placeable bool              // tasks may be placed: the worker has reported recently, is not leaving and its failure domain is in service
	Leaving   bool
	Failed    int // decayed number of recent attempts that failed on the worker
	Finished  int // decayed number of recent attempts that finished on the worker
	Residents []Resident
}

// Resident is an attempt that is committed to a worker.
type Resident struct {
	Attempt        structs.AttemptID
	Job            *structs.Job // must not be changed
	Running        bool         // the worker has reported it as running
	Throttled      bool         // the worker has reported it as throttled
	Progress       float64      // completed fraction, 0 to 1
	Usage          *structs.Resources
	MeasurementAge time.Duration // age of Usage and Latency
	Latency        float64       // tail latency of a service in milliseconds, 0 if unknown
	Evicting       bool          // its eviction or cancellation was requested
}

// Plan is what a planner proposes.
type Plan struct {
	Placements    []Placement
	Evictions     []Eviction
	Throttles     []Throttle
	Unschedulable []Unschedulable
}

// Placement starts the next attempt of a task on a worker.
type Placement struct {
	Task   structs.TaskID
	Worker structs.WorkerID
}

// Eviction checkpoints and stops an attempt.
type Eviction struct {
	Attempt structs.AttemptID
	Reason  string
}

// Throttle limits an attempt to a share of its processor time, 0 to 1.
type Throttle struct {
	Attempt structs.AttemptID
	Share   float64
}

// Unschedulable explains why a task cannot be placed. If Permanent is set, the
// task fails.
type Unschedulable struct {
	Task      structs.TaskID
	Reason    structs.Reason
	Detail    string
	Permanent bool
}

// FirstFit places each task on the first worker with room for the task. It uses
// workers on which the task has failed only if no other worker has room.
type FirstFit struct{}

// Plan implements Planner.
func (FirstFit) Plan(s *Snapshot) Plan {
	var plan Plan
	free := make([]structs.Resources, len(s.Workers))
	for i := range s.Workers {
		free[i] = s.Workers[i].Free
	}
	for i := range s.Pending {
		if len(plan.Placements) == s.MaxStarts {
			break
		}
		task := &s.Pending[i]
		best := firstFit(s.Workers, free, task)
		if best < 0 {
			plan.Unschedulable = append(plan.Unschedulable, Unschedulable{
				Task: task.Task, Reason: structs.ReasonCapacity, Detail: "no worker has room",
			})
			continue
		}
		free[best] = free[best].Sub(task.Job.Resources)
		plan.Placements = append(plan.Placements, Placement{Task: task.Task, Worker: s.Workers[best].Worker.ID})
	}
	return plan
}

// firstFit returns the index of the worker for the task, or -1 if no worker
// has room.
func firstFit(workers []WorkerView, free []structs.Resources, task *PendingTask) int {
	fallback := -1
	for i := range workers {
		if !workers[i].Placeable || !task.Job.Resources.Fits(free[i]) {
			continue
		}
		if !failedOn(task, workers[i].Worker.ID) {
			return i
		}
		if fallback < 0 {
			fallback = i
		}
	}
	return fallback
}

func failedOn(task *PendingTask, w structs.WorkerID) bool {
	for _, f := range task.FailedOn {
		if f == w {
			return true
		}
	}
	return false
}
