package cell

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of one log row. They keep a row small whatever arrives at once.
const (
	maxEnds    = 256
	maxDrops   = 256
	maxStarts  = 128 // also the number of placements taken from one plan
	maxMoves   = 64
	maxCloses  = 16
	maxAccepts = 8
	maxFails   = 64
)

// rowLimit returns the bound of one kind of record. Benchmarks lower it to
// measure what packing gives.
func (l *leader) rowLimit(bound int) int {
	if l.o.rowRecords > 0 {
		return min(bound, l.o.rowRecords)
	}
	return bound
}

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
	if !now.Before(l.quotas.next) {
		if l.composeQuotas(w, now); len(w.quotas) > 0 {
			return w
		}
	}
	l.composeWorkers(w, now)
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
	l.observeDeadlines(now)
	return w
}

// forgetAfter is the time after which a silent worker that holds nothing is
// forgotten.
const forgetAfter = time.Hour

func (l *leader) composeWorkers(w *work, now time.Time) {
	for id, incarnation := range l.queue.workers {
		w.batch.Workers = append(w.batch.Workers, WorkerChange{Worker: id, Incarnation: incarnation})
	}
	if l.ready && now.Sub(l.lapse.tookOver) > forgetAfter {
		l.forgetWorkers(w, now)
	}
	slices.SortFunc(w.batch.Workers, func(a, b WorkerChange) int { return cmp.Compare(a.Worker, b.Worker) })
}

// forgetWorkers drops workers that have been gone for long.
func (l *leader) forgetWorkers(w *work, now time.Time) {
	for id := range l.state.Workers {
		v, found := l.views[id]
		if found && now.Sub(v.seen) < forgetAfter {
			continue
		}
		if _, queued := l.queue.workers[id]; !queued && len(l.state.byWorker[id]) == 0 {
			w.batch.Workers = append(w.batch.Workers, WorkerChange{Worker: id})
		}
	}
}

// composeEnds takes the reported ends and those of attempts whose lease has
// surely lapsed.
func (l *leader) composeEnds(w *work, now time.Time) {
	if l.listening(now) {
		l.queueLapses(now)
	}
	l.takeEnds(w)
}

// listening reports whether the leader has run without a pause for long enough
// to have heard every worker that could reach it.
func (l *leader) listening(now time.Time) bool {
	if now.Sub(l.composed) > l.o.Timing.Heartbeat {
		l.resumed = now
	}
	l.composed = now
	return now.Sub(l.resumed) > 2*l.o.Timing.Grant
}

// queueLapses ends the attempts whose lease has surely lapsed.
func (l *leader) queueLapses(now time.Time) {
	for worker, tasks := range l.state.byWorker {
		v := l.views[worker]
		for id, t := range tasks {
			attempt := structs.AttemptID{Task: id, Number: t.Number}
			var granted time.Time
			if v != nil {
				granted = v.granted
			}
			if now.After(l.lapse.forJob(&t.job.Job).lapsesAt(t.job.Job.Kind, granted, l.committed[attempt])) {
				l.queueEnd(structs.AttemptEnd{Attempt: attempt, Cause: structs.EndLost, Detail: "worker is silent"})
			}
		}
	}
}

func (l *leader) takeEnds(w *work) {
	for id, e := range l.queue.ends {
		if !l.state.takesEnd(id, e.Cause) {
			delete(l.queue.ends, id)
			continue
		}
		if len(w.batch.Ends) < l.rowLimit(maxEnds) {
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
		w.puts = append(w.puts, substrate.Put{Key: statusKey(id, l.cell), Value: encode(job.Status)})
	}
}

// acceptsJob reports whether the batch takes in tasks of the job.
func acceptsJob(w *work, id structs.JobID) bool {
	return slices.ContainsFunc(w.batch.Accepts, func(a Accept) bool { return a.Job.ID == id })
}
