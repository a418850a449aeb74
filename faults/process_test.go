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

// gate freezes one process: whoever passes it waits until it is thawed.
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

// process is one agent process: a candidate for its cell's leadership and the
// agent of its worker.
type process struct {
	gate   gate
	worker structs.Worker
	node   *cell.Node
	agent  *worker.Agent
	cancel context.CancelFunc
	done   sync.WaitGroup

	mu       sync.Mutex
	dead     bool
	cut      bool // no way to the table and the object store
	isolated bool // no messages to or from other hosts
	tries    int  // of the finder
}

func (p *process) set(change func(p *process)) {
	p.mu.Lock()
	defer p.mu.Unlock()
	change(p)
}

func (p *process) state() (dead, cut, isolated bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.dead, p.cut, p.isolated
}

// kill ends a process without letting it do anything more.
func (p *process) kill() {
	p.set(func(p *process) { p.dead = true })
	p.cancel()
	p.gate.thaw()
	p.done.Wait()
}

// through carries one call of a process to the platform. The process may be
// frozen between any two steps.
func through[T any](ctx context.Context, p *process, remote bool, do func() (T, error)) (T, error) {
	var zero T
	p.gate.pass()
	dead, cut, _ := p.state()
	if dead {
		return zero, &structs.UnavailableError{Dependency: "killed process"}
	}
	if cut && remote {
		<-ctx.Done()
		return zero, &structs.UnavailableError{Dependency: "platform", Err: ctx.Err()}
	}
	value, err := do()
	p.gate.pass()
	return value, err
}

// tableOf is the way of a process to the table.
type tableOf struct {
	p     *process
	table *standin.Table
}

func (t tableOf) Get(ctx context.Context, key string) (substrate.Row, error) {
	return through(ctx, t.p, true, func() (substrate.Row, error) { return t.table.Get(ctx, key) })
}

func (t tableOf) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	return through(ctx, t.p, true, func() ([]substrate.Row, error) { return t.table.List(ctx, prefix, after, limit) })
}

func (t tableOf) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	return through(ctx, t.p, true, func() (int64, error) { return t.table.Commit(ctx, txn) })
}

func (t tableOf) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	var revision int64
	rows, err := through(ctx, t.p, true, func() (rows []substrate.Row, err error) {
		rows, revision, err = t.table.Changes(ctx, prefix, since)
		return rows, err
	})
	return rows, revision, err
}

// objectsOf is the way of a process to the object store.
type objectsOf struct {
	p       *process
	objects *standin.Objects
}

func (o objectsOf) Put(ctx context.Context, key string, value []byte) error {
	_, err := through(ctx, o.p, true, func() (struct{}, error) { return struct{}{}, o.objects.Put(ctx, key, value) })
	return err
}

func (o objectsOf) Get(ctx context.Context, key string) ([]byte, error) {
	return through(ctx, o.p, true, func() ([]byte, error) { return o.objects.Get(ctx, key) })
}

func (o objectsOf) Delete(ctx context.Context, key string) error {
	_, err := through(ctx, o.p, true, func() (struct{}, error) { return struct{}{}, o.objects.Delete(ctx, key) })
	return err
}

func (o objectsOf) List(ctx context.Context, prefix string) ([]string, error) {
	return through(ctx, o.p, true, func() ([]string, error) { return o.objects.List(ctx, prefix) })
}

// runtimeOf is the way of a process to its worker's runtime.
type runtimeOf struct {
	substrate.WorkerRuntime
	p *process
}

func (r runtimeOf) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	return through(ctx, r.p, false, func() (substrate.Snapshot, error) { return r.WorkerRuntime.Snapshot(ctx) })
}

func (r runtimeOf) Start(ctx context.Context, spec substrate.StartSpec) error {
	_, err := through(ctx, r.p, false, func() (struct{}, error) { return struct{}{}, r.WorkerRuntime.Start(ctx, spec) })
	return err
}

func (r runtimeOf) Renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	_, err := through(ctx, r.p, false, func() (struct{}, error) {
		return struct{}{}, r.WorkerRuntime.Renew(ctx, incarnation, leases)
	})
	return err
}

func (r runtimeOf) Checkpoint(ctx context.Context, id structs.AttemptID) (string, error) {
	return through(ctx, r.p, false, func() (string, error) { return r.WorkerRuntime.Checkpoint(ctx, id) })
}

func (r runtimeOf) Stop(ctx context.Context, id structs.AttemptID) (substrate.Run, error) {
	return through(ctx, r.p, false, func() (substrate.Run, error) { return r.WorkerRuntime.Stop(ctx, id) })
}

// message carries a call from one process to another and back. It may take
// longer than its sender waits.
func message[T any](ctx context.Context, w *world, from, to *process, deliver func() (T, error)) (T, error) {
	var zero T
	lost := &structs.UnavailableError{Dependency: "peer"}
	from.gate.pass()
	if to == nil {
		return zero, lost // no worker has the address
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
	delay := w.takeDelay(&w.delays)
	w.background.Go(func() {
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

// finder goes round the members of a cell; those that do not lead name the
// leader.
type finder struct {
	w *world
	p *process
}

func (f finder) Find(context.Context, structs.CellID) (string, error) {
	return f.w.nextAddress(f.p), nil
}

func (w *world) heartbeatFrom(p *process) worker.HeartbeatFunc {
	return func(ctx context.Context, address string, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
		to := w.process(address)
		return message(ctx, w, p, to, func() (*daisywallpb.HeartbeatResponse, error) {
			resp, err := to.node.Heartbeat(ctx, req)
			if w.planted.lease > 0 && err == nil {
				resp.BatchLeaseMs *= w.planted.lease
			}
			return resp, err
		})
	}
}

func (w *world) assignFrom(p *process) cell.AssignFunc {
	return func(ctx context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
		w.noteAssign(req)
		to := w.process(address)
		delay := w.takeDelay(&w.assigns)
		return message(ctx, w, p, to, func() (*daisywallpb.AssignResponse, error) {
			time.Sleep(delay)
			return to.agent.Assign(ctx, req)
		})
	}
}
