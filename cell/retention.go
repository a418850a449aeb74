package cell

import (
	"context"
	"math/rand/v2"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Times of the retention of jobs.
const (
	// JobRetention is the time after its submission for which a job is kept. A
	// job with open tasks is kept for longer. The idempotency key identifies
	// the job until the job is deleted.
	JobRetention = 7 * 24 * time.Hour
	// sweepInterval is the shortest time between two sweeps of one sweeper. A
	// random delay of up to the same length is added.
	sweepInterval = time.Hour
	// sweepPause is the time between two pages of a sweep. It limits the rate
	// of reads.
	sweepPause = 500 * time.Millisecond
)

// resultPrefix is the prefix of the results of a job's tasks in the object
// store.
func resultPrefix(job structs.JobID) string { return "result/" + string(job) + "/" }

// Sweeper deletes jobs that are final and past their retention. Several
// sweepers may run at once, because each deletion compares the job's row.
type Sweeper struct {
	jobs    *Jobs
	objects substrate.Objects
	log     *zap.Logger
}

// NewSweeper returns a sweeper of the jobs. Each entry daemon runs one.
func NewSweeper(jobs *Jobs, objects substrate.Objects, log *zap.Logger) *Sweeper {
	return &Sweeper{jobs: jobs, objects: objects, log: log}
}

// Run sweeps until ctx ends.
func (s *Sweeper) Run(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-time.After(sweepInterval + rand.N(sweepInterval)):
		}
		deleted, err := s.Sweep(ctx, time.Now())
		if ctx.Err() == nil && (deleted > 0 || err != nil) {
			s.log.Info("sweep of expired jobs ended", zap.Int("deleted", deleted), zap.Error(err))
		}
	}
}

// Sweep deletes the jobs that are past their retention at now, and returns how
// many it deleted. After an error, the jobs that were already deleted stay
// deleted.
func (s *Sweeper) Sweep(ctx context.Context, now time.Time) (int, error) {
	deleted, after := 0, ""
	for {
		rows, err := s.jobs.client.list(ctx, jobPrefix, after, jobPageRows)
		if err != nil {
			return deleted, err
		}
		for _, row := range rows {
			after = row.Key
			if !isJobKey(row.Key) {
				continue
			}
			removed, err := s.deleteIfExpired(ctx, row, now)
			if err != nil {
				return deleted, err
			}
			if removed {
				deleted++
			}
		}
		if len(rows) < jobPageRows {
			return deleted, nil
		}
		if err := sleep(ctx, sweepPause); err != nil {
			return deleted, err
		}
	}
}

// deleteIfExpired deletes one job if it is final and past its retention. The
// objects are deleted before the rows, so that the next sweep finds the job
// again after a failure in between.
func (s *Sweeper) deleteIfExpired(ctx context.Context, row substrate.Row, now time.Time) (bool, error) {
	var job jobRow
	if err := decode(row.Key, row.Value, &job); err != nil {
		return false, err
	}
	if now.Sub(job.Job.Submitted) < JobRetention {
		return false, nil
	}
	status, err := s.jobs.Status(ctx, job.Job.ID)
	if err != nil || !status.Done() {
		return false, err
	}
	if err := s.deleteObjects(ctx, &job.Job); err != nil {
		return false, err
	}
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: row.Key, Revision: row.Revision}},
		Deletes:  []string{row.Key, teamJobKey(job.Job.Team, job.Job.ID)},
	}
	for _, c := range status.Cells {
		txn.Deletes = append(txn.Deletes, statusKey(job.Job.ID, c))
	}
	_, _, err = s.jobs.client.commit(ctx, txn, row.Key)
	if asConflict(err) != nil {
		// Another sweeper has deleted the job, or its row has changed.
		return false, nil //nolint:nilerr // a conflict is no failure of the sweep
	}
	return err == nil, err
}

func (s *Sweeper) deleteObjects(ctx context.Context, job *structs.Job) error {
	keys, err := s.objects.List(ctx, resultPrefix(job.ID))
	if err != nil {
		return err
	}
	if job.Input != "" {
		keys = append(keys, job.Input)
	}
	for _, key := range keys {
		if err := s.objects.Delete(ctx, key); err != nil {
			return err
		}
	}
	return nil
}
