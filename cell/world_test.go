package cell

import (
	"context"
	"flag"
	"fmt"
	"os"
	"sync"
	"testing"
	"time"

	_ "pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/platform/standin"
	"github.com/daisywall/daisywall/structs"
)

// fixedSeed makes every run of the property tests the same.
const fixedSeed = "20261203"

func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": fixedSeed, "rapid.nofailfile": "true"} {
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
	work     sync.WaitGroup
	stop     context.CancelFunc

	mu      sync.Mutex
	members []*member
	delays  []time.Duration // of the next messages
	runs    time.Duration   // run time of every task
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
	for i := range n {
		m := &member{host: newHost(w, structs.WorkerID(fmt.Sprintf("%s-%d", cell, i)), cell, domain)}
		m.port = &port{Table: w.table, objects: w.objects, gate: &m.host.gate, late: &w.work}
		w.mu.Lock()
		w.members = append(w.members, m)
		w.mu.Unlock()
		w.work.Go(func() { m.host.runtime(w.ctx) })
		w.work.Go(func() { m.host.agent(w.ctx) })
		w.boot(m)
	}
}

// boot starts the candidate of a member.
func (w *world) boot(m *member) {
	node, err := New(Options{
		Cell: m.host.cell, Domain: m.host.domain, Worker: m.host.id, Address: string(m.host.id),
		Table: m.port, Objects: objectPort{m.port}, Timing: w.timing,
		Assign: func(ctx context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
			return w.assign(ctx, m, structs.WorkerID(address), req)
		},
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	w.mu.Lock()
	m.node, m.cancel, m.ended = node, cancel, make(chan struct{})
	ended := m.ended
	w.mu.Unlock()
	w.work.Go(func() {
		defer close(ended)
		_ = node.Run(ctx)
	})
}

// kill ends a candidate without letting it release anything.
func (w *world) kill(m *member) {
	m.port.set(func(p *port) { p.cut = true })
	m.cancel()
	m.host.gate.thaw()
	<-m.ended
	m.port.set(func(p *port) { p.cut = false })
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
		w.mu.Lock()
		node := m.node
		w.mu.Unlock()
		resp, _ := node.Heartbeat(ctx, req)
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
	return carry(ctx, w, func() *daisywallpb.AssignResponse { return m.host.assign(req) })
}

// runTime returns how long an attempt runs.
func (w *world) runTime(structs.AttemptID) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs
}

// watch writes the leadership rows into the history until ctx ends.
func (w *world) watch(cells ...structs.CellID) {
	w.work.Go(func() {
		for sleep(w.ctx, 50*time.Millisecond) == nil {
			for _, cell := range cells {
				row, err := w.table.Get(w.ctx, leaderKey(cell))
				var l Leadership
				if err == nil && decode(row.Key, row.Value, &l) == nil {
					w.history.add(event{kind: eventLead, cell: cell, host: l.Worker, epoch: l.Epoch})
				}
			}
		}
	})
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

// submit gives a job to the cells, waiting until some cell is there.
func (w *world) submit(key string, kind structs.WorkKind, tasks int32) structs.JobID {
	job := structs.Job{
		Team: "jabuka", Class: string(kind), Kind: kind, Program: "sleep", Tasks: tasks, MaxAttempts: 3,
		Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000},
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
	begin := time.Now()
	for {
		status, err := w.jobs.Status(w.ctx, id)
		if err == nil && status.Done() {
			return status, true
		}
		if time.Since(begin) > limit {
			return status, false
		}
		time.Sleep(time.Second)
	}
}
