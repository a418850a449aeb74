package workflow

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// crashedJob returns a job whose only step has the given number of tasks, all of
// them assigned.
func crashedJob(tasks int32, step structs.Step) *Job {
	step.Tasks = tasks
	j := New(structs.StepJob{ID: "a", Steps: []structs.Step{step}}, structs.Queue{})
	for i := range tasks {
		j.Assign(structs.StepTaskID{Job: "a", Index: i}, "w", "w@1")
	}
	return j
}

func crashOf(j *Job, index int32, age time.Duration) CrashedRun {
	id := structs.StepTaskID{Job: "a", Index: index}
	return CrashedRun{Job: j, Run: structs.RunID{Task: id, Number: j.Task(id).Run}, Age: age, HasStarted: true, Discount: 1}
}

func TestNewestRunsShareTheBlame(t *testing.T) {
	j := crashedJob(5, structs.Step{})
	gang := crashedJob(2, structs.Step{Gang: true})
	for _, c := range []struct {
		name string
		runs []CrashedRun
		want []int32
	}{
		{"the newest of old runs", []CrashedRun{crashOf(j, 0, 0), crashOf(j, 1, time.Minute)}, []int32{25, 0}},
		{"runs that began together", []CrashedRun{crashOf(j, 0, 0), crashOf(j, 1, 0), crashOf(j, 2, 0), crashOf(j, 3, 0), crashOf(j, 4, 0)}, []int32{20, 20, 20, 20, 20}},
		{"a gang counts once", []CrashedRun{crashOf(gang, 0, 0), crashOf(gang, 1, 0)}, []int32{25, 25}},
		{"no recent run", []CrashedRun{crashOf(j, 0, 2*time.Second), crashOf(j, 1, time.Minute)}, []int32{0, 0}},
	} {
		t.Run(c.name, func(t *testing.T) { is.New(t).Equal(ShareBlame(c.runs), c.want) })
	}
}

func TestTaskIsGivenUpAfterRepeatedCrashes(t *testing.T) {
	type lost struct {
		age      time.Duration
		discount int32
		started  bool
	}
	at := func(age time.Duration) lost { return lost{age, 1, true} }
	for _, c := range []struct {
		name    string
		crashes []lost
		failed  bool
	}{
		{"one crash", []lost{at(0)}, false},
		{"two crashes at the start", []lost{at(0), at(0)}, true},
		{"two crashes at different ages", []lost{at(0), at(400 * time.Millisecond)}, false},
		{"two crashes at the same age after the start", []lost{at(300 * time.Millisecond), at(305 * time.Millisecond)}, false},
		{"three crashes at the same age after the start", []lost{at(300 * time.Millisecond), at(305 * time.Millisecond), at(295 * time.Millisecond)}, true},
		{"two crashes while others crash", []lost{{0, 2, true}, {0, 2, true}}, false},
		{"four crashes while others crash", []lost{{0, 2, true}, {0, 2, true}, {0, 2, true}, {0, 2, true}}, true},
		{"three crashes long after the start", []lost{at(2 * time.Second), at(2 * time.Second), at(2 * time.Second)}, false},
		{"four crashes long after the start", []lost{at(2 * time.Second), at(2 * time.Second), at(2 * time.Second), at(2 * time.Second)}, true},
		{"crashes before the runner has started the run", []lost{{0, 1, false}, {0, 1, false}, {0, 1, false}}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := crashedJob(1, structs.Step{})
			for _, l := range c.crashes {
				r := crashOf(j, 0, l.age)
				r.Discount, r.HasStarted = l.discount, l.started
				j.Crash(r, ShareBlame([]CrashedRun{r})[0], "")
				j.Assign(r.Run.Task, "w", "w@1")
			}
			is.New(t).Equal(j.Phase() == structs.JobFailed, c.failed)
		})
	}
}

func TestGangIsGivenUpOnlyForCrashesUnderOneMember(t *testing.T) {
	is := is.New(t)
	j := crashedJob(4, structs.Step{Gang: true})
	for i := range int32(4) {
		r := crashOf(j, i, 0)
		j.Crash(r, 60, "")
		for k := range int32(4) {
			if t := j.Task(structs.StepTaskID{Job: "a", Index: k}); t.State == Assigned {
				j.Release(structs.RunID{Task: structs.StepTaskID{Job: "a", Index: k}, Number: t.Run}, "")
			}
		}
		for k := range int32(4) {
			j.Assign(structs.StepTaskID{Job: "a", Index: k}, "w", "w@1")
		}
	}
	is.True(j.Phase() != structs.JobFailed) // one crash under each member
	j.Crash(crashOf(j, 0, 0), 60, "")
	is.Equal(j.Phase(), structs.JobFailed)
}

func TestRunThatOutlivesACrashClearsItsTask(t *testing.T) {
	is := is.New(t)
	j := crashedJob(1, structs.Step{})
	r := crashOf(j, 0, 200*time.Millisecond)
	j.Crash(r, 50, "")
	is.True(j.IsIsolated(r.Run.Task))
	next, _ := j.Assign(r.Run.Task, "w", "w@1")
	is.True(!j.Outlive(next, 600*time.Millisecond)) // not long enough after the crash
	is.True(j.Outlive(next, 700*time.Millisecond))
	is.True(!j.IsIsolated(r.Run.Task))
}

func TestCrashesSurviveAChangeOfLeader(t *testing.T) {
	is := is.New(t)
	j := crashedJob(1, structs.Step{})
	r := crashOf(j, 0, 0)
	is.True(j.Crash(r, 50, ""))
	is.True(!j.Crash(r, 50, "")) // counted once
	spec, err := j.EncodeSpec()
	is.NoErr(err)
	state, err := j.EncodeState()
	is.NoErr(err)
	restored, err := Decode("a", spec, state)
	is.NoErr(err)
	crashes, blame := restored.CrashCount(r.Run.Task)
	is.Equal([]int32{crashes, blame}, []int32{1, 50})
}

func TestCancelledJobDoesNotFail(t *testing.T) {
	is := is.New(t)
	j := crashedJob(1, structs.Step{})
	j.Cancelled = true
	r := crashOf(j, 0, 0)
	is.True(j.Crash(r, certainBlame, ""))
	is.Equal(j.Phase(), structs.JobCancelled)
}

// Guards against a task that is started without end because its ages at the crashes
// vary, and against giving one up that may be sound.
func TestTaskIsGivenUpAfterLoneCrashesAtAnyAges(t *testing.T) {
	ages := []time.Duration{1500 * time.Millisecond, 2600 * time.Millisecond, 4100 * time.Millisecond, 1900 * time.Millisecond}
	for _, c := range []struct {
		name   string
		change func(r *CrashedRun, number int)
		runFor time.Duration // age that the third run reaches
		failed bool
	}{
		{"on stable workers", nil, 4 * time.Second, true},
		{"others crash too", func(r *CrashedRun, number int) { r.IsLone = number != 2 }, 0, false},
		{"on one worker", func(r *CrashedRun, _ int) { r.Worker = "w" }, 0, false},
		{"one run is old", func(r *CrashedRun, number int) {
			if number == 2 {
				r.Age = maxCrashAge + time.Second
			}
		}, 0, false},
		{"one run may not have started", func(r *CrashedRun, number int) { r.HasStarted = number != 2 }, 0, false},
		{"a run outlives all that count", nil, maxCrashAge, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := crashedJob(1, structs.Step{LongRunning: true})
			for i, age := range ages {
				r := crashOf(j, 0, age)
				r.IsLone, r.Worker = true, structs.WorkerID(fmt.Sprint("w", i))
				if c.change != nil {
					c.change(&r, i)
				}
				if i == 2 {
					j.Outlive(r.Run, c.runFor)
				}
				runs := []CrashedRun{r}
				FindLoneCrashes(runs)
				j.Crash(runs[0], 0, "")
				j.Assign(r.Run.Task, "w", "w@1")
			}
			is.New(t).Equal(j.Phase() == structs.JobFailed, c.failed)
		})
	}
}

// Guards against giving up a task that was beside another one when it crashed a
// runner.
func TestLoneCrashCountsForTheTaskWithMostOfThem(t *testing.T) {
	for _, c := range []struct {
		name   string
		counts []int32 // lone crashes of the tasks so far
		want   []bool
	}{
		{"first crashes", []int32{1, 0, 1}, []bool{true, true, true}},
		{"after them", []int32{2, 0, 1}, []bool{true, true, true}},
		{"fewer than the other", []int32{3, 2, 2}, []bool{true, false, false}},
		{"as many as the other", []int32{3, 3, 0}, []bool{false, false, true}},
	} {
		t.Run(c.name, func(t *testing.T) {
			j := crashedJob(int32(len(c.counts)), structs.Step{})
			var runs []CrashedRun
			for i, count := range c.counts {
				r := crashOf(j, int32(i), time.Second)
				r.IsLone, r.Worker = true, "w"
				j.Task(r.Run.Task).LoneCrashes = count
				runs = append(runs, r)
			}
			FindLoneCrashes(runs)
			got := make([]bool, len(runs))
			for i, r := range runs {
				got[i] = r.IsLone
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestLoneCrashesSurviveAChangeOfLeader(t *testing.T) {
	is := is.New(t)
	j := crashedJob(1, structs.Step{})
	r := crashOf(j, 0, 2*time.Second)
	r.IsLone, r.Worker = true, "w"
	is.True(j.Crash(r, 0, ""))
	is.True(!j.Crash(r, 0, "")) // counted once
	spec, err := j.EncodeSpec()
	is.NoErr(err)
	state, err := j.EncodeState()
	is.NoErr(err)
	restored, err := Decode("a", spec, state)
	is.NoErr(err)
	task := restored.Task(r.Run.Task)
	is.Equal(task.LoneCrashes, int32(1))
	is.Equal(task.LoneCrashOn, structs.WorkerID("w"))
}
