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

const step = 5 * time.Second

var declared = structs.Resources{MilliCPU: 4000, MemoryMB: 8192, Accelerators: 1}

func attempt(job string, index int32) structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: structs.JobID(job), Index: index}, Number: 1}
}

func resident(class string, index int32) Resident {
	return Resident{Attempt: attempt(class, index), Class: class, Share: 1}
}

// hosts plays a service on one worker whose neighbours change, with reports
// that arrive lag later than their window ends.
type hosts struct {
	model   *Model
	now     time.Duration
	lag     time.Duration
	random  *rand.Rand
	effects map[string]float64
	past    [][]Resident // residents in each step
}

func newHosts(lag time.Duration, effects map[string]float64) *hosts {
	return &hosts{model: New(Options{}), lag: lag, random: rand.New(rand.NewPCG(1, 2)), effects: effects}
}

// play runs one step with the residents beside the service.
func (h *hosts) play(beside ...Resident) {
	service := Resident{Attempt: attempt("slot-check", 0), Class: "slot-check", Kind: structs.WorkService, Share: 1}
	residents := append([]Resident{service}, beside...)
	h.model.Observe(h.now, "w1", residents)
	h.past = append(h.past, beside)
	h.now += step
	back := int(h.lag / step)
	if back >= len(h.past) {
		return
	}
	growth := 0.0
	for _, r := range h.past[len(h.past)-1-back] {
		growth += h.effects[r.Class] * r.Share
	}
	h.model.Learn(h.now, "w1", []Report{{
		Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService, Age: h.lag,
		Usage:     structs.Resources{MilliCPU: 2000},
		LatencyMS: 20 * (1 + growth) * math.Exp(h.random.NormFloat64()*0.05),
	}})
}

func (h *hosts) harm(class string) (mean, deviation float64) {
	return h.model.Harm("slot-check", class, h.model.Band("slot-check", structs.Resources{MilliCPU: 2000}))
}

func TestHarmIsLearnedForEachPairOfClasses(t *testing.T) {
	is := is.New(t)
	h := newHosts(0, map[string]float64{"pricing": 0.5, "report": 0.0})
	for i := range 300 {
		var beside []Resident
		if i%3 > 0 {
			beside = append(beside, resident("report", int32(i/20)))
		}
		if i%4 > 1 {
			beside = append(beside, resident("pricing", int32(i/20)))
		}
		h.play(beside...)
	}
	pricing, deviation := h.harm("pricing")
	is.True(math.Abs(pricing-0.5) < 0.1)
	is.True(deviation < 0.05)
	report, _ := h.harm("report")
	is.True(math.Abs(report) < 0.05)
}

func TestUntriedPairIsUncertain(t *testing.T) {
	is := is.New(t)
	h := newHosts(0, nil)
	for range 50 {
		h.play(resident("pricing", 0))
	}
	_, tried := h.harm("pricing")
	_, untried := h.harm("matching")
	is.True(tried < 0.05)
	is.Equal(untried, defaultPriorDeviation)
}

func TestLaggingReportsAreAttributedToWhoWasThere(t *testing.T) {
	for _, lag := range []time.Duration{0, 10 * time.Second, 30 * time.Second} {
		t.Run(lag.String(), func(t *testing.T) {
			is := is.New(t)
			h := newHosts(lag, map[string]float64{"pricing": 0.6})
			for range 30 {
				h.play() // quiet baseline
			}
			// The two classes take turns, so that a report judged by the present
			// residents would blame the wrong one.
			for i := range 200 {
				if (i/4)%2 == 0 {
					h.play(resident("pricing", int32(i/8)))
				} else {
					h.play(resident("report", int32(i/8)))
				}
			}
			pricing, _ := h.harm("pricing")
			report, _ := h.harm("report")
			is.True(math.Abs(pricing-0.6) < 0.1)
			is.True(math.Abs(report) < 0.05)
		})
	}
}

func TestAttributionCheckSeesAModelThatIgnoresLag(t *testing.T) {
	is := is.New(t)
	h := newHosts(20*time.Second, map[string]float64{"pricing": 0.6})
	for range 30 {
		h.play()
	}
	for i := range 200 {
		beside := resident("pricing", int32(i/8))
		if (i/4)%2 == 1 {
			beside = resident("report", int32(i/8))
		}
		h.play(beside)
		h.model.histories["w1"].entries[0].since = 0 // forget when anything began
		for j := range h.model.histories["w1"].entries {
			h.model.histories["w1"].entries[j].since = 0
		}
	}
	report, _ := h.harm("report")
	is.True(report > 0.1)
}

func TestThrottledNeighbourCountsByItsShare(t *testing.T) {
	is := is.New(t)
	h := newHosts(0, map[string]float64{"pricing": 0.8})
	for range 20 {
		h.play()
	}
	slow := resident("pricing", 0)
	slow.Share = 0.25
	for range 100 {
		h.play(slow)
	}
	pricing, _ := h.harm("pricing")
	is.True(math.Abs(pricing-0.8) < 0.2)
}

func TestWhatWasLearnedFadesWithTime(t *testing.T) {
	is := is.New(t)
	h := newHosts(0, map[string]float64{"pricing": 0.6})
	for range 20 {
		h.play()
	}
	for range 100 {
		h.play(resident("pricing", 0))
	}
	_, before := h.harm("pricing")
	h.now += 10 * 24 * time.Hour
	h.play()
	mean, after := h.harm("pricing")
	is.True(after > 5*before)
	is.True(mean < 0.1)
}

func TestUsageOverridesDeclaredSize(t *testing.T) {
	for _, c := range []struct {
		name string
		cpu  int64
		want int64 // reserved at most, at least
	}{
		{"declared four times too large", 1000, 1500},
		{"declared four times too small", 16000, 17000},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			m := New(Options{})
			is.Equal(m.Reserve("pricing", declared), declared)
			for i := range 200 {
				m.Learn(time.Duration(i)*step, "w1", []Report{{Class: "pricing", Usage: structs.Resources{MilliCPU: c.cpu, MemoryMB: 2048}}})
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
		now += step
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
		now += step
		m.Learn(now, "w1", []Report{{Attempt: service.Attempt, Class: "slot-check", Kind: structs.WorkService,
			Usage: structs.Resources{MilliCPU: use}, LatencyMS: latency(use)}})
	}
	m.Observe(0, "w1", []Resident{service})
	for use := int64(1000); use < 1500; use += 10 {
		report(use)
	}
	// The load grows on while a harmless neighbour is there.
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

func TestSuccessorKnowsWhatTheLeaderLearned(t *testing.T) {
	is := is.New(t)
	h := newHosts(0, map[string]float64{"pricing": 0.6})
	for i := range 200 {
		if i%2 == 0 {
			h.play()
		} else {
			h.play(resident("pricing", int32(i)))
		}
	}
	h.model.Learn(h.now, "w1", []Report{{Class: "pricing", Usage: structs.Resources{MilliCPU: 700, MemoryMB: 900}}})
	h.model.LearnProgress("pricing", 0.5, time.Minute)
	data, err := json.Marshal(h.model.State(h.now))
	is.NoErr(err)
	var state State
	is.NoErr(json.Unmarshal(data, &state))

	// The successor's clock has a reading of its own.
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

func TestModelForgetsWhatIsNoLongerInUse(t *testing.T) {
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
	const kept = 4*60/5 + 2 // classes seen within four half-lives
	is.True(len(m.histories) <= 2)
	is.True(len(m.pairs) > 0)
	is.True(len(m.pairs) <= kept)
	is.True(len(m.usage) <= kept)
	is.True(len(m.runTimes) <= kept)
	_, known := m.Baseline("slot-check", structs.Resources{MilliCPU: 2000})
	is.True(known) // still in use
}
