package steps

// Bounds of the pace of filling tasks, as shares of a latency target.
const (
	strainHigh = 0.95 // above, filling tasks are slowed down
	strainCalm = 0.75 // below, they are let go on faster
	paceUp     = 25   // percent that a calm reading gives back
	suspectUp  = 10   // the same, to a task that is taken to disturb
	paceLeast  = 10   // percent below which a task is paused
)

// Pace is the percentage at which the filling tasks of a host may work.
type Pace struct {
	Suspects int32 // tasks that are taken to disturb a service of the host
	Others   int32
	high     int // readings in a row with a service over its target
}

// FullPace is the pace of an undisturbed host.
func FullPace() Pace { return Pace{Suspects: 100, Others: 100} }

// patience is the number of readings for which only suspects are slowed down.
// With a reading each half second, all tasks are paused well before a service
// has been over its target for 4 s.
const patience = 2

// Next returns the pace after a reading of the host's services' strain: the
// worst tail latency as a share of the target. Suspects are paused at once. The
// others are slowed down when there is no suspect, or when that did not help,
// and get their pace back step by step.
func (p Pace) Next(strain float64, suspects bool) Pace {
	switch {
	case strain >= strainHigh:
		p.high++
		p.Suspects = 0
		if !suspects || p.high > patience {
			p.Others = halved(p.Others)
		}
		if p.high > 2*patience {
			p.Others = 0
		}
	case strain < strainCalm:
		p.high = 0
		p.Others = min(100, p.Others+paceUp)
		p.Suspects = min(p.Others, p.Suspects+suspectUp)
	default:
		p.high = 0
	}
	return p
}

func halved(percent int32) int32 {
	if percent /= 2; percent < paceLeast {
		return 0
	}
	return percent
}
