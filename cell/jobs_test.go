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

var pricing = structs.Job{
	Team: "jabuka", Class: "pricing", Kind: structs.WorkBatch, Program: "price", Tasks: 4, MaxAttempts: 2,
	Resources: structs.Resources{MilliCPU: 1000, MemoryMB: 1000},
}

// running starts a world with one cell and waits for its summary.
func runningWorld(t *testing.T, hosts int) *world {
	w := newWorld(t, testTiming)
	w.add("a", "north", hosts)
	time.Sleep(4 * time.Second)
	return w
}

func TestRepeatedKeyGivesTheSameJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 2)
		defer w.close()
		var mu sync.Mutex
		ids := map[structs.JobID]int{}
		var group sync.WaitGroup
		for range 8 {
			group.Go(func() {
				job, err := w.jobs.Submit(w.ctx, pricing, "settlement-2026")
				is.NoErr(err)
				mu.Lock()
				defer mu.Unlock()
				ids[job.ID]++
			})
		}
		group.Wait()
		is.Equal(len(ids), 1)
		w.table.Faults.LoseAnswer(1)
		again, err := w.jobs.Submit(w.ctx, pricing, "settlement-2027")
		is.NoErr(err)
		is.Equal(ids[again.ID], 0)
		list, err := w.jobs.List(w.ctx, "jabuka", "", 10)
		is.NoErr(err)
		is.Equal(len(list), 2)
		for _, job := range list {
			status, done := w.settled(job.ID, time.Minute)
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
				w := runningWorld(t, 1)
				defer w.close()
				job := pricing
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
		w := runningWorld(t, 2)
		defer w.close()
		const tasks = 3000
		job := pricing
		job.Tasks = tasks
		w.runs = time.Hour
		submitted, err := w.jobs.Submit(w.ctx, job, "key")
		is.NoErr(err)
		is.True(eventually(time.Minute, func() bool { return w.running(submitted.ID) == 8 }))
		is.NoErr(w.jobs.Cancel(w.ctx, submitted.ID))
		is.NoErr(w.jobs.Cancel(w.ctx, submitted.ID)) // again, at no cost
		status, done := w.settled(submitted.ID, time.Minute)
		is.True(done)
		is.Equal(status.Ended, int32(tasks))
		is.Equal(w.running(submitted.ID), 0)
		rows, err := w.table.List(w.ctx, logPrefix("a"), "", 10_000)
		is.NoErr(err)
		for _, row := range rows {
			is.True(len(row.Value) < 16<<10) // bytes
		}
	})
}

func TestTaskThatFailsOnSeveralWorkersFails(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 3)
		defer w.close()
		for _, m := range w.members {
			m.host.mu.Lock()
			m.host.fail = true
			m.host.mu.Unlock()
		}
		submitted, err := w.jobs.Submit(w.ctx, pricing, "key")
		is.NoErr(err)
		status, done := w.settled(submitted.ID, time.Minute)
		is.True(done)
		is.Equal(status.Failed, int32(4))
		is.Equal(len(status.Details), 4)
		is.NoErr(w.verdict())
	})
}

func TestCellSurvivesManySnapshots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 4)
		defer w.close()
		w.runs = 300 * time.Millisecond
		for i := range 12 {
			job := pricing
			job.Tasks = 64
			submitted, err := w.jobs.Submit(w.ctx, job, fmt.Sprint(i))
			is.NoErr(err)
			time.Sleep(4 * time.Second)
			if i%3 == 1 {
				leader := w.leading("a")[0]
				w.kill(leader)
				w.boot(leader)
			}
			status, done := w.settled(submitted.ID, 2*time.Minute)
			is.True(done)
			is.Equal(status.Finished, int32(64))
		}
		is.NoErr(w.verdict())
		_, err := w.table.Get(w.ctx, snapshotKey("a"))
		is.NoErr(err)
		rows, err := w.table.List(w.ctx, logPrefix("a"), "", 10_000)
		is.NoErr(err)
		is.True(len(rows) <= 2*snapshotRows)
		objects, err := w.objects.List(w.ctx, "")
		is.NoErr(err)
		is.True(len(objects) <= 2)
	})
}

func TestWaitingEndsShareOneRow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 4)
		defer w.close()
		job := pricing
		job.Tasks = 16
		submitted, err := w.jobs.Submit(w.ctx, job, "key")
		is.NoErr(err)
		_, done := w.settled(submitted.ID, time.Minute)
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
		is.True(startRows <= 4) // not one for each start
	})
}
