package cell

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

// fakeRun is one attempt in a host's runtime.
type fakeRun struct {
	state      substrate.RunState
	size       structs.Resources
	kind       structs.WorkKind
	until      time.Time // end of the lease
	done       time.Time // when the program ends by itself
	failed     bool
	checkpoint string
}

// host is a small worker with its agent: a runtime that enforces leases, the
// heartbeat loop and the Agent service. It keeps the rules that worker/ keeps.
type host struct {
	id       structs.WorkerID
	cell     structs.CellID
	domain   structs.FailureDomainID
	capacity structs.Resources
	world    *world
	gate     gate

	ignoreGrant bool // planted fault: starts on heartbeats of any age
	ignoreLease bool // planted fault: the runtime never stops a run

	mu          sync.Mutex
	isolated    bool // no messages to or from other hosts
	down        bool
	leaving     bool
	incarnation int
	epoch       int64
	leader      structs.WorkerID
	sequence    int64
	sent        map[int64]time.Time
	batchUntil  time.Time
	svcUntil    time.Time
	reply       int64
	replyEpoch  int64
	runs        map[structs.AttemptID]*fakeRun
	fail        bool // every program fails
}

func newHost(w *world, id structs.WorkerID, cell structs.CellID, domain structs.FailureDomainID) *host {
	return &host{
		id: id, cell: cell, domain: domain, capacity: w.capacity, world: w, leader: id,
		sent: map[int64]time.Time{}, runs: map[structs.AttemptID]*fakeRun{},
	}
}

func (h *host) name() string { return fmt.Sprintf("%s-%d", h.id, h.incarnation) }

// tick ends what has ended by now: programs and leases. The record gets the
// time at which the runtime would have done so by itself.
func (h *host) tick(now time.Time) {
	for id, r := range h.runs {
		lapses := !h.ignoreLease && r.until.Before(r.done)
		switch {
		case r.state.Over():
		case lapses && !r.until.After(now):
			h.over(id, r, substrate.RunLapsed, r.until)
		case !lapses && !r.done.After(now):
			h.over(id, r, substrate.RunExited, r.done)
		}
	}
}

func (h *host) over(id structs.AttemptID, r *fakeRun, state substrate.RunState, at time.Time) {
	r.state = state
	h.world.history.addAt(event{kind: eventStop, attempt: id, host: h.id, size: r.size}, at)
}

// agent sends heartbeats until ctx ends.
func (h *host) agent(ctx context.Context) {
	for {
		interval := h.beat(ctx)
		if sleep(ctx, interval) != nil {
			return
		}
	}
}

func (h *host) beat(ctx context.Context) time.Duration {
	h.gate.pass()
	req, to := h.report()
	if req == nil {
		return time.Second
	}
	sent := time.Now()
	resp, err := h.world.heartbeat(ctx, h, to, req)
	h.gate.pass()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || resp.GetNotLeader() {
		h.leader = h.world.next(h.cell, to)
		if resp.GetLeaderAddress() != "" {
			h.leader = structs.WorkerID(resp.GetLeaderAddress())
		}
		return time.Second / 2
	}
	h.take(resp, sent)
	return time.Duration(resp.GetIntervalMs()) * time.Millisecond
}

// report reads the runtime into a heartbeat.
func (h *host) report() (*daisywallpb.HeartbeatRequest, structs.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, ""
	}
	now := time.Now()
	h.tick(now)
	h.sequence++
	h.sent[h.sequence] = now
	req := &daisywallpb.HeartbeatRequest{
		Cell: string(h.cell), Worker: string(h.id), FailureDomain: string(h.domain), Address: string(h.id),
		Incarnation: h.name(), Sequence: h.sequence, Capacity: api.FromResources(h.capacity), Full: true,
		Reply: h.reply, ReplyEpoch: h.replyEpoch, Leaving: h.leaving,
	}
	for id, r := range h.runs {
		req.Runs = append(req.Runs, &daisywallpb.RunReport{
			Attempt: api.FromAttempt(id), State: string(r.state), Failed: r.failed,
			Checkpoint: r.checkpoint, Resources: api.FromResources(r.size),
		})
	}
	return req, h.leader
}

// take renews leases from a response.
func (h *host) take(resp *daisywallpb.HeartbeatResponse, sent time.Time) {
	if resp.GetEpoch() < h.epoch || h.down {
		return
	}
	h.epoch = resp.GetEpoch()
	h.reply, h.replyEpoch = resp.GetReply(), resp.GetEpoch()
	later := func(t *time.Time, ms int64) {
		if until := sent.Add(time.Duration(ms) * time.Millisecond); ms > 0 && until.After(*t) {
			*t = until
		}
	}
	later(&h.batchUntil, resp.GetBatchLeaseMs())
	later(&h.svcUntil, resp.GetServiceLeaseMs())
	unrenewed := map[structs.AttemptID]bool{}
	for _, id := range resp.GetUnrenewed() {
		unrenewed[api.ToAttempt(id)] = true
	}
	h.tick(time.Now())
	for id, r := range h.runs {
		if !unrenewed[id] {
			r.until = h.lease(r.kind)
		}
	}
}

func (h *host) lease(kind structs.WorkKind) time.Time {
	if kind == structs.WorkService {
		return h.svcUntil
	}
	return h.batchUntil
}

// assign serves Agent.Assign.
func (h *host) assign(req *daisywallpb.AssignRequest) *daisywallpb.AssignResponse {
	h.gate.pass()
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := &daisywallpb.AssignResponse{}
	if h.down {
		return resp
	}
	now := time.Now()
	h.tick(now)
	for _, a := range req.GetAssignments() {
		if reason := h.start(req, a, now); reason != "" {
			resp.Rejections = append(resp.Rejections, &daisywallpb.Rejection{Attempt: a.GetAttempt(), Reason: string(reason)})
		}
	}
	for _, a := range req.GetActions() {
		h.act(a)
	}
	return resp
}

func (h *host) start(req *daisywallpb.AssignRequest, a *daisywallpb.Assignment, now time.Time) structs.Reason {
	id := api.ToAttempt(a.GetAttempt())
	size := api.ToResources(a.GetResources())
	sent, known := h.sent[req.GetHeartbeatSeq()]
	kind := structs.WorkKind(a.GetKind())
	used := size
	for _, r := range h.runs {
		if !r.state.Over() {
			used = used.Add(r.size)
		}
	}
	_, duplicate := h.runs[id]
	switch {
	case duplicate:
		return structs.ReasonDuplicate
	case req.GetEpoch() < h.epoch:
		return structs.ReasonStaleEpoch
	case a.GetIncarnation() != h.name():
		return structs.ReasonIncarnation
	case !h.ignoreGrant && (!known || now.Sub(sent) > h.world.timing.Grant):
		return structs.ReasonStaleGrant
	case !h.lease(kind).After(now):
		return structs.ReasonStaleGrant
	case !used.Fits(h.capacity):
		return structs.ReasonCapacity
	}
	r := &fakeRun{
		state: substrate.RunRunning, size: size, kind: kind, until: h.lease(kind), failed: h.fail,
		done: now.Add(h.world.runTime(kind)), checkpoint: a.GetCheckpoint(),
	}
	h.runs[id] = r
	h.world.history.add(event{
		kind: eventStart, attempt: id, host: h.id, domain: h.domain, size: size,
		epoch: req.GetEpoch(), checkpoint: a.GetCheckpoint(),
	})
	return ""
}

func (h *host) act(a *daisywallpb.Action) {
	id := api.ToAttempt(a.GetAttempt())
	r, found := h.runs[id]
	if !found {
		return
	}
	switch a.GetVerb() {
	case daisywallpb.Action_VERB_EVICT:
		if !r.state.Over() {
			r.checkpoint = "checkpoint/" + id.String()
			h.over(id, r, substrate.RunStopped, time.Now())
		}
	case daisywallpb.Action_VERB_CANCEL:
		if !r.state.Over() {
			h.over(id, r, substrate.RunStopped, time.Now())
		}
	case daisywallpb.Action_VERB_FORGET:
		delete(h.runs, id)
	}
}

// restartRuntime loses every run and starts a new incarnation.
func (h *host) restartRuntime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.tick(time.Now())
	for id, r := range h.runs {
		if !r.state.Over() {
			h.over(id, r, substrate.RunLapsed, time.Now())
		}
	}
	h.incarnation++
	h.runs = map[structs.AttemptID]*fakeRun{}
	h.batchUntil, h.svcUntil = time.Time{}, time.Time{}
}

// restartAgent forgets what the agent knew; the runtime goes on.
func (h *host) restartAgent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch, h.reply, h.replyEpoch = 0, 0, 0
	h.sent = map[int64]time.Time{}
	h.leader = h.id
}
