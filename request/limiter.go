package request

import "time"

const (
	// limiterWindowFactor is the number of completions, as a multiple of the
	// limit, that make up one window of measurement.
	limiterWindowFactor = 2
	// limiterMinWindow is the least number of completions in a window.
	limiterMinWindow = 10
	// limiterGrow is the ratio of service time to baseline below which a
	// saturated limit grows.
	limiterGrow = 1.25
	// limiterShrink is the ratio above which the limit shrinks.
	limiterShrink = 1.6
	// limiterJitter is the time, in seconds, by which the mean may pass the
	// baseline without counting: scheduling noise of short requests.
	limiterJitter = 0.002
	// limiterBackoff is the factor by which the limit shrinks.
	limiterBackoff = 0.9
	// limiterDrift is the share by which the baseline rises in each window, so
	// that a lasting change of the work is followed.
	limiterDrift = 0.01
	// limiterProbe is the number of saturated windows between probes of a lower
	// limit.
	limiterProbe = 16
	// limiterProbeShare is the share of the limit that a probe uses.
	limiterProbeShare = 0.75
	// limiterKeep is the share of throughput that a probe must reach for its
	// lower limit to be kept.
	limiterKeep = 0.97
)

// limiter adapts the number of requests that a target works on at once. The
// declared slots are only its start: it grows while more concurrency does not
// slow requests down, and shrinks when it does or when less concurrency gives
// the same throughput. It is not safe for concurrent use.
type limiter struct {
	limit    float64
	maximum  float64
	baseline float64 // seconds, lowest mean service time seen, drifting up

	count     int
	sum       float64 // seconds
	started   time.Time
	saturated bool

	sinceProbe int
	probing    bool
	before     float64 // limit before the probe
	throughput float64 // completions a second before the probe
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
	if l.count < max(limiterMinWindow, limiterWindowFactor*l.value()) {
		return
	}
	l.endWindow(now)
}

// failed records a request that the target failed to answer.
func (l *limiter) failed() {
	l.limit = max(1, l.limit*limiterBackoff)
}

func (l *limiter) endWindow(now time.Time) {
	mean := l.sum / float64(l.count)
	elapsed := now.Sub(l.started).Seconds()
	throughput := 0.0
	if elapsed > 0 {
		throughput = float64(l.count-1) / elapsed
	}
	l.baseline = min(mean, l.baseline*(1+limiterDrift))
	if l.baseline == 0 {
		l.baseline = mean
	}
	l.adapt(mean/(l.baseline+limiterJitter), throughput)
	l.count, l.sum, l.saturated = 0, 0, false
}

// adapt moves the limit after a window.
func (l *limiter) adapt(ratio, throughput float64) {
	if l.probing {
		l.probing = false
		if throughput < l.throughput*limiterKeep {
			l.limit = l.before
		}
		return
	}
	if !l.saturated {
		return
	}
	l.sinceProbe++
	switch {
	case l.sinceProbe >= limiterProbe && l.limit > 1:
		l.sinceProbe, l.probing = 0, true
		l.before, l.throughput = l.limit, throughput
		l.limit = max(1, l.limit*limiterProbeShare)
	case ratio <= limiterGrow:
		l.limit = min(l.maximum, l.limit+1)
	case ratio >= limiterShrink:
		l.limit = max(1, l.limit*limiterBackoff)
	}
}
