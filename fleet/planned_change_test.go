package fleet

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// startYoungRun starts a long-running task on the host.
func (m *mixedFleet) startYoungRun(h *simulatedHost) {
	m.t.Helper()
	before := len(h.runner.Paces())
	for range len(m.hosts) {
		m.waitAtWork(m.submitService(int32(len(m.hosts)), 50, 2, nil), 2*time.Second)
		if len(h.runner.Paces()) > before {
			return
		}
	}
	m.t.Fatalf("no young run on %s", h.name)
}

// Guards against a wait of LeaseHorizon for the host of a leader that stops by plan, since
// one of its long-running tasks has just started.
func TestLongRunningTasksOfALeaderThatStopsByPlanRunAgainInTime(t *testing.T) {
	for name, c := range map[string]struct {
		age          time.Duration // of the youngest run
		runnerLeaves bool
	}{
		"runner leaves":                  {1400 * time.Millisecond, true},
		"runner goes on":                 {1400 * time.Millisecond, false},
		"runner leaves, run not listed":  {0, true},
		"runner goes on, run not listed": {0, false},
	} {
		t.Run(name, func(t *testing.T) {
			runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
				checkRestarts(m, func(l *lostHosts) {
					m.startYoungRun(leader)
					time.Sleep(c.age)
					l.stop(leader, c.runnerLeaves)
				})
			})
		})
	}
}

// Guards against a wait of LeaseHorizon for a host that stops by plan just before the
// leader does.
func TestLongRunningTasksOfAHostThatStopsJustBeforeTheLeaderRunAgainInTime(t *testing.T) {
	runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			l.stop(l.follower(), false)
			l.observe(m.durationBetween(200*time.Millisecond, 1500*time.Millisecond))
			l.stop(leader, false)
		})
	})
}

// Guards against a wait for the leases of a runner that left during the takeover, since its
// agent stops before the next leader has read its state.
func TestRunnerThatLeavesWhileTheNextLeaderReadsForLongIsReported(t *testing.T) {
	runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			m.listDelay.Store(int64(430 * time.Millisecond)) // of each of two reads
			leaving := l.follower()
			l.stop(leader, false)
			l.observe(m.durationBetween(0, 200*time.Millisecond))
			leaving.node.MarkRunnerLeaving(string(leaving.name))
			l.expectRestarts(leaving)
			leaving.runner.Crash(false)
			l.observe(agentOutlivesRunner)
			m.streams.Go(leaving.stopAgent)
		})
	})
}

// Guards against a wait for the leases of a runner that left while there was no leader, since
// its agent stopped before one knew.
func TestRunnerThatLeavesWithItsAgentWhileNoNodeLeadsIsReported(t *testing.T) {
	runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			m.listDelay.Store(int64(430 * time.Millisecond)) // of each of two reads
			leaving := l.follower()
			leader.killAgent()
			time.Sleep(m.durationBetween(0, time.Second))
			l.stop(leaving, true)
			l.observe(2 * time.Second)
			leader.startAgent()
		})
	})
}

// Guards against takeovers without end while it takes longer to read the state than a
// leader may be silent.
func TestNextLeaderThatReadsItsStateForLongKeepsTheLeadership(t *testing.T) {
	runWithServices(t, 6, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		m.listDelay.Store(int64(900 * time.Millisecond)) // of each of two reads
		epoch := leader.node.lastKnownLeader().Epoch
		leader.killAgent()
		next := m.nextLeader(leader)
		if got := next.node.lastKnownLeader().Epoch; got != epoch+1 {
			m.t.Errorf("%s leads with epoch %d, the lost leader had %d", next.name, got, epoch)
		}
	})
}

// Guards against a leader that never hands over, since its process was told to stop while it
// took over.
func TestLongRunningTasksOfHostsThatStopBesideTheLeaderRunAgainInTime(t *testing.T) {
	for _, ms := range []int64{0, 400, 500} {
		after := time.Duration(ms) * time.Millisecond
		t.Run(after.String(), func(t *testing.T) {
			runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
				checkRestarts(m, func(l *lostHosts) {
					m.listDelay.Store(int64(150 * time.Millisecond))
					l.stop(leader, false)
					time.Sleep(after)
					for _, h := range m.randomHosts(9) {
						if h != leader {
							l.stop(h, false)
						}
					}
				})
			})
		})
	}
}

// Guards against an agent that stops after a leader has released the runs of its runner in
// memory only, and is lost before that is stored.
func TestAgentStopsOnlyOnceTheEndOfItsRunnerIsStored(t *testing.T) {
	runWithServices(t, 12, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		checkRestarts(m, func(l *lostHosts) {
			leaving := l.follower()
			leader.store.SetMode(standin.StoreUnresponsive)
			l.stop(leaving, true)
			l.observe(500 * time.Millisecond)
			cutOff(leader)
			l.hosts = append(l.hosts, leader)
		})
	})
}

// Guards against a wait of LeaseHorizon for a host that stops by plan, since its runner began
// a short time before.
func TestLongRunningTasksOnAYoungRunnerRunAgainInTimeAfterAPlannedStop(t *testing.T) {
	for name, c := range map[string]struct {
		age       time.Duration // of the runner at the stop
		keepsID   bool
		agentToo  bool // the agent restarts with the runner
		ofLeader  bool // of the host whose runner is young
		goesAfter time.Duration
	}{
		"leader, new ID":                         {age: 4800 * time.Millisecond, ofLeader: true},
		"leader, new ID, 3 s":                    {age: 3200 * time.Millisecond, ofLeader: true},
		"leader, new ID, 12 s":                   {age: 12 * time.Second, ofLeader: true},
		"leader, same ID":                        {age: 4800 * time.Millisecond, ofLeader: true, keepsID: true},
		"other host, new ID":                     {age: 4800 * time.Millisecond},
		"other host, same ID":                    {age: 4800 * time.Millisecond, keepsID: true},
		"other host, agent restarts too":         {age: 4800 * time.Millisecond, agentToo: true},
		"other host, new ID, stops after leader": {age: 4800 * time.Millisecond, goesAfter: time.Second},
	} {
		t.Run(name, func(t *testing.T) {
			runWithServices(t, 8, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
				checkRestarts(m, func(l *lostHosts) {
					h := leader
					if !c.ofLeader {
						h = l.follower()
					}
					m.replaceRunner(h, c.keepsID, c.agentToo)
					begun := time.Now()
					m.startYoungRun(h)
					time.Sleep(c.age - time.Since(begun))
					if h != leader {
						l.stop(leader, false)
						time.Sleep(c.goesAfter)
					}
					l.stop(h, false)
				})
			})
		})
	}
}

// replaceRunner ends the runner of the host without notice, and begins a new one 2 s later.
func (m *mixedFleet) replaceRunner(h *simulatedHost, keepsID, agentToo bool) {
	h.runner.Crash(false)
	if agentToo {
		h.killAgent()
	}
	time.Sleep(2 * time.Second)
	if keepsID {
		h.runner.Restart()
	} else {
		h.runner.RestartAs(string(h.name) + "-next")
	}
	if agentToo {
		h.startAgent()
	}
	m.waitUntil("the new runner is ready", 3*time.Second, func() bool { return m.readyWorkers() == len(m.hosts) })
}

// Guards against a wait of LeaseHorizon after the second of two planned changes of the leader, for a
// host whose agent or runner has restarted a short time before the first.
func TestLongRunningTasksOnAYoungRunnerRunAgainInTimeAfterASecondPlannedChange(t *testing.T) {
	for name, c := range map[string]struct {
		agent, keepsID, newID bool
		between               time.Duration
		ofLeader              bool
	}{
		"agent restarts":                    {agent: true, between: 3 * time.Second},
		"runner restarts, same ID":          {keepsID: true, between: 3 * time.Second},
		"runner restarts, new ID":           {newID: true, between: 3 * time.Second},
		"neither":                           {between: 3 * time.Second},
		"agent restarts, second after 5 s":  {agent: true, between: 5 * time.Second},
		"all agents restart, second leader": {agent: true, between: 3 * time.Second, ofLeader: true},
	} {
		t.Run(name, func(t *testing.T) {
			runWithServices(t, 8, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
				checkRestarts(m, func(l *lostHosts) {
					h := l.follower()
					restart := []*simulatedHost{h}
					if c.ofLeader {
						restart = nil
						for _, other := range m.hosts {
							if other != leader {
								restart = append(restart, other)
							}
						}
					}
					for _, h := range restart {
						switch {
						case c.agent:
							h.killAgent()
							time.Sleep(50 * time.Millisecond)
							h.startAgent()
						case c.keepsID:
							h.runner.Restart()
						case c.newID:
							h.runner.RestartAs(string(h.name) + "-next")
						}
					}
					time.Sleep(2 * time.Second)
					m.streams.Go(func() {
						leader.stopAgent()
						time.Sleep(200 * time.Millisecond)
						leader.startAgent()
					})
					next := m.nextLeader(leader)
					begun := time.Now()
					if c.ofLeader {
						h = next
					}
					time.Sleep(1500 * time.Millisecond)
					m.startYoungRun(h)
					time.Sleep(c.between - time.Since(begun))
					next = m.nextLeader()
					if next != h {
						l.stop(next, false)
					}
					l.stop(h, false)
				})
			})
		})
	}
}

// Guards against an agent that stops once a leader has answered its list which has been replaced
// meanwhile, so that the next leader waits for runs that have settled since the last row.
func TestAgentThatStopsDuringATakeoverReportsToTheNextLeader(t *testing.T) {
	runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		others := slices.DeleteFunc(slices.Clone(m.hosts), func(h *simulatedHost) bool { return h == leader })
		leaving, staying := others[:8], others[8:]
		epoch := leader.node.lastKnownLeader().Epoch
		var stops errgroup.Group
		for i, h := range leaving {
			stops.Go(func() error {
				time.Sleep(time.Duration(i) * 50 * time.Millisecond)
				h.node.Leave(context.Background())
				return checkListedByNext(staying, epoch, h)
			})
		}
		time.Sleep(400 * time.Millisecond) // so that none of them takes over
		m.streams.Go(leader.stopAgent)
		if err := stops.Wait(); err != nil {
			m.t.Error(err)
		}
	})
}

// checkListedByNext returns an error if one of the hosts leads with a later epoch and has no list of
// the runs on h.
func checkListedByNext(hosts []*simulatedHost, epoch int64, h *simulatedHost) error {
	for _, next := range hosts {
		l := next.node.activeLeader()
		if l == nil || l.epoch <= epoch {
			continue
		}
		var listedAt bootclock.Time
		l.runInLoop(context.Background(), func() { listedAt = l.workerByID(h.name).listedAt })
		if listedAt == 0 {
			return fmt.Errorf("the agent of %s leaves, and %s leads and has no list of it", h.name, next.name)
		}
	}
	return nil
}

// Guards against an agent that stops and does not ask the next leader again soon after that has read
// its state, so that no leader learns that the runner has left.
func TestAgentThatStopsAttendsALeaderThatHasReadItsState(t *testing.T) {
	runWithServices(t, 17, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		m.listDelay.Store(int64(430 * time.Millisecond)) // of each of two reads
		m.streams.Go(leader.stopAgent)
		m.waitUntil("a takeover begins", time.Second, func() bool {
			return slices.ContainsFunc(m.hosts, func(h *simulatedHost) bool { return h != leader && h.node.takesOver() })
		})
		time.Sleep(50 * time.Millisecond) // so that only the next leader still takes over
		leaving := m.hosts[slices.IndexFunc(m.hosts, func(h *simulatedHost) bool { return h != leader && !h.node.takesOver() })]
		leaving.runner.Crash(false)
		m.streams.Go(leaving.stopAgent)
		next := m.nextLeader(leader).node.activeLeader()
		m.waitUntil("attends", nextLeaderPoll+200*time.Millisecond, func() bool {
			var attends bool
			next.runInLoop(context.Background(), func() { attends = next.workerByID(leaving.name).attachedAt > 0 })
			return attends
		})
	})
}

// takesOver reports whether the node tries to become the leader.
func (n *Node) takesOver() bool {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.takeover != nil
}
