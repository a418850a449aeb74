package worker

import (
	"context"
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/platform/standin"
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

// model is a correct leader with its outside record. It commits an attempt of
// a task only on proof that the one before is over.
type model struct {
	h *host

	mu        sync.Mutex
	cut       bool
	current   map[structs.TaskID]committed
	answers   map[int64]time.Time // by reply
	arrivals  map[int64]time.Time // of heartbeats, by sequence
	answered  time.Time           // when the last heartbeat was answered
	heartbeat *daisywallpb.HeartbeatRequest
	delivered []*daisywallpb.AssignRequest
	lastStart map[structs.AttemptID]time.Time // no start of it later than this
	sends     sync.WaitGroup
}

// committed is the newest attempt of a task.
type committed struct {
	number      int32
	incarnation string
	at          time.Time
	over        bool
}

func newModel(h *host) *model {
	m := &model{
		h: h, current: map[structs.TaskID]committed{}, answers: map[int64]time.Time{}, arrivals: map[int64]time.Time{},
		lastStart: map[structs.AttemptID]time.Time{},
	}
	h.leader.answer = m.answer
	return m
}

// answer takes a heartbeat.
func (m *model) answer(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.cut {
		return &structs.UnavailableError{Dependency: "leader"}
	}
	now := time.Now()
	m.arrivals[req.GetSequence()] = now
	m.heartbeat = req
	m.answered = now
	resp.WantFull = true
	m.answers[resp.GetReply()] = now
	for task, c := range m.current {
		c.over = c.over || m.isOver(req, structs.AttemptID{Task: task, Number: c.number}, c)
		m.current[task] = c
	}
	return nil
}

// isOver reports whether a heartbeat proves that an attempt is over.
func (m *model) isOver(req *daisywallpb.HeartbeatRequest, id structs.AttemptID, c committed) bool {
	if req.GetIncarnation() != c.incarnation {
		return true
	}
	for _, r := range req.GetRuns() {
		if api.ToAttempt(r.GetAttempt()) == id {
			return platform.RunState(r.GetState()).Over()
		}
	}
	sent, known := m.answers[req.GetReply()]
	return req.GetFull() && known && sent.After(c.at.Add(DefaultStartGrant))
}

// assign commits the next attempt of a task if that is allowed.
func (m *model) assign(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.heartbeat == nil {
		return
	}
	task := structs.TaskID{Job: structs.JobID(fmt.Sprintf("j%d", s.task))}
	c := m.current[task]
	if c.number > 0 && !c.over {
		return
	}
	c = committed{number: c.number + 1, incarnation: m.heartbeat.GetIncarnation(), at: time.Now()}
	m.current[task] = c
	id := structs.AttemptID{Task: task, Number: c.number}
	req := m.request(id, s)
	m.lastStart[id] = m.arrivals[m.heartbeat.GetSequence()].Add(DefaultStartGrant)
	m.delivered = append(m.delivered, req)
	m.deliver(req, s.delay)
}

func (m *model) request(id structs.AttemptID, s step) *daisywallpb.AssignRequest {
	return &daisywallpb.AssignRequest{
		Cell: "c1", Epoch: m.h.leader.epoch, HeartbeatSeq: m.heartbeat.GetSequence(),
		Assignments: []*daisywallpb.Assignment{{
			Attempt: api.FromAttempt(id), Incarnation: m.heartbeat.GetIncarnation(), Class: "class",
			Program:   []string{"hold", "sleep"}[s.n%2],
			Input:     "short",
			Resources: api.FromResources(oneTask.Scale(s.size)), Kind: string(structs.WorkBatch),
		}},
	}
}

// deliver sends a request after a delay and takes its rejections.
func (m *model) deliver(req *daisywallpb.AssignRequest, delay time.Duration) {
	agent := m.h.agent
	m.sends.Go(func() {
		time.Sleep(delay)
		resp, _ := agent.Assign(context.Background(), req)
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range resp.GetRejections() {
			id := api.ToAttempt(r.GetAttempt())
			c := m.current[id.Task]
			if c.number == id.Number && structs.Reason(r.GetReason()) != structs.ReasonDuplicate {
				c.over = true
				m.current[id.Task] = c
			}
		}
	})
}

// assignFenced assigns what was never committed, in a past epoch that the agent
// knows to be past.
func (m *model) assignFenced(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := m.h.leader.epoch
	if m.heartbeat == nil || epoch < 2 || m.heartbeat.GetReplyEpoch() != epoch {
		return // the agent may not have heard of the newest leader
	}
	id := attemptOf("fenced", 1)
	req := m.request(id, s)
	req.Epoch--
	m.deliver(req, s.delay)
}

func (m *model) repeat(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.delivered) > 0 {
		m.deliver(m.delivered[max(0, len(m.delivered)-1-s.n)], s.delay)
	}
}

func (m *model) act(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	task := structs.TaskID{Job: structs.JobID(fmt.Sprintf("j%d", s.task))}
	verbs := []daisywallpb.Action_Verb{daisywallpb.Action_VERB_EVICT, daisywallpb.Action_VERB_CANCEL, daisywallpb.Action_VERB_FORGET}
	id := structs.AttemptID{Task: task, Number: m.current[task].number}
	m.deliver(&daisywallpb.AssignRequest{
		Cell: "c1", Epoch: m.h.leader.epoch,
		Actions: []*daisywallpb.Action{{Attempt: api.FromAttempt(id), Verb: verbs[s.n%len(verbs)]}},
	}, s.delay)
}

func (m *model) setCut(cut bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.cut = cut
}

func (m *model) newLeader() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.h.leader.mu.Lock()
	defer m.h.leader.mu.Unlock()
	m.h.leader.epoch++
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
