package cell

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// failureLimitFactor bounds the failures of a task that could not run on
// enough different workers. The task fails after this many times its
// MaxAttempts.
const failureLimitFactor = 3

// maxServiceFailures is the number of recent failed attempts that are kept for
// a service task.
const maxServiceFailures = 8

// State is the committed state of a cell. It is the result of all log rows and
// changes only through Apply.
type State struct {
	Seq     int64                             `json:"seq"` // sequence number of the last applied log row
	Workers map[structs.WorkerID]*WorkerState `json:"workers"`
	Jobs    map[structs.JobID]*JobState       `json:"jobs"`

	tasks map[structs.TaskID]*Task
	// The maps from here to byWorker hold the tasks that are not final.
	pending  map[structs.TaskID]*Task
	assigned map[structs.TaskID]*Task
	byWorker map[structs.WorkerID]map[structs.TaskID]*Task // assigned tasks by worker
	// finalJobs holds the jobs whose tasks are all final, and cancellingJobs
	// the jobs whose cancellation was requested and that still have open
	// tasks.
	finalJobs      map[structs.JobID]*JobState
	cancellingJobs map[structs.JobID]*JobState
}

// WorkerState is the committed identity of a worker's runtime.
type WorkerState struct {
	Incarnation string `json:"i"`
}

// JobState is the part of a job in this cell.
type JobState struct {
	Job             structs.Job `json:"job"`
	Status          Status      `json:"status"` // counts of the job's tasks in this cell
	CancelRequested bool        `json:"cancel,omitempty"`
	Tasks           []*Task     `json:"tasks"` // in the order of acceptance
	openTasks       int         // number of tasks that are not final
}

// Status counts the tasks of a job in one cell. It is the value of the job's
// status row for that cell.
type Status struct {
	Accepted  int32        `json:"accepted"` // tasks accepted, less those handed over to other cells
	Finished  int32        `json:"finished"`
	Failed    int32        `json:"failed"`
	Cancelled int32        `json:"cancelled"`
	Results   []TaskResult `json:"results,omitempty"`
	Details   []TaskResult `json:"details,omitempty"` // details of the first failed tasks
}

// TaskResult is the result of one task, or the detail of its failure.
type TaskResult struct {
	Index int32  `json:"i"`
	Value string `json:"v"`
}

// Open returns the number of tasks that are not final.
func (s Status) Open() int32 { return s.Accepted - s.Finished - s.Failed - s.Cancelled }

// Bounds of a status row.
const (
	maxResults = 512
	maxDetails = 8
)

// Task is one task of the cell.
type Task struct {
	Index       int32              `json:"i"`
	State       structs.TaskState  `json:"s"`
	Number      int32              `json:"n,omitempty"` // number of the last attempt, 0 without one
	Worker      structs.WorkerID   `json:"w,omitempty"` // worker of the assigned attempt, empty if the task is not assigned
	Incarnation string             `json:"c,omitempty"`
	Epoch       int64              `json:"x,omitempty"`
	Checkpoint  string             `json:"p,omitempty"` // checkpoint from which the next attempt starts
	FailedOn    []structs.WorkerID `json:"f,omitempty"` // workers of its failed attempts

	Crashes int32 `json:"k,omitempty"` // last runtimes in a row that ended soon after the task had started on them

	job          *JobState
	indexedUnder structs.WorkerID // worker under which byWorker holds the task
}

// ID returns the task's identifier.
func (t *Task) ID() structs.TaskID { return structs.TaskID{Job: t.job.Job.ID, Index: t.Index} }

// Attempt returns the last attempt of the task.
func (t *Task) Attempt() structs.AttemptID {
	return structs.AttemptID{Task: t.ID(), Number: t.Number}
}

// Job returns the specification of the task's job.
func (t *Task) Job() *structs.Job { return &t.job.Job }

// NewState returns the state of a cell without a log.
func NewState() *State {
	s := &State{Workers: map[structs.WorkerID]*WorkerState{}, Jobs: map[structs.JobID]*JobState{}}
	s.rebuildIndexes()
	return s
}

// decodeState decodes a state and rebuilds its indexes.
func decodeState(key string, data []byte) (*State, error) {
	s := NewState()
	if err := decode(key, data, s); err != nil {
		return nil, err
	}
	s.rebuildIndexes()
	return s, nil
}

// Apply applies the log row with the sequence number. It is deterministic.
// Records that are not valid in the current state have no effect.
func (s *State) Apply(seq int64, b *Batch) {
	s.Seq = seq
	for _, w := range b.Workers {
		s.applyWorker(w)
	}
	for i := range b.Accepts {
		s.applyAccept(&b.Accepts[i])
	}
	for _, job := range b.Cancels {
		if j, found := s.Jobs[job]; found {
			j.CancelRequested = true
			s.updateJobSets(j)
		}
	}
	for _, e := range b.Ends {
		s.applyEnd(e)
	}
	for _, ref := range b.Drops {
		if t, found := s.pending[ref.id()]; found && t.job.CancelRequested {
			s.setFinal(t, structs.TaskCancelled)
		}
	}
	for _, f := range b.Fails {
		if t, found := s.pending[structs.TaskID{Job: f.Job, Index: f.Index}]; found {
			s.failTask(t, f.Detail)
		}
	}
	for _, ref := range b.Moves {
		s.applyMove(ref)
	}
	for _, start := range b.Starts {
		s.applyStart(start, b.Epoch)
	}
	for _, job := range b.Closes {
		s.applyClose(job)
	}
}

func (s *State) applyWorker(change WorkerChange) {
	assigned := s.AssignedTo(change.Worker)
	if change.Incarnation == "" {
		if len(assigned) == 0 {
			delete(s.Workers, change.Worker)
		}
		return
	}
	w, found := s.Workers[change.Worker]
	if !found {
		w = &WorkerState{}
		s.Workers[change.Worker] = w
	}
	if w.Incarnation == change.Incarnation {
		return
	}
	w.Incarnation = change.Incarnation
	for _, t := range assigned {
		s.loseRuntime(t, slices.Contains(change.Crashed, newTaskRef(t.ID())))
	}
}

func (s *State) applyAccept(a *Accept) {
	job, found := s.Jobs[a.Job.ID]
	if !found {
		job = &JobState{Job: a.Job, Status: a.Prior}
		s.Jobs[a.Job.ID] = job
	}
	for _, h := range a.Tasks {
		for i := range h.Count {
			id := structs.TaskID{Job: a.Job.ID, Index: h.First + i}
			if _, exists := s.tasks[id]; exists {
				continue
			}
			t := &Task{
				Index: id.Index, State: structs.TaskPending, Number: h.Number,
				Checkpoint: h.Checkpoint, FailedOn: h.FailedOn, Crashes: h.Crashes, job: job,
			}
			job.Tasks = append(job.Tasks, t)
			job.Status.Accepted++
			job.openTasks++
			s.tasks[id] = t
			s.indexTask(t)
		}
	}
	s.updateJobSets(job)
}

func (s *State) applyStart(start Start, epoch int64) {
	t, found := s.pending[start.attempt().Task]
	if !found || start.Number != t.Number+1 {
		return
	}
	w, found := s.Workers[start.Worker]
	if !found {
		return
	}
	t.State = structs.TaskAssigned
	t.Number = start.Number
	t.Worker = start.Worker
	t.Incarnation = w.Incarnation
	t.Epoch = epoch
	s.indexTask(t)
}

func (s *State) applyEnd(e End) {
	if !s.acceptsEnd(e.attempt(), e.Cause) {
		return
	}
	t := s.tasks[e.attempt().Task]
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch e.Cause {
	case structs.EndFinished:
		t.job.Status.addResult(t.Index, e.Result)
		s.setFinal(t, structs.TaskFinished)
	case structs.EndFailed:
		t.addFailure()
		if t.attemptsExhausted() {
			s.failTask(t, e.Detail)
			return
		}
		s.returnToPending(t)
	default:
		s.returnToPending(t)
	}
}

// acceptsEnd reports whether an end of the attempt still counts. An attempt
// that was considered lost but has finished counts as finished until the next
// attempt is committed.
func (s *State) acceptsEnd(id structs.AttemptID, cause structs.EndCause) bool {
	t, found := s.tasks[id.Task]
	if !found || t.Number != id.Number {
		return false
	}
	return t.State == structs.TaskAssigned || (t.State == structs.TaskPending && cause == structs.EndFinished)
}

// addFailure adds the worker of a failed attempt to FailedOn. For a service it
// keeps only the last maxServiceFailures workers.
func (t *Task) addFailure() {
	t.FailedOn = append(slices.Clone(t.FailedOn), t.Worker)
	if t.job.Job.Kind == structs.WorkService {
		t.FailedOn = t.FailedOn[max(0, len(t.FailedOn)-maxServiceFailures):]
	}
}

// attemptsExhausted reports whether the task has failed on as many different
// workers as its job allows, or failureLimitFactor times as often on fewer
// workers. A service has no limit.
func (t *Task) attemptsExhausted() bool {
	if t.job.Job.Kind == structs.WorkService {
		return false
	}
	limit := max(1, int(t.job.Job.MaxAttempts))
	return t.failedWorkers() >= limit || len(t.FailedOn) >= limit*failureLimitFactor
}

// failedWorkers returns the number of different workers on which the task
// failed.
func (t *Task) failedWorkers() int {
	distinct := map[structs.WorkerID]struct{}{}
	for _, w := range t.FailedOn {
		distinct[w] = struct{}{}
	}
	return len(distinct)
}

// returnToPending makes the task pending again, or cancelled if its job's
// cancellation was requested.
func (s *State) returnToPending(t *Task) {
	if t.job.CancelRequested {
		s.setFinal(t, structs.TaskCancelled)
		return
	}
	t.State = structs.TaskPending
	t.Worker, t.Incarnation, t.Epoch = "", "", 0
	s.indexTask(t)
}

func (s *State) failTask(t *Task, detail string) {
	if len(t.job.Status.Details) < maxDetails {
		t.job.Status.Details = append(t.job.Status.Details, TaskResult{Index: t.Index, Value: detail})
	}
	s.setFinal(t, structs.TaskFailed)
}

func (s *Status) addResult(index int32, result string) {
	if result != "" && len(s.Results) < maxResults {
		s.Results = append(s.Results, TaskResult{Index: index, Value: result})
	}
}

func (s *State) setFinal(t *Task, state structs.TaskState) {
	t.State = state
	t.Worker, t.Incarnation, t.Epoch = "", "", 0
	t.Checkpoint, t.FailedOn, t.Crashes = "", nil, 0
	switch state {
	case structs.TaskFinished:
		t.job.Status.Finished++
	case structs.TaskFailed:
		t.job.Status.Failed++
	case structs.TaskCancelled:
		t.job.Status.Cancelled++
	}
	t.job.openTasks--
	s.indexTask(t)
	s.updateJobSets(t.job)
}

// applyMove removes a pending task that was handed over to another cell.
func (s *State) applyMove(ref TaskRef) {
	t, found := s.pending[ref.id()]
	if !found {
		return
	}
	job := t.job
	job.Tasks = slices.DeleteFunc(job.Tasks, func(other *Task) bool { return other == t })
	job.Status.Accepted--
	job.openTasks--
	delete(s.pending, ref.id())
	delete(s.tasks, ref.id())
	s.updateJobSets(job)
}

// applyClose removes a job whose tasks are all final.
func (s *State) applyClose(id structs.JobID) {
	job, found := s.Jobs[id]
	if !found || job.openTasks > 0 {
		return
	}
	for _, t := range job.Tasks {
		delete(s.tasks, t.ID())
	}
	delete(s.Jobs, id)
	delete(s.finalJobs, id)
}
