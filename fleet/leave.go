package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
)

// Times of Leave.
const (
	// leaveTimeout leaves more than two of the six seconds after which the platform kills
	// the process.
	leaveTimeout = 3 * time.Second
	leavePause   = 20 * time.Millisecond
)

// Leave prepares the end of the process, while Run continues. If this node leads, another
// one is asked to take over. Leave returns once another node leads that knows what has become of
// the host's runner, or after leaveTimeout, or when ctx ends, and at once from a leader
// that no other agent attends. What the agent does not
// report before the process stops costs the tasks of the host the wait for its leases.
func (n *Node) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	begunAt := n.o.Clock()
	l := n.activeLeader()
	isAlone := l != nil && !l.hasCandidates(ctx)
	n.StepDown()
	for !isAlone && !n.mayStop(begunAt) {
		if err := sleep(ctx, leavePause); err != nil {
			break
		}
	}
	n.o.Log.Info("node leaves", zap.Duration("after", n.o.Clock().Sub(begunAt)), zap.Bool("leads", n.IsLeader()))
}

// mayStop reports whether the end of the process loses no knowledge, if it has left since
// the given time.
func (n *Node) mayStop(begunAt bootclock.Time) bool {
	return !n.IsLeader() && n.host.isReportedSince(begunAt)
}

// hasCandidates reports whether an agent of another host attends.
func (l *leader) hasCandidates(ctx context.Context) bool {
	found := false
	l.runInLoop(ctx, func() {
		for _, w := range l.workers {
			found = found || w.session != nil && w.id != l.o.Worker
		}
	})
	return found
}
