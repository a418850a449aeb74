package fleet

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// Delays of the restart of a long-running task that fails soon after its start.
// The first restart is not delayed. The longest delay is a third of the default
// of Timing.RestartLimit, so that the task runs in time once the cause of its
// failures is over.
const (
	restartDelayFirst = 250 * time.Millisecond
	restartDelayMax   = DefaultRestartLimit / 3
)

// atFaultAfterWorkers is the number of workers that a long-running task fails
// on, and that fail no other tasks, from which the task itself is at fault.
const atFaultAfterWorkers = 3

// restartDelay delays the next run of a task on the workers that have failed it.
// Once the task itself is at fault, it delays the run on all workers.
type restartDelay struct {
	delay    time.Duration // delay of the last restart, 0 for the first one
	until    bootclock.Time
	failedOn []structs.WorkerID // workers that have failed the task since it was last steadily at work
	unblamed []structs.WorkerID // those of failedOn that were not seen to fail other tasks
}

// delayRestart records that a run of a long-running task has failed on a worker
// before it was steadily at work.
func (j *job) delayRestart(id structs.StepTaskID, w structs.WorkerID, now bootclock.Time) {
	if step := j.Step(id); !step.LongRunning || step.Gang {
		return
	}
	d, found := j.restartDelays[id]
	if found {
		d.delay = min(restartDelayMax, max(restartDelayFirst, 2*d.delay))
	}
	d.until = now.Add(d.delay)
	d.failedOn, d.unblamed = addWorker(d.failedOn, w), addWorker(d.unblamed, w)
	j.restartDelays[id] = d
}

func addWorker(list []structs.WorkerID, w structs.WorkerID) []structs.WorkerID {
	if slices.Contains(list, w) {
		return list
	}
	return append(list, w)
}

// isAtFault reports whether the task fails because of itself.
func (d restartDelay) isAtFault() bool { return len(d.unblamed) >= atFaultAfterWorkers }

// blameWorkers clears the pending task of the failures on workers that fail
// other tasks too. They may be quarantined for it only after they have failed
// this one.
func (l *leader) blameWorkers(j *job, id structs.StepTaskID) {
	d, found := j.restartDelays[id]
	if !found {
		return
	}
	d.unblamed = slices.DeleteFunc(d.unblamed, func(w structs.WorkerID) bool {
		worker := l.workers[w]
		return worker != nil && worker.health.isQuarantinedWithout(id)
	})
	j.restartDelays[id] = d
}

// mayRunElsewhere reports whether the task is not at fault, and a worker of the
// pool that is not quarantined has not failed it yet.
func (l *leader) mayRunElsewhere(j *job, id structs.StepTaskID, pool structs.PoolID, now bootclock.Time) bool {
	d := j.restartDelays[id]
	if d.isAtFault() {
		return false
	}
	for _, w := range l.workers {
		if w.pool == pool && w.health.healthPenalty(now) < 1 && l.usable(w, now) && !slices.Contains(d.failedOn, w.id) {
			return true
		}
	}
	return false
}

// isRestartDelayed reports whether the task must not be placed yet.
func (j *job) isRestartDelayed(id structs.StepTaskID, now bootclock.Time) bool {
	return now < j.restartDelays[id].until
}

// isCrashLooping reports whether the task has failed so often that its restarts
// have the longest delay.
func (j *job) isCrashLooping(id structs.StepTaskID) bool {
	return j.restartDelays[id].delay >= restartDelayMax
}
