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
// one is asked to take over. Leave returns once it is stored that the host's runner has
// ended, or another node leads that has a list of its runs; after leaveTimeout; when ctx
// ends; and at once from a leader that no other agent has attended. What the agent does not
// report before the process stops costs the tasks of the host the wait for its leases.
func (n *Node) Leave(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	begunAt := n.o.Clock()
	n.StepDown()
	for !n.mayStop(ctx, begunAt) {
		if err := sleep(ctx, leavePause); err != nil {
			break
		}
	}
	n.o.Log.Info("node leaves", zap.Duration("after", n.o.Clock().Sub(begunAt)), zap.Bool("leads", n.IsLeader()))
}

// mayStop reports whether the end of the process loses no knowledge, if it has left since
// the given time.
func (n *Node) mayStop(ctx context.Context, begunAt bootclock.Time) bool {
	if l := n.activeLeader(); l != nil {
		return l.isAlone(ctx)
	}
	return n.host.isReportedSince(begunAt)
}

// isAlone reports whether no agent of another host has attended this leader, which has led
// for so long that one would have.
func (l *leader) isAlone(ctx context.Context) bool {
	isAlone := l.o.Clock().Sub(l.startedAt) >= lostAfterTakeover
	hasRun := l.runInLoop(ctx, func() {
		for _, w := range l.workers {
			hasAttended := w.session != nil || w.detachedAt > 0
			isAlone = isAlone && (w.id == l.o.Worker || !hasAttended)
		}
	})
	return hasRun && isAlone
}
