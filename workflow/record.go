package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// DecodeError reports a stored record that cannot be decoded.
type DecodeError struct {
	Job structs.JobID
	Err error
}

func (e *DecodeError) Error() string { return fmt.Sprintf("record of job %s: %v", e.Job, e.Err) }

// Unwrap returns the cause.
func (e *DecodeError) Unwrap() error { return e.Err }

// jobRecord is the immutable record of a job.
type jobRecord struct {
	Job   structs.StepJob `json:"job"`
	Queue structs.Queue   `json:"queue"`
}

// stateRecord is the record of a job's state. It has no tasks once the job is
// completed.
type stateRecord struct {
	Queue     structs.QueueID  `json:"q"`
	Phase     structs.JobPhase `json:"p"`
	Cancelled bool             `json:"x,omitempty"`
	Failed    bool             `json:"e,omitempty"`
	Reason    FailureReason    `json:"w,omitempty"`
	Begun     bool             `json:"g,omitempty"` // a runner has started a task
	// Steps holds the records of the steps by round and step.
	Steps [][]stepRecord `json:"t,omitempty"`
	// Reruns holds the tasks of completed steps that were started more than once.
	Reruns []rerun `json:"u,omitempty"`
	// Parts is the number of rows that hold the whole record, 0 if this one does.
	Parts int `json:"n,omitempty"`
	// MaxParts is the largest number of parts that were ever written.
	MaxParts int `json:"m,omitempty"`
}

// stepRecord is the record of one step in one round. Tasks is left out if no
// task has been assigned yet, or if all tasks are done and Done is set.
type stepRecord struct {
	Done  bool   `json:"d,omitempty"`
	Tasks []Task `json:"t,omitempty"`
}

// rerun is a task and the number of its last run: round, step, index, number.
type rerun [4]int32

// maxRecordedReruns limits the reruns in a record.
const maxRecordedReruns = 100

// reruns returns the tasks of completed steps that were started more than once.
func (j *Job) reruns() []rerun {
	var list []rerun
	for r := range j.rounds {
		for s := range j.rounds[r] {
			if j.rounds[r][s].unfinished > 0 {
				continue
			}
			for i := range j.rounds[r][s].tasks {
				if run := j.rounds[r][s].tasks[i].Run; run > 1 && len(list) < maxRecordedReruns {
					list = append(list, rerun{int32(r), int32(s), int32(i), run})
				}
			}
		}
	}
	return list
}

// restoreReruns restores the numbers of the last runs of tasks that are done.
func (j *Job) restoreReruns(list []rerun) {
	for _, r := range list {
		t := j.Task(structs.StepTaskID{Job: j.Spec.ID, Round: r[0], Step: r[1], Index: r[2]})
		if t != nil && t.State == Done && r[3] > 0 && r[3] <= maxRunNumber {
			t.Run = r[3]
		}
	}
}

// EncodeSpec returns the immutable record, which is written once when the
// job is accepted.
func (j *Job) EncodeSpec() ([]byte, error) {
	data, err := encodeJSON(jobRecord{Job: j.Spec, Queue: j.Queue})
	if err != nil {
		return nil, fmt.Errorf("encode job %s: %w", j.Spec.ID, err)
	}
	return data, nil
}

// EncodeState returns the record of the job's state.
func (j *Job) EncodeState() ([]byte, error) { return j.encodeState(MaxStateBytes) }

// encodeState returns the record of the job's state with at most maxBytes if it can,
// without the largest checkpoints if need be.
func (j *Job) encodeState(maxBytes int) ([]byte, error) {
	state := stateRecord{Queue: j.Spec.Queue, Phase: j.Phase(), Cancelled: j.Cancelled, Failed: j.Failed, Reason: j.FailureReason, Begun: j.hasBegun, MaxParts: j.maxParts, Reruns: j.reruns()}
	if j.unfinished > 0 && j.FailureReason != FailedToStore {
		state.Steps = make([][]stepRecord, len(j.rounds))
		for r, steps := range j.rounds {
			state.Steps[r] = make([]stepRecord, len(steps))
			for s := range steps {
				state.Steps[r][s] = steps[s].record()
			}
		}
	}
	data, err := encodeJSON(state)
	if excess := len(data) - maxBytes; err == nil && excess > 0 {
		state, j.unrecordedCheckpoints = state.withoutLargestCheckpoints(j.Spec.Steps, excess)
		data, err = encodeJSON(state)
	} else {
		j.unrecordedCheckpoints = 0
	}
	if err != nil {
		return nil, fmt.Errorf("encode state of job %s: %w", j.Spec.ID, err)
	}
	return data, nil
}

// UnrecordedCheckpoints returns the number of checkpoints for which the last record of the
// state had no room.
func (j *Job) UnrecordedCheckpoints() int { return j.unrecordedCheckpoints }

// record returns the record of the step in its shortest form.
func (s *stepState) record() stepRecord {
	if s.unfinished == 0 {
		return stepRecord{Done: true}
	}
	for i := range s.tasks {
		if s.tasks[i] != (Task{}) {
			return stepRecord{Tasks: s.tasks}
		}
	}
	return stepRecord{}
}

// DecodeState returns the phase and the queue from the record of a job's state.
func DecodeState(id structs.JobID, data []byte) (structs.JobPhase, structs.QueueID, error) {
	var state stateRecord
	if err := json.Unmarshal(data, &state); err != nil {
		return "", "", &DecodeError{Job: id, Err: err}
	}
	return state.Phase, state.Queue, nil
}

// Decode restores a job from its immutable record and the record of its state, which has
// no parts.
func Decode(id structs.JobID, jobData, stateData []byte) (*Job, error) {
	return DecodeRows(id, jobData, stateData, func(int) []byte { return nil })
}

// DecodeRows restores a job like Decode. part returns a part of the state, nil if there is
// none.
func DecodeRows(id structs.JobID, jobData, stateData []byte, part func(i int) []byte) (*Job, error) {
	var spec jobRecord
	if err := json.Unmarshal(jobData, &spec); err != nil {
		return nil, &DecodeError{Job: id, Err: err}
	}
	state, err := decodeStateRows(id, stateData, part)
	if err != nil {
		return nil, err
	}
	if err := Validate(&spec.Job); err != nil {
		return nil, &DecodeError{Job: id, Err: err}
	}
	if spec.Job.ID != id {
		return nil, &DecodeError{Job: id, Err: &stateMismatchError{}}
	}
	j := New(spec.Job, spec.Queue)
	j.Cancelled, j.Failed, j.FailureReason = state.Cancelled, state.Failed, state.Reason
	j.maxParts, j.hasBegun = state.MaxParts, state.Begun
	switch {
	case state.Phase == structs.JobCompleted:
		j.markAllDone()
		j.restoreReruns(state.Reruns)
		return j, nil
	case state.Reason == FailedToStore:
		return j, nil
	}
	if len(state.Steps) != len(j.rounds) {
		return nil, &DecodeError{Job: id, Err: &stateMismatchError{}}
	}
	for r := range j.rounds {
		if len(state.Steps[r]) != len(j.rounds[r]) {
			return nil, &DecodeError{Job: id, Err: &stateMismatchError{}}
		}
		for s := range j.rounds[r] {
			if err := j.restoreStep(&j.Spec.Steps[s], &j.rounds[r][s], state.Steps[r][s]); err != nil {
				return nil, &DecodeError{Job: id, Err: err}
			}
		}
	}
	j.restoreReruns(state.Reruns)
	return j, nil
}

// stateMismatchError reports a state whose rounds, steps or tasks don't match
// the job's specification.
type stateMismatchError struct{}

func (*stateMismatchError) Error() string { return "state does not fit the steps" }

// markAllDone marks all tasks of the job as done.
func (j *Job) markAllDone() {
	for r := range j.rounds {
		for s := range j.rounds[r] {
			j.markStepDone(&j.rounds[r][s])
		}
	}
}

// markStepDone marks all tasks of the step as done.
func (j *Job) markStepDone(step *stepState) {
	for i := range step.tasks {
		if step.tasks[i].State != Done {
			step.tasks[i].State = Done
			step.unfinished--
			j.unfinished--
		}
	}
}

// maxRunNumber limits the numbers of runs in a record, so that the next ones don't
// overflow.
const maxRunNumber = 1 << 30

// isPossible reports whether transitions can lead to the state of the task.
func (t *Task) isPossible() bool {
	lowest := min(t.Run, t.Failures, t.FailedRun, t.Crashes, t.Blame, t.CrashAgeMS, t.CrashedRun, t.LoneCrashes, t.LastCopy, t.CheckpointRun, t.CheckpointPercent)
	highestRun := max(t.Run, t.LastCopy)
	if t.Copy != nil {
		highestRun = max(highestRun, t.Copy.Run)
	}
	return lowest >= 0 && highestRun <= maxRunNumber && t.State <= Done && (t.State != Assigned || t.Run > 0)
}

// restoreStep sets the tasks of a new step from its record.
func (j *Job) restoreStep(spec *structs.Step, step *stepState, record stepRecord) error {
	if record.Done {
		j.hasBegun = true
		j.markStepDone(step)
		return nil
	}
	if len(record.Tasks) == 0 {
		return nil
	}
	if len(record.Tasks) != len(step.tasks) {
		return &stateMismatchError{}
	}
	for i := range record.Tasks {
		t := &record.Tasks[i]
		if !t.isPossible() || t.Copy != nil && (t.State != Assigned || !MayCopy(spec) || t.Copy.Run <= t.Run) {
			return &stateMismatchError{}
		}
	}
	copy(step.tasks, record.Tasks)
	for i := range step.tasks {
		j.hasBegun = j.hasBegun || step.tasks[i].showsBegin()
		if step.tasks[i].State == Done {
			step.unfinished--
			j.unfinished--
		}
	}
	return nil
}
