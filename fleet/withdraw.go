package fleet

import (
	"math/rand/v2"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// withdrawal is the state of a leader whose last batches the store has refused.
type withdrawal struct {
	count   int64            // refused batches since the last stored one
	retry   <-chan time.Time // when the next batch is due, nil if it may start
	removes []substrate.PartRow
}

// withdrawCommit takes back a batch that the store has refused and never applies. Its
// changes go into the next one, and its submissions may be refused.
func (l *leader) withdrawCommit(result commitResult) {
	err := result.refused
	pause := min(commitPauseMin<<min(l.withdrawn.count, 10), commitPauseMax)
	l.commitInFlight = false
	l.withdrawn.count++
	l.withdrawn.retry = time.After(pause/2 + rand.N(pause))
	if l.withdrawn.count == 1 {
		l.log.Warn("commits refused by the store", zap.Int("jobs", len(l.committingJobs)), zap.Error(err))
	}
	l.metrics.count(l.metrics.withdrawnCommits, "refused")
	l.dropUnstoredBounds()
	withdrawnJobs := l.committingJobs
	jobs := slices.Clone(withdrawnJobs)
	l.committingJobs = nil
	for _, j := range jobs {
		j.acceptanceSent = j.stored
		j.onStored, j.committingOnStored = append(j.committingOnStored, j.onStored...), nil
		j.onLost, j.committingOnLost = append(j.committingOnLost, j.onLost...), nil
	}
	jobs = slices.DeleteFunc(jobs, func(j *job) bool { return j.isDirty }) // changed meanwhile
	for _, j := range jobs {
		j.isDirty = true
	}
	l.dirtyJobs = append(jobs, l.dirtyJobs...)
	if result.isInvalid {
		l.narrowBatch(withdrawnJobs, err)
	}
	for _, row := range l.committingModels {
		switch row.Key {
		case modelKey:
			l.writtenInterference, l.interferenceCheckedAt = "", 0
		case runTimesKey:
			l.runTimes.hasUnstored, l.runTimes.writtenAt = true, 0
		}
	}
	if l.commitStalled() {
		l.refuseUncommittedJobs()
	}
}

// narrowBatch limits the next batch after one that the store does not accept as it is,
// so that the row at fault is found in a few batches. It fails a job whose rows are refused
// without any others.
func (l *leader) narrowBatch(jobs []*job, err error) {
	l.metrics.count(l.metrics.withdrawnCommits, "not valid")
	if len(jobs) == 1 && len(l.committingModels) == 0 {
		l.failToStore(jobs[0], err)
		return
	}
	l.batchLimit = max(1, len(jobs)/2)
	l.log.Error("batch not accepted by the store", zap.Int("jobs", len(jobs)), zap.Int("models", len(l.committingModels)),
		zap.Int("next_jobs", l.batchLimit), zap.Error(err))
}

// widenBatch doubles the limit of the batches after one that was stored.
func (l *leader) widenBatch() {
	l.batchLimit *= 2
	if l.batchLimit > maxRowsPerCommit {
		l.batchLimit = 0
	}
}

// failToStore refuses a new job whose rows the store does not accept, and fails another
// one, so that the decisions on all other jobs go on.
func (l *leader) failToStore(j *job, err error) {
	l.log.Error("job failed: the store does not accept its rows", zap.String("job", string(j.Spec.ID)), zap.String("queue", string(j.Spec.Queue)),
		zap.Bool("accepted", j.stored), zap.Error(err))
	l.metrics.count(l.metrics.setAside, "store")
	if j.stored && j.FailureReason != workflow.FailedToStore {
		j.FailToStore()
		l.stopRunsOfJob(j)
		l.markDirty(j, nil, nil)
		return
	}
	l.dirtyJobs = slices.DeleteFunc(l.dirtyJobs, func(dirty *job) bool { return dirty == j })
	j.isDirty = false
	if !j.stored && j.refuse != nil {
		l.refuseUnstored(j)
		l.removeRefusedJobs()
		return
	}
	l.setAside(j, err)
}

// endWithdrawal records that a batch was stored.
func (l *leader) endWithdrawal() {
	if l.withdrawn.count > 0 {
		l.log.Info("commits stored again", zap.Int64("refused", l.withdrawn.count), zap.Duration("after", l.o.Clock().Sub(l.commitBeganAt)))
	}
	l.withdrawn = withdrawal{}
}

// removesWith returns the rows to remove with the batch of puts: those of withdrawn
// batches and, as long as there is room, those of expired jobs. A job that was
// submitted again is written over instead.
func (l *leader) removesWith(puts []substrate.PartRow) []substrate.PartRow {
	l.withdrawn.removes = append(l.withdrawn.removes, l.removeExpiredJobs(maxRowsPerCommit-len(puts)-len(l.withdrawn.removes))...)
	if len(l.withdrawn.removes) == 0 {
		return nil
	}
	written := map[string]bool{}
	for _, row := range puts {
		written[row.Table+"/"+row.Key] = true
	}
	var removes []substrate.PartRow
	for _, row := range l.withdrawn.removes {
		if !written[row.Table+"/"+row.Key] {
			removes = append(removes, row)
		}
	}
	return removes
}

// commitTakes reports whether the commit in flight, or the refused ones since the last
// stored one, take longer than d.
func (l *leader) commitTakes(d time.Duration) bool {
	return (l.commitInFlight || l.withdrawn.count > 0) && l.o.Clock().Sub(l.commitBeganAt) > d
}
