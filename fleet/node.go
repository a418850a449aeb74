package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// Node is one agent's part in the fleet: it attends to the leader for its
// host's runner, and leads when no other node does.
type Node struct {
	fleetpb.UnimplementedFleetServer

	o       Options
	metrics *metrics
	host    *host

	leadMu sync.Mutex // held while taking over

	mu      sync.Mutex
	leader  *leader // while this node leads
	seen    leaderRow
	stopped chan struct{} // closed when the process stops
	once    sync.Once
}

// NewNode returns a node. It returns *structs.InvalidError when required
// options are missing.
func NewNode(o Options) (*Node, error) {
	o, err := o.complete()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Meters)
	if err != nil {
		return nil, err
	}
	return &Node{o: o, metrics: m, host: newHost(o, m), stopped: make(chan struct{})}, nil
}

// Announce takes in what the host's runner says about itself. It reports
// whether the node takes it for the current incarnation.
func (n *Node) Announce(info substrate.RunnerInfo) bool { return n.host.announce(info) }

// Leave takes note that the runner says that it ends.
func (n *Node) Leave(id string) { n.host.leave(id) }

// Stop asks another node to lead if this one does. Run goes on until its
// context ends.
func (n *Node) Stop() {
	n.once.Do(func() { close(n.stopped) })
	if l := n.leading(); l != nil {
		l.leave()
	}
}

// Leads reports whether this node leads.
func (n *Node) Leads() bool { return n.leading() != nil }

func (n *Node) stopping() bool {
	select {
	case <-n.stopped:
		return true
	default:
		return false
	}
}

func (n *Node) leading() *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader
}

// leaderAddress returns the address of the leader that was last seen.
func (n *Node) leaderAddress() string {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen.Address
}

// Pauses of a node without a leader.
const (
	reattachPause   = 40 * time.Millisecond  // after a session that had worked
	searchPause     = 100 * time.Millisecond // between two reads of the leadership row
	searchPauseMost = 500 * time.Millisecond // the same, while the store does not answer
	contendSpread   = 120 * time.Millisecond // candidates try at different times
	drainingDelay   = 400 * time.Millisecond // a host that is leaving leads only if no other does
	searchTimeout   = time.Second            // one call to the store
)

// Run attends and leads until ctx ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.answerTakeOvers(ctx, group) })
	group.Go(func() error {
		for {
			if err := n.turn(ctx, group); err != nil {
				return err
			}
		}
	})
	err := group.Wait()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// turn finds the leader and attends to it until that ends, or takes over.
func (n *Node) turn(ctx context.Context, group *errgroup.Group) error {
	row, err := n.read(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		// The last known leader may still be there although the store is not.
		if row = n.lastSeen(); row.Address != "" {
			n.host.attend(ctx, row)
		}
		return sleep(ctx, searchPauseMost/2+rand.N(searchPauseMost))
	}
	readAt := n.o.Clock()
	n.see(row)
	end := endRefused // by a leader that has never been, or was an earlier process of this node
	if row.Version > 0 && (row.Address != n.o.Address || n.leading() != nil) {
		end = n.host.attend(ctx, row)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch {
	case end == endLost, end == endReplaced:
		return sleep(ctx, reattachPause/2+rand.N(reattachPause))
	case n.stopping() || n.leading() != nil:
		return sleep(ctx, searchPause)
	}
	return n.contend(ctx, group, row, end, readAt)
}

// contend takes over if the leader that was attended to is gone.
func (n *Node) contend(ctx context.Context, group *errgroup.Group, row leaderRow, end sessionEnd, readAt bootclock.Time) error {
	wait := rand.N(contendSpread)
	if end == endSilent {
		wait += max(0, n.o.Timing.Observe-n.o.Clock().Sub(readAt))
	}
	if n.host.draining() {
		wait += drainingDelay
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	now, err := n.read(ctx)
	if err != nil {
		return sleep(ctx, searchPause)
	}
	watched := n.o.Clock().Sub(readAt)
	if now.Epoch != row.Epoch || (end == endSilent && (now.Version != row.Version || watched < n.o.Timing.Observe)) {
		return nil
	}
	n.o.Log.Info("contends", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Duration("watched", watched))
	if now.Version != row.Version {
		readAt = n.o.Clock()
	}
	return n.lead(ctx, group, now, readAt)
}

// answerTakeOvers tries to replace a leader that asks for it, while the session
// with it goes on: it may still renew leases, and this node may not reach the
// store either.
func (n *Node) answerTakeOvers(ctx context.Context, group *errgroup.Group) error {
	for {
		var asked leaderRow
		select {
		case asked = <-n.host.takeOver:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := n.answerTakeOver(ctx, group, asked); err != nil {
			return err
		}
	}
}

func (n *Node) answerTakeOver(ctx context.Context, group *errgroup.Group, asked leaderRow) error {
	if n.stopping() || n.leading() != nil {
		return nil
	}
	wait := rand.N(contendSpread)
	if n.host.draining() {
		wait += drainingDelay
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	row, err := n.read(ctx)
	if err != nil {
		n.o.Log.Info("takeover not possible", zap.Int64("epoch", asked.Epoch), zap.Error(err))
		return nil //nolint:nilerr // the leader asks again
	}
	if row.Epoch == asked.Epoch {
		n.o.Log.Info("contends", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.String("because", "asked to"))
		if err := n.lead(ctx, group, row, n.o.Clock()); err != nil {
			return err
		}
		if row, err = n.read(ctx); err != nil {
			n.o.Log.Info("leader unknown after takeover", zap.Int64("epoch", asked.Epoch), zap.Error(err))
		}
	}
	if row.Epoch > asked.Epoch {
		n.host.leaderReplaced(asked.Epoch)
	}
	return nil
}

// lead takes the leadership over and starts leading. ReadAt is when the row was
// first read as it is: its last commit lies before that.
func (n *Node) lead(ctx context.Context, group *errgroup.Group, seen leaderRow, readAt bootclock.Time) error {
	if !n.leadMu.TryLock() {
		return sleep(ctx, searchPause) // the other attempt of this node goes on
	}
	defer n.leadMu.Unlock()
	if n.leading() != nil {
		return nil
	}
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	row, err := takeOver(call, n.o.Store, seen, n.o.Address)
	cancel()
	if err != nil {
		n.o.Log.Info("takeover failed", zap.Int64("epoch", seen.Epoch+1), zap.Error(err))
		return sleep(ctx, searchPause/2+rand.N(searchPause))
	}
	l := newLeader(n.o, n.metrics, row)
	call, cancel = context.WithTimeout(ctx, loadTimeout)
	state, err := load(call, n.o.Store, n.o.Log)
	cancel()
	if err != nil {
		n.o.Log.Warn("takeover given up: the state cannot be read", zap.Int64("epoch", row.Epoch), zap.Error(err))
		return sleep(ctx, searchPause)
	}
	l.adopt(state, readAt)
	n.metrics.count(n.metrics.takeovers, "all")
	l.log.Info("leads", zap.Int64("previous_epoch", seen.Epoch), zap.String("previous", seen.Address), zap.Int("jobs", len(l.jobs)),
		zap.Int("open_jobs", len(l.order)), zap.Int("unreadable", state.bad), zap.Duration("since_takeover", n.o.Clock().Sub(l.since)))
	n.mu.Lock()
	n.leader, n.seen = l, row
	n.mu.Unlock()
	group.Go(func() error {
		err := l.run(ctx)
		n.mu.Lock()
		n.leader = nil
		n.mu.Unlock()
		l.log.Info("no longer leads", zap.Duration("led", n.o.Clock().Sub(l.since)), zap.Error(err))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return nil
	})
	return nil
}

// loadTimeout bounds the reading of the whole state at a takeover.
const loadTimeout = 5 * time.Second

func (n *Node) read(ctx context.Context) (leaderRow, error) {
	call, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	return readLeader(call, n.o.Store)
}

func (n *Node) see(row leaderRow) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.seen = row
}

func (n *Node) lastSeen() leaderRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.seen
}
