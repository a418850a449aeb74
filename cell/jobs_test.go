package cell

import (
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

var pricingJob = structs.Job{
	Team: "jabuka", Class: "pricing", Kind: structs.WorkBatch, Program: "price", Tasks: 4, MaxAttempts: 2,
	Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000},
}

// newRunningCluster returns a cluster with one cell and waits for the summary
// of the cell.
func newRunningCluster(t *testing.T, hosts int) *simulatedCluster {
	w := newSimulatedCluster(t, testTiming)
	w.addHosts("a", "north", hosts)
	time.Sleep(4 * time.Second)
	return w
}

func TestRepeatedKeyGivesTheSameJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 2)
		defer w.close()
		var mu sync.Mutex
		ids := map[structs.JobID]int{}
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				job, err := w.jobs.Submit(w.ctx, pricingJob, "settlement-2026")
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				ids[job.ID]++
			})
		}
		group.Wait()
		is.Equal(len(ids), 1)
		w.table.Faults.LoseAnswer(1)
		again, err := w.jobs.Submit(w.ctx, pricingJob, "settlement-2027")
		is.NoErr(err)
		is.Equal(ids[again.ID], 0)
		list, err := w.jobs.List(w.ctx, "jabuka", "", 10)
		is.NoErr(err)
		is.Equal(len(list), 2)
		for _, job := range list {
			status, done := w.waitForJob(job.ID, time.Minute)
			is.True(done)
			is.Equal(status.Finished, int32(4))
		}
	})
}

func TestSubmissionsAreRefused(t *testing.T) {
	for name, c := range map[string]struct {
		change func(j *structs.Job)
		want   any
	}{
		"a task that fits no worker": {func(j *structs.Job) { j.Resources.MemoryMB = 1 << 20 }, new(*structs.RefusedError)},
		"no tasks":                   {func(j *structs.Job) { j.Tasks = 0 }, new(*structs.InvalidError)},
		"no team":                    {func(j *structs.Job) { j.Team = "" }, new(*structs.InvalidError)},
		"a negative size":            {func(j *structs.Job) { j.Resources.MilliCPU = -1 }, new(*structs.InvalidError)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRunningCluster(t, 1)
				defer w.close()
				job := pricingJob
				c.change(&job)
				_, err := w.jobs.Submit(w.ctx, job, "key")
				is.True(errors.As(err, c.want))
				_, err = w.jobs.Status(w.ctx, JobIDFor("jabuka", "key"))
				is.True(isNotFound(err))
			})
		})
	}
}

func TestCancelledJobEndsInBoundedRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 2)
		defer w.close()
		const tasks = 3000
		job := pricingJob
		job.Tasks = tasks
		w.taskRunTime = time.Hour
		submitted, err := w.jobs.Submit(w.ctx, job, "key")
		is.NoErr(err)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(submitted.ID) == 8 }))
		is.NoErr(w.jobs.Cancel(w.ctx, submitted.ID))
		is.NoErr(w.jobs.Cancel(w.ctx, submitted.ID)) // a second cancellation succeeds too
		status, done := w.waitForJob(submitted.ID, time.Minute)
		is.True(done)
		is.Equal(status.Cancelled, int32(tasks))
		is.Equal(w.runningTasks(submitted.ID), 0)
		rows, err := w.table.List(w.ctx, logPrefix("a"), "", 10_000)
		is.NoErr(err)
		for _, row := range rows {
			is.True(len(row.Value) < 16<<10) // size in bytes
		}
	})
}

func TestTaskThatFailsOnSeveralWorkersFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 3)
		defer w.close()
		for _, m := range w.members {
			m.host.mu.Lock()
			m.host.failPrograms = true
			m.host.mu.Unlock()
		}
		submitted, err := w.jobs.Submit(w.ctx, pricingJob, "key")
		is.NoErr(err)
		status, done := w.waitForJob(submitted.ID, time.Minute)
		is.True(done)
		is.Equal(status.Failed, int32(4))
		is.Equal(len(status.Details), 4)
		is.NoErr(w.checkHistory())
	})
}

func TestJobsFinishAndLogStaysBoundedAcrossSnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 4)
		defer w.close()
		w.taskRunTime = 300 * time.Millisecond
		for i := range 12 {
			job := pricingJob
			job.Tasks = 64
			submitted, err := w.jobs.Submit(w.ctx, job, fmt.Sprint(i))
			is.NoErr(err)
			time.Sleep(4 * time.Second)
			if i%3 == 1 {
				leader := w.leaders("a")[0]
				w.killCandidate(leader)
				w.startCandidate(leader)
			}
			status, done := w.waitForJob(submitted.ID, 2*time.Minute)
			is.True(done)
			is.Equal(status.Finished, int32(64))
		}
		is.NoErr(w.checkHistory())
		_, err := w.table.Get(w.ctx, snapshotKey("a"))
		is.NoErr(err)
		rows, err := w.table.List(w.ctx, logPrefix("a"), "", 10_000)
		is.NoErr(err)
		is.True(len(rows) <= 2*snapshotLogRows)
		objects, err := w.objects.List(w.ctx, "")
		is.NoErr(err)
		is.True(len(objects) <= 2)
	})
}

func TestStartsAreGroupedIntoFewLogRows(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 4)
		defer w.close()
		job := pricingJob
		job.Tasks = 16
		submitted, err := w.jobs.Submit(w.ctx, job, "key")
		is.NoErr(err)
		_, done := w.waitForJob(submitted.ID, time.Minute)
		is.True(done)
		rows, err := w.table.List(w.ctx, logPrefix("a"), "", 1000)
		is.NoErr(err)
		starts, startRows := 0, 0
		for _, row := range rows {
			var b Batch
			is.NoErr(decode(row.Key, row.Value, &b))
			starts += len(b.Starts)
			if len(b.Starts) > 0 {
				startRows++
			}
		}
		is.Equal(starts, 16)
		is.True(startRows <= 4) // fewer rows than starts
	})
}
