package steps

import (
	"slices"
	"time"
)

// Limits for the detection of stragglers. The run times of a step's tasks vary
// by about a third, and by up to a factor of three away from their input. Slow
// workers take four to eight times as long.
const (
	maxStragglerRate = 0.3                    // share of the median rate below which a run is slow
	minMedianRuns    = 3                      // minimum number of runs for a median
	restartMargin    = 200 * time.Millisecond // allowance for the delay of a restart
)

// Progress is the measured progress of one run of a step's task.
type Progress struct {
	Observed        time.Duration // observation period
	Done            float64       // share of the work done in the observation period, 0 to 1
	Left            float64       // share of the work that is left, 0 to 1
	RedoneOnRestart float64       // share of the work that a restart repeats, 0 to 1
}

// rate returns the share of the work done per second.
func (p Progress) rate() float64 { return p.Done / p.Observed.Seconds() }

// Stragglers returns the indexes of the runs that would end earlier if they
// were restarted on a worker of median speed. A single slow task of a step
// makes the whole job late.
func Stragglers(runs []Progress) []int {
	if len(runs) < minMedianRuns {
		return nil
	}
	rates := make([]float64, len(runs))
	for i, p := range runs {
		rates[i] = p.rate()
	}
	sorted := slices.Sorted(slices.Values(rates))
	median := sorted[len(sorted)/2]
	var stragglers []int
	for i, p := range runs {
		if rates[i] >= maxStragglerRate*median {
			continue
		}
		restartSeconds := (p.Left+p.RedoneOnRestart)/median + restartMargin.Seconds()
		if p.Left > restartSeconds*rates[i] {
			stragglers = append(stragglers, i)
		}
	}
	return stragglers
}
