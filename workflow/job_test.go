package workflow

import (
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

func twoSteps(id string) structs.StepJob {
	return structs.StepJob{ID: structs.JobID(id), Queue: "q", Payload: "p", Steps: []structs.Step{
		{Tasks: 2, Resources: structs.Resources{MilliCPU: 100}},
		{Tasks: 1, After: []int32{0}},
	}}
}

func taskID(job string, step, index int32) structs.StepTaskID {
	return structs.StepTaskID{Job: structs.JobID(job), Step: step, Index: index}
}

func readySteps(j *Job, now time.Time) []int32 {
	var ready []int32
	j.ReadySteps(now, func(_, step int32, _ []Task) { ready = append(ready, step) })
	return ready
}

func TestStepWaitsForAllTasksOfItsDependencies(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	first, ok := j.Assign(taskID("a", 0, 0), "w", "i")
	is.True(ok)
	second, ok := j.Assign(taskID("a", 0, 1), "w", "i")
	is.True(ok)
	is.True(j.Finish(first))
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	is.True(j.Finish(second))
	is.Equal(readySteps(j, time.Time{}), []int32{1})
	is.Equal(j.Phase(), structs.JobRunning)
	third, ok := j.Assign(taskID("a", 1, 0), "w", "i")
	is.True(ok)
	is.True(j.Finish(third))
	is.Equal(j.Phase(), structs.JobCompleted)
}

func TestOnlyAssignedRunChangesState(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	first, _ := j.Assign(taskID("a", 0, 0), "w", "i")
	_, ok := j.Assign(first.Task, "v", "i")
	is.True(!ok) // already assigned
	is.True(j.Release(first, "saved"))
	second, ok := j.Assign(first.Task, "v", "k")
	is.True(ok)
	is.Equal(second.Number, int32(2))
	is.Equal(j.Task(first.Task).Checkpoint, "saved")
	is.True(!j.Finish(first)) // late end of the previous run
	is.True(!j.Fail(first, ""))
	is.True(j.Finish(second))
	is.True(!j.Finish(second))
}

// A worker that was unreachable may report a finished run after the run was
// released as lost.
func TestLateFinishOfLostRunCountsUntilNextAssignment(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	first, _ := j.Assign(taskID("a", 0, 0), "w", "i")
	is.True(j.Release(first, ""))
	is.True(j.Finish(first))
	second, _ := j.Assign(taskID("a", 0, 1), "w", "i")
	is.True(j.Release(second, ""))
	third, _ := j.Assign(taskID("a", 0, 1), "v", "i")
	is.True(!j.Finish(second))
	is.True(j.Finish(third))
}

func TestJobFailsWhenTaskHasNoAttemptsLeft(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	for range 2 {
		is.True(!j.Failed)
		r, ok := j.Assign(taskID("a", 0, 0), "w", "i")
		is.True(ok)
		is.True(j.Fail(r, ""))
	}
	is.Equal(j.Phase(), structs.JobFailed)
	_, ok := j.Assign(taskID("a", 0, 1), "w", "i")
	is.True(!ok)
	is.Equal(len(readySteps(j, time.Time{})), 0)
}

func TestRoundsAreReadyOnlyWhenDue(t *testing.T) {
	is := is.New(t)
	spec := twoSteps("a")
	start := time.Unix(1000, 0)
	spec.Schedule = structs.Schedule{Start: start, Interval: time.Minute, Rounds: 2}
	j := New(spec, structs.Queue{})
	is.Equal(len(readySteps(j, start.Add(-time.Second))), 0)
	is.Equal(len(readySteps(j, start)), 1)
	is.Equal(len(readySteps(j, start.Add(time.Minute))), 2)
	next, found := j.NextDue(start)
	is.True(found)
	is.Equal(next, start.Add(time.Minute))
}

func TestRecordsRestoreState(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{ID: "q", Pool: "p", MaxAttempts: 3})
	first, _ := j.Assign(taskID("a", 0, 0), "w", "i")
	is.True(j.Finish(first))
	second, _ := j.Assign(taskID("a", 0, 1), "w", "i")
	is.True(j.Fail(second, "saved"))
	again := decodeAgain(t, j)
	is.Equal(again.Phase(), structs.JobRunning)
	is.Equal(*again.Task(second.Task), *j.Task(second.Task))
	is.Equal(again.Queue, j.Queue)
	j.Cancelled = true
	is.Equal(decodeAgain(t, j).Phase(), structs.JobCancelled)
}

func decodeAgain(t testingT, j *Job) *Job {
	t.Helper()
	accepted, err := j.EncodeSpec()
	if err != nil {
		t.Fatal(err)
	}
	progress, err := j.EncodeState()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(j.Spec.ID, accepted, progress)
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// Ends current and previous runs in random order and repeatedly. A task must
// have one assigned run at a time, run numbers must be consecutive, no task may
// be assigned after it is done or has failed too often, and a blocked step must
// not be ready. The same must hold after the job is encoded and decoded.
func TestRandomTransitionsObeyRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(twoSteps("a"), structs.Queue{MaxAttempts: 3})
		var runs []structs.RunID
		done := map[structs.StepTaskID]bool{}
		failures := map[structs.StepTaskID]int{}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				id := taskID("a", int32(rapid.IntRange(0, 1).Draw(t, "step")), int32(rapid.IntRange(0, 1).Draw(t, "index")))
				before := j.Task(id)
				if before == nil {
					continue
				}
				previous := *before
				blocked := id.Step == 1 && (!done[taskID("a", 0, 0)] || !done[taskID("a", 0, 1)])
				if blocked {
					j.ReadySteps(time.Time{}, func(_, step int32, _ []Task) {
						if step == 1 {
							t.Fatal("a blocked step is ready")
						}
					})
					continue
				}
				r, ok := j.Assign(id, "w", "i")
				if ok && (previous.State != Pending || done[id] || r.Number != previous.Run+1 || failures[id] >= 3) {
					t.Fatalf("assigned %v from %+v", r, previous)
				}
				if ok {
					runs = append(runs, r)
				}
			case 1, 2, 3:
				if len(runs) == 0 {
					continue
				}
				r := runs[rapid.IntRange(0, len(runs)-1).Draw(t, "run")]
				current := j.Task(r.Task).State == Assigned && j.Task(r.Task).Run == r.Number
				var changed bool
				switch rapid.IntRange(0, 2).Draw(t, "end") {
				case 0:
					state := j.Task(r.Task)
					current = current || (state.State == Pending && state.Run == r.Number)
					changed = j.Finish(r)
					if changed {
						done[r.Task] = true
					}
				case 1:
					changed = j.Fail(r, "c")
					if changed {
						failures[r.Task]++
					}
				default:
					changed = j.Release(r, "c")
				}
				if changed != current {
					t.Fatalf("end of %v changed %v, current %v", r, changed, current)
				}
			case 4:
				j = decodeAgain(t, j)
			}
		}
		if (len(done) == 3) != (j.Phase() == structs.JobCompleted) {
			t.Fatalf("%d done, phase %s", len(done), j.Phase())
		}
	})
}

// testingT holds the common methods of testing.T and rapid.T that decodeAgain
// needs.
type testingT interface {
	Helper()
	Fatal(args ...any)
}

func TestValidateReportsAllFaults(t *testing.T) {
	is := is.New(t)
	invalidJob := structs.StepJob{Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []structs.Step{
		{Tasks: 0, After: []int32{0}},
		{Tasks: MaxTasks + 1, After: []int32{5}, Resources: structs.Resources{MilliCPU: -1}},
	}}
	err := Validate(&invalidJob)
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 6)
	validJob := twoSteps("a")
	is.NoErr(Validate(&validJob))
	is.True(Validate(&structs.StepJob{}) != nil)
}

func FuzzDecode(f *testing.F) {
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 3})
	accepted, _ := j.EncodeSpec()
	progress, _ := j.EncodeState()
	f.Add(accepted, progress)
	f.Add([]byte(`{}`), []byte(`{"t":[[{"d":true}]]}`))
	f.Add([]byte(`{"job":{"steps":[{"tasks":2}]}}`), []byte(`{"t":[[{"t":[{"s":2},{}]}]]}`))
	f.Add([]byte(`{"job":{"steps":[{"tasks":1}],"schedule":{"rounds":2000000000}}}`), []byte(`{}`))
	f.Fuzz(func(t *testing.T, accepted, progress []byte) {
		j, err := Decode("a", accepted, progress)
		if err == nil {
			j.Phase()
		}
	})
}

func TestChainIsCriticalPath(t *testing.T) {
	is := is.New(t)
	spec := structs.StepJob{Steps: []structs.Step{
		{Tasks: 1, Estimate: 2 * time.Second},
		{Tasks: 1, Estimate: 5 * time.Second},
		{Tasks: 1, Estimate: time.Second, After: []int32{0, 1}},
		{Tasks: 1, Estimate: 3 * time.Second, After: []int32{0}},
	}}
	is.Equal(New(spec, structs.Queue{}).CriticalPath(), 6*time.Second)
}

func gangJob(tasks int32) *Job {
	return New(structs.StepJob{ID: "g", Queue: "q", Steps: []structs.Step{{Tasks: tasks, Gang: true, Checkpoints: true}}}, structs.Queue{MaxAttempts: 2})
}

func assignGang(t *testing.T, j *Job) []structs.RunID {
	t.Helper()
	var runs []structs.RunID
	for i := range j.Spec.Steps[0].Tasks {
		r, ok := j.Assign(taskID("g", 0, i), "w", "i")
		if !ok {
			t.Fatalf("member %d not assigned", i)
		}
		runs = append(runs, r)
	}
	return runs
}

func TestGangMembersShareRunNumber(t *testing.T) {
	is := is.New(t)
	j := gangJob(3)
	first := assignGang(t, j)
	is.True(j.Release(first[1], "half"))
	is.Equal(len(readySteps(j, time.Time{})), 0) // two members are still assigned
	is.Equal(j.StopReason(first[0]), "member of its gang ended")
	is.True(j.Release(first[0], ""))
	is.True(j.Release(first[2], "more"))
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	for i, r := range assignGang(t, j) {
		is.Equal(r.Number, int32(2))
		is.Equal(j.Task(r.Task).Checkpoint, "more") // same checkpoint for all members
		is.Equal(r.Task.Index, int32(i))
	}
}

func TestFinishedMemberFinishesGang(t *testing.T) {
	is := is.New(t)
	j := gangJob(3)
	runs := assignGang(t, j)
	is.True(j.Release(runs[0], "")) // the worker was lost
	is.True(j.Finish(runs[2]))
	is.True(!j.Finish(runs[1]))
	is.Equal(j.Phase(), structs.JobCompleted)
}

func TestGangFailuresInOneRunCountOnce(t *testing.T) {
	is := is.New(t)
	j := gangJob(2)
	for attempt := range 2 {
		runs := assignGang(t, j)
		is.True(j.Fail(runs[1], ""))
		is.Equal(j.Failed, attempt == 1)
		is.True(j.Fail(runs[0], ""))
		is.Equal(j.Failed, attempt == 1)
	}
}
