package request

import "time"

const (
	// limiterWindowFactor is the number of completions, as a multiple of the
	// limit, that make up one window of measurement.
	limiterWindowFactor = 8
	// limiterMinWindow is the least number of completions in a window.
	limiterMinWindow = 40
	// limiterGrow is the ratio of service time to baseline below which a
	// saturated limit grows.
	limiterGrow = 1.25
	// limiterSuspect is the ratio above which a lower limit is probed.
	limiterSuspect = 1.6
	// limiterJitter is the time, in seconds, by which the mean may pass the
	// baseline without counting: scheduling noise of short requests.
	limiterJitter = 0.002
	// limiterBackoff is the factor by which the limit shrinks after a failure.
	limiterBackoff = 0.9
	// limiterProbe is the number of saturated windows between probes of a lower
	// limit.
	limiterProbe = 16
	// limiterProbeShare is the share of the limit that a probe uses.
	limiterProbeShare = 0.75
	// limiterKeep is the share of throughput that a probe must reach for its
	// lower limit to be kept. A limit that was needed gives limiterProbeShare.
	limiterKeep = 0.9
)

// limiter adapts the number of requests that a target works on at once. The
// declared slots are only its start. It grows while more concurrency does not
// slow requests down. From time to time, and when requests have become slow,
// it probes a lower limit, which it keeps when the throughput stays; when the
// throughput falls, the work itself takes longer and the baseline is set
// anew. It is not safe for concurrent use.
type limiter struct {
	limit    float64
	maximum  float64
	baseline float64 // seconds, mean service time without queueing

	count     int
	sum       float64 // seconds
	started   time.Time
	saturated bool

	sinceProbe int
	probe      *limiterBefore // nil unless a lower limit is being probed
}

// limiterBefore is what was measured before a probe.
type limiterBefore struct {
	limit      float64
	mean       float64 // seconds
	throughput float64 // completions a second
}

func newLimiter(slots, connections int) *limiter {
	return &limiter{limit: float64(min(slots, connections)), maximum: float64(connections)}
}

// value returns the current limit, at least 1.
func (l *limiter) value() int { return max(1, int(l.limit)) }

// done records a completed request and the number in use before it ended.
func (l *limiter) done(now time.Time, took time.Duration, inUse int) {
	if l.count == 0 {
		l.started = now
	}
	l.count++
	l.sum += took.Seconds()
	l.saturated = l.saturated || inUse >= l.value()
	if l.count >= max(limiterMinWindow, limiterWindowFactor*l.value()) {
		l.endWindow(now)
	}
}

// failed records a request that the target failed to answer.
func (l *limiter) failed() {
	l.limit = max(1, l.limit*limiterBackoff)
}

func (l *limiter) endWindow(now time.Time) {
	mean := l.sum / float64(l.count)
	throughput := 0.0
	if elapsed := now.Sub(l.started).Seconds(); elapsed > 0 {
		throughput = float64(l.count-1) / elapsed
	}
	if l.baseline == 0 {
		l.baseline = mean
	}
	l.baseline = min(l.baseline, mean)
	saturated := l.saturated
	l.count, l.sum, l.saturated = 0, 0, false
	switch {
	case l.probe != nil:
		l.endProbe(throughput)
	case saturated:
		l.adapt(mean, throughput)
	}
}

// adapt moves the limit after a window in which it was reached.
func (l *limiter) adapt(mean, throughput float64) {
	l.sinceProbe++
	ratio := mean / (l.baseline + limiterJitter)
	if l.limit > 1 && (ratio >= limiterSuspect || l.sinceProbe >= limiterProbe) {
		l.probe = &limiterBefore{l.limit, mean, throughput}
		l.limit = max(1, l.limit*limiterProbeShare)
		return
	}
	if ratio <= limiterGrow {
		l.limit = min(l.maximum, l.limit+1)
	}
}

// endProbe keeps a lower limit that cost no throughput, and probes on from
// there in the next window.
func (l *limiter) endProbe(throughput float64) {
	before := l.probe
	l.probe = nil
	if throughput >= before.throughput*limiterKeep {
		l.sinceProbe = limiterProbe
		return
	}
	l.sinceProbe = 0
	l.limit = before.limit
	if before.mean/(l.baseline+limiterJitter) >= limiterSuspect {
		l.baseline = before.mean
	}
}
