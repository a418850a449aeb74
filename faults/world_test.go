package faults

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/worker"
)

const (
	callTimeout = time.Second
	// outBound is how long after operators have taken a failure domain out
	// something may still start in it.
	outBound = 3 * time.Second
)

var (
	oneTask  = structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
	capacity = oneTask.Scale(4)
)

// timing is short, so that a run covers many leaders.
var timing = cell.Timing{
	Term: 3 * time.Second, ForeignTerm: 12 * time.Second,
	Lease: cell.KindDurations{Batch: 5 * time.Second, Service: 4 * time.Second},
	Ride:  cell.KindDurations{Batch: 12 * time.Second, Service: 6 * time.Second},
	Grant: worker.DefaultStartGrant, Heartbeat: time.Second, Poll: time.Second, Call: callTimeout,
}

// world is a set of cells in two failure domains on one platform, inside a
// synctest bubble.
type world struct {
	t          *testing.T
	ctx        context.Context
	stop       context.CancelFunc
	platform   *standin.Platform
	jobs       *cell.Jobs
	domains    *cell.Domains
	background sync.WaitGroup
	exact      bool          // nothing keeps leaders from hearing of ends
	operator   chan struct{} // held by the one at work
	planted    planted

	mu        sync.Mutex
	processes []*process                      // the newest of each worker
	delays    []time.Duration                 // of the next messages
	assigns   []time.Duration                 // of the next requests to agents, besides
	asked     map[daisywallpb.Action_Verb]int // actions that leaders sent
	assigned  int                             // assignments that leaders sent
	out       map[structs.FailureDomainID]time.Time
	outages   []outage
}

// planted holds faults of the code under test.
type planted struct {
	grant time.Duration // of the agents, in the place of the leaders'
	lease int64         // factor of the leases that agents read
}

// outage is the time in which a failure domain was out.
type outage struct {
	domain   structs.FailureDomainID
	from, to time.Time
}

func newWorld(t *testing.T, p planted) *world {
	w := &world{
		planted: p,
		t:       t, platform: standin.NewPlatform(), operator: make(chan struct{}, 1),
		asked: map[daisywallpb.Action_Verb]int{}, out: map[structs.FailureDomainID]time.Time{},
	}
	w.ctx, w.stop = context.WithCancel(context.Background())
	w.jobs = cell.NewJobs(w.platform.Table, callTimeout, nil)
	w.domains = cell.NewDomains(w.platform.Table, callTimeout)
	w.addCell("a", "north", 3)
	w.addCell("b", "south", 3)
	return w
}

func (w *world) addCell(id structs.CellID, domain structs.FailureDomainID, workers int) {
	for i := range workers {
		name := fmt.Sprintf("%s-%d", id, i)
		w.platform.AddWorker(structs.WorkerID(name), capacity)
		w.boot(structs.Worker{
			ID: structs.WorkerID(name), Cell: id, FailureDomain: domain, Rack: name, Capacity: capacity, Address: name,
		})
	}
}

// boot starts the agent process of a worker, in the place of the one before.
func (w *world) boot(host structs.Worker) {
	p := &process{worker: host}
	var err error
	p.node, err = cell.New(cell.Options{
		Cell: host.Cell, Domain: host.FailureDomain, Worker: host.ID, Address: host.Address,
		Table: tableOf{p, w.platform.Table}, Objects: objectsOf{p, w.platform.Objects},
		Assign: w.assignFrom(p), Timing: timing,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	p.agent, err = worker.New(worker.Options{
		Worker: host, Runtime: runtimeOf{w.platform.Runtimes[host.ID], p}, Finder: finder{w, p},
		Heartbeat: w.heartbeatFrom(p), CallTimeout: callTimeout, StartGrant: w.planted.grant,
	})
	if err != nil {
		w.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(w.ctx)
	p.cancel = cancel
	w.replace(p)
	p.done.Go(func() { _ = p.node.Run(ctx) })
	p.done.Go(func() { _ = p.agent.Run(ctx) })
}

func (w *world) replace(p *process) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for i, old := range w.processes {
		if old.worker.ID == p.worker.ID {
			w.processes[i] = p
			return
		}
	}
	w.processes = append(w.processes, p)
}

// restart kills the agent process of a worker and starts another.
func (w *world) restart(p *process) {
	p.kill()
	w.boot(p.worker)
}

func (w *world) process(address string) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.worker.Address == address {
			return p
		}
	}
	return nil
}

// nextAddress returns a member of the cell of p, another with every call.
func (w *world) nextAddress(p *process) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var own []string
	for _, other := range w.processes {
		if other.worker.Cell == p.worker.Cell {
			own = append(own, other.worker.Address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.tries++
	return own[p.tries%len(own)]
}

// leader returns the process that leads the cell, or its first member.
func (w *world) leader(id structs.CellID) *process {
	w.mu.Lock()
	defer w.mu.Unlock()
	var first *process
	for _, p := range w.processes {
		if p.worker.Cell != id {
			continue
		}
		if first == nil {
			first = p
		}
		if _, leading := p.node.Leading(); leading {
			return p
		}
	}
	return first
}

// follower returns a process of the cell that does not lead it.
func (w *world) follower(id structs.CellID) *process {
	leader := w.leader(id)
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.processes {
		if p.worker.Cell == id && p != leader {
			return p
		}
	}
	return leader
}

// takeDelay returns the delay of the next message from a list.
func (w *world) takeDelay(list *[]time.Duration) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(*list) == 0 {
		return 0
	}
	delay := (*list)[0]
	*list = (*list)[1:]
	return delay
}

// delay holds the next messages of a list back.
func (w *world) delay(list *[]time.Duration, d time.Duration, messages int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	*list = append(*list, slices.Repeat([]time.Duration{d}, messages)...)
}

func (w *world) noteAssign(req *daisywallpb.AssignRequest) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.assigned += len(req.GetAssignments())
	for _, a := range req.GetActions() {
		w.asked[a.GetVerb()]++
	}
}

// submit gives a job to the cells, waiting until some cell takes it.
func (w *world) submit(key string, kind structs.WorkKind, program, input string, tasks int32) structs.JobID {
	job := structs.Job{
		Team: "jabuka", Class: program, Kind: kind, Program: program, Input: input, Tasks: tasks, MaxAttempts: 2, Resources: oneTask,
	}
	for {
		got, err := w.jobs.Submit(w.ctx, job, key)
		if err == nil {
			return got.ID
		}
		time.Sleep(time.Second)
	}
}

// setDomain takes a failure domain out or in, as often as the table needs it.
func (w *world) setDomain(id structs.FailureDomainID, out bool) {
	w.operator <- struct{}{}
	defer func() { <-w.operator }()
	asked := time.Now()
	for {
		if err := w.tryDomain(id, out, asked); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// tryDomain records a failure domain as out from when that is known, and as in
// from when it was asked for: an answer may have been lost.
func (w *world) tryDomain(id structs.FailureDomainID, out bool, asked time.Time) error {
	row, err := w.domains.Get(w.ctx, id)
	if err != nil {
		return err
	}
	change := w.domains.In
	if out {
		change = w.domains.Out
	}
	if _, err = change(w.ctx, id, row.Revision, "operator", "test"); err != nil {
		return err
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	from, isOut := w.out[id]
	switch {
	case out && !isOut:
		w.out[id] = time.Now()
	case !out && isOut:
		w.outages = append(w.outages, outage{id, from, asked})
		delete(w.out, id)
	}
	return nil
}

// heal ends every fault.
func (w *world) heal() {
	w.platform.Table.Faults.Clear()
	w.platform.Objects.Faults.Clear()
	for _, r := range w.platform.Runtimes {
		r.Faults.Clear()
	}
	w.mu.Lock()
	processes := append([]*process{}, w.processes...)
	w.delays, w.assigns = nil, nil
	w.mu.Unlock()
	for _, p := range processes {
		p.set(func(p *process) { p.cut, p.isolated = false, false })
		p.gate.thaw()
	}
}

// close ends the world and waits for everything in it.
func (w *world) close() {
	w.heal()
	w.stop()
	for _, p := range w.processes {
		p.done.Wait()
	}
	w.background.Wait()
	w.platform.Close()
}

// eventually waits for a condition, for limit at most.
func eventually(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// settled waits until the job is done.
func (w *world) settled(id structs.JobID, limit time.Duration) (cell.JobStatus, bool) {
	var status cell.JobStatus
	done := eventually(limit, func() bool {
		got, err := w.jobs.Status(w.ctx, id)
		if err == nil {
			status = got
		}
		return err == nil && got.Done()
	})
	return status, done
}
