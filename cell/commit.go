package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// work is the content of one transaction of a leader.
type work struct {
	batch    Batch
	compares []substrate.Compare // besides the leadership row
	puts     []substrate.Put     // besides the log row
	deletes  []string
	renew    bool // write the leadership row
	release  bool // give the leadership up with it
	sequence map[structs.WorkerID]int64
	snapshot *builtSnapshot
	quotas   []quotaWrite
	summary  *Summary
}

func (w *work) empty() bool {
	return !w.renew && w.batch.Empty() && len(w.puts) == 0 && len(w.deletes) == 0
}

// commit writes the work in one transaction that compares the leadership row,
// and applies it. It returns *structs.ConflictError when a comparison failed.
func (l *leader) commit(ctx context.Context, w *work) error {
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: append([]substrate.Compare{{Key: leaderKey(l.cell), Revision: l.revision}}, w.compares...),
		Puts:     w.puts,
		Deletes:  w.deletes,
	}
	seq := l.state.Seq + 1
	size := 0
	witness := leaderKey(l.cell)
	row := l.row
	if w.renew || w.batch.Empty() {
		row.Renewals++
		row.Released = w.release
		pending, assigned := l.state.Counts()
		row.Empty = w.release && l.ready && pending+assigned == 0
		row.Ride, row.Lease = l.bounds(time.Now(), w.release)
		txn.Puts = append(txn.Puts, substrate.Put{Key: leaderKey(l.cell), Value: encode(row)})
	}
	if !w.batch.Empty() {
		w.batch.Seq, w.batch.Epoch = seq, l.epoch
		next := l.log.next()
		witness = logKey(l.cell, next.slot)
		value := encode(&w.batch)
		size = len(value)
		txn.Compares = append(txn.Compares, substrate.Compare{Key: witness, Revision: next.revision})
		txn.Puts = append(txn.Puts, substrate.Put{Key: witness, Value: value})
	}
	revision, sent, err := l.settler.commit(ctx, txn, witness)
	if err != nil {
		return err
	}
	if w.renew || w.batch.Empty() {
		l.row, l.revision, l.renewed = row, revision, sent
	}
	if !w.batch.Empty() {
		l.log.wrote(revision, seq)
	}
	if w.snapshot != nil {
		l.log.cover(w.snapshot.pointer.Seq)
	}
	count(l.metrics.commits, 1)
	count(l.metrics.logBytes, size)
	count(l.metrics.records, w.batch.Records())
	l.applied(seq, w, revision, sent)
	return nil
}

// bounds returns what this leader and those before it may still grant.
func (l *leader) bounds(now time.Time, released bool) (ride, lease KindDurations) {
	t := l.o.Timing
	longest := max(l.lapse.ride.Batch+l.lapse.lease.Batch, l.lapse.ride.Service+l.lapse.lease.Service)
	past := now.Sub(l.lapse.tookOver) > t.drifted(longest) // every earlier leader's last lease is over
	switch {
	case past && released:
		return KindDurations{}, t.Lease
	case past:
		return t.Ride, t.Lease
	case released:
		return l.lapse.ride, l.row.Lease
	}
	return t.Ride.max(l.lapse.ride), t.Lease.max(l.row.Lease)
}

// applied takes a committed transaction into the state and queues its effects
// for the agents.
func (l *leader) applied(seq int64, w *work, revision int64, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if sent.After(l.proof) {
		l.proof = sent
	}
	if w.summary != nil {
		l.summary = summaryRow{written: time.Now(), last: *w.summary}
	}
	l.acceptsApplied(w)
	l.quotasApplied(w, revision)
	if w.batch.Empty() {
		return
	}
	now := time.Now()
	for _, e := range w.batch.Ends {
		l.ended(e)
	}
	l.state.Apply(seq, &w.batch)
	l.observeBatch(&w.batch, now)
	for _, change := range w.batch.Workers {
		if l.queue.workers[change.Worker] == change.Incarnation {
			delete(l.queue.workers, change.Worker)
		}
		if change.Incarnation == "" {
			delete(l.views, change.Worker)
		}
	}
	for _, s := range w.batch.Starts {
		l.committed[s.attempt()] = now
		delete(l.pendingAt, s.attempt().Task)
		delete(l.reasons, s.attempt().Task)
		delete(l.retryAt, s.attempt().Task)
		l.assign(s, w.sequence[s.Worker])
	}
	count(l.metrics.starts, len(w.batch.Starts))
	count(l.metrics.handoffs, len(w.batch.Moves))
	l.signal()
}

// ended drops what the leader remembers of an attempt whose end is committed
// and about to be applied.
func (l *leader) ended(e End) {
	id := e.attempt()
	delete(l.queue.ends, id)
	delete(l.committed, id)
	l.metrics.countEnd(e.Cause)
	t := l.state.Task(id.Task)
	if t == nil {
		return
	}
	if e.Cause == structs.EndFailed {
		l.retryAt[id.Task] = time.Now().Add(retryDelay(len(t.FailedOn)))
	}
	v, found := l.views[t.Worker]
	if !found {
		return
	}
	delete(v.asked, id)
	delete(v.usage, id)
	if run, reported := v.runs[id]; reported && over(run) {
		delete(v.runs, id)
		v.forget[id] = struct{}{}
	}
	switch e.Cause {
	case structs.EndFailed:
		v.failed++
		l.observeOutcome(t, true)
	case structs.EndFinished:
		v.finished++
		l.observeOutcome(t, false)
	}
}

// maxOutcomes bounds the ends of attempts that a leader remembers.
const maxOutcomes = 512

// observeOutcome remembers the end of an attempt for the planner.
func (l *leader) observeOutcome(t *Task, failed bool) {
	if len(l.outcomes) == maxOutcomes {
		l.outcomes = slices.Delete(l.outcomes, 0, maxOutcomes/2)
	}
	l.outcomes = append(l.outcomes, Outcome{
		At: time.Now(), Task: t.ID(), Class: t.Job().Class, Worker: t.Worker, Failed: failed,
	})
}

// Bounds of the delay between a failed attempt and the next one.
const (
	minRetry = time.Second
	maxRetry = time.Minute
)

// retryDelay grows with the number of earlier failures.
func retryDelay(failures int) time.Duration {
	return min(minRetry<<min(failures, 10), maxRetry)
}
