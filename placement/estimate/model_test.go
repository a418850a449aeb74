package estimate

import (
	"encoding/json"
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

const stepDuration = 5 * time.Second

var declared = structs.Resources{MilliCPU: 4000, MemoryMB: 8192, Accelerators: 1}

func attempt(job string, index int32) structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: structs.JobID(job), Index: index}, Number: 1}
}

func resident(class string, index int32) Resident {
	return Resident{Attempt: attempt(class, index), Class: class, Share: 1}
}

// simulatedHost simulates a service on one worker with changing neighbours.
// Each report arrives some time after the end of its window.
type simulatedHost struct {
	model            *Model
	now              time.Duration
	lag              time.Duration
	random           *rand.Rand
	effects          map[string]float64
	neighboursByStep [][]Resident // neighbours of the service in each step
}

func newSimulatedHost(lag time.Duration, effects map[string]float64) *simulatedHost {
	return &simulatedHost{model: New(Options{}), lag: lag, random: rand.New(rand.NewPCG(1, 2)), effects: effects}
}

// runStep simulates one step with the residents on the service's worker.
func (h *simulatedHost) runStep(neighbours ...Resident) {
	service := Resident{Attempt: attempt("slot-check", 0), Class: "slot-check", Kind: structs.WorkService, Share: 1}
	residents := append([]Resident{service}, neighbours...)
	h.model.Observe(h.now, "w1", residents)
	h.neighboursByStep = append(h.neighboursByStep, neighbours)
	h.now += stepDuration
	lagSteps := int(h.lag / stepDuration)
	if lagSteps >= len(h.neighboursByStep) {
		return
	}
	growth := 0.0
	for _, r := range h.neighboursByStep[len(h.neighboursByStep)-1-lagSteps] {
		growth += h.effects[r.Class] * r.Share
	}
	h.model.Learn(h.now, "w1", []Report{{
		Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService, Age: h.lag,
		Usage:     structs.Resources{MilliCPU: 2000},
		LatencyMS: 20 * (1 + growth) * math.Exp(h.random.NormFloat64()*0.05),
	}})
}

func (h *simulatedHost) harm(class string) (mean, deviation float64) {
	return h.model.Harm("slot-check", class, h.model.Band("slot-check", structs.Resources{MilliCPU: 2000}))
}

func TestHarmIsLearnedForEachPairOfClasses(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(0, map[string]float64{"pricing": 0.5, "report": 0.0})
	for i := range 300 {
		var beside []Resident
		if i%3 > 0 {
			beside = append(beside, resident("report", int32(i/20)))
		}
		if i%4 > 1 {
			beside = append(beside, resident("pricing", int32(i/20)))
		}
		h.runStep(beside...)
	}
	pricing, deviation := h.harm("pricing")
	is.True(math.Abs(pricing-0.5) < 0.1)
	is.True(deviation < 0.05)
	report, _ := h.harm("report")
	is.True(math.Abs(report) < 0.05)
}

func TestUntriedPairIsUncertain(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(0, nil)
	for range 50 {
		h.runStep(resident("pricing", 0))
	}
	_, tried := h.harm("pricing")
	_, untried := h.harm("matching")
	is.True(tried < 0.05)
	is.Equal(untried, defaultPriorDeviation)
}

func TestDelayedReportsAreAttributedToNeighboursAtMeasurement(t *testing.T) {
	for _, lag := range []time.Duration{0, 10 * time.Second, 30 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			h := newSimulatedHost(lag, map[string]float64{"pricing": 0.6})
			for range 30 {
				h.runStep() // baseline without neighbours
			}
			// The two classes alternate, so that attributing a report to the
			// present residents would select the wrong class.
			for i := range 200 {
				if (i/4)%2 == 0 {
					h.runStep(resident("pricing", int32(i/8)))
				} else {
					h.runStep(resident("report", int32(i/8)))
				}
			}
			pricing, _ := h.harm("pricing")
			report, _ := h.harm("report")
			is.True(math.Abs(pricing-0.6) < 0.1)
			is.True(math.Abs(report) < 0.05)
		})
	}
}

func TestAttributionCheckFailsWhenLagIsIgnored(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(20*time.Second, map[string]float64{"pricing": 0.6})
	for range 30 {
		h.runStep()
	}
	for i := range 200 {
		beside := resident("pricing", int32(i/8))
		if (i/4)%2 == 1 {
			beside = resident("report", int32(i/8))
		}
		h.runStep(beside)
		h.model.histories["w1"].entries[0].since = 0 // erase the start times
		for j := range h.model.histories["w1"].entries {
			h.model.histories["w1"].entries[j].since = 0
		}
	}
	report, _ := h.harm("report")
	is.True(report > 0.1)
}

func TestHarmEstimateAccountsForNeighbourThrottling(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(0, map[string]float64{"pricing": 0.8})
	for range 20 {
		h.runStep()
	}
	slow := resident("pricing", 0)
	slow.Share = 0.25
	for range 100 {
		h.runStep(slow)
	}
	pricing, _ := h.harm("pricing")
	is.True(math.Abs(pricing-0.8) < 0.2)
}

func TestHarmEstimateDecaysWithTime(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(0, map[string]float64{"pricing": 0.6})
	for range 20 {
		h.runStep()
	}
	for range 100 {
		h.runStep(resident("pricing", 0))
	}
	_, before := h.harm("pricing")
	h.now += 10 * 24 * time.Hour
	h.runStep()
	mean, after := h.harm("pricing")
	is.True(after > 5*before)
	is.True(mean < 0.1)
}

func TestUsageOverridesDeclaredSize(t *testing.T) {
	for _, c := range []struct {
		name string
		cpu  int64
		want int64 // upper bound of the reservation unless 130 % of cpu is larger
	}{
		{"declared four times too large", 1000, 1500},
		{"declared four times too small", 16000, 17000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New(Options{})
			is.Equal(m.Reserve("pricing", declared), declared)
			for i := range 200 {
				m.Learn(time.Duration(i)*stepDuration, "w1", []Report{{Class: "pricing", Usage: structs.Resources{MilliCPU: c.cpu, MemoryMB: 2048}}})
			}
			got := m.Reserve("pricing", declared)
			is.True(got.MilliCPU >= c.cpu*95/100)
			is.True(got.MilliCPU <= max(c.want, c.cpu*130/100))
			is.True(got.MemoryMB >= 2048)
			is.Equal(got.Accelerators, declared.Accelerators)
		})
	}
}

func TestRunTimeComesFromObservedProgress(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	is.Equal(m.RunTime("matching", time.Hour), time.Hour)
	for range 50 {
		m.LearnProgress("matching", 0.01, 3*time.Minute)
	}
	got := m.RunTime("matching", time.Hour)
	is.True(got > 290*time.Minute)
	is.True(got < 340*time.Minute)
}

func TestHarmGrowsWithLoadBand(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	service := Resident{Attempt: attempt("slot-check", 0), Class: "slot-check", Kind: structs.WorkService, Share: 1}
	now := time.Duration(0)
	for i := range 400 {
		usage, growth := int64(1000), 0.02
		if i%2 == 0 {
			usage, growth = 4000, 0.5
		}
		residents := []Resident{service}
		if i%4 > 1 {
			residents = append(residents, resident("pricing", int32(i)))
		} else {
			growth = 0
		}
		m.Observe(now, "w1", residents)
		now += stepDuration
		m.Learn(now, "w1", []Report{{Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService,
			Usage: structs.Resources{MilliCPU: usage}, LatencyMS: 20 * (1 + growth)}})
	}
	low, _ := m.Harm("slot-check", "pricing", m.Band("slot-check", structs.Resources{MilliCPU: 1000}))
	high, _ := m.Harm("slot-check", "pricing", m.Band("slot-check", structs.Resources{MilliCPU: 4000}))
	is.True(low < 0.1)
	is.True(high > 0.4)
}

func TestBaselineFollowsTheLoadOfTheService(t *testing.T) {
	is := is.New(t)
	m := New(Options{})
	service := Resident{Attempt: attempt("slot-check", 0), Class: "slot-check", Kind: structs.WorkService, Share: 1}
	now := time.Duration(0)
	latency := func(use int64) float64 { return 20 + float64(use)/100 }
	report := func(use int64) {
		now += stepDuration
		m.Learn(now, "w1", []Report{{Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService,
			Usage: structs.Resources{MilliCPU: use}, LatencyMS: latency(use)}})
	}
	m.Observe(0, "w1", []Resident{service})
	for use := int64(1000); use < 1500; use += 10 {
		report(use)
	}
	// The load keeps growing beside a harmless neighbour.
	m.Observe(now, "w1", []Resident{service, resident("report", 0)})
	for use := int64(1500); use < 2500; use += 10 {
		report(use)
	}
	for _, use := range []int64{1000, 2000, 2500} {
		got, known := m.Baseline("slot-check", structs.Resources{MilliCPU: use})
		is.True(known)
		is.True(math.Abs(got/latency(use)-1) < 0.05)
	}
	harm, _ := m.Harm("slot-check", "report", m.Band("slot-check", structs.Resources{MilliCPU: 2400}))
	is.True(math.Abs(harm) < 0.05)
}

func TestHistoryStaysBounded(t *testing.T) {
	is := is.New(t)
	m := New(Options{Horizon: time.Minute})
	for i := range 10000 {
		m.Observe(time.Duration(i)*time.Second, "w1", []Resident{resident(fmt.Sprint(i%7), int32(i))})
	}
	is.True(len(m.histories["w1"].entries) <= 62)
}

func TestRestoredModelHasSameEstimates(t *testing.T) {
	is := is.New(t)
	h := newSimulatedHost(0, map[string]float64{"pricing": 0.6})
	for i := range 200 {
		if i%2 == 0 {
			h.runStep()
		} else {
			h.runStep(resident("pricing", int32(i)))
		}
	}
	h.model.Learn(h.now, "w1", []Report{{Class: "pricing", Usage: structs.Resources{MilliCPU: 700, MemoryMB: 900}}})
	h.model.LearnProgress("pricing", 0.5, time.Minute)
	data, err := json.Marshal(h.model.State(h.now))
	is.NoErr(err)
	var state State
	is.NoErr(json.Unmarshal(data, &state))

	// The successor has its own monotonic clock.
	const clock = time.Hour
	next := Restore(Options{}, state, clock)
	usage := structs.Resources{MilliCPU: 2000}
	band := next.Band("slot-check", usage)
	wantMean, wantDeviation := h.harm("pricing")
	mean, deviation := next.Harm("slot-check", "pricing", band)
	is.True(math.Abs(mean-wantMean) < 1e-6)
	is.True(math.Abs(deviation-wantDeviation) < 1e-6)
	want, _ := h.model.Baseline("slot-check", usage)
	got, known := next.Baseline("slot-check", usage)
	is.True(known)
	is.Equal(got, want)
	is.Equal(next.Reserve("pricing", declared), h.model.Reserve("pricing", declared))
	is.Equal(next.RunTime("pricing", time.Hour), h.model.RunTime("pricing", time.Hour))
	again, err := json.Marshal(next.State(clock))
	is.NoErr(err)
	is.Equal(string(again), string(data))
}

func TestModelDropsUnusedWorkersAndClasses(t *testing.T) {
	is := is.New(t)
	m := New(Options{Horizon: time.Minute, HalfLife: time.Hour})
	now := time.Duration(0)
	for i := range 3000 {
		class, worker := fmt.Sprintf("class-%d", i), structs.WorkerID(fmt.Sprintf("w%d", i))
		service := Resident{Attempt: attempt("slot-check", 0), Class: "slot-check", Kind: structs.WorkService, Share: 1}
		m.Observe(now, worker, []Resident{service, resident(class, 0)})
		now += 5 * time.Minute
		m.LearnProgress(class, 1, time.Minute)
		m.Learn(now, worker, []Report{
			{Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService, Usage: structs.Resources{MilliCPU: 2000}, LatencyMS: 20},
			{Attempt: attempt(class, 0), Class: class, Kind: structs.WorkBatch, Usage: structs.Resources{MilliCPU: 1000}},
		})
	}
	const maxKept = 4*60/5 + 2 // classes seen within four half-lives
	is.True(len(m.histories) <= 2)
	is.True(len(m.pairs) > 0)
	is.True(len(m.pairs) <= maxKept)
	is.True(len(m.usage) <= maxKept)
	is.True(len(m.runTimes) <= maxKept)
	_, known := m.Baseline("slot-check", structs.Resources{MilliCPU: 2000})
	is.True(known) // still in use
}
