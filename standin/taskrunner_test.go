package standin_test

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func firstRunOf(job structs.JobID) structs.RunID {
	return structs.RunID{Task: structs.StepTaskID{Job: job}, Number: 1}
}

// startRun starts the first run of a job's task on the runner.
func startRun(t *testing.T, r *standin.TaskRunner, job structs.JobID) {
	t.Helper()
	client := r.Client(r.Info().Incarnation)
	if _, err := client.Start(t.Context(), 1, substrate.TaskStart{Run: firstRunOf(job)}, substrate.RuntimeClock(10*time.Second)); err != nil {
		t.Fatal(err)
	}
}

func TestRunsFailSoonAfterTheirStartOnARunnerWhoseStartsFail(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		checker := standin.NewRunChecker(3000, 1000)
		r := standin.NewTaskRunner(standin.TaskRunnerOptions{
			Info: substrate.RunnerInfo{ID: "r"}, MaxLease: 10 * time.Second, Observer: checker,
			RunTime:     func(structs.RunID) time.Duration { return time.Second },
			LongRunning: func(id structs.RunID) bool { return id.Task.Job != "short" },
			FailsAfter: func(id structs.RunID) time.Duration {
				if id.Task.Job == "fails" {
					return 2 * time.Second
				}
				return 0
			},
		})
		defer r.Crash(false)
		startRun(t, r, "before")
		startRun(t, r, "fails")
		r.SetFailingStarts(true)
		startRun(t, r, "short")
		time.Sleep(standin.FailingStartDelay)
		synctest.Wait()
		is.Equal(checker.EndsOf(substrate.RunEndFailed), 1)
		r.SetFailingStarts(false)
		startRun(t, r, "after")
		time.Sleep(3 * time.Second)
		synctest.Wait()
		is.Equal(checker.EndsOf(substrate.RunEndFailed), 2)
		is.Equal(len(checker.EventsMatching("ended fails")), 1)
		is.Equal(checker.ActiveRuns(), 2)
	})
}

func TestRunCrashesItsRunnerWhichRestartsByItself(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		checker := standin.NewRunChecker(3000, 1000)
		r := standin.NewTaskRunner(standin.TaskRunnerOptions{
			Info: substrate.RunnerInfo{ID: "r"}, MaxLease: 10 * time.Second, Observer: checker, CrashDowntime: 3 * time.Second,
			RunTime: func(structs.RunID) time.Duration { return time.Second },
			Crashes: func(id structs.RunID) time.Duration {
				return map[structs.JobID]time.Duration{"deadly": 10 * time.Millisecond, "ends before": 2 * time.Second}[id.Task.Job]
			},
		})
		defer r.Crash(false)
		deadly := firstRunOf("deadly").Task
		startRun(t, r, "ends before")
		time.Sleep(2 * time.Second)
		for crash := 1; crash <= 6; crash++ {
			startRun(t, r, "sound")
			startRun(t, r, "deadly")
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
			is.True(r.IsCrashed())
			is.Equal(checker.ActiveRuns(), 0)
			is.Equal(checker.CrashesUnder(deadly), crash)
			is.Equal(checker.StartsAfterCrash(deadly, 3), max(0, crash-3))
			is.Equal(len(checker.Violations()), max(0, crash-5))
			time.Sleep(3 * time.Second)
			synctest.Wait()
			is.True(!r.IsCrashed())
		}
		startRun(t, r, "deadly")
		time.Sleep(20 * time.Millisecond)
		r.Crash(false) // replaces the crash by the run
		time.Sleep(4 * time.Second)
		synctest.Wait()
		is.True(r.IsCrashed())
		is.Equal(checker.CrashesUnder(firstRunOf("ends before").Task), 0)
	})
}

func TestRunCheckerAddsTheRequestsOfTasksOfDifferentSizes(t *testing.T) {
	is := is.New(t)
	requests := map[structs.JobID]int64{"large": 700, "small": 300, "free": 0, "tiny": 1}
	c := standin.NewRunChecker(1000, 1000)
	c.TaskCPU = func(id structs.StepTaskID) int64 { return requests[id.Job] }
	c.Started("r", firstRunOf("large"))
	c.Started("r", firstRunOf("small"))
	c.Started("r", firstRunOf("free"))
	is.Equal(len(c.Violations()), 0)
	c.Started("r", firstRunOf("tiny"))
	is.Equal(len(c.Violations()), 1)
	c.Ended("r", firstRunOf("small"), substrate.RunEndStopped)
	c.Started("r", structs.RunID{Task: structs.StepTaskID{Job: "small"}, Number: 2})
	is.Equal(len(c.Violations()), 2)
	c.Reset("r")
	c.Started("r", structs.RunID{Task: structs.StepTaskID{Job: "large"}, Number: 2})
	is.Equal(len(c.Violations()), 2)
}

func TestStartsAreCheckedAgainstTheCapacityOfTheMoment(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := standin.NewRunChecker(1000, 1000)
		need := structs.Resources{MemoryMB: 100}
		c.TaskResources = func(structs.StepTaskID) structs.Resources { return need }
		start := func(job string) {
			c.Started("r", structs.RunID{Task: structs.StepTaskID{Job: structs.JobID(job)}, Number: 1})
		}
		c.CapacityChanged("r", structs.Resources{MemoryMB: 200}, structs.Resources{MemoryMB: 100})
		start("a")
		start("b")
		is.Equal(len(c.Violations()), 0) // the room that has shrunk still counts
		time.Sleep(standin.DefaultCapacityGrace + time.Millisecond)
		start("c")
		is.Equal(len(c.Violations()), 1)
		c.CapacityChanged("r", structs.Resources{MemoryMB: 100}, structs.Resources{MemoryMB: 400})
		start("d")
		is.Equal(len(c.Violations()), 1)
	})
}
