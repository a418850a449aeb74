package fleet

import (
	"context"
	"time"
)

// loadTimeout limits the time for reading the whole state at a takeover.
const loadTimeout = 5 * time.Second

// readState reads the stored state for a new leader. It commits the leadership row
// meanwhile, at once and then every CommitInterval: other nodes take over from a leader whose
// row does not change, and the first row does not have the end of the own worker's
// leases. A commit that has no answer yet is left to the leader's loop. readState returns
// *structs.FencedError if another node has taken over.
func (l *leader) readState(ctx context.Context, leases earlierLeases) (state storedState, err error) {
	commitCtx, stopCommits := context.WithCancel(ctx)
	defer func() {
		if err != nil {
			stopCommits()
		}
	}()
	l.stopFirstCommits = stopCommits
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	var loaded storedState
	var loadErr error
	done := make(chan struct{})
	go func() {
		defer close(done)
		loaded, loadErr = loadState(ctx, l.o.Store, l.o.Log)
	}()
	tick := time.NewTicker(l.o.Timing.CommitInterval)
	defer tick.Stop()
	l.commitRow(commitCtx, leases)
	for {
		select {
		case <-done:
			return loaded, loadErr
		case result := <-l.commitResults:
			if result.err != nil {
				return storedState{}, result.err
			}
			l.handleRowCommit(result)
		case <-tick.C:
			if !l.commitInFlight {
				l.commitRow(commitCtx, leases)
			}
		}
	}
}

// commitRow begins to commit the leadership row of a leader that has granted no leases yet.
func (l *leader) commitRow(ctx context.Context, leases earlierLeases) {
	now := l.o.Clock()
	next := leadership{Address: l.o.Address, Epoch: l.epoch, Commit: l.row.Commit + 1 + l.withdrawn.count}
	next = leases.firstRow(next, l.o.Worker, l.o.Timing, now)
	l.commitInFlight = true
	if l.withdrawn.count == 0 {
		l.commitBeganAt = now
	}
	seen := l.row
	go func() { l.commitResults <- l.committer.run(ctx, seen, next, nil, nil) }()
}

// handleRowCommit records the outcome of commitRow. The number of a refused commit is not
// used again.
func (l *leader) handleRowCommit(result commitResult) {
	l.commitInFlight = false
	if result.refused != nil {
		l.withdrawn.count++
		return
	}
	l.row, l.lastCommitSentAt, l.withdrawn.count = result.row, result.sent, 0
}
