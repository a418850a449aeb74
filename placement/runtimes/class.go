package runtimes

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

const (
	classMemory = 24.0 // number of steps that a class remembers
	runMemory   = 100  // number of runs behind the share of failures and the number of observations
	// priorWeight is the weight of the prior, which is the declared run time for a
	// queue and the queue's estimate for an image, in steps. With 1, the first steps
	// make predictions worse than declared values that are off by 0.9.
	priorWeight = 3.0
	// priorVariance is the variance of the log of a run time around the declared
	// value before there are runs.
	priorVariance = 0.5
	// slopeRidge is added to the variation of the declared run times. It damps the
	// slope while they have hardly varied, since it would be noise.
	slopeRidge = 0.25
	// With a slope of -1, the run time does not depend on the declared value.
	minSlope, maxSlope = -1.0, 0.5
)

// Limits of the effect of outliers, as log ratios to the expected run time.
const (
	outlierLimit      = 1.0
	firstOutlierLimit = 1.5 // is added for the first step of a class, whose expected run time is only a guess
	// changeWeight is the weight of steps in a row that are outliers on the same
	// side, after which the class counts as changed.
	changeWeight = 2.5
	changeLoss   = 0.7 // share of their weight that earlier observations lose by a change
)

// Tasks of one step run about equally long, so that a step says about as much of its
// class as one run. A step is added to its class when it is closed, and counts as part
// of it before. A queue gets the first run of each step of its images.
const (
	openSteps   = 8
	maxStepRuns = 64               // a step is closed after so many runs, and begins anew
	maxStepGap  = 30 * time.Second // a step is closed before a run that ends so much later
	// withinStepRatio is the variance of the log run times within a step relative
	// to that between steps.
	withinStepRatio = 0.5
	// newStepWeight is the weight, for the speed of a worker, of a run without
	// other runs of its step.
	newStepWeight = 0.3
	// Limits from which a run without other runs of its step is an outlier for the
	// speed of its worker: the steps that are known of its class, and the deviation
	// in standard deviations of the class.
	minOutlierSteps   = 3.0
	outlierDeviations = 2.0
)

// classRecord holds the runs of a class.
type classRecord struct {
	runs, failed  float64 // recency-weighted numbers of ended and of failed runs
	measured      float64 // recency-weighted number of runs with a run time
	closed        moments // of the closed steps
	outlierWeight float64 // weight of the outliers in a row, negative for those that were shorter than expected
	open          [openSteps]openStep
	observed      int64 // number of runs added to open steps
}

// moments holds the weighted moments of steps. A step has the log x of its declared
// run time and the log z of the ratio of its run time to the declared one.
type moments struct {
	weight       float64
	meanX, meanZ float64
	sumXX        float64 // sum of squared deviations of x
	sumXZ, sumZZ float64
}

// openStep is a step whose runs are still being added.
type openStep struct {
	key        stepKey
	x          float64 // log declared run time
	count      float64 // number of runs, 0 for an unused entry
	mean       float64 // mean log run time on a worker of usual speed
	expected   float64 // expected log run time before the first run
	limit      float64 // limit of the difference of mean from expected, 0 if nothing was expected
	at         time.Duration
	observedAs int64 // value of classRecord.observed at the last run
}

// stepKey identifies a step.
type stepKey struct {
	step     structs.StepID
	declared time.Duration
}

// prediction is the expected log run time of a task.
type prediction struct {
	mean, variance float64
	weight         float64 // weight of the steps of the most specific record
	observations   float64
	known          bool
}

// predict returns the expected log run time from the declared one, the queue's
// runs and the image's, each of which is the prior of the next.
func predict(queue, image *classRecord, declared time.Duration) prediction {
	x, isDeclared := logDeclared(declared)
	p := prediction{mean: x, variance: priorVariance, known: isDeclared}
	p = queue.refine(p, x, isDeclared)
	if image != queue {
		p = image.refine(p, x, isDeclared)
	}
	return p
}

// refine returns the prediction with the record's runs.
func (c *classRecord) refine(prior prediction, x float64, isDeclared bool) prediction {
	m := c.moments()
	if m.weight == 0 {
		return prior
	}
	if !isDeclared {
		x = m.meanX
	}
	slope := m.slope()
	fitted := x + m.meanZ + slope*(x-m.meanX)
	p := prediction{mean: fitted, weight: m.weight, observations: c.measured, known: true}
	share := m.weight / (m.weight + priorWeight)
	if prior.known {
		p.mean = prior.mean + share*(fitted-prior.mean)
	}
	residual := max(0, m.sumZZ-slope*(2*m.sumXZ-slope*m.sumXX)) / m.weight
	p.variance = prior.variance + share*(residual-prior.variance)
	return p
}

// moments returns the moments of all steps.
func (c *classRecord) moments() moments {
	m := c.closed
	for i := range c.open {
		if s := &c.open[i]; s.count > 0 {
			m.addStep(s)
		}
	}
	return m
}

func (m *moments) slope() float64 {
	return min(max(m.sumXZ/(m.sumXX+slopeRidge), minSlope), maxSlope)
}

// addStep adds a step. One without a declared run time is added at the mean of x,
// so that it does not affect the relation of z to x.
func (m *moments) addStep(s *openStep) {
	y := s.mean
	if s.limit > 0 {
		y = min(max(y, s.expected-s.limit), s.expected+s.limit)
	}
	x := s.x
	switch {
	case s.key.declared > 0:
	case m.weight == 0:
		x = y
	default:
		x = m.meanX
	}
	weight := s.weight()
	m.scale(1 - weight/classMemory)
	m.weight += weight
	z := y - x
	dx, dz := x-m.meanX, z-m.meanZ
	m.meanX += dx * weight / m.weight
	m.meanZ += dz * weight / m.weight
	m.sumXX += weight * dx * (x - m.meanX)
	m.sumXZ += weight * dx * (z - m.meanZ)
	m.sumZZ += weight * dz * (z - m.meanZ)
}

// scale multiplies the weight of the steps so far.
func (m *moments) scale(factor float64) {
	m.weight *= factor
	m.sumXX *= factor
	m.sumXZ *= factor
	m.sumZZ *= factor
}

// weight returns how much the step says about its class. A step of many runs has
// weight 1.
func (s *openStep) weight() float64 { return s.count / (s.count + withinStepRatio) }

// countRun counts an ended run.
func (c *classRecord) countRun(failed bool) {
	c.runs = c.runs*(1-1.0/runMemory) + 1
	c.failed *= 1 - 1.0/runMemory
	if failed {
		c.failed++
	}
}

func (c *classRecord) countMeasured() { c.measured = c.measured*(1-1.0/runMemory) + 1 }

// openStep returns the open step to which a run that ends at the time belongs, nil
// if there is none.
func (c *classRecord) openStep(key stepKey, at time.Duration) *openStep {
	for i := range c.open {
		s := &c.open[i]
		if s.count > 0 && s.key == key && s.count < maxStepRuns && at-s.at < maxStepGap {
			return s
		}
	}
	return nil
}

// addRun adds a run to its step. y is the log run time on a worker of usual speed.
// It returns the step. If that is new, another may be closed for it.
func (c *classRecord) addRun(key stepKey, y float64, expected prediction, at time.Duration) *openStep {
	s := c.openStep(key, at)
	if s == nil {
		s = &c.open[0]
		for i := range c.open {
			o := &c.open[i]
			if o.count > 0 && o.key == key {
				s = o
				break
			}
			if o.observedAs < s.observedAs {
				s = o
			}
		}
		if s.count > 0 {
			c.addClosed(s)
		}
		*s = openStep{key: key, expected: expected.mean, mean: y}
		s.x, _ = logDeclared(key.declared)
		if expected.known {
			s.limit = outlierLimit + firstOutlierLimit/(1+expected.weight)
		}
	}
	c.observed++
	s.count++
	s.mean += min(max(y-s.mean, -outlierLimit), outlierLimit) / s.count
	s.at, s.observedAs = at, c.observed
	return s
}

// addClosed adds a closed step. After several outliers on the same side the class
// has changed, and its earlier steps lose weight.
func (c *classRecord) addClosed(s *openStep) {
	if s.limit > 0 && isChange(&c.outlierWeight, (s.mean-s.expected)*outlierLimit/s.limit, s.weight(), changeWeight) {
		c.closed.scale(1 - changeLoss)
	}
	c.closed.addStep(s)
}

// isChange adds a deviation to the weight of the outliers in a row on the same
// side, and reports whether it has become more than limit. The weight is then 0
// again.
func isChange(outlierWeight *float64, deviation, weight, limit float64) bool {
	if math.Abs(deviation) <= outlierLimit {
		*outlierWeight = 0
		return false
	}
	if *outlierWeight*deviation < 0 {
		*outlierWeight = 0
	}
	*outlierWeight += math.Copysign(weight, deviation)
	if math.Abs(*outlierWeight) <= limit {
		return false
	}
	*outlierWeight = 0
	return true
}

// comparison is what a run is compared to for the speed of its worker.
type comparison struct {
	expected float64 // log run time
	weight   float64 // weight of the comparison, 0 if there is nothing to compare to
	outlier  float64 // deviation above which the run is an outlier
}

// reference returns what a run is compared to for the speed of its worker. Without
// other runs of its step, the run time of the step itself is unknown: the run is an
// outlier only if it is one among the steps of a class with enough of them.
func (c *classRecord) reference(key stepKey, expected prediction, at time.Duration) comparison {
	known := expected.weight / (expected.weight + priorWeight)
	s := c.openStep(key, at)
	if s == nil {
		r := comparison{expected: expected.mean, weight: newStepWeight * known, outlier: math.Inf(1)}
		if c.moments().weight >= minOutlierSteps {
			r.outlier = max(outlierLimit, outlierDeviations*math.Sqrt(expected.variance))
		}
		return r
	}
	// The declared run time alone says nothing: all workers of a step that takes
	// longer than declared would look slow.
	share := s.count / (s.count + withinStepRatio*known)
	return comparison{expected: expected.mean + share*(s.mean-expected.mean), weight: s.weight(), outlier: outlierLimit}
}
