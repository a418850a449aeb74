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
	// startAfterOutLimit is the time in which tasks may still start in a
	// failure domain after operators have taken it out of service.
	startAfterOutLimit = 3 * time.Second
)

var (
	taskResources = structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
	capacity      = taskResources.Scale(4)
)

// timing holds short durations, so that a test covers many terms of leaders.
var timing = cell.Timing{
	TakeoverAfter: 3 * time.Second, ForeignTakeoverAfter: 12 * time.Second,
	Lease:      cell.KindDurations{Batch: 5 * time.Second, Service: 4 * time.Second},
	RideOut:    cell.KindDurations{Batch: 12 * time.Second, Service: 6 * time.Second},
	StartGrant: worker.DefaultStartGrant, MinHeartbeatInterval: time.Second, PollInterval: time.Second, CallTimeout: callTimeout,
}

// simCluster is a set of cells in two failure domains on one simulated
// platform, inside a synctest bubble.
type simCluster struct {
	t                *testing.T
	ctx              context.Context
	stop             context.CancelFunc
	platform         *standin.Platform
	jobs             *cell.Jobs
	domains          *cell.Domains
	background       sync.WaitGroup
	exactCheckpoints bool          // set if no fault keeps leaders from receiving the ends of attempts
	operatorLock     chan struct{} // held during a change by an operator
	bugs             injectedBugs

	mu              sync.Mutex
	processes       []*process                      // current process of each worker
	messageDelays   []time.Duration                 // delays of the next messages, in the order of sending
	requestDelays   []time.Duration                 // additional delays of the next requests to agents, in the order of sending
	sentActions     map[daisywallpb.Action_Verb]int // number of actions that leaders sent, by verb
	sentAssignments int                             // number of assignments that leaders sent
	outSince        map[structs.FailureDomainID]time.Time
	outages         []outage
}

// injectedBugs are bugs of the code under test. A zero field injects none.
type injectedBugs struct {
	startGrant  time.Duration // start grant that agents apply instead of the grant of the leaders
	leaseFactor int64         // factor by which batch leases are multiplied on their way to agents
}

// outage is a period in which a failure domain was out of service.
type outage struct {
	domain   structs.FailureDomainID
	from, to time.Time
}

func newSimCluster(t *testing.T, bugs injectedBugs) *simCluster {
	c := &simCluster{
		bugs: bugs,
		t:    t, platform: standin.NewPlatform(), operatorLock: make(chan struct{}, 1),
		sentActions: map[daisywallpb.Action_Verb]int{}, outSince: map[structs.FailureDomainID]time.Time{},
	}
	c.ctx, c.stop = context.WithCancel(context.Background())
	c.jobs = cell.NewJobs(c.platform.Table, callTimeout, nil)
	c.domains = cell.NewDomains(c.platform.Table, callTimeout)
	c.addCell("a", "north", 3)
	c.addCell("b", "south", 3)
	return c
}

func (c *simCluster) addCell(id structs.CellID, domain structs.FailureDomainID, workers int) {
	for i := range workers {
		name := fmt.Sprintf("%s-%d", id, i)
		c.platform.AddWorker(structs.WorkerID(name), capacity)
		c.startProcess(structs.Worker{
			ID: structs.WorkerID(name), Cell: id, FailureDomain: domain, Rack: name, Capacity: capacity, Address: name,
		})
	}
}

// startProcess starts the agent process of a worker. It replaces an earlier
// process of the worker.
func (c *simCluster) startProcess(host structs.Worker) {
	p := &process{worker: host}
	var err error
	p.node, err = cell.New(cell.Options{
		Cell: host.Cell, Domain: host.FailureDomain, Worker: host.ID, Address: host.Address,
		Table: processTable{p, c.platform.Table}, Objects: processObjects{p, c.platform.Objects},
		Assign: c.assignFrom(p), Timing: timing,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	p.agent, err = worker.New(worker.Options{
		Worker: host, Runtime: processRuntime{c.platform.Runtimes[host.ID], p}, Finder: leaderFinder{c, p},
		Heartbeat: c.heartbeatFrom(p), CallTimeout: callTimeout, StartGrant: c.bugs.startGrant,
	})
	if err != nil {
		c.t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(c.ctx)
	p.cancel = cancel
	c.setProcess(p)
	p.done.Go(func() { _ = p.node.Run(ctx) })
	p.done.Go(func() { _ = p.agent.Run(ctx) })
}

func (c *simCluster) setProcess(p *process) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for i, old := range c.processes {
		if old.worker.ID == p.worker.ID {
			c.processes[i] = p
			return
		}
	}
	c.processes = append(c.processes, p)
}

// restart kills the agent process of a worker and starts a new one.
func (c *simCluster) restart(p *process) {
	p.kill()
	c.startProcess(p.worker)
}

func (c *simCluster) processAt(address string) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.worker.Address == address {
			return p
		}
	}
	return nil
}

// nextAddress returns the addresses of the members of the cell of p, one per
// call in turn.
func (c *simCluster) nextAddress(p *process) string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var members []string
	for _, other := range c.processes {
		if other.worker.Cell == p.worker.Cell {
			members = append(members, other.worker.Address)
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.findCalls++
	return members[p.findCalls%len(members)]
}

// leader returns the process that leads the cell, or the first member if none
// leads.
func (c *simCluster) leader(id structs.CellID) *process {
	c.mu.Lock()
	defer c.mu.Unlock()
	var first *process
	for _, p := range c.processes {
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

// follower returns a process of the cell that does not lead it, or the leader
// if there is no other.
func (c *simCluster) follower(id structs.CellID) *process {
	leader := c.leader(id)
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, p := range c.processes {
		if p.worker.Cell == id && p != leader {
			return p
		}
	}
	return leader
}

// nextDelay removes the first delay of a list and returns it.
func (c *simCluster) nextDelay(list *[]time.Duration) time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(*list) == 0 {
		return 0
	}
	delay := (*list)[0]
	*list = (*list)[1:]
	return delay
}

// addDelays appends delays to a list, which applies them to the next messages.
func (c *simCluster) addDelays(list *[]time.Duration, d time.Duration, messages int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	*list = append(*list, slices.Repeat([]time.Duration{d}, messages)...)
}

func (c *simCluster) countSent(req *daisywallpb.AssignRequest) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentAssignments += len(req.GetAssignments())
	for _, a := range req.GetActions() {
		c.sentActions[a.GetVerb()]++
	}
}

// submit sends a job until a cell accepts it.
func (c *simCluster) submit(key string, kind structs.WorkKind, program, input string, tasks int32) structs.JobID {
	job := structs.Job{
		Team: "jabuka", Class: program, Kind: kind, Program: program, Input: input, Tasks: tasks, MaxAttempts: 2, Resources: taskResources,
	}
	for {
		got, err := c.jobs.Submit(c.ctx, job, key)
		if err == nil {
			return got.ID
		}
		time.Sleep(time.Second)
	}
}

// setDomain takes a failure domain out of service or returns it to service. It
// tries again until the table has stored the change.
func (c *simCluster) setDomain(id structs.FailureDomainID, out bool) {
	c.operatorLock <- struct{}{}
	defer func() { <-c.operatorLock }()
	requestedAt := time.Now()
	for {
		if err := c.trySetDomain(id, out, requestedAt); err == nil {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// trySetDomain tries once to change the state of a failure domain. The recorded
// outage begins when taking the domain out is confirmed and ends when its
// return to service is requested, because the answer to a change may be lost.
func (c *simCluster) trySetDomain(id structs.FailureDomainID, out bool, requestedAt time.Time) error {
	row, err := c.domains.Get(c.ctx, id)
	if err != nil {
		return err
	}
	change := c.domains.ReturnToService
	if out {
		change = c.domains.TakeOutOfService
	}
	if _, err = change(c.ctx, id, row.Revision, "operator", "test"); err != nil {
		return err
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	from, isOut := c.outSince[id]
	switch {
	case out && !isOut:
		c.outSince[id] = time.Now()
	case !out && isOut:
		c.outages = append(c.outages, outage{id, from, requestedAt})
		delete(c.outSince, id)
	}
	return nil
}

// heal ends all faults.
func (c *simCluster) heal() {
	c.platform.Table.Faults.Clear()
	c.platform.Objects.Faults.Clear()
	for _, r := range c.platform.Runtimes {
		r.Faults.Clear()
	}
	c.mu.Lock()
	processes := append([]*process{}, c.processes...)
	c.messageDelays, c.requestDelays = nil, nil
	c.mu.Unlock()
	for _, p := range processes {
		p.update(func(p *process) { p.platformCut, p.isolated = false, false })
		p.gate.thaw()
	}
}

// close stops the cluster and waits for all its goroutines.
func (c *simCluster) close() {
	c.heal()
	c.stop()
	for _, p := range c.processes {
		p.done.Wait()
	}
	c.background.Wait()
	c.platform.Close()
}

// eventually waits at most limit until the condition holds.
func eventually(limit time.Duration, condition func() bool) bool {
	for until := time.Now().Add(limit); time.Now().Before(until); time.Sleep(200 * time.Millisecond) {
		if condition() {
			return true
		}
	}
	return condition()
}

// waitForJob waits at most limit until the job has ended.
func (c *simCluster) waitForJob(id structs.JobID, limit time.Duration) (cell.JobStatus, bool) {
	var status cell.JobStatus
	done := eventually(limit, func() bool {
		got, err := c.jobs.Status(c.ctx, id)
		if err == nil {
			status = got
		}
		return err == nil && got.Done()
	})
	return status, done
}
