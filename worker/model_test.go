package worker

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

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
			return substrate.RunState(r.GetState()).Over()
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
