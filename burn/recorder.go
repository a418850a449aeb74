package burn

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Window is the shortest period for which counts are stored.
const Window = 5 * time.Minute

// Request is one completed or rejected request.
type Request struct {
	Team       structs.TeamID
	Kind       string
	Good       bool                      // answered within the latency that the objective allows
	Latency    time.Duration             // time until the caller received the response
	Outcome    string                    // such as "answered", "not_run" or "unknown"
	OutDomains []structs.FailureDomainID // failure domains that were out of service when the request ended
}

// Job is one job that has ended or has missed its deadline.
type Job struct {
	Team   structs.TeamID
	Class  string
	OnTime bool // finished by its deadline
}

// Task is one finished batch task. OutDomains lists the failure domains that
// were out of service when it finished.
type Task struct {
	Team       structs.TeamID
	Class      string
	OutDomains []structs.FailureDomainID
}

// Recorder counts events in memory until a Flusher drains them. It is safe for
// concurrent use.
type Recorder struct {
	mu      sync.Mutex
	windows map[int64]*counts // by start of the window in Unix seconds
	metrics *metrics
}

// NewRecorder returns an empty recorder.
func NewRecorder() *Recorder {
	return &Recorder{windows: map[int64]*counts{}, metrics: newMetrics()}
}

func countsKey(team structs.TeamID, name string) string { return string(team) + keySeparator + name }

// windowStart returns the start of the window that contains t, in Unix seconds.
func windowStart(t time.Time) int64 { return t.Truncate(Window).Unix() }

// update applies change to the counts of the current window. It counts a
// dropped event if change returns false.
func (r *Recorder) update(change func(c *counts) (counted bool)) {
	r.mu.Lock()
	defer r.mu.Unlock()
	start := windowStart(time.Now())
	c, found := r.windows[start]
	if !found {
		c = newCounts()
		r.windows[start] = c
	}
	if !change(c) {
		r.metrics.countDropped("keys")
	}
}

// RecordRequest counts a request.
func (r *Recorder) RecordRequest(q Request) {
	r.update(func(c *counts) bool {
		item := getOrCreate(c.Requests, countsKey(q.Team, q.Kind))
		if item == nil {
			return false
		}
		if item.Latencies == nil {
			item.Latencies, item.Outcomes = newLatencyHistogram(), map[string]int64{}
		}
		item.Latencies.record(q.Latency)
		item.Outcomes[q.Outcome]++
		if !q.Good {
			item.Bad++
			return true
		}
		item.Good++
		for _, domain := range q.OutDomains {
			if d := getOrCreate(c.Domains, domain); d != nil {
				d.Requests++
			}
		}
		return true
	})
}

// RecordJob counts a job as on time or late.
func (r *Recorder) RecordJob(j Job) {
	r.update(func(c *counts) bool {
		item := getOrCreate(c.Batch, countsKey(j.Team, j.Class))
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

// RecordTask counts a finished task, both for its class and for each failure
// domain that was out of service.
func (r *Recorder) RecordTask(t Task) {
	r.update(func(c *counts) bool {
		item := getOrCreate(c.Batch, countsKey(t.Team, t.Class))
		if item == nil {
			return false
		}
		item.Tasks++
		for _, domain := range t.OutDomains {
			if d := getOrCreate(c.Domains, domain); d != nil {
				d.Tasks++
			}
		}
		return true
	})
}

// RecordEviction counts the eviction of a batch task.
func (r *Recorder) RecordEviction(team structs.TeamID, class string) {
	r.update(func(c *counts) bool {
		item := getOrCreate(c.Batch, countsKey(team, class))
		if item == nil {
			return false
		}
		item.Evictions++
		return true
	})
}

// drain returns the counts recorded since the previous drain, by start of the
// window, and resets them.
func (r *Recorder) drain() map[int64]*counts {
	r.mu.Lock()
	defer r.mu.Unlock()
	drained := r.windows
	r.windows = map[int64]*counts{}
	return drained
}
