package estimate

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// maxWeight is the maximum weight of a running mean, in reports, so that it
// follows changes.
const maxWeight = 200.0

// moments holds running means of values and of their squares, with a bounded
// weight.
type moments struct {
	Mean, Square, Weight float64
}

func (s *moments) add(x float64) {
	s.Weight = min(s.Weight+1, maxWeight)
	s.Mean += (x - s.Mean) / s.Weight
	s.Square += (x*x - s.Square) / s.Weight
}

// priorHalvingReports is the number of reports after which the prior has lost
// half of its weight.
const priorHalvingReports = 10.0

// withPrior returns the mean and the standard deviation including the prior.
// Before the first report, the prior has the given weight, in reports. Its
// weight decreases as reports are added.
func (s *moments) withPrior(prior, weight float64) (mean, deviation float64) {
	weight /= 1 + s.Weight/priorHalvingReports
	total := s.Weight + weight
	mean = (s.Mean*s.Weight + prior*weight) / total
	square := (s.Square*s.Weight + prior*prior*weight) / total
	return mean, math.Sqrt(max(0, square-mean*mean))
}

// usageStat is the usage of one class.
type usageStat struct {
	cpu, memory moments
	peakMemory  float64       // decaying maximum, in mebibytes
	lastReport  time.Duration // time of the last report
}

// learnUsage updates the usage of the report's class.
func (m *Model) learnUsage(now time.Duration, r *Report) {
	u, found := m.usage[r.Class]
	if !found {
		u = &usageStat{}
		m.usage[r.Class] = u
	}
	u.lastReport = now
	u.cpu.add(float64(r.Usage.MilliCPU))
	u.memory.add(float64(r.Usage.MemoryMB))
	const peakDecay = 0.999
	u.peakMemory = max(u.peakMemory*peakDecay, float64(r.Usage.MemoryMB))
}

// memoryMargin is the minimum memory reservation as a multiple of the observed
// peak. It has a margin because memory can't be throttled.
const memoryMargin = 1.10

// Reserve returns the resources to commit for one task of the class.
// Accelerators are whole devices and are reserved as declared.
func (m *Model) Reserve(class string, declared structs.Resources) structs.Resources {
	u, found := m.usage[class]
	if !found {
		return declared
	}
	weight := m.options.PriorWeight
	cpu, cpuDeviation := u.cpu.withPrior(float64(declared.MilliCPU), weight)
	memory, memoryDeviation := u.memory.withPrior(float64(declared.MemoryMB), weight)
	return structs.Resources{
		MilliCPU:     roundUp(cpu+m.options.ReserveSigma*cpuDeviation, cpuStep),
		MemoryMB:     roundUp(max(memory+m.options.ReserveSigma*memoryDeviation, memoryMargin*u.peakMemory), memoryStep),
		Accelerators: declared.Accelerators,
	}
}

// Usage returns the expected usage of one task of the class.
func (m *Model) Usage(class string, declared structs.Resources) structs.Resources {
	u, found := m.usage[class]
	if !found {
		return declared
	}
	cpu, _ := u.cpu.withPrior(float64(declared.MilliCPU), m.options.PriorWeight)
	memory, _ := u.memory.withPrior(float64(declared.MemoryMB), m.options.PriorWeight)
	return structs.Resources{MilliCPU: int64(cpu), MemoryMB: int64(memory), Accelerators: declared.Accelerators}
}

// Reservations are rounded up to multiples of these steps, so that tasks of a
// class reserve the same amount.
const (
	cpuStep    = 50 // thousandths of a processor
	memoryStep = 64 // mebibytes
)

func roundUp(x float64, step int64) int64 {
	return int64(math.Ceil(x/float64(step))) * step
}

// LearnProgress updates the run time of the class from a run that did a share
// of its work, 0 to 1, in the elapsed time.
func (m *Model) LearnProgress(class string, share float64, elapsed time.Duration) {
	if share <= 0 || elapsed <= 0 {
		return
	}
	s, found := m.runTimes[class]
	if !found {
		s = &moments{}
		m.runTimes[class] = s
	}
	s.add(elapsed.Seconds() / share)
}

// RunTime returns a cautious estimate of the run time of a whole task of the
// class.
func (m *Model) RunTime(class string, declared time.Duration) time.Duration {
	s, found := m.runTimes[class]
	if !found {
		return declared
	}
	mean, deviation := s.withPrior(declared.Seconds(), m.options.PriorWeight)
	return time.Duration((mean + m.options.RunTimeSigma*deviation) * float64(time.Second))
}
