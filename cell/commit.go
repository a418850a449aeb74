package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// leaderTxn is the content of one transaction of a leader.
type leaderTxn struct {
	batch             Batch
	comparisons       []substrate.Compare        // comparisons of rows other than the leadership row
	puts              []substrate.Put            // writes of rows other than the log row
	deletes           []string                   // keys of the rows to delete
	renewLeadership   bool                       // the transaction also writes the leadership row
	releaseLeadership bool                       // the transaction marks the leadership row as released
	heartbeatSeqs     map[structs.WorkerID]int64 // by worker, sequence number of the heartbeat that the starts are based on
	snapshot          *storedSnapshot
	quotas            []quotaWrite
	summary           *Summary
}

func (txn *leaderTxn) empty() bool {
	return !txn.renewLeadership && txn.batch.Empty() && len(txn.puts) == 0 && len(txn.deletes) == 0
}

// commit writes the transaction, which also compares the leadership row, and
// applies it to the state. It returns *structs.ConflictError when a comparison
// failed.
func (l *leader) commit(ctx context.Context, txn *leaderTxn) error {
	tableTxn := substrate.Txn{
		ID:       newTxnID(),
		Compares: append([]substrate.Compare{{Key: leaderKey(l.cell), Revision: l.revision}}, txn.comparisons...),
		Puts:     txn.puts,
		Deletes:  txn.deletes,
	}
	seq := l.state.Seq + 1
	size := 0
	witnessKey := leaderKey(l.cell)
	row := l.row
	if txn.renewLeadership || txn.batch.Empty() {
		row.Renewals++
		row.Released = txn.releaseLeadership
		row.Empty = txn.releaseLeadership && l.holdsNoTasks()
		row.RideOut, row.Lease = l.grantBounds(time.Now(), txn.releaseLeadership)
		tableTxn.Puts = append(tableTxn.Puts, substrate.Put{Key: leaderKey(l.cell), Value: encode(row)})
	}
	if !txn.batch.Empty() {
		txn.batch.Seq, txn.batch.Epoch = seq, l.epoch
		next := l.log.nextRow()
		witnessKey = logKey(l.cell, next.slot)
		value := encode(&txn.batch)
		size = len(value)
		tableTxn.Compares = append(tableTxn.Compares, substrate.Compare{Key: witnessKey, Revision: next.revision})
		tableTxn.Puts = append(tableTxn.Puts, substrate.Put{Key: witnessKey, Value: value})
	}
	revision, sentAt, err := l.client.commit(ctx, tableTxn, witnessKey)
	if err != nil {
		return err
	}
	if txn.renewLeadership || txn.batch.Empty() {
		l.row, l.revision, l.renewedAt = row, revision, sentAt
	}
	if !txn.batch.Empty() {
		l.log.recordWrite(revision, seq)
	}
	if txn.snapshot != nil {
		l.log.releaseCovered(txn.snapshot.pointer.Seq)
	}
	count(l.metrics.commits, 1)
	count(l.metrics.logBytes, size)
	count(l.metrics.records, txn.batch.Records())
	l.applyCommitted(seq, txn, revision, sentAt)
	return nil
}

// grantBounds returns the longest ride-out time and lease that this leader and
// the earlier leaders may still use.
func (l *leader) grantBounds(now time.Time, released bool) (rideOut, lease KindDurations) {
	t := l.options.Timing
	longestGrant := max(l.leaseExpiry.earlierRideOut.Batch+l.leaseExpiry.longestLease.Batch, l.leaseExpiry.earlierRideOut.Service+l.leaseExpiry.longestLease.Service)
	earlierLeasesExpired := now.Sub(l.leaseExpiry.acquiredAt) > t.withClockDrift(longestGrant)
	switch {
	case earlierLeasesExpired && released:
		return KindDurations{}, t.Lease
	case earlierLeasesExpired:
		return t.RideOut, t.Lease
	case released:
		return l.leaseExpiry.earlierRideOut, l.row.Lease
	}
	return t.RideOut.max(l.leaseExpiry.earlierRideOut), t.Lease.max(l.row.Lease)
}

// applyCommitted applies a committed transaction to the state and queues its
// effects for the agents.
func (l *leader) applyCommitted(seq int64, txn *leaderTxn, revision int64, sentAt time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sentAt.After(l.provedAt) {
		l.provedAt = sentAt
	}
	if txn.summary != nil {
		l.summary = publishedSummary{writtenAt: time.Now(), summary: *txn.summary}
	}
	l.removeAcceptedInbox(txn)
	l.applyQuotaWrites(txn, revision)
	if txn.batch.Empty() {
		return
	}
	now := time.Now()
	for _, e := range txn.batch.Ends {
		l.removeEndedAttempt(e)
	}
	l.state.Apply(seq, &txn.batch)
	l.notifyBatch(&txn.batch, now)
	for _, change := range txn.batch.Workers {
		l.delayCrashed(change, now)
		if l.queue.incarnations[change.Worker] == change.Incarnation {
			delete(l.queue.incarnations, change.Worker)
		}
		if change.Incarnation == "" {
			delete(l.sessions, change.Worker)
		}
	}
	for _, s := range txn.batch.Starts {
		l.starts[s.attempt()] = startRecord{committedAt: now, pendingSince: l.pendingSince[s.attempt().Task]}
		delete(l.pendingSince, s.attempt().Task)
		delete(l.unschedulable, s.attempt().Task)
		delete(l.retryAt, s.attempt().Task)
		l.queueAssignment(s, txn.heartbeatSeqs[s.Worker])
	}
	count(l.metrics.starts, len(txn.batch.Starts))
	count(l.metrics.handoffs, len(txn.batch.Moves))
	l.wakeLoop()
}

// removeEndedAttempt removes the leader's own records of an attempt whose end
// is committed and about to be applied, and records its outcome.
func (l *leader) removeEndedAttempt(e End) {
	id := e.attempt()
	delete(l.queue.ends, id)
	if start := l.starts[id]; e.Cause == structs.EndNotStarted && !start.pendingSince.IsZero() {
		l.pendingSince[id.Task] = start.pendingSince // the task has waited all the time
	}
	delete(l.starts, id)
	l.metrics.countEnd(e.Cause)
	t := l.state.Task(id.Task)
	if t == nil {
		return
	}
	if e.Cause == structs.EndFailed {
		l.retryAt[id.Task] = time.Now().Add(attemptRetryDelay(len(t.FailedOn)))
	}
	session, found := l.sessions[t.Worker]
	if !found {
		return
	}
	delete(session.actionQueuedAt, id)
	delete(session.usage, id)
	if run, reported := session.runs[id]; reported && isRunOver(run) {
		delete(session.runs, id)
		session.deletableRuns[id] = struct{}{}
	}
	switch e.Cause {
	case structs.EndFailed:
		session.failedCount++
		l.recordOutcome(t, true)
	case structs.EndFinished:
		session.finishedCount++
		l.recordOutcome(t, false)
	}
}

// maxOutcomes bounds the outcomes of attempts that a leader keeps.
const maxOutcomes = 512

// recordOutcome stores the end of an attempt for the planner.
func (l *leader) recordOutcome(t *Task, failed bool) {
	if len(l.outcomes) == maxOutcomes {
		l.outcomes = slices.Delete(l.outcomes, 0, maxOutcomes/2)
	}
	l.outcomes = append(l.outcomes, Outcome{
		At: time.Now(), Task: t.ID(), Class: t.Job().Class, Worker: t.Worker, Failed: failed,
	})
}

// Bounds of the delay between a failed attempt and the next one.
const (
	minAttemptRetryDelay = time.Second
	maxAttemptRetryDelay = time.Minute
)

// attemptRetryDelay returns the delay after the given number of failures.
func attemptRetryDelay(failures int) time.Duration {
	return min(minAttemptRetryDelay<<min(failures, 10), maxAttemptRetryDelay)
}
