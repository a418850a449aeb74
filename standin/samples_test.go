package standin_test

import (
	"encoding/json"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/substrate"
)

// runToEnd runs a sample program that is evicted once and resumed from its
// checkpoint, and returns its result.
func runToEnd(t *testing.T, is *is.I, program string) []byte {
	objects := standin.NewObjects()
	is.NoErr(standin.PutSamples(t.Context(), objects))
	r := newRuntime(objects, nil, "w1")
	defer r.Close()
	first := startSpec(t, r, attemptID("j", 1), program, standin.SampleKey(program))
	is.NoErr(r.Start(t.Context(), first))
	time.Sleep(500 * time.Millisecond)
	checkpoint, err := r.Checkpoint(t.Context(), first.Attempt)
	is.NoErr(err)
	_, err = r.Stop(t.Context(), first.Attempt)
	is.NoErr(err)
	second := startSpec(t, r, attemptID("j", 2), program, standin.SampleKey(program))
	second.Checkpoint = checkpoint
	is.NoErr(r.Start(t.Context(), second))
	time.Sleep(2 * time.Second)
	snapshot, err := r.Snapshot(t.Context())
	is.NoErr(err)
	run := snapshot.Runs[1]
	is.Equal(run.State, substrate.RunExited)
	is.Equal(run.Detail, "")
	result, err := objects.Get(t.Context(), run.Result)
	is.NoErr(err)
	return result
}

func TestPricingPricesEveryContractOnceAcrossAnEviction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var result standin.PricingResult
		is.NoErr(json.Unmarshal(runToEnd(t, is, "pricing"), &result))
		is.Equal(len(result.Prices), 6)
		is.Equal(result.Prices[0], standin.Price{ID: "UG-1041", Cents: 408259})
		var sum int64
		for _, p := range result.Prices {
			sum += p.Cents
		}
		is.Equal(result.TotalCents, sum)
	})
}

func TestMatchingFindsThePairsAboveTheMinimumScore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var result standin.MatchingResult
		is.NoErr(json.Unmarshal(runToEnd(t, is, "matching"), &result))
		is.Equal(result.Seen, 4)
		is.Equal(result.Matches, []standin.Match{
			{Sighting: "S-202", Intake: "TH-78", Score: 2.0 / 3},
			{Sighting: "S-203", Intake: "TH-77", Score: 0.75},
		})
	})
}

func TestWatcherRunsUntilItIsStopped(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		objects := standin.NewObjects()
		is.NoErr(standin.PutSamples(t.Context(), objects))
		r := newRuntime(objects, nil, "w1")
		defer r.Close()
		s := startSpec(t, r, attemptID("j", 1), "watcher", standin.SampleKey("watcher"))
		s.LeaseUntil = s.LeaseUntil.Add(24 * time.Hour)
		is.NoErr(r.Start(t.Context(), s))
		time.Sleep(24*time.Hour + time.Millisecond)
		checkpoint, err := r.Checkpoint(t.Context(), s.Attempt)
		is.NoErr(err)
		data, err := objects.Get(t.Context(), checkpoint)
		is.NoErr(err)
		var state standin.WatcherState
		is.NoErr(json.Unmarshal(data, &state))
		is.Equal(state.Lookups, int64(3*24*60*60))
		_, err = r.Stop(t.Context(), s.Attempt)
		is.NoErr(err)
	})
}

func TestStartBeyondCapacityIsAViolation(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		r := newRuntime(standin.NewObjects(), nil, "w1")
		defer r.Close()
		for number, want := range []int{0, 0, 1} {
			is.NoErr(r.Start(t.Context(), startSpec(t, r, attemptID("j", int32(number)), "sleep", "")))
			is.Equal(len(r.History().Violations()), want)
		}
		is.Equal(r.History().Violations()[0].Rule, "capacity")
	})
}
