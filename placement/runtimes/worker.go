package runtimes

import (
	"math"
	"time"
)

const (
	workerMemory   = 16.0            // number of runs that a worker's speed is taken from
	workerHalfLife = 5 * time.Minute // time in which the weight of a worker's runs decays by half
	// workerPrior is the weight of the usual speed, in runs. One run in the tail of
	// its class must not make a worker look slow.
	workerPrior  = 2.0
	maxLogSpeed  = 4.0       // workers differ in speed by less than 50 times
	slowLogSpeed = -math.Ln2 // mean below which a worker is slow
	// The speed of a worker has changed when the deviations of its runs on one side, in
	// units of an outlier, add up to more than changeLimit. Each counts less changeDrift
	// and then at most 1, so that it takes three runs. With 3 % of the runs in the tail,
	// three in a row are from the tail once in 40,000 times.
	changeDrift = 0.5
	changeLimit = 2.05
	// changeMinWeight is the weight of the runs that have shown a change. The prior has
	// little to say against them: it would leave a third of the difference.
	changeMinWeight = 6.0
)

// decay returns the factor for a weight after the elapsed time. It is at least a
// half: a time from an invalid report or an earlier leader's clock must not remove
// all that is known.
func decay(elapsed, halfLife time.Duration) float64 {
	return math.Exp2(-min(max(elapsed.Seconds()/halfLife.Seconds(), 0), 1))
}

// workerRecord holds the speed of a worker.
type workerRecord struct {
	weight float64
	mean   float64 // weighted mean of the log speeds in its runs
	at     time.Duration
	slower changeSum
	faster changeSum
}

// changeSum adds up the deviations of runs on one side. It begins anew with each run
// after which the sum is not positive.
type changeSum struct {
	score    float64
	logSpeed float64 // sum of the log speeds
	runs     float64
}

// add adds a run with the deviation in units of an outlier, and reports whether
// there is a change.
func (c *changeSum) add(logSpeed, deviation float64) bool {
	c.score += min(deviation-changeDrift, 1)
	if c.score <= 0 {
		*c = changeSum{}
		return false
	}
	c.logSpeed += logSpeed
	c.runs++
	return c.score > changeLimit
}

// add adds the log speed of one run, which is an outlier if it deviates by more than
// outlier.
func (w *workerRecord) add(logSpeed, weight, outlier float64, at time.Duration) {
	w.weight *= decay(at-w.at, workerHalfLife) * (1 - weight/workerMemory)
	w.at = at
	deviation := logSpeed - w.mean
	isSlower, isFaster := w.slower.add(logSpeed, -deviation/outlier), w.faster.add(logSpeed, deviation/w.fasterOutlier(outlier))
	switch {
	case isSlower:
		w.restartFrom(w.slower)
	case isFaster:
		w.restartFrom(w.faster)
	default:
		w.weight += weight
		w.mean += min(max(deviation, -outlierLimit), outlierLimit) * weight / w.weight
	}
	w.mean = min(max(w.mean, -maxLogSpeed), maxLogSpeed)
}

// fasterOutlier returns the deviation above which a run is an outlier that was faster
// than expected. On a slow worker it is one that is nearer to the usual speed than to
// that of the worker, so that runs after its recovery are not left out.
func (w *workerRecord) fasterOutlier(outlier float64) float64 {
	if w.mean >= slowLogSpeed || math.IsInf(outlier, 1) {
		return outlier
	}
	return min(outlier, -w.mean/2)
}

// restartFrom forgets the runs before a change.
func (w *workerRecord) restartFrom(c changeSum) {
	w.weight, w.mean = min(max(c.runs, changeMinWeight), workerMemory), c.logSpeed/c.runs
	w.slower, w.faster = changeSum{}, changeSum{}
}

// logSpeed returns the log of the speed relative to the usual one.
func (w *workerRecord) logSpeed(usual float64) float64 {
	return (w.mean - usual) * w.weight / (w.weight + workerPrior)
}

// usualSpeed is the mean log speed of all workers that have run something. The runs
// of a step end in the order of their run times, so that most look slow beside those
// that have ended before. If speeds were not relative to their mean, this would lower
// the speeds of the workers and the run times of the classes in turn, without an end.
type usualSpeed struct{ sum, weight float64 }

// add adds a worker, or removes it if sign is -1.
func (u *usualSpeed) add(w *workerRecord, sign float64) {
	share := sign * w.weight / (w.weight + workerPrior)
	u.sum += share * w.mean
	u.weight += share
}

func (u *usualSpeed) mean() float64 {
	if u.weight <= 0 {
		return 0
	}
	return u.sum / u.weight
}
