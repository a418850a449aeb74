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

// play runs a scenario in a bubble and checks the promises at its end.
func play(t *testing.T, hosts int, scenario func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, hosts)
		defer w.close()
		scenario(w)
		for _, fault := range w.checker.Found() {
			t.Error(fault)
		}
	})
}

func TestJobOfTwoStepsCompletes(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		begun := time.Now()
		is.NoErr(w.submit(e, worldJob("a", 4, 2)))
		is.NoErr(w.submit(e, worldJob("a", 4, 2))) // a repeat is the same job
		w.until("completed", 4*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		is.True(time.Since(begun) < 2500*time.Millisecond) // two steps of a second each
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestUnknownJobIsMissing(t *testing.T) {
	play(t, 2, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		_, err := e.Phase(ctx, "none", "q")
		var missing *structs.NotFoundError
		is.True(errors.As(err, &missing))
		is.True(errors.As(e.Cancel(ctx, "none", "q"), &missing))
	})
}

func TestCancelStopsWhatRuns(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 6)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 6 })
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(e.Cancel(ctx, "a", "q"))
		is.Equal(w.phase(e, "a"), structs.JobCancelled)
		w.until("tasks stopped", time.Second, func() bool { return w.checker.Total() == 0 })
		time.Sleep(10 * time.Second)
		is.Equal(w.checker.Total(), 0)
	})
}

func TestLongRunningTaskIsRestartedHoweverItEnds(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return 2 * time.Second } // ends done each time
		w.checker.RestartsDone = true
		w.ready()
		e := w.entry()
		defer e.Close()
		j := worldJob("a", 2)
		j.Steps[0].LongRunning = true
		is.NoErr(w.submit(e, j))
		time.Sleep(9 * time.Second)
		is.True(w.checker.StartsOf(structs.StepTaskID{Job: "a"}) >= 4)
		is.Equal(w.phase(e, "a"), structs.JobRunning)
	})
}

func TestJobFailsAfterItsAttempts(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		for _, h := range w.hosts {
			h.runner.SetFailing(true)
		}
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 1)))
		w.until("failed", 30*time.Second, func() bool { return w.phase(e, "a") == structs.JobFailed })
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), int(worldQueue.MaxAttempts))
	})
}

func TestSilentWorkerKeepsItsRunsUntilTheLeaseLapsed(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 8)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 8 })
		lost := w.notLeader()
		lost.setCut(true)
		began := time.Now()
		w.until("the tasks run elsewhere", 8*time.Second, func() bool {
			return w.checker.Total() == 8 && lost.runs() == 0
		})
		is.True(time.Since(began) > 3500*time.Millisecond)
		lost.setCut(false)
		time.Sleep(5 * time.Second)
	})
}

func TestNewIncarnationReleasesAtOnce(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 6)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 6 })
		w.notLeader().runner.Restart()
		w.until("tasks run again", 1500*time.Millisecond, func() bool { return w.checker.Total() == 6 })
	})
}

func TestCrashedRunnerIsNoticedByItsPort(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 6)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 6 })
		w.notLeader().runner.Crash(false)
		w.until("tasks run again", 1500*time.Millisecond, func() bool { return w.checker.Total() == 6 })
	})
}

func TestLeaderKilledIsReplacedWithoutLoss(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return 5 * time.Second }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 8)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 8 })
		killed := w.leader()
		killed.kill()
		w.until("another leads", time.Second, func() bool { return w.leader() != nil })
		is.NoErr(w.submit(e, worldJob("b", 2)))
		killed.boot()
		w.until("both completed", 12*time.Second, func() bool {
			return w.phase(e, "a") == structs.JobCompleted && w.phase(e, "b") == structs.JobCompleted
		})
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestLeaderCutOffIsReplaced(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		old := w.leader()
		old.setCut(true)
		old.store.Set(standin.StoreSilent)
		w.until("another leads", 4*time.Second, func() bool {
			for _, h := range w.hosts {
				if h != old && h.node.leading() != nil {
					return true
				}
			}
			return false
		})
		is.NoErr(w.submit(e, worldJob("b", 2)))
		old.setCut(false)
		old.store.Set(standin.StoreServes)
		w.until("one leads", 6*time.Second, func() bool { return old.node.leading() == nil })
	})
}

func TestLeaderWithoutTheStoreHandsOver(t *testing.T) {
	for name, mode := range map[string]standin.StoreMode{"refused": standin.StoreRefuses, "silent": standin.StoreSilent, "answers lost": standin.StoreLoses, "late": standin.StoreLate} {
		t.Run(name, func(t *testing.T) {
			play(t, 4, func(w *world) {
				is := is.New(t)
				w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
				w.ready()
				e := w.entry()
				defer e.Close()
				is.NoErr(w.submit(e, worldJob("a", 8)))
				w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 8 })
				old := w.leader()
				old.store.Set(mode)
				w.until("another leads", 5*time.Second, func() bool {
					for _, h := range w.hosts {
						if h != old && h.node.leading() != nil {
							return true
						}
					}
					return false
				})
				time.Sleep(10 * time.Second)
				is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1) // nothing was restarted
				old.store.Set(standin.StoreServes)
				time.Sleep(5 * time.Second)
			})
		})
	}
}

func TestOutageOfTheStoreStopsNothing(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 8)))
		w.until("tasks run", time.Second, func() bool { return w.checker.Total() == 8 })
		for _, h := range w.hosts {
			h.store.Set(standin.StoreSilent)
		}
		time.Sleep(8 * time.Second)
		is.Equal(w.checker.Total(), 8)
		for _, h := range w.hosts {
			h.store.Set(standin.StoreServes)
		}
		time.Sleep(3 * time.Second)
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestLostAnswerIsNotARefusal(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		for _, h := range w.hosts {
			h.store.Set(standin.StoreLoses)
		}
		ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
		defer cancel()
		err := e.Submit(ctx, worldJob("a", 1), worldQueue)
		var unknown *structs.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
		for _, h := range w.hosts {
			h.store.Set(standin.StoreServes)
		}
		w.until("completed", 8*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
	})
}

func TestSubmitWithoutALeaderHasNotRun(t *testing.T) {
	play(t, 1, func(w *world) {
		is := is.New(t)
		w.ready()
		w.hosts[0].kill()
		for _, mode := range []standin.StoreMode{standin.StoreServes, standin.StoreRefuses, standin.StoreSilent} {
			store := standin.NewPartStore().Client()
			store.Set(mode)
			e := NewEntry(store, w.dial(nil), nopLog)
			ctx, cancel := context.WithTimeout(context.Background(), 700*time.Millisecond)
			err := e.Submit(ctx, worldJob("a", 1), worldQueue)
			cancel()
			var notRun *structs.NotRunError
			is.True(errors.As(err, &notRun))
			is.True(notRun.RetryAfter > 0)
			is.NoErr(e.Close())
		}
	})
}

func TestUnansweredStartRunsOnce(t *testing.T) {
	play(t, 2, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		for _, h := range w.hosts {
			h.runner.LeaveUnanswered(2)
		}
		is.NoErr(w.submit(e, worldJob("a", 4)))
		w.until("completed", 6*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		time.Sleep(2 * standin.LateStart)
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 1)
	})
}

func TestCancelBeatsAnUnansweredStart(t *testing.T) {
	play(t, 2, func(w *world) {
		is := is.New(t)
		w.runTime = func(structs.TaskRun) time.Duration { return time.Hour }
		w.ready()
		e := w.entry()
		defer e.Close()
		for _, h := range w.hosts {
			h.runner.LeaveUnanswered(100)
		}
		is.NoErr(w.submit(e, worldJob("a", 2)))
		time.Sleep(100 * time.Millisecond)
		ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
		defer cancel()
		is.NoErr(e.Cancel(ctx, "a", "q"))
		time.Sleep(3 * standin.LateStart)
		is.Equal(w.checker.Total(), 0)
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 0)
	})
}

func TestNothingStartsOnADrainingWorker(t *testing.T) {
	play(t, 2, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		w.hosts[0].runner.SetDraining(true)
		time.Sleep(time.Second)
		is.NoErr(w.submit(e, worldJob("a", 4)))
		w.until("completed", 8*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		for i := range int32(4) {
			is.Equal(w.hosts[0].startsOf("a", i), 0)
		}
	})
}

func TestNothingStartsInADrainedDomain(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		w.config.drain("domain-0", "domain-1")
		is.NoErr(w.submit(e, worldJob("a", 6)))
		w.until("completed", 8*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		is.Equal(w.hosts[0].startsOf("a", 0)+w.hosts[1].startsOf("a", 0), 0)
	})
}

func TestJobsAreRefusedAtOnceWhileTheStoreIsSilent(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		for _, h := range w.hosts {
			h.store.Set(standin.StoreSilent)
		}
		time.Sleep(stallAfter + 400*time.Millisecond)
		store := w.store.Client()
		e := NewEntry(store, w.dial(nil), nopLog)
		defer e.Close()
		is.Equal(w.phase(e, "none"), structs.JobPhase("")) // finds the leader
		store.Set(standin.StoreSilent)
		begun := time.Now()
		err := w.submit(e, worldJob("a", 1))
		var notRun *structs.NotRunError
		is.True(errors.As(err, &notRun))
		is.True(time.Since(begun) < 400*time.Millisecond)
		for _, h := range w.hosts {
			h.store.Set(standin.StoreServes)
		}
		store.Set(standin.StoreServes)
		time.Sleep(5 * time.Second)
		is.Equal(w.checker.StartsOf(structs.StepTaskID{Job: "a"}), 0)
	})
}

func TestTasksThatStandStillRunElsewhere(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		w.hosts[0].runner.SetHanging(true)
		j := worldJob("a", 6)
		j.Steps[0].Estimate = time.Second
		is.NoErr(w.submit(e, j))
		w.until("completed", 8*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
	})
}

// Agents start again while the commit of an assignment has no answer. Their new
// sessions don't order the start: it would run unknown to the next leader, which
// gives the same number out again.
func TestNothingStartsBeforeItsAssignmentIsStored(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 1, 6)))
		leader := w.leader()
		for w.checker.EndsOf(substrate.RunEndDone) == 0 {
			time.Sleep(time.Millisecond)
		}
		leader.store.Set(standin.StoreLate) // before the commit that follows the end is answered
		time.Sleep(100 * time.Millisecond)
		for _, h := range w.hosts {
			if h != leader {
				h.kill()
				h.boot()
			}
		}
		time.Sleep(400 * time.Millisecond)
		is.Equal(w.checker.StartsOfJob("a"), 1)
		leader.store.Set(standin.StoreServes)
		w.until("completed", 20*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
	})
}

// A runner restarts under its ID just before a start arrives, which the new
// incarnation takes. The run goes on there instead of starting elsewhere too.
func TestStartThatReachesTheNextIncarnationRunsOnce(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		var once sync.Once
		w.beforeStart = func(h *worldHost) { once.Do(h.runner.Restart) }
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 3)))
		w.until("completed", 10*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		is.Equal(w.checker.StartsOfJob("a"), 3)
	})
}

// A worker turns eight times slower. A job of tasks of a second each, of which it
// gets some, is done in little more than twice its time.
func TestTasksOnASlowWorkerRunElsewhere(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.ready()
		slow := w.hosts[1]
		slow.runner.SetSlow(8)
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 12)))
		w.until("completed", 2600*time.Millisecond, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		is.NoErr(w.submit(e, worldJob("b", 8)))
		w.until("completed", 1500*time.Millisecond, func() bool { return w.phase(e, "b") == structs.JobCompleted })
		is.Equal(slow.runs(), 0) // it was left alone
	})
}
