package workflow

import "github.com/daisywall/daisywall/structs"

// Copy is a second run of an assigned task of a step that declares Speculative.
// Copies are replaced, never changed.
type Copy struct {
	Run         int32            `json:"r"` // higher than the number of the first run
	Worker      structs.WorkerID `json:"w"`
	Incarnation string           `json:"i,omitempty"`
}

// AssignedRun is a run with the worker that it is assigned to.
type AssignedRun struct {
	Run         structs.RunID
	Worker      structs.WorkerID
	Incarnation string
}

// MayCopy reports whether tasks of the step may have copies.
func MayCopy(step *structs.Step) bool {
	return step.Speculative && !step.LongRunning && !step.Fills && !step.Gang
}

// CanCopy reports whether the task may get a copy now: it has one run, and
// another failed run would not end the job. A copy that is about to start could
// otherwise start after the last attempt has failed. A task that may crash its
// runner gets no copies.
func (j *Job) CanCopy(id structs.StepTaskID) bool {
	t := j.Task(id)
	return t != nil && MayCopy(j.Step(id)) && t.State == Assigned && t.Copy == nil && !j.Final() &&
		t.Failures+1 < max(1, j.Queue.MaxAttempts) && !j.IsIsolated(id)
}

// AssignCopy assigns a copy of an assigned task to another worker and returns
// the run. It returns false if the task can get no copy there.
func (j *Job) AssignCopy(id structs.StepTaskID, worker structs.WorkerID, incarnation string) (structs.RunID, bool) {
	if !j.CanCopy(id) || j.Task(id).Worker == worker {
		return structs.RunID{}, false
	}
	t := j.Task(id)
	t.Copy = &Copy{Run: t.lastRun() + 1, Worker: worker, Incarnation: incarnation}
	t.LastCopy = 0
	return structs.RunID{Task: id, Number: t.Copy.Run}, true
}

// Runs returns the assigned runs of the task, the first run before its copy.
func (j *Job) Runs(id structs.StepTaskID) []AssignedRun {
	t := j.Task(id)
	if t == nil || t.State != Assigned {
		return nil
	}
	runs := []AssignedRun{{structs.RunID{Task: id, Number: t.Run}, t.Worker, t.Incarnation}}
	if c := t.Copy; c != nil {
		runs = append(runs, AssignedRun{structs.RunID{Task: id, Number: c.Run}, c.Worker, c.Incarnation})
	}
	return runs
}

// IsCopy reports whether the run is a copy beside the first run of its task.
func (j *Job) IsCopy(run structs.RunID) bool {
	t := j.Task(run.Task)
	return t != nil && t.Copy != nil && t.Copy.Run == run.Number
}

// lastRun returns the highest number of a run of the task, 0 before the first.
func (t *Task) lastRun() int32 {
	if t.Copy != nil {
		return t.Copy.Run
	}
	return max(t.Run, t.LastCopy)
}

// NewerCheckpoint returns the checkpoint with which a run ends, or an empty text
// if the stored one is kept: the new one is too long, or the other run of the task has stored it since the run
// began, and was further by its percent or as far. It must be called before the
// run is ended.
func (j *Job) NewerCheckpoint(run structs.RunID, checkpoint string, percent int32) string {
	if len(checkpoint) > MaxCheckpointBytes {
		return ""
	}
	t := j.currentTask(run)
	if t == nil || checkpoint == "" || !MayCopy(j.Step(run.Task)) {
		return checkpoint
	}
	if run.Number <= t.CheckpointRun {
		if percent <= t.CheckpointPercent {
			return ""
		}
	} else {
		percent = max(percent, t.CheckpointPercent) // it has resumed from the stored one
	}
	t.CheckpointRun, t.CheckpointPercent = 0, 0
	if t.Copy != nil {
		t.CheckpointRun, t.CheckpointPercent = t.lastRun(), percent
	}
	return checkpoint
}
