package cell

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// fixedSeed makes every run of the property tests the same.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.nofailfile": "true", "rapid.checks": interleavings} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}

// testTiming is short, so that a run covers many leaders.
var testTiming = Timing{
	Term: 3 * time.Second, ForeignTerm: 12 * time.Second,
	Lease: KindDurations{Batch: 5 * time.Second, Service: 4 * time.Second},
	Ride:  KindDurations{Batch: 12 * time.Second, Service: 6 * time.Second},
	Grant: 2500 * time.Millisecond, Heartbeat: time.Second, Poll: time.Second, Call: time.Second,
}

// member is one agent process: its candidate and its ways out.
type member struct {
	host   *host
	port   *port
	node   *Node
	cancel context.CancelFunc
	ended  chan struct{}
	dead   bool
}

// world is a set of cells on one table, inside a synctest bubble.
type world struct {
	t        testing.TB
	ctx      context.Context
	timing   Timing
	capacity structs.Resources
	table    *standin.Table
	objects  *standin.Objects
	history  history
	jobs     *Jobs
	domains  *Domains
	quotas   Quotas // of every candidate, nil for none
	// rideOutage is that of every submitted job.
	rideOutage time.Duration
	work       sync.WaitGroup
	stop       context.CancelFunc

	mu      sync.Mutex
	members []*member
	delays  []time.Duration // of the next messages
	runs    time.Duration   // run time of every task
	// lateAssign holds assignments back, also when their sender has given up.
	lateAssign time.Duration
}

func newWorld(t testing.TB, timing Timing) *world {
	w := &world{
		t: t, timing: timing.withDefaults(), table: standin.NewTable(), objects: standin.NewObjects(),
		capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 4000}, runs: 3 * time.Second,
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.jobs = NewJobs(w.table, time.Second, nil)
	w.domains = NewDomains(w.table, time.Second)
	return w
}

// add starts n hosts of a cell, each with its candidate.
func (w *world) add(cell structs.CellID, domain structs.FailureDomainID, n int) {
	for range n {
		m := &member{host: newHost(w, structs.WorkerID(fmt.Sprintf("%s-%d", cell, len(w.members))), cell, domain)}
		m.port = &port{Table: w.table, objects: w.objects, history: &w.history, gate: &m.host.gate, late: &w.work}
		w.boot(m)
		w.mu.Lock()
		w.members = append(w.members, m)
		w.mu.Unlock()
		w.work.Go(func() { m.host.agent(w.ctx) })
	}
}

// boot starts the candidate of a member.
func (w *world) boot(m *member) {
	node, err := New(Options{
		Cell: m.host.cell, Domain: m.host.domain, Worker: m.host.id, Address: string(m.host.id),
		Table: m.port, Objects: objectPort{m.port}, Timing: w.timing, Quotas: w.quotas,
		Assign: func(ctx context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
			return w.assign(ctx, m, structs.WorkerID(address), req)
		},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	m.node, m.cancel, m.ended, m.dead = node, cancel, make(chan struct{}), false
	ended := m.ended
	w.mu.Unlock()
	w.work.Go(func() {
		defer close(ended)
		_ = node.Run(ctx)
	})
}

// kill ends a candidate without letting it release anything. It returns false
// when the candidate is dead already.
func (w *world) kill(m *member) bool {
	w.mu.Lock()
	dead, cancel, ended := m.dead, m.cancel, m.ended
	m.dead = true
	w.mu.Unlock()
	if dead {
		return false
	}
	m.port.set(func(p *port) { p.cut = true })
	cancel()
	m.host.gate.thaw()
	<-ended
	m.port.set(func(p *port) { p.cut = false })
	return true
}

func (w *world) nodeOf(m *member) *Node {
	w.mu.Lock()
	defer w.mu.Unlock()
	return m.node
}

func (w *world) member(id structs.WorkerID) *member {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, m := range w.members {
		if m.host.id == id {
			return m
		}
	}
	return nil
}

// next returns the member of the cell after the one named.
func (w *world) next(cell structs.CellID, after structs.WorkerID) structs.WorkerID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var own []structs.WorkerID
	for _, m := range w.members {
		if m.host.cell == cell {
			own = append(own, m.host.id)
		}
	}
	for i, id := range own {
		if id == after {
			return own[(i+1)%len(own)]
		}
	}
	return own[0]
}

// connected reports whether messages pass between two hosts.
func connected(a, b *host) bool {
	if a == b {
		return true
	}
	a.mu.Lock()
	cut := a.isolated
	a.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	return !cut && !b.isolated && !b.down
}

var errLost = &structs.UnavailableError{Dependency: "peer"}

// carry delivers a message, which may take longer than its sender waits.
func carry[T any](ctx context.Context, w *world, deliver func() T) (T, error) {
	w.mu.Lock()
	var delay time.Duration
	if len(w.delays) > 0 {
		delay, w.delays = w.delays[0], w.delays[1:]
	}
	w.mu.Unlock()
	answer := make(chan T, 1)
	w.work.Go(func() {
		time.Sleep(delay)
		answer <- deliver()
	})
	var none T
	ctx, cancel := context.WithTimeout(ctx, w.timing.Call)
	defer cancel()
	select {
	case a := <-answer:
		return a, nil
	case <-ctx.Done():
		return none, errLost
	}
}

func (w *world) heartbeat(ctx context.Context, from *host, to structs.WorkerID, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	m := w.member(to)
	if m == nil || !connected(from, m.host) {
		return nil, errLost
	}
	return carry(ctx, w, func() *daisywallpb.HeartbeatResponse {
		m.host.gate.pass()
		resp, _ := w.nodeOf(m).Heartbeat(ctx, req)
		m.host.gate.pass()
		return resp
	})
}

func (w *world) assign(ctx context.Context, from *member, to structs.WorkerID, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	from.host.gate.pass()
	m := w.member(to)
	if m == nil || !connected(from.host, m.host) {
		return nil, errLost
	}
	w.mu.Lock()
	late := w.lateAssign
	w.mu.Unlock()
	return carry(ctx, w, func() *daisywallpb.AssignResponse {
		time.Sleep(late)
		return m.host.assign(req)
	})
}

// runTime returns how long an attempt runs.
func (w *world) runTime(kind structs.WorkKind) time.Duration {
	if kind == structs.WorkService {
		return 24 * time.Hour
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

// running counts the tasks of the job that run now.
func (w *world) running(job structs.JobID) int {
	n := 0
	for _, m := range w.members {
		m.host.mu.Lock()
		m.host.tick(time.Now())
		for id, r := range m.host.runs {
			if id.Task.Job == job && !r.state.Over() {
				n++
			}
		}
		m.host.mu.Unlock()
	}
	return n
}

// eventually waits until the condition holds, for limit at most.
func eventually(limit time.Duration, condition func() bool) bool {
	for begin := time.Now(); !condition(); time.Sleep(time.Second) {
		if time.Since(begin) > limit {
			return false
		}
	}
	return true
}

// heal ends every fault.
func (w *world) heal() {
	for _, m := range w.members {
		m.port.set(func(p *port) { p.cut, p.lose, p.delay, p.slow = false, 0, 0, 0 })
		m.host.mu.Lock()
		m.host.isolated, m.host.fail, m.host.leaving, m.host.down = false, false, false, false
		m.host.mu.Unlock()
		m.host.gate.thaw()
	}
}

// close ends the world and waits for everything in it.
func (w *world) close() {
	w.heal()
	w.stop()
	w.work.Wait()
}

// verdict checks the record so far.
func (w *world) verdict() error {
	for _, m := range w.members {
		m.host.mu.Lock()
		m.host.tick(time.Now())
		m.host.mu.Unlock()
	}
	return check(w.history.sorted(), w.capacity)
}

// submit gives a job to the cells, waiting until some cell is there.
func (w *world) submit(key string, kind structs.WorkKind, tasks int32) structs.JobID {
	job := structs.Job{
		Team: "jabuka", Class: string(kind), Kind: kind, Program: "sleep", Tasks: tasks, MaxAttempts: 3,
		Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}, RideOutage: w.rideOutage,
	}
	for {
		got, err := w.jobs.Submit(w.ctx, job, key)
		if err == nil {
			return got.ID
		}
		if w.ctx.Err() != nil {
			return ""
		}
		time.Sleep(time.Second)
	}
}

// settled waits until the job is done, for limit at most.
func (w *world) settled(id structs.JobID, limit time.Duration) (JobStatus, bool) {
	var status JobStatus
	done := eventually(limit, func() bool {
		got, err := w.jobs.Status(w.ctx, id)
		if err == nil {
			status = got
		}
		return err == nil && got.Done()
	})
	return status, done
}
