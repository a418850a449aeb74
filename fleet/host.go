package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// host holds the state of the agent's host: the announced runner, and the
// channels between the node and its session with the leader.
type host struct {
	o        Options
	metrics  *metrics
	identity identityCheck

	mu               sync.Mutex
	info             substrate.RunnerInfo // last announcement of the runner, zero before the first
	called           calledRunners        // by this process
	attended         attendance
	shrankAt         bootclock.Time  // when a new incarnation or a smaller capacity was last announced
	runnerGone       bool            // the incarnation in info has ended
	endedIncarnation string          // last incarnation that ended and was not replaced, empty if it was announced again
	reportedEnd      string          // incarnation of which a leader has last stored that it has ended
	reportedPollAt   bootclock.Time  // when the poll began whose list another node, as the leader, has last answered
	answeredAt       bootclock.Time  // when a leader's last orders arrived, 0 before the first
	answeredEpoch    int64           // epoch of that leader
	leaving          bool            // the runner announced that it ends
	stopping         bool            // the agent's process is about to stop
	doubtful         doubtfulReports // reports that contradict info
	changed          chan struct{}   // signalled after a change that the leader must be informed of
	contactAt        bootclock.Time  // when a session ended or the leadership row was read last; begin of the process before that
	watchDue         chan struct{}   // signalled after a change that runnerWatch must know of
	pacer            *pacer          // nil before the first session with a runner
	highestEpoch     int64           // highest epoch of the leaders that have sent orders, and of this node's leaderships
	leaseEndsAt      bootclock.Time  // latest end of the leases that leaders have granted to this process
	runs             runRegister     // runs of the current incarnation
	crash            *fleetpb.Crash  // last crash of a runner of this host, nil if this process has seen none
	crashedAt        bootclock.Time  // time of crash

	takeoverRequests chan leaderRow // leaders that request to be replaced
	replacedEpochs   chan int64     // epochs of leaders that were replaced
}

func newHost(o Options, m *metrics) *host {
	return &host{
		attended: attendance{calledUntil: o.Clock(), unansweredAt: o.Clock()}, contactAt: o.Clock(),
		o: o, metrics: m, identity: identityCheck{o: o, metrics: m}, called: calledRunners{since: o.Clock()},
		changed: make(chan struct{}, 1), watchDue: make(chan struct{}, 1), takeoverRequests: make(chan leaderRow, 1), replacedEpochs: make(chan int64, 1),
	}
}

// announce records a report of a runner about itself. It returns
// *substrate.ForeignReportError for one that is not of the host's runner. It ignores an
// older report of the current incarnation, and accepts one that contradicts the last only
// once others confirm it.
func (h *host) announce(info substrate.RunnerInfo) error {
	if err := h.identity.check(info); err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	c := h.classify(info)
	if c == claimCurrent || h.isConfirmed(info, c) {
		h.accept(info, c)
		return nil
	}
	if c == claimDelayed && info.Draining && !h.info.Draining {
		h.info.Draining = true // a runner that drains does not become ready again
		h.signalChange()
	}
	return nil
}

// accept makes a report with the claim the last one that was accepted. The caller holds mu.
func (h *host) accept(info substrate.RunnerInfo, c claim) {
	same := info.Incarnation == h.info.Incarnation
	staysOn := h.leaving && !info.Draining // a runner drains before it leaves, so another writer has said that it does
	relevantChange := !same || staysOn || info.Draining != h.info.Draining || h.runnerGone || !isDescribedAlike(info, h.info)
	if !same || !h.info.Capacity.Fits(info.Capacity) {
		h.shrankAt = h.o.Clock()
	}
	if h.endedIncarnation == info.Incarnation {
		h.endedIncarnation = ""
	}
	if h.crash.GetIncarnation() == info.Incarnation {
		h.crash = nil // the incarnation has not ended
	}
	if !same && h.info.Incarnation != "" && !h.runnerGone {
		h.recordCrash()
	}
	h.called.record(info.ID, info.Incarnation, h.o.Clock(), h.o.Timing.settledIncarnationAge())
	h.info, h.doubtful = info, doubtfulReports{}
	h.runnerGone = false
	if !same || staysOn {
		h.leaving = false
	}
	if relevantChange {
		h.o.Log.Info("runner", zap.String("runner", info.ID), zap.String("incarnation", info.Incarnation), zap.Stringer("claim", c),
			zap.String("address", info.Address), zap.String("pool", string(info.Pool)),
			zap.Bool("draining", info.Draining), zap.Duration("remaining", info.DrainRemaining), zap.Int64("sequence", info.Sequence), zap.Any("capacity", info.Capacity))
		h.signalChange()
	}
	if !same {
		h.signalWatch()
	}
}

func (h *host) markLeaving(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.info.ID != id {
		return
	}
	h.leaving = true
	h.o.Log.Info("runner leaves", zap.String("runner", id))
	h.signalChange()
}

// markStopping records that the agent's process is about to stop.
func (h *host) markStopping() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.stopping = true
	h.signalChange()
}

func (h *host) isStopping() bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.stopping
}

func (h *host) signalChange() {
	select {
	case h.changed <- struct{}{}:
	default: // a signal is pending already
	}
}

// current returns the last announcement of the runner, or the zero value if no
// runner is known. Draining is also set if the runner announced that it ends.
func (h *host) current() substrate.RunnerInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.runnerGone {
		return substrate.RunnerInfo{}
	}
	info := h.info
	info.Draining = info.Draining || h.leaving
	return info
}

func (h *host) draining() bool { return h.current().Draining }

// markRunnerEnded records that the incarnation has ended. replaced means that a
// new incarnation answered in its place. The new incarnation may have accepted
// a start that was ordered for the ended one. The leader must not release the
// runs of the ended incarnation before it has the list of runs of the new one,
// because only this list shows such a start.
func (h *host) markRunnerEnded(incarnation string, replaced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !replaced {
		h.endedIncarnation = incarnation
	}
	if h.info.Incarnation == incarnation && !h.runnerGone {
		h.runnerGone = true
		h.recordCrash()
		h.acceptReplacement()
	}
	h.signalChange()
}

// admitEpoch reports whether orders with the epoch may be executed. It rejects
// epochs lower than one that was admitted.
func (h *host) admitEpoch(epoch int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.highestEpoch {
		return false
	}
	h.highestEpoch = epoch
	return true
}

// recordOrders records that orders of the leader of the epoch have arrived.
func (h *host) recordOrders(epoch int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.answeredAt, h.answeredEpoch = h.o.Clock(), epoch
}

// recordReportedEnd records that a leader has stored the end of the incarnation's runs.
func (h *host) recordReportedEnd(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedEnd = incarnation
}

// recordReportedList records that another node, as the leader, has answered a list of runs
// from a poll that began at the given time.
func (h *host) recordReportedList(pollBegunAt bootclock.Time) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedPollAt = max(h.reportedPollAt, pollBegunAt)
}

// dropReportedList records that the leader which has answered the last list asks for a takeover.
// Its last row may have been written before.
func (h *host) dropReportedList() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.reportedPollAt = 0
}

// isReportedSince reports whether it is stored that the runner has ended, or another node,
// as the leader, has a list of its runs from the given time or later, has stored all ends and
// has not asked for a takeover since.
func (h *host) isReportedSince(t bootclock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	switch {
	case h.info.Incarnation == "":
		return true
	case h.runnerGone:
		return h.endedIncarnation == "" || h.reportedEnd == h.endedIncarnation
	default:
		return h.reportedPollAt >= t && h.runs.failingFrom == 0
	}
}

// logStop logs what no leader will know of the runner after the process has stopped.
func (h *host) logStop() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.o.Log.Info("node stops", zap.Bool("runner_end_unreported", h.endedIncarnation != "" && h.reportedEnd != h.endedIncarnation),
		zap.Bool("polls_fail", h.runs.failingFrom != 0), zap.Duration("since_orders", h.o.Clock().Sub(h.answeredAt)), zap.Int64("epoch", h.answeredEpoch))
}

// extendLease records a lease of a leader of the epoch. It returns false if orders with the
// epoch must not be executed any more.
func (h *host) extendLease(epoch int64, end bootclock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.highestEpoch {
		return false
	}
	h.leaseEndsAt = max(h.leaseEndsAt, end)
	return true
}

// knownLeaseEnd returns by when the leases of the runner end that earlier leaders have
// granted, if no further ones are accepted. It is false if the runner may have others: an
// earlier process of the agent may have passed on a start for an earlier incarnation.
func (h *host) knownLeaseEnd() (bootclock.Time, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	isKnown := h.info.Incarnation != "" && h.sinceOtherCalls(h.info.ID, h.info.Incarnation) >= h.o.Timing.settledIncarnationAge()
	return h.leaseEndsAt, isKnown
}

// sinceOtherCalls returns the time since agents of this host may have called another incarnation
// under the runner's ID. The caller holds mu.
func (h *host) sinceOtherCalls(id, incarnation string) time.Duration {
	now := h.o.Clock()
	return now.Sub(h.called.othersCalledUntil(id, incarnation, now))
}

// requestTakeover passes the request of a leader to be replaced on to the node.
func (h *host) requestTakeover(row leaderRow) {
	select {
	case h.takeoverRequests <- row:
	default: // an earlier request is being handled
	}
}

// endSessionOf ends the session with the replaced leader of the epoch.
func (h *host) endSessionOf(epoch int64) {
	select {
	case h.replacedEpochs <- epoch:
	default: // an earlier notification is pending
	}
}

// pacerOf returns the pacer of the runner's incarnation.
func (h *host) pacerOf(incarnation string) *pacer {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.pacer == nil || h.pacer.incarnation != incarnation {
		h.pacer = newPacer(h.o, h.metrics, incarnation)
	}
	return h.pacer
}

func (h *host) currentPacer() *pacer {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.pacer
}

// watchServices reads the latencies of the host's services while no session
// does, so that filling tasks are throttled without a leader too.
func (h *host) watchServices(ctx context.Context) error {
	tick := time.NewTicker(h.o.Timing.ReportInterval / 2)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if p := h.currentPacer(); p != nil && p.incarnation == h.current().Incarnation {
			p.readIfDue(ctx)
		}
	}
}

// sessionEnd is the reason for the end of a session.
type sessionEnd int

const (
	endLost     sessionEnd = iota // the session broke after it had worked
	endNoAnswer                   // the leader did not answer in time
	endRefused                    // nothing listens at the leader's address
	endReplaced                   // another node has become the leader
)

// String returns the reason as text for log lines.
func (e sessionEnd) String() string {
	return [...]string{"connection lost", "no answer", "connection refused", "another leads"}[e]
}

// answerTimeout limits the time until the first orders of a session arrive.
const answerTimeout = 700 * time.Millisecond

// runSession opens a session with the leader and runs it until it ends.
func (h *host) runSession(ctx context.Context, row leaderRow) sessionEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	leaderDialer := &dialer{dial: h.o.Dial}
	conn, err := leaderDialer.connect(row.Address)
	if err != nil {
		h.o.Log.Error("leader's address cannot be used", zap.String("leader", row.Address), zap.Error(err))
		return endNoAnswer
	}
	defer conn.Close()
	timer := time.AfterFunc(answerTimeout, cancel)
	stream, err := fleetpb.NewFleetClient(conn).Attend(ctx)
	if err != nil {
		return h.classifyNoAnswer(row, leaderDialer, err)
	}
	info := h.current()
	a := newAgentSession(h, row, info, stream)
	if err := stream.Send(&fleetpb.WorkerReport{Hello: h.hello(info), SentAt: int64(h.o.Clock())}); err != nil {
		return h.classifyNoAnswer(row, leaderDialer, err)
	}
	first, err := stream.Recv()
	if err != nil || !timer.Stop() {
		return h.classifyNoAnswer(row, leaderDialer, err)
	}
	end, err := a.run(ctx, cancel, first)
	h.o.Log.Info("session ended", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Error(err))
	return end
}

// classifyNoAnswer returns endRefused if the leader's process is gone, and
// endNoAnswer if it may still run.
func (h *host) classifyNoAnswer(row leaderRow, d *dialer, err error) sessionEnd {
	end := endNoAnswer
	if d.refused() {
		end = endRefused
	}
	h.o.Log.Info("session with the leader not opened", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Error(err))
	return end
}

func (h *host) hello(info substrate.RunnerInfo) *fleetpb.Hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &fleetpb.Hello{
		Worker: string(h.o.Worker), FailureDomain: string(h.o.FailureDomain), Address: h.o.Address, Gone: h.endedIncarnation,
		Incarnation: info.Incarnation, Runner: info.ID, Pool: string(info.Pool), Rack: info.Rack, Labels: info.Labels,
		MilliCpu: info.Capacity.MilliCPU, MemoryMb: info.Capacity.MemoryMB, Accelerators: info.Capacity.Accelerators,
		Crash: h.crashReport(), IncarnationAgeMs: h.sinceOtherCalls(info.ID, info.Incarnation).Milliseconds(),
	}
}
