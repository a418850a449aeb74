package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// restartedRunner is an incarnation that has begun under the ID of an earlier one. Until a leader
// has answered its first list, it runs only what calls for the earlier one have started there.
type restartedRunner struct {
	info  substrate.RunnerInfo
	since bootclock.Time // when the agent has learned of it
	fence int64          // of the last session
}

// unattendedLimit is how long the runs of a restarted runner may go on without a leader. A
// leader that has lost the agent releases them no earlier than Timing.Lease after it has last
// ordered a start.
const unattendedLimit = time.Second

// unattendedRunner returns the current incarnation if it is a restarted one of which no leader
// has answered a list for unattendedLimit.
func (h *host) unattendedRunner() (restartedRunner, bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	since := h.called.restartedAt()
	if since == 0 || h.runnerGone || h.attended.incarnation == h.info.Incarnation || h.o.Clock().Sub(since) < unattendedLimit {
		return restartedRunner{}, false
	}
	return restartedRunner{info: h.info, since: since, fence: h.attended.fence}, true
}

// attendance is what the agent knows of its sessions with leaders.
type attendance struct {
	incarnation string // last one of which a leader has answered a list
	fence       int64  // of the last session
}

// recordSession records that a session with the fencing token has begun.
func (h *host) recordSession(fence int64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.fence = fence
}

// recordAttended records that a leader has answered a list of the incarnation's runs.
func (h *host) recordAttended(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.incarnation = incarnation
}

// watchRestartedRunner stops the runs of a restarted runner while no leader can learn of
// them. The leader that has ordered them releases them when the leases of the earlier incarnation have
// lapsed, while the lease here may be longer.
func (h *host) watchRestartedRunner(ctx context.Context) error {
	tick := time.NewTicker(h.o.Timing.ReportInterval)
	defer tick.Stop()
	for {
		select {
		case <-tick.C:
		case <-ctx.Done():
			return ctx.Err()
		}
		if r, found := h.unattendedRunner(); found {
			h.stopUnattendedRuns(ctx, r)
		}
	}
}

func (h *host) stopUnattendedRuns(ctx context.Context, r restartedRunner) {
	call, cancel := context.WithTimeout(ctx, maxRunnerCallTimeout)
	defer cancel()
	runner := h.o.Runner(r.info)
	state, err := runner.PollRuns(call, r.fence, 0, 0, 0)
	if err != nil {
		h.o.Log.Info("runs of a restarted runner not known", zap.String("incarnation", r.info.Incarnation), zap.Error(err))
		return
	}
	for _, active := range state.Active {
		err := runner.Stop(call, r.fence, active.Run)
		h.o.Log.Warn("stopped a run that no leader knows of", zap.Stringer("run", active.Run), zap.String("incarnation", r.info.Incarnation),
			zap.Duration("after", h.o.Clock().Sub(r.since)), zap.Error(err))
		h.metrics.unattendedRuns.Add(ctx, 1)
	}
}
