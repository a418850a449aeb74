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

// Node is the part of a cell that one agent runs. Every node runs a candidate
// for the leadership of the cell and serves the Cell service, and the node
// that leads the cell answers the requests.
type Node struct {
	daisywallpb.UnimplementedCellServer

	options Options
	metrics *metrics
	client  *tableClient

	mu            sync.Mutex
	leaders       map[structs.CellID]*leader
	ownLeadership Leadership // leadership row of the own cell as last read

	workerCount       int       // number of workers in the own cell
	workerCountReadAt time.Time // when workerCount was last read
}

// workerCountPeriod is the time between two reads of the number of workers.
const workerCountPeriod = 30 * time.Second

// New returns a node. It returns *structs.InvalidError if required options are
// missing.
func New(o Options) (*Node, error) {
	o, err := o.validateAndDefault()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Meters)
	if err != nil {
		return nil, err
	}
	return &Node{
		options: o, metrics: m,
		client:  &tableClient{table: o.Table, callTimeout: o.Timing.CallTimeout, metrics: m},
		leaders: map[structs.CellID]*leader{},
	}, nil
}

// Run campaigns for the leadership until ctx ends, and then releases a
// leadership that it holds.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.campaign(ctx) })
	group.Go(func() error { return n.watchForeignCells(ctx) })
	err := group.Wait()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// Leading reports whether the node leads its own cell, and in which epoch.
func (n *Node) Leading() (epoch int64, leading bool) {
	if l := n.leader(n.options.Cell); l != nil {
		return l.epoch, true
	}
	return 0, false
}

// campaign watches the leadership row of the node's own cell and leads the
// cell when it acquires the leadership.
func (n *Node) campaign(ctx context.Context) error {
	c := n.newCandidate(n.options.Cell, n.options.Timing.TakeoverAfter)
	for {
		if err := c.readRow(ctx); err != nil && ctx.Err() == nil {
			n.options.Log.Debug("cannot read leadership row", zap.String("cell", string(c.cell)), zap.Error(err))
		}
		n.mu.Lock()
		n.ownLeadership = c.observation.row
		n.mu.Unlock()
		if c.canAcquire(time.Now()) {
			if err := n.acquireAndLead(ctx, c, n.options.Domain); err != nil {
				return err
			}
			continue
		}
		if err := sleep(ctx, c.nextPause(n.candidateCount(ctx))); err != nil {
			return err
		}
	}
}

// candidateCount returns the number of workers in the node's own cell that the
// leader has published. Each worker has one candidate.
func (n *Node) candidateCount(ctx context.Context) int {
	n.mu.Lock()
	count, readAt := n.workerCount, n.workerCountReadAt
	n.mu.Unlock()
	if time.Since(readAt) < workerCountPeriod {
		return count
	}
	row, found, err := n.client.get(ctx, summaryKey(n.options.Cell))
	var s Summary
	if err == nil && found && decode(row.Key, row.Value, &s) == nil {
		count = s.Workers
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	n.workerCount, n.workerCountReadAt = count, time.Now()
	return count
}

func (n *Node) newCandidate(cell structs.CellID, takeoverAfter time.Duration) *candidate {
	return &candidate{
		client: n.client, cell: cell, worker: n.options.Worker, address: n.options.Address,
		takeoverAfter: takeoverAfter, timing: n.options.Timing,
	}
}

// acquireAndLead tries to acquire the leadership and leads the cell if it
// succeeds. It returns only errors that end the node.
func (n *Node) acquireAndLead(ctx context.Context, c *candidate, domain structs.FailureDomainID) error {
	acquired, err := c.acquireLeadership(ctx)
	if err != nil {
		n.options.Log.Debug("takeover", zap.String("cell", string(c.cell)), zap.Error(err))
		return sleep(ctx, n.options.Timing.TakeoverAfter/renewalsBeforeTakeover)
	}
	count(n.metrics.takeovers, 1)
	n.options.Log.Info("leading", zap.String("cell", string(c.cell)), zap.Int64("epoch", acquired.row.Epoch))
	o := n.options
	o.Domain = domain
	l := newLeader(o, c.cell, n.client, n.metrics, acquired)
	n.addLeader(l)
	err = l.run(ctx)
	n.removeLeader(l)
	c.observation = rowObservation{}
	n.options.Log.Info("no longer leading", zap.String("cell", string(c.cell)), zap.Int64("epoch", acquired.row.Epoch), zap.Error(err))
	var fenced *structs.FencedError
	if errors.As(err, &fenced) || ctx.Err() == nil {
		return nil
	}
	return ctx.Err()
}

func (n *Node) addLeader(l *leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.leaders[l.cell] = l
}

func (n *Node) removeLeader(l *leader) {
	n.mu.Lock()
	defer n.mu.Unlock()
	if n.leaders[l.cell] == l {
		delete(n.leaders, l.cell)
	}
}

// leader returns this node's leader of the cell, or nil if the node does not
// lead the cell.
func (n *Node) leader(cell structs.CellID) *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leaders[cell]
}

// Heartbeat implements daisywallpb.CellServer.
func (n *Node) Heartbeat(_ context.Context, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	if l := n.leader(structs.CellID(req.GetCell())); l != nil {
		if resp, ok := l.handleHeartbeat(req); ok {
			return resp, nil
		}
	}
	n.mu.Lock()
	defer n.mu.Unlock()
	resp := &daisywallpb.HeartbeatResponse{NotLeader: true}
	if structs.CellID(req.GetCell()) == n.options.Cell && !n.ownLeadership.Released {
		resp.LeaderAddress = n.ownLeadership.Address
	}
	return resp, nil
}

// Notify implements daisywallpb.CellServer.
func (n *Node) Notify(_ context.Context, req *daisywallpb.NotifyRequest) (*daisywallpb.NotifyResponse, error) {
	if l := n.leader(structs.CellID(req.GetCell())); l != nil {
		l.requestPoll()
	}
	return &daisywallpb.NotifyResponse{}, nil
}
