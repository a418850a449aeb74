package estimate

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// maxWeight bounds the memory of running means, in reports, so that they
// follow changes.
const maxWeight = 200.0

// moments is a running mean and variance with a bounded memory.
type moments struct {
	Mean, Square, Weight float64
}

func (s *moments) add(x float64) {
	s.Weight = min(s.Weight+1, maxWeight)
	s.Mean += (x - s.Mean) / s.Weight
	s.Square += (x*x - s.Square) / s.Weight
}

// priorFade is the number of reports after which the prior has lost half of
// its weight.
const priorFade = 10.0

// blend returns the mean and deviation with the prior counted as weight
// reports, and as fewer the more reports there are.
func (s *moments) blend(prior, weight float64) (mean, deviation float64) {
	weight /= 1 + s.Weight/priorFade
	total := s.Weight + weight
	mean = (s.Mean*s.Weight + prior*weight) / total
	square := (s.Square*s.Weight + prior*prior*weight) / total
	return mean, math.Sqrt(max(0, square-mean*mean))
}

// usageStat is the usage of one class.
type usageStat struct {
	cpu, memory moments
	peakMemory  float64
	seen        time.Duration // last report
}

func (m *Model) learnUsage(now time.Duration, r *Report) {
	u, found := m.usage[r.Class]
	if !found {
		u = &usageStat{}
		m.usage[r.Class] = u
	}
	u.seen = now
	u.cpu.add(float64(r.Usage.MilliCPU))
	u.memory.add(float64(r.Usage.MemoryMB))
	const peakDecay = 0.999
	u.peakMemory = max(u.peakMemory*peakDecay, float64(r.Usage.MemoryMB))
}

// memoryMargin is what is reserved of memory beyond the peak that was seen,
// since memory can't be throttled.
const memoryMargin = 1.10

// Reserve returns the resources to commit for one task of the class.
// Accelerators are whole devices and always as declared.
func (m *Model) Reserve(class string, declared structs.Resources) structs.Resources {
	u, found := m.usage[class]
	if !found {
		return declared
	}
	weight := m.options.PriorWeight
	cpu, cpuDeviation := u.cpu.blend(float64(declared.MilliCPU), weight)
	memory, memoryDeviation := u.memory.blend(float64(declared.MemoryMB), weight)
	return structs.Resources{
		MilliCPU:     roundUp(cpu+m.options.ReserveSigma*cpuDeviation, cpuStep),
		MemoryMB:     roundUp(max(memory+m.options.ReserveSigma*memoryDeviation, memoryMargin*u.peakMemory), memoryStep),
		Accelerators: declared.Accelerators,
	}
}

// Usage returns the resources that one task of the class is expected to use.
func (m *Model) Usage(class string, declared structs.Resources) structs.Resources {
	u, found := m.usage[class]
	if !found {
		return declared
	}
	cpu, _ := u.cpu.blend(float64(declared.MilliCPU), m.options.PriorWeight)
	memory, _ := u.memory.blend(float64(declared.MemoryMB), m.options.PriorWeight)
	return structs.Resources{MilliCPU: int64(cpu), MemoryMB: int64(memory), Accelerators: declared.Accelerators}
}

// Steps of reserved resources. Coarse steps keep tasks of a class alike.
const (
	cpuStep    = 50 // thousandths of a processor
	memoryStep = 64 // mebibytes
)

func roundUp(x float64, step int64) int64 {
	return int64(math.Ceil(x/float64(step))) * step
}

// LearnProgress takes in that a run of the class did a share of its work, 0 to
// 1, in the elapsed time.
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

// RunTime returns a cautious run time of a whole task of the class.
func (m *Model) RunTime(class string, declared time.Duration) time.Duration {
	s, found := m.runTimes[class]
	if !found {
		return declared
	}
	mean, deviation := s.blend(declared.Seconds(), m.options.PriorWeight)
	return time.Duration((mean + m.options.RunTimeSigma*deviation) * float64(time.Second))
}
