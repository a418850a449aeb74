package steps

import (
	"cmp"
	"math"
	"slices"
)

const (
	// speedResolution is the log ratio up to which two speeds count as equal. The
	// model's estimates of two equal workers differ by about 0.13 in standard
	// deviation, with run times that vary by 0.3 and 3 % of them at 7 times.
	speedResolution = 0.3
	// speedWeight is the weight of the log of a speed in the score of a task whose
	// end depends on it. A difference of speedResolution outweighs all processors of
	// a worker.
	speedWeight = 4.0
	// awayFromInputFactor is the usual run time of a task away from the rack of its
	// input, relative to that beside it (1.5 to 3).
	awayFromInputFactor = 2.0
)

// SpeedChoice tells how the speeds of the workers have changed a placement.
type SpeedChoice int

// Values of SpeedChoice.
const (
	SpeedIgnored SpeedChoice = iota // the worker is the same as without speeds, or they only weight its idle processors
	SpeedFaster                     // the worker is faster than the one that had been chosen without speeds
	SpeedOffSlow                    // the same, and the other one is slow
	SpeedTried                      // the worker is slow and gets the task as a trial
	SpeedSlow                       // the worker is slow, and waiting for another one would cost more
)

// String returns the name of the choice in metrics.
func (c SpeedChoice) String() string { return speedChoiceNames[c] }

var speedChoiceNames = [...]string{"ignored", "faster", "off slow", "trial", "slow"}

// compareSpeeds sets the slowdown of the workers if a demand is placed by speed. The
// workers of a pool whose speeds can't be distinguished get the same one.
func compareSpeeds(workers []*Worker, demands []Demand) {
	isUsed := false
	for i := range demands {
		isUsed = isUsed || demands[i].BySpeed
	}
	if !isUsed {
		return
	}
	sorted := slices.SortedStableFunc(slices.Values(workers), func(a, b *Worker) int {
		return cmp.Or(cmp.Compare(a.Pool, b.Pool), cmp.Compare(b.logSpeed(), a.logSpeed()))
	})
	var fastest, group float64 // logs of the speeds of the fastest worker of the pool and of the first one of the group
	for i, w := range sorted {
		speed := w.logSpeed()
		switch {
		case i == 0 || sorted[i-1].Pool != w.Pool:
			fastest, group = speed, speed
		case group-speed > speedResolution:
			group = speed
		}
		w.slowdown = fastest - group
	}
}

// logSpeed returns the log of the speed, 0 if it is not known.
func (w *Worker) logSpeed() float64 {
	if w.Speed <= 0 {
		return 0
	}
	return math.Log(w.Speed)
}

// isTimed reports whether the speed of the worker determines when a task of the step
// ends. A filling task depends more on the processors that others leave idle.
func (d *Demand) isTimed() bool { return d.usesSpeed() && !d.Spec.Fills }

// speedPenalty returns the penalty of the worker for tasks whose end depends on its
// speed. In the rack of the input, the way to the input makes up for a part of it.
func (d *Demand) speedPenalty(w *Worker) float64 {
	switch {
	case !d.isTimed() || d.isSpeedTrial(w):
		return 0 // a worker that is due for a trial gets it
	case d.Spec.Rack != "" && d.Spec.Rack == w.Rack:
		return speedWeight * max(0, w.slowdown-math.Log(awayFromInputFactor))
	default:
		return speedWeight * w.slowdown
	}
}

// idleShare returns the share of the worker's processors that is expected to be idle
// for a filling task, weighted with the speed of the worker.
func (d *Demand) idleShare(w *Worker) float64 {
	share := w.idleMilliCPU() / float64(max(1, w.Capacity.MilliCPU))
	if !d.BySpeed || share <= 0 || d.isSpeedTrial(w) {
		return share
	}
	return share * math.Exp(-w.slowdown)
}

// speedChoice returns how the speeds have changed the choice of a worker from the
// one with the best score without them.
func (d *Demand) speedChoice(w, unweighted *Worker) SpeedChoice {
	switch {
	case !d.usesSpeed():
		return SpeedIgnored
	case d.isSpeedTrial(w):
		return SpeedTried
	case IsSlow(w.Speed):
		return SpeedSlow
	case w == unweighted:
		return SpeedIgnored
	case IsSlow(unweighted.Speed):
		return SpeedOffSlow
	default:
		return SpeedFaster
	}
}
