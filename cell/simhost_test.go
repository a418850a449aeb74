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

// fakeRun is one attempt in a simulated host's runtime.
type fakeRun struct {
	state      substrate.RunState
	size       structs.Resources
	kind       structs.WorkKind
	leaseUntil time.Time // end of the lease
	exitsAt    time.Time // when the program exits by itself
	failed     bool
	checkpoint string
}

// simulatedHost is a simplified worker with its agent. It consists of a runtime
// that enforces leases, the heartbeat loop and the Agent service. It follows
// the same rules as package worker.
type simulatedHost struct {
	id       structs.WorkerID
	cell     structs.CellID
	domain   structs.FailureDomainID
	capacity structs.Resources
	cluster  *simulatedCluster
	gate     pauseGate

	ignoreGrant bool // injected fault: starts attempts on heartbeats of any age
	ignoreLease bool // injected fault: the runtime enforces no lease

	mu                 sync.Mutex
	isolated           bool // no messages to or from other hosts
	down               bool
	leaving            bool
	incarnation        int
	epoch              int64
	leader             structs.WorkerID
	heartbeatSequence  int64
	heartbeatSentAt    map[int64]time.Time
	batchLeaseUntil    time.Time
	serviceLeaseUntil  time.Time
	ackedResponse      int64
	ackedResponseEpoch int64
	runs               map[structs.AttemptID]*fakeRun
	failPrograms       bool // every program fails
	rejectStarts       bool // the agent rejects every start for lack of capacity
}

func newSimulatedHost(w *simulatedCluster, id structs.WorkerID, cell structs.CellID, domain structs.FailureDomainID) *simulatedHost {
	return &simulatedHost{
		id: id, cell: cell, domain: domain, capacity: w.capacity, cluster: w, leader: id,
		heartbeatSentAt: map[int64]time.Time{}, runs: map[structs.AttemptID]*fakeRun{},
	}
}

func (h *simulatedHost) incarnationName() string { return fmt.Sprintf("%s-%d", h.id, h.incarnation) }

// endElapsedRuns ends the runs whose program has exited or whose lease has
// expired. The history gets the time at which the runtime would have ended the
// run by itself.
func (h *simulatedHost) endElapsedRuns(now time.Time) {
	for id, r := range h.runs {
		leaseEndsFirst := !h.ignoreLease && r.leaseUntil.Before(r.exitsAt)
		switch {
		case r.state.Final():
		case leaseEndsFirst && !r.leaseUntil.After(now):
			h.stopRun(id, r, substrate.RunLapsed, r.leaseUntil)
		case !leaseEndsFirst && !r.exitsAt.After(now):
			h.stopRun(id, r, substrate.RunExited, r.exitsAt)
		}
	}
}

func (h *simulatedHost) stopRun(id structs.AttemptID, r *fakeRun, state substrate.RunState, at time.Time) {
	r.state = state
	h.cluster.history.addAt(event{kind: eventStop, attempt: id, host: h.id, size: r.size}, at)
}

// runAgent sends heartbeats until ctx ends.
func (h *simulatedHost) runAgent(ctx context.Context) {
	for {
		interval := h.sendHeartbeat(ctx)
		if sleep(ctx, interval) != nil {
			return
		}
	}
}

func (h *simulatedHost) sendHeartbeat(ctx context.Context) time.Duration {
	h.gate.pass()
	req, to := h.buildHeartbeat()
	if req == nil {
		return time.Second
	}
	sentAt := time.Now()
	resp, err := h.cluster.heartbeat(ctx, h, to, req)
	h.gate.pass()
	h.mu.Lock()
	defer h.mu.Unlock()
	if err != nil || resp.GetNotLeader() {
		h.leader = h.cluster.nextMember(h.cell, to)
		if resp.GetLeaderAddress() != "" {
			h.leader = structs.WorkerID(resp.GetLeaderAddress())
		}
		return time.Second / 2
	}
	h.applyResponse(resp, sentAt)
	return time.Duration(resp.GetIntervalMs()) * time.Millisecond
}

// buildHeartbeat returns a heartbeat with the state of the runtime.
func (h *simulatedHost) buildHeartbeat() (*daisywallpb.HeartbeatRequest, structs.WorkerID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.down {
		return nil, ""
	}
	now := time.Now()
	h.endElapsedRuns(now)
	h.heartbeatSequence++
	h.heartbeatSentAt[h.heartbeatSequence] = now
	req := &daisywallpb.HeartbeatRequest{
		Cell: string(h.cell), Worker: string(h.id), FailureDomain: string(h.domain), Address: string(h.id),
		Incarnation: h.incarnationName(), Sequence: h.heartbeatSequence, Capacity: api.FromResources(h.capacity), Full: true,
		Reply: h.ackedResponse, ReplyEpoch: h.ackedResponseEpoch, Leaving: h.leaving,
	}
	for id, r := range h.runs {
		req.Runs = append(req.Runs, &daisywallpb.RunReport{
			Attempt: api.FromAttempt(id), State: string(r.state), Failed: r.failed,
			Checkpoint: r.checkpoint, Resources: api.FromResources(r.size),
		})
	}
	return req, h.leader
}

// applyResponse renews leases from a heartbeat response.
func (h *simulatedHost) applyResponse(resp *daisywallpb.HeartbeatResponse, sentAt time.Time) {
	if resp.GetEpoch() < h.epoch || h.down {
		return
	}
	h.epoch = resp.GetEpoch()
	h.ackedResponse, h.ackedResponseEpoch = resp.GetReply(), resp.GetEpoch()
	extend := func(t *time.Time, ms int64) {
		if until := sentAt.Add(time.Duration(ms) * time.Millisecond); ms > 0 && until.After(*t) {
			*t = until
		}
	}
	extend(&h.batchLeaseUntil, resp.GetBatchLeaseMs())
	extend(&h.serviceLeaseUntil, resp.GetServiceLeaseMs())
	unrenewed := map[structs.AttemptID]bool{}
	for _, id := range resp.GetUnrenewed() {
		unrenewed[api.ToAttempt(id)] = true
	}
	h.endElapsedRuns(time.Now())
	for id, r := range h.runs {
		if !unrenewed[id] {
			r.leaseUntil = h.leaseUntil(r.kind)
		}
	}
}

func (h *simulatedHost) leaseUntil(kind structs.WorkKind) time.Time {
	if kind == structs.WorkService {
		return h.serviceLeaseUntil
	}
	return h.batchLeaseUntil
}

// assign serves Agent.Assign.
func (h *simulatedHost) assign(req *daisywallpb.AssignRequest) *daisywallpb.AssignResponse {
	h.gate.pass()
	h.mu.Lock()
	defer h.mu.Unlock()
	resp := &daisywallpb.AssignResponse{}
	if h.down {
		return resp
	}
	now := time.Now()
	h.endElapsedRuns(now)
	for _, a := range req.GetAssignments() {
		if reason := h.startAttempt(req, a, now); reason != "" {
			resp.Rejections = append(resp.Rejections, &daisywallpb.Rejection{Attempt: a.GetAttempt(), Reason: string(reason)})
		}
	}
	for _, a := range req.GetActions() {
		h.applyAction(a)
	}
	return resp
}

func (h *simulatedHost) startAttempt(req *daisywallpb.AssignRequest, a *daisywallpb.Assignment, now time.Time) structs.Reason {
	id := api.ToAttempt(a.GetAttempt())
	size := api.ToResources(a.GetResources())
	sentAt, found := h.heartbeatSentAt[req.GetHeartbeatSeq()]
	kind := structs.WorkKind(a.GetKind())
	used := size
	for _, r := range h.runs {
		if !r.state.Final() {
			used = used.Add(r.size)
		}
	}
	_, duplicate := h.runs[id]
	switch {
	case duplicate:
		return structs.ReasonDuplicate
	case req.GetEpoch() < h.epoch:
		return structs.ReasonStaleEpoch
	case a.GetIncarnation() != h.incarnationName():
		return structs.ReasonIncarnation
	case !h.ignoreGrant && (!found || now.Sub(sentAt) > h.cluster.timing.StartGrant):
		return structs.ReasonStaleGrant
	case !h.leaseUntil(kind).After(now):
		return structs.ReasonStaleGrant
	case h.rejectStarts || !used.Fits(h.capacity):
		return structs.ReasonCapacity
	}
	r := &fakeRun{
		state: substrate.RunRunning, size: size, kind: kind, leaseUntil: h.leaseUntil(kind), failed: h.failPrograms,
		exitsAt: now.Add(h.cluster.runTime(kind)), checkpoint: a.GetCheckpoint(),
	}
	h.runs[id] = r
	if h.cluster.isDeadly != nil && h.cluster.isDeadly(id.Task) {
		h.cluster.goroutines.Go(func() {
			time.Sleep(50 * time.Millisecond)
			h.restartRuntime()
			if m := h.cluster.member(h.id); h.cluster.deadlyToAgent && h.cluster.killCandidate(m) {
				h.restartAgent()
				time.Sleep(time.Second)
				h.cluster.startCandidate(m)
			}
		})
	}
	h.cluster.history.add(event{
		kind: eventStart, attempt: id, host: h.id, domain: h.domain, size: size,
		epoch: req.GetEpoch(), checkpoint: a.GetCheckpoint(),
	})
	return ""
}

func (h *simulatedHost) applyAction(a *daisywallpb.Action) {
	id := api.ToAttempt(a.GetAttempt())
	r, found := h.runs[id]
	if !found {
		return
	}
	switch a.GetVerb() {
	case daisywallpb.Action_VERB_EVICT:
		if !r.state.Final() {
			r.checkpoint = "checkpoint/" + id.String()
			h.stopRun(id, r, substrate.RunStopped, time.Now())
		}
	case daisywallpb.Action_VERB_CANCEL:
		if !r.state.Final() {
			h.stopRun(id, r, substrate.RunStopped, time.Now())
		}
	case daisywallpb.Action_VERB_FORGET:
		delete(h.runs, id)
	}
}

// restartRuntime ends every run and starts a new incarnation.
func (h *simulatedHost) restartRuntime() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.endElapsedRuns(time.Now())
	for id, r := range h.runs {
		if !r.state.Final() {
			h.stopRun(id, r, substrate.RunLapsed, time.Now())
		}
	}
	h.incarnation++
	h.runs = map[structs.AttemptID]*fakeRun{}
	h.batchLeaseUntil, h.serviceLeaseUntil = time.Time{}, time.Time{}
}

// restartAgent discards the agent's state in memory. The runtime continues.
func (h *simulatedHost) restartAgent() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.epoch, h.ackedResponse, h.ackedResponseEpoch = 0, 0, 0
	h.heartbeatSentAt = map[int64]time.Time{}
	h.leader = h.id
}
