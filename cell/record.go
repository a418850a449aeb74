package cell

import (
	"encoding/json"
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// Batch is the content of one log row. It holds every change that was queued
// when the leader wrote the row. The parts apply in the order of the fields.
type Batch struct {
	Seq     int64           `json:"q"` // number of the log row, counted from 1 without gaps
	Epoch   int64           `json:"x"`
	Workers []WorkerChange  `json:"w,omitempty"`
	Accepts []Accept        `json:"a,omitempty"`
	Cancels []structs.JobID `json:"c,omitempty"`
	Ends    []End           `json:"-"`           // grouped by job in pack.go
	Drops   []TaskRef       `json:"d,omitempty"` // pending tasks of cancelled jobs
	Fails   []Fail          `json:"f,omitempty"`
	Moves   []TaskRef       `json:"m,omitempty"` // tasks handed over to another cell
	Starts  []Start         `json:"-"`           // grouped by job in pack.go
	Closes  []structs.JobID `json:"z,omitempty"` // jobs whose tasks are all final and whose status rows are written
}

// Empty reports whether the batch has no records.
func (b *Batch) Empty() bool { return b.Records() == 0 }

// Records counts the records.
func (b *Batch) Records() int {
	return len(b.Workers) + len(b.Accepts) + len(b.Cancels) + len(b.Ends) + len(b.Drops) +
		len(b.Fails) + len(b.Moves) + len(b.Starts) + len(b.Closes)
}

// WorkerChange records the runtime incarnation that a worker announced. Every
// attempt of an older incarnation of that worker is over. An empty incarnation
// removes a worker without recent heartbeats.
type WorkerChange struct {
	Worker      structs.WorkerID `json:"w"`
	Incarnation string           `json:"i"`
	// Crashed holds the assigned tasks that had started so recently that they may
	// have ended the previous incarnation.
	Crashed []TaskRef `json:"k,omitempty"`
}

// TaskRef names a task.
type TaskRef struct {
	Job   structs.JobID `json:"j"`
	Index int32         `json:"i"`
}

func (r TaskRef) id() structs.TaskID { return structs.TaskID{Job: r.Job, Index: r.Index} }

func newTaskRef(id structs.TaskID) TaskRef { return TaskRef{Job: id.Job, Index: id.Index} }

// Start records the assignment of a task's next attempt to a worker in the
// worker's recorded incarnation.
type Start struct {
	Job    structs.JobID
	Index  int32
	Number int32 // number of the attempt
	Worker structs.WorkerID
}

func (s Start) attempt() structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: s.Job, Index: s.Index}, Number: s.Number}
}

// End records the end of an attempt.
type End struct {
	Job        structs.JobID
	Index      int32
	Number     int32
	Cause      structs.EndCause
	Checkpoint string
	Result     string
	Detail     string
}

func (e End) attempt() structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: e.Job, Index: e.Index}, Number: e.Number}
}

func newEnd(e structs.AttemptEnd) End {
	return End{
		Job: e.Attempt.Task.Job, Index: e.Attempt.Task.Index, Number: e.Attempt.Number,
		Cause: e.Cause, Checkpoint: e.Checkpoint, Result: e.Result, Detail: truncateDetail(e.Detail),
	}
}

// Fail records the failure of a pending task that can never run.
type Fail struct {
	Job    structs.JobID `json:"j"`
	Index  int32         `json:"i"`
	Detail string        `json:"d"`
}

// Accept records that the cell accepts tasks of a job.
type Accept struct {
	Job   structs.Job `json:"j"`
	Tasks []Handoff   `json:"t"`
	Prior Status      `json:"p"` // status row of the cell before the acceptance
}

// Handoff is a range of tasks in the state in which a cell accepts them.
type Handoff struct {
	First      int32              `json:"i"`           // index of the first task
	Count      int32              `json:"n"`           // number of tasks, all in the same state
	Number     int32              `json:"a,omitempty"` // number of attempts so far
	Checkpoint string             `json:"p,omitempty"`
	FailedOn   []structs.WorkerID `json:"f,omitempty"`
	Crashes    int32              `json:"k,omitempty"`
}

// maxDetailBytes is the number of bytes that are kept of a detail text.
const maxDetailBytes = 160

func truncateDetail(s string) string {
	if len(s) <= maxDetailBytes {
		return s
	}
	return s[:maxDetailBytes]
}

// CorruptError reports a row that cannot be decoded.
type CorruptError struct {
	Key string
	Err error
}

func (e *CorruptError) Error() string { return fmt.Sprintf("row %q is corrupt: %v", e.Key, e.Err) }

// Unwrap returns the cause.
func (e *CorruptError) Unwrap() error { return e.Err }

// encode marshals a row value. It panics on an error, because the row types of
// this package can always be marshalled.
func encode(v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	return data
}

func decode(key string, data []byte, out any) error {
	if err := json.Unmarshal(data, out); err != nil {
		return &CorruptError{Key: key, Err: err}
	}
	return nil
}
