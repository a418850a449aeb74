package soak

import (
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"sync"
	"syscall"
	"time"

	"github.com/daisywall/daisywall/standin"
)

// faultInjector injects a random series of overlapping faults. Each fault ends
// after its own duration.
type faultInjector struct {
	system       *testSystem
	rng          *rand.Rand
	startedAt    time.Time
	version      int
	activeFaults sync.WaitGroup // faults in progress

	mu          sync.Mutex
	trace       []string              // injected faults with their times
	replacing   map[*host]bool        // hosts that are being replaced
	away        int                   // hosts that stay away
	runnerIDs   int                   // number of IDs given to runners that have begun again
	begun       map[*host]runnerBegin // latest begin of a runner by restartRunnerAs
	youngStops  map[youngStop]int     // stops of agents whose runner had begun again at most maxRunnerAge before
	stops       int                   // planned stops of agents by replaceHost that have ended
	longestStop time.Duration         // longest time from SIGTERM to the end of the agent among them
}

func (f *faultInjector) record(format string, args ...any) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.trace = append(f.trace, time.Now().Format("05.000 ")+fmt.Sprintf(format, args...))
}

// run injects faults until d has passed since its start.
func (f *faultInjector) run(d time.Duration) {
	for time.Since(f.startedAt) < d {
		f.injectFault()
		time.Sleep(time.Duration(f.rng.IntN(600)) * time.Millisecond)
	}
}

// endAfter ends a fault after the given delay.
func (f *faultInjector) endAfter(d time.Duration, end func()) {
	f.activeFaults.Go(func() {
		time.Sleep(d)
		end()
	})
}

func (f *faultInjector) randomHost() *host   { return f.system.hosts[f.rng.IntN(len(f.system.hosts))] }
func (f *faultInjector) randomWorker() *host { return f.system.hosts[f.rng.IntN(workerCount)] }

func (f *faultInjector) randomDuration() time.Duration {
	return time.Duration(100+f.rng.IntN(int(maxFaultDuration.Milliseconds())-100)) * time.Millisecond
}

// injectFault injects one random fault.
func (f *faultInjector) injectFault() {
	actions := []func(){
		f.kill, f.kill, f.pause, f.terminate, f.reload, f.degradeLink, f.degradeLink, f.resetLink,
		f.isolateHost, f.degradeStore, f.degradeStore, f.loseHistory, f.crashRunner, f.restartRunner, f.leaveUnanswered, f.drainRunner, f.reconfigure,
	}
	actions[f.rng.IntN(len(actions))]()
}

// start starts a program again. The program was started before, so a failure is
// a violation.
func (f *faultInjector) start(h *host) {
	if err := h.process.start(); err != nil {
		f.system.checker.reportViolation("%v", err)
	}
}

func (f *faultInjector) kill() {
	h, down := f.randomHost(), time.Duration(f.rng.IntN(1500))*time.Millisecond
	f.record("kill %s, start it again after %s", h.name, down)
	f.activeFaults.Go(func() {
		h.process.stop(syscall.SIGKILL)
		time.Sleep(down)
		f.start(h)
	})
}

func (f *faultInjector) terminate() {
	h := f.randomHost()
	f.record("terminate %s", h.name)
	f.activeFaults.Go(func() {
		h.process.stop(syscall.SIGTERM)
		f.start(h)
	})
}

// leader returns the host that the leadership row names, nil if it names none.
func (f *faultInjector) leader() *host {
	rows, _ := f.system.store.List("daisywall-leader", "fleet-0")
	for _, row := range rows {
		var value struct {
			Address string `json:"address"`
		}
		if json.Unmarshal(row.Value, &value) != nil {
			continue
		}
		for _, h := range f.system.hosts[:workerCount] {
			if h.agentAddress == value.Address {
				return h
			}
		}
	}
	return nil
}

func (f *faultInjector) pause() {
	h, d := f.randomHost(), f.randomDuration()
	f.record("pause %s for %s", h.name, d)
	h.process.signal(syscall.SIGSTOP)
	f.endAfter(d, func() { h.process.signal(syscall.SIGCONT) })
}

// reload adds an unknown field to the settings file and sends SIGHUP.
func (f *faultInjector) reload() {
	h := f.randomHost()
	f.record("reload settings of %s", h.name)
	changed := map[string]any{"new_field": f.rng.IntN(100)}
	for k, v := range h.settings {
		changed[k] = v
	}
	document, err := json.Marshal(changed)
	if err == nil {
		err = h.process.configure(document)
	}
	if err != nil {
		f.system.checker.reportViolation("write settings of %s: %v", h.name, err)
	}
	h.process.signal(syscall.SIGHUP)
}

func (f *faultInjector) randomLink() *link {
	links := f.system.allLinks()
	return links[f.rng.IntN(len(links))]
}

func (f *faultInjector) degradeLink() {
	l, d := f.randomLink(), f.randomDuration()
	var fault linkFault
	switch f.rng.IntN(4) {
	case 0:
		fault.delay = time.Duration(20+f.rng.IntN(300)) * time.Millisecond
	case 1:
		fault.isDropping[toUpstream] = true
	case 2:
		fault.isDropping[fromUpstream] = true
	default:
		fault.isDropping = [2]bool{true, true}
	}
	f.record("degrade link to %s for %s: %+v", l.upstream, d, fault)
	l.setFault(fault)
	f.endAfter(d, func() { l.setFault(linkFault{}) })
}

func (f *faultInjector) resetLink() {
	l, silent := f.randomLink(), f.rng.IntN(2) == 0
	f.record("end connections to %s, silently: %v", l.upstream, silent)
	if silent {
		l.silenceAll()
	} else {
		l.resetAll()
	}
}

func (f *faultInjector) isolateHost() {
	h, d := f.randomHost(), f.randomDuration()
	f.record("isolate %s for %s", h.name, d)
	h.setIsolated(true)
	f.endAfter(d, func() { h.setIsolated(false) })
}

func (f *faultInjector) degradeStore() {
	modes := []standin.StoreMode{standin.StoreRefuses, standin.StoreUnresponsive, standin.StoreLosesReplies, standin.StoreCommitsLate}
	mode, d := modes[f.rng.IntN(len(modes))], f.randomDuration()
	hosts := []*host{f.randomHost()}
	if f.rng.IntN(3) == 0 {
		hosts = f.system.hosts
	}
	f.record("set store to mode %d for %d hosts (first %s) for %s", mode, len(hosts), hosts[0].name, d)
	for _, h := range hosts {
		h.storeClient.SetMode(mode)
	}
	f.endAfter(d, func() {
		for _, h := range hosts {
			h.storeClient.SetMode(standin.StoreServes)
		}
	})
}

func (f *faultInjector) loseHistory() {
	f.record("store loses its history")
	f.system.store.LoseHistory()
}

func (f *faultInjector) crashRunner() {
	h, d, silent := f.randomWorker(), f.randomDuration(), f.rng.IntN(2) == 0
	f.record("runner of %s crashes for %s, silently: %v", h.name, d, silent)
	h.runner.Crash(silent)
	f.endAfter(d, h.runner.Restart)
}

func (f *faultInjector) restartRunner() {
	h := f.randomWorker()
	f.record("runner of %s restarts", h.name)
	h.runner.Restart()
}

func (f *faultInjector) leaveUnanswered() {
	h, n := f.randomWorker(), 1+f.rng.IntN(3)
	f.record("runner of %s leaves %d starts unanswered", h.name, n)
	h.runner.WithholdStartReplies(n)
}

func (f *faultInjector) drainRunner() {
	h, d := f.randomWorker(), f.randomDuration()
	f.record("runner of %s drains for %s", h.name, d)
	h.runner.SetDraining(true)
	f.endAfter(d, func() {
		h.runner.Restart()
		h.runner.SetDraining(false)
	})
}

// reconfigure changes the configuration. In half of the cases it also drains a
// failure domain.
func (f *faultInjector) reconfigure() {
	f.version++
	var drained []string
	if f.rng.IntN(2) == 0 {
		drained = append(drained, domainName(f.rng.IntN(domainCount)))
	}
	f.record("apply configuration %d, drained %v", f.version+1, drained)
	if err := f.system.configure(f.version+1, drained); err != nil {
		f.system.checker.reportViolation("configure: %v", err)
	}
}

// heal ends all faults.
func (f *faultInjector) heal() {
	f.activeFaults.Wait()
	f.record("heal")
	for _, h := range f.system.hosts {
		h.setIsolated(false)
		h.storeClient.SetMode(standin.StoreServes)
		h.process.signal(syscall.SIGCONT)
		f.start(h)
		if h.runner == nil {
			continue
		}
		h.runner.WithholdStartReplies(0)
		if h.runner.IsCrashed() {
			h.runner.Restart()
		}
	}
	for _, l := range f.system.allLinks() {
		l.setFault(linkFault{})
	}
	if err := f.system.configure(f.version+2, nil); err != nil {
		f.system.checker.reportViolation("configure: %v", err)
	}
}
