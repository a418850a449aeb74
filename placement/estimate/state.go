package estimate

import (
	"cmp"
	"slices"
	"time"
)

// State is the stored form of a model, from which the next leader restores it.
// It does not include the runs of workers. Times are ages, since every leader
// has its own monotonic clock.
type State struct {
	Classes   []ClassState    `json:"classes"`
	Baselines []BaselineState `json:"baselines"`
	Pairs     []PairState     `json:"pairs"`
}

// ClassState is the usage and run time of one class.
type ClassState struct {
	Class        string  `json:"class"`
	AgeMS        int64   `json:"age_ms"` // time since the last report
	MilliCPU     Moments `json:"milli_cpu"`
	MemoryMB     Moments `json:"memory_mb"`
	PeakMemoryMB float64 `json:"peak_memory_mb"`
	RunTimeS     Moments `json:"run_time_s"`
}

// Moments holds running means of values and of their squares. Weight is the
// number of reports in them.
type Moments struct {
	Mean   float64 `json:"mean"`
	Square float64 `json:"square"`
	Weight float64 `json:"weight"`
}

// BaselineState is the estimate of the tail latency of one service class
// without neighbours.
type BaselineState struct {
	Service      string  `json:"service"`
	AloneReports int     `json:"quiet"`   // number of reports without neighbours
	Reports      float64 `json:"reports"` // number of all reports
	LowMS        float64 `json:"low_ms"`  // low quantile of the latency in all reports
	// Sums of processor usage and latency over the reports without neighbours,
	// with exponential decay.
	Weight    float64 `json:"weight"`
	Use       float64 `json:"use"`
	UseSquare float64 `json:"use_square"`
	Latency   float64 `json:"latency"`
	Product   float64 `json:"product"`
}

// PairState is the estimated harm of one task of a class to a service at a load
// band.
type PairState struct {
	Service  string  `json:"service"`
	Class    string  `json:"class"`
	Band     int     `json:"band"`
	AgeMS    int64   `json:"age_ms"` // time since the last report
	Mean     float64 `json:"mean"`
	Variance float64 `json:"variance"`
}

// State returns the stored form of the model at now, with sorted lists.
func (m *Model) State(now time.Duration) State {
	var s State
	for class, u := range m.usage {
		c := ClassState{
			Class: class, AgeMS: (now - u.lastReport).Milliseconds(),
			MilliCPU: Moments(u.cpu), MemoryMB: Moments(u.memory), PeakMemoryMB: u.peakMemory,
		}
		if r, found := m.runTimes[class]; found {
			c.RunTimeS = Moments(*r)
		}
		s.Classes = append(s.Classes, c)
	}
	for service, b := range m.baselines {
		s.Baselines = append(s.Baselines, BaselineState{
			Service: service, AloneReports: b.aloneReports, Reports: b.reports, LowMS: b.lowLatency,
			Weight: b.weight, Use: b.cpu, UseSquare: b.cpuSquare, Latency: b.latency, Product: b.product,
		})
	}
	for key, e := range m.pairs {
		s.Pairs = append(s.Pairs, PairState{
			Service: key.service, Class: key.class, Band: key.band,
			AgeMS: (now - e.updated).Milliseconds(), Mean: e.mean, Variance: e.variance,
		})
	}
	slices.SortFunc(s.Classes, func(a, b ClassState) int { return cmp.Compare(a.Class, b.Class) })
	slices.SortFunc(s.Baselines, func(a, b BaselineState) int { return cmp.Compare(a.Service, b.Service) })
	slices.SortFunc(s.Pairs, func(a, b PairState) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Class, b.Class), cmp.Compare(a.Band, b.Band))
	})
	return s
}

// Restore returns a model with the estimates of the state. now is a reading of
// the new leader's monotonic clock.
func Restore(options Options, s State, now time.Duration) *Model {
	m := New(options)
	m.lastReport, m.lastPrune = now, now
	ago := func(ms int64) time.Duration { return now - time.Duration(ms)*time.Millisecond }
	for _, c := range s.Classes {
		m.usage[c.Class] = &usageStat{
			cpu: moments(c.MilliCPU), memory: moments(c.MemoryMB), peakMemory: c.PeakMemoryMB, lastReport: ago(c.AgeMS),
		}
		if c.RunTimeS.Weight > 0 {
			r := moments(c.RunTimeS)
			m.runTimes[c.Class] = &r
		}
	}
	for _, b := range s.Baselines {
		m.baselines[b.Service] = &baseline{
			aloneReports: b.AloneReports, reports: b.Reports, lowLatency: b.LowMS,
			weight: b.Weight, cpu: b.Use, cpuSquare: b.UseSquare, latency: b.Latency, product: b.Product,
		}
	}
	for _, p := range s.Pairs {
		m.pairs[pairKey{p.Service, p.Class, p.Band}] = &harmEstimate{mean: p.Mean, variance: p.Variance, updated: ago(p.AgeMS)}
	}
	return m
}
