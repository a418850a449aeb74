package worker

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	leaderAddress = "leader:1"
	batchLease    = 15 * time.Second
	serviceLease  = 10 * time.Second
)

var (
	oneTask      = structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	hostCapacity = oneTask.Scale(4)
)

// fakeLeader is a leader that answers every heartbeat sent to its address.
type fakeLeader struct {
	mu           sync.Mutex
	epoch        int64
	responseHook func(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error // changes or fails responses, may be nil
	requests     []*daisywallpb.HeartbeatRequest
}

func (l *fakeLeader) Find(context.Context, structs.CellID) (string, error) { return leaderAddress, nil }

func (l *fakeLeader) Heartbeat(_ context.Context, address string, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	if address != leaderAddress {
		return &daisywallpb.HeartbeatResponse{NotLeader: true, LeaderAddress: leaderAddress}, nil
	}
	l.mu.Lock()
	l.requests = append(l.requests, req)
	resp := &daisywallpb.HeartbeatResponse{
		Epoch: l.epoch, BatchLeaseMs: batchLease.Milliseconds(), ServiceLeaseMs: serviceLease.Milliseconds(),
		IntervalMs: time.Second.Milliseconds(), Reply: int64(len(l.requests)),
	}
	hook := l.responseHook
	l.mu.Unlock()
	if hook != nil {
		if err := hook(req, resp); err != nil {
			return nil, err
		}
	}
	return resp, nil
}

func (l *fakeLeader) setResponseHook(hook func(*daisywallpb.HeartbeatRequest, *daisywallpb.HeartbeatResponse) error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.responseHook = hook
}

func (l *fakeLeader) lastHeartbeat() *daisywallpb.HeartbeatRequest {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.requests[len(l.requests)-1]
}

// lastReport returns the last report of an attempt, or nil.
func (l *fakeLeader) lastReport(id structs.AttemptID) *daisywallpb.RunReport {
	l.mu.Lock()
	defer l.mu.Unlock()
	var found *daisywallpb.RunReport
	for _, req := range l.requests {
		for _, r := range req.GetRuns() {
			if api.ToAttempt(r.GetAttempt()) == id {
				found = r
			}
		}
	}
	return found
}

// failHeartbeat fails a heartbeat as if the leader were unreachable.
func failHeartbeat(*daisywallpb.HeartbeatRequest, *daisywallpb.HeartbeatResponse) error {
	return &structs.UnavailableError{Dependency: "leader"}
}

// interceptedRuntime is the runtime of the agent with hooks for tests.
type interceptedRuntime struct {
	substrate.WorkerRuntime
	mu       sync.Mutex
	start    func(spec substrate.StartSpec) error          // replaces Start unless nil
	snapshot func(s substrate.Snapshot) substrate.Snapshot // changes snapshots unless nil
}

func (p *interceptedRuntime) Start(ctx context.Context, spec substrate.StartSpec) error {
	if p.start != nil {
		return p.start(spec)
	}
	return p.WorkerRuntime.Start(ctx, spec)
}

func (p *interceptedRuntime) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	s, err := p.WorkerRuntime.Snapshot(ctx)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.snapshot != nil {
		s = p.snapshot(s)
	}
	return s, err
}

func (p *interceptedRuntime) setSnapshot(change func(substrate.Snapshot) substrate.Snapshot) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.snapshot = change
}

// testHost is one worker with a simulated runtime, its agent and a fake leader.
type testHost struct {
	t           *testing.T
	is          *is.I
	leader      *fakeLeader
	objects     *standin.Objects
	runtime     *standin.Runtime
	intercepted *interceptedRuntime
	agent       *Agent
	stop        func()

	// Options of the agent. A test sets a wrong value to inject a fault.
	capacity   structs.Resources
	startGrant time.Duration
}

// withTestHost runs test in virtual time with an agent that admits assignments.
func withTestHost(t *testing.T, test func(h *testHost)) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.close()
		h.startAgent()
		time.Sleep(DefaultStartGrant + 2*time.Second)
		test(h)
	})
}

// runUntilStopped is a program that runs until it is stopped.
func runUntilStopped(ctx context.Context, _ *standin.Input) ([]byte, error) {
	<-ctx.Done()
	return nil, ctx.Err()
}

func newTestHost(t *testing.T) *testHost {
	objects := standin.NewObjects()
	h := &testHost{
		t: t, is: is.New(t), leader: &fakeLeader{epoch: 1}, objects: objects, stop: func() {},
		capacity: hostCapacity, startGrant: DefaultStartGrant,
	}
	programs := standin.Programs()
	programs["hold"] = standin.ProgramFunc(runUntilStopped)
	h.runtime = standin.NewRuntime(standin.RuntimeOptions{
		Worker: "w1", Capacity: hostCapacity, Objects: objects, Programs: programs,
	})
	h.intercepted = &interceptedRuntime{WorkerRuntime: h.runtime}
	h.is.NoErr(objects.Put(context.Background(), "long", []byte("1h")))
	h.is.NoErr(objects.Put(context.Background(), "short", []byte("500ms")))
	return h
}

func (h *testHost) close() {
	h.stop()
	h.runtime.Faults.Clear()
	h.runtime.Close()
}

// startAgent stops the running agent, if any, and starts a new one.
func (h *testHost) startAgent() {
	h.stop()
	agent, err := New(Options{
		Worker:     structs.Worker{ID: "w1", Cell: "c1", FailureDomain: "d1", Capacity: h.capacity, Address: "w1:1"},
		Runtime:    h.intercepted,
		Finder:     h.leader,
		Heartbeat:  h.leader.Heartbeat,
		StartGrant: h.startGrant,
	})
	h.is.NoErr(err)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- agent.Run(ctx) }()
	h.agent = agent
	h.stop = func() {
		cancel()
		h.is.NoErr(<-done)
		h.stop = func() {}
	}
}

func attemptOf(job string, number int32) structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: structs.JobID(job)}, Number: number}
}

// newAssignRequest returns a request with one assignment that is based on the
// last heartbeat.
func (h *testHost) newAssignRequest(id structs.AttemptID, input string) *daisywallpb.AssignRequest {
	last := h.leader.lastHeartbeat()
	return &daisywallpb.AssignRequest{
		Cell: "c1", Epoch: 1, HeartbeatSeq: last.GetSequence(),
		Assignments: []*daisywallpb.Assignment{{
			Attempt: api.FromAttempt(id), Incarnation: last.GetIncarnation(), Class: "class", Program: "sleep",
			Input: input, Resources: api.FromResources(oneTask), Kind: string(structs.WorkBatch),
		}},
	}
}

// assign sends a request and returns the reasons of its rejections.
func (h *testHost) assign(req *daisywallpb.AssignRequest) []structs.Reason {
	resp, err := h.agent.Assign(context.Background(), req)
	h.is.NoErr(err)
	var reasons []structs.Reason
	for _, r := range resp.GetRejections() {
		reasons = append(reasons, structs.Reason(r.GetReason()))
	}
	return reasons
}

func (h *testHost) sendAction(verb daisywallpb.Action_Verb, id structs.AttemptID) {
	h.is.Equal(len(h.assign(&daisywallpb.AssignRequest{
		Cell: "c1", Epoch: 1, Actions: []*daisywallpb.Action{{Attempt: api.FromAttempt(id), Verb: verb}},
	})), 0)
}

// runState returns the state of an attempt in the runtime, empty when the runtime
// does not have it.
func (h *testHost) runState(id structs.AttemptID) substrate.RunState {
	s, err := h.runtime.Snapshot(context.Background())
	h.is.NoErr(err)
	for _, run := range s.Runs {
		if run.Attempt == id {
			return run.State
		}
	}
	return ""
}

// startCount returns the number of starts that the runtime has recorded.
func (h *testHost) startCount() int {
	n := 0
	for _, e := range h.runtime.History().Events() {
		if e.Kind == standin.EventStarted {
			n++
		}
	}
	return n
}
