package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Planner decides what runs where. It is pure: the same snapshot gives the
// same plan, and it keeps no reference to the snapshot.
type Planner interface {
	Plan(s *Snapshot) Plan
}

// Snapshot is what a planner sees of a cell.
type Snapshot struct {
	Cell      structs.CellID
	Now       time.Time // wall clock of the leader, for slack against deadlines only
	MaxStarts int       // placements that the leader takes from this plan
	Pending   []PendingTask
	Workers   []WorkerView
	// Shares is what each team may commit in this cell, nil without quotas.
	Shares   map[structs.TeamID]structs.Resources
	Outcomes []Outcome // recent ends of attempts that ran, oldest first
}

// Outcome is the end of an attempt that ran to its own end.
type Outcome struct {
	At     time.Time // by this leader's clock
	Task   structs.TaskID
	Class  string
	Worker structs.WorkerID
	Failed bool
}

// PendingTask is a task that waits for a worker. Pending tasks are ordered by
// ID.
type PendingTask struct {
	Task       structs.TaskID
	Job        *structs.Job // must not be changed
	Attempts   int32        // attempts so far
	Checkpoint string
	FailedOn   []structs.WorkerID // workers of its failed attempts
	Waiting    time.Duration      // since this leader first saw it pending
}

// WorkerView is a worker with what is free on it. Workers are ordered by ID.
type WorkerView struct {
	Worker    structs.Worker
	Free      structs.Resources // capacity less declared sizes of everything committed to it
	Placeable bool              // fresh enough, not leaving, not evacuated
	Leaving   bool
	Failed    int // attempts that failed here lately
	Finished  int // attempts that finished here lately
	Residents []Resident
}

// Resident is an attempt that is committed to a worker.
type Resident struct {
	Attempt  structs.AttemptID
	Job      *structs.Job // must not be changed
	Running  bool         // the worker has reported it
	Throttle bool         // it runs throttled
	Progress float64      // 0 to 1
	Usage    *structs.Resources
	Measured time.Duration // age of Usage and Latency
	Latency  float64       // tail latency of a service in milliseconds, 0 if unknown
	Evicting bool          // its eviction has been asked for
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

// Unschedulable explains a task that cannot be placed. With Never set it fails.
type Unschedulable struct {
	Task   structs.TaskID
	Reason structs.Reason
	Detail string
	Never  bool
}

// FirstFit places each task on the first worker that has room for it. Workers
// on which the task has failed come last.
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

// firstFit returns the index of the worker for the task, or -1.
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
