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

func taskOf(job string, step, index int32) structs.StepTaskID {
	return structs.StepTaskID{Job: structs.JobID(job), Step: step, Index: index}
}

func readySteps(j *Job, now time.Time) []int32 {
	var ready []int32
	j.ReadySteps(now, func(_, step int32, _ []Task) { ready = append(ready, step) })
	return ready
}

func TestStepWaitsForAllTasksOfTheStepsBefore(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	first, ok := j.Assign(taskOf("a", 0, 0), "w", "i")
	is.True(ok)
	second, ok := j.Assign(taskOf("a", 0, 1), "w", "i")
	is.True(ok)
	is.True(j.Finish(first))
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	is.True(j.Finish(second))
	is.Equal(readySteps(j, time.Time{}), []int32{1})
	is.Equal(j.Phase(), structs.JobRunning)
	third, ok := j.Assign(taskOf("a", 1, 0), "w", "i")
	is.True(ok)
	is.True(j.Finish(third))
	is.Equal(j.Phase(), structs.JobCompleted)
}

func TestOnlyTheAssignedRunCounts(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	first, _ := j.Assign(taskOf("a", 0, 0), "w", "i")
	_, ok := j.Assign(first.Task, "v", "i")
	is.True(!ok) // it is assigned already
	is.True(j.Release(first, "saved"))
	second, ok := j.Assign(first.Task, "v", "k")
	is.True(ok)
	is.Equal(second.Number, int32(2))
	is.Equal(j.Task(first.Task).Checkpoint, "saved")
	is.True(!j.Finish(first)) // late end of the run before
	is.True(!j.Fail(first, ""))
	is.True(j.Finish(second))
	is.True(!j.Finish(second))
}

// A worker that was silent may come back with work that it had finished.
func TestLostRunThatHadFinishedCountsUntilTheNextIsAssigned(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	first, _ := j.Assign(taskOf("a", 0, 0), "w", "i")
	is.True(j.Release(first, ""))
	is.True(j.Finish(first))
	second, _ := j.Assign(taskOf("a", 0, 1), "w", "i")
	is.True(j.Release(second, ""))
	third, _ := j.Assign(taskOf("a", 0, 1), "v", "i")
	is.True(!j.Finish(second))
	is.True(j.Finish(third))
}

func TestJobFailsWithTheAttemptsOfOneTask(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 2})
	for range 2 {
		is.True(!j.Failed)
		r, ok := j.Assign(taskOf("a", 0, 0), "w", "i")
		is.True(ok)
		is.True(j.Fail(r, ""))
	}
	is.Equal(j.Phase(), structs.JobFailed)
	_, ok := j.Assign(taskOf("a", 0, 1), "w", "i")
	is.True(!ok)
	is.Equal(len(readySteps(j, time.Time{})), 0)
}

func TestRoundsWaitUntilTheyAreDue(t *testing.T) {
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

func TestRecordsKeepTheState(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{ID: "q", Pool: "p", MaxAttempts: 3})
	first, _ := j.Assign(taskOf("a", 0, 0), "w", "i")
	is.True(j.Finish(first))
	second, _ := j.Assign(taskOf("a", 0, 1), "w", "i")
	is.True(j.Fail(second, "saved"))
	again := reread(t, j)
	is.Equal(again.Phase(), structs.JobRunning)
	is.Equal(*again.Task(second.Task), *j.Task(second.Task))
	is.Equal(again.Queue, j.Queue)
	j.Cancelled = true
	is.Equal(reread(t, j).Phase(), structs.JobCancelled)
}

func reread(t fataler, j *Job) *Job {
	t.Helper()
	accepted, err := j.EncodeAccepted()
	if err != nil {
		t.Fatal(err)
	}
	progress, err := j.EncodeProgress()
	if err != nil {
		t.Fatal(err)
	}
	again, err := Decode(j.Spec.ID, accepted, progress)
	if err != nil {
		t.Fatal(err)
	}
	return again
}

// Random ends, in any order and repeated, of runs old and new: a task is
// assigned once at a time, runs are numbered in order, nothing is assigned
// after its end or before its step, and records keep all of that.
func TestRandomHistoriesKeepTheRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		j := New(twoSteps("a"), structs.Queue{MaxAttempts: 3})
		var runs []structs.TaskRun
		done := map[structs.StepTaskID]bool{}
		fails := map[structs.StepTaskID]int{}
		for range rapid.IntRange(1, 60).Draw(t, "length") {
			switch rapid.IntRange(0, 4).Draw(t, "action") {
			case 0:
				id := taskOf("a", int32(rapid.IntRange(0, 1).Draw(t, "step")), int32(rapid.IntRange(0, 1).Draw(t, "index")))
				before := j.Task(id)
				if before == nil {
					continue
				}
				was := *before
				blocked := id.Step == 1 && (!done[taskOf("a", 0, 0)] || !done[taskOf("a", 0, 1)])
				if blocked {
					j.ReadySteps(time.Time{}, func(_, step int32, _ []Task) {
						if step == 1 {
							t.Fatal("a blocked step is ready")
						}
					})
					continue
				}
				r, ok := j.Assign(id, "w", "i")
				if ok && (was.State != Pending || done[id] || r.Number != was.Run+1 || fails[id] >= 3) {
					t.Fatalf("assigned %v from %+v", r, was)
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
						fails[r.Task]++
					}
				default:
					changed = j.Release(r, "c")
				}
				if changed != current {
					t.Fatalf("end of %v changed %v, current %v", r, changed, current)
				}
			case 4:
				j = reread(t, j)
			}
		}
		if (len(done) == 3) != (j.Phase() == structs.JobCompleted) {
			t.Fatalf("%d done, phase %s", len(done), j.Phase())
		}
	})
}

// fataler is what tests and rapid tests have in common.
type fataler interface {
	Helper()
	Fatal(args ...any)
}

func TestValidateNamesEveryFault(t *testing.T) {
	is := is.New(t)
	bad := structs.StepJob{Payload: string(make([]byte, MaxPayloadBytes+1)), Steps: []structs.Step{
		{Tasks: 0, After: []int32{0}},
		{Tasks: MaxTasks + 1, After: []int32{5}, Resources: structs.Resources{MilliCPU: -1}},
	}}
	err := Validate(&bad)
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 6)
	good := twoSteps("a")
	is.NoErr(Validate(&good))
	is.True(Validate(&structs.StepJob{}) != nil)
}

func FuzzDecode(f *testing.F) {
	j := New(twoSteps("a"), structs.Queue{MaxAttempts: 3})
	accepted, _ := j.EncodeAccepted()
	progress, _ := j.EncodeProgress()
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

func TestChainIsTheLongestWayThroughTheSteps(t *testing.T) {
	is := is.New(t)
	spec := structs.StepJob{Steps: []structs.Step{
		{Tasks: 1, Estimate: 2 * time.Second},
		{Tasks: 1, Estimate: 5 * time.Second},
		{Tasks: 1, Estimate: time.Second, After: []int32{0, 1}},
		{Tasks: 1, Estimate: 3 * time.Second, After: []int32{0}},
	}}
	is.Equal(New(spec, structs.Queue{}).Chain(), 6*time.Second)
}

func gang(tasks int32) *Job {
	return New(structs.StepJob{ID: "g", Queue: "q", Steps: []structs.Step{{Tasks: tasks, Gang: true, Checkpoints: true}}}, structs.Queue{MaxAttempts: 2})
}

func assignGang(t *testing.T, j *Job) []structs.TaskRun {
	t.Helper()
	var runs []structs.TaskRun
	for i := range j.Spec.Steps[0].Tasks {
		r, ok := j.Assign(taskOf("g", 0, i), "w", "i")
		if !ok {
			t.Fatalf("member %d not assigned", i)
		}
		runs = append(runs, r)
	}
	return runs
}

func TestMembersOfAGangShareTheRunNumber(t *testing.T) {
	is := is.New(t)
	j := gang(3)
	first := assignGang(t, j)
	is.True(j.Release(first[1], "half"))
	is.Equal(len(readySteps(j, time.Time{})), 0) // two members are still there
	is.Equal(j.Obsolete(first[0]), "member of its gang ended")
	is.True(j.Release(first[0], ""))
	is.True(j.Release(first[2], "more"))
	is.Equal(readySteps(j, time.Time{}), []int32{0})
	for i, r := range assignGang(t, j) {
		is.Equal(r.Number, int32(2))
		is.Equal(j.Task(r.Task).Checkpoint, "more") // the same for all
		is.Equal(r.Task.Index, int32(i))
	}
}

func TestOneFinishedMemberFinishesTheGang(t *testing.T) {
	is := is.New(t)
	j := gang(3)
	runs := assignGang(t, j)
	is.True(j.Release(runs[0], "")) // lost with its worker
	is.True(j.Finish(runs[2]))
	is.True(!j.Finish(runs[1]))
	is.Equal(j.Phase(), structs.JobCompleted)
}

func TestMembersThatFailTogetherAreOneFailure(t *testing.T) {
	is := is.New(t)
	j := gang(2)
	for attempt := range 2 {
		runs := assignGang(t, j)
		is.True(j.Fail(runs[1], ""))
		is.Equal(j.Failed, attempt == 1)
		is.True(j.Fail(runs[0], ""))
		is.Equal(j.Failed, attempt == 1)
	}
}
