package fleet

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// fakeRunner is the task runner of one host. Its runs take a fixed time.
type fakeRunner struct {
	world *world
	host  structs.WorkerID

	mu       sync.Mutex
	info     substrate.RunnerInfo
	began    time.Time // of the incarnation
	fence    int64
	lease    time.Time
	runs     map[structs.TaskRun]*fakeRun
	highest  map[structs.StepTaskID]int32 // highest run that ended or was stopped
	ended    []substrate.EndedRun
	ends     int64
	down     bool // nothing listens
	dark     bool // nothing answers
	failing  bool // runs fail
	unheard  int  // starts that go without an answer and are carried out later
	paces    map[structs.TaskRun]int
	notified chan struct{}
}

type fakeRun struct {
	end  *time.Timer
	from string
}

// lateBy is when an unanswered start is carried out.
const lateBy = 3 * time.Second

func newFakeRunner(w *world, host structs.WorkerID, domain structs.FailureDomainID, capacity structs.Resources) *fakeRunner {
	r := &fakeRunner{world: w, host: host}
	r.info = substrate.RunnerInfo{ID: "r-" + string(host), Pool: "pool", FailureDomain: domain, Capacity: capacity, Address: string(host)}
	r.reset()
	return r
}

// reset begins a new incarnation.
func (r *fakeRunner) reset() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.end.Stop()
	}
	r.world.checker.runnerReset(r.host)
	r.began = time.Now()
	r.info.Born = r.began
	r.info.Incarnation = fmt.Sprintf("%s@%d", r.info.ID, r.began.UnixNano())
	r.info.Sequence = 0
	r.fence, r.ends, r.ended = 0, 0, nil
	r.runs = map[structs.TaskRun]*fakeRun{}
	r.highest = map[structs.StepTaskID]int32{}
	r.paces = map[structs.TaskRun]int{}
	r.notified = make(chan struct{})
	r.down, r.dark = false, false
}

// crash ends the incarnation; dark leaves its port without an answer.
func (r *fakeRunner) crash(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.runs {
		run.end.Stop()
	}
	r.runs = map[structs.TaskRun]*fakeRun{}
	r.world.checker.runnerReset(r.host)
	r.down, r.dark = !dark, dark
}

func (r *fakeRunner) report() substrate.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Sequence++
	return r.info
}

// enter answers for what is common to all calls. The caller holds no lock.
func (r *fakeRunner) enter(ctx context.Context, incarnation string, fence int64) error {
	if err := sleep(ctx, time.Millisecond); err != nil {
		return &structs.UnknownOutcomeError{Operation: "call", Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	switch {
	case r.down:
		return &substrate.GoneError{Address: r.info.Address}
	case r.dark:
		r.mu.Unlock()
		<-ctx.Done()
		r.mu.Lock()
		return &structs.UnknownOutcomeError{Operation: "call", Err: ctx.Err()}
	case incarnation != r.info.Incarnation:
		return &substrate.IncarnationError{Want: incarnation}
	case fence < r.fence:
		return &substrate.StartRefusedError{Refusal: substrate.RefusalFenced}
	}
	r.fence = fence
	return nil
}

func (r *fakeRunner) clock() substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Since(r.began))
}

// endRun ends a run; the caller holds the lock.
func (r *fakeRunner) endRun(id structs.TaskRun, end substrate.RunEnd, checkpoint string) {
	run, found := r.runs[id]
	if !found {
		return
	}
	run.end.Stop()
	delete(r.runs, id)
	r.highest[id.Task] = max(r.highest[id.Task], id.Number)
	r.ends++
	r.ended = append(r.ended, substrate.EndedRun{Number: r.ends, Run: id, End: end, Checkpoint: checkpoint})
	r.world.checker.ended(r.host, id, end)
	close(r.notified)
	r.notified = make(chan struct{})
}

// expire ends everything once the lease has run out.
func (r *fakeRunner) expire() {
	r.mu.Lock()
	defer r.mu.Unlock()
	if time.Now().Before(r.lease) {
		return
	}
	for id := range r.runs {
		r.endRun(id, substrate.RunEndLapsed, "")
	}
}

func (r *fakeRunner) extend(until substrate.RuntimeClock) {
	at := r.began.Add(time.Duration(until))
	if most := time.Now().Add(r.world.timing.HoldMax); at.After(most) {
		at = most
	}
	if at.After(r.lease) {
		r.lease = at
		// The runner's clock may be 2 % slow.
		time.AfterFunc(time.Until(at)*102/100, r.expire)
	}
}

// begin carries a start out; the caller holds the lock.
func (r *fakeRunner) begin(start substrate.TaskStart, lease substrate.RuntimeClock) error {
	id := start.Run
	if _, found := r.runs[id]; found {
		return nil
	}
	if id.Number <= r.highest[id.Task] {
		return &substrate.StartRefusedError{Refusal: substrate.RefusalOld}
	}
	if r.clock() >= lease {
		return &substrate.StartRefusedError{Refusal: substrate.RefusalLate}
	}
	r.extend(lease)
	took := r.world.runTime(id)
	incarnation := r.info.Incarnation
	r.runs[id] = &fakeRun{from: start.Checkpoint, end: time.AfterFunc(took, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.info.Incarnation != incarnation {
			return
		}
		end := substrate.RunEndDone
		if r.failing {
			end = substrate.RunEndFailed
		}
		r.endRun(id, end, "")
	})}
	r.world.checker.started(r.host, id)
	return nil
}

// runnerClient is the client of one incarnation.
type runnerClient struct {
	r           *fakeRunner
	incarnation string
}

func (c *runnerClient) Start(ctx context.Context, fence int64, start substrate.TaskStart, lease substrate.RuntimeClock) (substrate.RuntimeClock, error) {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return 0, err
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	if c.r.unheard > 0 {
		c.r.unheard--
		time.AfterFunc(lateBy, func() {
			late, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			if c.r.enter(late, c.incarnation, fence) != nil {
				return
			}
			c.r.mu.Lock()
			defer c.r.mu.Unlock()
			_ = c.r.begin(start, lease)
		})
		c.r.mu.Unlock()
		<-ctx.Done()
		c.r.mu.Lock()
		return 0, &structs.UnknownOutcomeError{Operation: "start", Err: ctx.Err()}
	}
	return c.r.clock(), c.r.begin(start, lease)
}

func (c *runnerClient) Stop(ctx context.Context, fence int64, run structs.TaskRun) error {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return err
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.endRun(run, substrate.RunEndStopped, "saved")
	c.r.highest[run.Task] = max(c.r.highest[run.Task], run.Number)
	return nil
}

func (c *runnerClient) Pace(ctx context.Context, fence int64, run structs.TaskRun, percent int) error {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return err
	}
	c.r.mu.Lock()
	defer c.r.mu.Unlock()
	c.r.paces[run] = percent
	return nil
}

func (c *runnerClient) Hold(ctx context.Context, fence, acknowledged int64, lease substrate.RuntimeClock, wait time.Duration) (substrate.RunnerState, error) {
	if err := c.r.enter(ctx, c.incarnation, fence); err != nil {
		return substrate.RunnerState{}, err
	}
	c.r.mu.Lock()
	if lease > 0 {
		c.r.extend(lease)
	}
	for len(c.r.ended) > 0 && c.r.ended[0].Number <= acknowledged {
		c.r.world.checker.noted(c.r.host, c.r.ended[0].Run)
		c.r.ended = c.r.ended[1:]
	}
	notified := c.r.notified
	if len(c.r.ended) == 0 && wait > 0 {
		c.r.mu.Unlock()
		select {
		case <-notified:
		case <-time.After(wait):
		case <-ctx.Done():
		}
		c.r.mu.Lock()
	}
	defer c.r.mu.Unlock()
	if c.r.down || c.r.dark || c.incarnation != c.r.info.Incarnation {
		return substrate.RunnerState{}, &structs.UnknownOutcomeError{Operation: "hold", Err: context.Canceled}
	}
	state := substrate.RunnerState{Clock: c.r.clock(), Ended: append([]substrate.EndedRun(nil), c.r.ended...)}
	for id, run := range c.r.runs {
		state.Active = append(state.Active, substrate.ActiveRun{Run: id, Percent: 50, Checkpoint: run.from})
	}
	return state, nil
}
