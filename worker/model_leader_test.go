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

// modelLeader is a correct leader that records what it sends and receives. It
// commits an attempt of a task only when it has proof that the previous attempt
// has ended.
type modelLeader struct {
	h *testHost

	mu                sync.Mutex
	disconnected      bool
	newest            map[structs.TaskID]committedAttempt
	responseTimes     map[int64]time.Time // time of each response, by its number
	heartbeatArrivals map[int64]time.Time // arrival of each heartbeat, by its sequence number
	lastResponseAt    time.Time           // zero before the first heartbeat
	lastHeartbeat     *daisywallpb.HeartbeatRequest
	sentRequests      []*daisywallpb.AssignRequest
	startDeadlines    map[structs.AttemptID]time.Time // latest permitted start of each attempt
	deliveries        sync.WaitGroup
}

// committedAttempt is the newest committed attempt of a task.
type committedAttempt struct {
	number      int32
	incarnation string
	committedAt time.Time
	ended       bool
}

func newModelLeader(h *testHost) *modelLeader {
	m := &modelLeader{
		h: h, newest: map[structs.TaskID]committedAttempt{}, responseTimes: map[int64]time.Time{}, heartbeatArrivals: map[int64]time.Time{},
		startDeadlines: map[structs.AttemptID]time.Time{},
	}
	h.leader.responseHook = m.handleHeartbeat
	return m
}

// handleHeartbeat records a heartbeat and the attempts that it proves to have
// ended.
func (m *modelLeader) handleHeartbeat(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.disconnected {
		return &structs.UnavailableError{Dependency: "leader"}
	}
	now := time.Now()
	m.heartbeatArrivals[req.GetSequence()] = now
	m.lastHeartbeat = req
	m.lastResponseAt = now
	resp.WantFull = true
	m.responseTimes[resp.GetReply()] = now
	for task, c := range m.newest {
		c.ended = c.ended || m.provesEnd(req, structs.AttemptID{Task: task, Number: c.number}, c)
		m.newest[task] = c
	}
	return nil
}

// provesEnd reports whether a heartbeat proves that an attempt has ended.
func (m *modelLeader) provesEnd(req *daisywallpb.HeartbeatRequest, id structs.AttemptID, c committedAttempt) bool {
	if req.GetIncarnation() != c.incarnation {
		return true
	}
	for _, r := range req.GetRuns() {
		if api.ToAttempt(r.GetAttempt()) == id {
			return substrate.RunState(r.GetState()).Final()
		}
	}
	sent, known := m.responseTimes[req.GetReply()]
	return req.GetFull() && known && sent.After(c.committedAt.Add(DefaultStartGrant))
}

// commitNextAttempt commits and sends the next attempt of a task, unless the
// previous attempt may still run.
func (m *modelLeader) commitNextAttempt(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.lastHeartbeat == nil {
		return
	}
	task := structs.TaskID{Job: structs.JobID(fmt.Sprintf("j%d", s.task))}
	c := m.newest[task]
	if c.number > 0 && !c.ended {
		return
	}
	c = committedAttempt{number: c.number + 1, incarnation: m.lastHeartbeat.GetIncarnation(), committedAt: time.Now()}
	m.newest[task] = c
	id := structs.AttemptID{Task: task, Number: c.number}
	req := m.newAssignRequest(id, s)
	m.startDeadlines[id] = m.heartbeatArrivals[m.lastHeartbeat.GetSequence()].Add(DefaultStartGrant)
	m.sentRequests = append(m.sentRequests, req)
	m.deliver(req, s.delay)
}

func (m *modelLeader) newAssignRequest(id structs.AttemptID, s step) *daisywallpb.AssignRequest {
	return &daisywallpb.AssignRequest{
		Cell: "c1", Epoch: m.h.leader.epoch, HeartbeatSeq: m.lastHeartbeat.GetSequence(),
		Assignments: []*daisywallpb.Assignment{{
			Attempt: api.FromAttempt(id), Incarnation: m.lastHeartbeat.GetIncarnation(), Class: "class",
			Program:   []string{"hold", "sleep"}[s.n%2],
			Input:     "short",
			Resources: api.FromResources(oneTask.Scale(s.size)), Kind: string(structs.WorkBatch),
		}},
	}
}

// deliver sends a request after a delay and records its rejections.
func (m *modelLeader) deliver(req *daisywallpb.AssignRequest, delay time.Duration) {
	agent := m.h.agent
	m.deliveries.Go(func() {
		time.Sleep(delay)
		resp, _ := agent.Assign(context.Background(), req)
		m.mu.Lock()
		defer m.mu.Unlock()
		for _, r := range resp.GetRejections() {
			id := api.ToAttempt(r.GetAttempt())
			c := m.newest[id.Task]
			if c.number == id.Number && structs.Reason(r.GetReason()) != structs.ReasonDuplicate {
				c.ended = true
				m.newest[id.Task] = c
			}
		}
	})
}

// assignWithStaleEpoch sends an attempt that was never committed, with an epoch
// older than the highest epoch that the agent has seen.
func (m *modelLeader) assignWithStaleEpoch(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	epoch := m.h.leader.epoch
	if m.lastHeartbeat == nil || epoch < 2 || m.lastHeartbeat.GetReplyEpoch() != epoch {
		return // the agent may not have seen the newest epoch
	}
	id := attemptOf("fenced", 1)
	req := m.newAssignRequest(id, s)
	req.Epoch--
	m.deliver(req, s.delay)
}

func (m *modelLeader) redeliver(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.sentRequests) > 0 {
		m.deliver(m.sentRequests[max(0, len(m.sentRequests)-1-s.n)], s.delay)
	}
}

func (m *modelLeader) sendAction(s step) {
	m.mu.Lock()
	defer m.mu.Unlock()
	task := structs.TaskID{Job: structs.JobID(fmt.Sprintf("j%d", s.task))}
	verbs := []daisywallpb.Action_Verb{daisywallpb.Action_VERB_EVICT, daisywallpb.Action_VERB_CANCEL, daisywallpb.Action_VERB_FORGET}
	id := structs.AttemptID{Task: task, Number: m.newest[task].number}
	m.deliver(&daisywallpb.AssignRequest{
		Cell: "c1", Epoch: m.h.leader.epoch,
		Actions: []*daisywallpb.Action{{Attempt: api.FromAttempt(id), Verb: verbs[s.n%len(verbs)]}},
	}, s.delay)
}

func (m *modelLeader) setDisconnected(disconnected bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.disconnected = disconnected
}

func (m *modelLeader) raiseEpoch() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.h.leader.mu.Lock()
	defer m.h.leader.mu.Unlock()
	m.h.leader.epoch++
}
