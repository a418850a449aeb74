package fleet

import (
	"cmp"
	"flag"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisywall/daisywall/structs"
)

var (
	departureFirst = flag.Uint64("fleet.departures.first", 0, "first seed of the tests of departures")
	departureSeeds = flag.Int("fleet.departures.seeds", 6, "seeds of the tests of departures with 17 hosts; CI runs the default")
	departureLarge = flag.Int("fleet.departures.large", 1, "seeds of the tests of departures with 73 hosts; CI runs the default")
)

// departureKind is the way in which a host departs for good.
type departureKind string

const (
	runnerLeaves      departureKind = "stops as planned, runner leaves at once"
	runnerLeavesFirst departureKind = "stops as planned, runner leaves before the agent"
	runnerGoesOn      departureKind = "stops as planned, runner goes on"
	runnerCrashes     departureKind = "runner crashes, agent stays"
	hostLost          departureKind = "host is lost"
	hostCutOff        departureKind = "host is cut off, runner goes on"
)

// departureKinds are the kinds that a test draws from.
type departureKinds struct{ ofLeader, ofOthers []departureKind }

var (
	plannedDepartures = departureKinds{
		ofLeader: []departureKind{runnerLeaves, runnerGoesOn},
		ofOthers: []departureKind{runnerLeaves, runnerLeavesFirst, runnerGoesOn, runnerCrashes},
	}
	allDepartures = departureKinds{
		ofLeader: []departureKind{runnerLeaves, runnerGoesOn, hostLost, hostCutOff},
		ofOthers: []departureKind{runnerLeaves, runnerLeavesFirst, runnerGoesOn, runnerCrashes, hostLost, hostCutOff},
	}
)

// Parameters of the departures.
const (
	firstChangeAt     = 5 * time.Second // leaves room for the departures and young runs before it
	leastChangeDelay  = 500 * time.Millisecond
	mostChangeDelay   = 6 * time.Second
	mostDepartedBy    = 2 * time.Second // between a change of the leader and a departure around it
	mostYoungAge      = 2 * time.Second // of the young runs at a departure
	mostListDelay     = 450 * time.Millisecond
	noLeaderLimit     = 15 * time.Second
	observedFor       = 25 * time.Second // after the last event
	departureCPU      = 40               // thousandths of a processor of each task
	departureMemoryMB = 100              // of each task, as newJob sets it
)

// departureEvent is a departure, or a submission of a job whose runs are young at one.
type departureEvent struct {
	at       time.Duration
	kind     departureKind // "" for a submission
	ofLeader bool
	pick     int // selects the host that departs
}

// departurePlan is a random series of changes of the leader, with departures around them.
type departurePlan struct {
	events    []departureEvent // by time
	listDelay time.Duration
}

func newDeparturePlan(seed uint64, kinds departureKinds) departurePlan {
	rng := rand.New(rand.NewPCG(seed, 2))
	between := func(low, high time.Duration) time.Duration {
		return low + time.Duration(rng.Int64N(int64(high-low)+1))
	}
	var p departurePlan
	add := func(e departureEvent) {
		if rng.IntN(2) == 0 {
			p.events = append(p.events, departureEvent{at: e.at - between(0, mostYoungAge)})
		}
		p.events = append(p.events, e)
	}
	at := firstChangeAt
	for range 1 + rng.IntN(3) {
		add(departureEvent{at: at, kind: kinds.ofLeader[rng.IntN(len(kinds.ofLeader))], ofLeader: true})
		for range 1 + rng.IntN(3) {
			add(departureEvent{
				at: at + between(-mostDepartedBy, mostDepartedBy), kind: kinds.ofOthers[rng.IntN(len(kinds.ofOthers))], pick: rng.IntN(1 << 20),
			})
		}
		at += between(leastChangeDelay, mostChangeDelay)
	}
	slices.SortStableFunc(p.events, func(a, b departureEvent) int { return cmp.Compare(a.at, b.at) })
	if rng.IntN(3) > 0 {
		p.listDelay = between(0, mostListDelay)
	}
	return p
}

// departures plays a plan and observes when the long-running tasks of departed hosts run
// on other hosts.
type departures struct {
	m        *mixedFleet
	begun    time.Time
	departed map[*simulatedHost]bool
	stopped  map[*simulatedHost]bool // whose agent stops or is out of reach
	seen     map[structs.RunID]bool  // runs on departed hosts
	waiting  map[structs.StepTaskID]departedTask
	late     []string
	longest  time.Duration
	trace    []string
}

// departedTask is a task that does not run on a host that stays.
type departedTask struct {
	host  *simulatedHost // of the last run
	since time.Time      // the departure of the host, or the start of the run if it is later
}

func (d *departures) record(format string, args ...any) {
	d.trace = append(d.trace, fmt.Sprintf("%7.3f (%s) ", time.Since(d.begun).Seconds(), time.Now().Format("04:05.000"))+fmt.Sprintf(format, args...))
}

// sample ends the waits for the tasks that run on hosts that stay. A run that starts on a
// host after its departure begins a new wait.
func (d *departures) sample() {
	for _, h := range d.m.hosts {
		for run := range h.runner.Paces() {
			switch {
			case !d.departed[h]:
				d.endWait(run.Task)
			case !d.seen[run]:
				d.record("%s starts on %s after its departure", run, h.name)
				d.beginWait(run, h)
			}
		}
	}
}

func (d *departures) beginWait(run structs.RunID, h *simulatedHost) {
	d.endWait(run.Task)
	d.seen[run] = true
	d.waiting[run.Task] = departedTask{host: h, since: time.Now()}
}

func (d *departures) endWait(id structs.StepTaskID) {
	w, found := d.waiting[id]
	if !found {
		return
	}
	delete(d.waiting, id)
	after := time.Since(w.since)
	d.longest = max(d.longest, after)
	if after > lostLimit {
		d.late = append(d.late, fmt.Sprintf("%s of %s runs again after %s, the limit is %s", id, w.host.name, after, lostLimit))
	}
}

// observe samples until the given time since the begin of the plan, and ends earlier if
// ok is true.
func (d *departures) observe(until time.Duration, ok func() bool) {
	for {
		d.sample()
		left := until - time.Since(d.begun)
		if left <= 0 || ok() {
			return
		}
		time.Sleep(min(left, 20*time.Millisecond))
	}
}

// leader returns the host that leads, of those whose agents are not stopped.
func (d *departures) leader() *simulatedHost {
	for _, h := range d.m.hosts {
		if node := d.nodeOf(h); node != nil && !d.stopped[h] && node.activeLeader() != nil {
			return h
		}
	}
	return nil
}

func (d *departures) nodeOf(h *simulatedHost) *Node {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node
}

// hostOf returns the host to which the event applies, nil if the leader is to change and
// none leads.
func (d *departures) hostOf(e departureEvent) *simulatedHost {
	leader := d.leader()
	if e.ofLeader {
		return leader
	}
	var others []*simulatedHost
	for _, h := range d.m.hosts {
		if !d.departed[h] && h != leader {
			others = append(others, h)
		}
	}
	return others[e.pick%len(others)]
}

// playAll plays the events in turn. A change of the leader that is due while no host leads
// applies to the next leader, and delays no other event.
func (d *departures) playAll(events []departureEvent) {
	var changes []departureEvent // that are due
	hasChange := func() bool { return len(changes) > 0 && d.leader() != nil }
	change := func(until time.Duration) {
		for d.observe(until, hasChange); hasChange(); d.observe(until, hasChange) {
			d.play(changes[0])
			changes = changes[1:]
		}
	}
	for _, e := range events {
		change(e.at)
		if e.ofLeader {
			changes = append(changes, e)
			continue
		}
		d.play(e)
	}
	change(time.Since(d.begun))
	for begun := time.Now(); len(changes) > 0; change(time.Since(d.begun) + time.Second) {
		if time.Since(begun) > noLeaderLimit {
			d.m.t.Fatalf("no host has led for %s", noLeaderLimit)
		}
	}
}

func (d *departures) play(e departureEvent) {
	if e.kind == "" {
		d.record("a job of young long-running tasks is submitted")
		d.m.submitInBackground(d.m.newJob(servicePrefix, int32(len(d.m.hosts)), mixedWork{step: structs.Step{
			Resources: structs.Resources{MilliCPU: departureCPU}, LongRunning: true,
		}}), func() {})
		return
	}
	h := d.hostOf(e)
	d.sample() // so that tasks which have just started on the host have run again
	runs := h.runner.Paces()
	d.record("%s: %s (leads: %t, %d long-running tasks)", h.name, e.kind, e.ofLeader, len(runs))
	d.departed[h], d.stopped[h] = true, d.stopped[h] || e.kind != runnerCrashes
	for run := range runs {
		d.beginWait(run, h)
	}
	d.depart(h, e.kind)
}

func (d *departures) depart(h *simulatedHost, kind departureKind) {
	switch kind {
	case runnerLeaves:
		h.runner.Crash(false)
		d.m.streams.Go(h.stopAgent)
	case runnerLeavesFirst:
		d.nodeOf(h).MarkRunnerLeaving(string(h.name))
		h.runner.Crash(false)
		d.m.streams.Go(func() {
			time.Sleep(agentOutlivesRunner)
			h.stopAgent()
		})
	case runnerGoesOn:
		d.m.streams.Go(h.stopAgent)
	case runnerCrashes:
		h.runner.Crash(false)
	case hostLost:
		loseHost(h)
	case hostCutOff:
		cutOff(h)
	}
}

// check reports the tasks that ran again too late or not at all.
func (d *departures) check(seed uint64) {
	for id, w := range d.waiting {
		d.late = append(d.late, fmt.Sprintf("%s of %s does not run again within %s, its job is %q",
			id, w.host.name, time.Since(w.since), d.m.phase(d.m.entry, string(id.Job))))
	}
	slices.Sort(d.late)
	for _, line := range d.late {
		d.m.t.Error(line)
	}
	d.m.checkGuarantees()
	d.m.t.Logf("longest wait %s", d.longest)
	if d.m.t.Failed() {
		d.m.t.Logf("seed %d, each read of the state takes %s, events by seconds since the begin (and by the clock of the logs):",
			seed, time.Duration(d.m.listDelay.Load()))
		for _, line := range d.trace {
			d.m.t.Log(line)
		}
	}
}

// checkRoom fails the test unless the hosts that stay hold one and a half times the tasks
// of the plan, so that no task waits for room.
func (p departurePlan) checkRoom(t *testing.T, hosts int) {
	t.Helper()
	jobs, staying := 2, int64(hosts) // the first job has two tasks for each host
	for _, e := range p.events {
		if e.kind == "" {
			jobs++
		} else {
			staying--
		}
	}
	tasks := int64(jobs * hosts)
	need := structs.Resources{MilliCPU: tasks * departureCPU * 3 / 2, MemoryMB: tasks * departureMemoryMB * 3 / 2}
	if need.MilliCPU > staying*testCapacity.MilliCPU || need.MemoryMB > staying*testCapacity.MemoryMB {
		t.Fatalf("too little room for %d tasks on %d hosts that stay", tasks, staying)
	}
}

func runDepartures(t *testing.T, hosts int, seed uint64, kinds departureKinds) {
	synctest.Test(t, func(t *testing.T) {
		plan := newDeparturePlan(seed, kinds)
		plan.checkRoom(t, hosts)
		m := newMixedFleet(t, hosts, seed)
		defer m.close()
		m.waitAtWork(m.submitService(int32(2*hosts), departureCPU, 0, nil), m.timing.RestartLimit)
		time.Sleep(m.timing.settledIncarnationAge() + m.durationBetween(0, time.Second))
		m.listDelay.Store(int64(plan.listDelay))
		d := &departures{
			m: m, begun: time.Now(), departed: map[*simulatedHost]bool{}, stopped: map[*simulatedHost]bool{},
			seen: map[structs.RunID]bool{}, waiting: map[structs.StepTaskID]departedTask{},
		}
		d.playAll(plan.events)
		d.observe(time.Since(d.begun)+m.timing.MaxLease, func() bool { return false })
		d.observe(time.Since(d.begun)+observedFor-m.timing.MaxLease, func() bool { return len(d.waiting) == 0 })
		d.check(seed)
	})
}

func runDepartureSeeds(t *testing.T, kinds departureKinds) {
	for _, size := range []struct{ hosts, seeds int }{{17, *departureSeeds}, {73, *departureLarge}} {
		for i := range size.seeds {
			seed := *departureFirst + uint64(i)
			t.Run(fmt.Sprintf("%d hosts/%d", size.hosts, seed), func(t *testing.T) { runDepartures(t, size.hosts, seed, kinds) })
		}
	}
}

// Guards against waits for leases, after planned changes of the leader, of hosts that stop
// or whose runners crash around them, and against second runs of their tasks.
func TestHostsThatLeaveAroundAPlannedChangeOfTheLeaderRunAgainInTime(t *testing.T) {
	runDepartureSeeds(t, plannedDepartures)
}

// Guards against waits for leases that grow with each change of the leader of hosts that
// are lost around them, and against second runs of their tasks.
func TestHostsThatAreLostAroundAChangeOfTheLeaderRunAgainInTime(t *testing.T) {
	runDepartureSeeds(t, allDepartures)
}
