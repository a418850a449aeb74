package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
)

// Bounds of the distrust in a worker.
const (
	failuresInARow  = 2 // failed runs without a finished one between after which a worker is avoided
	quarantineFirst = 3 * time.Second
	quarantineMost  = 20 * time.Second
)

// record is how the runs of a worker went of late. A worker that fails all that
// it starts is left alone for a while, longer each time.
type record struct {
	inARow  int
	until   bootclock.Time
	penalty time.Duration
}

func (r *record) finished(bootclock.Time) {
	*r = record{}
}

func (r *record) failed(now bootclock.Time) {
	r.inARow++
	if r.inARow >= failuresInARow {
		r.penalty = min(quarantineMost, max(quarantineFirst, 2*r.penalty))
		r.until = now.Add(r.penalty)
	}
}

// heldUp takes note of a run that stood still, or was far slower than others.
func (r *record) heldUp(now bootclock.Time) {
	r.inARow = max(r.inARow, failuresInARow-1)
	r.failed(now)
}

// distrust returns 1 during a quarantine, and less for a worker whose last run
// failed.
func (r *record) distrust(now bootclock.Time) float64 {
	switch {
	case now < r.until:
		return 1
	case r.inARow > 0:
		return float64(r.inARow) / float64(failuresInARow+r.inARow)
	default:
		return 0
	}
}
