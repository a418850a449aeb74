package steps

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// Restart describes the failures of a long-running task since it was last
// steadily at work.
type Restart struct {
	FailedOn       []structs.WorkerID // workers that have failed the task
	IsDelayed      bool               // the task must not start yet on a worker in FailedOn or in quarantine
	IsAtFault      bool               // the task fails because of itself: a delay applies to all workers
	IsCrashLooping bool               // the task has failed so often that it stops no tasks on workers in FailedOn
}

// MarkRestarted adds a task to Restarts.
func (d *Demand) MarkRestarted(index int32, r Restart) {
	if d.Restarts == nil {
		d.Restarts = map[int32]Restart{}
	}
	d.Restarts[index] = r
}

// DelayedTasks returns the number of pending tasks that are delayed on some
// workers.
func (d *Demand) DelayedTasks() int {
	n := 0
	for _, r := range d.Restarts {
		if r.IsDelayed {
			n++
		}
	}
	return n
}

// hasOwnWorkers reports whether the task may fit on other workers than the tasks
// of the step that have not failed.
func (d *Demand) hasOwnWorkers(index int32) bool {
	_, isRestarted := d.Restarts[index]
	return isRestarted || len(d.FailedOn[index]) > 0
}

// isDelayedOn reports whether the task must not start on the worker yet. No room
// is held there either, since a task that always fails would hold it for good.
func (d *Demand) isDelayedOn(w *Worker, index int32) bool {
	r := d.Restarts[index]
	return r.IsDelayed && (r.IsAtFault || d.isDoubtful(w, index))
}

// isDoubtful reports whether the worker is quarantined or has failed the task. An
// overdue task does not start there while room can be made on another worker.
func (d *Demand) isDoubtful(w *Worker, index int32) bool {
	return w.isQuarantined() || slices.Contains(d.Restarts[index].FailedOn, w.ID)
}

// crashLoopsOn reports whether the task has failed on the worker, and so often
// that others are not stopped for it there.
func (d *Demand) crashLoopsOn(w *Worker, index int32) bool {
	r := d.Restarts[index]
	return r.IsCrashLooping && slices.Contains(r.FailedOn, w.ID)
}
