package estimate

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Load bands divide the processor usage of services by powers of two. The
// limits are absolute, so that a new peak of usage does not change the meaning
// of stored bands.
const (
	bandBase = 125 // thousandths of a processor at which band 1 begins
	maxBand  = 12
)

// Band returns the load band of a service at the usage, or at its mean usage if
// usage is zero.
func (m *Model) Band(service string, usage structs.Resources) int {
	cpu := float64(usage.MilliCPU)
	if cpu <= 0 {
		if u, found := m.usage[service]; found {
			cpu = u.cpu.Mean
		}
	}
	band := 0
	for limit := float64(bandBase); cpu >= limit && band < maxBand; limit *= 2 {
		band++
	}
	return band
}

// pairKey identifies a service, a class and the load band of the service.
type pairKey struct {
	service, class string
	band           int
}

// harmEstimate is the estimated harm of one task of a class to a service at a
// load band, as a normal distribution.
type harmEstimate struct {
	mean, variance float64
	updated        time.Duration // time of the last update
}

// negligibleCount is the highest count at which a neighbour is treated as
// absent.
const negligibleCount = 0.05

// maxGrowth is the maximum relative growth of tail latency that is taken from
// one report, so that an outlier does not dominate the estimate.
const maxGrowth = 3.0

// learnLatency updates the baseline of a service, and attributes the growth of
// its tail latency to the neighbours that it had during the report's window.
func (m *Model) learnLatency(now time.Duration, worker structs.WorkerID, r *Report) {
	h := m.histories[worker]
	if h == nil {
		return
	}
	windowEnd := now - r.Age
	list, known := h.neighbours(Resident{Attempt: r.Attempt}, windowEnd-m.options.Window, windowEnd)
	if !known {
		return
	}
	b, found := m.baselines[r.Class]
	if !found {
		b = &baseline{}
		m.baselines[r.Class] = b
	}
	b.addReport(float64(r.Usage.MilliCPU), r.LatencyMS, hasNoNeighbours(list))
	expectedLatency, known := m.Baseline(r.Class, r.Usage)
	if !known || expectedLatency <= 0 || hasNoNeighbours(list) {
		return
	}
	band := m.Band(r.Class, r.Usage)
	growth := min(max(r.LatencyMS/expectedLatency-1, -1), maxGrowth)
	m.attributeGrowth(now, r.Class, band, list, growth)
}

func hasNoNeighbours(list []neighbour) bool {
	for _, n := range list {
		if n.count > negligibleCount {
			return false
		}
	}
	return true
}

// attributeGrowth updates the estimates of the neighbours by one step of a
// Kalman filter with independent effects. It distributes the difference between
// the measured and the expected growth over the neighbours by their counts and
// the variances of their estimates.
func (m *Model) attributeGrowth(now time.Duration, service string, band int, list []neighbour, growth float64) {
	noise := m.options.Noise * (1 + max(0, growth))
	expected, variance := 0.0, noise*noise
	estimates := make([]*harmEstimate, len(list))
	for i, n := range list {
		e := m.storedEstimate(now, pairKey{service, n.class, band})
		estimates[i] = e
		expected += n.count * e.mean
		variance += n.count * n.count * e.variance
	}
	residual := growth - expected
	for i, n := range list {
		e := estimates[i]
		gain := e.variance * n.count / variance
		e.mean += gain * residual
		e.variance *= 1 - gain*n.count
	}
}

// storedEstimate returns the stored estimate, decayed to now, or stores a new
// one.
func (m *Model) storedEstimate(now time.Duration, key pairKey) *harmEstimate {
	e, found := m.pairs[key]
	if !found {
		mean, deviation := m.fallbackEstimate(now, key)
		e = &harmEstimate{mean: mean, variance: deviation * deviation}
		m.pairs[key] = e
	}
	*e = m.decayed(*e, now)
	return e
}

// decayed returns the estimate at now. Mean and variance decay towards the
// prior, by half of the distance in each half-life.
func (m *Model) decayed(e harmEstimate, now time.Duration) harmEstimate {
	priorVariance := m.options.PriorDeviation * m.options.PriorDeviation
	if now > e.updated {
		remaining := math.Exp2(-float64(now-e.updated) / float64(m.options.HalfLife))
		e.mean = m.options.PriorHarm + (e.mean-m.options.PriorHarm)*remaining
		e.variance = priorVariance - (priorVariance-e.variance)*remaining
		e.updated = now
	}
	return e
}

// fallbackEstimate returns an estimate for a pair without reports at the band.
// The result is the estimate at the nearest band that has reports, with a
// larger deviation, or the prior if no band has reports.
func (m *Model) fallbackEstimate(now time.Duration, key pairKey) (mean, deviation float64) {
	for distance := 1; distance <= maxBand; distance++ {
		for _, band := range [2]int{key.band + distance, key.band - distance} {
			e, found := m.pairs[pairKey{key.service, key.class, band}]
			if !found {
				continue
			}
			const otherBandFactor = 2
			nearest := m.decayed(*e, now)
			return nearest.mean, min(m.options.PriorDeviation, otherBandFactor*math.Sqrt(nearest.variance))
		}
	}
	return m.options.PriorHarm, m.options.PriorDeviation
}

// Harm returns the expected relative growth of the service's tail latency that
// one task of the class on the same worker causes, and its standard deviation.
func (m *Model) Harm(service, class string, band int) (mean, deviation float64) {
	key := pairKey{service, class, band}
	if e, found := m.pairs[key]; found {
		current := m.decayed(*e, m.lastReport)
		return current.mean, math.Sqrt(current.variance)
	}
	return m.fallbackEstimate(m.lastReport, key)
}
