package cell

import (
	"cmp"
	"slices"
	"sort"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of one log row. They keep a row small even when many events arrive at
// once.
const (
	maxEnds     = 256
	maxDrops    = 256
	maxStarts   = 128 // also the largest number of placements in one plan
	maxHandoffs = 64
	maxCloses   = 16
	maxAccepts  = 8
	maxFails    = 64
)

// recordLimit returns the bound of one kind of record. Benchmarks set a lower
// bound to measure the effect of grouping records.
func (l *leader) recordLimit(bound int) int {
	if l.options.maxRowRecords > 0 {
		return min(bound, l.options.maxRowRecords)
	}
	return bound
}

// renewalsBeforeTakeover is the number of times that a leader renews its
// leadership row within Timing.TakeoverAfter.
const renewalsBeforeTakeover = 3

// buildTxn collects all waiting changes into one transaction.
func (l *leader) buildTxn(now time.Time) *leaderTxn {
	l.mu.Lock()
	defer l.mu.Unlock()
	txn := &leaderTxn{renewLeadership: now.Sub(l.renewedAt) >= l.options.Timing.TakeoverAfter/renewalsBeforeTakeover}
	l.addSnapshot(txn)
	if txn.snapshot != nil {
		return txn
	}
	if !now.Before(l.quotas.nextCheck) {
		if l.addQuotaShares(txn, now); len(txn.quotas) > 0 {
			return txn
		}
	}
	l.addWorkerChanges(txn, now)
	l.addAccepts(txn)
	l.addEnds(txn, now)
	l.addDrops(txn)
	l.addCloses(txn)
	if l.isEvacuating() {
		l.addEvacuation(txn, now)
	} else {
		l.evictFromLeavingWorkers(now)
		l.addStarts(txn, now)
	}
	l.addSummary(txn, now)
	l.notifyMissedDeadlines(now)
	return txn
}

// workerRemovalDelay is the time without heartbeats after which a worker
// without assigned tasks is removed from the state.
const workerRemovalDelay = time.Hour

func (l *leader) addWorkerChanges(txn *leaderTxn, now time.Time) {
	for id, incarnation := range l.queue.incarnations {
		txn.batch.Workers = append(txn.batch.Workers, WorkerChange{Worker: id, Incarnation: incarnation, Crashed: l.crashSuspects(id, now)})
	}
	if l.recovered && now.Sub(l.leaseExpiry.acquiredAt) > workerRemovalDelay {
		l.addWorkerRemovals(txn, now)
	}
	slices.SortFunc(txn.batch.Workers, func(a, b WorkerChange) int { return cmp.Compare(a.Worker, b.Worker) })
}

// addWorkerRemovals adds the removal of workers without recent heartbeats.
func (l *leader) addWorkerRemovals(txn *leaderTxn, now time.Time) {
	for id := range l.state.Workers {
		session, found := l.sessions[id]
		if found && now.Sub(session.lastHeartbeatAt) < workerRemovalDelay {
			continue
		}
		if _, queued := l.queue.incarnations[id]; !queued && len(l.state.byWorker[id]) == 0 {
			txn.batch.Workers = append(txn.batch.Workers, WorkerChange{Worker: id})
		}
	}
}

// addEnds adds the reported ends, and the ends of attempts whose lease can no
// longer be in force.
func (l *leader) addEnds(txn *leaderTxn, now time.Time) {
	if l.isReceivingHeartbeats(now) {
		l.queueExpiredAttempts(now)
	}
	l.addQueuedEnds(txn)
}

// isReceivingHeartbeats reports whether the leader has run without a pause for
// long enough to have received a heartbeat from every worker that could reach
// it.
func (l *leader) isReceivingHeartbeats(now time.Time) bool {
	if now.Sub(l.builtAt) > l.options.Timing.MinHeartbeatInterval {
		l.resumedAt = now
	}
	l.builtAt = now
	return now.Sub(l.resumedAt) > 2*l.options.Timing.StartGrant
}

// queueExpiredAttempts queues the end of every attempt whose lease can no
// longer be in force.
func (l *leader) queueExpiredAttempts(now time.Time) {
	for worker, tasks := range l.state.byWorker {
		session := l.sessions[worker]
		for id, t := range tasks {
			attempt := structs.AttemptID{Task: id, Number: t.Number}
			var granted time.Time
			if session != nil {
				granted = session.leaseGrantedAt
			}
			if now.After(l.leaseExpiry.forJob(&t.job.Job).expiresAt(t.job.Job.Kind, granted, l.starts[attempt].committedAt)) {
				l.queueEnd(structs.AttemptEnd{Attempt: attempt, Cause: structs.EndLost, Detail: "worker is silent"})
			}
		}
	}
}

func (l *leader) addQueuedEnds(txn *leaderTxn) {
	for id, e := range l.queue.ends {
		if !l.state.acceptsEnd(id, e.Cause) {
			delete(l.queue.ends, id)
			continue
		}
		if len(txn.batch.Ends) < l.recordLimit(maxEnds) {
			txn.batch.Ends = append(txn.batch.Ends, newEnd(e))
		}
	}
	sort.Slice(txn.batch.Ends, func(i, k int) bool {
		a, b := txn.batch.Ends[i], txn.batch.Ends[k]
		return a.Job < b.Job || (a.Job == b.Job && a.Index < b.Index)
	})
}

// addDrops cancels the pending tasks of cancelled jobs.
func (l *leader) addDrops(txn *leaderTxn) {
	for _, job := range l.state.cancellingJobs {
		for _, t := range job.Tasks {
			if len(txn.batch.Drops) == maxDrops {
				return
			}
			if t.State == structs.TaskPending {
				txn.batch.Drops = append(txn.batch.Drops, newTaskRef(t.ID()))
			}
		}
	}
}

// addCloses writes the status rows of jobs whose tasks in this cell are all
// final, and removes the jobs from the state.
func (l *leader) addCloses(txn *leaderTxn) {
	for id, job := range l.state.finalJobs {
		if len(txn.batch.Closes) == maxCloses {
			return
		}
		if batchAcceptsJob(txn, id) {
			continue
		}
		txn.batch.Closes = append(txn.batch.Closes, id)
		txn.puts = append(txn.puts, substrate.Put{Key: statusKey(id, l.cell), Value: encode(job.Status)})
	}
}

// batchAcceptsJob reports whether the batch accepts tasks of the job.
func batchAcceptsJob(txn *leaderTxn, id structs.JobID) bool {
	return slices.ContainsFunc(txn.batch.Accepts, func(a Accept) bool { return a.Job.ID == id })
}
