package estimate

import "github.com/daisywall/daisywall/structs"

// baseline is the tail latency of a service class without neighbours, as a
// line over its processor use.
type baseline struct {
	// Weighted sums over the reports without neighbours. Old reports fade.
	weight, use, useSquare, latency, product float64
	quiet                                    int // reports without neighbours
	low                                      float64
	reports                                  float64
}

const (
	// baselineFade is the weight that a report keeps with each later one.
	baselineFade = 0.9995
	// minQuiet is the number of reports without neighbours that make a
	// baseline of their own.
	minQuiet = 5
	// lowQuantile is the quantile of all reports that stands in until then.
	lowQuantile = 0.10
	// slopeRidge is the relative spread of the use below which the line is
	// kept flat, since the slope would be noise.
	slopeRidge = 0.05
)

func (b *baseline) add(use, latency float64, alone bool) {
	if alone {
		b.quiet++
		b.weight = b.weight*baselineFade + 1
		b.use = b.use*baselineFade + use
		b.useSquare = b.useSquare*baselineFade + use*use
		b.latency = b.latency*baselineFade + latency
		b.product = b.product*baselineFade + use*latency
	}
	b.addQuantile(latency)
}

// addQuantile follows the low quantile of all reports by stochastic
// approximation with a relative step.
func (b *baseline) addQuantile(latency float64) {
	b.reports++
	if b.reports == 1 {
		b.low = latency
		return
	}
	step := max(0.5/b.reports, 0.01) * b.low
	if latency < b.low {
		b.low -= step * (1 - lowQuantile)
	} else {
		b.low += step * lowQuantile
	}
}

// at returns the tail latency at the processor use.
func (b *baseline) at(use float64) float64 {
	if b.quiet < minQuiet {
		return b.low
	}
	meanUse, mean := b.use/b.weight, b.latency/b.weight
	variance := max(0, b.useSquare/b.weight-meanUse*meanUse)
	ridge := slopeRidge * meanUse
	slope := (b.product/b.weight - meanUse*mean) / (variance + ridge*ridge + 1)
	return mean + slope*(use-meanUse)
}

// Baseline returns the tail latency of the service without neighbours, in
// milliseconds, at the processor use, or at its mean use while the use of this
// run is unknown.
func (m *Model) Baseline(service string, usage structs.Resources) (ms float64, known bool) {
	b, found := m.baselines[service]
	if !found {
		return 0, false
	}
	use := float64(usage.MilliCPU)
	if u, seen := m.usage[service]; use <= 0 && seen {
		use = u.cpu.Mean
	}
	return b.at(use), true
}
