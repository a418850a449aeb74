package steps

// Bounds of the pace of filling tasks, as shares of a latency target.
const (
	strainHigh = 0.95 // above, filling tasks are slowed down
	strainCalm = 0.75 // below, they are let go on faster
	paceUp     = 20   // percent that a calm reading gives back
	paceLeast  = 10   // percent below which a task is paused
)

// NextPace returns the percentage at which the filling tasks of a host may work
// after a reading of its services' strain: the worst tail latency as a share of
// the target. It halves the pace while a service is over its target, so that a
// disturbance ends within four readings, and gives it back step by step.
func NextPace(percent int32, strain float64) int32 {
	switch {
	case strain >= strainHigh:
		percent /= 2
		if percent < paceLeast {
			percent = 0
		}
	case strain < strainCalm:
		percent = min(100, percent+paceUp)
	}
	return percent
}
