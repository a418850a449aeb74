package steps

import (
	"slices"
	"time"
)

// Bounds of stragglers. Tasks of a step differ by a third or so, and run up to
// three times as long away from their input; slow workers take four to eight
// times as long.
const (
	stragglerRate  = 0.3 // of the median rate of the step's tasks
	stragglerPeers = 3   // rates that make a median
	restartMargin  = 200 * time.Millisecond
)

// Progress is how far a run of a step has come.
type Progress struct {
	Observed time.Duration // time in which Done was done
	Done     float64       // share of the work done in that time, 0 to 1
	Left     float64       // share of the work that is left
	Restarts float64       // share of the work that is lost with a restart
}

// rate returns the share of the work done in a second.
func (p Progress) rate() float64 { return p.Done / p.Observed.Seconds() }

// Stragglers returns the indexes of the runs that would be done earlier if they
// started again on a sound worker. Load: workers that turn slow, where one slow
// task of a step makes the whole job late.
func Stragglers(runs []Progress) []int {
	if len(runs) < stragglerPeers {
		return nil
	}
	rates := make([]float64, len(runs))
	for i, p := range runs {
		rates[i] = p.rate()
	}
	sorted := slices.Sorted(slices.Values(rates))
	median := sorted[len(sorted)/2]
	var found []int
	for i, p := range runs {
		if rates[i] >= stragglerRate*median {
			continue
		}
		again := (p.Left+p.Restarts)/median + restartMargin.Seconds()
		if p.Left > again*rates[i] {
			found = append(found, i)
		}
	}
	return found
}
