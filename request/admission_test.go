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

func fixedGate(limit, queue int) *admissionQueue {
	return newAdmissionQueue(func() int { return limit }, func(int) int { return queue })
}

// hold takes a place for a time and reports the refusal.
func hold(g *admissionQueue, urgent bool, takes, deadline time.Duration) *refusal {
	if refused := g.acquire(context.Background(), nil, urgent, time.Now().Add(deadline)); refused != nil {
		return refused
	}
	time.Sleep(takes)
	g.release(urgent, takes)
	return nil
}

func TestUrgentGoesBeforeDeferredAndPushesItOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := fixedGate(1, 4)
		var all sync.WaitGroup
		var mu sync.Mutex
		var order []string
		send := func(name string, urgent bool) {
			all.Go(func() {
				refused := hold(g, urgent, 10*time.Millisecond, time.Second)
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

func TestRequestThatCannotEndInTimeIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		g := fixedGate(1, 10)
		is.Equal(hold(g, true, 100*time.Millisecond, time.Second), nil)
		var running sync.WaitGroup
		running.Go(func() { hold(g, true, 100*time.Millisecond, time.Second) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		refused := hold(g, true, 100*time.Millisecond, 150*time.Millisecond)
		is.Equal(refused.reason, structs.ReasonDeadline)
		is.Equal(time.Since(began), time.Duration(0))
		is.True(refused.retryAfter > 0)
		running.Wait()
	})
}

// gateError names a broken rule of a gate.
type gateError struct{ rule string }

func (e *gateError) Error() string { return e.rule }

// checkGate holds at rest: no place is taken and nobody waits.
func checkGate(g *admissionQueue, most, limit int) error {
	if most > limit {
		return &gateError{fmt.Sprintf("%d requests at once, limit %d", most, limit)}
	}
	if l := g.load(); l.inUse != 0 || l.queued != 0 {
		return &gateError{fmt.Sprintf("%d in use and %d queued at rest", l.inUse, l.queued)}
	}
	return nil
}

// TestGateHoldsItsLimitAndLosesNobody draws requests, callers that give up and
// deadlines.
func TestGateHoldsItsLimitAndLosesNobody(t *testing.T) {
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
			g := fixedGate(limit, limit)
			var mu sync.Mutex
			var all sync.WaitGroup
			inUse, most := 0, 0
			for _, r := range requests {
				all.Go(func() {
					ms := time.Millisecond
					time.Sleep(time.Duration(r[0]) * ms)
					ctx, cancel := context.WithTimeout(context.Background(), time.Duration(r[2])*ms)
					defer cancel()
					urgent := r[3]%2 == 0
					if g.acquire(ctx, nil, urgent, time.Now().Add(time.Duration(r[2])*ms*time.Duration(1+r[3]/2))) != nil {
						return
					}
					mu.Lock()
					inUse++
					most = max(most, inUse)
					mu.Unlock()
					time.Sleep(time.Duration(r[1]) * ms)
					mu.Lock()
					inUse--
					mu.Unlock()
					g.release(urgent, time.Duration(r[1])*ms)
				})
			}
			all.Wait()
			err = checkGate(g, most, limit)
		})
		if err != nil {
			rt.Fatal(err)
		}
	})
}

func TestGateCheckCatchesALostPlace(t *testing.T) {
	g := fixedGate(2, 2)
	g.acquire(context.Background(), nil, true, time.Now().Add(time.Second)) // never released
	is.New(t).True(checkGate(g, 1, 2) != nil)
	is.New(t).True(checkGate(fixedGate(2, 2), 3, 2) != nil)
}

// serve drives a limiter with a target that really has the given number of
// slots, as fast as the limiter allows. It returns the mean limit over the
// last half and the highest.
func serve(l *concurrencyLimiter, slots, requests int) (mean, highest int) {
	const work = 10 * time.Millisecond
	now := time.Time{}.Add(time.Hour)
	sum := 0
	for i := range requests {
		limit := l.current()
		highest = max(highest, limit)
		if i >= requests/2 {
			sum += limit
		}
		// With more requests than slots each takes its share of the slots.
		took := work * time.Duration(max(limit, slots)) / time.Duration(slots)
		now = now.Add(took / time.Duration(limit))
		l.recordCompletion(now, took, limit)
	}
	return sum / (requests / 2), highest
}

func TestLimiterFindsTheRealSlots(t *testing.T) {
	for _, test := range []struct{ declared, real, low, high int }{
		{8, 8, 6, 12},
		{8, 2, 1, 4},
		{60, 8, 6, 14},
		{2, 16, 12, 22},
	} {
		t.Run(fmt.Sprintf("declared %d real %d", test.declared, test.real), func(t *testing.T) {
			got, _ := serve(newConcurrencyLimiter(test.declared, 60), test.real, 20_000)
			if got < test.low || got > test.high {
				t.Fatalf("limit %d, want %d to %d", got, test.low, test.high)
			}
		})
	}
}

func TestLimiterNeverPassesConnections(t *testing.T) {
	_, highest := serve(newConcurrencyLimiter(8, 10), 100, 10_000)
	is.New(t).Equal(highest, 10)
}

// candidates makes n targets, spread over two failure domains.
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

func warmChooser(n int) *targetPicker {
	c := newTargetPicker("d0")
	c.updateCandidates(candidates(n))
	for _, s := range c.targets {
		s.slowStartSlots, s.latencySamples, s.latencySeconds = s.slots, minLatencySamples, 0.01
	}
	return c
}

func TestOwnFailureDomainGoesFirstUnlessWorse(t *testing.T) {
	is := is.New(t)
	c := warmChooser(4)
	for range 4 {
		is.Equal(c.pick(nil).candidate.FailureDomain, structs.FailureDomainID("d0"))
		for _, s := range c.targets {
			s.inFlight = 0
		}
	}
	for _, s := range c.targets {
		if s.candidate.FailureDomain == "d0" {
			s.inFlight = 4
		}
	}
	is.Equal(c.pick(nil).candidate.FailureDomain, structs.FailureDomainID("d1"))
}

func TestEjectedShareIsBounded(t *testing.T) {
	for _, test := range []struct{ targets, most int }{{1, 0}, {2, 1}, {3, 1}, {9, 3}} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			c := warmChooser(test.targets)
			ejected := 0
			for _, s := range c.targets {
				for range ejectAfterFailures {
					s.inFlight++
					if c.recordResult(s, resultFailed, 0, nil) {
						ejected++
					}
				}
			}
			is.Equal(ejected, test.most)
			is.True(c.pick(nil) != nil)
		})
	}
}

func TestSlowTargetIsEjectedAndComesBackFresh(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		c := warmChooser(6)
		slow := c.targets[0]
		slow.inFlight++
		for range 30 {
			slow.inFlight++
			if c.recordResult(slow, resultAnswered, 100*time.Millisecond, nil) {
				break
			}
		}
		is.True(time.Now().Before(slow.ejectedUntil))
		for range 100 {
			picked := c.pick(nil)
			is.True(picked != slow)
			picked.inFlight--
		}
		time.Sleep(ejectMinDuration)
		is.Equal(slow.allowedInFlight(), 1)
	})
}

func TestNoHerdOntoAFreshTarget(t *testing.T) {
	is := is.New(t)
	c := warmChooser(4)
	for _, s := range c.targets {
		s.inFlight = 4
	}
	fresh := c.targets[0]
	fresh.slowStartSlots, fresh.inFlight = 1, 0
	for range 12 {
		c.pick(nil)
	}
	is.True(fresh.inFlight <= 2)
}

func TestTeamLimits(t *testing.T) {
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
	is.Equal(teams.inFlight, 100) // nobody else is there
	is.True(teams.acquire("other", structs.TeamLimits{}, true) != nil)
	// As places become free they go to the other team until both are even.
	got := 0
	for range 50 {
		teams.release("greedy")
		if teams.acquire("greedy", structs.TeamLimits{}, true) == nil {
			t.Fatal("the greedy team took the place back")
		}
		if teams.acquire("other", structs.TeamLimits{}, true) == nil {
			got++
		}
	}
	is.Equal(got, 50)
	is.True(teams.acquire("other", structs.TeamLimits{}, false) != nil) // deferred leaves the rest to urgent
}

func TestRetryBudgetIsAShareOfRequests(t *testing.T) {
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
