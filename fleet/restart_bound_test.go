package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// lostTask plays a leader that loses the run of a long-running task.
type lostTask struct {
	*scheduleLoop
	t       *testing.T
	job     *job
	lostAt  bootclock.Time // when the runner last listed the run
	onceRan *worker        // worker of the run
}

// newLostTask returns a leader whose task needs most of a worker and is at work
// on one, while short tasks fill all others.
func newLostTask(t *testing.T, workers int) *lostTask {
	s := newScheduleLoop(t, workers)
	lost := &lostTask{scheduleLoop: s, t: t, job: addService(s.l, "web", 1, 3000)}
	s.run(2 * steadyAfter)
	for _, w := range s.l.workers {
		if len(w.runs) > 0 {
			lost.onceRan = w
		}
	}
	s.addShort("short", int32(4*workers-3), 1000, time.Minute)
	s.run(time.Second)
	return lost
}

// others returns the workers that have not run the task, by ID.
func (s *lostTask) others() []*worker {
	var list []*worker
	for _, w := range s.l.workers {
		if w != s.onceRan {
			list = append(list, w)
		}
	}
	slices.SortFunc(list, func(a, b *worker) int { return compareWorkerIDs(a.id, b.id) })
	return list
}

// failAll lets a worker fail all that starts on it, after it has lost its runs.
func (s *lostTask) failAll(w *worker) {
	s.failing[w.id] = true
	s.lostAt = w.listedAt
	for _, r := range w.sortedRuns() {
		s.l.release(w, r, "runner restarted", "")
	}
}

// lapse lets the lease of the task's worker lapse.
func (s *lostTask) lapse() {
	w := s.onceRan
	s.lostAt = w.listedAt
	*s.now = s.now.Add(s.l.o.Timing.Lease + s.l.o.Timing.leaseLapseDelay() + leaderTick)
	for _, r := range w.sortedRuns() {
		s.l.release(w, r, "lease lapsed", "")
	}
	w.session = nil
}

// checkBound reports an error if the task is not at work in time.
func (s *lostTask) checkBound() {
	s.t.Helper()
	task := structs.StepTaskID{Job: s.job.Spec.ID}
	limit := s.l.o.Timing.RestartLimit
	for s.now.Sub(s.lostAt) < limit+steadyAfter {
		s.step()
		if _, isOut := s.job.outageSince[task]; !isOut {
			return
		}
	}
	s.t.Errorf("the task is not at work %s after its last run, after %d starts", limit, s.starts[task.Job])
}

func TestLongRunningTaskRunsInTimeWhileTheOnlyFreeWorkerFailsIt(t *testing.T) {
	s := newLostTask(t, 2)
	s.failAll(s.onceRan)
	s.checkBound()
}

func TestLongRunningTaskRunsInTimeWhenItsFirstStartsFailAfterALapsedLease(t *testing.T) {
	s := newLostTask(t, 4)
	s.lapse()
	for _, w := range s.others()[:2] {
		lostAt := s.lostAt
		s.failAll(w)
		s.lostAt = lostAt
	}
	s.checkBound()
}

// Another trial is in progress on the only worker with room.
func TestLongRunningTaskRunsInTimeOnAQuarantinedWorkerAfterALapsedLease(t *testing.T) {
	s := newLostTask(t, 2)
	s.lapse()
	w := s.others()[0]
	s.quarantine(w.id)
	runs := w.sortedRuns()
	runs[0].assignedAt, w.health.trial = *s.now, runs[0].id
	for _, r := range runs[1:] {
		s.l.release(w, r, "runner restarted", "")
	}
	s.checkBound()
}

func TestStartsWithoutEffectDontPostponeThatRoomIsMade(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	j := addService(l, "web", 1, 1000)
	task := structs.StepTaskID{Job: "web"}
	w := l.workers["w0"]
	start := func(reason string) {
		l.assignTask(steps.Placement{Task: task, Worker: w.id})
		l.release(w, w.sortedRuns()[0], reason, "")
	}
	start("runner restarted")
	delete(j.outageSince, task) // the run was steadily at work
	start("runner gone")
	is.Equal(len(l.pendingDemands()[0].Overdue), 0)
	now = now.Add(l.o.Timing.overdueAfter())
	start("not started")
	is.Equal(len(l.pendingDemands()[0].Overdue), 1)
}

// The failing workers fail other tasks only after they have failed this one.
func TestLongRunningTaskIsNotAtFaultWhereOtherTasksFailToo(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 4)
	j := addService(l, "web", 1, 1000)
	task := structs.StepTaskID{Job: "web"}
	fail := func(w structs.WorkerID) {
		l.recordFailedRun(l.workers[w], j, structs.RunID{Task: task})
		j.delayRestart(task, w, now)
	}
	for _, w := range []structs.WorkerID{"w0", "w0", "w1", "w2"} {
		is.True(!j.restartDelays[task].isAtFault())
		fail(w)
	}
	l.blameWorkers(j, task)
	is.True(j.restartDelays[task].isAtFault())
	for range quarantineAfterFailures {
		l.recordWorkerFailure(l.workers["w0"], structs.RunID{Task: structs.StepTaskID{Job: "other"}}, causeFailed)
	}
	l.blameWorkers(j, task)
	is.True(!j.restartDelays[task].isAtFault())
}

func TestTaskThatAlwaysFailsIsRestartedAtABoundedRate(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 40)
	s.addCrashing("crashing", 1000)
	s.run(time.Second)
	is.True(s.starts["crashing"] <= 6)
	s.run(20 * time.Second)
	is.True(s.starts["crashing"] <= 18)
}
