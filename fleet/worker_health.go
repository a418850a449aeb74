package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
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
	consecutiveFailures int
	quarantineEndsAt    bootclock.Time
	quarantineDuration  time.Duration
}

// recordSuccess resets the failures and the quarantine.
func (h *workerHealth) recordSuccess(bootclock.Time) {
	*h = workerHealth{}
}

func (h *workerHealth) recordFailure(now bootclock.Time) {
	h.consecutiveFailures++
	if h.consecutiveFailures >= quarantineAfterFailures {
		h.quarantineDuration = min(quarantineMax, max(quarantineFirst, 2*h.quarantineDuration))
		h.quarantineEndsAt = now.Add(h.quarantineDuration)
	}
}

// recordSlowRun records a run that was stuck or far slower than others. It
// quarantines the worker at once.
func (h *workerHealth) recordSlowRun(now bootclock.Time) {
	h.consecutiveFailures = max(h.consecutiveFailures, quarantineAfterFailures-1)
	h.recordFailure(now)
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
