package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Observer learns what happened to the work of a cell, for service-level
// counters. Its methods must not block. A change of leaders may lose an event
// or repeat one; nothing may depend on it.
type Observer interface {
	// AttemptEnded tells of the committed end of an attempt.
	AttemptEnded(job *structs.Job, cause structs.EndCause)
	// JobSettled tells once whether the part of a job in this cell finished by
	// its deadline: when it has finished, or when the deadline has passed.
	JobSettled(job *structs.Job, onTime bool)
}

// noObserver is told nothing.
type noObserver struct{}

func (noObserver) AttemptEnded(*structs.Job, structs.EndCause) {}
func (noObserver) JobSettled(*structs.Job, bool)               {}

// observeBatch tells the observer of a batch that was applied.
func (l *leader) observeBatch(b *Batch, now time.Time) {
	touched := map[structs.JobID]bool{}
	for _, e := range b.Ends {
		if job, found := l.state.Jobs[e.Job]; found {
			l.o.Observer.AttemptEnded(&job.Job, e.Cause)
			touched[e.Job] = true
		}
	}
	for _, f := range b.Fails {
		touched[f.Job] = true
	}
	for id := range touched {
		if job, found := l.state.Jobs[id]; found && job.open == 0 {
			l.observeSettled(job, now)
		}
	}
}

// observeSettled tells the observer of a part of a job without open tasks.
// What its team has cancelled counts neither way.
func (l *leader) observeSettled(job *JobState, now time.Time) {
	if job.Job.Kind != structs.WorkBatch || l.late[job.Job.ID] || job.Status.Cancelled > 0 {
		return
	}
	inTime := job.Job.Deadline.IsZero() || !now.After(job.Job.Deadline)
	l.o.Observer.JobSettled(&job.Job, inTime && job.Status.Failed == 0)
}

// deadlineCheck is the time between looks at the deadlines.
const deadlineCheck = time.Second

// observeDeadlines tells the observer of open jobs whose deadline has passed.
// Deadlines that had passed before this leader began were an earlier leader's
// to tell.
func (l *leader) observeDeadlines(now time.Time) {
	if now.Sub(l.deadlines) < deadlineCheck {
		return
	}
	l.deadlines = now
	for id, job := range l.state.Jobs {
		deadline := job.Job.Deadline
		if job.open == 0 || deadline.IsZero() || !now.After(deadline) || l.late[id] {
			continue
		}
		l.late[id] = true
		if deadline.After(l.began) {
			l.o.Observer.JobSettled(&job.Job, false)
		}
	}
	for id := range l.late {
		if _, found := l.state.Jobs[id]; !found {
			delete(l.late, id)
		}
	}
}
