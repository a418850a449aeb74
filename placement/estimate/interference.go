package estimate

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Load bands of a service, by its processor use against the peak of its class.
const (
	bandLow = iota
	bandMiddle
	bandHigh
	bands
)

// Upper bounds of the low and the middle band.
const (
	lowLoad    = 0.5
	middleLoad = 0.8
)

// Band returns the load band of a service that uses usage.
func (m *Model) Band(service string, usage structs.Resources) int {
	peak := m.peaks[service]
	if peak <= 0 || usage.MilliCPU <= 0 {
		return bandMiddle
	}
	switch load := float64(usage.MilliCPU) / peak; {
	case load < lowLoad:
		return bandLow
	case load < middleLoad:
		return bandMiddle
	}
	return bandHigh
}

type baselineKey struct {
	service string
	band    int
}

// baseline is the tail latency of a service class without neighbours.
type baseline struct {
	quiet    moments // reports without neighbours
	low      float64 // running low quantile of all reports
	lowCount float64
}

// lowQuantile is the quantile of all reports that stands in for the quiet
// baseline until quiet reports were seen.
const lowQuantile = 0.10

func (b *baseline) add(latency float64, alone bool) {
	if alone {
		b.quiet.add(latency)
	}
	b.lowCount++
	if b.lowCount == 1 {
		b.low = latency
		return
	}
	// Stochastic approximation of the quantile with a relative step.
	step := max(0.5/b.lowCount, 0.01) * b.low
	if latency < b.low {
		b.low -= step * (1 - lowQuantile)
	} else {
		b.low += step * lowQuantile
	}
}

// minQuiet is the number of quiet reports that make a baseline of their own.
const minQuiet = 5

func (b *baseline) value() (ms float64, known bool) {
	switch {
	case b == nil || b.lowCount == 0:
		return 0, false
	case b.quiet.weight >= minQuiet:
		return b.quiet.mean, true
	}
	return b.low, true
}

// Baseline returns the tail latency of the service without neighbours at the
// band, or at the nearest band that is known.
func (m *Model) Baseline(service string, band int) (ms float64, known bool) {
	for _, b := range nearest(band) {
		if ms, known = m.baselines[baselineKey{service, b}].value(); known {
			return ms, true
		}
	}
	return 0, false
}

// nearest lists the bands by their distance from band.
func nearest(band int) []int {
	switch band {
	case bandLow:
		return []int{bandLow, bandMiddle, bandHigh}
	case bandHigh:
		return []int{bandHigh, bandMiddle, bandLow}
	}
	return []int{bandMiddle, bandHigh, bandLow}
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
	band := m.Band(r.Class, r.Usage)
	key := baselineKey{r.Class, band}
	b, found := m.baselines[key]
	if !found {
		b = &baseline{}
		m.baselines[key] = b
	}
	b.add(r.LatencyMS, alone(list))
	quiet, _ := m.Baseline(r.Class, band)
	if quiet <= 0 || alone(list) {
		return
	}
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
	for _, b := range nearest(key.band) {
		e, found := m.pairs[pairKey{key.service, key.class, b}]
		if b == key.band || !found {
			continue
		}
		const otherBandFactor = 2
		old := m.aged(*e, now)
		return old.mean, min(m.options.PriorDeviation, otherBandFactor*math.Sqrt(old.variance))
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
