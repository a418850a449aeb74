package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// mitigationFixture runs planning cycles for one worker with a service and two
// batch runs. Every cycle has a new latency report.
type mitigationFixture struct {
	planner  *Planner
	snapshot *Snapshot
}

func newMitigationFixture() *mitigationFixture {
	s := snapshot(workers(1))
	s.Workers[0].Runs = []Run{service("slot-check", 0, 0), run("matching", 0, cores(2)), run("pricing", 0, cores(2))}
	e := s.Estimates.(*stubEstimates)
	e.harm = map[[2]string]float64{{"slot-check", "matching"}: 0.05, {"slot-check", "pricing"}: 0.4}
	return &mitigationFixture{planner: New(Options{}), snapshot: s}
}

// advance advances the clock by d, reports the growth of latency, runs a
// planning cycle and applies the throttles of its plan.
func (b *mitigationFixture) advance(d time.Duration, growth float64) Plan {
	b.snapshot.Now += d
	b.snapshot.Workers[0].Runs[0].LatencyMS = 10 * (1 + growth)
	plan := b.planner.Plan(b.snapshot)
	b.snapshot.State = plan.State
	for _, t := range plan.Throttles {
		for i := range b.snapshot.Workers[0].Runs {
			if r := &b.snapshot.Workers[0].Runs[i]; r.Attempt == t.Attempt {
				r.Throttle = t.Share
			}
		}
	}
	return plan
}

func TestLikeliestSuspectIsThrottledThenEvicted(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	is.Equal(len(b.advance(6*time.Second, 0.5).Throttles), 0) // one high report is not enough
	plan := b.advance(6*time.Second, 0.5)
	is.Equal(len(plan.Throttles), 1)
	is.Equal(plan.Throttles[0].Attempt.Task.Job, structs.JobID("pricing"))

	plan = b.advance(3*time.Second, 0.5) // the report's window began before the throttle
	is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)

	is.Equal(len(b.advance(6*time.Second, 0.5).Evictions), 0)
	plan = b.advance(6*time.Second, 0.5)
	is.Equal(len(plan.Throttles), 0) // the other run is not the suspect
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].Attempt.Task.Job, structs.JobID("pricing"))
	is.Equal(plan.State.Avoided[plan.Evictions[0].Attempt.Task].Worker, structs.WorkerID("w00"))
}

func TestHarmfulThrottledRunIsEvictedBelowUpperBound(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	b.advance(6*time.Second, 0.5)
	is.Equal(len(b.advance(6*time.Second, 0.5).Throttles), 1)
	evicted := 0
	for range 3 {
		evicted += len(b.advance(6*time.Second, 0.12).Evictions)
	}
	is.Equal(evicted, 1)
}

func TestEveryLikelySuspectIsThrottledBeforeAnUncertainOneIsEvicted(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	e := b.snapshot.Estimates.(*stubEstimates)
	e.deviation = map[[2]string]float64{{"slot-check", "matching"}: 0.3, {"slot-check", "pricing"}: 0.3}
	var throttled []structs.JobID
	for range 20 {
		plan := b.advance(6*time.Second, 0.5)
		for _, x := range plan.Throttles {
			throttled = append(throttled, x.Attempt.Task.Job)
		}
		if len(plan.Evictions) > 0 {
			is.Equal(throttled, []structs.JobID{"pricing", "matching"})
			is.Equal(plan.Evictions[0].Attempt.Task.Job, structs.JobID("pricing"))
			return
		}
	}
	is.Fail() // nothing was evicted
}

func TestThrottleIsLiftedAfterLowReportsAndHeldLongerNextTime(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	raiseLatency := func() {
		b.advance(6*time.Second, 0.5)
		is.Equal(len(b.advance(6*time.Second, 0.5).Throttles), 1)
	}
	timeToRelease := func() time.Duration {
		from := b.snapshot.Now
		for range 100 {
			if plan := b.advance(6*time.Second, 0); len(plan.Throttles) > 0 {
				is.Equal(plan.Throttles[0].Share, 1.0)
				return b.snapshot.Now - from
			}
		}
		return 0
	}
	raiseLatency()
	first := timeToRelease()
	raiseLatency()
	second := timeToRelease()
	is.True(first >= time.Minute)
	is.True(second >= 2*time.Minute)
}

func TestLatencyBetweenTheBoundsTriggersNoAction(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	for i := range 200 {
		growth := 0.08 // above the lower bound
		if i%2 == 0 {
			growth = 0.19 // below the upper bound
		}
		plan := b.advance(6*time.Second, growth)
		is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)
	}
}

func TestHarmlessNeighboursAreNotThrottled(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	b.snapshot.Estimates.(*stubEstimates).harm = nil
	for range 10 {
		plan := b.advance(6*time.Second, 2)
		is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)
	}
}

func TestThrottleOfEarlierLeaderIsLifted(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	b.snapshot.Workers[0].Runs[1].Throttle = 0.25
	lifted := 0
	for range 30 {
		lifted += len(b.advance(6*time.Second, 0).Throttles)
	}
	is.Equal(lifted, 1)
	is.Equal(b.snapshot.Workers[0].Runs[1].Throttle, 1.0)
}

func TestLostThrottleIsResent(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	b.advance(6*time.Second, 0.5)
	is.Equal(len(b.advance(6*time.Second, 0.5).Throttles), 1)
	b.snapshot.Workers[0].Runs[2].Throttle = 0 // the action was lost
	plan := b.advance(2*time.Minute, 0.1)
	is.Equal(len(plan.Throttles), 1)
	is.Equal(plan.Throttles[0].Share, 0.25)
}

// maxThrottleChanges is the number of changes of one throttle in an hour that
// hysteresis allows with minimum durations of 1, 2, 4, … minutes.
const maxThrottleChanges = 12

// countThrottleChanges returns the number of throttle changes in an hour in
// which the latency follows every change immediately, the worst case for
// flapping.
func countThrottleChanges(b *mitigationFixture) int {
	count := 0
	for range 600 {
		growth := 0.0
		if b.snapshot.Workers[0].Runs[2].processorShare() == 1 {
			growth = 0.5
		}
		count += len(b.advance(6*time.Second, growth).Throttles)
	}
	return count
}

func TestThrottlesDoNotFlap(t *testing.T) {
	is := is.New(t)
	is.True(countThrottleChanges(newMitigationFixture()) <= maxThrottleChanges)
}

func TestFlappingCheckFailsWithoutHysteresis(t *testing.T) {
	is := is.New(t)
	b := newMitigationFixture()
	b.planner = New(Options{Mitigation: MitigationOptions{HighReports: 1, LowReports: 1, MinThrottleDuration: time.Nanosecond, MinThrottleDurationLimit: time.Nanosecond}})
	is.True(countThrottleChanges(b) > maxThrottleChanges)
}
