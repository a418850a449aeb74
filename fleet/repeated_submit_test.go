package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
)

// A caller whose answer was lost submits the job again. If the store does not
// answer, both submissions are refused at once, and neither waits for its
// deadline.
func TestRepeatedSubmissionIsRefusedWithTheFirst(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	var outcomes []fleetpb.Outcome
	for range 3 {
		l.submit(*testJob("a", 1), testQueue, func(o fleetpb.Outcome) { outcomes = append(outcomes, o) })
	}
	is.Equal(len(outcomes), 0)
	l.refuseUncommittedJobs()
	is.Equal(outcomes, []fleetpb.Outcome{fleetpb.Outcome_REFUSED, fleetpb.Outcome_REFUSED, fleetpb.Outcome_REFUSED})
	is.Equal(len(l.jobs), 0)
}
