package request

import "time"

const (
	// limiterWindowFactor is the number of completions in one measurement
	// window, as a multiple of the limit.
	limiterWindowFactor = 8
	// limiterMinWindow is the least number of completions in a measurement
	// window.
	limiterMinWindow = 40
	// limiterGrowRatio is the ratio of mean service time to baseline up to
	// which the limit grows after a saturated window.
	limiterGrowRatio = 1.25
	// limiterProbeRatio is the ratio of mean service time to baseline from
	// which a lower limit is probed.
	limiterProbeRatio = 1.6
	// limiterJitterSeconds is added to the baseline before the mean is compared
	// with it, so that scheduling noise does not count as a slowdown of short
	// requests.
	limiterJitterSeconds = 0.002
	// limiterFailureFactor is the factor by which the limit shrinks after a
	// failed request.
	limiterFailureFactor = 0.9
	// limiterProbeInterval is the number of saturated windows between probes of
	// a lower limit.
	limiterProbeInterval = 16
	// limiterProbeShare is the share of the limit that is allowed during a
	// probe.
	limiterProbeShare = 0.75
	// limiterMinThroughputRatio is the least ratio of the throughput during a
	// probe to the throughput before the probe for which the lower limit is
	// kept. The ratio is about limiterProbeShare if the target needed all of
	// the former limit.
	limiterMinThroughputRatio = 0.9
)

// concurrencyLimiter adapts the number of concurrent requests to a target to
// what the target can handle. It starts at the declared slots and grows while
// more concurrency does not slow requests down. Periodically, and when requests
// have become slow, it probes a lower limit for one window. If the throughput
// does not drop, it keeps the lower limit. If the throughput drops, it restores
// the former limit. If requests had become too slow for the limit to grow, it
// also raises the baseline, because the work itself takes longer. Requests that
// don't run beside others set the baseline, since no lower limit can be probed.
// It is not safe for concurrent use.
type concurrencyLimiter struct {
	limit           float64
	maxLimit        float64 // number of connections that the target accepts
	baselineSeconds float64 // mean service time without queueing, 0 before the first window

	// Measurements of the current window.
	windowCount     int       // completions
	windowSeconds   float64   // sum of service times
	windowStart     time.Time // first completion
	windowSaturated bool      // whether the limit was reached
	windowShared    bool      // whether a request ended beside another one

	windowsSinceProbe int             // saturated windows since the last probe
	beforeProbe       *preProbeSample // nil unless a lower limit is being probed
}

// preProbeSample holds the limit and the measurements of the last window before
// a probe.
type preProbeSample struct {
	limit                float64
	meanSeconds          float64 // mean service time
	completionsPerSecond float64 // throughput
}

func newConcurrencyLimiter(slots, connections int) *concurrencyLimiter {
	return &concurrencyLimiter{limit: float64(min(slots, connections)), maxLimit: float64(connections)}
}

// current returns the current limit, at least 1.
func (l *concurrencyLimiter) current() int { return max(1, int(l.limit)) }

// recordCompletion records the service time of an answered request and the
// number of occupied slots just before it ended.
func (l *concurrencyLimiter) recordCompletion(now time.Time, took time.Duration, inUse int) {
	if l.windowCount == 0 {
		l.windowStart = now
	}
	l.windowCount++
	l.windowSeconds += took.Seconds()
	l.windowSaturated = l.windowSaturated || inUse >= l.current()
	l.windowShared = l.windowShared || inUse > 1
	if l.windowCount >= max(limiterMinWindow, limiterWindowFactor*l.current()) {
		l.endWindow(now)
	}
}

// recordFailure lowers the limit after a request that the target did not
// answer.
func (l *concurrencyLimiter) recordFailure() {
	l.limit = max(1, l.limit*limiterFailureFactor)
}

// endWindow evaluates the current window and starts a new one.
func (l *concurrencyLimiter) endWindow(now time.Time) {
	mean := l.windowSeconds / float64(l.windowCount)
	throughput := 0.0
	if elapsed := now.Sub(l.windowStart).Seconds(); elapsed > 0 {
		throughput = float64(l.windowCount-1) / elapsed
	}
	if l.baselineSeconds == 0 || !l.windowShared {
		l.baselineSeconds = mean
	}
	l.baselineSeconds = min(l.baselineSeconds, mean)
	saturated := l.windowSaturated
	l.windowCount, l.windowSeconds, l.windowSaturated, l.windowShared = 0, 0, false, false
	switch {
	case l.beforeProbe != nil:
		l.endProbe(throughput)
	case saturated:
		l.adjustLimit(mean, throughput)
	}
}

// adjustLimit raises the limit or starts a probe after a saturated window.
func (l *concurrencyLimiter) adjustLimit(mean, throughput float64) {
	l.windowsSinceProbe++
	ratio := mean / (l.baselineSeconds + limiterJitterSeconds)
	if l.limit > 1 && (ratio >= limiterProbeRatio || l.windowsSinceProbe >= limiterProbeInterval) {
		l.beforeProbe = &preProbeSample{l.limit, mean, throughput}
		l.limit = max(1, l.limit*limiterProbeShare)
		return
	}
	if ratio <= limiterGrowRatio {
		l.limit = min(l.maxLimit, l.limit+1)
	}
}

// endProbe ends the probe of a lower limit. If the throughput did not drop, it
// keeps the lower limit and probes again at the next saturated window.
// Otherwise it restores the former limit.
func (l *concurrencyLimiter) endProbe(throughput float64) {
	sample := l.beforeProbe
	l.beforeProbe = nil
	if throughput >= sample.completionsPerSecond*limiterMinThroughputRatio {
		l.windowsSinceProbe = limiterProbeInterval
		return
	}
	l.windowsSinceProbe = 0
	l.limit = sample.limit
	if sample.meanSeconds/(l.baselineSeconds+limiterJitterSeconds) > limiterGrowRatio {
		l.baselineSeconds = sample.meanSeconds
	}
}
