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
	pruned    time.Duration // time when faded entries were last dropped
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
	h.seen = now
	h.add(now, residents, now-m.options.Horizon)
}

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
		m.learnUsage(now, r)
		if r.Kind == structs.WorkService && r.LatencyMS > 0 {
			m.learnLatency(now, worker, r)
		}
	}
	m.learned = max(m.learned, now)
	if now-m.pruned >= m.options.Horizon {
		m.pruned = now
		m.prune(now)
	}
}

// fadedHalfLives is the number of half-lives without news after which a class
// or a pair is forgotten.
const fadedHalfLives = 4

// prune forgets workers that are gone, and classes and pairs without news, so
// that the model stays bounded by what is in use.
func (m *Model) prune(now time.Duration) {
	for worker, h := range m.histories {
		if now-h.seen > m.options.Horizon {
			delete(m.histories, worker)
		}
	}
	faded := fadedHalfLives * m.options.HalfLife
	for key, e := range m.pairs {
		if now-e.at > faded {
			delete(m.pairs, key)
		}
	}
	for class, u := range m.usage {
		if now-u.seen > faded {
			delete(m.usage, class)
			delete(m.runTimes, class)
			delete(m.baselines, class)
		}
	}
}
