package cell

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

const (
	// maxCrashes is the number of runtimes in a row that a task may end. Others
	// lose their runs with each of them.
	maxCrashes = 3
	// crashSuspectAge is the age up to which an attempt may be the cause of the
	// end of its runtime.
	crashSuspectAge = 30 * time.Second
)

// loseRuntime makes a task pending whose runtime has a new incarnation. A task
// that was a suspect each time fails after maxCrashes. A service has no limit, as
// for failed attempts.
func (s *State) loseRuntime(t *Task, suspect bool) {
	if !suspect {
		t.Crashes = 0
		s.returnToPending(t)
		return
	}
	t.Crashes++
	if t.Crashes >= maxCrashes && t.job.Job.Kind != structs.WorkService && !t.job.CancelRequested {
		s.failTask(t, fmt.Sprintf("%d runtimes in a row ended soon after the task had started, last on worker %s", t.Crashes, t.Worker))
		return
	}
	s.returnToPending(t)
}

// isYoung reports whether the assigned attempt may have started within
// crashSuspectAge. When an attempt of an earlier leader started is not known, so
// it counts as young while the leadership is.
func (l *leader) isYoung(t *Task, now time.Time) bool {
	start, known := l.starts[t.Attempt()]
	if !known {
		start.committedAt = l.startedAt
	}
	return now.Sub(start.committedAt) <= crashSuspectAge
}

// crashSuspects returns the assigned tasks that may have ended the recorded
// incarnation of the worker. If one of them was a suspect before, the others are
// not.
func (l *leader) crashSuspects(worker structs.WorkerID, now time.Time) []TaskRef {
	var first, again []TaskRef
	for _, t := range l.state.AssignedTo(worker) {
		switch {
		case !l.isYoung(t, now):
		case t.Crashes > 0:
			again = append(again, newTaskRef(t.ID()))
		default:
			first = append(first, newTaskRef(t.ID()))
		}
	}
	if len(again) > 0 {
		return again
	}
	return first
}

// startsApart reports whether the task may not start beside another suspect. A
// service may do so after the first crash, since it must run again at once.
func (t *Task) startsApart() bool {
	return t.Crashes > 1 || t.Crashes == 1 && t.job.Job.Kind != structs.WorkService
}

// crashProbes returns the workers on which a suspect has started so recently that
// no other suspect may start there. The next end of a runtime then tells which
// of the suspects is the cause.
func (l *leader) crashProbes(now time.Time) map[structs.WorkerID]bool {
	probes := map[structs.WorkerID]bool{}
	for _, t := range l.state.assigned {
		if t.Crashes > 0 && l.isYoung(t, now) {
			probes[t.Worker] = true
		}
	}
	return probes
}

// delayCrashed delays the next attempts of the tasks that may have ended several
// runtimes in a row, longer with each one. It bounds how often a service does so.
func (l *leader) delayCrashed(change WorkerChange, now time.Time) {
	if len(change.Crashed) > 0 {
		l.options.Log.Warn("runtime ended soon after starts", zap.String("cell", string(l.cell)),
			zap.String("worker", string(change.Worker)), zap.Any("suspects", change.Crashed))
	}
	for _, ref := range change.Crashed {
		t := l.state.Task(ref.id())
		if t == nil || t.State != structs.TaskPending || t.Crashes < 2 {
			continue
		}
		l.retryAt[ref.id()] = now.Add(attemptRetryDelay(int(t.Crashes) - 2))
	}
}
