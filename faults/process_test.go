package faults

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/worker"
)

// gate can freeze one process. While the process is frozen, pass blocks.
type gate struct {
	mu     sync.Mutex
	frozen chan struct{}
}

func (g *gate) freeze() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen == nil {
		g.frozen = make(chan struct{})
	}
}

func (g *gate) thaw() {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.frozen != nil {
		close(g.frozen)
		g.frozen = nil
	}
}

func (g *gate) pass() {
	for {
		g.mu.Lock()
		frozen := g.frozen
		g.mu.Unlock()
		if frozen == nil {
			return
		}
		<-frozen
	}
}

// process is one agent process. It is the agent of its worker and a candidate
// for the leadership of its cell.
type process struct {
	gate   gate
	worker structs.Worker
	node   *cell.Node
	agent  *worker.Agent
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu          sync.Mutex
	killed      bool
	platformCut bool // the process reaches neither the table nor the object store
	isolated    bool // the process exchanges no messages with other processes
	findCalls   int  // number of calls of the leader finder
}

func (p *process) update(change func(p *process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) state() (killed, cut, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.killed, p.platformCut, p.isolated
}

// kill ends a process at once. The process makes no further call to the
// platform.
func (p *process) kill() {
	p.update(func(p *process) { p.killed = true })
	p.cancel()
	p.gate.thaw()
	p.done.Wait()
}

// callPlatform makes one call from a process to the platform. The process may
// freeze before the call and again before it receives the result.
func callPlatform[T any](ctx context.Context, p *process, isRemote bool, call func() (T, error)) (T, error) {
	var zero T
	p.gate.pass()
	killed, cut, _ := p.state()
	if killed {
		return zero, &structs.UnavailableError{Dependency: "killed process"}
	}
	if cut && isRemote {
		<-ctx.Done()
		return zero, &structs.UnavailableError{Dependency: "platform", Err: ctx.Err()}
	}
	value, err := call()
	p.gate.pass()
	return value, err
}

// processTable is a process's client of the table, subject to the faults of the
// process.
type processTable struct {
	p     *process
	table *standin.Table
}

func (t processTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	return callPlatform(ctx, t.p, true, func() (substrate.Row, error) { return t.table.Get(ctx, key) })
}

func (t processTable) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	return callPlatform(ctx, t.p, true, func() ([]substrate.Row, error) { return t.table.List(ctx, prefix, after, limit) })
}

func (t processTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	return callPlatform(ctx, t.p, true, func() (int64, error) { return t.table.Commit(ctx, txn) })
}

func (t processTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	var revision int64
	rows, err := callPlatform(ctx, t.p, true, func() (rows []substrate.Row, err error) {
		rows, revision, err = t.table.Changes(ctx, prefix, since)
		return rows, err
	})
	return rows, revision, err
}

// processObjects is a process's client of the object store, subject to the
// faults of the process.
type processObjects struct {
	p       *process
	objects *standin.Objects
}

func (o processObjects) Put(ctx context.Context, key string, value []byte) error {
	_, err := callPlatform(ctx, o.p, true, func() (struct{}, error) { return struct{}{}, o.objects.Put(ctx, key, value) })
	return err
}

func (o processObjects) Get(ctx context.Context, key string) ([]byte, error) {
	return callPlatform(ctx, o.p, true, func() ([]byte, error) { return o.objects.Get(ctx, key) })
}

func (o processObjects) Delete(ctx context.Context, key string) error {
	_, err := callPlatform(ctx, o.p, true, func() (struct{}, error) { return struct{}{}, o.objects.Delete(ctx, key) })
	return err
}

func (o processObjects) List(ctx context.Context, prefix string) ([]string, error) {
	return callPlatform(ctx, o.p, true, func() ([]string, error) { return o.objects.List(ctx, prefix) })
}

// processRuntime is a process's client of the runtime of its worker, subject to
// the faults of the process.
type processRuntime struct {
	substrate.WorkerRuntime
	p *process
}

func (r processRuntime) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	return callPlatform(ctx, r.p, false, func() (substrate.Snapshot, error) { return r.WorkerRuntime.Snapshot(ctx) })
}

func (r processRuntime) Start(ctx context.Context, spec substrate.StartSpec) error {
	_, err := callPlatform(ctx, r.p, false, func() (struct{}, error) { return struct{}{}, r.WorkerRuntime.Start(ctx, spec) })
	return err
}

func (r processRuntime) Renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	_, err := callPlatform(ctx, r.p, false, func() (struct{}, error) {
		return struct{}{}, r.WorkerRuntime.Renew(ctx, incarnation, leases)
	})
	return err
}

func (r processRuntime) Checkpoint(ctx context.Context, id structs.AttemptID) (string, error) {
	return callPlatform(ctx, r.p, false, func() (string, error) { return r.WorkerRuntime.Checkpoint(ctx, id) })
}

func (r processRuntime) Stop(ctx context.Context, id structs.AttemptID) (substrate.Run, error) {
	return callPlatform(ctx, r.p, false, func() (substrate.Run, error) { return r.WorkerRuntime.Stop(ctx, id) })
}

// sendMessage carries a call from one process to another and the answer back.
// The call may take longer than the timeout of its sender.
func sendMessage[T any](ctx context.Context, c *simCluster, from, to *process, deliver func() (T, error)) (T, error) {
	var zero T
	lost := &structs.UnavailableError{Dependency: "peer"}
	from.gate.pass()
	if to == nil {
		return zero, lost // no worker has this address
	}
	fromDead, _, fromIsolated := from.state()
	toDead, _, toIsolated := to.state()
	if fromDead || toDead {
		return zero, lost
	}
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	if from != to && (fromIsolated || toIsolated) {
		<-ctx.Done()
		return zero, lost
	}
	type result struct {
		value T
		err   error
	}
	answer := make(chan result, 1)
	delay := c.nextDelay(&c.messageDelays)
	c.background.Go(func() {
		time.Sleep(delay)
		to.gate.pass()
		value, err := deliver()
		to.gate.pass()
		answer <- result{value, err}
	})
	select {
	case r := <-answer:
		from.gate.pass()
		return r.value, r.err
	case <-ctx.Done():
		from.gate.pass()
		return zero, lost
	}
}

// leaderFinder finds the leader of a cell by returning the addresses of the
// members in turn. Members that do not lead answer with the address of the
// leader.
type leaderFinder struct {
	cluster *simCluster
	p       *process
}

func (f leaderFinder) Find(context.Context, structs.CellID) (string, error) {
	return f.cluster.nextAddress(f.p), nil
}

func (c *simCluster) heartbeatFrom(p *process) worker.HeartbeatFunc {
	return func(ctx context.Context, address string, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
		to := c.processAt(address)
		return sendMessage(ctx, c, p, to, func() (*daisywallpb.HeartbeatResponse, error) {
			resp, err := to.node.Heartbeat(ctx, req)
			if c.bugs.leaseFactor > 0 && err == nil {
				resp.BatchLeaseMs *= c.bugs.leaseFactor
			}
			return resp, err
		})
	}
}

func (c *simCluster) assignFrom(p *process) cell.AssignFunc {
	return func(ctx context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
		c.countSent(req)
		to := c.processAt(address)
		delay := c.nextDelay(&c.requestDelays)
		return sendMessage(ctx, c, p, to, func() (*daisywallpb.AssignResponse, error) {
			time.Sleep(delay)
			return to.agent.Assign(ctx, req)
		})
	}
}
