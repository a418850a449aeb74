// Package explain keeps a bounded number of decision records and answers why a
// task, a job or a worker is in the state that it is in.
package explain

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// Log is a bounded ring of decisions. The oldest make room for new ones.
// Repeated decisions of the same kind about a task or a worker share one
// record. It is safe for concurrent use.
type Log struct {
	mu      sync.Mutex
	records []record // ring
	next    int      // slot of the next record
	latest  map[key]int
	dropped int64
}

type key struct {
	task   structs.TaskID
	worker structs.WorkerID // of decisions without a task
}

type record struct {
	decision placement.Decision
	first    time.Duration
	count    int
}

// NewLog returns a log of at most limit records.
func NewLog(limit int) *Log {
	return &Log{records: make([]record, 0, limit), latest: make(map[key]int, limit)}
}

// Add takes in the decisions of a plan and the number of those that the plan
// had no room for.
func (l *Log) Add(decisions []placement.Decision, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += int64(dropped)
	for _, d := range decisions {
		l.add(d)
	}
}

func (l *Log) add(d placement.Decision) {
	k := keyOf(d)
	if at, found := l.latest[k]; found && same(l.records[at].decision, d) {
		r := &l.records[at]
		r.decision = d
		r.count++
		return
	}
	fresh := record{decision: d, first: d.At, count: 1}
	if len(l.records) < cap(l.records) {
		l.records = append(l.records, fresh)
		l.latest[k] = len(l.records) - 1
		return
	}
	if cap(l.records) == 0 {
		l.dropped++
		return
	}
	old := keyOf(l.records[l.next].decision)
	if l.latest[old] == l.next {
		delete(l.latest, old)
	}
	l.records[l.next] = fresh
	l.latest[k] = l.next
	l.next = (l.next + 1) % len(l.records)
}

func keyOf(d placement.Decision) key {
	if d.Task == (structs.TaskID{}) {
		return key{worker: d.Worker}
	}
	return key{task: d.Task}
}

// same reports whether two decisions differ only in time and figures.
func same(a, b placement.Decision) bool {
	return a.Action == b.Action && a.Reason == b.Reason && a.Worker == b.Worker && a.Subject == b.Subject
}

// Subject says what a report is about.
type Subject string

// Subjects of reports.
const (
	SubjectTask   Subject = "task"
	SubjectJob    Subject = "job"
	SubjectWorker Subject = "worker"
)

// Report returns the records about the subject, newest first, at the reading
// now of the leader's monotonic clock. It returns *structs.InvalidError for a
// subject or an ID that it can't read. A subject without records gives an
// empty report.
func (l *Log) Report(subject Subject, id string, now time.Duration) (Report, error) {
	match, err := matcher(subject, id)
	if err != nil {
		return Report{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Subject: subject, ID: id, Dropped: l.dropped, Decisions: []Decision{}}
	for i := range l.records {
		at := l.next - 1 - i
		if at < 0 {
			at += len(l.records)
		}
		if r := &l.records[at]; match(r.decision) {
			report.Decisions = append(report.Decisions, r.report(now))
		}
	}
	return report, nil
}

// matcher returns the test for decisions about the subject.
func matcher(subject Subject, id string) (func(placement.Decision) bool, error) {
	switch subject {
	case SubjectTask:
		task, err := structs.ParseTaskID(id)
		if err != nil {
			return nil, err
		}
		return func(d placement.Decision) bool { return d.Task == task }, nil
	case SubjectJob:
		job := structs.JobID(id)
		return func(d placement.Decision) bool { return d.Task.Job == job }, nil
	case SubjectWorker:
		return func(d placement.Decision) bool { return concerns(d, structs.WorkerID(id)) }, nil
	}
	return nil, &structs.InvalidError{Subject: "explain", Faults: []structs.Fault{{Path: "subject", Value: string(subject), Rule: "must be task, job or worker"}}}
}

// concerns reports whether the worker was chosen, lost by score or stands as
// the example of a filter.
func concerns(d placement.Decision, w structs.WorkerID) bool {
	if d.Worker == w {
		return true
	}
	for _, a := range d.Alternatives {
		if a.Worker == w {
			return true
		}
	}
	for _, x := range d.Rejected {
		if x.Example == w {
			return true
		}
	}
	return false
}
