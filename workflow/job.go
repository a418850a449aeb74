// Package workflow implements the state machine of multi-step jobs and the
// encoding of its stored records. A job runs its steps once in each round of
// its schedule. A step has one or more tasks and starts when the steps that it
// depends on are done. A run is one attempt to execute a task.
//
// The package has no clock, goroutines, locks or I/O, and its functions are
// deterministic, so that every leader derives the same state. The caller owns
// the jobs, guards them and commits their records.
package workflow

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// TaskState is the committed state of a task.
type TaskState uint8

// States of a task. Done is final.
const (
	Pending TaskState = iota
	Assigned
	Done
)

// Task is one task of a step.
type Task struct {
	State       TaskState        `json:"s,omitempty"`
	Run         int32            `json:"r,omitempty"` // number of the last run, 0 before the first
	Worker      structs.WorkerID `json:"w,omitempty"` // worker of the assigned run, empty unless the state is Assigned
	Incarnation string           `json:"i,omitempty"` // incarnation of the runner on Worker
	Checkpoint  string           `json:"c,omitempty"` // checkpoint from which the next run resumes
	Failures    int32            `json:"f,omitempty"` // number of failed runs; for a gang, kept in its first task
	FailedRun   int32            `json:"l,omitempty"` // last run counted in Failures; only used in the first task of a gang
	Crashes     int32            `json:"k,omitempty"` // crashes of runners that a run of the task may have caused, since one has outlived them
	Blame       int32            `json:"b,omitempty"` // shares of these crashes, in percent of a crash; for a gang, kept in its first task, as the next two
	CrashAgeMS  int32            `json:"a,omitempty"` // age of CrashedRun at the crash, in milliseconds
	CrashedRun  int32            `json:"m,omitempty"` // last run that was lost with its runner, 0 once a run has outlived it
	LoneCrashes int32            `json:"e,omitempty"` // crashes of stable workers, while no other one crashed without the task, since a run has outlived them
	LoneCrashOn structs.WorkerID `json:"o,omitempty"` // worker of the last of them; two in a row on one worker count once
	Copy        *Copy            `json:"d,omitempty"` // second run of the assigned task, nil if there is none
	LastCopy    int32            `json:"n,omitempty"` // number of the last copy if it is higher than Run and the copy has ended
	// CheckpointRun is the last run that may have started before Checkpoint was
	// stored and may have gone on since, 0 if there is none.
	CheckpointRun     int32 `json:"q,omitempty"`
	CheckpointPercent int32 `json:"p,omitempty"` // progress of the run of Checkpoint, 0 unless CheckpointRun is set
}

// Job is a multi-step job with the state of its tasks.
type Job struct {
	Spec      structs.StepJob
	Queue     structs.Queue // the queue when the job was accepted
	Cancelled bool
	Failed    bool
	// FailureReason is why the job has failed, empty unless Failed is set.
	FailureReason FailureReason
	rounds        [][]stepState // by round and step
	unfinished    int           // number of tasks that are not done
	maxParts      int           // largest number of rows in which the state was recorded
	hasBegun      bool          // a runner has started a task
	// unrecordedCheckpoints is the number of checkpoints that the last record lacks.
	unrecordedCheckpoints int
}

// stepState is the state of one step in one round.
type stepState struct {
	tasks      []Task
	unfinished int // number of tasks that are not done
}

// New returns a job of which no task has been assigned.
func New(spec structs.StepJob, queue structs.Queue) *Job {
	j := &Job{Spec: spec, Queue: queue}
	j.rounds = make([][]stepState, spec.RoundCount())
	for r := range j.rounds {
		j.rounds[r] = make([]stepState, len(spec.Steps))
		for s := range j.rounds[r] {
			n := int(spec.Steps[s].Tasks)
			j.rounds[r][s] = stepState{tasks: make([]Task, n), unfinished: n}
			j.unfinished += n
		}
	}
	return j
}

// Task returns the task, or nil if the job has no such task.
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

// CriticalPath returns the length of the critical path through the steps, by
// their declared run times.
func (j *Job) CriticalPath() time.Duration {
	var longest time.Duration
	ends := make([]time.Duration, len(j.Spec.Steps))
	for i := range j.Spec.Steps {
		var start time.Duration
		for _, dependency := range j.Spec.Steps[i].After {
			start = max(start, ends[dependency])
		}
		ends[i] = start + j.Spec.Steps[i].Estimate
		longest = max(longest, ends[i])
	}
	return longest
}

// RemainingWork returns the declared work of the tasks that are not done, in
// processor seconds.
func (j *Job) RemainingWork() float64 {
	return j.RemainingWorkBy(func(step int) time.Duration { return j.Spec.Steps[step].Estimate })
}

// RemainingWorkBy returns the work of the tasks that are not done, in processor
// seconds, with the run time of one task of each step.
func (j *Job) RemainingWorkBy(runTime func(step int) time.Duration) float64 {
	work := 0.0
	for _, steps := range j.rounds {
		for s := range steps {
			spec := &j.Spec.Steps[s]
			work += float64(steps[s].unfinished) * float64(spec.Resources.MilliCPU) / 1000 * runTime(s).Seconds()
		}
	}
	return work
}

// TotalWork returns the declared work of all tasks, in processor seconds.
func (j *Job) TotalWork() float64 {
	work := 0.0
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		work += float64(step.Tasks) * float64(step.Resources.MilliCPU) / 1000 * step.Estimate.Seconds()
	}
	return work * float64(len(j.rounds))
}

// Final reports whether the job is cancelled, failed or completed, so that none
// of its tasks may start.
func (j *Job) Final() bool { return j.Cancelled || j.Failed || j.unfinished == 0 }

// Phase returns the phase of the job.
func (j *Job) Phase() structs.JobPhase {
	switch {
	case j.unfinished == 0:
		return structs.JobCompleted
	case j.Failed:
		return structs.JobFailed
	case j.Cancelled:
		return structs.JobCancelled
	case j.hasStarted():
		return structs.JobRunning
	default:
		return structs.JobQueued
	}
}

// MarkBegun records that a runner has started a task of the job.
func (j *Job) MarkBegun() { j.hasBegun = true }

// IsWaiting reports whether no runner has started a task of the job yet, as far as is known,
// and one may. An assignment does not count: its start may be refused or have no answer.
func (j *Job) IsWaiting() bool { return !j.hasBegun && !j.Final() }

// showsBegin reports whether the record of the task shows that a runner has started it.
func (t *Task) showsBegin() bool {
	return t.State == Done || t.Checkpoint != "" || max(t.Failures, t.Crashes, t.CrashedRun, t.LoneCrashes) > 0
}

// hasStarted reports whether a task of the job has ever been assigned.
func (j *Job) hasStarted() bool {
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

// Tasks calls visit for every task.
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

// ReadySteps calls visit for every step that may run at now and is not done, in
// all rounds that are due. tasks includes tasks that are not pending. The tasks
// of a gang start together, so its step is ready only when all of them are
// pending.
func (j *Job) ReadySteps(now time.Time, visit func(round, step int32, tasks []Task)) {
	if j.Final() {
		return
	}
	for r, steps := range j.rounds {
		if due := j.Spec.Due(int32(r)); !due.IsZero() && now.Before(due) {
			return
		}
		for s := range steps {
			if steps[s].unfinished > 0 && j.dependenciesDone(steps, s) && (!j.Spec.Steps[s].Gang || steps[s].allPending()) {
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

// NextDue returns the earliest time after now at which a round becomes due, and
// false if no round becomes due after now.
func (j *Job) NextDue(now time.Time) (time.Time, bool) {
	for r := range j.rounds {
		if due := j.Spec.Due(int32(r)); now.Before(due) {
			return due, true
		}
	}
	return time.Time{}, false
}

// dependenciesDone reports whether all steps that step s depends on are done.
func (j *Job) dependenciesDone(steps []stepState, s int) bool {
	for _, dependency := range j.Spec.Steps[s].After {
		if steps[dependency].unfinished > 0 {
			return false
		}
	}
	return true
}

// Assign assigns the next run of a pending task to a worker and returns the
// run. It returns false if the task is not pending or the job is over. The
// tasks of a gang are assigned one by one and get the same run number.
func (j *Job) Assign(id structs.StepTaskID, worker structs.WorkerID, incarnation string) (structs.RunID, bool) {
	t := j.Task(id)
	if t == nil || t.State != Pending || j.Final() {
		return structs.RunID{}, false
	}
	t.Run, t.LastCopy = j.nextRun(id, t), 0
	t.State = Assigned
	t.Worker, t.Incarnation = worker, incarnation
	return structs.RunID{Task: id, Number: t.Run}, true
}

// nextRun returns the number of the next run of a task, which is higher than
// those of all its runs and copies. Members of a gang share the number of the
// member that was assigned first.
func (j *Job) nextRun(id structs.StepTaskID, t *Task) int32 {
	if !j.Step(id).Gang {
		return t.lastRun() + 1
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

// members returns all tasks of the task's step.
func (j *Job) members(id structs.StepTaskID) []Task { return j.rounds[id.Round][id.Step].tasks }

// Finish marks the task of a finished run as done and reports whether the state
// changed. Only the task's last run counts. A run that was released as lost
// still counts until the next run is assigned. The first finish of any run of a
// task that may have copies counts, unless the job has failed before. The finish of one member of a gang finishes
// all members.
func (j *Job) Finish(run structs.RunID) bool {
	t := j.Task(run.Task)
	if t == nil || t.State == Done || !j.mayFinish(t, run) {
		return false
	}
	if !j.Step(run.Task).Gang {
		j.markDone(run.Task, t)
		return true
	}
	members := j.members(run.Task)
	for i := range members {
		j.markDone(run.Task, &members[i])
	}
	return true
}

// mayFinish reports whether the finish of the run counts. A job that was shown as
// failed must not be completed by the late finish of a run that was given up.
func (j *Job) mayFinish(t *Task, run structs.RunID) bool {
	if MayCopy(j.Step(run.Task)) {
		return !j.Failed && run.Number > 0 && run.Number <= t.lastRun()
	}
	return run.Number == t.Run
}

// MayRunAfter reports whether the task of the run has a later run, or may have one.
func (j *Job) MayRunAfter(run structs.RunID) bool {
	t := j.Task(run.Task)
	return t != nil && (t.lastRun() > run.Number || t.State == Pending && !j.Final())
}

// markDone marks a task as done.
func (j *Job) markDone(id structs.StepTaskID, t *Task) {
	t.State = Done
	t.Run, t.Copy, t.LastCopy = t.lastRun(), nil, 0
	t.Worker, t.Incarnation, t.Checkpoint = "", "", ""
	t.CheckpointRun, t.CheckpointPercent = 0, 0
	t.clearCrashes()
	j.rounds[id.Round][id.Step].unfinished--
	j.unfinished--
}

// Fail records the failure of an assigned run and ends the run. It reports
// whether the run was a current one. The job fails when the task has no
// attempts left. Long-running tasks have unlimited attempts. The failures of
// several members of a gang in the same run count as one.
func (j *Job) Fail(run structs.RunID, checkpoint string) bool {
	t := j.currentTask(run)
	if t == nil {
		return false
	}
	counter := t
	if j.Step(run.Task).Gang {
		counter = &j.members(run.Task)[0]
	}
	if counter.FailedRun != run.Number {
		counter.Failures++
	}
	if j.Step(run.Task).Gang {
		counter.FailedRun = run.Number
	}
	j.endRun(run, t, checkpoint)
	if counter.Failures >= max(1, j.Queue.MaxAttempts) && !j.Step(run.Task).LongRunning {
		j.fail(FailedAttempts)
	}
	return true
}

// Release ends an assigned run without counting a failure, for a run that was
// stopped, was lost or never started. It reports whether the run was a current
// one. A checkpoint replaces the previous one unless it is empty.
func (j *Job) Release(run structs.RunID, checkpoint string) bool {
	t := j.currentTask(run)
	if t == nil {
		return false
	}
	j.endRun(run, t, checkpoint)
	return true
}

// endRun removes a run from its task and stores its checkpoint. The other run of
// the task goes on, as its only one; without another run the task becomes
// pending. The checkpoint of a gang member is stored in all members, since all
// must resume from the same checkpoint.
func (j *Job) endRun(run structs.RunID, t *Task, checkpoint string) {
	switch c := t.Copy; {
	case c == nil:
		t.State = Pending
		t.Worker, t.Incarnation = "", ""
	case c.Run == run.Number:
		t.Copy, t.LastCopy = nil, c.Run
	default:
		t.Run, t.Worker, t.Incarnation = c.Run, c.Worker, c.Incarnation
		t.Copy = nil
	}
	switch {
	case checkpoint == "":
	case j.Step(run.Task).Gang:
		members := j.members(run.Task)
		for i := range members {
			members[i].Checkpoint = checkpoint
		}
	default:
		t.Checkpoint = checkpoint
	}
}

// StopReason returns the reason why an assigned run should stop, or an empty
// text if it should continue.
func (j *Job) StopReason(run structs.RunID) string {
	switch t := j.Task(run.Task); {
	case j.Final():
		return "job is over"
	case t.State == Done:
		return "task is done"
	case j.Step(run.Task).Gang && slices.ContainsFunc(j.members(run.Task), func(t Task) bool { return t.State == Pending }):
		return "member of its gang ended"
	default:
		return ""
	}
}

// currentTask returns the task of the run, or nil if the run is neither the
// task's assigned run nor its copy.
func (j *Job) currentTask(run structs.RunID) *Task {
	t := j.Task(run.Task)
	if t == nil || t.State != Assigned || t.Run != run.Number && (t.Copy == nil || t.Copy.Run != run.Number) {
		return nil
	}
	return t
}
