package placement

import (
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/placement"
)

// TestPolicyOnAShortTrace guards the aims of the policy on one training seed;
// the report gives the figures for all seeds.
func TestPolicyOnAShortTrace(t *testing.T) {
	is := is.New(t)
	best := 0.0
	for _, c := range contenders[:3] {
		r := Run(NewTrace(1, 0.7), c.make(1))
		is.True(r.TailRatio() > 1.5) // the trace has pairs that hurt
		best = max(best, r.Work)
	}
	r := Run(NewTrace(1, 0.7), placement.New(placement.Options{}))
	is.True(r.TailRatio() <= 1.1)
	is.True(r.Work >= 0.9*best)
	is.Equal(r.Lost, 0)
	is.Equal(r.Rejected, 0)
}

func TestEqualSeedsGiveEqualRuns(t *testing.T) {
	is := is.New(t)
	a := Run(NewTrace(2, 0.3), placement.New(placement.Options{}))
	b := Run(NewTrace(2, 0.3), placement.New(placement.Options{}))
	is.Equal(a.Work, b.Work)
	is.Equal(a.Evictions, b.Evictions)
	is.Equal(a.TailRatio(), b.TailRatio())
}
