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
// leases. It returns *structs.FencedError if another node has taken over.
func (l *leader) readState(ctx context.Context, leases earlierLeases) (storedState, error) {
	ctx, cancel := context.WithTimeout(ctx, loadTimeout)
	defer cancel()
	type loaded struct {
		state storedState
		err   error
	}
	done := make(chan loaded, 1)
	go func() {
		state, err := loadState(ctx, l.o.Store, l.o.Log)
		done <- loaded{state, err}
	}()
	tick := time.NewTicker(l.o.Timing.CommitInterval)
	defer tick.Stop()
	if err := l.commitRow(ctx, leases); err != nil {
		return storedState{}, err
	}
	for {
		select {
		case result := <-done:
			return result.state, result.err
		case <-tick.C:
			if err := l.commitRow(ctx, leases); err != nil {
				return storedState{}, err
			}
		}
	}
}

// commitRow commits the leadership row of a leader that has granted no leases yet.
func (l *leader) commitRow(ctx context.Context, leases earlierLeases) error {
	next := leadership{Address: l.o.Address, Epoch: l.epoch, Commit: l.row.Commit + 1 + l.withdrawn.count}
	next = leases.firstRow(next, l.o.Worker, l.o.Timing, l.o.Clock())
	result := l.committer.run(ctx, l.row, next, nil, nil)
	switch {
	case result.err != nil:
		return result.err
	case result.refused != nil:
		if l.withdrawn.count == 0 {
			l.commitBeganAt = l.o.Clock()
		}
		l.withdrawn.count++ // the number of a refused commit is not used again
		return nil
	}
	l.row, l.lastCommitSentAt, l.withdrawn.count = result.row, result.sent, 0
	return nil
}
