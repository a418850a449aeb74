// Package estimate learns from lagging reports what classes of work use, how
// long they run, and how much each harms the tail latency of each service that
// it shares a worker with. Declared sizes and run times are priors only.
package estimate

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Model holds what was learned. It is not safe for concurrent use; between
// changes it may be read concurrently.
type Model struct {
	options   Options
	usage     map[string]*usageStat
	runTimes  map[string]*moments
	baselines map[string]*baseline // by service class
	pairs     map[pairKey]*effect
	histories map[structs.WorkerID]*history
	learned   time.Duration // time of the last report, for decay
}

// New returns a model that has learned nothing.
func New(options Options) *Model {
	return &Model{
		options:   options.complete(),
		usage:     map[string]*usageStat{},
		runTimes:  map[string]*moments{},
		baselines: map[string]*baseline{},
		pairs:     map[pairKey]*effect{},
		histories: map[structs.WorkerID]*history{},
	}
}

// Resident is a run on a worker.
type Resident struct {
	Attempt structs.AttemptID
	Class   string
	Kind    structs.WorkKind
	Share   float64 // of processor time in force, 1 when not throttled
}

// Observe records which runs a worker has from now on, by the leader's
// monotonic clock. Reports that arrive later are judged by who was there when
// they were measured.
func (m *Model) Observe(now time.Duration, worker structs.WorkerID, residents []Resident) {
	h, found := m.histories[worker]
	if !found {
		h = &history{}
		m.histories[worker] = h
	}
	h.add(now, residents, now-m.options.Horizon)
}

// Forget drops what is known about the residents of a worker that has left.
func (m *Model) Forget(worker structs.WorkerID) { delete(m.histories, worker) }

// Report is a lagging measurement of one run.
type Report struct {
	Attempt   structs.AttemptID
	Class     string
	Kind      structs.WorkKind
	Usage     structs.Resources // used on average over the window
	Age       time.Duration     // time since the end of the window
	LatencyMS float64           // tail latency of a service, 0 if not measured
}

// Learn takes in the reports of a worker that arrived at now.
func (m *Model) Learn(now time.Duration, worker structs.WorkerID, reports []Report) {
	for i := range reports {
		r := &reports[i]
		m.learnUsage(r)
		if r.Kind == structs.WorkService && r.LatencyMS > 0 {
			m.learnLatency(now, worker, r)
		}
	}
	m.learned = max(m.learned, now)
}
