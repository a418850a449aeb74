package burn

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Window is the length of the shortest period that counts are kept for.
const Window = 5 * time.Minute

// Request is one answered or refused request.
type Request struct {
	Team    structs.TeamID
	Kind    string
	Good    bool          // answered within the objective's latency
	Latency time.Duration // until the caller had the answer
	Outcome string        // such as "answered", "not_run" or "unknown"
	Away    []structs.FailureDomainID
}

// Job is one job that has reached its end or its deadline.
type Job struct {
	Team   structs.TeamID
	Class  string
	OnTime bool // finished by its deadline
}

// Task is one finished task. Away lists the failure domains that were out.
type Task struct {
	Team  structs.TeamID
	Class string
	Away  []structs.FailureDomainID
}

// Recorder counts in memory until a Flusher takes the counts over. Its methods
// may be called concurrently.
type Recorder struct {
	mu      sync.Mutex
	windows map[int64]*counts // by start, in Unix seconds
	metrics *metrics
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{windows: map[int64]*counts{}, metrics: newMetrics()}
}

func key(team structs.TeamID, name string) string { return string(team) + keySeparator + name }

// windowOf returns the start of the window of t, in Unix seconds.
func windowOf(t time.Time) int64 { return t.Truncate(Window).Unix() }

// update changes the counts of the present window.
func (r *Recorder) update(change func(c *counts) (counted bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := windowOf(time.Now())
	c, found := r.windows[start]
	if !found {
		c = newCounts()
		r.windows[start] = c
	}
	if !change(c) {
		r.metrics.lost("keys")
	}
}

// RecordRequest counts a request.
func (r *Recorder) RecordRequest(q Request) {
	r.update(func(c *counts) bool {
		item := at(c.Requests, key(q.Team, q.Kind))
		if item == nil {
			return false
		}
		if item.Latencies == nil {
			item.Latencies, item.Outcomes = newLatencies(), map[string]int64{}
		}
		item.Latencies.record(q.Latency)
		item.Outcomes[q.Outcome]++
		if !q.Good {
			item.Bad++
			return true
		}
		item.Good++
		for _, domain := range q.Away {
			if d := at(c.Domains, domain); d != nil {
				d.Requests++
			}
		}
		return true
	})
}

// RecordJob counts a job against its deadline.
func (r *Recorder) RecordJob(j Job) {
	r.update(func(c *counts) bool {
		item := at(c.Batch, key(j.Team, j.Class))
		if item == nil {
			return false
		}
		if j.OnTime {
			item.OnTime++
		} else {
			item.Late++
		}
		return true
	})
}

// RecordTask counts a finished task, also as completed while the failure
// domains in Away were out.
func (r *Recorder) RecordTask(t Task) {
	r.update(func(c *counts) bool {
		item := at(c.Batch, key(t.Team, t.Class))
		if item == nil {
			return false
		}
		item.Tasks++
		for _, domain := range t.Away {
			if d := at(c.Domains, domain); d != nil {
				d.Tasks++
			}
		}
		return true
	})
}

// RecordEviction counts an eviction of a task of the class.
func (r *Recorder) RecordEviction(team structs.TeamID, class string) {
	r.update(func(c *counts) bool {
		item := at(c.Batch, key(team, class))
		if item == nil {
			return false
		}
		item.Evictions++
		return true
	})
}

// take returns what was counted since the last call, by window.
func (r *Recorder) take() map[int64]*counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	taken := r.windows
	r.windows = map[int64]*counts{}
	return taken
}
