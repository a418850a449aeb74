// Package workflow holds the committed state of jobs of steps and the rules by
// which it changes. It reads no clock and does no I/O: everything here follows
// from its arguments, so that every leader comes to the same state.
package workflow

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// TaskState is the committed state of a task.
type TaskState uint8

// Task states. Done is final.
const (
	Pending TaskState = iota
	Assigned
	Done
)

// Task is one task of a step.
type Task struct {
	State       TaskState        `json:"s,omitempty"`
	Run         int32            `json:"r,omitempty"` // number of the last run, 0 before the first
	Worker      structs.WorkerID `json:"w,omitempty"` // of the assigned run
	Incarnation string           `json:"i,omitempty"` // of that worker's runner
	Checkpoint  string           `json:"c,omitempty"` // the next run resumes from it
	Failures    int32            `json:"f,omitempty"` // runs that failed; of a gang, kept with its first task
	FailedRun   int32            `json:"l,omitempty"` // first task of a gang only: last run counted in Failures
}

// Job is a job of steps with the state of its tasks.
type Job struct {
	Spec      structs.StepJob
	Queue     structs.Queue // as it was when the job was accepted
	Cancelled bool
	Failed    bool
	rounds    [][]stepState // by round and step
	open      int           // tasks that are not done
}

type stepState struct {
	tasks []Task
	open  int // tasks that are not done
}

// New returns the state of a job that has not begun.
func New(spec structs.StepJob, queue structs.Queue) *Job {
	j := &Job{Spec: spec, Queue: queue}
	j.rounds = make([][]stepState, spec.RoundCount())
	for r := range j.rounds {
		j.rounds[r] = make([]stepState, len(spec.Steps))
		for s := range j.rounds[r] {
			n := int(spec.Steps[s].Tasks)
			j.rounds[r][s] = stepState{tasks: make([]Task, n), open: n}
			j.open += n
		}
	}
	return j
}

// Task returns the task, or nil when the job has no such task.
func (j *Job) Task(id structs.StepTaskID) *Task {
	if id.Round < 0 || int(id.Round) >= len(j.rounds) {
		return nil
	}
	steps := j.rounds[id.Round]
	if id.Step < 0 || int(id.Step) >= len(steps) {
		return nil
	}
	tasks := steps[id.Step].tasks
	if id.Index < 0 || int(id.Index) >= len(tasks) {
		return nil
	}
	return &tasks[id.Index]
}

// Step returns the specification of the task's step.
func (j *Job) Step(id structs.StepTaskID) *structs.Step { return &j.Spec.Steps[id.Step] }

// Chain returns the longest chain of declared run times through the steps.
func (j *Job) Chain() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		var begin time.Duration
		for _, before := range j.Spec.Steps[i].After {
			begin = max(begin, ends[before])
		}
		ends[i] = begin + j.Spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// Over reports whether no task of the job may start any more.
func (j *Job) Over() bool { return j.Cancelled || j.Failed || j.open == 0 }

// Phase returns the phase of the job.
func (j *Job) Phase() structs.JobPhase {
	switch {
	case j.open == 0:
		return structs.JobCompleted
	case j.Failed:
		return structs.JobFailed
	case j.Cancelled:
		return structs.JobCancelled
	case j.begun():
		return structs.JobRunning
	default:
		return structs.JobQueued
	}
}

// begun reports whether a task of the job has ever been assigned.
func (j *Job) begun() bool {
	for _, steps := range j.rounds {
		for s := range steps {
			for i := range steps[s].tasks {
				if steps[s].tasks[i].Run > 0 {
					return true
				}
			}
		}
	}
	return false
}

// Tasks calls visit with every task.
func (j *Job) Tasks(visit func(structs.StepTaskID, *Task)) {
	for r, steps := range j.rounds {
		for s := range steps {
			for i := range steps[s].tasks {
				id := structs.StepTaskID{Job: j.Spec.ID, Round: int32(r), Step: int32(s), Index: int32(i)}
				visit(id, &steps[s].tasks[i])
			}
		}
	}
}

// ReadySteps calls visit with every step of every round that may run now and
// has pending tasks. A gang starts whole: its step is not ready before every
// task of its last run is over.
func (j *Job) ReadySteps(now time.Time, visit func(round, step int32, tasks []Task)) {
	if j.Over() {
		return
	}
	for r, steps := range j.rounds {
		if due := j.Spec.Due(int32(r)); !due.IsZero() && now.Before(due) {
			return
		}
		for s := range steps {
			if steps[s].open > 0 && j.unblocked(steps, s) && (!j.Spec.Steps[s].Gang || steps[s].allPending()) {
				visit(int32(r), int32(s), steps[s].tasks)
			}
		}
	}
}

// allPending reports whether no task of the step is assigned or done.
func (s *stepState) allPending() bool {
	for i := range s.tasks {
		if s.tasks[i].State != Pending {
			return false
		}
	}
	return true
}

// NextDue returns the earliest time after now at which a round becomes due.
func (j *Job) NextDue(now time.Time) (time.Time, bool) {
	for r := range j.rounds {
		if due := j.Spec.Due(int32(r)); now.Before(due) {
			return due, true
		}
	}
	return time.Time{}, false
}

func (j *Job) unblocked(steps []stepState, s int) bool {
	for _, before := range j.Spec.Steps[s].After {
		if steps[before].open > 0 {
			return false
		}
	}
	return true
}

// Assign commits the next run of a pending task to a worker and returns it.
// The tasks of a gang are assigned one after the other, with one run number.
func (j *Job) Assign(id structs.StepTaskID, worker structs.WorkerID, incarnation string) (structs.TaskRun, bool) {
	t := j.Task(id)
	if t == nil || t.State != Pending || j.Over() {
		return structs.TaskRun{}, false
	}
	t.Run = j.nextRun(id, t)
	t.State = Assigned
	t.Worker, t.Incarnation = worker, incarnation
	return structs.TaskRun{Task: id, Number: t.Run}, true
}

// nextRun returns the number of the next run of a task. Members of a gang
// share the number of the first one that is assigned.
func (j *Job) nextRun(id structs.StepTaskID, t *Task) int32 {
	if !j.Step(id).Gang {
		return t.Run + 1
	}
	highest := int32(0)
	members := j.members(id)
	for i := range members {
		if members[i].State == Assigned {
			return members[i].Run
		}
		highest = max(highest, members[i].Run)
	}
	return highest + 1
}

// members returns the tasks of the step of a task.
func (j *Job) members(id structs.StepTaskID) []Task { return j.rounds[id.Round][id.Step].tasks }

// Finish records that the last run of a task is done. It reports whether that
// changed anything. A run that was released as lost, and turns out to have
// finished, counts until the next one is assigned. A gang has finished when one
// of its tasks has.
func (j *Job) Finish(run structs.TaskRun) bool {
	t := j.Task(run.Task)
	if t == nil || t.State == Done || t.Run != run.Number {
		return false
	}
	if !j.Step(run.Task).Gang {
		j.finish(run.Task, t)
		return true
	}
	members := j.members(run.Task)
	for i := range members {
		j.finish(run.Task, &members[i])
	}
	return true
}

func (j *Job) finish(id structs.StepTaskID, t *Task) {
	t.State = Done
	t.Worker, t.Incarnation, t.Checkpoint = "", "", ""
	j.rounds[id.Round][id.Step].open--
	j.open--
}

// Fail records that the assigned run failed. The job fails with it when the
// task has no attempts left; a long-running task is tried for ever. Several
// members of a gang that fail in one run are one failure.
func (j *Job) Fail(run structs.TaskRun, checkpoint string) bool {
	t := j.assigned(run)
	if t == nil {
		return false
	}
	counted := t
	if j.Step(run.Task).Gang {
		counted = &j.members(run.Task)[0]
	}
	if counted.FailedRun != run.Number {
		counted.Failures++
	}
	if j.Step(run.Task).Gang {
		counted.FailedRun = run.Number
	}
	j.release(run.Task, t, checkpoint)
	if counted.Failures >= max(1, j.Queue.MaxAttempts) && !j.Step(run.Task).LongRunning {
		j.Failed = true
	}
	return true
}

// Release records that the assigned run is over without an end of its own: it
// was stopped, lost or never started. A checkpoint replaces the one before.
func (j *Job) Release(run structs.TaskRun, checkpoint string) bool {
	t := j.assigned(run)
	if t == nil {
		return false
	}
	j.release(run.Task, t, checkpoint)
	return true
}

// release makes a task pending. The checkpoint of one member of a gang holds
// for all of them, and all must resume from the same one.
func (j *Job) release(id structs.StepTaskID, t *Task, checkpoint string) {
	t.State = Pending
	t.Worker, t.Incarnation = "", ""
	switch {
	case checkpoint == "":
	case j.Step(id).Gang:
		members := j.members(id)
		for i := range members {
			members[i].Checkpoint = checkpoint
		}
	default:
		t.Checkpoint = checkpoint
	}
}

// Obsolete says why an assigned run need not go on, and is empty if it should.
func (j *Job) Obsolete(run structs.TaskRun) string {
	switch t := j.Task(run.Task); {
	case j.Over():
		return "job is over"
	case t.State == Done:
		return "task is done"
	case j.Step(run.Task).Gang && slices.ContainsFunc(j.members(run.Task), func(t Task) bool { return t.State == Pending }):
		return "member of its gang ended"
	default:
		return ""
	}
}

// assigned returns the task if the run is its current one.
func (j *Job) assigned(run structs.TaskRun) *Task {
	t := j.Task(run.Task)
	if t == nil || t.State != Assigned || t.Run != run.Number {
		return nil
	}
	return t
}
