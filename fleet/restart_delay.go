package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// Delays of the restart of a long-running task that fails soon after its start,
// on whichever worker. The first restart is not delayed. The longest delay is a
// third of the default of Timing.RestartLimit, so that the task runs in time
// once the cause of its failures is over.
const (
	restartDelayFirst = 250 * time.Millisecond
	restartDelayMax   = DefaultRestartLimit / 3
)

// restartDelay delays the next run of a task.
type restartDelay struct {
	delay time.Duration // delay of the last restart, 0 for the first one
	until bootclock.Time
}

// delayRestart records that a run of a long-running task has failed before it
// was steadily at work.
func (j *job) delayRestart(id structs.StepTaskID, now bootclock.Time) {
	if step := j.Step(id); !step.LongRunning || step.Gang {
		return
	}
	last, found := j.restartDelays[id]
	if !found {
		j.restartDelays[id] = restartDelay{until: now}
		return
	}
	delay := min(restartDelayMax, max(restartDelayFirst, 2*last.delay))
	j.restartDelays[id] = restartDelay{delay: delay, until: now.Add(delay)}
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
