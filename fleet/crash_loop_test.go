package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// scheduleLoop runs the scheduling of a leader with simulated runs, without
// agents and commits.
type scheduleLoop struct {
	l          *leader
	now        *bootclock.Time
	failsAfter map[structs.JobID]time.Duration // time after which each run of a job fails
	runTime    map[structs.JobID]time.Duration // time after which each run of a job is done
	failing    map[structs.WorkerID]bool       // workers that fail all that starts on them
	starts     map[structs.JobID]int
	stops      int
}

// crashTime is the time after which a run of a task that always fails, or on a
// worker that fails all, ends.
const crashTime = 40 * time.Millisecond

func newScheduleLoop(t *testing.T, workers int) *scheduleLoop {
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, workers)
	return &scheduleLoop{
		l: l, now: &now, failsAfter: map[structs.JobID]time.Duration{}, runTime: map[structs.JobID]time.Duration{},
		failing: map[structs.WorkerID]bool{}, starts: map[structs.JobID]int{},
	}
}

// step advances the clock by 20 ms, ends runs and schedules.
func (s *scheduleLoop) step() {
	*s.now = s.now.Add(20 * time.Millisecond)
	s.l.lastCommitSentAt = *s.now
	for _, w := range s.l.workers {
		w.listedAt, w.reportedAt, w.leaseEndsAt = *s.now, *s.now, s.now.Add(time.Minute)
		for _, r := range w.sortedRuns() {
			s.update(w, r)
		}
		w.outbox = outbox{}
		s.l.checkWorker(w, *s.now)
	}
	s.l.schedule(context.Background())
	for _, w := range s.l.workers {
		for _, r := range w.runs {
			if !r.stored {
				r.stored = true
				s.starts[r.id.Task.Job]++
			}
		}
	}
}

// update ends the run if it is due, and reports it at work otherwise.
func (s *scheduleLoop) update(w *worker, r *run) {
	job, age := r.id.Task.Job, s.now.Sub(r.assignedAt)
	end := substrate.RunEnd("")
	switch {
	case r.stopReason != "":
		s.stops++
		end = substrate.RunEndStopped
	case s.failsAfter[job] > 0 && age >= s.failsAfter[job], s.failing[w.id] && age >= crashTime:
		end = substrate.RunEndFailed
	case s.runTime[job] > 0 && age >= s.runTime[job]:
		end = substrate.RunEndDone
	}
	if end != "" {
		delete(w.runs, r.id)
		s.l.applyEnd(w, r, r.job, r.id, &fleetpb.Ended{End: string(end)})
		return
	}
	if r.startedAt == 0 {
		r.startedAt, r.workingSince, r.pace, r.percent = *s.now, *s.now, fullPacePercent, workingPercent
	}
	r.progressAt = *s.now
	s.l.endOutage(w, r, *s.now)
}

func (s *scheduleLoop) run(d time.Duration) {
	for until := s.now.Add(d); *s.now < until; {
		s.step()
	}
}

// startsWithin reports whether a run of the job starts in time.
func (s *scheduleLoop) startsWithin(job structs.JobID, limit time.Duration) bool {
	for until := s.now.Add(limit); s.starts[job] == 0 && *s.now < until; {
		s.step()
	}
	return s.starts[job] > 0
}

// addCrashing adds a long-running task whose runs always fail soon.
func (s *scheduleLoop) addCrashing(name string, milliCPU int64) {
	s.failsAfter[structs.JobID(name)] = crashTime
	addService(s.l, name, 1, milliCPU)
}

func (s *scheduleLoop) addShort(name string, tasks int32, milliCPU int64, runTime time.Duration) {
	spec := testJob(name, tasks)
	spec.Steps[0].Resources.MilliCPU = milliCPU
	s.runTime[spec.ID] = runTime
	s.l.addJob(&job{Job: workflow.New(*spec, testQueue)})
}

func (s *scheduleLoop) quarantine(w structs.WorkerID) {
	for range quarantineAfterFailures {
		s.l.recordWorkerFailure(s.l.workers[w], structs.RunID{}, causeFailed)
	}
}

func TestTaskThatAlwaysFailsLeavesItsRoomToOtherTasks(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 1)
	s.addCrashing("crashing", 3000)
	s.run(10 * time.Second)
	s.addShort("short", 1, 3000, time.Second)
	is.True(s.startsWithin("short", s.l.o.Timing.RestartLimit))
	s.run(2 * time.Second)
	addService(s.l, "sound", 1, 3000)
	is.True(s.startsWithin("sound", s.l.o.Timing.RestartLimit))
}

func TestTaskThatAlwaysFailsLeavesTrialsToOtherTasks(t *testing.T) {
	for _, other := range []string{"sound", "short"} {
		t.Run(other, func(t *testing.T) {
			is := is.New(t)
			s := newScheduleLoop(t, 2)
			addService(s.l, "full", 1, 3500)
			s.run(3 * time.Second)
			s.addCrashing("crashing", 1000)
			s.run(4 * time.Second)
			s.quarantine("w1")
			switch other {
			case "sound":
				addService(s.l, "sound", 1, 1000)
			case "short":
				s.addShort("short", 1, 1000, time.Second)
			}
			is.True(s.startsWithin(structs.JobID(other), s.l.o.Timing.RestartLimit))
		})
	}
}

func TestTaskThatAlwaysFailsStopsNoOtherTasks(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 5)
	s.addCrashing("crashing", 3000)
	s.run(10 * time.Second)
	s.addShort("short", 20, 1000, time.Hour)
	s.run(time.Minute)
	is.Equal(s.stops, 0)
}

func TestTaskThatHasNeverRunStopsNoOtherTasks(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 1)
	s.addShort("short", 4, 1000, 20*time.Second)
	s.run(time.Second)
	addService(s.l, "new", 1, 3000)
	s.run(10 * time.Second)
	is.Equal(s.stops, 0)
	is.True(s.startsWithin("new", 10*time.Second)) // when the short tasks are done
}

func TestLostLongRunningTaskGetsItsRoomBackBeforeANewOneThatWaits(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 1)
	addService(s.l, "lost", 2, 2000)
	s.run(3 * time.Second)
	addService(s.l, "new", 2, 1000)
	s.run(5 * time.Second)
	w := s.l.workers["w0"]
	r := w.sortedRuns()[1]
	delete(w.runs, r.id)
	is.True(s.l.applyEnd(w, r, r.job, r.id, &fleetpb.Ended{End: string(substrate.RunEndFailed)}))
	s.run(time.Second)
	is.Equal(s.starts["lost"], 3)
	is.Equal(s.starts["new"], 0)
}

// Guards against giving up a sound task in a storm: after three crashes the next
// one fails its job, so the task waits until a runner has been up for a while.
func TestTaskThatTheNextCrashFailsStartsOnceARunnerIsStable(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 3)
	s.addShort("suspect", 1, 1000, time.Second)
	j, id := s.l.jobs["suspect"], structs.StepTaskID{Job: "suspect"}
	for _, age := range []time.Duration{300 * time.Millisecond, 10 * time.Millisecond, 700 * time.Millisecond} {
		j.Assign(id, "w0", "w0@1")
		j.Crash(workflow.CrashedRun{Job: j.Job, Run: structs.RunID{Task: id, Number: j.Task(id).Run}, Age: age, HasStarted: true}, 20, "")
	}
	for _, w := range s.l.workers {
		w.crash = crash{incarnation: "ended", at: *s.now}
	}
	s.run(unstableFor - time.Second)
	is.Equal(s.starts["suspect"], 0)
	is.True(s.startsWithin("suspect", 2*time.Second))
}

// Guards against giving up a sound task at the beginning of a storm, before other
// workers have crashed: the task waits until they would have.
func TestTaskWithLoneCrashesIsHeldBack(t *testing.T) {
	is := is.New(t)
	s := newScheduleLoop(t, 3)
	s.addShort("suspect", 1, 1000, time.Second)
	j, id := s.l.jobs["suspect"], structs.StepTaskID{Job: "suspect"}
	for i := range 2 {
		j.Assign(id, "w0", "w0@1")
		r := workflow.CrashedRun{
			Job: j.Job, Run: structs.RunID{Task: id, Number: j.Task(id).Run}, Age: 3 * time.Second, HasStarted: true,
			Worker: structs.WorkerID(fmt.Sprint("w", i)), IsLone: true,
		}
		j.Crash(r, 0, "")
		j.holdBack(r, *s.now)
		is.Equal(j.heldUntil[id] != 0, i == 1) // the first crash says too little
	}
	s.run(observeTime - time.Second)
	is.Equal(s.starts["suspect"], 0)
	is.True(s.startsWithin("suspect", 2*time.Second))
}

func TestCrashIsLoneWhileNoOtherWorkerCrashesWithoutTheTask(t *testing.T) {
	task := structs.StepTaskID{Job: "suspect"}
	crashed := func(ago time.Duration, tasks ...structs.StepTaskID) crash {
		c := crash{incarnation: "ended", at: bootclock.Time(time.Hour).Add(-ago), ages: map[structs.RunID]time.Duration{}}
		for _, id := range tasks {
			c.ages[structs.RunID{Task: id, Number: 1}] = time.Second
		}
		return c
	}
	for _, c := range []struct {
		name    string
		workers int
		change  func(l *leader)
		want    bool
	}{
		{"only crash", 3, func(*leader) {}, true},
		{"only worker", 1, func(*leader) {}, false},
		{"crash with the task", 3, func(l *leader) { l.workers["w1"].crash = crashed(time.Second, task) }, true},
		{"crash without the task", 3, func(l *leader) { l.workers["w1"].crash = crashed(time.Second) }, false},
		{"old crash without the task", 3, func(l *leader) { l.workers["w1"].crash = crashed(unstableFor) }, true},
		{"crash before the last one", 3, func(l *leader) {
			l.workers["w1"].crash, l.workers["w1"].earlierCrash = crashed(time.Second, task), crashed(5*time.Second)
		}, false},
		{"crash that is explained", 3, func(l *leader) {
			l.workers["w1"].crash = crashed(time.Second)
			l.workers["w1"].crash.isExplained = true
		}, true},
		{"no stable worker", 2, func(l *leader) { l.workers["w1"].crash = crashed(time.Second, task) }, false},
		{"unstable worker", 3, func(l *leader) { l.workers["w0"].earlierCrash = crashed(time.Second, task) }, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, c.workers)
			j := &job{Job: workflow.New(*testJob("suspect", 1), testQueue)}
			l.addJob(j)
			w := l.workers["w0"]
			w.crash = crashed(0, task)
			c.change(l)
			is.New(t).Equal(l.isLoneCrash(w, &run{id: structs.RunID{Task: task, Number: 1}, job: j}), c.want)
		})
	}
}
