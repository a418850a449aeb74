package steps

// Latency ratios (tail latency to target) that change the pace, and the steps
// of the pace in percent.
const (
	throttleRatio       = 0.95 // from this ratio on, filling tasks are throttled
	recoveryRatio       = 0.75 // below this ratio, the pace rises
	paceRaisePercent    = 25   // percentage points by which a low reading raises the pace
	suspectRaisePercent = 10   // percentage points by which a low reading raises the pace of suspects
	minPacePercent      = 10   // pace below which tasks are paused
)

// Pace is the percentage of full speed at which the filling tasks of a host
// may run. Zero pauses them.
type Pace struct {
	Suspects     int32 // percent for tasks that count as interfering with a service of the host
	Others       int32 // percent for all other filling tasks
	highReadings int   // consecutive readings at or above throttleRatio
}

// FullPace returns the pace without throttling.
func FullPace() Pace { return Pace{Suspects: 100, Others: 100} }

// suspectsOnlyReadings is the number of consecutive high readings for which
// only suspects are throttled if there are any. With a reading every half
// second, all tasks are paused well before a service has exceeded its target
// for 4 s.
const suspectsOnlyReadings = 2

// Next returns the pace after a reading of the tail latencies of the host's
// services. latencyRatio is the highest ratio of a service's tail latency to
// its target. If it is high, suspects are paused at once. Other tasks are
// throttled if there is no suspect or if pausing the suspects did not help. Low
// readings raise the pace step by step.
func (p Pace) Next(latencyRatio float64, suspects bool) Pace {
	switch {
	case latencyRatio >= throttleRatio:
		p.highReadings++
		p.Suspects = 0
		if !suspects || p.highReadings > suspectsOnlyReadings {
			p.Others = halvePace(p.Others)
		}
		if p.highReadings > 2*suspectsOnlyReadings {
			p.Others = 0
		}
	case latencyRatio < recoveryRatio:
		p.highReadings = 0
		p.Others = min(100, p.Others+paceRaisePercent)
		p.Suspects = min(p.Others, p.Suspects+suspectRaisePercent)
	default:
		p.highReadings = 0
	}
	return p
}

func halvePace(percent int32) int32 {
	if percent /= 2; percent < minPacePercent {
		return 0
	}
	return percent
}
