package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of the polls of a runner beside those of sessions.
const (
	watchPause     = 25 * time.Millisecond  // from one poll to the next
	watchWait      = 50 * time.Millisecond  // for which the runner may wait before it answers
	idlePause      = 100 * time.Millisecond // while the session polls
	probeTimeout   = 100 * time.Millisecond // for an answer; a runner that restarts does not answer calls from before
	staleCallLimit = 15 * time.Second       // a runner carries out no call that was made longer ago
	isolatedAfter  = 150 * time.Millisecond // without a session and a read of the leadership row
)

// unattendedLimit is how long the runs of a restarted runner may go on without a leader. An agent without the store
// has its next session by then, after a read of the leadership row that times out and a report of the runner. The runs end
// earlier if the leases do that leaders have granted, since the leader may start their tasks elsewhere from then on.
const unattendedLimit = 2 * time.Second

// signalWatch wakes watchRunner.
func (h *host) signalWatch() {
	select {
	case h.watchDue <- struct{}{}:
	default: // a signal is pending already
	}
}

// watchedRunner is the host's runner while the agent watches it beside its sessions.
type watchedRunner struct {
	info        substrate.RunnerInfo // last accepted report
	attended    attendance
	inSession   bool           // the session in attended calls this incarnation
	isPolled    bool           // that session polls it, and has no reason for doubt
	leaseEndsAt bootclock.Time // of the leases that leaders have granted
}

// isReportedRestart reports whether the runner has said that it is another incarnation than the last one that a
// leader knows.
func (r watchedRunner) isReportedRestart() bool { return r.info.Incarnation != r.attended.incarnation }

// runnerToWatch returns the runner if it has to be watched: in a session while a start may be carried out late, or
// whose polls fail or have no answer in time, or whose list no leader has answered, and between sessions as long as a call of the last one may be carried out.
func (h *host) runnerToWatch() (watchedRunner, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	a := h.attended
	w := watchedRunner{info: h.info, attended: a, leaseEndsAt: h.leaseEndsAt, inSession: a.isOpen && a.runner.Incarnation == h.info.Incarnation}
	switch {
	case h.info.Incarnation == "":
		return w, false
	case a.incarnation == "" && (a.isOpen || h.o.Clock().Sub(h.contactAt) < isolatedAfter):
		return w, false // the first poll of a session refuses earlier calls
	case w.inSession:
		now := h.o.Clock()
		isOverdue := a.pollDueAt != 0 && now >= a.pollDueAt
		isDoubtful := isOverdue || h.runs.failingFrom != 0 || w.isReportedRestart()
		w.isPolled = !isDoubtful && a.pausedAt == 0
		return w, isDoubtful || a.mayStartLate(now)
	default:
		return w, a.isOpen && a.runner.Incarnation != "" || h.o.Clock().Sub(a.calledUntil) < staleCallLimit
	}
}

// runnerWatch notices restarts of the host's runner. A restarted runner has seen no fencing token, so it
// carries out late calls for earlier incarnations, which may start runs that no leader knows of. The watch
// makes it refuse them with a higher token, and stops what they have started before if no leader learns of that in
// time. It needs no leader.
//
// A new process of the agent does not know what the one before it has called. A runner that has received no token, or that has
// started later than this process, has been called in no session. Any other one may run what a leader knows of.
type runnerWatch struct {
	host        *host
	client      substrate.Runner // of the incarnation clientOf, so that polls share their connections
	clientOf    string
	begunAt     bootclock.Time // begin of the process
	isFirstSeen bool           // the first incarnation that this process has found was asked
	firstCalled time.Time      // start of that incarnation if a session may have called it, else zero
	isFailing   bool           // the last poll has failed
	restartedAt time.Time      // start of the last restarted incarnation that has answered
	noticedAt   bootclock.Time // when it first did
	isFenced    bool           // it refuses the calls of earlier sessions
	lastEnd     int64          // number of its last end that was counted
}

// watchRunner runs a runnerWatch until ctx ends.
func (h *host) watchRunner(ctx context.Context) error {
	w := runnerWatch{host: h, begunAt: h.o.Clock()}
	for {
		timer := time.NewTimer(w.step(ctx))
		select {
		case <-timer.C:
		case <-h.watchDue:
			timer.Stop()
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// step polls the runner if it has to be watched, and returns the pause until the next step.
func (w *runnerWatch) step(ctx context.Context) time.Duration {
	r, found := w.host.runnerToWatch()
	if !found {
		w.isFailing = false
		return idlePause
	}
	if r.attended.incarnation == "" && !w.isFirstSeen {
		return w.askFirst(ctx, r)
	}
	answer := w.poll(ctx, r, r.attended.fence, w.pollWait(r))
	if answer.err == nil && w.isRestart(r, answer) {
		answer = w.handleRestart(ctx, r, answer)
	}
	w.isFailing = answer.err != nil
	if r.isPolled && !w.isFailing {
		return idlePause
	}
	return watchPause
}

// pollWait returns how long the runner may wait before it answers. A connection need not break if it restarts meanwhile.
func (w *runnerWatch) pollWait(r watchedRunner) time.Duration {
	if r.inSession || w.isFailing || r.isReportedRestart() {
		return 0
	}
	return watchWait
}

// watchAnswer is the answer to a poll by whichever incarnation is at the runner's address.
type watchAnswer struct {
	state     substrate.RunnerState
	startedAt time.Time // of the incarnation
	err       error     // there is no answer, or it does not say which incarnation it is from
}

// runner returns the client of the runner.
func (w *runnerWatch) runner(r watchedRunner) substrate.Runner {
	if w.client == nil || w.clientOf != r.info.Incarnation {
		w.client, w.clientOf = w.host.o.Runner(r.info), r.info.Incarnation
	}
	return w.client
}

func (w *runnerWatch) poll(ctx context.Context, r watchedRunner, fence int64, wait time.Duration) watchAnswer {
	timeout := probeTimeout
	if r.isReportedRestart() || fence > r.attended.fence {
		timeout = 2 * w.host.o.Timing.RunnerCallTimeout
	}
	call, cancel := context.WithTimeout(ctx, wait+timeout)
	defer cancel()
	state, err := w.runner(r).PollRuns(call, fence, 0, 0, wait)
	var other *substrate.IncarnationError
	if errors.As(err, &other) && !other.StartedAt.IsZero() {
		return watchAnswer{state: state, startedAt: other.StartedAt}
	}
	return watchAnswer{state: state, startedAt: r.info.StartedAt, err: err}
}

// askFirst finds out whether an agent has called the first incarnation that this process knows, and makes it refuse such calls.
func (w *runnerWatch) askFirst(ctx context.Context, r watchedRunner) time.Duration {
	answer := w.poll(ctx, r, 0, 0)
	var refused *substrate.StartRefusedError
	wasCalled := errors.As(answer.err, &refused) && refused.Refusal == substrate.RefusalFenced
	if answer.err != nil && !wasCalled {
		return watchPause
	}
	if answer = w.poll(ctx, r, w.host.raiseUnknownFence(), 0); answer.err != nil {
		return watchPause
	}
	w.isFirstSeen = true
	isYoung := time.Duration(answer.state.Clock) < w.host.o.Clock().Sub(w.begunAt)
	if wasCalled && !isYoung {
		w.firstCalled = answer.startedAt
	}
	w.host.o.Log.Info("runner refuses the calls of earlier processes of the agent", zap.String("runner", r.info.ID), zap.Time("born", answer.startedAt),
		zap.Bool("was_called", wasCalled), zap.Bool("young", isYoung), zap.Int("runs", len(answer.state.Active)), zap.Int("ends", len(answer.state.Ended)))
	return 0
}

// isRestart reports whether the answer is from another incarnation than the last one that a leader knows, or that an earlier process
// of the agent has called.
func (w *runnerWatch) isRestart(r watchedRunner, answer watchAnswer) bool {
	known := r.attended.startedAt
	if r.attended.incarnation == "" {
		known = w.firstCalled
	}
	return answer.startedAt.UnixMilli() != known.UnixMilli()
}

// handleRestart handles the answer of a restarted runner.
func (w *runnerWatch) handleRestart(ctx context.Context, r watchedRunner, answer watchAnswer) watchAnswer {
	isReported := answer.startedAt.UnixMilli() == r.info.StartedAt.UnixMilli()
	if !w.restartedAt.Equal(answer.startedAt) {
		w.restartedAt, w.noticedAt, w.isFenced, w.lastEnd = answer.startedAt, w.host.o.Clock(), false, 0
		if !isReported {
			w.host.markRunnerEnded(r.info.Incarnation, true)
		}
	}
	fence := r.attended.fence
	isOfSession := isReported && r.inSession // whose token fences earlier calls off, and must stay the highest one
	if !w.isFenced && !isOfSession {
		fence = w.host.raiseFence()
		if answer = w.fence(ctx, r, fence); !w.isFenced {
			return answer
		}
	}
	w.recordStaleEnds(r, answer)
	now := w.host.o.Clock()
	isDue := now.Sub(w.noticedAt) >= unattendedLimit || now >= r.leaseEndsAt
	if isDue && w.host.isAttendedAs(r.attended.incarnation) { // else a leader may have started what is listed
		w.stopStaleRuns(ctx, r, fence, answer)
	}
	return answer
}

// fence makes the restarted runner refuse the calls of all sessions so far.
func (w *runnerWatch) fence(ctx context.Context, r watchedRunner, fence int64) watchAnswer {
	answer := w.poll(ctx, r, fence, 0)
	w.isFenced = answer.err == nil && w.restartedAt.Equal(answer.startedAt)
	if !w.isFenced {
		w.host.o.Log.Info("restarted runner not fenced", zap.String("runner", r.info.ID), zap.String("attended", r.attended.incarnation), zap.Error(answer.err))
		return answer
	}
	w.host.metrics.fencedRunners.Add(ctx, 1)
	w.host.o.Log.Info("restarted runner refuses the calls of earlier sessions", zap.String("runner", r.info.ID), zap.String("attended", r.attended.incarnation),
		zap.Time("born", answer.startedAt), zap.Int64("fence", fence), zap.Duration("clock", time.Duration(answer.state.Clock)),
		zap.Int("runs", len(answer.state.Active)), zap.Int("ends", len(answer.state.Ended)))
	return answer
}

// recordStaleEnds counts the runs that have ended in a restarted runner.
func (w *runnerWatch) recordStaleEnds(r watchedRunner, answer watchAnswer) {
	for _, e := range answer.state.Ended {
		if e.Number <= w.lastEnd {
			continue
		}
		w.lastEnd = e.Number
		w.host.o.Log.Warn("run of an earlier session's call ended in a restarted runner", zap.Stringer("run", e.Run), zap.String("runner", r.info.ID),
			zap.String("attended", r.attended.incarnation), zap.Time("born", answer.startedAt), zap.String("end", string(e.End)))
		w.host.metrics.count(w.host.metrics.staleRuns, string(e.End))
	}
}

// stopStaleRuns stops what calls of earlier sessions have started in a restarted runner.
func (w *runnerWatch) stopStaleRuns(ctx context.Context, r watchedRunner, fence int64, answer watchAnswer) {
	runner := w.runner(r)
	for _, active := range answer.state.Active {
		call, cancel := context.WithTimeout(ctx, w.host.o.Timing.RunnerCallTimeout)
		err := runner.Stop(call, fence, active.Run)
		cancel()
		w.host.o.Log.Warn("stopped a run that no leader knows of", zap.Stringer("run", active.Run), zap.String("runner", r.info.ID),
			zap.String("attended", r.attended.incarnation), zap.Time("born", answer.startedAt),
			zap.Duration("noticed_before", w.host.o.Clock().Sub(w.noticedAt)), zap.Error(err))
	}
}
