package cell

import (
	"slices"
	"sort"
	"time"

	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/structs"
)

// Bounds of one log row. They keep a row small whatever arrives at once.
const (
	maxEnds    = 256
	maxDrops   = 256
	maxStarts  = 128
	maxMoves   = 64
	maxCloses  = 16
	maxAccepts = 8
	maxFails   = 64
)

// renewalsPerTerm is the number of renewals that a leader makes within the
// term after which others take over.
const renewalsPerTerm = 3

// compose collects everything that waits into one transaction.
func (l *leader) compose(now time.Time) *work {
	l.mu.Lock()
	defer l.mu.Unlock()
	w := &work{renew: now.Sub(l.renewed) >= l.o.Timing.Term/renewalsPerTerm}
	l.composeSnapshot(w)
	if w.snapshot != nil {
		return w
	}
	l.composeWorkers(w)
	l.composeAccepts(w)
	l.composeEnds(w, now)
	l.composeDrops(w)
	l.composeCloses(w)
	if l.evacuating() {
		l.composeMoves(w, now)
	} else {
		l.evictLeaving(now)
		l.composeStarts(w, now)
	}
	l.composeSummary(w, now)
	return w
}

func (l *leader) composeWorkers(w *work) {
	for id, incarnation := range l.queue.workers {
		w.batch.Workers = append(w.batch.Workers, WorkerChange{Worker: id, Incarnation: incarnation})
	}
	slices.SortFunc(w.batch.Workers, func(a, b WorkerChange) int {
		if a.Worker < b.Worker {
			return -1
		}
		return 1
	})
}

// composeEnds takes the reported ends and those of attempts whose lease has
// surely lapsed.
func (l *leader) composeEnds(w *work, now time.Time) {
	for worker, tasks := range l.state.byWorker {
		v := l.views[worker]
		for id, t := range tasks {
			attempt := structs.AttemptID{Task: id, Number: t.Number}
			var granted time.Time
			if v != nil {
				granted = v.granted
			}
			if now.After(l.lapse.lapsesAt(t.job.Job.Kind, granted, l.committed[attempt])) {
				l.queueEnd(structs.AttemptEnd{Attempt: attempt, Cause: structs.EndLost, Detail: "worker is silent"})
			}
		}
	}
	for id, e := range l.queue.ends {
		if !l.isAssigned(id) {
			delete(l.queue.ends, id)
			continue
		}
		if len(w.batch.Ends) < maxEnds {
			w.batch.Ends = append(w.batch.Ends, endOf(e))
		}
	}
	sort.Slice(w.batch.Ends, func(i, k int) bool {
		a, b := w.batch.Ends[i], w.batch.Ends[k]
		return a.Job < b.Job || (a.Job == b.Job && a.Index < b.Index)
	})
}

// composeDrops cancels pending tasks of cancelled jobs.
func (l *leader) composeDrops(w *work) {
	for _, job := range l.state.cancelling {
		for _, t := range job.Tasks {
			if len(w.batch.Drops) == maxDrops {
				return
			}
			if t.State == structs.TaskPending {
				w.batch.Drops = append(w.batch.Drops, refOf(t.ID()))
			}
		}
	}
}

// composeCloses reports the jobs whose tasks here are all final and forgets
// them.
func (l *leader) composeCloses(w *work) {
	for id, job := range l.state.settled {
		if len(w.batch.Closes) == maxCloses {
			return
		}
		if acceptsJob(w, id) {
			continue
		}
		w.batch.Closes = append(w.batch.Closes, id)
		w.puts = append(w.puts, platform.Put{Key: statusKey(id, l.cell), Value: encode(job.Status)})
	}
}

// acceptsJob reports whether the batch takes in tasks of the job.
func acceptsJob(w *work, id structs.JobID) bool {
	return slices.ContainsFunc(w.batch.Accepts, func(a Accept) bool { return a.Job.ID == id })
}
