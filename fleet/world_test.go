package fleet

import (
	"context"
	"fmt"
	"net"
	"os"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/test/bufconn"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// world is a fleet of nodes with their runners, a store, and entries, in one
// synctest bubble.
type world struct {
	t       *testing.T
	store   *standin.PartStore
	timing  Timing
	start   time.Time
	checker *standin.RunChecker
	config  *fixedConfig
	runTime func(structs.TaskRun) time.Duration
	gangs   *standin.Gangs
	permits *standin.PermitIssuer // nil for queues without a policy
	// beforeStart is called before each start reaches the runner; nil for nothing.
	beforeStart func(h *worldHost)

	hosts []*worldHost
}

// worldHost is one host: an agent's process and a runner.
type worldHost struct {
	w      *world
	name   structs.WorkerID
	domain structs.FailureDomainID
	runner *standin.TaskRunner
	store  *standin.PartStoreClient

	mu       sync.Mutex
	node     *Node
	listener *bufconn.Listener
	cancel   context.CancelFunc
	done     chan struct{}
	cut      bool // from all other hosts
}

// fixedConfig is the operators' configuration in a world.
type fixedConfig struct {
	queue   structs.Queue
	mu      sync.Mutex
	drained map[structs.FailureDomainID]struct{}
	changed chan struct{}
}

func (c *fixedConfig) Current() (*structs.FleetConfig, time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return &structs.FleetConfig{Version: 1, Queues: map[structs.QueueID]structs.Queue{"q": c.queue}, Drained: c.drained}, 0
}

func (c *fixedConfig) Changed() <-chan struct{} { return c.changed }

func (c *fixedConfig) drain(domains ...structs.FailureDomainID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.drained = map[structs.FailureDomainID]struct{}{}
	for _, d := range domains {
		c.drained[d] = struct{}{}
	}
}

var worldQueue = structs.Queue{ID: "q", Pool: "pool", MaxAttempts: 3, Stretch: 2}

// taskCPU is what each task of a world asks for.
const taskCPU = 500

var worldCapacity = structs.Resources{MilliCPU: 4000, MemoryMB: 8000}

func newWorld(t *testing.T, hosts int) *world { return newWorldWith(t, hosts, nil) }

// newWorldWith returns a world whose queue needs permits, unless nil.
func newWorldWith(t *testing.T, hosts int, permits *standin.PermitIssuer) *world {
	w := &world{
		t: t, store: standin.NewPartStore(), start: time.Now(), timing: Timing{HoldMax: 10 * time.Second}.withDefaults(),
		config: &fixedConfig{changed: make(chan struct{}), queue: worldQueue}, permits: permits,
		runTime: func(structs.TaskRun) time.Duration { return time.Second },
	}
	if permits != nil {
		w.config.queue.Permits = permits.Policy
	}
	w.checker = standin.NewRunChecker(worldCapacity.MilliCPU, taskCPU)
	w.gangs = standin.NewGangs(gangWait, gangSize)
	for i := range hosts {
		name := structs.WorkerID(fmt.Sprintf("host-%d", i))
		domain := structs.FailureDomainID(fmt.Sprintf("domain-%d", i%3))
		h := &worldHost{w: w, name: name, domain: domain, store: w.store.Client()}
		h.runner = standin.NewTaskRunner(standin.TaskRunnerOptions{
			Info: substrate.RunnerInfo{
				ID: string(name), Pool: "pool", FailureDomain: domain, Capacity: worldCapacity, Address: string(name),
			},
			HoldMax: w.timing.HoldMax, Observer: w.checker, Gangs: w.gangs, Permits: permits, KeepsID: true,
			RunTime: func(r structs.TaskRun) time.Duration { return w.runTime(r) },
		})
		w.hosts = append(w.hosts, h)
		h.boot()
	}
	return w
}

func (w *world) clock() bootclock.Time { return bootclock.Time(time.Since(w.start) + time.Hour) }

func (w *world) dial(from *worldHost) Dial {
	return func(ctx context.Context, address string) (net.Conn, error) {
		for _, h := range w.hosts {
			if string(h.name) != address {
				continue
			}
			h.mu.Lock()
			listener, away := h.listener, h != from && (h.cut || (from != nil && from.isCut()))
			h.mu.Unlock()
			if away {
				<-ctx.Done()
				return nil, ctx.Err()
			}
			if listener == nil {
				return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
			}
			conn, err := listener.DialContext(ctx)
			if err != nil {
				return nil, err
			}
			gate := &gatedConn{Conn: conn, a: from, b: h}
			return gate, nil
		}
		return nil, &net.OpError{Op: "dial", Err: syscall.ECONNREFUSED}
	}
}

func (h *worldHost) isCut() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.cut
}

// gatedConn loses what is written while one of its ends is cut off; the
// connection is of no use from then on.
type gatedConn struct {
	net.Conn
	a, b *worldHost
	mu   sync.Mutex
	lost bool
}

func (c *gatedConn) broken() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.a != c.b && (c.b.isCut() || (c.a != nil && c.a.isCut())) {
		c.lost = true
	}
	return c.lost
}

func (c *gatedConn) Write(p []byte) (int, error) {
	if c.broken() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *gatedConn) Read(p []byte) (int, error) {
	for {
		n, err := c.Conn.Read(p)
		if err != nil || !c.broken() {
			return n, err
		}
	}
}

// watchedRunner is the client of a host's runner.
type watchedRunner struct {
	substrate.Runner
	h *worldHost
}

// Start implements substrate.Runner.
func (r *watchedRunner) Start(ctx context.Context, fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) (substrate.RuntimeClock, error) {
	if r.h.w.beforeStart != nil {
		r.h.w.beforeStart(r.h)
	}
	return r.Runner.Start(ctx, fence, start, lease)
}

// boot starts the agent's process.
func (h *worldHost) boot() {
	var permits substrate.PermitSource
	if h.w.permits != nil {
		permits = h.w.permits
	}
	node, err := NewNode(Options{
		Permits: permits,
		Worker:  h.name, FailureDomain: h.domain, Address: string(h.name), Store: h.store,
		Runner: func(info substrate.RunnerInfo) substrate.Runner {
			return &watchedRunner{Runner: h.runner.Client(info.Incarnation), h: h}
		},
		Config: func() (ConfigSource, func()) { return h.w.config, func() {} },
		Dial:   h.w.dial(h), Clock: h.w.clock, Wall: time.Now, Timing: h.w.timing, Log: testLog,
	})
	if err != nil {
		h.w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	listener := bufconn.Listen(1 << 20)
	server := grpc.NewServer()
	fleetpb.RegisterFleetServer(server, node)
	done := make(chan struct{})
	go func() { _ = server.Serve(listener) }()
	go func() {
		defer close(done)
		if err := node.Run(ctx); err != nil {
			h.w.t.Errorf("node %s: %v", h.name, err)
		}
		server.Stop()
	}()
	go h.beat(ctx, node)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.node, h.listener, h.cancel, h.done = node, listener, cancel, done
}

// beat passes the runner's reports on.
func (h *worldHost) beat(ctx context.Context, node *Node) {
	for {
		if !h.runner.Away() {
			node.Announce(h.runner.Report())
		}
		if sleep(ctx, 500*time.Millisecond) != nil {
			return
		}
	}
}

// kill ends the agent's process.
func (h *worldHost) kill() {
	h.mu.Lock()
	cancel, done := h.cancel, h.done
	if h.listener != nil {
		_ = h.listener.Close()
	}
	h.listener, h.node, h.cancel = nil, nil, nil
	h.mu.Unlock()
	if cancel != nil {
		cancel()
		<-done
	}
}

func (h *worldHost) alive() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.node != nil
}

func (h *worldHost) setCut(cut bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.cut = cut
}

func (w *world) close() {
	for _, h := range w.hosts {
		h.kill()
	}
	for _, h := range w.hosts {
		h.runner.Crash(false)
	}
	time.Sleep(30 * time.Second) // timers and calls that were given up
}

// leader returns the host that leads, nil if none does.
func (w *world) leader() *worldHost {
	for _, h := range w.hosts {
		h.mu.Lock()
		node := h.node
		h.mu.Unlock()
		if node != nil && node.leading() != nil {
			return h
		}
	}
	return nil
}

// until waits for a condition.
func (w *world) until(what string, limit time.Duration, ok func() bool) {
	w.t.Helper()
	for begun := time.Now(); !ok(); time.Sleep(20 * time.Millisecond) {
		if time.Since(begun) > limit {
			w.t.Fatalf("not within %s: %s", limit, what)
		}
	}
}

// ready waits for a leader with all workers.
func (w *world) ready() *leader {
	w.t.Helper()
	w.until("a leader with all workers", 20*time.Second, func() bool { return w.readyWorkers() == len(w.hosts) })
	return w.leader().node.leading()
}

func (w *world) readyWorkers() int {
	h := w.leader()
	if h == nil {
		return 0
	}
	ready := 0
	l := h.node.leading()
	if l == nil {
		return 0
	}
	l.do(context.Background(), func() {
		for _, worker := range l.workers {
			if worker.ready && worker.incarnation != "" {
				ready++
			}
		}
	})
	return ready
}

func (w *world) entry() *Entry {
	return NewEntry(w.store.Client(), w.dial(nil), zap.NewNop())
}

// job returns a job of steps that follow each other.
func worldJob(id string, widths ...int32) *structs.StepJob {
	j := &structs.StepJob{ID: structs.JobID(id), Queue: "q", Payload: "work"}
	for i, n := range widths {
		step := structs.Step{Tasks: n, Resources: structs.Resources{MilliCPU: taskCPU, MemoryMB: 100}}
		if i > 0 {
			step.After = []int32{int32(i - 1)}
		}
		j.Steps = append(j.Steps, step)
	}
	return j
}

// gangWait is how long a member of a gang waits for the others.
const gangWait = 3 * time.Second

// gangPrefix begins the names of jobs whose steps are gangs of gangTasks.
const (
	gangPrefix = "gang-"
	gangTasks  = 3
)

func gangSize(id structs.StepTaskID) int {
	if strings.HasPrefix(string(id.Job), gangPrefix) {
		return gangTasks
	}
	return 0
}

// gangJob returns a job of gangs that follow each other.
func gangJob(name string, steps int) *structs.StepJob {
	widths := make([]int32, steps)
	for i := range widths {
		widths[i] = gangTasks
	}
	j := worldJob(gangPrefix+name, widths...)
	for i := range j.Steps {
		j.Steps[i].Gang = true
	}
	return j
}

func (w *world) submit(e *Entry, j *structs.StepJob) error {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	return e.Submit(ctx, j, worldQueue)
}

func (w *world) phase(e *Entry, id string) structs.JobPhase {
	ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
	defer cancel()
	phase, err := e.Phase(ctx, structs.JobID(id), "q")
	if err != nil {
		return ""
	}
	return phase
}

// nopLog drops its lines.
var nopLog = zap.NewNop()

// notLeader returns a host that does not lead.
func (w *world) notLeader() *worldHost {
	leader := w.leader()
	for _, h := range w.hosts {
		if h != leader {
			return h
		}
	}
	return nil
}

// runs returns the number of runs on the host.
func (h *worldHost) runs() int {
	return h.w.checker.RunsOn(string(h.name))
}

// startsOf returns how often a task of the first step started on the host.
func (h *worldHost) startsOf(job structs.JobID, index int32) int {
	return h.w.checker.StartsOn(string(h.name), structs.StepTaskID{Job: job, Index: index})
}

// testLog shows the nodes' lines when FLEET_LOG is set.
var testLog = func() *zap.Logger {
	if os.Getenv("FLEET_LOG") == "" {
		return zap.NewNop()
	}
	return zap.Must(zap.NewDevelopment())
}()
