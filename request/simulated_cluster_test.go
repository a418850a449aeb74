package request

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

// memoryListener accepts connections from the same process over net.Pipe, so
// that real HTTP runs inside a synctest bubble.
type memoryListener struct {
	conns chan net.Conn
	done  chan struct{}
	once  sync.Once
}

func newMemoryListener() *memoryListener {
	return &memoryListener{conns: make(chan net.Conn), done: make(chan struct{})}
}

func (l *memoryListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.done:
		return nil, net.ErrClosed
	}
}

func (l *memoryListener) Close() error   { l.once.Do(func() { close(l.done) }); return nil }
func (l *memoryListener) Addr() net.Addr { return &net.TCPAddr{} }

func (l *memoryListener) dial(ctx context.Context) (net.Conn, error) {
	client, server := net.Pipe()
	select {
	case l.conns <- server:
		return client, nil
	case <-l.done:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// execution is one request that a target received.
type execution struct {
	id     string // Request-Id header
	body   string // name of the caller's request
	target string
}

// history records all executions at all targets, independent of the code under
// test.
type history struct {
	mu         sync.Mutex
	executions []execution
}

func (h *history) record(e execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.executions = append(h.executions, e)
}

// executionCounts returns the number of executions by request name.
func (h *history) executionCounts() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string]int{}
	for _, e := range h.executions {
		runs[e.body]++
	}
	return runs
}

// deadlyRequest is the body of a request that ends each target that executes it.
const deadlyRequest = "deadly"

// fakeTarget is an HTTP server that records the requests that it executes.
type fakeTarget struct {
	name     string
	listener *memoryListener
	server   *http.Server
	history  *history

	mu             sync.Mutex
	serviceTime    time.Duration // time from the arrival of a request to its answer
	truncateAnswer bool          // send half of the answer, then close the connection
	dead           bool          // the process was killed
}

func newFakeTarget(name string, h *history, serviceTime time.Duration) *fakeTarget {
	f := &fakeTarget{name: name, listener: newMemoryListener(), history: h, serviceTime: serviceTime}
	f.server = &http.Server{Handler: f}
	go func() { _ = f.server.Serve(f.listener) }()
	return f
}

func (f *fakeTarget) set(change func(f *fakeTarget)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	change(f)
}

func (f *fakeTarget) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.history.record(execution{r.Header.Get(RequestIDHeader), string(body), f.name})
	if string(body) == deadlyRequest {
		f.kill()
		panic(http.ErrAbortHandler)
	}
	f.mu.Lock()
	serviceTime, truncate := f.serviceTime, f.truncateAnswer
	f.mu.Unlock()
	time.Sleep(serviceTime)
	answer := "answer to " + string(body)
	w.Header().Set("Content-Length", fmt.Sprint(len(answer)))
	if truncate {
		_, _ = io.WriteString(w, answer[:len(answer)/2])
		panic(http.ErrAbortHandler)
	}
	_, _ = io.WriteString(w, answer)
}

func (f *fakeTarget) kill() {
	f.set(func(f *fakeTarget) { f.dead = true })
	_ = f.listener.Close()
	_ = f.server.Close()
}

// fakeAgent is an agent with one target, which is reached through connections
// with injected faults.
type fakeAgent struct {
	id           structs.WorkerID
	domain       structs.FailureDomainID
	target       *fakeTarget
	localTargets *membership.LocalTargets
	executor     *Executor
	cancel       context.CancelFunc

	mu            sync.Mutex
	dead          bool          // the process was killed
	faults        map[int]fault // by connection number, counted from 1; 0 is the default for all
	conns         []*fakeConn
	thawed        chan struct{} // closed unless the process is frozen
	restarts      int
	activeFreezes int // number of overlapping freezes that have not ended
	goroutines    sync.WaitGroup
}

// fault is a message fault of a connection. It is looked up when a message is
// sent, when it arrives and when its answer arrives.
type fault string

const (
	faultNone        fault = "none"
	faultSilent      fault = "silent"       // nothing arrives in either direction
	faultCut         fault = "cut"          // closed; messages in transit are lost
	faultDropAnswer  fault = "answers lost" // requests arrive, answers don't
	faultLateRequest fault = "request late"
	faultLateAnswer  fault = "answer late"
	faultDuplicate   fault = "request duplicated"
)

func newFakeAgent(id string, domain string, h *history, slots int, serviceTime time.Duration) *fakeAgent {
	a := &fakeAgent{
		id: structs.WorkerID(id), domain: structs.FailureDomainID(domain), faults: map[int]fault{},
		target: newFakeTarget("target-"+id, h, serviceTime), thawed: make(chan struct{}),
		localTargets: membership.NewLocalTargets(membership.LocalOptions{TTL: 24 * time.Hour}),
	}
	close(a.thawed)
	_ = a.localTargets.Announce(a.announcement(slots))
	a.start()
	return a
}

func (a *fakeAgent) announcement(slots int) structs.Target {
	return structs.Target{
		ID: structs.TargetID(a.target.name), Team: "graz", Kinds: []string{"alert", "lookup", "match"},
		URL: "http://" + a.target.name, Incarnation: "1", Slots: slots, Connections: 60,
	}
}

// start starts a new agent process without the state of the previous process.
func (a *fakeAgent) start() {
	a.mu.Lock()
	incarnation := fmt.Sprintf("%s-%d", a.id, a.restarts)
	a.mu.Unlock()
	executor, err := NewExecutor(ExecutorOptions{Targets: a.localTargets, Incarnation: incarnation})
	if err != nil {
		panic(err)
	}
	executor.forwarder.newClient = func(connections int) *http.Client {
		client := newTargetClient(connections)
		client.Transport.(*http.Transport).DialContext = func(ctx context.Context, _, _ string) (net.Conn, error) {
			return a.target.listener.dial(ctx)
		}
		return client
	}
	ctx, cancel := context.WithCancel(context.Background())
	a.mu.Lock()
	a.executor, a.cancel, a.dead = executor, cancel, false
	a.mu.Unlock()
	a.goroutines.Go(func() { _ = executor.Run(ctx) })
}

// kill ends the agent process. Requests that have reached the target continue.
func (a *fakeAgent) kill() {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.dead = true
	a.cancel()
}

func (a *fakeAgent) restart() {
	a.kill()
	a.mu.Lock()
	a.restarts++
	a.mu.Unlock()
	a.start()
}

func (a *fakeAgent) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activeFreezes++; a.activeFreezes == 1 {
		a.thawed = make(chan struct{})
	}
}

func (a *fakeAgent) thaw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.activeFreezes--; a.activeFreezes == 0 {
		close(a.thawed)
	}
}

func (a *fakeAgent) stop() {
	a.kill()
	a.goroutines.Wait()
	for _, c := range a.executor.forwarder.clients {
		c.client.CloseIdleConnections()
	}
	a.target.kill()
}

func (a *fakeAgent) candidate() membership.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	targets := a.localTargets.Targets()
	if len(targets) == 0 {
		return membership.Candidate{}
	}
	return membership.Candidate{
		Worker: a.id, FailureDomain: a.domain, Address: string(a.id), Incarnation: a.executor.options.Incarnation,
		Target: targets[0], AgentClock: a.executor.Uptime(), ClockReadAt: time.Now(),
	}
}

// simulatedCluster is a set of fake agents and the routers in front of them,
// which share a fake table.
type simulatedCluster struct {
	agents     []*fakeAgent
	history    *history
	members    *fakeCandidateSource
	claims     ClaimStore
	table      *fakeTable
	config     *structs.Config
	goroutines sync.WaitGroup
	cancel     context.CancelFunc
	ctx        context.Context
}

// fakeCandidateSource is a list of candidates that tests replace.
type fakeCandidateSource struct {
	mu   sync.Mutex
	list []membership.Candidate
}

func (m *fakeCandidateSource) Candidates(structs.TeamID, string) []membership.Candidate {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.list
}

func testConfig() *structs.Config {
	return &structs.Config{Revision: 1, Teams: []structs.TeamConfig{{
		ID: "graz", Limits: structs.TeamLimits{Concurrency: 10_000},
		Requests: []structs.RequestKind{
			{Name: "alert", Urgency: structs.Urgent, DeadlineMS: 5000},
			{Name: "lookup", Urgency: structs.Urgent, Idempotent: true, DeadlineMS: 5000},
			{Name: "match", Urgency: structs.Deferred, Idempotent: true, DeadlineMS: 5000},
		},
	}}}
}

func newSimulatedCluster(agents int, slots int, serviceTime time.Duration) *simulatedCluster {
	cluster := &simulatedCluster{history: &history{}, members: &fakeCandidateSource{}, config: testConfig()}
	cluster.ctx, cluster.cancel = context.WithCancel(context.Background())
	cluster.table = newFakeTable()
	cluster.claims = NewTableClaimStore(cluster.table)
	for i := range agents {
		cluster.agents = append(cluster.agents, newFakeAgent(fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i%2), cluster.history, slots, serviceTime))
	}
	cluster.refreshMembers()
	return cluster
}

// refreshMembers replaces the list of candidates by the current state of the
// agents, as their registrations would.
func (c *simulatedCluster) refreshMembers() {
	var list []membership.Candidate
	for _, a := range c.agents {
		if c := a.candidate(); c.Worker != "" {
			list = append(list, c)
		}
	}
	c.members.mu.Lock()
	defer c.members.mu.Unlock()
	c.members.list = list
}

func (c *simulatedCluster) dial(address string) (AgentConn, error) {
	for _, a := range c.agents {
		if string(a.id) == address {
			return a.dial()
		}
	}
	return nil, &structs.NotFoundError{Subject: "agent", Name: address}
}

func (c *simulatedCluster) newRouter() *Router {
	r, err := NewRouter(RouterOptions{
		FailureDomain: "d0", Candidates: c.members, Dial: c.dial, Claims: c.claims,
		Config: func() *structs.Config { return c.config },
	})
	if err != nil {
		panic(err)
	}
	c.goroutines.Go(func() { _ = r.Run(c.ctx) })
	return r
}

func (c *simulatedCluster) stop() {
	c.cancel()
	c.goroutines.Wait()
	for _, a := range c.agents {
		a.stop()
	}
	// Abandoned messages and target connections end in this time.
	time.Sleep(time.Minute)
}

// inSimulatedCluster runs a test with a simulated cluster in virtual time.
func inSimulatedCluster(t *testing.T, agents, slots int, serviceTime time.Duration, test func(t *testing.T, cluster *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		cluster := newSimulatedCluster(agents, slots, serviceTime)
		defer cluster.stop()
		test(t, cluster)
	})
}

func newCall(kind, name string) Call {
	return Call{Team: "graz", Kind: kind, Path: "/" + kind, Body: []byte(name)}
}

// isCompleteAnswer reports whether the answer is the complete answer to the
// named request.
func isCompleteAnswer(a Answer, name string) bool {
	return a.Status == http.StatusOK && strings.TrimPrefix(string(a.Body), "answer to ") == name
}
