package workflow

import (
	"math"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// RecentRun is the age below which a run may have caused a crash by its start.
const RecentRun = time.Second

// Limits for finding the task that crashes its runners.
const (
	newestWindow   = 250 * time.Millisecond // difference of ages that are taken as equal
	thirdCrashGap  = 100 * time.Millisecond // highest difference of the ages at the second and third crash with which a task is given up
	secondCrashGap = 30 * time.Millisecond  // the same for the first and second crash
	secondCrashAge = 100 * time.Millisecond // highest age at the second crash with which a task is given up
	halfBlameAge   = 250 * time.Millisecond // age at which a run gets half of the blame for a crash at its start
	maxCrashAge    = 10 * time.Second       // older runs are not counted in a crash
	outliveMargin  = 500 * time.Millisecond // time by which a run must outlive the earlier one to clear its task
	wholeCrash     = 100                    // blame for a crash at the start of an isolated run
	crowdShare     = 25                     // highest blame for a crash of another run
	repeatedCrash  = 40                     // blame for a later crash at the age of an earlier one
	fullBlame      = 97                     // blame with which a task is given up after two or three crashes at similar ages
	highBlame      = 80                     // blame with which it is given up after four crashes
	certainBlame   = 300                    // blame with which it is given up although no runner has confirmed its starts
	maxCrashes     = 4                      // crashes after which a task that ends by itself is given up whatever its blame
	isolationBlame = 8                      // blame from which the runs of a task are isolated
	isolationCount = 2                      // crashes from which they are isolated whatever the blame
	maxLoneCrashes = 4                      // lone crashes after which a task is given up
)

// FailureReason is why a job has failed.
type FailureReason string

// Reasons of failures.
const (
	FailedAttempts FailureReason = "attempts" // a task failed too often
	FailedCrashes  FailureReason = "crashes"  // a task crashed its runners
	FailedToStore  FailureReason = "store"    // the store refuses the record of the state, which is kept without its tasks
)

// CrashedRun is a run of a runner that has crashed.
type CrashedRun struct {
	Job *Job
	Run structs.RunID
	Age time.Duration // time from its start to the crash
	// HasStarted is set if the runner had certainly started the run.
	HasStarted bool
	// Discount divides the blame where other crashes were seen that the task has
	// not caused, 0 for none.
	Discount int32
	Worker   structs.WorkerID
	// IsLone is set if the worker was stable, and no worker has crashed without a run
	// of the task shortly before.
	IsLone bool
}

// ShareBlame divides a crash among its runs, in percent. The runs that began last
// share it, the less the older they are. Runs whose task has crashed a runner at
// the same age before share it too.
func ShareBlame(runs []CrashedRun) []int32 {
	newest := RecentRun
	for _, r := range runs {
		newest = min(newest, r.Age)
	}
	blame := make([]int32, len(runs))
	addShares(runs, blame, func(r CrashedRun) int32 {
		if r.Age >= RecentRun || r.Age > newest+newestWindow {
			return 0
		}
		return int32(wholeCrash * halfBlameAge / (halfBlameAge + r.Age))
	})
	addShares(runs, blame, func(r CrashedRun) int32 {
		if r.Age <= newestWindow || !r.repeatsAge() {
			return 0
		}
		return repeatedCrash
	})
	return blame
}

// addShares adds a share of a crash to the blame of each suspect. whole returns
// the blame of a run that is the only suspect, 0 for one that is none.
func addShares(runs []CrashedRun, blame []int32, whole func(CrashedRun) int32) {
	units := map[structs.StepTaskID]bool{}
	for _, r := range runs {
		if whole(r) > 0 {
			units[r.unit()] = true
		}
	}
	for i, r := range runs {
		share := whole(r)
		if share == 0 {
			continue
		}
		share /= int32(len(units))
		if !r.Job.isBlamed(r.Run.Task) || r.Job.Step(r.Run.Task).Gang {
			share = min(share, crowdShare) // a gang is not tried apart
		}
		blame[i] += max(1, share/max(1, r.Discount))
	}
}

// FindLoneCrashes clears IsLone of the runs for which the crash says too little. The
// age at a crash tells a run from others only if it is always the same, so a lone crash
// counts at any age. The first ones count for all runs. Then the tasks are isolated,
// and one counts only for the run with most of them.
func FindLoneCrashes(runs []CrashedRun) {
	suspects := make([]bool, len(runs))
	for i, r := range runs {
		t := r.Job.Task(r.Run.Task)
		suspects[i] = r.IsLone && r.HasStarted && r.Age <= maxCrashAge && !r.Job.Step(r.Run.Task).Gang &&
			t.Copy == nil && t.LoneCrashOn != r.Worker &&
			(t.LoneCrashes < isolationCount || r.hasMostLoneCrashes(runs))
	}
	for i := range runs {
		runs[i].IsLone = suspects[i]
	}
}

// hasMostLoneCrashes reports whether the tasks of all other runs have fewer lone
// crashes.
func (r CrashedRun) hasMostLoneCrashes(runs []CrashedRun) bool {
	own := r.Job.Task(r.Run.Task).LoneCrashes
	return !slices.ContainsFunc(runs, func(other CrashedRun) bool {
		return other.Run.Task != r.Run.Task && other.Job.Task(other.Run.Task).LoneCrashes >= own
	})
}

// repeatsAge reports whether the last lost run of the task was as old at its
// crash.
func (r CrashedRun) repeatsAge() bool {
	return r.Age <= maxCrashAge && r.ageGap() <= newestWindow
}

// ageGap returns the difference to the age of the last lost run of the task at its
// crash, a long time if there is none.
func (r CrashedRun) ageGap() time.Duration {
	counter := r.Job.crashCounter(r.Run.Task)
	if counter.CrashedRun == 0 {
		return math.MaxInt64
	}
	return (r.Age - time.Duration(counter.CrashAgeMS)*time.Millisecond).Abs()
}

// unit returns the task that is counted for the run. The tasks of a gang are
// counted as one.
func (r CrashedRun) unit() structs.StepTaskID {
	id := r.Run.Task
	if r.Job.Step(id).Gang {
		id.Index = 0
	}
	return id
}

// Crash ends an assigned run after a crash of its runner, with a share of the
// blame in percent. It reports whether the run was a current one. The job fails once the crashes and the blame of its task are too
// high.
func (j *Job) Crash(r CrashedRun, blame int32, checkpoint string) bool {
	t := j.currentTask(r.Run)
	if t == nil {
		return false
	}
	counter := j.crashCounter(r.Run.Task)
	gap := r.ageGap()
	if r.Age <= maxCrashAge && counter.CrashedRun != r.Run.Number {
		counter.CrashedRun, counter.CrashAgeMS = r.Run.Number, int32(r.Age/time.Millisecond)
		counter.Blame += blame
	}
	if r.Age <= maxCrashAge && blame > 0 && r.HasStarted {
		t.Crashes++
	}
	if r.IsLone {
		t.LoneCrashes, t.LoneCrashOn = t.LoneCrashes+1, r.Worker
	}
	j.endRun(r.Run, t, checkpoint)
	if t.crashesRunners(counter.Blame, r.Age, gap) || t.LoneCrashes >= maxLoneCrashes ||
		t.Crashes >= maxCrashes && !j.Step(r.Run.Task).LongRunning {
		j.fail(FailedCrashes)
	}
	return true
}

// crashesRunners reports whether the task is given up for its crashes with the
// blame. age is that of its run at the last crash, gap the difference to its age
// at the one before.
func (t *Task) crashesRunners(blame int32, age, gap time.Duration) bool {
	switch {
	case blame >= certainBlame:
		return true
	case t.Crashes >= 4:
		return blame >= highBlame
	case t.Crashes == 3:
		return blame >= fullBlame && gap <= thirdCrashGap
	case t.Crashes == 2:
		return blame >= fullBlame && gap <= secondCrashGap && age <= secondCrashAge
	default:
		return false
	}
}

// Outlive clears the task of crashes if its run has reached the age. It reports
// whether any were recorded. A slow first run from before the crash of a copy
// clears nothing: its age does not show that the next copy does not crash.
func (j *Job) Outlive(run structs.RunID, age time.Duration) bool {
	id := run.Task
	clearsLone := j.outliveLoneCrashes(run, age)
	counter := j.crashCounter(id)
	if counter.CrashedRun == 0 || run.Number <= counter.CrashedRun || age < time.Duration(counter.CrashAgeMS)*time.Millisecond+outliveMargin {
		return clearsLone
	}
	counter.clearCrashes()
	if j.Step(id).Gang {
		members := j.members(id)
		for i := range members {
			members[i].clearCrashes()
		}
	}
	return true
}

// outliveLoneCrashes clears the task of its lone crashes once its only run is older
// than any run at a crash that counts. Their ages vary, so that a run that outlives the
// last one shows little.
func (j *Job) outliveLoneCrashes(run structs.RunID, age time.Duration) bool {
	t := j.Task(run.Task)
	if t.LoneCrashes == 0 || age < maxCrashAge || t.Run != run.Number || t.Copy != nil {
		return false
	}
	t.LoneCrashes, t.LoneCrashOn = 0, ""
	return true
}

func (t *Task) clearCrashes() { t.Crashes, t.Blame, t.CrashAgeMS, t.CrashedRun = 0, 0, 0, 0 }

// IsIsolated reports whether the task may crash its runner, so that its runs are
// kept apart from those of other such tasks until one has outlived the crashes.
func (j *Job) IsIsolated(id structs.StepTaskID) bool {
	return j.isBlamed(id) || j.IsObserved(id)
}

// isBlamed reports whether the crashes at the age of an earlier one, or soon after a
// start, are enough to isolate the task.
func (j *Job) isBlamed(id structs.StepTaskID) bool {
	return j.crashCounter(id).Blame >= isolationBlame || j.Task(id).Crashes >= isolationCount
}

// IsObserved reports whether the lone crashes of the task are enough to isolate it, and
// to see whether workers crash without it before it starts again.
func (j *Job) IsObserved(id structs.StepTaskID) bool {
	return j.Task(id).LoneCrashes >= isolationCount
}

// NeedsStableWorker reports whether the next crash under the task fails its job
// whatever the blame, or counts only on a stable worker.
func (j *Job) NeedsStableWorker(id structs.StepTaskID) bool {
	step, t := j.Step(id), j.Task(id)
	return !step.LongRunning && !step.Gang && (t.Crashes >= maxCrashes-1 || j.IsObserved(id))
}

// TrialTime returns how long an isolated run has its runner to itself.
func (j *Job) TrialTime(id structs.StepTaskID) time.Duration {
	return min(RecentRun, time.Duration(j.crashCounter(id).CrashAgeMS)*time.Millisecond+outliveMargin)
}

// crashCounter returns the task that holds what is counted for a task, apart from
// its own Crashes.
func (j *Job) crashCounter(id structs.StepTaskID) *Task {
	if j.Step(id).Gang {
		return &j.members(id)[0]
	}
	return j.Task(id)
}

// fail marks the job as failed unless it is over. A cancelled job stays so.
func (j *Job) fail(reason FailureReason) {
	if !j.Final() {
		j.Failed, j.FailureReason = true, reason
	}
}

// CrashCount returns the crashes that are counted for the task, and its blame for
// them in percent of a crash.
func (j *Job) CrashCount(id structs.StepTaskID) (crashes, blame int32) {
	return j.Task(id).Crashes, j.crashCounter(id).Blame
}
