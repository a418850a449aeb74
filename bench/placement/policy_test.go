package placement

import (
	"fmt"
	"os"
	"testing"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// contender is a policy to compare. make returns a new instance of the policy
// for each run.
type contender struct {
	name string
	make func(seed uint64) Policy
}

var contenders = []contender{
	{"random", Random},
	{"first fit", func(uint64) Policy { return FirstFit() }},
	{"least loaded", func(uint64) Policy { return LeastLoaded() }},
	{"previous", func(uint64) Policy { return FirstVersion() }},
	{"declared", func(uint64) Policy { return declaredSizes{placement.New(placement.Options{})} }},
	{"policy", func(uint64) Policy { return placement.New(placement.Options{}) }},
}

// declaredSizes is the policy with commitments of the declared resources
// instead of the estimated ones.
type declaredSizes struct{ planner *placement.Planner }

type declaredEstimates struct{ placement.Estimates }

func (declaredEstimates) Reserve(_ string, declared structs.Resources) structs.Resources {
	return declared
}

func (d declaredSizes) Plan(s *placement.Snapshot) placement.Plan {
	s.Estimates = declaredEstimates{s.Estimates}
	return d.planner.Plan(s)
}

// The options of the policy are compared on the training seeds only, so that
// the report seeds stay independent of the choice of options.
var (
	trainingSeeds = []uint64{1, 2, 3, 4, 5}
	reportSeeds   = []uint64{101, 102, 103, 104, 105}
)

// TestLeaderReport prints the cost of leader changes on the training seeds,
// with and without a handover of the model's state. It runs only if
// PLACEMENT_REPORT is "leaders".
func TestLeaderReport(t *testing.T) {
	if os.Getenv("PLACEMENT_REPORT") != "leaders" {
		t.Skip("PLACEMENT_REPORT is not leaders")
	}
	for _, load := range []float64{0.7, 1.0} {
		for _, seed := range trainingSeeds {
			for _, handover := range []bool{false, true} {
				trace := NewTrace(seed, load)
				trace.leaderTerm, trace.handsOverModel = 30*time.Minute, handover
				r := Run(trace, placement.New(placement.Options{}))
				fmt.Printf("load %.1f seed %d handover %v p99 ratio %.3f work %.0f evictions %d missed %d/%d\n",
					load, seed, handover, r.TailRatio(), r.Work, r.Evictions, r.Missed, r.Deadlines)
			}
		}
	}
}

// TestReport prints one line for each seed and policy. It runs only if
// PLACEMENT_REPORT is set: "training" and "report" select the seeds.
func TestReport(t *testing.T) {
	if os.Getenv("PLACEMENT_REPORT") == "" {
		t.Skip("PLACEMENT_REPORT is not set")
	}
	seeds := map[string][]uint64{"training": trainingSeeds, "report": reportSeeds}[os.Getenv("PLACEMENT_REPORT")]
	for _, load := range []float64{0.7, 1.0} {
		for _, seed := range seeds {
			for _, c := range contenders {
				r := Run(NewTrace(seed, load), c.make(seed))
				fmt.Printf("load %.1f seed %3d %-12s p99 ratio %.3f work %7.0f absence %6.0f finished %5d evictions %4d throttles %4d lost %3d missed %3d/%d failures %4d refused %3d rejected %d up %.4f wait %s\n",
					load, seed, c.name, r.TailRatio(), r.Work, r.WorkInAbsence, r.Finished, r.Evictions, r.Throttles, r.Lost, r.Missed, r.Deadlines, r.Failures, r.Refused, r.Rejected, r.Up(), r.MeanWait())
			}
		}
	}
}
