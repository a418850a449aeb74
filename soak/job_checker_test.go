package soak

import (
	"fmt"
	"hash/fnv"
	"sync"
	"time"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// jobChecker compares the runs on the runners with the jobs that callers have
// submitted. In addition to the checks of standin.RunChecker, it reports a run
// of a job that no caller has submitted, and a run that starts before the
// preceding step of its job has finished.
type jobChecker struct {
	*standin.RunChecker
	mu            sync.Mutex
	jobs          map[structs.JobID]*submittedJob
	jobViolations []string
	onCrash       func(runner string) // called after a run has crashed its runner, may be nil
}

func newJobChecker() *jobChecker {
	c := &jobChecker{RunChecker: standin.NewRunChecker(runnerCPU, taskCPU), jobs: map[structs.JobID]*submittedJob{}}
	c.IsSpeculative = c.mayCopy
	return c
}

// mayCopy reports whether the task may have two runs.
func (c *jobChecker) mayCopy(id structs.StepTaskID) bool {
	j := c.job(id.Job)
	return j != nil && j.mayCopy
}

// runTime returns the run time of a run, 0.1 to 0.9 s. It is the same for every run
// of a task, but for one run in three of a speculative task, which takes 4 s, and for
// jobs that state another one.
func (c *jobChecker) runTime(r structs.RunID) time.Duration {
	if j := c.job(r.Task.Job); j != nil && j.runTime > 0 {
		return j.runTime
	}
	if c.mayCopy(r.Task) && (r.Task.Index+r.Number)%3 == 1 {
		return 4 * time.Second
	}
	h := fnv.New32a()
	fmt.Fprint(h, r.Task)
	return time.Duration(100+h.Sum32()%800) * time.Millisecond
}

// isLongRunning reports whether the run lasts until it is stopped.
func (c *jobChecker) isLongRunning(r structs.RunID) bool {
	j := c.job(r.Task.Job)
	return j != nil && j.longRunning
}

func (c *jobChecker) addJob(j *submittedJob) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobs[j.id] = j
}

func (c *jobChecker) job(id structs.JobID) *submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[id]
}

func (c *jobChecker) reportViolation(format string, args ...any) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.jobViolations = append(c.jobViolations, fmt.Sprintf(format, args...))
}

// gangSize returns the number of tasks in the gang of a task, 0 for a task
// without a gang.
func (c *jobChecker) gangSize(id structs.StepTaskID) int {
	if j := c.job(id.Job); j != nil && j.isGang {
		return j.tasksPerStep[id.Step]
	}
	return 0
}

// Started implements standin.RunObserver.
func (c *jobChecker) Started(runner string, run structs.RunID) {
	c.RunChecker.Started(runner, run)
	j := c.job(run.Task.Job)
	switch {
	case j == nil:
		c.reportViolation("%s started on %s, but no caller has submitted its job", run, runner)
	case run.Task.Step > 0 && !c.stepFinished(j, run.Task.Step-1):
		c.reportViolation("%s started on %s before the step that it follows had finished", run, runner)
	}
}

// Crashed implements standin.RunObserver.
func (c *jobChecker) Crashed(runner string, run structs.RunID) {
	c.RunChecker.Crashed(runner, run)
	if c.onCrash != nil {
		go c.onCrash(runner)
	}
}

// crashesAfter returns the time after which a run crashes its runner, 0 for a
// run that does not.
func (c *jobChecker) crashesAfter(run structs.RunID) time.Duration {
	if j := c.job(run.Task.Job); j != nil && j.isDeadly && run.Task == j.deadlyTask() {
		return deadlyAfter
	}
	return 0
}

// stepFinished reports whether the tasks of a step have finished. A gang
// finishes as a whole, so one of its finished tasks is enough.
func (c *jobChecker) stepFinished(j *submittedJob, step int32) bool {
	finished := 0
	for i := range j.tasksPerStep[step] {
		if c.EverDone(structs.StepTaskID{Job: j.id, Step: step, Index: int32(i)}) {
			finished++
		}
	}
	return finished == j.tasksPerStep[step] || j.isGang && finished > 0
}

func (c *jobChecker) allFinished(j *submittedJob) bool {
	for step := range j.tasksPerStep {
		if !c.stepFinished(j, int32(step)) {
			return false
		}
	}
	return true
}

// violations returns the violations that the jobChecker and the
// standin.RunChecker have found.
func (c *jobChecker) violations() []string {
	violations := c.Violations()
	c.mu.Lock()
	defer c.mu.Unlock()
	return append(violations, c.jobViolations...)
}

var _ standin.RunObserver = (*jobChecker)(nil)

var _ substrate.PartStore = (*linkedStore)(nil)
