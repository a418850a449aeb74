package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// The stops fail faster than the starts take effect.
func TestAbandonedStartWhoseStopFailsRunsOnce(t *testing.T) {
	for name, fault := range map[string]callFault{"reset": resetConnection, "unhealthy": refuseAsUnhealthy} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.runTime = func(structs.RunID) time.Duration { return time.Hour }
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				broken := f.followerHost()
				broken.runner.WithholdStartReplies(1 << 30)
				broken.setCallFaults(nil, fault)
				is.NoErr(f.submit(e, testJob("a", 6)))
				time.Sleep(time.Second)
				broken.runner.SetDraining(true)
				f.waitUntil("all tasks run", 8*time.Second, func() bool { return f.checker.ActiveRuns() == 6 })
				time.Sleep(f.timing.RestartLimit)
				is.Equal(f.checker.ActiveRuns(), 6)
			})
		})
	}
}
