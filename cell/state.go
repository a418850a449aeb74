package cell

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// maxFailuresPerWorker bounds the failures of a task that cannot be tried on
// enough different workers: it fails after this many times its MaxAttempts.
const maxFailuresPerWorker = 3

// failuresKept is the number of failed attempts of a service that are
// remembered.
const failuresKept = 8

// State is the committed state of a cell. It is the fold of the log and
// changes through Apply only.
type State struct {
	Seq     int64                             `json:"seq"` // last log row applied
	Workers map[structs.WorkerID]*WorkerState `json:"workers"`
	Jobs    map[structs.JobID]*JobState       `json:"jobs"`

	tasks map[structs.TaskID]*Task
	// open holds the tasks that are not final, by state.
	pending  map[structs.TaskID]*Task
	assigned map[structs.TaskID]*Task
	byWorker map[structs.WorkerID]map[structs.TaskID]*Task // assigned tasks
	// settled holds the jobs whose tasks are all final, cancelling those whose
	// cancellation is under way.
	settled    map[structs.JobID]*JobState
	cancelling map[structs.JobID]*JobState
}

// WorkerState is the committed identity of a worker's runtime.
type WorkerState struct {
	Incarnation string `json:"i"`
}

// JobState is the part of a job that the cell holds.
type JobState struct {
	Job             structs.Job `json:"job"`
	Status          Status      `json:"status"` // final tasks of this cell
	CancelRequested bool        `json:"cancel,omitempty"`
	Tasks           []*Task     `json:"tasks"` // in the order of acceptance
	open            int         // tasks that are not final
}

// Status counts the tasks of a job in one cell. It is the value of the job's
// status row of that cell.
type Status struct {
	Accepted  int32        `json:"accepted"` // tasks ever accepted, less those moved away
	Finished  int32        `json:"finished"`
	Failed    int32        `json:"failed"`
	Cancelled int32        `json:"cancelled"`
	Results   []TaskResult `json:"results,omitempty"`
	Details   []TaskResult `json:"details,omitempty"` // of failed tasks, the first few
}

// TaskResult is the result, or the detail of the failure, of one task.
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

// Task is one task that the cell holds.
type Task struct {
	Index       int32              `json:"i"`
	State       structs.TaskState  `json:"s"`
	Number      int32              `json:"n,omitempty"` // last attempt
	Worker      structs.WorkerID   `json:"w,omitempty"` // of the assigned attempt
	Incarnation string             `json:"c,omitempty"`
	Epoch       int64              `json:"x,omitempty"`
	Checkpoint  string             `json:"p,omitempty"` // the next attempt starts from it
	FailedOn    []structs.WorkerID `json:"f,omitempty"` // workers of failed attempts

	job   *JobState
	filed structs.WorkerID // worker under which the task is indexed
}

// ID returns the task's identifier.
func (t *Task) ID() structs.TaskID { return structs.TaskID{Job: t.job.Job.ID, Index: t.Index} }

// Attempt returns the last attempt of the task.
func (t *Task) Attempt() structs.AttemptID {
	return structs.AttemptID{Task: t.ID(), Number: t.Number}
}

// Job returns the specification of the task's job.
func (t *Task) Job() *structs.Job { return &t.job.Job }

// NewState returns the state of a cell that has no log.
func NewState() *State {
	s := &State{Workers: map[structs.WorkerID]*WorkerState{}, Jobs: map[structs.JobID]*JobState{}}
	s.index()
	return s
}

// decodeState reads an encoded state.
func decodeState(key string, data []byte) (*State, error) {
	s := NewState()
	if err := decode(key, data, s); err != nil {
		return nil, err
	}
	s.index()
	return s, nil
}

// Apply applies the log row with the sequence number. It is deterministic, and
// records that do not fit the state have no effect.
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
			s.classify(j)
		}
	}
	for _, e := range b.Ends {
		s.applyEnd(e)
	}
	for _, ref := range b.Drops {
		if t, found := s.pending[ref.id()]; found && t.job.CancelRequested {
			s.finish(t, structs.TaskCancelled)
		}
	}
	for _, f := range b.Fails {
		if t, found := s.pending[structs.TaskID{Job: f.Job, Index: f.Index}]; found {
			s.fail(t, f.Detail)
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
	held := s.AssignedTo(change.Worker)
	if change.Incarnation == "" {
		if len(held) == 0 {
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
	for _, t := range held {
		s.release(t)
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
			if _, taken := s.tasks[id]; taken {
				continue
			}
			t := &Task{
				Index: id.Index, State: structs.TaskPending, Number: h.Number,
				Checkpoint: h.Checkpoint, FailedOn: h.FailedOn, job: job,
			}
			job.Tasks = append(job.Tasks, t)
			job.Status.Accepted++
			job.open++
			s.tasks[id] = t
			s.file(t)
		}
	}
	s.classify(job)
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
	s.file(t)
}

func (s *State) applyEnd(e End) {
	if !s.takesEnd(e.attempt(), e.Cause) {
		return
	}
	t := s.tasks[e.attempt().Task]
	if e.Checkpoint != "" {
		t.Checkpoint = e.Checkpoint
	}
	switch e.Cause {
	case structs.EndFinished:
		t.job.Status.addResult(t.Index, e.Result)
		s.finish(t, structs.TaskFinished)
	case structs.EndFailed:
		t.addFailure()
		if t.exhausted() {
			s.fail(t, e.Detail)
			return
		}
		s.release(t)
	default:
		s.release(t)
	}
}

// takesEnd reports whether an end of the attempt still counts. Work that turns
// out to have finished before its worker fell silent counts until the next
// attempt is committed.
func (s *State) takesEnd(id structs.AttemptID, cause structs.EndCause) bool {
	t, found := s.tasks[id.Task]
	if !found || t.Number != id.Number {
		return false
	}
	return t.State == structs.TaskAssigned || (t.State == structs.TaskPending && cause == structs.EndFinished)
}

// addFailure remembers the worker of a failed attempt.
func (t *Task) addFailure() {
	t.FailedOn = append(slices.Clone(t.FailedOn), t.Worker)
	if t.job.Job.Kind == structs.WorkService {
		t.FailedOn = t.FailedOn[max(0, len(t.FailedOn)-failuresKept):]
	}
}

// exhausted reports whether the task has failed on as many different workers
// as its job allows, or far more often on fewer. A service is tried for ever.
func (t *Task) exhausted() bool {
	if t.job.Job.Kind == structs.WorkService {
		return false
	}
	limit := max(1, int(t.job.Job.MaxAttempts))
	return t.failedWorkers() >= limit || len(t.FailedOn) >= limit*maxFailuresPerWorker
}

// failedWorkers counts the different workers on which the task failed.
func (t *Task) failedWorkers() int {
	distinct := map[structs.WorkerID]struct{}{}
	for _, w := range t.FailedOn {
		distinct[w] = struct{}{}
	}
	return len(distinct)
}

// release makes the task pending again, or cancelled when that was requested.
func (s *State) release(t *Task) {
	if t.job.CancelRequested {
		s.finish(t, structs.TaskCancelled)
		return
	}
	t.State = structs.TaskPending
	t.Worker, t.Incarnation, t.Epoch = "", "", 0
	s.file(t)
}

func (s *State) fail(t *Task, detail string) {
	if len(t.job.Status.Details) < maxDetails {
		t.job.Status.Details = append(t.job.Status.Details, TaskResult{Index: t.Index, Value: detail})
	}
	s.finish(t, structs.TaskFailed)
}

func (s *Status) addResult(index int32, result string) {
	if result != "" && len(s.Results) < maxResults {
		s.Results = append(s.Results, TaskResult{Index: index, Value: result})
	}
}

func (s *State) finish(t *Task, state structs.TaskState) {
	t.State = state
	t.Worker, t.Incarnation, t.Epoch = "", "", 0
	t.Checkpoint, t.FailedOn = "", nil
	switch state {
	case structs.TaskFinished:
		t.job.Status.Finished++
	case structs.TaskFailed:
		t.job.Status.Failed++
	case structs.TaskCancelled:
		t.job.Status.Cancelled++
	}
	t.job.open--
	s.file(t)
	s.classify(t.job)
}

// applyMove forgets a pending task that another cell takes over.
func (s *State) applyMove(ref TaskRef) {
	t, found := s.pending[ref.id()]
	if !found {
		return
	}
	job := t.job
	job.Tasks = slices.DeleteFunc(job.Tasks, func(other *Task) bool { return other == t })
	job.Status.Accepted--
	job.open--
	delete(s.pending, ref.id())
	delete(s.tasks, ref.id())
	s.classify(job)
}

// applyClose forgets a job whose tasks are all final.
func (s *State) applyClose(id structs.JobID) {
	job, found := s.Jobs[id]
	if !found || job.open > 0 {
		return
	}
	for _, t := range job.Tasks {
		delete(s.tasks, t.ID())
	}
	delete(s.Jobs, id)
	delete(s.settled, id)
}
