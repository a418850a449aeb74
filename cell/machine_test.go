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

// fault is one step of a scenario.
type fault string

const (
	faultKill      fault = "kill"       // the agent process dies and starts again
	faultFreeze    fault = "freeze"     // the process is paused, its runtime goes on
	faultCutTable  fault = "cut table"  // the host can't reach the table
	faultSlowTable fault = "slow table" // every call of the host to the table takes long
	faultTableOut  fault = "table out"  // no host can
	faultIsolate   fault = "isolate"    // the host can't reach other hosts
	faultLose      fault = "lose"       // answers to writes are lost
	faultLateWrite fault = "late write" // writes take effect after their caller gave up
	faultLateMail  fault = "late mail"  // messages arrive after their sender gave up
	faultRuntime   fault = "runtime"    // the worker's runtime restarts
	faultAgent     fault = "agent"      // the agent forgets what it knew
	faultFailing   fault = "failing"    // every program on the host fails
	faultLeaving   fault = "leaving"    // the host announces a planned stop
	faultHostDown  fault = "host down"  // the host with its runtime is gone for a while
	faultCellDown  fault = "cell down"  // every host of the cell is cut off from all
	faultDomain    fault = "domain"     // racing operators take the failure domain out and in
	faultCancel    fault = "cancel"     // the job is cancelled
)

// step is a fault on one member, or on the member that leads, for a while.
type step struct {
	fault  fault
	leader bool
	member int
	lasts  time.Duration
	after  time.Duration // pause before it
}

func (s step) String() string {
	return fmt.Sprintf("{%s leader=%t member=%d lasts=%v after=%v}", s.fault, s.leader, s.member, s.lasts, s.after)
}

func drawSteps(t *rapid.T, faults []fault) []step {
	ms := func(low, high int, label string) time.Duration {
		return time.Duration(rapid.IntRange(low, high).Draw(t, label)) * time.Millisecond
	}
	n := rapid.IntRange(2, 6).Draw(t, "steps")
	steps := make([]step, n)
	for i := range steps {
		steps[i] = step{
			fault:  rapid.SampledFrom(faults).Draw(t, "fault"),
			leader: rapid.Bool().Draw(t, "leader"),
			member: rapid.IntRange(0, 4).Draw(t, "member"),
			lasts:  ms(50, 20_000, "lasts"),
			after:  ms(0, 6_000, "after"),
		}
	}
	return steps
}

// mixes are the faults that a scenario of each kind draws from.
var mixes = map[string][]fault{
	"leader killed":           {faultKill, faultKill, faultAgent, faultLose},
	"leader frozen and woken": {faultFreeze, faultFreeze, faultLateMail, faultKill},
	"cut from the table":      {faultCutTable, faultTableOut, faultSlowTable, faultLateWrite, faultFreeze},
	"cut from members":        {faultIsolate, faultIsolate, faultRuntime, faultCutTable},
	"two who both believe":    {faultFreeze, faultCutTable, faultIsolate, faultLateWrite, faultLateMail},
	"lost answers":            {faultLose, faultLateWrite, faultKill, faultCancel},
	"operators racing":        {faultDomain, faultDomain, faultLateMail, faultFreeze, faultCellDown},
	"hosts come and go":       {faultHostDown, faultRuntime, faultAgent, faultFailing, faultLeaving, faultLateMail},
}

func TestInvariantsHoldUnder(t *testing.T) {
	for name, faults := range mixes {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			rapid.Check(t, func(rt *rapid.T) {
				steps := drawSteps(rt, faults)
				var err error
				synctest.Test(t, func(t *testing.T) { err = scenario(t, steps) })
				if err != nil {
					rt.Fatalf("%v\n%v", err, steps)
				}
			})
		})
	}
}

// usesNeighbour reports whether the scenario may need a second cell.
func usesNeighbour(steps []step) bool {
	return slices.ContainsFunc(steps, func(s step) bool {
		return s.fault == faultDomain || s.fault == faultCellDown || s.fault == faultKill && s.leader
	})
}

// settleLimit is the virtual time within which every job ends once the faults
// are over.
const settleLimit = 4 * time.Minute

// instances is the number of instances of the service.
const instances = 2

var errUnsettled = errors.New("a job did not end")

// scenario runs two jobs through the faults and checks the history.
func scenario(t *testing.T, steps []step) error {
	w := newWorld(t, testTiming)
	defer w.close()
	w.add("a", "north", 3)
	if usesNeighbour(steps) {
		w.add("b", "south", 2)
	}
	time.Sleep(3 * time.Second) // the cells publish their summaries
	batch := w.submit("batch", structs.WorkBatch, 24)
	service := w.submit("service", structs.WorkService, instances)
	for i, s := range steps {
		time.Sleep(s.after)
		w.inject(s, batch, int64(i))
	}
	time.Sleep(5 * time.Second)
	w.heal()
	w.domainIn("north")
	if status, done := w.settled(batch, settleLimit); !done {
		return fmt.Errorf("%w: %+v", errUnsettled, status)
	}
	if !eventually(settleLimit, func() bool { return w.running(service) == instances }) {
		return fmt.Errorf("%w: service has %d instances", errUnsettled, w.running(service))
	}
	if err := w.jobs.Cancel(w.ctx, service); err != nil {
		return err
	}
	if status, done := w.settled(service, settleLimit); !done {
		return fmt.Errorf("%w: %+v", errUnsettled, status)
	}
	return w.verdict()
}

// target returns the member that a step is for.
func (w *world) target(s step) *member {
	if s.leader {
		for _, m := range w.members {
			if _, leading := w.nodeOf(m).Leading(); leading && m.host.cell == "a" {
				return m
			}
		}
	}
	return w.members[s.member%len(w.members)]
}

// during starts a fault now and ends it when the step's time is over.
func (w *world) during(s step, start, end func()) {
	start()
	w.work.Go(func() {
		_ = sleep(w.ctx, s.lasts)
		end()
	})
}

// inject brings a fault about. It does not wait for its end.
func (w *world) inject(s step, job structs.JobID, salt int64) {
	m := w.target(s)
	h := m.host
	locked := func(change func()) func() {
		return func() {
			h.mu.Lock()
			defer h.mu.Unlock()
			change()
		}
	}
	set := func(change func(p *port)) func() { return func() { m.port.set(change) } }
	switch s.fault {
	case faultKill:
		if !w.kill(m) {
			return
		}
		w.work.Go(func() {
			_ = sleep(w.ctx, s.lasts/4)
			if w.ctx.Err() == nil {
				h.restartAgent()
				w.boot(m)
			}
		})
	case faultFreeze:
		w.during(s, h.gate.freeze, h.gate.thaw)
	case faultCutTable:
		w.during(s, set(func(p *port) { p.cut = true }), set(func(p *port) { p.cut = false }))
	case faultSlowTable:
		w.during(s, set(func(p *port) { p.slow = s.lasts / 8 }), set(func(p *port) { p.slow = 0 }))
	case faultTableOut:
		w.during(s, func() { w.table.Faults.Refuse(standin.Every) }, func() { w.table.Faults.Refuse(0) })
	case faultIsolate:
		w.during(s, locked(func() { h.isolated = true }), locked(func() { h.isolated = false }))
	case faultLose:
		m.port.set(func(p *port) { p.lose += 1 + int(s.lasts/(5*time.Second)) })
	case faultLateWrite:
		w.during(s, set(func(p *port) { p.delay = s.lasts / 3 }), set(func(p *port) { p.delay = 0 }))
	case faultLateMail:
		w.lateMail(s, salt)
	case faultRuntime:
		h.restartRuntime()
	case faultAgent:
		h.restartAgent()
	case faultFailing:
		w.during(s, locked(func() { h.fail = true }), locked(func() { h.fail = false }))
	case faultLeaving:
		w.during(s, locked(func() { h.leaving = true }), locked(func() { h.leaving = false }))
	case faultHostDown:
		h.restartRuntime()
		w.during(s, locked(func() { h.down = true }), locked(func() { h.down = false }))
	case faultCellDown:
		for _, other := range w.members {
			if other.host.cell == "a" {
				w.cutOff(s, other)
			}
		}
	case faultDomain:
		w.race(s)
	case faultCancel:
		w.work.Go(func() { _ = w.jobs.Cancel(w.ctx, job) })
	}
}

func (w *world) cutOff(s step, m *member) {
	set := func(cut bool) func() {
		return func() {
			m.port.set(func(p *port) { p.cut = cut })
			m.host.mu.Lock()
			defer m.host.mu.Unlock()
			m.host.isolated = cut
		}
	}
	w.during(s, set(true), set(false))
}

// lateMail delays the next messages, each by another time.
func (w *world) lateMail(s step, salt int64) {
	source := rand.New(rand.NewPCG(uint64(s.lasts), uint64(salt)))
	w.mu.Lock()
	defer w.mu.Unlock()
	for range 20 {
		w.delays = append(w.delays, time.Duration(source.Int64N(int64(s.lasts/2)+1)))
	}
}

// race lets two operators decide at once from the same reading, and brings the
// failure domain back later.
func (w *world) race(s step) {
	before, err := w.domains.Get(w.ctx, "north")
	if err != nil {
		return
	}
	won := make(chan error, 2)
	w.work.Go(func() {
		row, err := w.domains.Out(w.ctx, "north", before.Revision, "ana", "maintenance")
		if err == nil {
			w.history.add(event{kind: eventOut, domain: row.ID})
		}
		won <- err
	})
	w.work.Go(func() {
		// The entry of an operator's In comes first, so that the record never
		// shows a failure domain as out that is in.
		w.history.add(event{kind: eventIn, domain: "north"})
		_, err := w.domains.In(w.ctx, "north", before.Revision, "ivo", "no maintenance")
		won <- err
	})
	if first, second := <-won, <-won; first == nil && second == nil {
		w.t.Error("both operators won")
	}
	w.work.Go(func() {
		_ = sleep(w.ctx, s.lasts)
		w.domainIn("north")
	})
}

// out takes a failure domain out.
func (w *world) out(id structs.FailureDomainID) error {
	row, err := w.domains.Get(w.ctx, id)
	if err != nil {
		return err
	}
	if _, err := w.domains.Out(w.ctx, id, row.Revision, "ana", "maintenance"); err != nil {
		return err
	}
	w.history.add(event{kind: eventOut, domain: id})
	return nil
}

// domainIn brings a failure domain in, whoever else decides meanwhile.
func (w *world) domainIn(id structs.FailureDomainID) {
	for w.ctx.Err() == nil {
		row, err := w.domains.Get(w.ctx, id)
		if err == nil && row.State == structs.DomainIn {
			return
		}
		if err == nil {
			w.history.add(event{kind: eventIn, domain: id})
			if _, err = w.domains.In(w.ctx, id, row.Revision, "ana", "done"); err == nil {
				return
			}
		}
		_ = sleep(w.ctx, time.Second)
	}
}
