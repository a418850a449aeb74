package fleet

import (
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// runBesidePermitService runs a scenario on a fleet whose queue needs permits by the policy. All
// runners are permitted.
func runBesidePermitService(t *testing.T, hosts int, policy structs.PermitPolicy, decidesFirst bool, scenario func(f *simulatedFleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		issuer := standin.NewPermitIssuer(policy, func(structs.StepID, string) bool { return true })
		issuer.DecidesFirst = decidesFirst
		f := newSimulatedFleetWithPermits(t, hosts, issuer)
		defer f.close()
		scenario(f)
		for _, fault := range f.checker.Violations() {
			t.Error(fault)
		}
	})
}

// permitPolicyOf returns the policy with the given times in milliseconds.
func permitPolicyOf(base, perWorker, validity int) structs.PermitPolicy {
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	return structs.PermitPolicy{BaseLatency: ms(base), PerWorker: ms(perWorker), Validity: ms(validity)}
}

// submitJobs submits jobs of one step with the given number of tasks at once, and returns their IDs.
func (f *simulatedFleet) submitJobs(e *Entry, jobs int, tasks int32) []string {
	f.t.Helper()
	var ids []string
	for i := range jobs {
		id := fmt.Sprintf("p%02d", i)
		if err := f.submit(e, testJob(id, tasks)); err != nil {
			f.t.Fatal(err)
		}
		ids = append(ids, id)
	}
	return ids
}

func (f *simulatedFleet) areCompleted(e *Entry, ids []string) bool {
	for _, id := range ids {
		if f.phase(e, id) != structs.JobCompleted {
			return false
		}
	}
	return true
}

// Guards against steps that wait for permits for good, because each answer to two calls that keep each
// other waiting has expired when it comes.
func TestStepsThatWaitForPermitsTogetherAllRun(t *testing.T) {
	t.Parallel()
	policy := structs.PermitPolicy{BaseLatency: 650 * time.Millisecond, PerWorker: 60 * time.Millisecond, Validity: 3 * time.Second}
	for _, decidesFirst := range []bool{false, true} {
		t.Run(fmt.Sprintf("decides_first_%v", decidesFirst), func(t *testing.T) {
			runBesidePermitService(t, 11, policy, decidesFirst, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				ids := f.submitJobs(e, 3, 2)
				f.waitUntil("completed", 6*time.Second, func() bool { return f.areCompleted(e, ids) })
				is.Equal(f.checker.StartsOfJob("p00")+f.checker.StartsOfJob("p01")+f.checker.StartsOfJob("p02"), 6)
			})
		})
	}
}

// Guards against a step that waits for good, because one call for permits lasts about as long as these are
// valid, or longer.
func TestStepsRunWhateverTheTimesOfThePermitPolicy(t *testing.T) {
	t.Parallel()
	for _, c := range []struct {
		base, perWorker, validity int // milliseconds
		decidesFirst              bool
	}{
		{50, 2, 300, false},
		{50, 2, 1000, true},
		{50, 60, 1000, true},   // 710 ms for 11 workers
		{50, 90, 1000, true},   // 1,040 ms
		{50, 200, 1000, true},  // 2,250 ms
		{650, 60, 1800, true},  // 1,310 ms
		{650, 150, 3000, true}, // 2,300 ms
		{650, 190, 3000, true}, // 2,740 ms
		{650, 220, 3000, true}, // 3,070 ms
		{650, 600, 3000, true}, // 7,250 ms
		{2000, 10, 3000, true}, // most of the validity for any number of workers
		{3500, 10, 3000, false},
		{3500, 500, 3000, false},
		{10, 1, 60_000, true},
	} {
		t.Run(fmt.Sprintf("%d_%d_%d_%v", c.base, c.perWorker, c.validity, c.decidesFirst), func(t *testing.T) {
			policy := permitPolicyOf(c.base, c.perWorker, c.validity)
			runBesidePermitService(t, 11, policy, c.decidesFirst, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				ids := f.submitJobs(e, 3, 2)
				oneCall := policy.BaseLatency + 11*policy.PerWorker
				f.waitUntil("completed", 5*time.Second+3*oneCall, func() bool { return f.areCompleted(e, ids) })
				is.Equal(f.checker.StartsOfJob("p00"), 2)
			})
		})
	}
}

// Guards against steps that starve, because the calls for others come first again and again.
func TestManyStepsThatWaitForPermitsRunInTurn(t *testing.T) {
	t.Parallel()
	policy := structs.PermitPolicy{BaseLatency: 300 * time.Millisecond, PerWorker: 60 * time.Millisecond, Validity: 3 * time.Second}
	runBesidePermitService(t, 11, policy, true, func(f *simulatedFleet) {
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		const jobs = 20
		ids := f.submitJobs(e, jobs, 2)
		oneCall := policy.BaseLatency + 4*policy.PerWorker
		f.waitUntil("completed", 3*time.Second+jobs*oneCall, func() bool { return f.areCompleted(e, ids) })
	})
}

// Guards against steps that wait for good beside a permit service that takes longer than its policy says,
// because each call is given up and still takes its turn.
func TestStepsRunBesideASlowPermitService(t *testing.T) {
	t.Parallel()
	policy := structs.PermitPolicy{BaseLatency: 300 * time.Millisecond, PerWorker: 20 * time.Millisecond, Validity: 3 * time.Second}
	runBesidePermitService(t, 11, policy, false, func(f *simulatedFleet) {
		f.waitReady()
		f.permits.SetSlowdown(8)
		e := f.newEntry()
		defer e.Close()
		ids := f.submitJobs(e, 3, 2)
		f.waitUntil("completed", 30*time.Second, func() bool { return f.areCompleted(e, ids) })
	})
}

// Guards against starts with permits that have expired, because the configuration has another validity
// than the service.
func TestValidityInTheAnswerCounts(t *testing.T) {
	policy := structs.PermitPolicy{BaseLatency: 50 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: time.Second}
	runBesidePermitService(t, 1, policy, true, func(f *simulatedFleet) {
		is := is.New(f.t)
		f.config.mu.Lock()
		f.config.queue.Permits.Validity = time.Minute
		f.config.mu.Unlock()
		f.waitReady()
		f.runTime.set(func(structs.RunID) time.Duration { return 2 * time.Second })
		var startCalls atomic.Int64
		f.beforeStart.set(func(*simulatedHost) { startCalls.Add(1) })
		e := f.newEntry()
		defer e.Close()
		ids := f.submitJobs(e, 1, 16) // 8 at a time
		f.waitUntil("completed", 5*time.Second, func() bool { return f.areCompleted(e, ids) })
		is.Equal(startCalls.Load(), int64(16)) // none was refused
	})
}

// Guards against calls that name all workers again, although the decisions on them are known.
func TestExpiredPermitsAreRequestedForTheKnownWorkersOnly(t *testing.T) {
	policy := structs.PermitPolicy{BaseLatency: 50 * time.Millisecond, PerWorker: 2 * time.Millisecond, Validity: time.Second}
	synctest.Test(t, func(t *testing.T) {
		issuer := standin.NewPermitIssuer(policy, func(_ structs.StepID, runner string) bool { return runner == "host-1" })
		f := newSimulatedFleetWithPermits(t, 6, issuer)
		defer f.close()
		f.waitReady()
		f.runTime.set(func(structs.RunID) time.Duration { return 2 * time.Second })
		e := f.newEntry()
		defer e.Close()
		ids := f.submitJobs(e, 1, 16) // 8 at a time
		f.waitUntil("completed", 5*time.Second, func() bool { return f.areCompleted(e, ids) })
		is.New(t).Equal(issuer.RunnersRequested(), 7) // all, then the permitted one
	})
}

func TestOverdueStepsAndThenUrgentOnesAreNextToGetPermits(t *testing.T) {
	const limit = 3 * time.Second
	now := bootclock.Time(time.Hour)
	request := func(id structs.JobID, waited, retryIn time.Duration) permitRequest {
		return permitRequest{step: structs.StepID{Job: id}, permits: &stepPermits{wait: permitWait{since: now.Add(-waited)}, retryAt: now.Add(retryIn)}}
	}
	for name, c := range map[string]struct {
		requests []permitRequest // the most urgent first
		want     structs.JobID
	}{
		"none":                    {nil, ""},
		"most urgent":             {[]permitRequest{request("a", 0, 0), request("b", time.Second, 0)}, "a"},
		"overdue":                 {[]permitRequest{request("a", 0, 0), request("b", limit, 0)}, "b"},
		"longest overdue":         {[]permitRequest{request("a", limit, 0), request("b", 2*limit, 0), request("c", limit, 0)}, "b"},
		"delayed after a failure": {[]permitRequest{request("a", limit, time.Millisecond), request("b", 0, 0)}, "b"},
		"all delayed":             {[]permitRequest{request("a", limit, time.Millisecond)}, ""},
	} {
		t.Run(name, func(t *testing.T) {
			got := structs.JobID("")
			if next := nextPermitRequest(c.requests, now, limit); next != nil {
				got = next.step.Job
			}
			is.New(t).Equal(got, c.want)
		})
	}
}

func TestWorkersThatACallNames(t *testing.T) {
	workers := make([]*worker, 40)
	for i := range workers {
		workers[i] = &worker{}
	}
	short := permitPolicyOf(50, 2, 3000)
	for name, c := range map[string]struct {
		expired, unknown, missing int
		policy                    structs.PermitPolicy
		share                     permitShare
		want                      int
	}{
		"nothing missing":                 {expired: 3, unknown: 3, missing: 0, policy: short, want: 0},
		"more permitted than tasks":       {expired: 3, unknown: 3, missing: -1, policy: short, want: 0},
		"nothing known":                   {unknown: 11, missing: 2, policy: short, want: 11},
		"one call at most":                {unknown: 40, missing: 2, policy: short, want: maxWorkersPerPermitCall},
		"permitted ones before":           {expired: 3, unknown: 11, missing: 2, policy: short, want: 2},
		"permitted ones and others":       {expired: 1, unknown: 11, missing: 2, policy: short, share: permitShare{named: 400, permitted: 400}, want: 3},
		"all are permitted":               {unknown: 11, missing: 2, policy: short, share: permitShare{named: 400, permitted: 400}, want: 3},
		"half are permitted":              {unknown: 11, missing: 2, policy: short, share: permitShare{named: 400, permitted: 200}, want: 8},
		"none are permitted":              {unknown: 40, missing: 2, policy: short, share: permitShare{named: 400}, want: maxWorkersPerPermitCall},
		"validity allows for fewer":       {unknown: 11, missing: 2, policy: permitPolicyOf(650, 200, 3000), want: 6},
		"validity allows for one":         {unknown: 11, missing: 2, policy: permitPolicyOf(650, 1000, 3000), want: 1},
		"longer than validity in any way": {unknown: 11, missing: 2, policy: permitPolicyOf(3500, 10, 3000), want: 11},
	} {
		t.Run(name, func(t *testing.T) {
			is.New(t).Equal(len(workersToName(workers[:c.expired], workers[:c.unknown], c.missing, c.policy, &c.share)), c.want)
		})
	}
}

func TestPermitsAreUsedUntilTheyMayHaveExpired(t *testing.T) {
	sent := bootclock.Time(time.Hour)
	for name, c := range map[string]struct {
		took, validity, usable time.Duration
		presumed               bool
	}{
		"short call":             {took: 100 * time.Millisecond, validity: 3 * time.Second, usable: 2400 * time.Millisecond},
		"long call":              {took: 2 * time.Second, validity: 3 * time.Second, usable: 500 * time.Millisecond},
		"nothing certain left":   {took: 2100 * time.Millisecond, validity: 3 * time.Second, usable: 2500 * time.Millisecond, presumed: true},
		"longer than validity":   {took: 9 * time.Second, validity: 3 * time.Second, usable: 2500 * time.Millisecond, presumed: true},
		"validity of one second": {took: 100 * time.Millisecond, validity: time.Second, usable: 650 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			until, presumed := permitExpiry(sent, sent.Add(c.took), c.validity)
			is.Equal(until.Sub(sent.Add(c.took)), c.usable)
			is.Equal(presumed, c.presumed)
		})
	}
}
