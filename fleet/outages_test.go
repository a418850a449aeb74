package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// leaderWithWorkers returns a leader with ready workers whose clock is now, and
// its log lines.
func leaderWithWorkers(t *testing.T, now *bootclock.Time, workers int) (*leader, *observer.ObservedLogs) {
	t.Helper()
	core, lines := observer.New(zap.InfoLevel)
	m, err := newMetrics(noop.NewMeterProvider())
	if err != nil {
		t.Fatal(err)
	}
	l := newLeader(Options{
		Clock: func() bootclock.Time { return *now }, WallClock: time.Now, Log: zap.New(core), Timing: Timing{}.withDefaults(),
	}, m, leaderRow{})
	l.config = &fakeConfig{queue: testQueue}
	for i := range workers {
		w := l.workerByID(structs.WorkerID(fmt.Sprintf("w%d", i)))
		w.session, w.ready, w.incarnation, w.pool, w.capacity = newSession(), true, "i", "pool", testCapacity
		w.listedAt = *now
	}
	return l, lines
}

// addService adds a job of long-running tasks to the leader.
func addService(l *leader, name string, tasks int32, milliCPU int64) *job {
	spec := testJob(name, tasks)
	spec.Steps[0].LongRunning = true
	spec.Steps[0].Resources.MilliCPU = milliCPU
	j := &job{Job: workflow.New(*spec, testQueue)}
	l.addJob(j)
	return j
}

func TestPendingLongRunningTaskIsLoggedWithTheReasonOfEachWorker(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, lines := leaderWithWorkers(t, &now, 4)
	j := addService(l, "web", 2, 3000)
	l.workers["w0"].session = nil
	l.workers["w1"].draining = true
	full := addService(l, "full", 1, 3500)
	l.workers["w2"].assign(structs.RunID{Task: structs.StepTaskID{Job: "full"}, Number: 1}, "i", full)
	delete(full.outageSince, structs.StepTaskID{Job: "full"})
	l.openJobs = []*job{j}
	now = now.Add(1500 * time.Millisecond)
	for range quarantineAfterFailures {
		l.recordWorkerFailure(l.workers["w3"], structs.RunID{}, causeFailed)
	}
	is.Equal(lines.TakeAll()[0].ContextMap()["cause"], causeFailed)
	for _, w := range l.workers {
		w.listedAt = now
	}
	l.lastCommitSentAt = now
	l.reportOutages(now)
	l.reportOutages(now.Add(100 * time.Millisecond)) // within the interval
	is.Equal(lines.Len(), 1)
	fields := lines.All()[0].ContextMap()
	is.Equal(fields["for"], 1500*time.Millisecond)
	is.Equal(fields["excluded"], map[string]int{"no session": 1, "draining": 1, "no room": 1, "quarantined": 1})
	is.Equal(fields["best_free_milli_cpu"], int64(500))
}

func TestLogOfPendingTasksIsBounded(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, lines := leaderWithWorkers(t, &now, 1)
	for i := range 100 {
		addService(l, fmt.Sprintf("web-%d", i), 9, 5000)
	}
	now = now.Add(2 * time.Second)
	l.reportOutages(now)
	is.Equal(lines.Len(), maxOutageLines+1)
}

func TestOutageLastsUntilARunIsSteadilyAtWork(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, lines := leaderWithWorkers(t, &now, 1)
	j := addService(l, "web", 1, 1000)
	task := structs.StepTaskID{Job: "web"}
	isAtWork := func(after time.Duration) bool {
		started := now
		r := l.workers["w0"].assign(structs.RunID{Task: task}, "i", j)
		r.workingSince = started
		now = now.Add(after)
		l.endOutage(l.workers["w0"], r, now)
		_, out := j.outageSince[task]
		return !out
	}
	is.True(!isAtWork(steadyAfter / 2)) // a run that fails soon
	j.beginOutage(task, now)
	now = now.Add(l.o.Timing.RestartLimit)
	is.True(isAtWork(steadyAfter))
	is.Equal(lines.Len(), 1)
	is.Equal(lines.All()[0].ContextMap()["after"], l.o.Timing.RestartLimit+steadyAfter/2)
	is.Equal(len(l.openOutages()), 0)
	j.beginOutage(task, now)
	is.Equal(l.openOutages()[0].since, now)
}

func TestOutageOfALostRunBeginsWithItsLastList(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	j := addService(l, "web", 1, 1000)
	task := structs.StepTaskID{Job: "web"}
	l.assignTask(steps.Placement{Task: task, Worker: "w0"})
	delete(j.outageSince, task)
	listed := now.Add(time.Second)
	w := l.workers["w0"]
	w.listedAt = listed
	now = listed.Add(l.o.Timing.Lease)
	l.release(w, w.sortedRuns()[0], "lease lapsed", "")
	is.Equal(j.outageSince[task], listed)
	is.Equal(len(l.pendingDemands()[0].Overdue), 1) // it goes before other work at once
}
