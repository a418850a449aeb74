package worker

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// LeaveError reports that runs were left when the time to leave ended.
type LeaveError struct {
	Runs int // whose end is not settled
	Err  error
}

func (e *LeaveError) Error() string {
	return fmt.Sprintf("worker leaves with %d runs: %v", e.Runs, e.Err)
}

// Unwrap returns the end of the context.
func (e *LeaveError) Unwrap() error { return e.Err }

// Leave reports that the worker is leaving, takes no more assignments and waits
// until its runs have been moved off and the leader has their ends. Run must go on meanwhile. It returns
// *LeaveError when ctx ends first.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.o.Log.Info("worker is leaving", zap.String("worker", string(a.o.Worker.ID)))
	signal(a.kick)
	for {
		if a.remaining() == 0 {
			return nil
		}
		select {
		case <-a.beaten:
		case <-ctx.Done():
			return &LeaveError{Runs: a.remaining(), Err: ctx.Err()}
		}
	}
}

// remaining returns the number of attempts whose end is not settled.
func (a *Agent) remaining() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ledger.entries)
}
