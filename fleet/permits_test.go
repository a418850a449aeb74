package fleet

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

var permitPolicy = structs.PermitPolicy{Decide: 50 * time.Millisecond, PerWorker: 2 * time.Millisecond, Valid: 3 * time.Second}

// playPermits is play with a queue whose steps may run only on the hosts named.
func playPermits(t *testing.T, hosts int, allowed string, scenario func(w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		issuer := standin.NewPermitIssuer(permitPolicy, func(_ structs.StepID, runner string) bool { return strings.Contains(allowed, runner) })
		w := newWorldWith(t, hosts, issuer)
		defer w.close()
		scenario(w)
		for _, fault := range w.checker.Found() {
			t.Error(fault)
		}
	})
}

func TestStepsRunOnlyWhereAPermitWasGiven(t *testing.T) {
	playPermits(t, 4, "host-1 host-3", func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 4, 2)))
		w.until("completed", 5*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		for _, h := range w.hosts {
			runs := 0
			for index := range int32(4) {
				runs += w.checker.StartsOn(string(h.name), structs.StepTaskID{Job: "a", Index: index})
			}
			is.Equal(runs > 0, h.name == "host-1" || h.name == "host-3")
		}
		is.Equal(w.checker.StartsOfJob("a"), 6)
		is.Equal(w.permits.Asked(), 8) // each host once a step
	})
}

// More tasks than fit at once: those that start after the permit's end need a
// new one. No start is refused on the way.
func TestPermitsThatRanOutAreAskedForAgain(t *testing.T) {
	playPermits(t, 2, "host-0", func(w *world) {
		is := is.New(t)
		w.ready()
		w.runTime = func(structs.TaskRun) time.Duration { return 2 * time.Second }
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 20))) // 8 at a time
		w.until("completed", 10*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
		is.Equal(w.checker.StartsOfJob("a"), 20)
	})
}

func TestStepWaitsWhileNobodyDecidesOnPermits(t *testing.T) {
	playPermits(t, 3, "host-0 host-1 host-2", func(w *world) {
		is := is.New(t)
		w.ready()
		w.permits.SetDown(true)
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 3)))
		time.Sleep(3 * time.Second)
		is.Equal(w.checker.StartsOfJob("a"), 0)
		w.permits.SetDown(false)
		w.until("completed", 3*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
	})
}

// A next leader has no permits; a runner that starts again needs another one.
func TestPermitsAreAskedForAgainByANextLeaderAndForANewIncarnation(t *testing.T) {
	playPermits(t, 3, "host-0 host-1 host-2", func(w *world) {
		is := is.New(t)
		w.ready()
		e := w.entry()
		defer e.Close()
		is.NoErr(w.submit(e, worldJob("a", 6, 6)))
		w.until("runs", time.Second, func() bool { return w.checker.Total() == 6 })
		leader := w.leader()
		leader.kill()
		for _, h := range w.hosts {
			if h != leader {
				h.runner.Restart()
				break
			}
		}
		leader.boot()
		w.until("completed", 20*time.Second, func() bool { return w.phase(e, "a") == structs.JobCompleted })
	})
}
