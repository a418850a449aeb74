package fleet

import (
	"context"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// TestCrowdOfLargeJobsIsRefusedForWantOfMemory submits jobs with long names until they are
// refused, and again after the accepted ones have been forgotten.
func TestCrowdOfLargeJobsIsRefusedForWantOfMemory(t *testing.T) {
	runInFleet(t, 1, func(f *simulatedFleet) {
		is := is.New(t)
		f.hosts[0].killAgent()
		f.jobBytes = 1 << 20
		f.hosts[0].startAgent()
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		large := testJob("", 1)
		large.Steps[0].Image = strings.Repeat("x", 40_000)
		submit := func(id string) error {
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			defer cancel()
			j := *large
			j.ID = structs.JobID(id)
			return e.Submit(ctx, &j, testQueue)
		}
		for round := range 2 {
			var err error
			accepted := -1
			for ; err == nil; accepted++ {
				err = submit(fmt.Sprintf("job-%d-%d", round, accepted+1))
			}
			var notRun *structs.NotRunError
			is.True(errors.As(err, &notRun))
			is.Equal(notRun.RetryAfter, memoryRetryAfter)
			is.NoErr(submit(fmt.Sprintf("job-%d-0", round))) // it is known
			is.Equal(accepted, int(f.jobBytes/2/jobBytes(large)))
			ctx, cancel := context.WithTimeout(context.Background(), 3*time.Second)
			is.NoErr(e.Submit(ctx, testJob(fmt.Sprintf("small-%d", round), 1), testQueue)) // there is room for others
			cancel()
			time.Sleep(DefaultRetention + time.Minute)
		}
	})
}
