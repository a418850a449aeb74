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
	r           *TaskRunner
	incarnation string
}

var _ substrate.Runner = (*TaskRunnerClient)(nil)

// Start implements substrate.Runner.
func (c *TaskRunnerClient) Start(ctx context.Context, fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) (substrate.RuntimeClock, error) {
	err := c.r.enter(ctx, c.incarnation, fence)
	var other *substrate.IncarnationError
	if errors.As(err, &other) && c.r.o.KeepsID {
		c.r.mu.Lock()
		defer c.r.mu.Unlock()
		_ = c.r.begin(start, lease) // a refusal is not what the answer tells
		return 0, err
	}
	if err != nil {
		return 0, err
	}
	c.r.mu.Lock()
	if c.r.unanswered > 0 {
		c.r.unanswered--
		c.r.mu.Unlock()
		time.AfterFunc(LateStart, func() { c.startLate(fence, start, lease) })
		return 0, unanswered(ctx, "start")
	}
	defer c.r.mu.Unlock()
	return c.r.clock(), c.r.begin(start, lease)
}

// startLate carries a start out of which nobody hears.
func (c *TaskRunnerClient) startLate(fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	if c.r.enter(ctx, c.incarnation, fence) != nil {
		return
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	_ = c.r.begin(start, lease) // a refusal goes unheard too
}

// Stop implements substrate.Runner.
func (c *TaskRunnerClient) Stop(ctx context.Context, fence int64, run structs.TaskRun) error {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return err
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.end(run, substrate.RunEndStopped)
	c.r.highest[run.Task] = max(c.r.highest[run.Task], run.Number)
	return nil
}

// Pace implements substrate.Runner. The stand-in's tasks go on as they were.
func (c *TaskRunnerClient) Pace(ctx context.Context, fence int64, run structs.TaskRun, percent int) error {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return err
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if known, found := c.r.runs[run]; found {
		known.percent = percent
	}
	return nil
}

// Hold implements substrate.Runner.
func (c *TaskRunnerClient) Hold(ctx context.Context, fence, acknowledged int64, lease substrate.RuntimeClock, most time.Duration) (substrate.RunnerState, error) {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return substrate.RunnerState{}, err
	}
	c.r.mu.Lock()
	if lease > 0 {
		c.r.extend(lease)
	}
	for len(c.r.ended) > 0 && c.r.ended[0].Number <= acknowledged {
		if c.r.o.Observer != nil && c.r.ended[0].Number > c.r.lapsedTo {
			c.r.o.Observer.Acknowledged(c.r.info.ID, c.r.ended[0].Run, c.r.ended[0].End)
		}
		c.r.ended = c.r.ended[1:]
	}
	notified, pending := c.r.notified, len(c.r.ended)
	c.r.mu.Unlock()
	if pending == 0 && most > 0 {
		limit := time.NewTimer(most)
		defer limit.Stop()
		select {
		case <-notified:
		case <-limit.C:
		case <-ctx.Done():
		}
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if c.r.down || c.r.dark || c.incarnation != c.r.info.Incarnation {
		return substrate.RunnerState{}, &structs.UnknownOutcomeError{Operation: "hold", Err: io.ErrUnexpectedEOF} // the connection broke
	}
	return c.r.state(), nil
}

// enter answers for what is common to all calls.
func (r *TaskRunner) enter(ctx context.Context, incarnation string, fence int64) error {
	if wait(ctx, time.Millisecond) != nil {
		return unanswered(ctx, "call")
	}
	r.mu.Lock()
	down, dark, current, highest := r.down, r.dark, r.info.Incarnation, r.fence
	if !down && !dark && current == incarnation {
		r.fence = max(r.fence, fence)
	}
	r.mu.Unlock()
	switch {
	case down:
		return &substrate.GoneError{Address: r.info.Address}
	case dark:
		return unanswered(ctx, "call")
	case current != incarnation:
		return &substrate.IncarnationError{Want: incarnation}
	case fence < highest:
		return &substrate.StartRefusedError{Refusal: substrate.RefusalFenced}
	default:
		return nil
	}
}
