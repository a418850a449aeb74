package worker

import (
	"context"
	"fmt"

	"go.uber.org/zap"
)

// DrainError reports that runs were left when the context of Drain ended.
type DrainError struct {
	Runs int // attempts that run or whose end the leader has not confirmed
	Err  error
}

func (e *DrainError) Error() string {
	return fmt.Sprintf("worker leaves with %d runs: %v", e.Runs, e.Err)
}

// Unwrap returns the error of the context.
func (e *DrainError) Unwrap() error { return e.Err }

// Drain reports to the leader that the worker is leaving and rejects further
// assignments. It returns once the leader has moved all runs off the worker and
// has confirmed their ends. Run must be running until then. Drain returns
// *DrainError when ctx ends first.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.mu.Unlock()
	a.options.Log.Info("worker is leaving", zap.String("worker", string(a.options.Worker.ID)))
	signal(a.heartbeatRequested)
	for {
		if a.unsettledAttempts() == 0 {
			return nil
		}
		select {
		case <-a.heartbeatEnded:
		case <-ctx.Done():
			return &DrainError{Runs: a.unsettledAttempts(), Err: ctx.Err()}
		}
	}
}

// unsettledAttempts returns the number of attempts that run or whose end the
// leader has not confirmed.
func (a *Agent) unsettledAttempts() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	return len(a.ledger.entries)
}
