package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Observer receives the outcomes of the work of a cell for service-level
// counters. Its methods must not block. A change of leaders may lose an event
// or repeat it, so correctness must not depend on the events.
type Observer interface {
	// AttemptEnded is called for each committed end of an attempt.
	AttemptEnded(job *structs.Job, cause structs.EndCause)
	// JobOutcomeKnown is called once for the part of a job in this cell, when
	// the part is final or the job's deadline has passed. onTime reports
	// whether the part finished by the deadline.
	JobOutcomeKnown(job *structs.Job, onTime bool)
}

// noopObserver ignores all events.
type noopObserver struct{}

func (noopObserver) AttemptEnded(*structs.Job, structs.EndCause) {}
func (noopObserver) JobOutcomeKnown(*structs.Job, bool)          {}

// notifyBatch notifies the observer of a batch that was applied.
func (l *leader) notifyBatch(b *Batch, now time.Time) {
	touched := map[structs.JobID]bool{}
	for _, e := range b.Ends {
		if job, found := l.state.Jobs[e.Job]; found {
			l.options.Observer.AttemptEnded(&job.Job, e.Cause)
			touched[e.Job] = true
		}
	}
	for _, f := range b.Fails {
		touched[f.Job] = true
	}
	for id := range touched {
		if job, found := l.state.Jobs[id]; found && job.openTasks == 0 {
			l.notifyJobSettled(job, now)
		}
	}
}

// notifyJobSettled notifies the observer of a batch job that has no open tasks
// left in this cell. A job with cancelled tasks counts neither as on time nor
// as late.
func (l *leader) notifyJobSettled(job *JobState, now time.Time) {
	if job.Job.Kind != structs.WorkBatch || l.missedDeadline[job.Job.ID] || job.Status.Cancelled > 0 {
		return
	}
	beforeDeadline := job.Job.Deadline.IsZero() || !now.After(job.Job.Deadline)
	l.options.Observer.JobOutcomeKnown(&job.Job, beforeDeadline && job.Status.Failed == 0)
}

// deadlineCheckPeriod is the time between two checks of the deadlines.
const deadlineCheckPeriod = time.Second

// notifyMissedDeadlines notifies the observer of open jobs whose deadline has
// passed. Deadlines that passed before this leadership began are skipped,
// because an earlier leader reported them.
func (l *leader) notifyMissedDeadlines(now time.Time) {
	if now.Sub(l.deadlinesCheckedAt) < deadlineCheckPeriod {
		return
	}
	l.deadlinesCheckedAt = now
	for id, job := range l.state.Jobs {
		deadline := job.Job.Deadline
		if job.openTasks == 0 || deadline.IsZero() || !now.After(deadline) || l.missedDeadline[id] {
			continue
		}
		l.missedDeadline[id] = true
		if deadline.After(l.startedAt) {
			l.options.Observer.JobOutcomeKnown(&job.Job, false)
		}
	}
	for id := range l.missedDeadline {
		if _, found := l.state.Jobs[id]; !found {
			delete(l.missedDeadline, id)
		}
	}
}
