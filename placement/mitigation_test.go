package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// ladderBench drives the reactions on one worker with a service and two batch
// runs, one report of latency in each step.
type ladderBench struct {
	planner  *Planner
	snapshot *Snapshot
}

func newLadderBench() *ladderBench {
	s := snapshot(workers(1))
	s.Workers[0].Runs = []Run{service("slot-check", 0, 0), run("matching", 0, cores(2)), run("pricing", 0, cores(2))}
	e := s.Estimates.(*fixedEstimates)
	e.harm = map[[2]string]float64{{"slot-check", "matching"}: 0.05, {"slot-check", "pricing"}: 0.4}
	return &ladderBench{planner: New(Options{}), snapshot: s}
}

// step moves time by d, reports the growth and applies the throttles of the
// plan.
func (b *ladderBench) step(d time.Duration, growth float64) Plan {
	b.snapshot.Now += d
	b.snapshot.Workers[0].Runs[0].LatencyMS = 10 * (1 + growth)
	plan := b.planner.Plan(b.snapshot)
	b.snapshot.Memory = plan.Memory
	for _, t := range plan.Throttles {
		for i := range b.snapshot.Workers[0].Runs {
			if r := &b.snapshot.Workers[0].Runs[i]; r.Attempt == t.Attempt {
				r.Throttle = t.Share
			}
		}
	}
	return plan
}

func TestLadderThrottlesTheLikeliestCulpritThenEvictsIt(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	is.Equal(len(b.step(6*time.Second, 0.5).Throttles), 0) // one report is not enough
	plan := b.step(6*time.Second, 0.5)
	is.Equal(len(plan.Throttles), 1)
	is.Equal(plan.Throttles[0].Attempt.Task.Job, structs.JobID("pricing"))

	plan = b.step(3*time.Second, 0.5) // this window began before the throttle
	is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)

	is.Equal(len(b.step(6*time.Second, 0.5).Evictions), 0)
	plan = b.step(6*time.Second, 0.5)
	is.Equal(len(plan.Throttles), 0) // the other run is not the culprit
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].Attempt.Task.Job, structs.JobID("pricing"))
	is.Equal(plan.Memory.Avoided[plan.Evictions[0].Attempt.Task].Worker, structs.WorkerID("w00"))
}

func TestThrottledRunThatStillHarmsIsEvictedBelowTheUpperBound(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	b.step(6*time.Second, 0.5)
	is.Equal(len(b.step(6*time.Second, 0.5).Throttles), 1)
	evicted := 0
	for range 3 {
		evicted += len(b.step(6*time.Second, 0.12).Evictions)
	}
	is.Equal(evicted, 1)
}

func TestEveryLikelyCulpritIsThrottledBeforeAnUncertainOneIsEvicted(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	e := b.snapshot.Estimates.(*fixedEstimates)
	e.deviation = map[[2]string]float64{{"slot-check", "matching"}: 0.3, {"slot-check", "pricing"}: 0.3}
	var throttled []structs.JobID
	for range 20 {
		plan := b.step(6*time.Second, 0.5)
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

func TestThrottleIsLiftedInCalmAndHeldLongerTheSecondTime(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	trouble := func() {
		b.step(6*time.Second, 0.5)
		is.Equal(len(b.step(6*time.Second, 0.5).Throttles), 1)
	}
	calm := func() time.Duration {
		from := b.snapshot.Now
		for range 100 {
			if plan := b.step(6*time.Second, 0); len(plan.Throttles) > 0 {
				is.Equal(plan.Throttles[0].Share, 1.0)
				return b.snapshot.Now - from
			}
		}
		return 0
	}
	trouble()
	first := calm()
	trouble()
	second := calm()
	is.True(first >= time.Minute)
	is.True(second >= 2*time.Minute)
}

func TestSwingBetweenTheBoundsChangesNothing(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	for i := range 200 {
		growth := 0.08 // above the lower bound
		if i%2 == 0 {
			growth = 0.19 // below the upper bound
		}
		plan := b.step(6*time.Second, growth)
		is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)
	}
}

func TestHarmlessNeighboursAreNoCulprits(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	b.snapshot.Estimates.(*fixedEstimates).harm = nil
	for range 10 {
		plan := b.step(6*time.Second, 2)
		is.Equal(len(plan.Throttles)+len(plan.Evictions), 0)
	}
}

func TestThrottleOfAnEarlierLeaderIsLifted(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	b.snapshot.Workers[0].Runs[1].Throttle = 0.25
	lifted := 0
	for range 30 {
		lifted += len(b.step(6*time.Second, 0).Throttles)
	}
	is.Equal(lifted, 1)
	is.Equal(b.snapshot.Workers[0].Runs[1].Throttle, 1.0)
}

func TestLostThrottleIsSentAgain(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	b.step(6*time.Second, 0.5)
	is.Equal(len(b.step(6*time.Second, 0.5).Throttles), 1)
	b.snapshot.Workers[0].Runs[2].Throttle = 0 // the action was lost
	plan := b.step(2*time.Minute, 0.1)
	is.Equal(len(plan.Throttles), 1)
	is.Equal(plan.Throttles[0].Share, 0.25)
}

// maxSwitches is the number of changes of a throttle that hysteresis allows
// within an hour: holds of 1, 2, 4, … minutes.
const maxSwitches = 12

// switches counts the changes of throttle over an hour of a latency that
// follows every change at once, the worst case for flapping.
func switches(b *ladderBench) int {
	count := 0
	for range 600 {
		growth := 0.0
		if b.snapshot.Workers[0].Runs[2].share() == 1 {
			growth = 0.5
		}
		count += len(b.step(6*time.Second, growth).Throttles)
	}
	return count
}

func TestThrottlesDoNotFlap(t *testing.T) {
	is := is.New(t)
	is.True(switches(newLadderBench()) <= maxSwitches)
}

func TestFlappingCheckerSeesAPlannerWithoutHysteresis(t *testing.T) {
	is := is.New(t)
	b := newLadderBench()
	b.planner = New(Options{Ladder: LadderOptions{Reports: 1, CalmReports: 1, Hold: time.Nanosecond, MaxHold: time.Nanosecond}})
	is.True(switches(b) > maxSwitches)
}
