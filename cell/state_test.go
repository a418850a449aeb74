package cell

import (
	"encoding/json"
	"fmt"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

// drawBatch draws a log row whose records may or may not be valid in the
// state.
func drawBatch(t *rapid.T) *Batch {
	b := &Batch{Epoch: rapid.Int64Range(1, 3).Draw(t, "epoch")}
	job := structs.JobID(rapid.SampledFrom([]string{"j", "k"}).Draw(t, "job"))
	worker := structs.WorkerID(rapid.SampledFrom([]string{"v", "w"}).Draw(t, "worker"))
	index := rapid.Int32Range(0, 5).Draw(t, "index")
	number := rapid.Int32Range(1, 3).Draw(t, "number")
	kind := rapid.SampledFrom([]structs.WorkKind{structs.WorkBatch, structs.WorkService}).Draw(t, "kind")
	causes := []structs.EndCause{structs.EndFinished, structs.EndFailed, structs.EndEvicted, structs.EndLost, structs.EndNotStarted}
	switch rapid.IntRange(0, 8).Draw(t, "record") {
	case 0, 1:
		b.Accepts = []Accept{{Job: structs.Job{ID: job, Kind: kind, MaxAttempts: 2}, Tasks: []Handoff{{First: index, Count: 3}}}}
	case 2:
		b.Workers = []WorkerChange{{Worker: worker, Incarnation: fmt.Sprint(number)}}
	case 3, 4:
		b.Starts = []Start{{Job: job, Index: index, Number: number, Worker: worker}}
	case 5, 6:
		b.Ends = []End{{Job: job, Index: index, Number: number, Cause: rapid.SampledFrom(causes).Draw(t, "cause"), Checkpoint: fmt.Sprint(number)}}
	case 7:
		b.Moves = []TaskRef{{Job: job, Index: index}}
	case 8:
		b.Cancels, b.Drops, b.Closes = []structs.JobID{job}, []TaskRef{{Job: job, Index: index}}, []structs.JobID{job}
	}
	return b
}

func encodeState(s *State) string {
	data, err := json.Marshal(s)
	if err != nil {
		panic(err)
	}
	return string(data)
}

// TestRecoveredStateEqualsReplayOfTheWholeLog guards against state that a
// snapshot loses. A snapshot at any point, followed by the rest of the log,
// must give the same state as the whole log.
func TestRecoveredStateEqualsReplayOfTheWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 40).Draw(t, "rows")
		cut := rapid.IntRange(0, n).Draw(t, "snapshot after")
		whole, tail := NewState(), NewState()
		for i := range n {
			b := drawBatch(t)
			var row Batch
			if err := decode("row", encode(b), &row); err != nil {
				t.Fatal(err)
			}
			whole.Apply(int64(i+1), b)
			tail.Apply(int64(i+1), &row)
			if i == cut {
				restored, err := decodeState("snapshot", encode(tail))
				if err != nil {
					t.Fatal(err)
				}
				tail = restored
			}
			checkIndexes(t, whole)
		}
		if encodeState(whole) != encodeState(tail) {
			t.Fatalf("whole log: %s\nsnapshot and tail: %s", encodeState(whole), encodeState(tail))
		}
	})
}

// checkIndexes compares the indexes with the tasks.
func checkIndexes(t *rapid.T, s *State) {
	pending, assigned := 0, 0
	for _, job := range s.Jobs {
		open := 0
		for _, task := range job.Tasks {
			switch task.State {
			case structs.TaskPending:
				pending++
			case structs.TaskAssigned:
				assigned++
				if s.byWorker[task.Worker][task.ID()] != task {
					t.Fatalf("%s is not indexed under %s", task.ID(), task.Worker)
				}
			}
			if !task.State.Final() {
				open++
			}
		}
		if open != job.openTasks || int(job.Status.Open()) != open {
			t.Fatalf("job %s has %d open tasks, counted %d, status %+v", job.Job.ID, open, job.openTasks, job.Status)
		}
	}
	if p, a := s.Counts(); p != pending || a != assigned {
		t.Fatalf("counted %d pending and %d assigned, have %d and %d", p, a, pending, assigned)
	}
}

// stateWithTasks returns a state with n pending tasks of one job and the
// workers v and w.
func stateWithTasks(kind structs.WorkKind, n int32) *State {
	s := NewState()
	s.Apply(1, &Batch{
		Epoch:   1,
		Workers: []WorkerChange{{Worker: "v", Incarnation: "1"}, {Worker: "w", Incarnation: "1"}},
		Accepts: []Accept{{Job: structs.Job{ID: "j", Kind: kind, MaxAttempts: 2}, Tasks: []Handoff{{Count: n}}}},
	})
	return s
}

func startBatch(w structs.WorkerID, number int32) *Batch {
	return &Batch{Epoch: 1, Starts: []Start{{Job: "j", Number: number, Worker: w}}}
}

func endBatch(cause structs.EndCause, number int32) *Batch {
	return &Batch{Epoch: 1, Ends: []End{{Job: "j", Number: number, Cause: cause, Checkpoint: fmt.Sprint(number)}}}
}

func TestTaskStateAfterAttemptEnds(t *testing.T) {
	for name, c := range map[string]struct {
		kind    structs.WorkKind
		batches []*Batch
		want    structs.TaskState
		from    string // checkpoint of the next attempt
	}{
		"finished": {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndFinished, 1)}, structs.TaskFinished, ""},
		"evicted work resumes from its checkpoint": {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndEvicted, 1)}, structs.TaskPending, "1"},
		"fails on two workers":                     {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndFailed, 1), startBatch("w", 2), endBatch(structs.EndFailed, 2)}, structs.TaskFailed, ""},
		"fails twice on one worker":                {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndFailed, 1), startBatch("v", 2), endBatch(structs.EndFailed, 2)}, structs.TaskPending, "2"},
		"a failing service is retried":             {structs.WorkService, []*Batch{startBatch("v", 1), endBatch(structs.EndFailed, 1), startBatch("w", 2), endBatch(structs.EndFailed, 2)}, structs.TaskPending, "2"},
		"an end of an older attempt":               {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndLost, 1), startBatch("v", 2), endBatch(structs.EndFinished, 1)}, structs.TaskAssigned, "1"},
		"finished before it was lost":              {structs.WorkBatch, []*Batch{startBatch("v", 1), endBatch(structs.EndLost, 1), endBatch(structs.EndFinished, 1)}, structs.TaskFinished, ""},
		"a new incarnation ends attempts":          {structs.WorkBatch, []*Batch{startBatch("v", 1), {Workers: []WorkerChange{{Worker: "v", Incarnation: "2"}}}}, structs.TaskPending, ""},
		"a start with a wrong attempt number":      {structs.WorkBatch, []*Batch{startBatch("v", 2)}, structs.TaskPending, ""},
		"cancelled while it runs":                  {structs.WorkBatch, []*Batch{startBatch("v", 1), {Cancels: []structs.JobID{"j"}}, endBatch(structs.EndCancelled, 1)}, structs.TaskCancelled, ""},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stateWithTasks(c.kind, 1)
			for i, b := range c.batches {
				s.Apply(int64(i+2), b)
			}
			task := s.Task(structs.TaskID{Job: "j"})
			is.Equal(task.State, c.want)
			is.Equal(task.Checkpoint, c.from)
		})
	}
}
