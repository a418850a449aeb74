package fleet

import (
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Jobs of filling tasks that wait for services to be within their targets.
const (
	idleJobs      = 6
	idleJobPrefix = "batch-"
)

// TestJobsHaveARunWithinTheIdleLimitWhileServicesAreOverTheirTargets guards
// against jobs that wait for as long as their image disturbs a service on each
// host, although most of the fleet is free (LOST, checagem-ne scale-1).
func TestJobsHaveARunWithinTheIdleLimitWhileServicesAreOverTheirTargets(t *testing.T) {
	runInThrottledFleet(t, 3, func(f *throttledFleet) {
		f.waitPaused()
		submitted := map[structs.JobID]time.Time{}
		for n := range idleJobs {
			job := testJob(fmt.Sprintf("%s%d", idleJobPrefix, n), 2)
			step := &job.Steps[0]
			step.Fills, step.Image, step.Checkpoints = true, fmt.Sprintf("image-%d", n%2), true
			if err := f.submit(f.entry, job); err != nil {
				t.Fatal(err)
			}
			submitted[job.ID] = time.Now()
			time.Sleep(200 * time.Millisecond)
		}
		lastRun := map[structs.JobID]time.Time{}
		limit := f.timing.IdleLimit
		for range 12 * time.Second / sampleInterval {
			time.Sleep(sampleInterval)
			for run := range f.fillPaces() {
				if strings.HasPrefix(string(run.Task.Job), idleJobPrefix) {
					lastRun[run.Task.Job] = time.Now()
				}
			}
			for id, at := range submitted {
				if last, found := lastRun[id]; found {
					at = last
				}
				if idle := time.Since(at); idle > limit {
					t.Fatalf("%s has had no run for %s, the limit is %s", id, idle, limit)
				}
			}
		}
	})
}
