package cell

import (
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/standin"

	"github.com/daisywall/daisywall/structs"
)

// fault is a kind of injected fault.
type fault string

const (
	faultKillAgent      fault = "kill"       // the agent process is killed and restarted
	faultFreeze         fault = "freeze"     // the agent process pauses and its runtime continues
	faultCutTable       fault = "cut table"  // the host can't reach the table
	faultSlowTable      fault = "slow table" // every table call of the host is slow
	faultTableOutage    fault = "table out"  // no host can reach the table
	faultIsolate        fault = "isolate"    // the host can't reach other hosts
	faultLoseResponses  fault = "lose"       // responses to the host's writes are lost
	faultDelayWrites    fault = "late write" // the host's writes take effect after their caller gave up
	faultDelayMessages  fault = "late mail"  // messages arrive after their sender gave up
	faultRestartRuntime fault = "runtime"    // the worker's runtime restarts
	faultRestartAgent   fault = "agent"      // the agent restarts and loses its state in memory
	faultFailPrograms   fault = "failing"    // every program on the host fails
	faultHostLeaving    fault = "leaving"    // the host announces a planned stop
	faultHostDown       fault = "host down"  // the host and its runtime are down
	faultCellDown       fault = "cell down"  // every host of cell a is cut off from the table and all other hosts
	faultDomainRace     fault = "domain"     // two operators take the failure domain out of service and return it at the same time
	faultCancelJob      fault = "cancel"     // the job is cancelled
)

// faultStep is a fault for a limited time on one member, or on the leading
// member.
type faultStep struct {
	fault       fault
	leader      bool
	member      int
	duration    time.Duration
	pauseBefore time.Duration // pause before the fault
}

func (s faultStep) String() string {
	return fmt.Sprintf("{%s leader=%t member=%d lasts=%v after=%v}", s.fault, s.leader, s.member, s.duration, s.pauseBefore)
}

func drawSteps(t *rapid.T, faults []fault) []faultStep {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	n := rapid.IntRange(2, 6).Draw(t, "steps")
	steps := make([]faultStep, n)
	for i := range steps {
		steps[i] = faultStep{
			fault:       rapid.SampledFrom(faults).Draw(t, "fault"),
			leader:      rapid.Bool().Draw(t, "leader"),
			member:      rapid.IntRange(0, 4).Draw(t, "member"),
			duration:    ms(50, 20_000, "lasts"),
			pauseBefore: ms(0, 6_000, "after"),
		}
	}
	return steps
}

// faultMixes maps the name of each kind of scenario to the faults that it
// draws from.
var faultMixes = map[string][]fault{
	"leader killed":                 {faultKillAgent, faultKillAgent, faultRestartAgent, faultLoseResponses},
	"leader paused and resumed":     {faultFreeze, faultFreeze, faultDelayMessages, faultKillAgent},
	"cut off from the table":        {faultCutTable, faultTableOutage, faultSlowTable, faultDelayWrites, faultFreeze},
	"cut off from members":          {faultIsolate, faultIsolate, faultRestartRuntime, faultCutTable},
	"two agents that act as leader": {faultFreeze, faultCutTable, faultIsolate, faultDelayWrites, faultDelayMessages},
	"lost answers":                  {faultLoseResponses, faultDelayWrites, faultKillAgent, faultCancelJob},
	"operators racing":              {faultDomainRace, faultDomainRace, faultDelayMessages, faultFreeze, faultCellDown},
	"hosts fail and return":         {faultHostDown, faultRestartRuntime, faultRestartAgent, faultFailPrograms, faultHostLeaving, faultDelayMessages},
}

func TestInvariantsHoldUnder(t *testing.T) {
	for name, faults := range faultMixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				steps := drawSteps(rt, faults)
				var err error
				synctest.Test(t, func(t *testing.T) { err = runScenario(t, steps) })
				if err != nil {
					rt.Fatalf("%v\n%v", err, steps)
				}
			})
		})
	}
}

// needsSecondCell reports whether the scenario may need a second cell.
func needsSecondCell(steps []faultStep) bool {
	return slices.ContainsFunc(steps, func(s faultStep) bool {
		return s.fault == faultDomainRace || s.fault == faultCellDown || s.fault == faultKillAgent && s.leader
	})
}

// finishLimit is the virtual time within which every job must be final after
// the faults have ended.
const finishLimit = 4 * time.Minute

// instances is the number of instances of the service.
const instances = 2

var errJobNotFinal = errors.New("a job is not final")

// runScenario runs two jobs while the faults occur, and checks the history.
func runScenario(t *testing.T, steps []faultStep) error {
	w := newSimulatedCluster(t, testTiming)
	defer w.close()
	w.addHosts("a", "north", 3)
	if needsSecondCell(steps) {
		w.addHosts("b", "south", 2)
	}
	time.Sleep(3 * time.Second) // lets the cells publish their summaries
	batch := w.submitJob("batch", structs.WorkBatch, 24)
	service := w.submitJob("service", structs.WorkService, instances)
	for i, s := range steps {
		time.Sleep(s.pauseBefore)
		w.injectFault(s, batch, int64(i))
	}
	time.Sleep(5 * time.Second)
	w.clearFaults()
	w.returnDomainToService("north")
	if status, done := w.waitForJob(batch, finishLimit); !done {
		return fmt.Errorf("%w: %+v", errJobNotFinal, status)
	}
	if !eventually(finishLimit, func() bool { return w.runningTasks(service) == instances }) {
		return fmt.Errorf("%w: service has %d instances", errJobNotFinal, w.runningTasks(service))
	}
	if err := w.jobs.Cancel(w.ctx, service); err != nil {
		return err
	}
	if status, done := w.waitForJob(service, finishLimit); !done {
		return fmt.Errorf("%w: %+v", errJobNotFinal, status)
	}
	return w.checkHistory()
}

// targetMember returns the member that the step applies to.
func (w *simulatedCluster) targetMember(s faultStep) *member {
	if s.leader {
		for _, m := range w.members {
			if _, leading := w.nodeOf(m).Leading(); leading && m.host.cell == "a" {
				return m
			}
		}
	}
	return w.members[s.member%len(w.members)]
}

// applyFor starts a fault now and ends it after the duration of the step.
func (w *simulatedCluster) applyFor(s faultStep, start, end func()) {
	start()
	w.goroutines.Go(func() {
		_ = sleep(w.ctx, s.duration)
		end()
	})
}

// injectFault starts a fault. It does not wait for the end of the fault.
func (w *simulatedCluster) injectFault(s faultStep, job structs.JobID, salt int64) {
	m := w.targetMember(s)
	h := m.host
	locked := func(change func()) func() {
		return func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			change()
		}
	}
	set := func(change func(p *faultyTable)) func() { return func() { m.table.set(change) } }
	switch s.fault {
	case faultKillAgent:
		if !w.killCandidate(m) {
			return
		}
		w.goroutines.Go(func() {
			_ = sleep(w.ctx, s.duration/4)
			if w.ctx.Err() == nil {
				h.restartAgent()
				w.startCandidate(m)
			}
		})
	case faultFreeze:
		w.applyFor(s, h.gate.freeze, h.gate.thaw)
	case faultCutTable:
		w.applyFor(s, set(func(p *faultyTable) { p.unreachable = true }), set(func(p *faultyTable) { p.unreachable = false }))
	case faultSlowTable:
		w.applyFor(s, set(func(p *faultyTable) { p.callDuration = s.duration / 8 }), set(func(p *faultyTable) { p.callDuration = 0 }))
	case faultTableOutage:
		w.applyFor(s, func() { w.table.Faults.Refuse(standin.EveryCall) }, func() { w.table.Faults.Refuse(0) })
	case faultIsolate:
		w.applyFor(s, locked(func() { h.isolated = true }), locked(func() { h.isolated = false }))
	case faultLoseResponses:
		m.table.set(func(p *faultyTable) { p.lostResponses += 1 + int(s.duration/(5*time.Second)) })
	case faultDelayWrites:
		w.applyFor(s, set(func(p *faultyTable) { p.writeDelay = s.duration / 3 }), set(func(p *faultyTable) { p.writeDelay = 0 }))
	case faultDelayMessages:
		w.delayMessages(s, salt)
	case faultRestartRuntime:
		h.restartRuntime()
	case faultRestartAgent:
		h.restartAgent()
	case faultFailPrograms:
		w.applyFor(s, locked(func() { h.failPrograms = true }), locked(func() { h.failPrograms = false }))
	case faultHostLeaving:
		w.applyFor(s, locked(func() { h.leaving = true }), locked(func() { h.leaving = false }))
	case faultHostDown:
		h.restartRuntime()
		w.applyFor(s, locked(func() { h.down = true }), locked(func() { h.down = false }))
	case faultCellDown:
		for _, other := range w.members {
			if other.host.cell == "a" {
				w.isolateFromAll(s, other)
			}
		}
	case faultDomainRace:
		w.raceOperators(s)
	case faultCancelJob:
		w.goroutines.Go(func() { _ = w.jobs.Cancel(w.ctx, job) })
	}
}

// isolateFromAll cuts a host off from the table and from all other hosts for
// the duration of the step.
func (w *simulatedCluster) isolateFromAll(s faultStep, m *member) {
	set := func(cut bool) func() {
		return func() {
			m.table.set(func(p *faultyTable) { p.unreachable = cut })
			m.host.mu.Lock()
			defer m.host.mu.Unlock()
			m.host.isolated = cut
		}
	}
	w.applyFor(s, set(true), set(false))
}

// delayMessages delays each of the next messages by a different time.
func (w *simulatedCluster) delayMessages(s faultStep, salt int64) {
	source := rand.New(rand.NewPCG(uint64(s.duration), uint64(salt)))
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 20 {
		w.messageDelays = append(w.messageDelays, time.Duration(source.Int64N(int64(s.duration/2)+1)))
	}
}

// raceOperators lets two operators change the failure domain at once from the
// same revision, and returns it to service later.
func (w *simulatedCluster) raceOperators(s faultStep) {
	before, err := w.domains.Get(w.ctx, "north")
	if err != nil {
		return
	}
	outcomes := make(chan error, 2)
	w.goroutines.Go(func() {
		row, err := w.domains.TakeOutOfService(w.ctx, "north", before.Revision, "ana", "maintenance")
		if err == nil {
			w.history.add(event{kind: eventOut, domain: row.ID})
		}
		outcomes <- err
	})
	w.goroutines.Go(func() {
		// The event is recorded before the call of ReturnToService, so that the
		// history never shows the failure domain as out of service while it is
		// in service.
		w.history.add(event{kind: eventIn, domain: "north"})
		_, err := w.domains.ReturnToService(w.ctx, "north", before.Revision, "ivo", "no maintenance")
		outcomes <- err
	})
	if first, second := <-outcomes, <-outcomes; first == nil && second == nil {
		w.t.Error("both operators succeeded with the same revision")
	}
	w.goroutines.Go(func() {
		_ = sleep(w.ctx, s.duration)
		w.returnDomainToService("north")
	})
}

// takeDomainOutOfService takes a failure domain out of service.
func (w *simulatedCluster) takeDomainOutOfService(id structs.FailureDomainID) error {
	row, err := w.domains.Get(w.ctx, id)
	if err != nil {
		return err
	}
	if _, err := w.domains.TakeOutOfService(w.ctx, id, row.Revision, "ana", "maintenance"); err != nil {
		return err
	}
	w.history.add(event{kind: eventOut, domain: id})
	return nil
}

// returnDomainToService returns a failure domain to service, even if other
// operators change it at the same time.
func (w *simulatedCluster) returnDomainToService(id structs.FailureDomainID) {
	for w.ctx.Err() == nil {
		row, err := w.domains.Get(w.ctx, id)
		if err == nil && row.State == structs.DomainIn {
			return
		}
		if err == nil {
			w.history.add(event{kind: eventIn, domain: id})
			if _, err = w.domains.ReturnToService(w.ctx, id, row.Revision, "ana", "done"); err == nil {
				return
			}
		}
		_ = sleep(w.ctx, time.Second)
	}
}
