package standin

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// TaskRunnerClient is a client of one incarnation of a TaskRunner. It
// implements substrate.Runner.
type TaskRunnerClient struct {
	runner      *TaskRunner
	incarnation string
}

var _ substrate.Runner = (*TaskRunnerClient)(nil)

// Start implements substrate.Runner.
func (c *TaskRunnerClient) Start(ctx context.Context, fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) (substrate.RuntimeClock, error) {
	err := c.runner.admitCall(ctx, c.incarnation, fence)
	var mismatch *substrate.IncarnationError
	if errors.As(err, &mismatch) {
		c.runner.mu.Lock()
		defer c.runner.mu.Unlock()
		if !c.runner.admitStaleCall(c.incarnation, fence) {
			return 0, err
		}
		_ = c.runner.startRunLocked(start, lease) // the reply reports the incarnation mismatch instead of a refusal
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	c.runner.mu.Lock()
	if c.runner.unansweredStarts > 0 {
		c.runner.unansweredStarts--
		delay := c.runner.lateStartDelay
		c.runner.mu.Unlock()
		time.AfterFunc(delay, func() { c.applyLateStart(fence, start, lease) })
		return 0, withholdReply(ctx, "start")
	}
	defer c.runner.mu.Unlock()
	return c.runner.clockLocked(), c.runner.startRunLocked(start, lease)
}

// applyLateStart carries out a start whose caller got no reply.
func (c *TaskRunnerClient) applyLateStart(fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	err := c.runner.admitCall(ctx, c.incarnation, fence)
	var mismatch *substrate.IncarnationError
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	if err != nil && (!errors.As(err, &mismatch) || !c.runner.admitStaleCall(c.incarnation, fence)) {
		return
	}
	_ = c.runner.startRunLocked(start, lease) // the caller gets no reply, so a refusal is lost too
}

// Stop implements substrate.Runner.
func (c *TaskRunnerClient) Stop(ctx context.Context, fence int64, run structs.RunID) error {
	err := c.runner.admitCall(ctx, c.incarnation, fence)
	var mismatch *substrate.IncarnationError
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	if err != nil && (!errors.As(err, &mismatch) || !c.runner.admitStaleCall(c.incarnation, fence)) {
		return err
	}
	c.runner.endRunLocked(run, substrate.RunEndStopped)
	c.runner.highestEnded[run.Task] = max(c.runner.highestEnded[run.Task], run.Number)
	return err
}

// SetPace implements substrate.Runner. The simulated tasks keep their run time.
func (c *TaskRunnerClient) SetPace(ctx context.Context, fence int64, run structs.RunID, percent int) error {
	if err := c.runner.admitCall(ctx, c.incarnation, fence); err != nil {
		return err
	}
	c.runner.mu.Lock()
	delay, unanswered := c.runner.paceCallDelay, c.runner.unansweredPaces > 0
	if unanswered {
		c.runner.unansweredPaces--
	}
	c.runner.mu.Unlock()
	if unanswered {
		time.AfterFunc(LateStartDelay, func() { c.applyPace(fence, run, percent) })
		return withholdReply(ctx, "pace")
	}
	if delay > 0 {
		time.AfterFunc(delay, func() { c.applyPace(fence, run, percent) })
		if wait(ctx, delay) != nil {
			return &structs.UnknownOutcomeError{Operation: "pace", Err: ctx.Err()}
		}
		return nil
	}
	c.applyPace(fence, run, percent)
	return nil
}

// applyPace changes the pace of a run unless the runner has received a higher
// fencing token.
func (c *TaskRunnerClient) applyPace(fence int64, run structs.RunID, percent int) {
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	if fence >= c.runner.highestFence {
		c.runner.setPaceLocked(run, percent)
	}
}

// PollRuns implements substrate.Runner.
func (c *TaskRunnerClient) PollRuns(ctx context.Context, fence, acknowledged int64, lease substrate.RuntimeClock, maxWait time.Duration) (substrate.RunnerState, error) {
	err := c.runner.admitCall(ctx, c.incarnation, fence)
	c.runner.mu.Lock()
	var mismatch *substrate.IncarnationError
	if errors.As(err, &mismatch) && c.runner.admitStaleCall(c.incarnation, fence) {
		defer c.runner.mu.Unlock()
		if lease > 0 {
			c.runner.extendLeaseLocked(lease)
		}
		c.runner.acknowledgeLocked(acknowledged)
		return c.runner.stateLocked(), &substrate.IncarnationError{Want: c.incarnation, StartedAt: c.runner.incarnationStart}
	}
	if err != nil {
		c.runner.mu.Unlock()
		return substrate.RunnerState{}, err
	}
	if lease > 0 {
		c.runner.extendLeaseLocked(lease)
	}
	c.runner.acknowledgeLocked(acknowledged)
	runEnded, pending := c.runner.runEnded, len(c.runner.unacknowledged)
	c.runner.mu.Unlock()
	if pending == 0 && maxWait > 0 {
		limit := time.NewTimer(maxWait)
		defer limit.Stop()
		select {
		case <-runEnded:
		case <-limit.C:
		case <-ctx.Done():
			return substrate.RunnerState{}, &structs.UnknownOutcomeError{Operation: "hold", Err: ctx.Err()}
		}
	}
	c.runner.mu.Lock()
	defer c.runner.mu.Unlock()
	if c.runner.refusing || c.runner.unresponsive || c.incarnation != c.runner.info.Incarnation {
		return substrate.RunnerState{}, &structs.UnknownOutcomeError{Operation: "hold", Err: io.ErrUnexpectedEOF} // the connection broke
	}
	return c.runner.stateLocked(), nil
}

// acknowledgeLocked drops the records of ends up to the given number. The
// caller holds the lock.
func (r *TaskRunner) acknowledgeLocked(number int64) {
	for len(r.unacknowledged) > 0 && r.unacknowledged[0].Number <= number {
		if r.options.Observer != nil && r.unacknowledged[0].Number > r.lastLapsedEnd {
			r.options.Observer.Acknowledged(r.options.Info.ID, r.unacknowledged[0].Run, r.unacknowledged[0].End)
		}
		r.unacknowledged = r.unacknowledged[1:]
	}
}

// admitCall makes the checks that all calls share: reachability of the runner,
// incarnation and fence.
func (r *TaskRunner) admitCall(ctx context.Context, incarnation string, fence int64) error {
	if wait(ctx, time.Millisecond) != nil {
		return withholdReply(ctx, "call")
	}
	r.mu.Lock()
	refusing, unresponsive, current, highest := r.refusing, r.unresponsive, r.info.Incarnation, r.highestFence
	if !refusing && !unresponsive && current == incarnation {
		r.highestFence = max(r.highestFence, fence)
	}
	r.mu.Unlock()
	switch {
	case refusing:
		return &substrate.ConnectionRefusedError{Address: r.info.Address}
	case unresponsive:
		return withholdReply(ctx, "call")
	case current != incarnation:
		return &substrate.IncarnationError{Want: incarnation}
	case fence < highest:
		return &substrate.StartRefusedError{Refusal: substrate.RefusalFenced}
	default:
		return nil
	}
}
