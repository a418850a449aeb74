package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// identityInSettings returns what the settings of a host on the platform say of its runner.
func identityInSettings(h *simulatedHost) substrate.RunnerIdentity {
	return substrate.RunnerIdentity{Address: string(h.name), Pool: "pool"}
}

// Guards against tasks that run twice, because an agent takes another runner that reports to it
// for the one of its host.
func TestSecondRunnerThatReportsChangesNothing(t *testing.T) {
	t.Parallel()
	restartAgent := func(_ *simulatedFleet, h *simulatedHost) { h.killAgent(); h.startAgent() }
	restartAllAgents := func(f *simulatedFleet, _ *simulatedHost) { f.restartAgents() }
	for name, c := range map[string]struct {
		pool     structs.PoolID
		interval time.Duration
		trouble  func(f *simulatedFleet, h *simulatedHost) // nil without
	}{
		"pool that is not configured, agent restarts":             {"other", 1100 * time.Millisecond, restartAgent},
		"pool that is not configured, all agents restart":         {"other", 1100 * time.Millisecond, restartAllAgents},
		"pool that is not configured, reports more often":         {"other", 100 * time.Millisecond, nil},
		"pool that is not configured, often, all agents restart":  {"other", 100 * time.Millisecond, restartAllAgents},
		"configured pool at another address, agent restarts":      {"pool", 1100 * time.Millisecond, restartAgent},
		"configured pool at another address, reports more often":  {"pool", 100 * time.Millisecond, nil},
		"configured pool at another address, all agents restart":  {"pool", 1100 * time.Millisecond, restartAllAgents},
		"configured pool at another address, often, agent starts": {"pool", 100 * time.Millisecond, restartAgent},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.settings.set(identityInSettings)
				f.reportInterval.set(DefaultRunnerReportInterval)
				f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
				f.restartAgents() // with the settings
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 9)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 9 })
				h := f.followerHost()
				second := h.addSecondRunner(c.pool)
				if c.trouble != nil {
					h.setSilent(true) // the first report comes from the second runner
					c.trouble(f, h)
					h.announce(second.Report())
					time.Sleep(300 * time.Millisecond)
					h.setSilent(false)
				}
				for begun := time.Now(); time.Since(begun) < 12*time.Second; time.Sleep(c.interval) {
					h.announce(second.Report())
				}
				is.Equal(f.checker.StartsOfJob("a"), 9)
				is.Equal(f.checker.ActiveRuns(), 9)
				l := f.leaderHost().node.activeLeader()
				l.runInLoop(context.Background(), func() { is.Equal(l.workers[h.name].incarnation, h.runner.Info().Incarnation) })
			})
		})
	}
}

// Guards against an agent that refuses its runner for good, because its settings have changed
// without a signal.
func TestAgentReadsChangedSettingsOfItsRunner(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(f.t)
		f.settings.set(func(*simulatedHost) substrate.RunnerIdentity {
			return substrate.RunnerIdentity{Address: "old", Pool: "old"}
		})
		f.restartAgents()
		time.Sleep(2 * time.Second)
		is.Equal(f.readyWorkers(), 0)
		f.settings.set(identityInSettings)
		f.waitUntil("all workers ready", 4*time.Second, func() bool { return f.readyWorkers() == 3 })
	})
}
