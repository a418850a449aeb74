package fleet

import (
	"context"
	"slices"
	"testing"
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// lostHosts observes when the long-running tasks of lost hosts run elsewhere.
type lostHosts struct {
	m     *mixedFleet
	hosts []*simulatedHost
	waits []*lostHost
}

type lostHost struct {
	host  *simulatedHost
	at    time.Time
	tasks map[structs.StepTaskID]bool // that do not run on another host yet
	after time.Duration               // time until all of them did, 0 until then
}

// lose cuts the host off. Its runner goes on until its lease lapses.
func (l *lostHosts) lose(h *simulatedHost) {
	l.expectRestarts(h)
	cutOff(h)
}

// stop stops the agent of the host as planned. Its runner goes on until its lease lapses,
// or leaves at the same time.
func (l *lostHosts) stop(h *simulatedHost, runnerLeaves bool) {
	l.expectRestarts(h)
	if runnerLeaves {
		h.runner.Crash(false)
	}
	l.m.streams.Go(h.stopAgent)
}

// expectRestarts begins to observe when the tasks of the host run elsewhere.
func (l *lostHosts) expectRestarts(h *simulatedHost) {
	tasks := map[structs.StepTaskID]bool{}
	for run := range h.runner.Paces() {
		tasks[run.Task] = true
	}
	l.hosts = append(l.hosts, h)
	l.waits = append(l.waits, &lostHost{host: h, at: time.Now(), tasks: tasks})
}

// observe waits for d, or until all tasks of the lost hosts run elsewhere.
func (l *lostHosts) observe(d time.Duration) {
	for begun := time.Now(); time.Since(begun) < d; time.Sleep(20 * time.Millisecond) {
		for _, w := range l.waits {
			for _, h := range l.m.hosts {
				for run := range h.runner.Paces() {
					if !l.isLost(h) {
						delete(w.tasks, run.Task)
					}
				}
			}
			if w.after == 0 && len(w.tasks) == 0 {
				w.after = time.Since(w.at)
			}
		}
	}
}

func (l *lostHosts) isLost(h *simulatedHost) bool {
	for _, lost := range l.hosts {
		if lost == h {
			return true
		}
	}
	return false
}

// follower returns a host with tasks that is neither lost nor leads.
func (l *lostHosts) follower() *simulatedHost {
	leader := l.m.nextLeader(l.hosts...)
	for _, h := range l.m.hosts {
		if h != leader && !l.isLost(h) && len(h.runner.Paces()) > 0 {
			return h
		}
	}
	l.m.t.Fatal("no follower has tasks")
	return nil
}

// lostLimit is the limit of the platform's rule LOST: 6 s after the last run, and 3 s.
const lostLimit = 9 * time.Second

// Guards against long-running tasks that do not run again while hosts and leaders are lost
// in turn, because each leader counts the longest lease of the lost hosts anew.
func TestHostsThatAreLostInTurnWithLeadersRunAgainInTime(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, _ *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			for range 3 {
				l.lose(l.follower())
				l.observe(3 * time.Second)
				l.lose(l.m.nextLeader(l.hosts...))
				l.observe(3 * time.Second)
			}
		})
	})
}

// Guards against the same with three takeovers within one lease.
func TestHostsOfThreeLeadersThatAreLostWithinOneLeaseRunAgainInTime(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, _ *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			l.lose(l.follower())
			l.observe(2500 * time.Millisecond)
			for range 3 {
				l.lose(l.m.nextLeader(l.hosts...))
				l.observe(2700 * time.Millisecond)
			}
		})
	})
}

// checkRestarts plays the scenario in a fleet whose runners are old enough that no start
// for an earlier incarnation can still matter.
func checkRestarts(m *mixedFleet, scenario func(l *lostHosts)) {
	time.Sleep(m.timing.settledIncarnationAge())
	l := &lostHosts{m: m}
	scenario(l)
	l.observe(25 * time.Second)
	for i, w := range l.waits {
		m.t.Logf("host %d: run again after %s", i, w.after)
		if w.after == 0 || w.after > lostLimit {
			m.t.Errorf("tasks of %s run again after %s, the limit is %s", w.host.name, w.after, lostLimit)
		}
	}
}

// Guards against a wait of LeaseHorizon for a host that was lost shortly before its leader.
func TestHostThatIsLostBeforeItsLeaderRunsAgainInTime(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, _ *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			l.lose(l.follower())
			l.observe(3 * time.Second)
			l.lose(l.m.nextLeader(l.hosts...))
		})
	})
}

// Guards against a wait of LeaseHorizon for the host of a leader that is lost before its own
// worker has reported to it.
func TestHostOfALeaderThatIsLostAtOnceRunsAgainInTime(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, _ *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			l.lose(l.follower())
			l.observe(2500 * time.Millisecond)
			l.lose(l.m.nextLeader(l.hosts...))
			l.lose(l.m.nextLeader(l.hosts...))
		})
	})
}

// Guards against a lease beyond the bound in the row, which the next leader counts by, for
// a worker that was lost and returns.
func TestLostWorkerThatReturnsGetsALeaseOnceItsBoundIsRemoved(t *testing.T) {
	runWithServices(t, 4, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		l := &lostHosts{m: m}
		h := l.follower()
		active := leader.node.activeLeader()
		boundOf := func() (end, now bootclock.Time) {
			active.runInLoop(context.Background(), func() { end, now = active.workers[h.name].boundEndsAt, active.o.Clock() })
			return end, now
		}
		h.setPartitioned(true)
		m.waitUntil("bounded", 4*time.Second, func() bool { end, _ := boundOf(); return end > 0 })
		time.Sleep(100 * time.Millisecond)
		h.setPartitioned(false)
		m.waitUntil("ready, with a lease", 2*time.Second, func() bool {
			end, now := boundOf()
			var left time.Duration
			active.runInLoop(context.Background(), func() { left = active.workers[h.name].leaseEndsAt.Sub(now) })
			return end == 0 && left > 4*time.Second
		})
	})
}

// Guards against a row that names a run as unsettled for long after the leader knows better, so that
// the next leader waits for LeaseHorizon if the host of the run is lost with this one.
func TestRowNamesNoRunAsUnsettledThatHasSettled(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		active := leader.node.activeLeader()
		count := func() (unsettled, named int) {
			active.runInLoop(context.Background(), func() { unsettled, named = active.unsettledStarts(), len(active.row.Unsettled) })
			return unsettled, named
		}
		for range 5 {
			m.waitAtWork(m.submitService(12, 50, 0, nil), time.Second)
			m.waitUntil("settled", 2*time.Second, func() bool { unsettled, _ := count(); return unsettled == 0 })
			m.waitUntil("the row names none", 60*time.Millisecond, func() bool { _, named := count(); return named == 0 })
			time.Sleep(m.durationBetween(0, DefaultCommitInterval))
		}
	})
}

// unsettledStarts returns the number of runs whose start is not settled.
func (l *leader) unsettledStarts() int {
	n := 0
	for _, w := range l.workers {
		for _, r := range w.runs {
			if !l.isStartSettled(w, r, l.o.Clock()) {
				n++
			}
		}
	}
	return n
}

// Guards against starts on the leader's host that its row names as unsettled until the runner's next
// list, so that the next leader waits for LeaseHorizon if the host is lost before.
func TestRowNamesNoStartOnTheLeadersHostOnceItIsAnswered(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		active := leader.node.activeLeader()
		for range 5 {
			before := len(leader.runner.Paces())
			m.submitService(12, 50, 0, nil)
			m.waitUntil("started", time.Second, func() bool { return len(leader.runner.Paces()) > before })
			m.waitUntil("the row names none", 60*time.Millisecond, func() bool {
				var named bool
				active.runInLoop(context.Background(), func() { named = active.rowNames(leader.name) })
				return !named
			})
			time.Sleep(m.durationBetween(0, DefaultCommitInterval))
		}
	})
}

// rowNames reports whether the stored row names a run on the worker as unsettled.
func (l *leader) rowNames(id structs.WorkerID) bool {
	return slices.ContainsFunc(l.workers[id].sortedRuns(), func(r *run) bool { return slices.Contains(l.row.Unsettled, r.id.String()) })
}
