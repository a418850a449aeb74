package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestJobRunsToItsEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 3)
		id := w.submitJob("key", structs.WorkBatch, 20)
		status, done := w.waitForJob(id, time.Minute)
		is.True(done)
		is.Equal(status.Finished, int32(20))
		is.NoErr(w.checkHistory())
	})
}
