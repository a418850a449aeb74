package cell

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// Node is one agent's part in its cell. Every agent runs a candidate for the
// leadership; the node serves the Cell service, and whoever leads answers it.
type Node struct {
	daisywallpb.UnimplementedCellServer

	o       Options
	metrics *metrics
	settler *settler

	mu      sync.Mutex
	leaders map[structs.CellID]*leader
	seen    Leadership // of the own cell

	members     int       // workers of the own cell
	membersRead time.Time // when their number was read
}

// membersPeriod is the time between two reads of the number of workers.
const membersPeriod = 30 * time.Second

// New returns a node. It returns *structs.InvalidError when required options
// are missing.
func New(o Options) (*Node, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Meters)
	if err != nil {
		return nil, err
	}
	return &Node{
		o: o, metrics: m,
		settler: &settler{table: o.Table, call: o.Timing.Call, metrics: m},
		leaders: map[structs.CellID]*leader{},
	}, nil
}

// Run stands for the leadership until ctx ends. A leadership that is held then
// is released.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.stand(ctx) })
	group.Go(func() error { return n.guard(ctx) })
	err := group.Wait()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// Leading reports whether the node leads its own cell, and the epoch.
func (n *Node) Leading() (epoch int64, leading bool) {
	if l := n.leader(n.o.Cell); l != nil {
		return l.epoch, true
	}
	return 0, false
}

// stand watches the own cell's leadership row and leads when it can.
func (n *Node) stand(ctx context.Context) error {
	c := n.candidate(n.o.Cell, n.o.Timing.Term)
	for {
		if err := c.observe(ctx); err != nil && ctx.Err() == nil {
			n.o.Log.Debug("leadership row", zap.String("cell", string(c.cell)), zap.Error(err))
		}
		n.mu.Lock()
		n.seen = c.seen.row
		n.mu.Unlock()
		if c.due(time.Now()) {
			if err := n.contend(ctx, c, n.o.Domain); err != nil {
				return err
			}
			continue
		}
		if err := sleep(ctx, c.pause(n.candidates(ctx))); err != nil {
			return err
		}
	}
}

// candidates returns the number of workers in the own cell, each of which has
// a candidate, as the leader has published it.
func (n *Node) candidates(ctx context.Context) int {
	n.mu.Lock()
	count, read := n.members, n.membersRead
	n.mu.Unlock()
	if time.Since(read) < membersPeriod {
		return count
	}
	row, found, err := n.settler.get(ctx, summaryKey(n.o.Cell))
	var s Summary
	if err == nil && found && decode(row.Key, row.Value, &s) == nil {
		count = s.Workers
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.members, n.membersRead = count, time.Now()
	return count
}

func (n *Node) candidate(cell structs.CellID, term time.Duration) *candidate {
	return &candidate{
		settler: n.settler, cell: cell, worker: n.o.Worker, address: n.o.Address,
		term: term, timing: n.o.Timing,
	}
}

// contend tries to take the leadership over and leads if that succeeds. It
// returns only errors that end the node.
func (n *Node) contend(ctx context.Context, c *candidate, domain structs.FailureDomainID) error {
	t, err := c.takeOver(ctx)
	if err != nil {
		n.o.Log.Debug("takeover", zap.String("cell", string(c.cell)), zap.Error(err))
		return sleep(ctx, n.o.Timing.Term/renewalsPerTerm)
	}
	count(n.metrics.takeovers, 1)
	n.o.Log.Info("leading", zap.String("cell", string(c.cell)), zap.Int64("epoch", t.row.Epoch))
	o := n.o
	o.Domain = domain
	l := newLeader(o, c.cell, n.settler, n.metrics, t)
	n.hold(l)
	err = l.run(ctx)
	n.drop(l)
	c.seen = observation{}
	n.o.Log.Info("no longer leading", zap.String("cell", string(c.cell)), zap.Int64("epoch", t.row.Epoch), zap.Error(err))
	var fenced *structs.FencedError
	if errors.As(err, &fenced) || ctx.Err() == nil {
		return nil
	}
	return ctx.Err()
}

func (n *Node) hold(l *leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaders[l.cell] = l
}

func (n *Node) drop(l *leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaders[l.cell] == l {
		delete(n.leaders, l.cell)
	}
}

func (n *Node) leader(cell structs.CellID) *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaders[cell]
}

// Heartbeat implements daisywallpb.CellServer.
func (n *Node) Heartbeat(_ context.Context, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	if l := n.leader(structs.CellID(req.GetCell())); l != nil {
		if resp, ok := l.heartbeat(req); ok {
			return resp, nil
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &daisywallpb.HeartbeatResponse{NotLeader: true}
	if structs.CellID(req.GetCell()) == n.o.Cell && !n.seen.Released {
		resp.LeaderAddress = n.seen.Address
	}
	return resp, nil
}

// Notify implements daisywallpb.CellServer.
func (n *Node) Notify(_ context.Context, req *daisywallpb.NotifyRequest) (*daisywallpb.NotifyResponse, error) {
	if l := n.leader(structs.CellID(req.GetCell())); l != nil {
		l.readAgain()
	}
	return &daisywallpb.NotifyResponse{}, nil
}
