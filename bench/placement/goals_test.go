package placement

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/placement"
)

// TestPolicyMeetsItsGoals checks the goals of the policy on one training seed.
// The figures for all seeds are printed by TestReport.
func TestPolicyMeetsItsGoals(t *testing.T) {
	is := is.New(t)
	trace := NewTrace(1, 0.7)
	trace.length = 70 * time.Minute
	baseline := Run(trace, Random(1))
	is.True(baseline.TailRatio() > 1.5) // some classes slow services down
	r := Run(trace, placement.New(placement.Options{}))
	is.True(r.TailRatio() <= 1.1)
	is.True(r.Work >= 0.9*baseline.Work)
	is.Equal(r.Lost, 0)
	is.Equal(r.Rejected, 0)
}

func TestPolicyMeetsItsGoalsAcrossLeaderChanges(t *testing.T) {
	is := is.New(t)
	trace := NewTrace(1, 0.7)
	trace.length, trace.leaderTerm, trace.handsOverModel = 70*time.Minute, 10*time.Minute, true
	r := Run(trace, placement.New(placement.Options{}))
	is.True(r.TailRatio() <= 1.1)
	is.Equal(r.Rejected, 0)
}

func TestEqualSeedsGiveEqualResults(t *testing.T) {
	is := is.New(t)
	run := func() Result {
		trace := NewTrace(2, 0.5)
		trace.length = 20 * time.Minute
		return Run(trace, placement.New(placement.Options{}))
	}
	a, b := run(), run()
	is.Equal(a.Work, b.Work)
	is.Equal(a.Evictions, b.Evictions)
	is.Equal(a.TailRatio(), b.TailRatio())
}
