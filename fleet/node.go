package fleet

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/sync/errgroup"
	"golang.org/x/sync/semaphore"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// Node runs one agent of the fleet. It keeps a session with the leader on
// behalf of the host's runner, and becomes the leader when there is none.
type Node struct {
	fleetpb.UnimplementedFleetServer

	o       Options
	metrics *metrics
	host    *host
	refused refusedSubmissions
	// submissions bounds the submissions that are handled at a time, in bytes.
	submissions *semaphore.Weighted

	takeoverMu sync.Mutex // held during an attempt to become the leader

	mu     sync.Mutex
	leader *leader // nil while another node leads
	// takeover is closed at the end of the attempt of this node to become the
	// leader, nil without one.
	takeover chan struct{}
	// lastLeader is the leadership row that was last read or written, zero
	// before the first read.
	lastLeader    leaderRow
	reads         leaderReads
	stopRequested chan struct{} // closed by StepDown
	stopOnce      sync.Once
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
	return &Node{
		o: o, metrics: m, host: newHost(o, m), stopRequested: make(chan struct{}), submissions: semaphore.NewWeighted(o.JobBytes / submissionShare),
	}, nil
}

// Announce records a report of the host's runner about itself. It returns
// *substrate.ForeignReportError for a report that is not of the host's runner.
func (n *Node) Announce(info substrate.RunnerInfo) error { return n.host.announce(info) }

// RefuseReport records that a report under the runner's ID was refused since it is invalid.
func (n *Node) RefuseReport(id string, err error) { n.host.identity.refuse(id, "invalid", err) }

// MarkRunnerLeaving records that the runner with the ID is about to end.
func (n *Node) MarkRunnerLeaving(id string) { n.host.markLeaving(id) }

// StepDown asks another node to take over if this one leads. Run continues
// until its context ends.
func (n *Node) StepDown() {
	n.stopOnce.Do(func() { close(n.stopRequested) })
	n.host.markStopping()
	if l := n.activeLeader(); l != nil {
		l.requestLeave()
	}
}

// IsLeader reports whether this node leads.
func (n *Node) IsLeader() bool { return n.activeLeader() != nil }

// awaitLeader returns the leader if this node leads. During an attempt to become
// the leader it waits for the end, because others may have read this node's
// address in the leadership row already.
func (n *Node) awaitLeader(ctx context.Context) *leader {
	n.mu.Lock()
	l, takeover := n.leader, n.takeover
	n.mu.Unlock()
	if l != nil || takeover == nil {
		return l
	}
	select {
	case <-takeover:
	case <-ctx.Done():
	}
	return n.activeLeader()
}

// beginTakeover records that this node tries to become the leader until end is
// called.
func (n *Node) beginTakeover() (end func()) {
	takeover := make(chan struct{})
	n.mu.Lock()
	defer n.mu.Unlock()
	n.takeover = takeover
	return func() {
		n.mu.Lock()
		defer n.mu.Unlock()
		n.takeover = nil
		close(takeover)
	}
}

func (n *Node) isStopping() bool {
	select {
	case <-n.stopRequested:
		return true
	default:
		return false
	}
}

func (n *Node) activeLeader() *leader {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.leader
}

// Pauses and timeouts while this node looks for a leader.
const (
	reattachPause  = 40 * time.Millisecond  // average pause between two sessions with a leader that had answered
	searchPause    = 100 * time.Millisecond // pause between two reads of the leadership row, and after a failed takeover
	storeDownPause = 500 * time.Millisecond // average pause between two reads of the leadership row while the store does not answer
	contendJitter  = 120 * time.Millisecond // random delay that keeps candidates from committing at the same time
	drainingDelay  = 400 * time.Millisecond // extra delay of a draining host, so that any other candidate wins
	searchTimeout  = time.Second            // timeout of one call to the store
	nextLeaderPoll = 250 * time.Millisecond // pause between two reads of the leadership row before a takeover
)

// Run keeps sessions with leaders, and leads when there is none, until ctx
// ends.
func (n *Node) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return n.handleTakeoverRequests(ctx, group) })
	group.Go(func() error { return n.host.watchServices(ctx) })
	group.Go(func() error { return n.host.watchRunner(ctx) })
	group.Go(func() error {
		for {
			if err := n.followOrTakeOver(ctx, group); err != nil {
				return err
			}
		}
	})
	err := group.Wait()
	n.host.logStop()
	if ctx.Err() != nil && errors.Is(err, ctx.Err()) {
		return nil
	}
	return err
}

// followOrTakeOver finds the leader and keeps a session with it until the
// session ends. If the leader is gone, it tries to take over.
func (n *Node) followOrTakeOver(ctx context.Context, group *errgroup.Group) error {
	row, err := n.readLeaderRow(ctx)
	if ctx.Err() != nil {
		return ctx.Err()
	}
	if err != nil {
		// The last known leader may still work although the store cannot be
		// read.
		if row = n.lastKnownLeader(); row.Address != "" {
			n.host.runSession(ctx, row)
		}
		return sleep(ctx, storeDownPause/2+rand.N(storeDownPause))
	}
	readAt := n.o.Clock()
	n.host.recordContact()
	n.setLastLeader(row, readAt)
	end := endRefused // there has been no leader, or it was an earlier process of this node
	if row.Version > 0 && (row.Address != n.o.Address || n.activeLeader() != nil) {
		end = n.host.runSession(ctx, row)
	}
	if ctx.Err() != nil {
		return ctx.Err()
	}
	switch {
	case end == endLost, end == endReplaced:
		return sleep(ctx, reattachPause/2+rand.N(reattachPause))
	case n.isStopping() && end == endNoAnswer:
		_, err := n.waitForChange(ctx, row, n.o.Timing.TakeoverAfter, row.hasOtherVersion)
		return err
	case n.isStopping() || n.activeLeader() != nil:
		return sleep(ctx, searchPause)
	}
	return n.contend(ctx, group, row, end, readAt)
}

// contend takes over if the leader in row is gone. end is the reason for the
// end of the session with that leader, and readAt is when row was read.
func (n *Node) contend(ctx context.Context, group *errgroup.Group, row leaderRow, end sessionEnd, readAt bootclock.Time) error {
	wait := rand.N(contendJitter)
	if end == endNoAnswer {
		wait += max(0, n.o.Timing.TakeoverAfter-n.o.Clock().Sub(readAt))
	}
	if n.host.draining() {
		wait += drainingDelay
	}
	hasChanged := row.hasOtherEpoch
	if end == endNoAnswer { // a leader that has just read its state answers now
		hasChanged = row.hasOtherVersion
	}
	if changed, err := n.waitForChange(ctx, row, wait, hasChanged); changed || err != nil {
		return err
	}
	current, err := n.readLeaderRow(ctx)
	if err != nil {
		return sleep(ctx, searchPause)
	}
	observedFor := n.o.Clock().Sub(readAt)
	if current.Epoch != row.Epoch || (end == endNoAnswer && (current.Version != row.Version || observedFor < n.o.Timing.TakeoverAfter)) {
		return nil
	}
	n.o.Log.Info("contends", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Duration("watched", observedFor))
	if current.Version != row.Version {
		readAt = n.o.Clock()
	}
	return n.becomeLeader(ctx, group, current, readAt)
}

// hasOtherEpoch reports whether the current row is one of another leader. After a loss of all hosts,
// the node at the address in the row may answer that it does not lead, and then another one
// leads soon.
func (r leaderRow) hasOtherEpoch(current leaderRow) bool { return current.Epoch != r.Epoch }

// hasOtherVersion reports whether a leader has stored something since the row was read.
func (r leaderRow) hasOtherVersion(current leaderRow) bool { return current.Version != r.Version }

// waitForChange waits for d, or until the leadership row has changed in the given way, and reports
// whether it has.
func (n *Node) waitForChange(ctx context.Context, row leaderRow, d time.Duration, hasChanged func(current leaderRow) bool) (bool, error) {
	for end := n.o.Clock().Add(d); ; {
		left := end.Sub(n.o.Clock())
		if left <= nextLeaderPoll {
			return false, sleep(ctx, max(0, left))
		}
		if err := sleep(ctx, nextLeaderPoll); err != nil {
			return false, err
		}
		if current, err := n.readLeaderRow(ctx); err == nil && hasChanged(current) {
			return true, nil
		}
	}
}

// handleTakeoverRequests tries to replace each leader that requests a takeover.
// The session with that leader continues meanwhile, because the leader may
// still renew leases and this node may not reach the store either.
func (n *Node) handleTakeoverRequests(ctx context.Context, group *errgroup.Group) error {
	for {
		var requester leaderRow
		select {
		case requester = <-n.host.takeoverRequests:
		case <-ctx.Done():
			return ctx.Err()
		}
		if err := n.handleTakeoverRequest(ctx, group, requester); err != nil {
			return err
		}
	}
}

func (n *Node) handleTakeoverRequest(ctx context.Context, group *errgroup.Group, requester leaderRow) error {
	switch {
	case n.activeLeader() != nil:
		return nil
	case n.isStopping():
		return n.followNextLeader(ctx, requester)
	}
	wait := rand.N(contendJitter)
	if n.host.draining() {
		wait += drainingDelay
	}
	if err := sleep(ctx, wait); err != nil {
		return err
	}
	row, err := n.readLeaderRow(ctx)
	if err != nil {
		n.o.Log.Info("takeover not possible: leadership row cannot be read", zap.Int64("epoch", requester.Epoch), zap.Error(err))
		return nil //nolint:nilerr // the leader repeats its request
	}
	if row.Epoch == requester.Epoch {
		n.o.Log.Info("contends", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.String("because", "asked to"))
		if err := n.becomeLeader(ctx, group, row, n.o.Clock()); err != nil {
			return err
		}
		if row, err = n.readLeaderRow(ctx); err != nil {
			n.o.Log.Info("leadership row cannot be read after takeover", zap.Int64("epoch", requester.Epoch), zap.Error(err))
		}
	}
	if row.Epoch > requester.Epoch {
		n.host.endSessionOf(requester.Epoch)
	}
	return nil
}

// followNextLeader ends the session with the requester once another node leads. A node that stops
// does not contend, and reports to the next leader.
func (n *Node) followNextLeader(ctx context.Context, requester leaderRow) error {
	isReplaced, err := n.waitForChange(ctx, requester, n.o.Timing.TakeoverAfter, requester.hasOtherEpoch)
	if isReplaced {
		n.host.endSessionOf(requester.Epoch)
	}
	return err
}

// becomeLeader replaces the leadership row by one of this node and starts to
// lead. The previous leader sent its last commit before readAt, when the
// current version of the row was first read.
func (n *Node) becomeLeader(ctx context.Context, group *errgroup.Group, seen leaderRow, readAt bootclock.Time) error {
	if !n.takeoverMu.TryLock() {
		return sleep(ctx, searchPause) // another attempt of this node is in progress
	}
	defer n.takeoverMu.Unlock()
	if n.activeLeader() != nil {
		return nil
	}
	if n.isStopping() {
		return sleep(ctx, searchPause)
	}
	endTakeover := sync.OnceFunc(n.beginTakeover())
	defer endTakeover()
	call, cancel := context.WithTimeout(ctx, commitTimeout)
	leases := n.o.Timing.earlierLeases(n.o.Worker, seen, readAt, n.rowReads())
	sentAt := n.o.Clock()
	first := leases.firstRow(leadership{Address: n.o.Address, Epoch: seen.Epoch + 1}, n.o.Worker, n.o.Timing, sentAt)
	row, err := acquireLeadership(call, n.o.Store, seen, first)
	cancel()
	if err != nil {
		endTakeover()
		n.o.Log.Info("takeover failed", zap.Int64("epoch", seen.Epoch+1), zap.Error(err))
		return sleep(ctx, searchPause/2+rand.N(searchPause))
	}
	l := newLeader(n.o, n.metrics, row)
	l.lastCommitSentAt = sentAt
	leases = n.host.limitOwnLeases(leases, row.Epoch)
	state, err := l.readState(ctx, leases)
	if err != nil {
		endTakeover()
		n.o.Log.Warn("takeover abandoned: stored state cannot be read", zap.Int64("epoch", row.Epoch), zap.Error(err))
		return sleep(ctx, searchPause)
	}
	l.restoreState(state, leases)
	n.metrics.count(n.metrics.takeovers, "all")
	l.log.Info("leads", zap.Int64("previous_epoch", seen.Epoch), zap.String("previous", seen.Address), zap.Int("jobs", len(l.jobs)),
		zap.Int("open_jobs", len(l.openJobs)), zap.Int("unreadable", state.unreadableJobs), zap.Duration("since_takeover", n.o.Clock().Sub(l.startedAt)))
	n.mu.Lock()
	n.leader, n.lastLeader = l, l.row
	n.mu.Unlock()
	if n.isStopping() { // StepDown found no leader
		l.requestLeave()
	}
	group.Go(func() error {
		err := l.run(ctx)
		n.mu.Lock()
		n.leader = nil
		n.mu.Unlock()
		l.log.Info("no longer leads", zap.Duration("led", n.o.Clock().Sub(l.startedAt)), zap.Error(err))
		if ctx.Err() != nil {
			return ctx.Err()
		}
		return nil
	})
	return nil
}

func (n *Node) readLeaderRow(ctx context.Context) (leaderRow, error) {
	call, cancel := context.WithTimeout(ctx, searchTimeout)
	defer cancel()
	return readLeaderRow(call, n.o.Store)
}

func (n *Node) setLastLeader(row leaderRow, readAt bootclock.Time) {
	n.mu.Lock()
	defer n.mu.Unlock()
	n.lastLeader = row
	n.reads = n.reads.add(row, readAt)
}

func (n *Node) rowReads() leaderReads {
	n.mu.Lock()
	defer n.mu.Unlock()
	return slices.Clone(n.reads)
}

func (n *Node) lastKnownLeader() leaderRow {
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.lastLeader
}
