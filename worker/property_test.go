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
	opWait        operation = "wait"
	opAssign      operation = "assign"
	opRepeat      operation = "repeat"  // deliver an earlier request again
	opOldLeader   operation = "old"     // a fenced leader assigns
	opNewLeader   operation = "leader"  // the next epoch
	opAct         operation = "act"     // evict, cancel or forget
	opCut         operation = "cut"     // the leader is unreachable from now on
	opJoin        operation = "join"    // the leader is reachable
	opAgent       operation = "agent"   // the agent restarts
	opRuntime     operation = "runtime" // the runtime restarts
	opRuntimeOut  operation = "refuse"
	opLoseAnswer  operation = "lose"
	opRuntimeMute operation = "silence"
	opRuntimeSlow operation = "delay"
	opFreeze      operation = "freeze" // calls to the runtime wait, as if the agent had been frozen
)

var operations = []operation{
	opWait, opWait, opWait, opAssign, opAssign, opAssign, opAssign, opRepeat, opOldLeader, opNewLeader, opAct, opAct,
	opCut, opJoin, opAgent, opRuntime, opRuntimeOut, opLoseAnswer, opRuntimeMute, opRuntimeSlow, opFreeze,
}

// step is one step with the parameters that its operation reads.
type step struct {
	op    operation
	task  int
	size  int64         // of an assignment, in tasks
	n     int           // calls, or which of several
	delay time.Duration // of a message, or of the step
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
func (m *model) apply(s step) {
	faults := &m.h.runtime.Faults
	switch s.op {
	case opWait:
		time.Sleep(s.delay)
	case opAssign:
		m.assign(s)
	case opRepeat:
		m.repeat(s)
	case opOldLeader:
		m.assignFenced(s)
	case opNewLeader:
		m.newLeader()
	case opAct:
		m.act(s)
	case opCut:
		m.setCut(true)
		time.Sleep(2 * s.delay)
	case opJoin:
		m.setCut(false)
	case opAgent:
		m.h.startAgent()
	case opRuntime:
		m.h.runtime.Restart()
	case opRuntimeOut:
		faults.Refuse(s.n)
	case opLoseAnswer:
		faults.LoseAnswer(s.n)
	case opRuntimeMute:
		faults.Silence(s.n)
	case opRuntimeSlow:
		faults.Delay(s.delay, s.n)
	case opFreeze:
		faults.Pause()
		time.Sleep(s.delay)
		faults.Resume()
	}
}

// violations checks the outside records of a history.
func (m *model) violations() []string {
	events := m.h.runtime.History().Events()
	var broken []string
	for _, v := range m.h.runtime.History().Violations() {
		broken = append(broken, v.String())
	}
	for _, v := range standin.CheckOneRun(events) {
		broken = append(broken, v.String())
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Concat(broken, checkStarts(events, m.lastStart), checkLeases(events, m.answered, batchLease))
}

// checkStarts returns the starts that came twice, too late or from nobody.
func checkStarts(events []standin.Event, lastStart map[structs.AttemptID]time.Time) []string {
	var broken []string
	seen := map[structs.AttemptID]bool{}
	for _, e := range events {
		if e.Kind != standin.EventStarted {
			continue
		}
		last, known := lastStart[e.Attempt]
		switch {
		case !known:
			broken = append(broken, fmt.Sprintf("%s started, and no leader committed it", e.Attempt))
		case e.At.After(last):
			broken = append(broken, fmt.Sprintf("%s started %s after its grant", e.Attempt, e.At.Sub(last)))
		case seen[e.Attempt]:
			broken = append(broken, fmt.Sprintf("%s started twice", e.Attempt))
		}
		seen[e.Attempt] = true
	}
	return broken
}

// checkLeases returns the runs that go on for longer than a lease after the
// last answer and their own start.
func checkLeases(events []standin.Event, answered time.Time, lease time.Duration) []string {
	running := map[structs.AttemptID]time.Time{}
	for _, e := range events {
		if e.Kind == standin.EventStarted {
			running[e.Attempt] = e.At
		} else {
			delete(running, e.Attempt)
		}
	}
	var broken []string
	for id, started := range running {
		last := answered
		if started.After(last) {
			last = started
		}
		if over := time.Since(last) - lease; over > 0 {
			broken = append(broken, fmt.Sprintf("%s runs %s after its lease", id, over))
		}
	}
	return broken
}

// play runs the steps against a new host and returns what was broken and the
// events of the runtime.
func play(t *testing.T, steps []step, plant func(h *host, m *model)) (broken []string, events []standin.Event) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		defer h.close()
		m := newModel(h)
		plant(h, m)
		h.startAgent()
		time.Sleep(DefaultStartGrant + 2*time.Second)
		for _, s := range steps {
			m.apply(s)
			synctest.Wait()
			if broken = m.violations(); len(broken) > 0 {
				break
			}
		}
		h.runtime.Faults.Clear()
		m.setCut(true)
		time.Sleep(10 * time.Second)
		m.sends.Wait()
		time.Sleep(batchLease)
		broken = append(broken, m.violations()...)
		events = h.runtime.History().Events()
	})
	return broken, events
}

func nothing(*host, *model) {}

func TestRandomHistoriesKeepThePromises(t *testing.T) {
	seen := map[standin.EventKind]int{}
	rapid.Check(t, func(rt *rapid.T) {
		broken, events := play(t, drawSteps(rt), nothing)
		if len(broken) > 0 {
			rt.Fatalf("%v", broken)
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

func TestRandomHistoriesShowPlantedFaults(t *testing.T) {
	plants := map[string]struct {
		plant func(h *host, m *model)
		want  string
	}{
		"a grant that lasts too long": {func(h *host, _ *model) {
			h.grant = 4 * DefaultStartGrant
		}, "after its grant"},
		"a ledger that is too large": {func(h *host, _ *model) {
			h.capacity = hostCapacity.Scale(2)
		}, "capacity broken"},
		"a lease that is too long": {func(h *host, m *model) {
			h.leader.answer = func(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
				resp.BatchLeaseMs *= 4
				return m.answer(req, resp)
			}
		}, "after its lease"},
	}
	for name, p := range plants {
		t.Run(name, func(t *testing.T) {
			steps := rapid.Custom(drawSteps)
			for seed := range 50 {
				broken, _ := play(t, steps.Example(seed), p.plant)
				if strings.Contains(strings.Join(broken, "\n"), p.want) {
					return
				}
			}
			t.Fatalf("no history shows %q", p.want)
		})
	}
}

func TestCheckStartsShowsPlantedFaults(t *testing.T) {
	now := time.Now()
	id := attemptOf("j", 1)
	start := func(at time.Time) standin.Event {
		return standin.Event{Kind: standin.EventStarted, At: at, Attempt: id}
	}
	committed := map[structs.AttemptID]time.Time{id: now}
	cases := map[string]struct {
		events    []standin.Event
		lastStart map[structs.AttemptID]time.Time
		broken    int
	}{
		"in time":         {[]standin.Event{start(now)}, committed, 0},
		"late":            {[]standin.Event{start(now.Add(1))}, committed, 1},
		"twice":           {[]standin.Event{start(now), start(now)}, committed, 1},
		"never committed": {[]standin.Event{start(now)}, nil, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(len(checkStarts(c.events, c.lastStart)), c.broken)
		})
	}
}
