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
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 3)
		id := w.submit("key", structs.WorkBatch, 20)
		status, done := w.settled(id, time.Minute)
		is.True(done)
		is.Equal(status.Finished, int32(20))
		is.NoErr(w.verdict())
	})
}
