package fleet

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// job is a job with the state that only its leader needs.
type job struct {
	*workflow.Job
	stored         bool // the record of the acceptance is in the store
	acceptanceSent bool // a commit with the record of the acceptance was sent, and may have been applied
	// refuse answers the submission with an outcome that says that it has had no
	// effect; nil for jobs that an earlier leader accepted.
	refuse             func(fleetpb.Outcome)
	isDirty            bool
	storedPhase        structs.JobPhase // phase in the store
	committingPhase    structs.JobPhase // phase in the commit in flight
	onStored           []func()         // callbacks to run once the current state is stored
	onLost             []func()         // callbacks to run if the leadership ends before the current state is stored
	committingOnStored []func()         // callbacks from onStored for the state in the commit in flight
	committingOnLost   []func()         // callbacks from onLost for the state in the commit in flight
	runs               []*run           // runs on all workers, in no order; workers add and remove them
	number             int64            // position in openJobs relative to the others
	// isSettled is set if the job had no task that may start, and has not changed since.
	isSettled  bool
	finishedAt bootclock.Time
	// failedOn holds the workers on which each task has failed, was stuck, was
	// too slow or did not start.
	failedOn       map[structs.StepTaskID][]structs.WorkerID
	acceptedAt     bootclock.Time // when this leader accepted the job or read it from the store
	criticalPath   time.Duration  // longest chain of declared run times
	lastAssignedAt bootclock.Time // time of the last assignment of a task, acceptedAt until the first one
	idleSince      bootclock.Time // since when a task may run and none is assigned, 0 if one is or none may
	// restartDelays holds the delays of long-running tasks that fail soon after
	// their start, until a run is steadily at work.
	restartDelays map[structs.StepTaskID]restartDelay
	// outageSince holds, for each long-running task without a run that is
	// steadily at work, when the last such run ended, acceptedAt before the
	// first one.
	outageSince map[structs.StepTaskID]bootclock.Time
	// heldUntil holds until when tasks with lone crashes don't start.
	heldUntil map[structs.StepTaskID]bootclock.Time
	// runEndedAt holds, for each long-running task that has run, when its last run
	// ended, or was last listed if it was lost. A run that ends before it is
	// steadily at work does not move it.
	runEndedAt map[structs.StepTaskID]bootclock.Time
	// stoppedAt holds, for each pending task whose last run was stopped or moved
	// because of a service, when that run ended.
	stoppedAt map[structs.StepTaskID]bootclock.Time
	// moves holds the moves of the filling tasks that this leader has moved.
	moves map[structs.StepTaskID]taskMoves
	// setAsideUntil is when the job is scheduled again after a panic.
	setAsideUntil bootclock.Time
	panics        int // number of times that it was set aside
	runTimes      jobRunTimes
	backlog       jobBacklog
	hasReturned   bool // it was refused and came back at its return time
	mayCopy       bool // a step of it may have copies
	hasHadCopies  bool // a task of it has, or had under this leader, a copy
	// firstSlacks holds, for each short task of which a run has failed, the slack
	// that the job had when the first such run was assigned.
	firstSlacks map[structs.StepTaskID]time.Duration
	// doneRunTimes holds run times of done tasks of the steps that may have copies.
	doneRunTimes map[structs.StepID][]time.Duration
}

// restoreJob adds a job from the store with its assigned runs.
func (l *leader) restoreJob(restored *workflow.Job, now bootclock.Time) {
	j := &job{Job: restored, stored: true, storedPhase: restored.Phase()}
	l.addJob(j)
	if j.Final() {
		j.finishedAt = now
		l.finishedJobs = append(l.finishedJobs, j)
	}
	restored.Tasks(func(id structs.StepTaskID, t *workflow.Task) {
		if t.State == workflow.Assigned {
			l.workerByID(t.Worker).assign(structs.RunID{Task: id, Number: t.Run}, t.Incarnation, j).stored = true
		}
		if c := t.Copy; c != nil {
			l.workerByID(c.Worker).assign(structs.RunID{Task: id, Number: c.Run}, c.Incarnation, j).stored = true
			j.hasHadCopies = true
		}
	})
}

func (l *leader) addJob(j *job) {
	j.acceptedAt = l.o.Clock()
	j.lastAssignedAt = j.acceptedAt
	j.criticalPath = j.CriticalPath()
	j.failedOn = map[structs.StepTaskID][]structs.WorkerID{}
	j.stoppedAt = map[structs.StepTaskID]bootclock.Time{}
	j.restartDelays = map[structs.StepTaskID]restartDelay{}
	j.mayCopy = mayCopy(&j.Spec)
	j.initOutages(l.o.Timing.overdueAfter())
	l.addToBacklog(j)
	l.jobs[j.Spec.ID] = j
	l.jobMemory += jobBytes(&j.Spec)
	l.addedJobs++
	j.number = l.addedJobs
	if !j.Final() {
		l.openJobs = append(l.openJobs, j)
		l.changedJobs = append(l.changedJobs, j)
	}
}

// unsettle makes the next scheduling cycle look for tasks of the job that may start.
func (l *leader) unsettle(j *job) {
	if j.isSettled {
		j.isSettled = false
		l.changedJobs, l.isUnordered = append(l.changedJobs, j), true
	}
}

// settle leaves the job out of the scheduling cycles until it changes, if it has no
// demands and none can arise from the passing of time.
func (j *job) settle(demands []steps.Demand) {
	j.isSettled = len(demands) == 0 && j.Spec.Schedule.Rounds == 0
}

// removeFinalJobs removes the finished jobs from the open ones.
func (l *leader) removeFinalJobs() {
	if l.hasFinalJobs {
		l.openJobs = slices.DeleteFunc(l.openJobs, func(j *job) bool { return j.Final() })
		l.hasFinalJobs = false
	}
}

// unsettledJobs returns the jobs that may have tasks that may start, oldest first.
// The caller settles those that have none and then calls removeSettledJobs.
func (l *leader) unsettledJobs() []*job {
	l.changedJobs = slices.DeleteFunc(l.changedJobs, func(j *job) bool { return j.Final() })
	if l.isUnordered {
		slices.SortFunc(l.changedJobs, func(a, b *job) int { return cmp.Compare(a.number, b.number) })
		l.isUnordered = false
	}
	return l.changedJobs
}

func (l *leader) removeSettledJobs() {
	l.changedJobs = slices.DeleteFunc(l.changedJobs, func(j *job) bool { return j.isSettled })
}

// loopCall is what is known of a call of the leader's loop.
type loopCall int

const (
	callRan     loopCall = iota
	callNotRun           // it has not run and never will
	callUnknown          // it began, and the leadership ended before its end
)
