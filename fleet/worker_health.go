package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// Limits of the quarantine of a worker.
const (
	quarantineAfterFailures = 2 // failed runs in a row before the first quarantine
	quarantineFirst         = 3 * time.Second
	quarantineMax           = 20 * time.Second
)

// workerHealth records recent failures of a worker. A worker whose runs fail
// without a success in between is quarantined, each time for longer.
type workerHealth struct {
	consecutiveFailures     int
	quarantinedAt           bootclock.Time // start of the quarantine, 0 outside of one
	quarantineEndsAt        bootclock.Time
	quarantineDuration      time.Duration
	quarantinesSinceSuccess int // quarantines since the last success
}

// recordFailure counts a failed run. It returns true if a quarantine begins.
func (h *workerHealth) recordFailure(now bootclock.Time) bool {
	h.consecutiveFailures++
	if h.consecutiveFailures < quarantineAfterFailures {
		return false
	}
	begins := h.quarantinedAt == 0
	if begins {
		h.quarantinedAt = now
		h.quarantinesSinceSuccess++
	}
	h.quarantineDuration = min(quarantineMax, max(quarantineFirst, 2*h.quarantineDuration))
	h.quarantineEndsAt = now.Add(h.quarantineDuration)
	return begins
}

// recordSlowRun counts a run that was stuck or far slower than others. It
// quarantines the worker at once, and returns true if the quarantine begins.
func (h *workerHealth) recordSlowRun(now bootclock.Time) bool {
	h.consecutiveFailures = max(h.consecutiveFailures, quarantineAfterFailures-1)
	return h.recordFailure(now)
}

// Causes of a quarantine, for logs and metrics.
const (
	causeFailed    = "failed"
	causeStuck     = "stands still"
	causeSlow      = "far slower than its step"
	causeUnstarted = "does not start"
)

// recordWorkerFailure counts a run that failed, was stuck or was too slow
// against the health of its worker.
func (l *leader) recordWorkerFailure(w *worker, id structs.RunID, cause string) {
	now := l.o.Clock()
	record := w.health.recordSlowRun
	if cause == causeFailed {
		record = w.health.recordFailure
	}
	if !record(now) {
		return
	}
	l.metrics.count(l.metrics.quarantines, cause)
	l.log.Info("worker quarantined", zap.String("worker", string(w.id)), zap.String("cause", cause), zap.Stringer("run", id),
		zap.Duration("for", w.health.quarantineDuration), zap.Int("failures", w.health.consecutiveFailures),
		zap.Int("quarantines_since_success", w.health.quarantinesSinceSuccess))
}

// recordWorkerSuccess records a run that succeeded. It resets the failures of its
// worker and ends the quarantine.
func (l *leader) recordWorkerSuccess(w *worker, id structs.RunID) {
	l.logQuarantineEnd(w, "success", zap.Stringer("run", id))
	w.health = workerHealth{}
}

// endLapsedQuarantine ends the quarantine of a worker whose time is over.
func (l *leader) endLapsedQuarantine(w *worker, now bootclock.Time) {
	if w.health.quarantinedAt == 0 || now < w.health.quarantineEndsAt {
		return
	}
	l.logQuarantineEnd(w, "time over")
	w.health.quarantinedAt = 0
}

func (l *leader) logQuarantineEnd(w *worker, reason string, fields ...zap.Field) {
	if w.health.quarantinedAt == 0 {
		return
	}
	l.log.Info("quarantine ended", append(fields, zap.String("worker", string(w.id)), zap.String("reason", reason),
		zap.Duration("lasted", l.o.Clock().Sub(w.health.quarantinedAt)), zap.Int("failures", w.health.consecutiveFailures))...)
}

// healthPenalty returns 1 during a quarantine, 0 if no run has failed since the
// last success, and a value in between otherwise.
func (h *workerHealth) healthPenalty(now bootclock.Time) float64 {
	switch {
	case now < h.quarantineEndsAt:
		return 1
	case h.consecutiveFailures > 0:
		return float64(h.consecutiveFailures) / float64(quarantineAfterFailures+h.consecutiveFailures)
	default:
		return 0
	}
}
