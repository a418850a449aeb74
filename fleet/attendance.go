package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of an attendance.
const (
	runnerCalls     = 6                       // starts, stops and paces at once
	holdTimeout     = 1500 * time.Millisecond // beyond the wait that was asked for
	holdPause       = 150 * time.Millisecond  // after a hold that failed, or whose ends are not stored yet
	goneConfirm     = 100 * time.Millisecond  // between two refused connections that show that the runner is gone
	attendanceTick  = 100 * time.Millisecond
	runnerCallLimit = 2 * time.Second // longest wait for an answer to a start or a stop
)

// attendance is one session with a leader, seen from the agent. The goroutine
// of run owns all fields but those under mu.
type attendance struct {
	h      *host
	log    *zap.Logger
	row    leaderRow
	info   substrate.RunnerInfo
	stream fleetpb.Fleet_AttendClient
	runner substrate.Runner // nil without a runner

	fence      int64
	ordersSeen int64
	heard      bootclock.Time // last orders
	reported   bootclock.Time // last report
	starting   map[structs.TaskRun]*startOp
	stopping   map[structs.TaskRun]bool
	results    chan func()
	slots      chan struct{}
	pacer      *pacer

	holding   bool
	holdAgain bootclock.Time // no hold before this
	holdsGone int            // refused connections in a row
	listed    *fleetpb.WorkerReport
	readEnds  int64 // number of the last end that was listed
	launches  int64 // holds launched

	mu           sync.Mutex
	acknowledged int64
	leaseUntil   bootclock.Time
	clock        substrate.RuntimeClock // of the runner ...
	clockAt      bootclock.Time         // ... not before this
}

// startOp is a start that the runner has not settled, or that no list shows yet.
type startOp struct {
	cancel  context.CancelFunc
	settled int64 // holds launched when it was settled, -1 before
}

func newAttendance(h *host, row leaderRow, info substrate.RunnerInfo, stream fleetpb.Fleet_AttendClient) *attendance {
	a := &attendance{
		h: h, row: row, info: info, stream: stream,
		log:      h.o.Log.With(zap.Int64("epoch", row.Epoch), zap.String("incarnation", info.Incarnation)),
		starting: map[structs.TaskRun]*startOp{}, stopping: map[structs.TaskRun]bool{},
		results: make(chan func(), 64), slots: make(chan struct{}, runnerCalls),
	}
	if info.Incarnation != "" {
		a.runner = h.o.Runner(info)
	}
	a.pacer = newPacer(a)
	return a
}

// run works until the session ends.
func (a *attendance) run(ctx context.Context, cancel context.CancelFunc, first *fleetpb.WorkerOrders) (sessionEnd, error) {
	defer cancel()
	if !a.h.admits(first.GetEpoch()) {
		return endLost, &structs.FencedError{Cell: fleetPart, Epoch: first.GetEpoch()}
	}
	a.fence = first.GetFence()
	a.log.Info("session", zap.String("leader", a.row.Address), zap.Int64("fence", a.fence))
	orders := make(chan *fleetpb.WorkerOrders)
	broken := make(chan error, 1)
	go a.receive(ctx, orders, broken)
	tick := time.NewTicker(attendanceTick)
	defer tick.Stop()
	a.obey(ctx, first)
	for {
		a.hold(ctx)
		var err error
		select {
		case o := <-orders:
			a.obey(ctx, o)
		case epoch := <-a.h.replaced:
			if epoch == a.row.Epoch {
				return endReplaced, nil
			}
		case f := <-a.results:
			f()
			err = a.flushList()
		case <-a.h.changed:
			if a.h.current().Incarnation != a.info.Incarnation {
				return endLost, &substrate.IncarnationError{Want: a.info.Incarnation}
			}
			err = a.report(&fleetpb.WorkerReport{})
		case <-tick.C:
			err = a.check()
		case err = <-broken:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return endLost, err
		}
	}
}

func (a *attendance) receive(ctx context.Context, orders chan<- *fleetpb.WorkerOrders, broken chan<- error) {
	for {
		o, err := a.stream.Recv()
		if err != nil {
			broken <- err
			return
		}
		select {
		case orders <- o:
		case <-ctx.Done():
			return
		}
	}
}

// check ends a silent session and reports when there was no list to report.
func (a *attendance) check() error {
	now := a.h.o.Clock()
	if now.Sub(a.heard) > a.h.o.Timing.Silence {
		return &structs.UnavailableError{Dependency: "leader"}
	}
	if now.Sub(a.reported) < a.h.o.Timing.Report*2 {
		return nil
	}
	return a.report(&fleetpb.WorkerReport{})
}

// report sends a report with what is always part of it.
func (a *attendance) report(r *fleetpb.WorkerReport) error {
	info := a.h.current()
	a.reported = a.h.o.Clock()
	r.SentAt = int64(a.reported)
	r.OrdersSeen = a.ordersSeen
	r.Draining = info.Draining
	r.RemainingMs = info.Remaining.Milliseconds()
	return a.stream.Send(r)
}

// obey carries orders out.
func (a *attendance) obey(ctx context.Context, o *fleetpb.WorkerOrders) {
	a.heard = a.h.o.Clock()
	a.ordersSeen = o.GetNumber()
	echo := bootclock.Time(o.GetEcho())
	a.mu.Lock()
	a.acknowledged = max(a.acknowledged, o.GetAcknowledged())
	if o.GetLeaseMs() > 0 {
		a.leaseUntil = max(a.leaseUntil, echo.Add(time.Duration(o.GetLeaseMs())*time.Millisecond))
	}
	a.mu.Unlock()
	if a.acknowledged >= a.readEnds {
		a.holdAgain = 0
	}
	for _, k := range o.GetKnown() {
		a.pacer.know(runFromProto(k.GetRun()), k.GetFills(), k.GetLatencyTargetMs())
	}
	suspects := make([]structs.TaskRun, 0, len(o.GetSuspects()))
	for _, r := range o.GetSuspects() {
		suspects = append(suspects, runFromProto(r))
	}
	a.pacer.suspected(suspects)
	if a.runner != nil {
		age := a.heard.Sub(echo)
		for _, s := range o.GetStarts() {
			a.start(ctx, s, age)
		}
		for _, r := range o.GetStops() {
			a.stop(ctx, runFromProto(r))
		}
	}
	if o.GetTakeOver() {
		a.h.askTakeOver(a.row)
	}
}

// lease returns the reading of the runner's clock until which the leader lets
// its runs go on, 0 if that has passed.
func (a *attendance) lease() substrate.RuntimeClock {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.h.o.Clock()
	if a.clock == 0 || a.leaseUntil <= now {
		return 0
	}
	return a.clock.Add(a.leaseUntil.Sub(a.clockAt))
}

// sawClock takes in a reading of the runner's clock that came with an answer.
func (a *attendance) sawClock(c substrate.RuntimeClock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c > 0 {
		a.clock, a.clockAt = c, a.h.o.Clock()
	}
}

// later hands a result to the loop.
func (a *attendance) later(ctx context.Context, f func()) {
	select {
	case a.results <- f:
	case <-ctx.Done():
	}
}

// hold asks the runner for its state unless a call is on its way.
func (a *attendance) hold(ctx context.Context) {
	if a.runner == nil || a.holding || a.h.o.Clock() < a.holdAgain {
		return
	}
	a.holding = true
	a.launches++
	launch := a.launches
	wait := a.h.o.Timing.Report
	if launch == 1 {
		wait = 0
	}
	go func() {
		a.mu.Lock()
		acknowledged := a.acknowledged
		a.mu.Unlock()
		call, cancel := context.WithTimeout(ctx, wait+holdTimeout)
		defer cancel()
		state, err := a.runner.Hold(call, a.fence, acknowledged, a.lease(), wait)
		if err == nil {
			a.sawClock(state.Clock)
		}
		a.later(ctx, func() { a.held(ctx, launch, state, err) })
	}()
}

// held takes in the runner's state, or the failure to get it.
func (a *attendance) held(ctx context.Context, launch int64, state substrate.RunnerState, err error) {
	a.holding = false
	now := a.h.o.Clock()
	if err != nil {
		a.holdFailed(now, err)
		return
	}
	a.holdsGone = 0
	for r, op := range a.starting {
		if op.settled >= 0 && op.settled < launch {
			delete(a.starting, r)
		}
	}
	list := &fleetpb.WorkerReport{Listed: true}
	for _, r := range state.Active {
		list.Active = append(list.Active, &fleetpb.Active{
			Run: runToProto(r.Run), Checkpoint: r.Checkpoint, Percent: int32(r.Percent), Figure: r.Figure, Pace: a.pacer.allowed(r.Run),
		})
	}
	for _, e := range state.Ended {
		list.Ended = append(list.Ended, &fleetpb.Ended{Number: e.Number, Run: runToProto(e.Run), End: string(e.End), Checkpoint: e.Checkpoint})
		a.readEnds = max(a.readEnds, e.Number)
	}
	// The answer to the first list carries the lease, which an earlier leader may
	// have left short, and that to a list of ends their acknowledgement: the next
	// hold takes either along instead of waiting without it.
	if launch == 1 || a.readEnds > a.acknowledged {
		a.holdAgain = now.Add(holdPause)
	}
	a.listed = list
	a.pacer.step(ctx, state.Active, now)
}

func (a *attendance) holdFailed(now bootclock.Time, err error) {
	a.holdAgain = now.Add(holdPause)
	a.log.Warn("runner does not answer", zap.String("runner", a.info.ID), zap.Int64("holds", a.launches), zap.Error(err))
	var gone *substrate.GoneError
	var other *substrate.IncarnationError
	switch {
	case errors.As(err, &other):
		a.log.Warn("runner restarted", zap.String("runner", a.info.ID))
		a.h.lose(a.info.Incarnation, true)
		return
	case errors.As(err, &gone):
		a.holdsGone++
		a.holdAgain = now.Add(goneConfirm)
	default:
		a.holdsGone = 0
	}
	if a.holdsGone >= goneHolds {
		a.log.Warn("runner gone", zap.String("runner", a.info.ID))
		a.h.lose(a.info.Incarnation, false)
	}
}

// goneHolds is the number of refused connections in a row that show that the
// runner's process has ended.
const goneHolds = 2

// flushList reports the last list, if one is due.
func (a *attendance) flushList() error {
	if a.listed == nil {
		return nil
	}
	list := a.listed
	a.listed = nil
	for r := range a.starting {
		list.Starting = append(list.Starting, runToProto(r))
	}
	return a.report(list)
}
