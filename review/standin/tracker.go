package main

import (
	"sync"
	"time"
)

// seenRun is what the runners have seen of one run.
type seenRun struct {
	runner  string
	run     int
	started time.Time
	ended   time.Time // zero while it runs
	how     string
	noted   time.Time // when last_seen reached its end, zero before
}

// tracker holds all runs of all runners by task.
type tracker struct {
	rec   *record
	mu    sync.Mutex
	tasks map[string][]*seenRun
}

func newTracker(rec *record) *tracker { return &tracker{rec: rec, tasks: map[string][]*seenRun{}} }

func (t *tracker) started(r *runner, v *run) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tasks[v.task] = append(t.tasks[v.task], &seenRun{runner: r.name, run: v.number, started: time.Now()})
	t.rec.add("runner %s: starts %s run %d", r.name, v.task, v.number)
}

func (t *tracker) ended(r *runner, v *run, how string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.add("runner %s: ends %s run %d, %s", r.name, v.task, v.number, how)
	for _, s := range t.tasks[v.task] {
		if s.run == v.number && s.runner == r.name && s.ended.IsZero() {
			s.ended, s.how = time.Now(), how
		}
	}
}

func (t *tracker) noted(r *runner, e *end) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.rec.add("runner %s: end %d of %s run %d is taken note of", r.name, e.number, e.task, e.run)
	for _, s := range t.tasks[e.task] {
		if s.run == e.run && s.runner == r.name && s.how == e.how {
			s.noted = time.Now()
		}
	}
}

// all calls visit for the runs of each task.
func (t *tracker) all(visit func(task string, runs []*seenRun)) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for task, runs := range t.tasks {
		visit(task, runs)
	}
}

// count returns the number of runs of the job that satisfy ok.
func (t *tracker) count(job string, ok func(*seenRun) bool) int {
	n := 0
	t.all(func(task string, runs []*seenRun) {
		if jobOf(task) != job {
			return
		}
		for _, s := range runs {
			if ok(s) {
				n++
			}
		}
	})
	return n
}

// working returns how many runs of the job are at work.
func (t *tracker) working(job string) int {
	return t.count(job, func(s *seenRun) bool { return s.ended.IsZero() })
}

// runningNow returns how many runs of all jobs are at work.
func (t *tracker) runningNow() int {
	n := 0
	t.all(func(_ string, runs []*seenRun) {
		for _, s := range runs {
			if s.ended.IsZero() {
				n++
			}
		}
	})
	return n
}
