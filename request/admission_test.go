package request

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

func newFixedQueue(limit, queue int) *admissionQueue {
	return newAdmissionQueue(func() int { return limit }, func(int) int { return queue })
}

// holdSlot occupies a slot for a time, or returns the refusal.
func holdSlot(q *admissionQueue, urgent bool, serviceTime, deadline time.Duration) *refusal {
	if refused := q.acquire(context.Background(), nil, urgent, time.Now().Add(deadline)); refused != nil {
		return refused
	}
	time.Sleep(serviceTime)
	q.release(urgent, serviceTime)
	return nil
}

func TestUrgentRequestsPreemptDeferredOnesInAFullQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFixedQueue(1, 4)
		var all sync.WaitGroup
		var mu sync.Mutex
		var order []string
		send := func(name string, urgent bool) {
			all.Go(func() {
				refused := holdSlot(q, urgent, 10*time.Millisecond, time.Second)
				mu.Lock()
				defer mu.Unlock()
				if refused != nil {
					name += " refused"
				}
				order = append(order, name)
			})
			time.Sleep(time.Millisecond)
		}
		send("first", true)
		send("deferred", false)
		for i := range 4 {
			send(fmt.Sprint("urgent", i), true)
		}
		all.Wait()
		is.Equal(order, []string{"deferred refused", "first", "urgent0", "urgent1", "urgent2", "urgent3"})
	})
}

func TestRequestThatCannotMeetItsDeadlineIsRefusedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFixedQueue(1, 10)
		is.Equal(holdSlot(q, true, 100*time.Millisecond, time.Second), nil)
		var running sync.WaitGroup
		running.Go(func() { holdSlot(q, true, 100*time.Millisecond, time.Second) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		refused := holdSlot(q, true, 100*time.Millisecond, 150*time.Millisecond)
		is.Equal(refused.reason, structs.ReasonDeadline)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(refused.retryAfter > 0)
		running.Wait()
	})
}

// queueInvariantError reports a violated invariant of an admission queue.
type queueInvariantError struct{ description string }

func (e *queueInvariantError) Error() string { return e.description }

// checkIdleQueue checks that no more slots than the limit were in use, and that
// now no slot is in use and no request is queued.
func checkIdleQueue(q *admissionQueue, maxInUse, limit int) error {
	if maxInUse > limit {
		return &queueInvariantError{fmt.Sprintf("%d requests at once, limit %d", maxInUse, limit)}
	}
	if l := q.load(); l.inUse != 0 || l.queueLength != 0 {
		return &queueInvariantError{fmt.Sprintf("%d in use and %d queued at rest", l.inUse, l.queueLength)}
	}
	return nil
}

func TestSlowStartsOfDeferredRequestsDoNotKeepLaterOnesOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		q := newFixedQueue(1, 8)
		var all sync.WaitGroup
		defer all.Wait()
		// Each deferred request waits 50 s behind a request that keeps the only slot.
		for range 3 {
			all.Go(func() { is.True(holdSlot(q, true, 50*time.Second, time.Hour) == nil) })
			time.Sleep(time.Millisecond)
			is.True(holdSlot(q, false, 10*time.Millisecond, time.Hour) == nil)
		}
		for range 100 { // the service time is short again
			is.True(holdSlot(q, true, 10*time.Millisecond, time.Hour) == nil)
		}
		time.Sleep(time.Minute)
		all.Go(func() { is.True(holdSlot(q, true, 10*time.Millisecond, time.Hour) == nil) })
		time.Sleep(time.Millisecond)
		is.True(holdSlot(q, false, 10*time.Millisecond, 5*time.Second) == nil)
	})
}

// TestAdmissionQueueKeepsItsLimitAndFreesEverySlot runs random requests,
// deadlines and callers that cancel while they wait. A race between
// cancellation and admission could leak a slot or exceed the limit.
func TestAdmissionQueueKeepsItsLimitAndFreesEverySlot(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		limit := rapid.IntRange(1, 4).Draw(rt, "limit")
		requests := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) [4]int {
			return [4]int{
				rapid.IntRange(0, 50).Draw(t, "at"), rapid.IntRange(0, 30).Draw(t, "takes"),
				rapid.IntRange(1, 100).Draw(t, "deadline"), rapid.IntRange(0, 3).Draw(t, "class"),
			}
		}), 1, 30).Draw(rt, "requests")
		var err error
		synctest.Test(t, func(*testing.T) {
			q := newFixedQueue(limit, limit)
			var mu sync.Mutex
			var all sync.WaitGroup
			inUse, maxInUse := 0, 0
			for _, r := range requests {
				all.Go(func() {
					ms := time.Millisecond
					time.Sleep(time.Duration(r[0]) * ms)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r[2])*ms)
					defer cancel()
					urgent := r[3]%2 == 0
					if q.acquire(ctx, nil, urgent, time.Now().Add(time.Duration(r[2])*ms*time.Duration(1+r[3]/2))) != nil {
						return
					}
					mu.Lock()
					inUse++
					maxInUse = max(maxInUse, inUse)
					mu.Unlock()
					time.Sleep(time.Duration(r[1]) * ms)
					mu.Lock()
					inUse--
					mu.Unlock()
					q.release(urgent, time.Duration(r[1])*ms)
				})
			}
			all.Wait()
			err = checkIdleQueue(q, maxInUse, limit)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func TestQueueCheckDetectsLeakedSlotAndExceededLimit(t *testing.T) {
	q := newFixedQueue(2, 2)
	q.acquire(context.Background(), nil, true, time.Now().Add(time.Second)) // never released
	is.New(t).True(checkIdleQueue(q, 1, 2) != nil)
	is.New(t).True(checkIdleQueue(newFixedQueue(2, 2), 3, 2) != nil)
}

// simulateTarget drives a limiter with a target of the given number of slots,
// always at the limit, whose requests take work without queueing. It returns the mean limit over the second half of the
// requests and the highest limit.
func simulateTarget(l *concurrencyLimiter, work time.Duration, slots, requests int) (mean, highest int) {
	now := time.Time{}.Add(time.Hour)
	sum := 0
	for i := range requests {
		limit := l.current()
		highest = max(highest, limit)
		if i >= requests/2 {
			sum += limit
		}
		// Requests beyond the slots share the slots evenly.
		took := work * time.Duration(max(limit, slots)) / time.Duration(slots)
		now = now.Add(took / time.Duration(limit))
		l.recordCompletion(now, took, limit)
	}
	return sum / (requests / 2), highest
}

func TestConcurrencyLimiterConvergesToTheActualSlots(t *testing.T) {
	for _, test := range []struct{ declared, real, minLimit, maxLimit int }{
		{8, 8, 6, 12},
		{8, 2, 1, 4},
		{60, 8, 6, 14},
		{2, 16, 12, 22},
	} {
		t.Run(fmt.Sprintf("declared %d real %d", test.declared, test.real), func(t *testing.T) {
			got, _ := simulateTarget(newConcurrencyLimiter(test.declared, 60), 10*time.Millisecond, test.real, 20_000)
			if got < test.minLimit || got > test.maxLimit {
				t.Fatalf("limit %d, want %d to %d", got, test.minLimit, test.maxLimit)
			}
		})
	}
}

func TestConcurrencyLimiterNeverExceedsConnections(t *testing.T) {
	_, highest := simulateTarget(newConcurrencyLimiter(8, 10), 10*time.Millisecond, 100, 10_000)
	is.New(t).Equal(highest, 10)
}

func TestConcurrencyLimitRecoversFromFailuresWhenRequestsTakeLonger(t *testing.T) {
	for _, test := range []struct {
		work     time.Duration
		failures int
	}{{10 * time.Millisecond, 40}, {16 * time.Millisecond, 5}, {16 * time.Millisecond, 40}, {30 * time.Millisecond, 5}, {30 * time.Millisecond, 40}} {
		t.Run(fmt.Sprintf("%v after %d failures", test.work, test.failures), func(t *testing.T) {
			l := newConcurrencyLimiter(8, 8)
			simulateTarget(l, 10*time.Millisecond, 8, 640)
			for range test.failures {
				l.recordFailure()
			}
			if got, _ := simulateTarget(l, test.work, 8, 20_000); got < 6 {
				t.Fatalf("limit %d, want at least 6", got)
			}
		})
	}
}

// candidates returns n targets in two failure domains.
func candidates(n int) []membership.Candidate {
	var list []membership.Candidate
	for i := range n {
		list = append(list, membership.Candidate{
			Worker: structs.WorkerID(fmt.Sprint("w", i)), FailureDomain: structs.FailureDomainID(fmt.Sprint("d", i%2)),
			Target: structs.Target{ID: structs.TargetID(fmt.Sprint("t", i)), Incarnation: "1", Slots: 8},
		})
	}
	return list
}

func newWarmPicker(n int) *targetPicker {
	p := newTargetPicker("d0")
	p.updateCandidates(candidates(n))
	for _, s := range p.targets {
		s.slowStartSlots, s.latencySamples, s.latencySeconds = s.slots, minLatencySamples, 0.01
	}
	return p
}

func TestPickPrefersLocalFailureDomainUnlessMoreLoaded(t *testing.T) {
	is := is.New(t)
	p := newWarmPicker(4)
	for range 4 {
		is.Equal(p.pick(nil).candidate.FailureDomain, structs.FailureDomainID("d0"))
		for _, s := range p.targets {
			s.inFlight = 0
		}
	}
	for _, s := range p.targets {
		if s.candidate.FailureDomain == "d0" {
			s.inFlight = 4
		}
	}
	is.Equal(p.pick(nil).candidate.FailureDomain, structs.FailureDomainID("d1"))
}

func TestShareOfEjectedTargetsIsBounded(t *testing.T) {
	for _, test := range []struct{ targets, maxEjected int }{{1, 0}, {2, 1}, {3, 1}, {9, 3}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			p := newWarmPicker(test.targets)
			ejected := 0
			for _, s := range p.targets {
				for range ejectAfterFailures {
					s.inFlight++
					if p.recordResult(s, resultFailed, 0, nil) {
						ejected++
					}
				}
			}
			is.Equal(ejected, test.maxEjected)
			is.True(p.pick(nil) != nil)
		})
	}
}

func TestSlowTargetIsEjectedAndReturnsInSlowStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		p := newWarmPicker(6)
		slow := p.targets[0]
		slow.inFlight++
		for range 30 {
			slow.inFlight++
			if p.recordResult(slow, resultAnswered, 100*time.Millisecond, nil) {
				break
			}
		}
		is.True(time.Now().Before(slow.ejectedUntil))
		for range 100 {
			picked := p.pick(nil)
			is.True(picked != slow)
			picked.inFlight--
		}
		time.Sleep(minEjectDuration)
		is.Equal(slow.allowedInFlight(), 1)
	})
}

func TestTargetInSlowStartIsNotFlooded(t *testing.T) {
	is := is.New(t)
	p := newWarmPicker(4)
	for _, s := range p.targets {
		s.inFlight = 4
	}
	slowStarting := p.targets[0]
	slowStarting.slowStartSlots, slowStarting.inFlight = 1, 0
	for range 12 {
		p.pick(nil)
	}
	is.True(slowStarting.inFlight <= 2)
}

func TestTeamLimiterEnforcesRateAndConcurrency(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		teams := newTeamLimiter(100)
		limits := structs.TeamLimits{RequestsPerSecond: 8, Concurrency: 3}
		is.Equal(teams.acquire("a", limits, true), nil)
		is.Equal(teams.acquire("a", limits, true), nil)
		refused := teams.acquire("a", limits, true)
		is.Equal(refused.reason, structs.ReasonRateLimit)
		is.Equal(refused.retryAfter, 125*time.Millisecond)
		time.Sleep(time.Second)
		is.Equal(teams.acquire("a", limits, true), nil)
		is.Equal(teams.acquire("a", limits, true).reason, structs.ReasonConcurrency)
		teams.release("a")
		is.Equal(teams.acquire("a", limits, true), nil)
	})
}

func TestOneTeamDoesNotStarveAnother(t *testing.T) {
	is := is.New(t)
	teams := newTeamLimiter(100)
	for teams.acquire("greedy", structs.TeamLimits{}, true) == nil {
		continue
	}
	is.Equal(teams.inFlight, 100) // no other team contends
	is.True(teams.acquire("other", structs.TeamLimits{}, true) != nil)
	// As slots become free, the other team gets them until both have an equal
	// share.
	admitted := 0
	for range 50 {
		teams.release("greedy")
		if teams.acquire("greedy", structs.TeamLimits{}, true) == nil {
			t.Fatal("the greedy team was admitted above its fair share")
		}
		if teams.acquire("other", structs.TeamLimits{}, true) == nil {
			admitted++
		}
	}
	is.Equal(admitted, 50)
	is.True(teams.acquire("other", structs.TeamLimits{}, false) != nil) // deferred requests leave the rest to urgent ones
}

func TestRetryBudgetBoundsRetriesToAShareOfRequests(t *testing.T) {
	is := is.New(t)
	b := newRetryBudget()
	spent := 0
	for range 1000 {
		b.deposit()
		if b.tryWithdraw() {
			spent++
		}
	}
	is.True(spent <= 1000*retriesPerRequest+maxSavedRetries)
	is.True(spent >= 1000*retriesPerRequest)
}
