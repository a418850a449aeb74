// Package explain keeps a bounded log of placement decisions and explains with
// it the state of a task, job or worker. It also builds the event timeline of a
// request from the daemons' logs.
package explain

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// DecisionLog is a ring buffer of decision records. When the buffer is full, a
// new record replaces the oldest one. Repeated decisions of the same kind about
// a task or a worker share one record. DecisionLog is safe for concurrent use.
type DecisionLog struct {
	mu          sync.Mutex
	records     []record // ring buffer
	nextSlot    int      // index of the oldest record once the buffer is full
	latestSlots map[recordKey]int
	dropped     int64
}

type recordKey struct {
	task   structs.TaskID
	worker structs.WorkerID // set only for decisions without a task
}

type record struct {
	decision placement.Decision
	firstAt  time.Duration
	count    int
}

// NewDecisionLog returns a log that holds at most limit records.
func NewDecisionLog(limit int) *DecisionLog {
	return &DecisionLog{records: make([]record, 0, limit), latestSlots: make(map[recordKey]int, limit)}
}

// Add records the decisions of a plan. dropped is the number of decisions that
// the plan itself left out.
func (l *DecisionLog) Add(decisions []placement.Decision, dropped int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.dropped += int64(dropped)
	for _, d := range decisions {
		l.add(d)
	}
}

func (l *DecisionLog) add(d placement.Decision) {
	k := keyOf(d)
	if slot, found := l.latestSlots[k]; found && isRepeat(l.records[slot].decision, d) {
		r := &l.records[slot]
		r.decision = d
		r.count++
		return
	}
	newRecord := record{decision: d, firstAt: d.At, count: 1}
	if len(l.records) < cap(l.records) {
		l.records = append(l.records, newRecord)
		l.latestSlots[k] = len(l.records) - 1
		return
	}
	if cap(l.records) == 0 {
		l.dropped++
		return
	}
	evictedKey := keyOf(l.records[l.nextSlot].decision)
	if l.latestSlots[evictedKey] == l.nextSlot {
		delete(l.latestSlots, evictedKey)
	}
	l.records[l.nextSlot] = newRecord
	l.latestSlots[k] = l.nextSlot
	l.nextSlot = (l.nextSlot + 1) % len(l.records)
}

func keyOf(d placement.Decision) recordKey {
	if d.Task == (structs.TaskID{}) {
		return recordKey{worker: d.Worker}
	}
	return recordKey{task: d.Task}
}

// isRepeat reports whether two decisions differ only in their time and numbers.
func isRepeat(a, b placement.Decision) bool {
	return a.Action == b.Action && a.Reason == b.Reason && a.Worker == b.Worker && a.Subject == b.Subject
}

// Subject is the kind of object that a report is about.
type Subject string

// Subjects of reports.
const (
	SubjectTask   Subject = "task"
	SubjectJob    Subject = "job"
	SubjectWorker Subject = "worker"
)

// Report returns the records about the subject, the newest first. It computes
// their ages from now, a reading of the leader's monotonic clock. It returns a
// *structs.InvalidError for an unknown subject or an invalid ID. A subject
// without records gives an empty report.
func (l *DecisionLog) Report(subject Subject, id string, now time.Duration) (Report, error) {
	match, err := matcher(subject, id)
	if err != nil {
		return Report{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Subject: subject, ID: id, Dropped: l.dropped, Decisions: []Decision{}}
	for i := range l.records {
		slot := l.nextSlot - 1 - i
		if slot < 0 {
			slot += len(l.records)
		}
		if r := &l.records[slot]; match(r.decision) {
			report.Decisions = append(report.Decisions, r.report(now))
		}
	}
	return report, nil
}

// matcher returns a function that selects the decisions about the subject.
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
		return func(d placement.Decision) bool { return involvesWorker(d, structs.WorkerID(id)) }, nil
	}
	return nil, &structs.InvalidError{Subject: "explain", Faults: []structs.Fault{{Path: "subject", Value: string(subject), Rule: "must be task, job or worker"}}}
}

// involvesWorker reports whether the decision chose the worker, rejected it by
// its score, or names it as an example of the workers that a filter excluded.
func involvesWorker(d placement.Decision, w structs.WorkerID) bool {
	if d.Worker == w {
		return true
	}
	for _, alternative := range d.Alternatives {
		if alternative.Worker == w {
			return true
		}
	}
	for _, rejection := range d.Rejected {
		if rejection.Example == w {
			return true
		}
	}
	return false
}
