package fleet

import (
	"context"
	"errors"
	"math"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// Limits of an agent's session and of its calls to the runner. The agent polls
// the runner with calls that extend the lease, wait for a change and return the
// runs.
const (
	maxRunnerCalls       = 6                       // start and stop calls in flight
	pollTimeoutMargin    = 1500 * time.Millisecond // difference between the timeout of a poll and the wait that the poll requests
	pollPause            = 150 * time.Millisecond  // delay of the next poll after a failed poll, and longest wait for the leader's answer to a list of runs
	refusedPollPause     = 100 * time.Millisecond  // delay of the next poll after a refused connection
	agentSessionTick     = 100 * time.Millisecond
	maxRunnerCallTimeout = 2 * time.Second // longest timeout of a start or a stop
	maxQueuedReports     = 16              // reports that wait for a leader that reads slowly
)

// agentSession is the agent's side of the stream with a leader. The goroutine
// of run owns all fields except those below mu.
type agentSession struct {
	host   *host
	log    *zap.Logger
	row    leaderRow
	info   substrate.RunnerInfo
	stream fleetpb.Fleet_AttendClient
	runner substrate.Runner // nil if the host has no runner

	epoch           int64 // of the leader
	fencingToken    int64
	lastOrderNumber int64
	lastOrdersAt    bootclock.Time // when the last orders arrived
	lastReportAt    bootclock.Time // when the last report was sent
	takeoverAskedAt bootclock.Time // when the leader last asked for a takeover, 0 if it has not
	starting        map[structs.RunID]*startOp
	stopping        map[structs.RunID]bool
	loopCalls       chan func()
	reports         chan *fleetpb.WorkerReport // reports to send, see sendReports
	runnerCallSlots chan struct{}
	pacer           *pacer

	pollInFlight bool
	endPoll      context.CancelFunc // ends the poll in flight
	isListDue    bool               // the next poll does not wait, see listSettledStarts
	isOutdated   bool               // the runner refuses the session's fencing token
	// isIncarnationUncertain is set after a failed poll, since the runner may
	// have restarted with the same ID. The numbers of the acknowledged ends are
	// valid for one incarnation only.
	isIncarnationUncertain bool
	nextPollAt             bootclock.Time // earliest time of the next poll
	refusedPolls           int            // polls in a row whose connection was refused
	// pendingList is a list of the runner's runs that is not yet reported to the
	// leader. It is nil if there is none.
	pendingList   *fleetpb.WorkerReport
	listPollAt    bootclock.Time // when the poll began that returned the last list
	sentListAt    bootclock.Time // when the last list was reported, 0 before the first
	sentPollAt    bootclock.Time // when the poll began that returned that list
	lastEndListed int64          // highest number of an end of a run in the lists of this session
	pollCount     int64          // polls started in this session

	mu sync.Mutex
	// acknowledgedEnd is the highest number of an end that the leader has
	// stored, along with all lower ones.
	acknowledgedEnd int64
	leaseEndsAt     bootclock.Time         // end of the lease on the agent's clock
	runnerClock     substrate.RuntimeClock // last reading of the runner's clock, 0 before the first
	runnerClockAt   bootclock.Time         // when the answer with runnerClock arrived, at or after the reading
}

func newAgentSession(host *host, row leaderRow, info substrate.RunnerInfo, stream fleetpb.Fleet_AttendClient) *agentSession {
	a := &agentSession{
		host: host, row: row, info: info, stream: stream,
		log:      host.o.Log.With(zap.Int64("epoch", row.Epoch), zap.String("incarnation", info.Incarnation)),
		starting: map[structs.RunID]*startOp{}, stopping: map[structs.RunID]bool{},
		loopCalls: make(chan func(), 64), reports: make(chan *fleetpb.WorkerReport, maxQueuedReports), runnerCallSlots: make(chan struct{}, maxRunnerCalls),
	}
	if info.Incarnation != "" {
		a.runner = host.o.Runner(info)
	}
	a.pacer = host.pacerOf(info.Incarnation)
	return a
}

// run executes the leader's orders, reports the runner's lists of runs and runs
// queued calls until the session ends.
func (a *agentSession) run(ctx context.Context, cancel context.CancelFunc, first *fleetpb.WorkerOrders) (end sessionEnd, err error) {
	defer cancel()
	defer recoverAs(&err, "session with the leader", a.log) // end is endLost then
	if !a.host.admitEpoch(first.GetEpoch()) {
		return endLost, &structs.FencedError{Cell: fleetPart, Epoch: first.GetEpoch()}
	}
	a.epoch, a.fencingToken = first.GetEpoch(), a.host.recordSession(first.GetFence(), a.info)
	defer a.host.recordSessionEnd()
	a.pacer.attach(a.log, a.runner, a.fencingToken)
	a.log.Info("session opened", zap.String("leader", a.row.Address), zap.Int64("fence", a.fencingToken), zap.String("runner_address", a.info.Address))
	orders := make(chan *fleetpb.WorkerOrders)
	streamErrors := make(chan error, 2)
	go a.receiveOrders(ctx, orders, streamErrors)
	go a.sendReports(ctx, streamErrors)
	tick := time.NewTicker(agentSessionTick)
	defer tick.Stop()
	a.executeOrders(ctx, first)
	for {
		a.startPoll(ctx)
		var err error
		select {
		case o := <-orders:
			a.executeOrders(ctx, o)
		case epoch := <-a.host.replacedEpochs:
			if epoch == a.row.Epoch {
				return endReplaced, nil
			}
		case f := <-a.loopCalls:
			f()
			err = a.sendPendingList()
			if a.isOutdated {
				a.host.raiseUnknownFence() // for the next session
				err = &substrate.StartRefusedError{Refusal: substrate.RefusalFenced}
			}
		case <-a.host.changed:
			if a.host.current().Incarnation != a.info.Incarnation {
				return endLost, &substrate.IncarnationError{Want: a.info.Incarnation}
			}
			err = a.sendReport(&fleetpb.WorkerReport{})
		case <-tick.C:
			err = a.checkTimeouts()
		case err = <-streamErrors:
		case <-ctx.Done():
			err = ctx.Err()
		}
		if err != nil {
			return endLost, err
		}
	}
}

// sendReports sends the queued reports. A stream whose peer has gone silent blocks once
// its flow control is used up, which must not keep the loop of the session from noticing
// the silence.
func (a *agentSession) sendReports(ctx context.Context, streamErrors chan<- error) {
	for {
		select {
		case r := <-a.reports:
			if err := a.stream.Send(r); err != nil {
				streamErrors <- err
				return
			}
		case <-ctx.Done():
			return
		}
	}
}

func (a *agentSession) receiveOrders(ctx context.Context, orders chan<- *fleetpb.WorkerOrders, streamErrors chan<- error) {
	for {
		o, err := a.stream.Recv()
		if err != nil {
			streamErrors <- err
			return
		}
		select {
		case orders <- o:
		case <-ctx.Done():
			return
		}
	}
}

// checkTimeouts returns an error if the leader has sent nothing for too long.
// It sends a report without a list if no report was sent recently.
func (a *agentSession) checkTimeouts() error {
	now := a.host.o.Clock()
	if now.Sub(a.lastOrdersAt) > a.host.o.Timing.SessionTimeout {
		return &structs.UnavailableError{Dependency: "leader"}
	}
	if now.Sub(a.lastReportAt) < a.host.o.Timing.ReportInterval*2 {
		return nil
	}
	return a.sendReport(&fleetpb.WorkerReport{})
}

// sendReport fills in the fields that all reports have, and queues the report for
// the leader. It returns an error if the leader has not read earlier ones.
func (a *agentSession) sendReport(r *fleetpb.WorkerReport) error {
	a.lastReportAt = a.host.o.Clock() // before info is read, so that the report shows all changes up to this time
	info := a.host.current()
	a.addDescription(r, info)
	r.SentAt = int64(a.lastReportAt)
	r.OrdersSeen = a.lastOrderNumber
	r.Draining = info.Draining
	r.RemainingMs = info.DrainRemaining.Milliseconds()
	r.Stopping = a.host.isStopping()
	select {
	case a.reports <- r:
		return nil
	default:
		return &structs.UnavailableError{Dependency: "leader"}
	}
}

// executeOrders processes a message of the leader.
func (a *agentSession) executeOrders(ctx context.Context, o *fleetpb.WorkerOrders) {
	a.lastOrdersAt = a.host.o.Clock()
	a.host.recordOrders(o.GetEpoch())
	a.lastOrderNumber = o.GetNumber()
	echo := bootclock.Time(o.GetEcho())
	if o.GetTakeOver() {
		a.takeoverAskedAt = a.lastOrdersAt
		a.host.dropReportedList()
	}
	if a.sentListAt > 0 && echo >= a.sentListAt && o.GetAcknowledged() >= a.lastEndListed && a.row.Address != a.host.o.Address && !a.isLeaderLeaving() {
		a.host.recordReportedList(a.sentPollAt)
	}
	if a.sentListAt > 0 && echo >= a.sentListAt {
		a.host.recordAttended(a.info)
	}
	if gone := o.GetGoneStored(); gone != "" {
		a.host.recordReportedEnd(gone)
	}
	leaseEndsAt := echo.Add(time.Duration(o.GetLeaseMs()) * time.Millisecond)
	if !a.host.extendLease(a.epoch, leaseEndsAt) {
		return // this node has become the leader
	}
	a.mu.Lock()
	a.acknowledgedEnd = max(a.acknowledgedEnd, o.GetAcknowledged())
	if o.GetLeaseMs() > 0 {
		a.leaseEndsAt = max(a.leaseEndsAt, leaseEndsAt)
	}
	a.mu.Unlock()
	if a.acknowledgedEnd >= a.lastEndListed {
		a.nextPollAt = 0
	}
	for _, k := range o.GetKnown() {
		a.pacer.addKnownRun(runFromProto(k.GetRun()), k.GetFills(), k.GetLatencyTargetMs())
	}
	if a.runner != nil {
		age := a.lastOrdersAt.Sub(echo)
		for _, s := range o.GetStarts() {
			a.beginStart(ctx, s, age)
		}
		for _, r := range o.GetStops() {
			a.beginStop(ctx, runFromProto(r))
		}
	}
	a.pacer.setEstimates(runsFromProto(o.GetSuspects()), runsFromProto(o.GetUnproven()))
	if o.GetTakeOver() {
		a.host.requestTakeover(a.row)
	}
}

// isLeaderLeaving reports whether the leader has just asked for a takeover. Another one may lead by
// now, which learns nothing of what this one still answers.
func (a *agentSession) isLeaderLeaving() bool {
	return a.takeoverAskedAt > 0 && a.lastOrdersAt.Sub(a.takeoverAskedAt) < 2*takeoverRequestInterval
}

// runnerLease returns the end of the lease on the runner's clock. It returns 0
// if the lease has lapsed or no reading of the clock is available. The returned
// time is earlier than the exact end by the time that the last reading took to
// arrive.
func (a *agentSession) runnerLease() substrate.RuntimeClock { return a.runnerLeaseUntil(math.MaxInt64) }

// runnerLeaseUntil returns the earlier one of the end of the lease and the limit,
// as runnerLease does. A runner refuses a start that it carries out after the end
// of the lease in the call.
func (a *agentSession) runnerLeaseUntil(limit bootclock.Time) substrate.RuntimeClock {
	a.mu.Lock()
	defer a.mu.Unlock()
	now, end := a.host.o.Clock(), min(a.leaseEndsAt, limit)
	if a.runnerClock == 0 || end <= now {
		return 0
	}
	return a.runnerClock.Add(end.Sub(a.runnerClockAt))
}

// updateRunnerClock records a reading of the runner's clock that the runner
// sent with an answer.
func (a *agentSession) updateRunnerClock(c substrate.RuntimeClock) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if c > 0 {
		a.runnerClock, a.runnerClockAt = c, a.host.o.Clock()
	}
}

// runInLoop runs f in the loop of the session.
func (a *agentSession) runInLoop(ctx context.Context, f func()) {
	select {
	case a.loopCalls <- f:
	case <-ctx.Done():
	}
}

// startPoll calls Runner.PollRuns in the background, unless a poll is in flight
// or the pause after the last one has not passed.
func (a *agentSession) startPoll(ctx context.Context) {
	if a.runner == nil || a.pollInFlight || a.host.o.Clock() < a.nextPollAt {
		return
	}
	a.pollInFlight = true
	a.pollCount++
	pollNumber := a.pollCount
	wait := a.host.o.Timing.ReportInterval
	if pollNumber == 1 || a.isListDue {
		wait = 0
	}
	a.isListDue = false
	call, cancel := context.WithTimeout(ctx, wait+pollTimeoutMargin)
	a.endPoll = cancel
	acknowledges := !a.isIncarnationUncertain
	begunAt := a.host.o.Clock()
	a.host.recordPoll(wait)
	go func() {
		acknowledged := int64(0)
		if acknowledges {
			a.mu.Lock()
			acknowledged = a.acknowledgedEnd
			a.mu.Unlock()
		}
		defer cancel()
		state, err := a.runner.PollRuns(call, a.fencingToken, acknowledged, a.runnerLease(), wait)
		if err == nil {
			a.updateRunnerClock(state.Clock)
		}
		a.runInLoop(ctx, func() {
			a.listPollAt = begunAt
			a.handlePollState(ctx, pollNumber, state, err)
		})
	}()
}

// listSettledStarts ends the poll in flight on the leader's own host once no start is in progress,
// so that the next list shows that they have settled. This host is lost with its leader, whose row
// names them as unsettled until then.
func (a *agentSession) listSettledStarts() {
	if a.row.Address != a.host.o.Address || !a.pollInFlight || a.isListDue {
		return
	}
	for _, op := range a.starting {
		if op.settledAtPoll < 0 {
			return
		}
	}
	a.isListDue = true
	a.endPoll()
}

// handlePollState processes the result of a poll.
func (a *agentSession) handlePollState(ctx context.Context, pollNumber int64, state substrate.RunnerState, err error) {
	a.pollInFlight = false
	a.isIncarnationUncertain = err != nil
	now := a.host.o.Clock()
	if err != nil {
		if !a.isListDue { // else the poll was ended
			a.handlePollError(now, err)
		}
		a.host.recordPollEnd(a.nextPollAt > now)
		return
	}
	a.refusedPolls = 0
	for r, op := range a.starting {
		if op.isSettledBy(pollNumber, state.Clock) {
			delete(a.starting, r)
		}
	}
	list := &fleetpb.WorkerReport{Listed: true, MoreEnds: state.MoreEnds || a.lacksEnds(state.Ended)}
	for _, r := range state.Active {
		list.Active = append(list.Active, &fleetpb.Active{
			Run: runToProto(r.Run), Checkpoint: a.checkpointToReport(r.Checkpoint), Percent: int32(r.Percent), Figure: r.Reading, Pace: a.pacer.appliedPace(r.Run),
			Settled: a.host.isSettled(a.info.Incarnation, r.Run),
		})
	}
	for _, e := range state.Ended {
		list.Ended = append(list.Ended, &fleetpb.Ended{Number: e.Number, Run: runToProto(e.Run), End: string(e.End), Checkpoint: a.checkpointToReport(e.Checkpoint)})
		a.lastEndListed = max(a.lastEndListed, e.Number)
	}
	// The leader's answer to the first list extends the lease, which may be
	// about to end after a change of leader. Its answer to a list with ends
	// acknowledges the ends. The next poll passes the lease and the
	// acknowledgement on to the runner, so it is delayed until the answer
	// arrives, for at most pollPause.
	if pollNumber == 1 || a.lastEndListed > a.acknowledgedEnd {
		a.nextPollAt = now.Add(pollPause)
	}
	a.pendingList = list
	a.host.recordList(a.info.Incarnation, state.Active, a.starting)
	if pollNumber == 1 {
		a.addAges(list)
	}
	a.pacer.forgetRuns(state.Active, a.starting)
	a.pacer.update(ctx, state.Active, now)
	a.host.recordPollEnd(a.nextPollAt > now)
}

// addAges adds the ages of the runs to the first list of the session, for a leader that has
// not seen their starts.
func (a *agentSession) addAges(list *fleetpb.WorkerReport) {
	for _, r := range list.Active {
		r.AgeMs = a.host.ageOf(a.info.Incarnation, runFromProto(r.GetRun())).Milliseconds()
	}
}

// checkpointToReport returns the checkpoint, or an empty text if it is too long to be
// kept.
func (a *agentSession) checkpointToReport(checkpoint string) string {
	if len(checkpoint) <= workflow.MaxCheckpointBytes {
		return checkpoint
	}
	a.host.metrics.longCheckpoints.Add(context.Background(), 1)
	return ""
}

// lacksEnds reports whether the numbers of the ends have a gap since the last list
// of this session. The first list may begin with any number, because earlier ends may
// have been acknowledged by an earlier session.
func (a *agentSession) lacksEnds(ended []substrate.EndedRun) bool {
	last := a.lastEndListed
	for _, e := range ended {
		if last > 0 && e.Number > last+1 {
			return true
		}
		last = max(last, e.Number)
	}
	return false
}

func (a *agentSession) handlePollError(now bootclock.Time, err error) {
	a.nextPollAt = now.Add(pollPause)
	a.host.recordFailedPoll(a.info.Incarnation)
	a.log.Warn("poll of the runner failed", zap.String("runner", a.info.ID), zap.Int64("holds", a.pollCount), zap.Error(err))
	var refused *substrate.ConnectionRefusedError
	var other *substrate.IncarnationError
	var outdated *substrate.StartRefusedError
	switch {
	case errors.As(err, &outdated) && outdated.Refusal == substrate.RefusalFenced:
		a.isOutdated = true
		return
	case errors.As(err, &other):
		a.log.Warn("runner restarted", zap.String("runner", a.info.ID))
		a.host.markRunnerEnded(a.info.Incarnation, true)
		return
	case errors.As(err, &refused):
		a.refusedPolls++
		a.nextPollAt = now.Add(refusedPollPause)
	default:
		a.refusedPolls = 0
	}
	if a.refusedPolls >= refusedPollsUntilGone {
		a.log.Warn("runner gone", zap.String("runner", a.info.ID))
		a.host.markRunnerEnded(a.info.Incarnation, false)
	}
}

// refusedPollsUntilGone is the number of refused connections in a row after
// which the runner's process is treated as ended.
const refusedPollsUntilGone = 2

// sendPendingList reports pendingList to the leader if there is one.
func (a *agentSession) sendPendingList() error {
	if a.pendingList == nil {
		return nil
	}
	list := a.pendingList
	a.pendingList = nil
	for r := range a.starting {
		list.Starting = append(list.Starting, runToProto(r))
	}
	a.sentListAt, a.sentPollAt = a.host.o.Clock(), a.listPollAt
	return a.sendReport(list)
}
