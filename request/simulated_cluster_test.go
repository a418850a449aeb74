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

// memoryListener accepts connections made in the same process, so that real
// HTTP runs inside a synctest bubble.
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

// execution is one request as a target saw it.
type execution struct {
	id     string // Request-Id header
	body   string // names the caller's request
	target string
}

// history is the record of all executions, kept outside the code under test.
type history struct {
	mu    sync.Mutex
	began []execution
}

func (h *history) record(e execution) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.began = append(h.began, e)
}

// runs returns how often each caller's request was executed.
func (h *history) runs() map[string]int {
	h.mu.Lock()
	defer h.mu.Unlock()
	runs := map[string]int{}
	for _, e := range h.began {
		runs[e.body]++
	}
	return runs
}

// fakeTarget is an HTTP server that records what it executes.
type fakeTarget struct {
	name     string
	listener *memoryListener
	server   *http.Server
	history  *history

	mu       sync.Mutex
	takes    time.Duration
	truncate bool // half of the answer, then the connection is cut
	dead     bool // the process was killed
}

func newFakeTarget(name string, h *history, takes time.Duration) *fakeTarget {
	f := &fakeTarget{name: name, listener: newMemoryListener(), history: h, takes: takes}
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
	f.mu.Lock()
	takes, truncate := f.takes, f.truncate
	f.mu.Unlock()
	time.Sleep(takes)
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

// fakeAgent is an agent with one target, reached through connections with
// faults.
type fakeAgent struct {
	id       structs.WorkerID
	domain   structs.FailureDomainID
	target   *fakeTarget
	locals   *membership.LocalTargets
	executor *Executor
	cancel   context.CancelFunc

	mu       sync.Mutex
	dead     bool
	faults   map[int]fault // by number of the connection, counted from 1; 0 for all
	dialled  []*fakeConn
	thawed   chan struct{} // closed unless frozen
	restarts int
	freezes  int // under way at once
	started  sync.WaitGroup
}

// fault is what a connection does to messages. It is read when a message is
// sent, when it arrives and when its answer arrives.
type fault string

const (
	faultNone        fault = "none"
	faultSilent      fault = "silent"       // nothing arrives either way
	faultCut         fault = "cut"          // closed; what is under way is lost
	faultDropAnswer  fault = "answers lost" // requests arrive
	faultLateRequest fault = "request late"
	faultLateAnswer  fault = "answer late"
	faultDuplicate   fault = "request duplicated"
)

func newFakeAgent(id string, domain string, h *history, slots int, takes time.Duration) *fakeAgent {
	a := &fakeAgent{
		id: structs.WorkerID(id), domain: structs.FailureDomainID(domain), faults: map[int]fault{},
		target: newFakeTarget("target-"+id, h, takes), thawed: make(chan struct{}),
		locals: membership.NewLocalTargets(membership.LocalOptions{TTL: 24 * time.Hour}),
	}
	close(a.thawed)
	_ = a.locals.Announce(a.announcement(slots))
	a.boot()
	return a
}

func (a *fakeAgent) announcement(slots int) structs.Target {
	return structs.Target{
		ID: structs.TargetID(a.target.name), Team: "graz", Kinds: []string{"alert", "lookup", "match"},
		URL: "http://" + a.target.name, Incarnation: "1", Slots: slots, Connections: 60,
	}
}

// boot starts the agent process; it forgets everything.
func (a *fakeAgent) boot() {
	a.mu.Lock()
	incarnation := fmt.Sprintf("%s-%d", a.id, a.restarts)
	a.mu.Unlock()
	executor, err := NewExecutor(ExecutorOptions{Targets: a.locals, Incarnation: incarnation})
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
	a.started.Go(func() { _ = executor.Run(ctx) })
}

// kill ends the agent process; requests at the target go on.
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
	a.boot()
}

func (a *fakeAgent) freeze() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freezes++; a.freezes == 1 {
		a.thawed = make(chan struct{})
	}
}

func (a *fakeAgent) thaw() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.freezes--; a.freezes == 0 {
		close(a.thawed)
	}
}

func (a *fakeAgent) stop() {
	a.kill()
	a.started.Wait()
	for _, c := range a.executor.forwarder.clients {
		c.client.CloseIdleConnections()
	}
	a.target.kill()
}

func (a *fakeAgent) candidate() membership.Candidate {
	a.mu.Lock()
	defer a.mu.Unlock()
	targets := a.locals.Targets()
	if len(targets) == 0 {
		return membership.Candidate{}
	}
	return membership.Candidate{
		Worker: a.id, FailureDomain: a.domain, Address: string(a.id), Incarnation: a.executor.options.Incarnation,
		Target: targets[0], AgentClock: a.executor.Clock(), ClockRead: time.Now(),
	}
}

// world is a set of agents and the entries in front of them.
type world struct {
	agents  []*fakeAgent
	history *history
	members *fakeMembers
	claims  Claims
	table   *fakeTable
	config  *structs.Config
	started sync.WaitGroup
	cancel  context.CancelFunc
	ctx     context.Context
}

// fakeMembers is a list that tests replace.
type fakeMembers struct {
	mu   sync.Mutex
	list []membership.Candidate
}

func (m *fakeMembers) Candidates(structs.TeamID, string) []membership.Candidate {
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

func newWorld(agents int, slots int, takes time.Duration) *world {
	w := &world{history: &history{}, members: &fakeMembers{}, config: testConfig()}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.table = newFakeTable()
	w.claims = NewTableClaims(w.table)
	for i := range agents {
		w.agents = append(w.agents, newFakeAgent(fmt.Sprintf("w%d", i), fmt.Sprintf("d%d", i%2), w.history, slots, takes))
	}
	w.refresh()
	return w
}

// refresh is what a registration does.
func (w *world) refresh() {
	var list []membership.Candidate
	for _, a := range w.agents {
		if c := a.candidate(); c.Worker != "" {
			list = append(list, c)
		}
	}
	w.members.mu.Lock()
	defer w.members.mu.Unlock()
	w.members.list = list
}

func (w *world) dial(address string) (AgentConn, error) {
	for _, a := range w.agents {
		if string(a.id) == address {
			return a.dial()
		}
	}
	return nil, &structs.NotFoundError{Subject: "agent", Name: address}
}

func (w *world) router() *Router {
	r, err := NewRouter(RouterOptions{
		FailureDomain: "d0", Members: w.members, Dial: w.dial, Claims: w.claims,
		Config: func() *structs.Config { return w.config },
	})
	if err != nil {
		panic(err)
	}
	w.started.Go(func() { _ = r.Run(w.ctx) })
	return r
}

func (w *world) stop() {
	w.cancel()
	w.started.Wait()
	for _, a := range w.agents {
		a.stop()
	}
	// Lets abandoned messages and target connections end.
	time.Sleep(time.Minute)
}

// inWorld runs a test in virtual time.
func inWorld(t *testing.T, agents, slots int, takes time.Duration, test func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(agents, slots, takes)
		defer w.stop()
		test(t, w)
	})
}

func call(kind, name string) Call {
	return Call{Team: "graz", Kind: kind, Path: "/" + kind, Body: []byte(name)}
}

// isWhole reports whether the answer is the whole answer to the named request.
func isWhole(a Answer, name string) bool {
	return a.Status == http.StatusOK && strings.TrimPrefix(string(a.Body), "answer to ") == name
}
