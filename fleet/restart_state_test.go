package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// TestNothingStartsOnAConfigurationThatIsTooOld guards against starts in a
// failure domain that was drained while the leader could not read it, because it
// was paused or had lost the operators' rows only.
func TestNothingStartsOnAConfigurationThatIsTooOld(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		f.config.setReadAt(time.Now().Add(-f.timing.MaxConfigAge))
		is.NoErr(f.submit(e, testJob("a", 6)))
		time.Sleep(2 * time.Second)
		is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "a"}), 0)
		f.config.setReadAt(time.Now())
		f.waitUntil("completed", 4*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}

// restartAgents kills all agents and starts them again.
func (f *simulatedFleet) restartAgents() {
	for _, h := range f.hosts {
		h.killAgent()
	}
	for _, h := range f.hosts {
		h.startAgent()
	}
}

func TestNothingStartsInADrainedDomainAfterAllAgentsHaveRestarted(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		f.config.drain("domain-0", "domain-1")
		f.restartAgents()
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		for i := range int32(6) {
			is.Equal(f.hosts[0].startsOf("a", i)+f.hosts[1].startsOf("a", i), 0)
		}
	})
}

// The new agent knows nothing of the runner before its next report.
func TestNothingStartsOnALeavingRunnerAfterItsAgentHasRestarted(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		leaving := f.followerHost()
		leaving.runner.SetDraining(true)
		time.Sleep(time.Second)
		leaving.killAgent()
		leaving.startAgent()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 6)))
		f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
		for i := range int32(6) {
			is.Equal(leaving.startsOf("a", i), 0)
		}
	})
}

// TestRunsAreOrderedOnceAroundAHandOver guards against orders of a leader whose
// leadership ended while it was cut off: agents follow the higher epoch, and the
// runners reject the fencing tokens of its sessions.
func TestRunsAreOrderedOnceAroundAHandOver(t *testing.T) {
	runInFleet(t, 4, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		old := f.leaderHost()
		is.NoErr(f.submit(e, testJob("a", 6)))
		old.setPartitioned(true)
		old.store.SetMode(standin.StoreUnresponsive)
		f.waitUntil("another leads", 4*time.Second, func() bool {
			return slices.ContainsFunc(f.hosts, func(h *simulatedHost) bool { return h != old && h.node.activeLeader() != nil })
		})
		old.setPartitioned(false) // both lead for a moment
		is.NoErr(f.submit(e, testJob("b", 6)))
		old.store.SetMode(standin.StoreServes)
		f.waitUntil("one leads", 6*time.Second, func() bool { return old.node.activeLeader() == nil })
		f.waitUntil("completed", 12*time.Second, func() bool {
			return f.phase(e, "a") == structs.JobCompleted && f.phase(e, "b") == structs.JobCompleted
		})
		for i := range int32(6) {
			is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "b", Index: i}), 1)
		}
	})
}

// TestWorkersFollowTheNextLeaderSoonAfterAllAgentsHaveRestarted guards against
// agents that wait for the time of a takeover although another node leads
// already. The first agents reach the former leader's restarted process, which
// does not lead.
func TestWorkersFollowTheNextLeaderSoonAfterAllAgentsHaveRestarted(t *testing.T) {
	runInFleet(t, 6, func(f *simulatedFleet) {
		f.waitReady()
		for range 5 {
			f.restartAgents()
			f.waitUntil("a leader", 4*time.Second, func() bool { return f.leaderHost() != nil })
			f.waitUntil("all workers are ready", 2*nextLeaderPoll+100*time.Millisecond, func() bool { return f.readyWorkers() == len(f.hosts) })
			time.Sleep(2 * time.Second)
		}
	})
}
