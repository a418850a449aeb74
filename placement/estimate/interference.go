package estimate

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Load bands of a service: each is twice as much processor use as the one
// before. They are absolute, so that a new peak does not change their meaning.
const (
	bandBase = 125 // thousandths of a processor at which band 1 begins
	maxBand  = 12
)

// Band returns the load band of a service that uses usage, or of its mean
// usage while the use of this run is unknown.
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

type pairKey struct {
	service, class string
	band           int
}

// effect is the harm of one task of a class to a service at a band, as a
// normal distribution.
type effect struct {
	mean, variance float64
	at             time.Duration // of the last change
}

// negligible is the part of a run beside a service that is not worth learning
// from.
const negligible = 0.05

// maxGrowth bounds the growth of tail latency that one report may claim, so
// that a single outlier does not condemn a pair.
const maxGrowth = 3.0

// learnLatency attributes the growth of a service's tail latency to the
// neighbours that it had during the report's window.
func (m *Model) learnLatency(now time.Duration, worker structs.WorkerID, r *Report) {
	h := m.histories[worker]
	if h == nil {
		return
	}
	to := now - r.Age
	list, known := h.neighbours(Resident{Attempt: r.Attempt}, to-m.options.Window, to)
	if !known {
		return
	}
	b, found := m.baselines[r.Class]
	if !found {
		b = &baseline{}
		m.baselines[r.Class] = b
	}
	b.add(float64(r.Usage.MilliCPU), r.LatencyMS, alone(list))
	quiet, known := m.Baseline(r.Class, r.Usage)
	if !known || quiet <= 0 || alone(list) {
		return
	}
	band := m.Band(r.Class, r.Usage)
	growth := min(max(r.LatencyMS/quiet-1, -1), maxGrowth)
	m.attribute(now, r.Class, band, list, growth)
}

func alone(list []neighbour) bool {
	for _, n := range list {
		if n.count > negligible {
			return false
		}
	}
	return true
}

// attribute is one step of a Kalman filter with independent effects: the
// surprise is shared among the neighbours by their counts and by how uncertain
// their effects are.
func (m *Model) attribute(now time.Duration, service string, band int, list []neighbour, growth float64) {
	noise := m.options.Noise * (1 + max(0, growth))
	expected, variance := 0.0, noise*noise
	effects := make([]*effect, len(list))
	for i, n := range list {
		e := m.effect(now, pairKey{service, n.class, band})
		effects[i] = e
		expected += n.count * e.mean
		variance += n.count * n.count * e.variance
	}
	surprise := growth - expected
	for i, n := range list {
		e := effects[i]
		gain := e.variance * n.count / variance
		e.mean += gain * surprise
		e.variance *= 1 - gain*n.count
	}
}

// effect returns the stored effect, aged to now, or a new one.
func (m *Model) effect(now time.Duration, key pairKey) *effect {
	e, found := m.pairs[key]
	if !found {
		mean, deviation := m.guess(now, key)
		e = &effect{mean: mean, variance: deviation * deviation}
		m.pairs[key] = e
	}
	*e = m.aged(*e, now)
	return e
}

// aged returns the effect as it is to be believed at now: mean and variance go
// back towards the prior, half of the way in each half-life.
func (m *Model) aged(e effect, now time.Duration) effect {
	prior := m.options.PriorDeviation * m.options.PriorDeviation
	if now > e.at {
		left := math.Exp2(-float64(now-e.at) / float64(m.options.HalfLife))
		e.mean = m.options.PriorHarm + (e.mean-m.options.PriorHarm)*left
		e.variance = prior - (prior-e.variance)*left
		e.at = now
	}
	return e
}

// guess returns what to expect of a pair that was never seen at the band: the
// effect at the nearest known band with more uncertainty, else the prior.
func (m *Model) guess(now time.Duration, key pairKey) (mean, deviation float64) {
	for distance := 1; distance <= maxBand; distance++ {
		for _, band := range [2]int{key.band + distance, key.band - distance} {
			e, found := m.pairs[pairKey{key.service, key.class, band}]
			if !found {
				continue
			}
			const otherBandFactor = 2
			old := m.aged(*e, now)
			return old.mean, min(m.options.PriorDeviation, otherBandFactor*math.Sqrt(old.variance))
		}
	}
	return m.options.PriorHarm, m.options.PriorDeviation
}

// Harm returns the expected relative growth of the tail latency of the service
// through one task of the class beside it, and its standard deviation.
func (m *Model) Harm(service, class string, band int) (mean, deviation float64) {
	key := pairKey{service, class, band}
	if e, found := m.pairs[key]; found {
		now := m.aged(*e, m.learned)
		return now.mean, math.Sqrt(now.variance)
	}
	return m.guess(m.learned, key)
}
