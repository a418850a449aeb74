package worker

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// operation is one kind of step of a random history.
type operation string

const (
	opWait           operation = "wait"
	opAssign         operation = "assign"
	opRedeliver      operation = "repeat"  // deliver an earlier request again
	opStaleEpoch     operation = "old"     // a leader of an earlier epoch assigns
	opRaiseEpoch     operation = "leader"  // a leader of the next epoch takes over
	opSendAction     operation = "act"     // evict, cancel or forget
	opDisconnect     operation = "cut"     // the leader becomes unreachable
	opReconnect      operation = "join"    // the leader becomes reachable
	opRestartAgent   operation = "agent"   // the agent restarts
	opRestartRuntime operation = "runtime" // the runtime restarts
	opRefuseCalls    operation = "refuse"
	opLoseAnswer     operation = "lose"
	opIgnoreCalls    operation = "silence"
	opDelayCalls     operation = "delay"
	opPauseRuntime   operation = "freeze" // calls to the runtime wait, as if the agent had been frozen
)

var operations = []operation{
	opWait, opWait, opWait, opAssign, opAssign, opAssign, opAssign, opRedeliver, opStaleEpoch, opRaiseEpoch, opSendAction, opSendAction,
	opDisconnect, opReconnect, opRestartAgent, opRestartRuntime, opRefuseCalls, opLoseAnswer, opIgnoreCalls, opDelayCalls, opPauseRuntime,
}

// step is an operation with the parameters that it reads.
type step struct {
	op    operation
	task  int
	size  int64         // resources of an assignment in multiples of oneTask
	n     int           // number of calls, or index of a choice
	delay time.Duration // delay of a message, or duration of the step
}

func drawSteps(t *rapid.T) []step {
	return rapid.SliceOfN(rapid.Custom(func(t *rapid.T) step {
		return step{
			op:    rapid.SampledFrom(operations).Draw(t, "op"),
			task:  rapid.IntRange(0, 5).Draw(t, "task"),
			size:  rapid.Int64Range(1, 3).Draw(t, "size"),
			n:     rapid.IntRange(0, 4).Draw(t, "n"),
			delay: time.Duration(rapid.IntRange(0, 6000).Draw(t, "delay")) * time.Millisecond,
		}
	}), 10, 60).Draw(t, "steps")
}

// apply carries out one step.
func (m *modelLeader) apply(s step) {
	faults := &m.h.runtime.Faults
	switch s.op {
	case opWait:
		time.Sleep(s.delay)
	case opAssign:
		m.commitNextAttempt(s)
	case opRedeliver:
		m.redeliver(s)
	case opStaleEpoch:
		m.assignWithStaleEpoch(s)
	case opRaiseEpoch:
		m.raiseEpoch()
	case opSendAction:
		m.sendAction(s)
	case opDisconnect:
		m.setDisconnected(true)
		time.Sleep(2 * s.delay)
	case opReconnect:
		m.setDisconnected(false)
	case opRestartAgent:
		m.h.startAgent()
	case opRestartRuntime:
		m.h.runtime.Restart()
	case opRefuseCalls:
		faults.Refuse(s.n)
	case opLoseAnswer:
		faults.LoseAnswer(s.n)
	case opIgnoreCalls:
		faults.Silence(s.n)
	case opDelayCalls:
		faults.Delay(s.delay, s.n)
	case opPauseRuntime:
		faults.Pause()
		time.Sleep(s.delay)
		faults.Resume()
	}
}

// violations returns the rules that the recorded history breaks.
func (m *modelLeader) violations() []string {
	events := m.h.runtime.History().Events()
	var violations []string
	for _, v := range m.h.runtime.History().Violations() {
		violations = append(violations, v.String())
	}
	for _, v := range standin.CheckOneRun(events) {
		violations = append(violations, v.String())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Concat(violations, checkStarts(events, m.startDeadlines), checkLeases(events, m.lastResponseAt, batchLease))
}

// checkStarts returns the starts that are repeated, too late or not committed by
// any leader.
func checkStarts(events []standin.Event, startDeadlines map[structs.AttemptID]time.Time) []string {
	var violations []string
	seen := map[structs.AttemptID]bool{}
	for _, e := range events {
		if e.Kind != standin.EventStarted {
			continue
		}
		last, known := startDeadlines[e.Attempt]
		switch {
		case !known:
			violations = append(violations, fmt.Sprintf("%s started, and no leader committed it", e.Attempt))
		case e.At.After(last):
			violations = append(violations, fmt.Sprintf("%s started %s after its grant", e.Attempt, e.At.Sub(last)))
		case seen[e.Attempt]:
			violations = append(violations, fmt.Sprintf("%s started twice", e.Attempt))
		}
		seen[e.Attempt] = true
	}
	return violations
}

// checkLeases returns the runs that still run more than a lease after both the
// leader's last response and their own start.
func checkLeases(events []standin.Event, lastResponseAt time.Time, lease time.Duration) []string {
	running := map[structs.AttemptID]time.Time{}
	for _, e := range events {
		if e.Kind == standin.EventStarted {
			running[e.Attempt] = e.At
		} else {
			delete(running, e.Attempt)
		}
	}
	var violations []string
	for id, started := range running {
		last := lastResponseAt
		if started.After(last) {
			last = started
		}
		if over := time.Since(last) - lease; over > 0 {
			violations = append(violations, fmt.Sprintf("%s runs %s after its lease", id, over))
		}
	}
	return violations
}

// runHistory runs the steps against a new host and returns the broken rules and
// the events of the runtime. Before the agent starts, it calls injectFault.
func runHistory(t *testing.T, steps []step, injectFault func(h *testHost, m *modelLeader)) (violations []string, events []standin.Event) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.close()
		m := newModelLeader(h)
		injectFault(h, m)
		h.startAgent()
		time.Sleep(DefaultStartGrant + 2*time.Second)
		for _, s := range steps {
			m.apply(s)
			synctest.Wait()
			if violations = m.violations(); len(violations) > 0 {
				break
			}
		}
		h.runtime.Faults.Clear()
		m.setDisconnected(true)
		time.Sleep(10 * time.Second)
		m.deliveries.Wait()
		time.Sleep(batchLease)
		violations = append(violations, m.violations()...)
		events = h.runtime.History().Events()
	})
	return violations, events
}

func noFault(*testHost, *modelLeader) {}

// TestRandomHistoriesKeepInvariants applies random steps and faults to an agent. No
// attempt may start uncommitted, twice or after its grant, no task may run twice at
// a time, no run may outlive its lease and no host may exceed its capacity.
func TestRandomHistoriesKeepInvariants(t *testing.T) {
	seen := map[standin.EventKind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		violations, events := runHistory(t, drawSteps(rt), noFault)
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
		for _, e := range events {
			seen[e.Kind]++
		}
	})
	for _, kind := range []standin.EventKind{
		standin.EventStarted, standin.EventExited, standin.EventStopped, standin.EventLapsed, standin.EventLost,
	} {
		if seen[kind] == 0 {
			t.Errorf("no run %s in any history", kind)
		}
	}
}

// TestRandomHistoriesDetectInjectedFaults shows that the checks of random
// histories find faults in the agent or the leader.
func TestRandomHistoriesDetectInjectedFaults(t *testing.T) {
	cases := map[string]struct {
		injectFault func(h *testHost, m *modelLeader)
		want        string
	}{
		"a grant that lasts too long": {func(h *testHost, _ *modelLeader) {
			h.startGrant = 4 * DefaultStartGrant
		}, "after its grant"},
		"a ledger with more capacity than the host": {func(h *testHost, _ *modelLeader) {
			h.capacity = hostCapacity.Scale(2)
		}, "capacity broken"},
		"a lease that is too long": {func(h *testHost, m *modelLeader) {
			h.leader.responseHook = func(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
				resp.BatchLeaseMs *= 4
				return m.handleHeartbeat(req, resp)
			}
		}, "after its lease"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			steps := rapid.Custom(drawSteps)
			for seed := range 50 {
				violations, _ := runHistory(t, steps.Example(seed), c.injectFault)
				if strings.Contains(strings.Join(violations, "\n"), c.want) {
					return
				}
			}
			t.Fatalf("no history shows %q", c.want)
		})
	}
}

func TestCheckStartsDetectsInvalidStarts(t *testing.T) {
	now := time.Now()
	id := attemptOf("j", 1)
	start := func(at time.Time) standin.Event {
		return standin.Event{Kind: standin.EventStarted, At: at, Attempt: id}
	}
	committed := map[structs.AttemptID]time.Time{id: now}
	cases := map[string]struct {
		events         []standin.Event
		startDeadlines map[structs.AttemptID]time.Time
		violations     int
	}{
		"in time":         {[]standin.Event{start(now)}, committed, 0},
		"late":            {[]standin.Event{start(now.Add(1))}, committed, 1},
		"twice":           {[]standin.Event{start(now), start(now)}, committed, 1},
		"never committed": {[]standin.Event{start(now)}, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(checkStarts(c.events, c.startDeadlines)), c.violations)
		})
	}
}
