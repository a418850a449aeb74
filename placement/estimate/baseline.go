package estimate

import "github.com/daisywall/daisywall/structs"

// baseline estimates the tail latency of a service class without neighbours by
// a linear regression on its processor usage.
type baseline struct {
	// Sums over the reports without neighbours, with exponential decay.
	weight, cpu, cpuSquare, latency, product float64
	aloneReports                             int     // number of reports without neighbours
	lowLatency                               float64 // low quantile of the latency in all reports, in milliseconds
	reports                                  float64 // number of all reports
}

const (
	// baselineDecay is the factor by which the sums decay with each report.
	baselineDecay = 0.9995
	// minAloneReports is the minimum number of reports without neighbours for a
	// regression.
	minAloneReports = 5
	// lowQuantile is the quantile of the latency in all reports that replaces
	// the regression while it has too few reports.
	lowQuantile = 0.10
	// slopeRidge is the relative deviation of the usage below which the slope
	// is damped, since it would be noise.
	slopeRidge = 0.05
)

// addReport updates the estimate from one report.
func (b *baseline) addReport(cpu, latency float64, alone bool) {
	if alone {
		b.aloneReports++
		b.weight = b.weight*baselineDecay + 1
		b.cpu = b.cpu*baselineDecay + cpu
		b.cpuSquare = b.cpuSquare*baselineDecay + cpu*cpu
		b.latency = b.latency*baselineDecay + latency
		b.product = b.product*baselineDecay + cpu*latency
	}
	b.addQuantile(latency)
}

// addQuantile updates the low quantile of all reports by stochastic
// approximation with a relative step size.
func (b *baseline) addQuantile(latency float64) {
	b.reports++
	if b.reports == 1 {
		b.lowLatency = latency
		return
	}
	step := max(0.5/b.reports, 0.01) * b.lowLatency
	if latency < b.lowLatency {
		b.lowLatency -= step * (1 - lowQuantile)
	} else {
		b.lowLatency += step * lowQuantile
	}
}

// predict returns the tail latency in milliseconds at the processor usage.
func (b *baseline) predict(cpu float64) float64 {
	if b.aloneReports < minAloneReports {
		return b.lowLatency
	}
	meanCPU, meanLatency := b.cpu/b.weight, b.latency/b.weight
	variance := max(0, b.cpuSquare/b.weight-meanCPU*meanCPU)
	ridge := slopeRidge * meanCPU
	slope := (b.product/b.weight - meanCPU*meanLatency) / (variance + ridge*ridge + 1)
	return meanLatency + slope*(cpu-meanCPU)
}

// Baseline returns the tail latency in milliseconds of the service without
// neighbours at the processor usage, or at its mean usage if usage is zero.
// known is false if the service has never reported its latency.
func (m *Model) Baseline(service string, usage structs.Resources) (ms float64, known bool) {
	b, found := m.baselines[service]
	if !found {
		return 0, false
	}
	cpu := float64(usage.MilliCPU)
	if u, found := m.usage[service]; cpu <= 0 && found {
		cpu = u.cpu.Mean
	}
	return b.predict(cpu), true
}
