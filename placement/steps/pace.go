package steps

import "time"

// Latency ratios (tail latency to target) that change the pace, and the steps
// of the pace in percent.
const (
	throttleRatio       = 0.95 // from this ratio on, filling tasks are throttled
	throttledRatio      = 0.85 // ratio at which throttling aims
	recoveryRatio       = 0.75 // below this ratio, the pace rises
	unaffectedRatio     = 0.5  // ratio that a service is expected to have without filling tasks
	paceRaisePercent    = 25   // percentage points by which a low reading raises the pace
	suspectRaisePercent = 10   // percentage points by which a low reading raises the pace of suspects
	minPacePercent      = 10   // pace below which tasks are paused
)

// PaceTiming holds the durations on which Pace.Next depends.
type PaceTiming struct {
	ReadingWindow  time.Duration // period that one reading covers
	PaceDelay      time.Duration // longest time until a change of pace takes effect
	ViolationLimit time.Duration // longest time for which filling tasks may keep a service over its target
}

// settleTime is the time after a change of pace from which on readings show
// only the new pace.
func (t PaceTiming) settleTime() time.Duration { return t.ReadingWindow + t.PaceDelay }

// pauseAfter is the time from the first high reading on after which all filling
// tasks are paused. The service may have been over its target for a whole
// reading window before that reading. Half of the limit is left for the time
// between readings and for calls to the runner.
func (t PaceTiming) pauseAfter() time.Duration { return t.ViolationLimit/2 - t.ReadingWindow }

// LatencyReading is one reading of all services of a host.
type LatencyReading struct {
	LatencyRatio    float64       // highest ratio of a service's tail latency to its target
	Elapsed         time.Duration // time since the reading before, 0 for the first
	SuspectWorking  bool          // the pace of some suspect was above 0
	UnprovenWorking bool          // the pace of some unproven task was above 0
}

// Pace is the percentage of full speed at which the filling tasks of a host
// may run. Zero pauses them.
type Pace struct {
	Suspects int32 // percent for tasks that count as interfering with a service of the host
	Unproven int32 // percent for tasks of which too little is known
	Others   int32 // percent for all other filling tasks, which are known not to interfere

	high      bool          // the readings are high
	highFor   time.Duration // time since the first high reading
	sinceHigh time.Duration // time since the last high reading
	settlesIn time.Duration // time until readings show only the present pace
}

// FullPace returns the pace without throttling.
func FullPace() Pace { return Pace{Suspects: 100, Unproven: 100, Others: 100} }

// Next returns the pace after a reading. If the reading is high, suspects are
// paused at once. If no suspect was working, unproven tasks are throttled in
// proportion to the excess, and other tasks if no unproven one was working either.
// All are paused when the readings have been high for pauseAfter. Low readings
// raise the pace step by step. A reading that may show the pace before the last
// change neither throttles nor raises it.
func (p Pace) Next(r LatencyReading, t PaceTiming) Pace {
	p.highFor += r.Elapsed
	p.sinceHigh += r.Elapsed
	p.settlesIn = max(0, p.settlesIn-r.Elapsed)
	settled := p.settlesIn == 0
	before := p
	switch {
	case r.LatencyRatio >= throttleRatio:
		if !p.high {
			p.high, p.highFor = true, 0
		}
		p.sinceHigh = 0
		p.Suspects = 0
		switch {
		case p.highFor >= t.pauseAfter():
			p.Unproven, p.Others = 0, 0
		case r.SuspectWorking:
			p.settlesIn = t.settleTime()
		case settled && r.UnprovenWorking:
			p.Unproven = throttledPercent(p.Unproven, r.LatencyRatio)
		case settled:
			p.Others = throttledPercent(p.Others, r.LatencyRatio)
			p.Unproven = min(p.Unproven, p.Others)
		}
	case r.LatencyRatio < recoveryRatio:
		p.high = false
		if settled {
			p.Others = min(100, p.Others+paceRaisePercent)
			p.Unproven = min(p.Others, p.Unproven+paceRaisePercent)
			p.Suspects = min(p.Others, p.Suspects+suspectRaisePercent)
		}
	case p.sinceHigh >= t.ReadingWindow:
		// A single reading below throttleRatio may be due to the error of the
		// readings.
		p.high = false
	}
	if p.Suspects != before.Suspects || p.Unproven != before.Unproven || p.Others != before.Others {
		p.settlesIn = t.settleTime()
	}
	return p
}

// throttledPercent returns the pace that brings a service from latencyRatio
// to throttledRatio. It assumes that interference is proportional to the pace.
func throttledPercent(percent int32, latencyRatio float64) int32 {
	share := (throttledRatio - unaffectedRatio) / (latencyRatio - unaffectedRatio)
	if percent = int32(float64(percent) * share); percent < minPacePercent {
		return 0
	}
	return percent
}
