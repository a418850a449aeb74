package fleet

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// runInFleet runs a scenario on a simulated fleet in a synctest bubble, and
// fails the test if the run checker has found a violation.
func runInFleet(t *testing.T, hosts int, scenario func(f *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, hosts)
		defer f.close()
		scenario(f)
		for _, fault := range f.checker.Violations() {
			t.Error(fault)
		}
	})
}

func TestJobOfTwoStepsCompletes(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		begun := time.Now()
		is.NoErr(f.submit(e, testJob("a", 4, 2)))
		is.NoErr(f.submit(e, testJob("a", 4, 2))) // a repeated submission is the same job
		f.waitUntil("completed", 4*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		is.True(time.Since(begun) < 2500*time.Millisecond) // two steps of a second each
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestPhaseAndCancelOfUnknownJobReturnNotFound(t *testing.T) {
	runInFleet(t, 2, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := e.Phase(ctx, "none", "q")
		var missing *structs.NotFoundError
		is.True(errors.As(err, &missing))
		is.True(errors.As(e.Cancel(ctx, "none", "q"), &missing))
	})
}

func TestCancelStopsRunningTasks(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 6 })
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(e.Cancel(ctx, "a", "q"))
		is.Equal(f.phase(e, "a"), structs.JobCancelled)
		f.waitUntil("tasks stopped", time.Second, func() bool { return f.checker.ActiveRuns() == 0 })
		time.Sleep(10 * time.Second)
		is.Equal(f.checker.ActiveRuns(), 0)
	})
}

func TestLongRunningTaskRestartsAfterItEnds(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return 2 * time.Second }) // each run ends with "done"
		f.checker.AllowsRestartAfterDone = true
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		j := testJob("a", 2)
		j.Steps[0].LongRunning = true
		is.NoErr(f.submit(e, j))
		time.Sleep(9 * time.Second)
		is.True(f.checker.StartsOf(structs.StepTaskID{Job: "a"}) >= 4)
		is.Equal(f.phase(e, "a"), structs.JobRunning)
	})
}

func TestJobFailsAfterMaxAttempts(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		for _, h := range f.hosts {
			h.runner.SetFailing(true)
		}
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 1)))
		f.waitUntil("failed", 30*time.Second, func() bool { return f.phase(e, "a") == structs.JobFailed })
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), int(testQueue.MaxAttempts))
	})
}

func TestUnreachableWorkerKeepsRunsUntilLeaseLapses(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 8)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
		lost := f.followerHost()
		lost.setPartitioned(true)
		began := time.Now()
		f.waitUntil("the tasks run elsewhere", 8*time.Second, func() bool {
			return f.checker.ActiveRuns() == 8 && lost.runs() == 0
		})
		is.True(time.Since(began) > 3500*time.Millisecond)
		lost.setPartitioned(false)
		time.Sleep(5 * time.Second)
	})
}

func TestNewIncarnationReleasesRunsAtOnce(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 6 })
		f.followerHost().runner.Restart()
		f.waitUntil("tasks run again", 1500*time.Millisecond, func() bool { return f.checker.ActiveRuns() == 6 })
	})
}

func TestCrashedRunnerIsDetectedByRefusedConnections(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 6 })
		f.followerHost().runner.Crash(false)
		f.waitUntil("tasks run again", 1500*time.Millisecond, func() bool { return f.checker.ActiveRuns() == 6 })
	})
}

func TestLeaderKilledIsReplacedWithoutLoss(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return 5 * time.Second })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 8)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
		killed := f.leaderHost()
		killed.killAgent()
		f.waitUntil("another leads", time.Second, func() bool { return f.leaderHost() != nil })
		is.NoErr(f.submit(e, testJob("b", 2)))
		killed.startAgent()
		f.waitUntil("both completed", 12*time.Second, func() bool {
			return f.phase(e, "a") == structs.JobCompleted && f.phase(e, "b") == structs.JobCompleted
		})
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestPartitionedLeaderIsReplaced(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		old := f.leaderHost()
		old.setPartitioned(true)
		old.store.SetMode(standin.StoreUnresponsive)
		f.waitUntil("another leads", 4*time.Second, func() bool {
			for _, h := range f.hosts {
				if h != old && h.node.activeLeader() != nil {
					return true
				}
			}
			return false
		})
		is.NoErr(f.submit(e, testJob("b", 2)))
		old.setPartitioned(false)
		old.store.SetMode(standin.StoreServes)
		f.waitUntil("one leads", 6*time.Second, func() bool { return old.node.activeLeader() == nil })
	})
}

func TestLeaderThatCannotCommitIsReplacedWithoutRestarts(t *testing.T) {
	for name, mode := range map[string]standin.StoreMode{"refused": standin.StoreRefuses, "silent": standin.StoreUnresponsive, "answers lost": standin.StoreLosesReplies, "late": standin.StoreCommitsLate} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 4, func(f *simulatedFleet) {
				is := is.New(t)
				f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 8)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
				old := f.leaderHost()
				old.store.SetMode(mode)
				f.waitUntil("another leads", 5*time.Second, func() bool {
					for _, h := range f.hosts {
						if h != old && h.node.activeLeader() != nil {
							return true
						}
					}
					return false
				})
				time.Sleep(10 * time.Second)
				is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1) // no task was restarted
				old.store.SetMode(standin.StoreServes)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func TestTasksKeepRunningDuringAStoreOutage(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 8)))
		f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 8 })
		for _, h := range f.hosts {
			h.store.SetMode(standin.StoreUnresponsive)
		}
		time.Sleep(8 * time.Second)
		is.Equal(f.checker.ActiveRuns(), 8)
		for _, h := range f.hosts {
			h.store.SetMode(standin.StoreServes)
		}
		time.Sleep(3 * time.Second)
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestSubmitWithLostStoreAnswersHasUnknownOutcome(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		l := f.waitReady()
		e := f.newEntry()
		defer e.Close()
		// The job is in the next commit, since none is in flight or due.
		f.waitUntil("a commit has just been stored", time.Second, func() bool {
			isStored := false
			l.runInLoop(context.Background(), func() {
				isStored = !l.commitInFlight && l.o.Clock().Sub(l.commitBeganAt) < l.o.Timing.CommitInterval/2
				for _, h := range f.hosts {
					if isStored {
						h.store.SetMode(standin.StoreLosesReplies)
					}
				}
			})
			return isStored
		})
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		err := e.Submit(ctx, testJob("a", 1), testQueue)
		var unknownOutcome *structs.UnknownOutcomeError
		is.True(errors.As(err, &unknownOutcome))
		for _, h := range f.hosts {
			h.store.SetMode(standin.StoreServes)
		}
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}

func TestSubmitWithoutALeaderReturnsNotRun(t *testing.T) {
	runInFleet(t, 1, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		f.hosts[0].killAgent()
		for _, mode := range []standin.StoreMode{standin.StoreServes, standin.StoreRefuses, standin.StoreUnresponsive} {
			store := standin.NewPartStore().Client()
			store.SetMode(mode)
			e := NewEntry(store, f.dial(nil), nopLog)
			ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
			err := e.Submit(ctx, testJob("a", 1), testQueue)
			cancel()
			var notRun *structs.NotRunError
			is.True(errors.As(err, &notRun))
			is.True(notRun.RetryAfter > 0)
			is.NoErr(e.Close())
		}
	})
}

func TestUnansweredStartRunsTaskOnce(t *testing.T) {
	runInFleet(t, 2, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		for _, h := range f.hosts {
			h.runner.WithholdStartReplies(2)
		}
		is.NoErr(f.submit(e, testJob("a", 4)))
		f.waitUntil("completed", 6*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		time.Sleep(2 * standin.LateStartDelay)
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestCancelPreventsAnUnansweredStart(t *testing.T) {
	runInFleet(t, 2, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		for _, h := range f.hosts {
			h.runner.WithholdStartReplies(100)
		}
		is.NoErr(f.submit(e, testJob("a", 2)))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(e.Cancel(ctx, "a", "q"))
		time.Sleep(3 * standin.LateStartDelay)
		is.Equal(f.checker.ActiveRuns(), 0)
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 0)
	})
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	runInFleet(t, 2, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		f.hosts[0].runner.SetDraining(true)
		time.Sleep(time.Second)
		is.NoErr(f.submit(e, testJob("a", 4)))
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		for i := range int32(4) {
			is.Equal(f.hosts[0].startsOf("a", i), 0)
		}
	})
}

func TestNothingStartsInADrainedDomain(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		f.config.drain("domain-0", "domain-1")
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		is.Equal(f.hosts[0].startsOf("a", 0)+f.hosts[1].startsOf("a", 0), 0)
	})
}

func TestSubmitIsRefusedAtOnceWhileTheStoreDoesNotAnswer(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		for _, h := range f.hosts {
			h.store.SetMode(standin.StoreUnresponsive)
		}
		time.Sleep(commitStallAfter + 400*time.Millisecond)
		store := f.store.Client()
		e := NewEntry(store, f.dial(nil), nopLog)
		defer e.Close()
		is.Equal(f.phase(e, "none"), structs.JobPhase("")) // connects to the leader
		store.SetMode(standin.StoreUnresponsive)
		begun := time.Now()
		err := f.submit(e, testJob("a", 1))
		var notRun *structs.NotRunError
		is.True(errors.As(err, &notRun))
		is.True(time.Since(begun) < 400*time.Millisecond)
		for _, h := range f.hosts {
			h.store.SetMode(standin.StoreServes)
		}
		store.SetMode(standin.StoreServes)
		time.Sleep(5 * time.Second)
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 0)
	})
}

func TestStuckTasksRunOnAnotherWorker(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		f.hosts[0].runner.SetHanging(true)
		j := testJob("a", 6)
		j.Steps[0].Estimate = time.Second
		is.NoErr(f.submit(e, j))
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}

// Guards against ordering a start before its assignment is stored. Agents
// restart while the commit of an assignment has no answer. If their new
// sessions received the start, the run would begin without a record in the
// store, and the next leader would assign the same run number again.
func TestNothingStartsBeforeItsAssignmentIsStored(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 1, 6)))
		leader := f.leaderHost()
		for f.checker.EndsOf(substrate.RunEndDone) == 0 {
			time.Sleep(time.Millisecond)
		}
		leader.store.SetMode(standin.StoreCommitsLate) // set before the commit of the end is answered
		time.Sleep(100 * time.Millisecond)
		for _, h := range f.hosts {
			if h != leader {
				h.killAgent()
				h.startAgent()
			}
		}
		time.Sleep(400 * time.Millisecond)
		is.Equal(f.checker.StartsOfJob("a"), 1)
		leader.store.SetMode(standin.StoreServes)
		f.waitUntil("completed", 20*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}

// A runner restarts with the same ID just before a start arrives, and the new
// incarnation accepts the start. The run must continue there and not start on
// another worker too.
func TestStartThatReachesTheNextIncarnationRunsOnce(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		var once sync.Once
		f.beforeStart.set(func(h *simulatedHost) { once.Do(h.runner.Restart) })
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 3)))
		f.waitUntil("completed", 10*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		is.Equal(f.checker.StartsOfJob("a"), 3)
	})
}

// The host must not lead, and time passes before, so that the clock of the first incarnation is ahead.
func TestRunThatReachedTheNextIncarnationRunsOnceIfItsHostIsCutOffThen(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
		f.waitReady()
		time.Sleep(f.timing.MaxLease)
		restarted := f.followerHost()
		var once sync.Once
		f.beforeStart.set(func(h *simulatedHost) {
			if h == restarted {
				once.Do(h.runner.Restart)
			}
		})
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 12)))
		f.waitUntil("tasks run", 3*time.Second, func() bool { return f.checker.ActiveRuns() == 12 })
		time.Sleep(time.Second)
		restarted.setPartitioned(true)
		f.waitUntil("tasks run elsewhere", 2*f.timing.MaxLease, func() bool { return restarted.runs() == 0 && f.checker.ActiveRuns() == 12 })
		restarted.setPartitioned(false)
		time.Sleep(5 * time.Second)
	})
}

// The acknowledgements of a session must not reach the runner's next incarnation.
func TestEndInTheNextIncarnationIsNotAcknowledgedUnread(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.runTime.set(func(structs.RunID) time.Duration { return 50 * time.Millisecond })
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("first", 12)))
		f.waitUntil("completed", 5*time.Second, func() bool { return f.phase(e, "first") == structs.JobCompleted })
		time.Sleep(time.Second)
		var once sync.Once
		f.beforeStart.set(func(h *simulatedHost) {
			once.Do(func() {
				h.setSilent(true) // the session goes on
				h.runner.Restart()
				time.AfterFunc(2*time.Second, func() { h.setSilent(false) })
			})
		})
		is.NoErr(f.submit(e, testJob("a", 3)))
		f.waitUntil("completed", 10*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		is.Equal(f.checker.StartsOfJob("a"), 3)
	})
}

// One worker becomes eight times slower than the others. A job with tasks of a
// second each, some of them on that worker, must finish within 2.6 s.
func TestTasksOnASlowWorkerRunOnOtherWorkers(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		slow := f.hosts[1]
		slow.runner.SetSlowdown(8)
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 12)))
		f.waitUntil("completed", 2600*time.Millisecond, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		is.NoErr(f.submit(e, testJob("b", 8)))
		f.waitUntil("completed", 1500*time.Millisecond, func() bool { return f.phase(e, "b") == structs.JobCompleted })
		is.Equal(slow.runs(), 0) // the worker was quarantined
	})
}
