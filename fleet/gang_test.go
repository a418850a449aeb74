package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func TestGangStartsAndEndsTogether(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, gangJob("a", 2)))
		w.until("completed", 4*time.Second, func() bool { return w.phase(e, "gang-a") == structs.JobCompleted })
		is.Equal(w.checker.StartsOfJob("gang-a"), 2*gangTasks)
		is.Equal(w.checker.EndsOf(substrate.RunEndAlone), 0)
	})
}

// A runner with one member crashes: the others end, and all start again in one
// run. Nobody waits in vain for a member that doesn't come.
func TestGangThatLosesAMemberStartsAgainWhole(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		w.runTime = func(structs.TaskRun) time.Duration { return 3 * time.Second }
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, gangJob("a", 1)))
		w.until("running", time.Second, func() bool { return w.checker.Total() == gangTasks })
		for _, h := range w.hosts {
			if w.checker.RunsOn(string(h.name)) > 0 {
				h.runner.Crash(false)
				break
			}
		}
		w.until("completed", 8*time.Second, func() bool { return w.phase(e, "gang-a") == structs.JobCompleted })
		is.Equal(w.checker.StartsOfJob("gang-a"), 2*gangTasks)
		is.Equal(w.checker.EndsOf(substrate.RunEndAlone), 0)
	})
}

// The leader's process ends while a member of a gang is lost. The next leader
// finds the gang half assigned and starts it again whole.
func TestNextLeaderStartsABrokenGangAgain(t *testing.T) {
	play(t, 4, func(w *world) {
		is := is.New(t)
		w.ready()
		w.runTime = func(structs.TaskRun) time.Duration { return 3 * time.Second }
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, gangJob("a", 1)))
		w.until("running", time.Second, func() bool { return w.checker.Total() == gangTasks })
		leader := w.leader()
		leader.kill()
		leader.runner.Crash(false)
		w.until("completed", 25*time.Second, func() bool { return w.phase(e, "gang-a") == structs.JobCompleted })
		is.Equal(w.checker.EndsOf(substrate.RunEndAlone), 0)
	})
}

// A start that goes without an answer is carried out late, after the others
// have given up waiting. The gang completes all the same.
func TestGangWithAnUnansweredStartCompletes(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		for _, h := range w.hosts {
			h.runner.LeaveUnanswered(1)
		}
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, gangJob("a", 1)))
		w.until("completed", 20*time.Second, func() bool { return w.phase(e, "gang-a") == structs.JobCompleted })
	})
}

// A runner fails one member in each run: the gang has its attempts, and is
// failed after them.
func TestGangFailsAfterItsAttempts(t *testing.T) {
	play(t, 3, func(w *world) {
		is := is.New(t)
		w.ready()
		for _, h := range w.hosts {
			h.runner.SetFailing(true)
		}
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, gangJob("a", 1)))
		w.until("failed", 60*time.Second, func() bool { return w.phase(e, "gang-a") == structs.JobFailed })
		is.Equal(w.checker.StartsOfJob("gang-a"), int(worldQueue.MaxAttempts)*gangTasks)
	})
}
