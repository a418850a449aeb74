// Package estimate estimates from the reports of workers how many resources a
// class of work uses, how long its tasks run, and how much they harm services
// on the same worker. Harm is the relative growth of a service's tail latency.
// Reports arrive with a delay. Declared sizes and run times are used as priors.
//
// The package has no clock, goroutines or locks. The leader of a cell owns the
// Model and guards it.
package estimate

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Model holds the estimates. It implements placement.Estimates. Concurrent
// reads are safe, but a change must not overlap any other call.
type Model struct {
	options    Options
	usage      map[string]*usageStat     // by class
	runTimes   map[string]*moments       // run time of a whole task in seconds, by class
	baselines  map[string]*baseline      // by service class
	pairs      map[pairKey]*harmEstimate // harm of one task of a class to a service
	histories  map[structs.WorkerID]*history
	lastReport time.Duration // time of the last report
	lastPrune  time.Duration // time of the last prune
}

// New returns a model without reports.
func New(options Options) *Model {
	return &Model{
		options:   options.withDefaults(),
		usage:     map[string]*usageStat{},
		runTimes:  map[string]*moments{},
		baselines: map[string]*baseline{},
		pairs:     map[pairKey]*harmEstimate{},
		histories: map[structs.WorkerID]*history{},
	}
}

// Resident is a run on a worker.
type Resident struct {
	Attempt structs.AttemptID
	Class   string
	Kind    structs.WorkKind
	Share   float64 // share of processor time that it may use, 1 when not throttled
}

// Observe records the runs that a worker has from now on, where now is a
// reading of the leader's monotonic clock. Learn attributes a report to the
// runs at the time of its measurement.
func (m *Model) Observe(now time.Duration, worker structs.WorkerID, residents []Resident) {
	h, found := m.histories[worker]
	if !found {
		h = &history{}
		m.histories[worker] = h
	}
	h.lastObserved = now
	h.add(now, residents, now-m.options.Horizon)
}

// Report is a delayed measurement of one run.
type Report struct {
	Attempt   structs.AttemptID
	Class     string
	Kind      structs.WorkKind
	Usage     structs.Resources // mean usage over the window
	Age       time.Duration     // time since the end of the window
	LatencyMS float64           // tail latency of a service, 0 if not measured
}

// Learn updates the estimates from the reports of a worker that arrived at now.
func (m *Model) Learn(now time.Duration, worker structs.WorkerID, reports []Report) {
	for i := range reports {
		r := &reports[i]
		m.learnUsage(now, r)
		if r.Kind == structs.WorkService && r.LatencyMS > 0 {
			m.learnLatency(now, worker, r)
		}
	}
	m.lastReport = max(m.lastReport, now)
	if now-m.lastPrune >= m.options.Horizon {
		m.lastPrune = now
		m.prune(now)
	}
}

// expiryHalfLives is the number of half-lives without reports after which a
// class or a pair is removed.
const expiryHalfLives = 4

// prune removes workers without recent observations, and classes and pairs
// without recent reports, so that the size of the model is bounded by the
// workers and classes in use.
func (m *Model) prune(now time.Duration) {
	for worker, h := range m.histories {
		if now-h.lastObserved > m.options.Horizon {
			delete(m.histories, worker)
		}
	}
	expiry := expiryHalfLives * m.options.HalfLife
	for key, e := range m.pairs {
		if now-e.updated > expiry {
			delete(m.pairs, key)
		}
	}
	for class, u := range m.usage {
		if now-u.lastReport > expiry {
			delete(m.usage, class)
			delete(m.runTimes, class)
			delete(m.baselines, class)
		}
	}
}
