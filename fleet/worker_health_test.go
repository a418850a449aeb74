package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// quarantinedWorker returns a leader's worker that is quarantined from now on.
func quarantinedWorker(t *testing.T, now *bootclock.Time) (*leader, *worker) {
	t.Helper()
	l, _ := leaderWithWorkers(t, now, 1)
	w := l.workers["w0"]
	for range quarantineAfterFailures {
		l.recordWorkerFailure(w, structs.RunID{Number: 1}, causeFailed)
	}
	if w.health.healthPenalty(*now) != 1 {
		t.Fatal("the worker is not quarantined")
	}
	return l, w
}

func TestRunThatStartedBeforeAQuarantineDoesNotEndIt(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, w := quarantinedWorker(t, &now)
	l.recordWorkerSuccess(w, &run{assignedAt: now.Add(-time.Second)})
	is.Equal(w.health.healthPenalty(now), 1.0)
	l.recordWorkerSuccess(w, &run{assignedAt: now.Add(time.Second)})
	is.Equal(w.health.healthPenalty(now), 0.0)
}

func TestFailuresOfOneQuarantineDontLengthenIt(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, w := quarantinedWorker(t, &now)
	for range 10 {
		l.recordWorkerFailure(w, structs.RunID{Number: 1}, causeFailed)
	}
	now = now.Add(quarantineFirst)
	l.endLapsedQuarantine(w, now)
	is.True(w.health.healthPenalty(now) < 1)
	l.recordWorkerFailure(w, structs.RunID{Number: 1}, causeFailed)
	is.Equal(w.health.quarantineEndsAt, now.Add(2*quarantineFirst)) // the next one is longer
}

func TestTaskThatFailsOnSeveralWorkersDoesNotCountAgainstThem(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 3)
	spec := testJob("poison", 3)
	j := &job{Job: workflow.New(*spec, testQueue)}
	l.addJob(j)
	fail := func(w structs.WorkerID, index int32) {
		l.recordFailedRun(l.workers[w], j, structs.RunID{Task: structs.StepTaskID{Job: "poison", Index: index}})
	}
	penalty := func(w structs.WorkerID) float64 { return l.workers[w].health.healthPenalty(now) }
	fail("w0", 0)
	fail("w0", 1)
	is.Equal(penalty("w0"), 1.0)
	fail("w1", 0)
	is.Equal(penalty("w1"), 0.0)
	is.Equal(penalty("w0"), 0.0) // one failure is left, too few for a quarantine
	fail("w1", 2)
	fail("w2", 2)
	is.Equal(penalty("w1"), 0.0)
	l.recordWorkerFailure(l.workers["w2"], structs.RunID{}, causeStuck)
	fail("w2", 1)
	is.Equal(penalty("w2"), 1.0) // a stuck run counts on its own
}

func TestRestartsOfALongRunningTaskThatAlwaysFailsAreDelayed(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	j := addService(l, "web", 1, 100)
	id := structs.StepTaskID{Job: "web"}
	for _, want := range []time.Duration{0, restartDelayFirst, 2 * restartDelayFirst, 4 * restartDelayFirst, restartDelayMax, restartDelayMax} {
		j.delayRestart(id, "w0", now)
		is.True(want == 0 || j.isRestartDelayed(id, now.Add(want-1)))
		is.True(!j.isRestartDelayed(id, now.Add(want)))
	}
}

func TestTrialsOfAQuarantinedWorkerFollowEachOtherWithGrowingPauses(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, w := quarantinedWorker(t, &now)
	j := addService(l, "web", 9, 1000)
	pause := trialPauseFirst
	for index := range int32(6) {
		is.True(!w.allowsTrial(now.Add(pause - 1)))
		now = now.Add(pause)
		is.True(w.allowsTrial(now))
		l.assignTask(steps.Placement{Task: structs.StepTaskID{Job: "web", Index: index}, Worker: "w0"})
		is.True(!w.allowsTrial(now.Add(trialTime - 1))) // one trial at a time
		is.True(w.allowsTrial(now.Add(trialTime)))
		trial := w.health.trial
		delete(w.runs, trial)
		j.Fail(trial, "")
		l.recordWorkerFailure(w, trial, causeFailed)
		pause = min(2*pause, trialPauseMax)
	}
}

func TestFailureOfALongRunningTaskThatWasAtWorkDoesNotCountAgainstItsWorker(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	w := l.workers["w0"]
	addService(l, "web", 4, 100)
	for index := range int32(4) {
		task := structs.StepTaskID{Job: "web", Index: index}
		l.assignTask(steps.Placement{Task: task, Worker: "w0"})
		r := w.runs[structs.RunID{Task: task, Number: 1}]
		r.workingSince = now
		if index >= 2 {
			r.workingSince = now.Add(-steadyAfter)
		}
	}
	fail := func(index int32) {
		id := structs.RunID{Task: structs.StepTaskID{Job: "web", Index: index}, Number: 1}
		r := w.runs[id]
		delete(w.runs, id)
		is.True(l.applyEnd(w, r, r.job, id, &fleetpb.Ended{End: string(substrate.RunEndFailed)}))
	}
	fail(2)
	fail(3)
	is.Equal(w.health, workerHealth{})
	fail(0)
	fail(1)
	is.Equal(w.health.healthPenalty(now), 1.0)
}
