package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

func TestSweepDeletesOnlyFinalJobsPastTheirRetention(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		w.addHosts("a", "north", 2)
		defer w.close()
		finalJob := w.submitJob("done", structs.WorkBatch, 2)
		_, final := w.waitForJob(finalJob, time.Minute)
		is.True(final)
		openJob := w.submitJob("open", structs.WorkService, 1)
		is.NoErr(w.objects.Put(w.ctx, resultPrefix(finalJob)+"0", []byte("{}")))
		sweeper := NewSweeper(w.jobs, w.objects, zap.NewNop())

		deleted, err := sweeper.Sweep(w.ctx, time.Now())
		is.NoErr(err)
		is.Equal(deleted, 0) // the retention has not passed

		deleted, err = sweeper.Sweep(w.ctx, time.Now().Add(JobRetention))
		is.NoErr(err)
		is.Equal(deleted, 1)
		_, err = w.jobs.Status(w.ctx, finalJob)
		is.True(isNotFound(err))
		left, err := w.jobs.List(w.ctx, "jabuka", "", 10)
		is.NoErr(err)
		is.Equal(len(left), 1)
		is.Equal(left[0].ID, openJob)
		for _, prefix := range []string{statusPrefix(finalJob), jobKey(finalJob), teamJobKey("jabuka", finalJob)} {
			rows, err := w.table.List(w.ctx, prefix, "", 10)
			is.NoErr(err)
			is.Equal(len(rows), 0)
		}
		objects, err := w.objects.List(w.ctx, resultPrefix(finalJob))
		is.NoErr(err)
		is.Equal(len(objects), 0)
	})
}
