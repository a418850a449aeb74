package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

// faultPlan is a random sequence of requests and faults.
type faultPlan struct {
	requests []plannedRequest
	faults   []plannedFault
}

type plannedRequest struct {
	at          time.Duration
	kind        string
	keyed       bool          // sent with an idempotency key
	numbered    bool          // the caller numbers its sends
	repeatAfter time.Duration // delay until the caller sends the key again through the other entry, 0 for never
}

type plannedFault struct {
	at    time.Duration
	fault int // index in faults
	agent int // index of the agent; len(agents) kills the first entry instead
}

func drawFaultPlan(t *rapid.T, agents int) faultPlan {
	var p faultPlan
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		r := plannedRequest{
			at:   time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * 500 * time.Microsecond,
			kind: rapid.SampledFrom([]string{"alert", "lookup", "match"}).Draw(t, "kind"),
		}
		if r.kind == "alert" && rapid.Bool().Draw(t, "keyed") {
			r.keyed = true
			r.numbered = rapid.Bool().Draw(t, "marked")
			r.repeatAfter = time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 600, 3000}).Draw(t, "repeat")) * time.Millisecond
		}
		p.requests = append(p.requests, r)
	}
	for range rapid.IntRange(1, 3).Draw(t, "faults") {
		p.faults = append(p.faults, plannedFault{
			at:    time.Duration(rapid.IntRange(0, 120).Draw(t, "fault at")) * 250 * time.Microsecond,
			fault: rapid.IntRange(0, len(faults)-1).Draw(t, "fault"),
			agent: rapid.IntRange(0, agents).Draw(t, "agent"),
		})
	}
	return p
}

// sendFunc sends one request of a caller, either Router.Do or a variant with a
// planted fault.
type sendFunc func(r *Router, ctx context.Context, c Call) (Answer, error)

// executePlan executes a plan and returns the results of the callers.
func executePlan(cluster *simulatedCluster, p faultPlan, send sendFunc) []callerResult {
	entries := []*Router{cluster.newRouter(), cluster.newRouter()}
	firstEntry, killEntry := context.WithCancel(context.Background())
	defer killEntry()
	var mu sync.Mutex
	var results []callerResult
	var callers sync.WaitGroup
	sendAt := func(at time.Duration, entry, number int, name string, r plannedRequest) {
		callers.Go(func() {
			time.Sleep(at)
			ctx := context.Background()
			if entry == 0 {
				ctx = firstEntry
			}
			c := newCall(r.kind, name)
			if r.keyed {
				c.Key = name
			}
			if r.numbered {
				c.CallerAttempt = number
			}
			answer, err := send(entries[entry], ctx, c)
			if ctx.Err() != nil {
				return // the entry is dead and returns no result
			}
			mu.Lock()
			defer mu.Unlock()
			results = append(results, callerResult{name, r.kind != "alert", answer, err, r.repeatAfter > 0})
		})
	}
	for i, r := range p.requests {
		name := fmt.Sprintf("r%d", i)
		sendAt(r.at, i%2, 1, name, r)
		if r.repeatAfter > 0 {
			sendAt(r.at+r.repeatAfter, (i+1)%2, 2, name, r)
		}
	}
	for _, f := range p.faults {
		callers.Go(func() {
			time.Sleep(f.at)
			if f.agent == len(cluster.agents) {
				killEntry()
				return
			}
			faults[f.fault].apply(cluster, cluster.agents[f.agent])
		})
	}
	callers.Wait()
	time.Sleep(lateMessageWait)
	return results
}

// runPlan executes a plan in virtual time and checks the guarantees.
func runPlan(t *testing.T, p faultPlan, send sendFunc) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		cluster := newSimulatedCluster(3, 2, 10*time.Millisecond)
		defer cluster.stop()
		err = checkGuarantees(executePlan(cluster, p, send), cluster.history.executionCounts())
	})
	return err
}

func TestCombinationsOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runPlan(t, drawFaultPlan(rt, 3), (*Router).Do); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestFaultPlanDetectsResendAfterUnknownOutcome plants a router that sends a
// request again after an unknown outcome. The checker must report the second
// execution.
func TestFaultPlanDetectsResendAfterUnknownOutcome(t *testing.T) {
	resend := func(r *Router, ctx context.Context, c Call) (Answer, error) {
		answer, err := r.Do(ctx, c)
		var unknown *structs.UnknownOutcomeError
		if errors.As(err, &unknown) {
			c.ID, c.Key = "", ""
			return r.Do(ctx, c)
		}
		return answer, err
	}
	planned := faultPlan{
		requests: []plannedRequest{{kind: "alert"}},
		faults:   []plannedFault{{at: 5 * time.Millisecond, fault: 1, agent: 0}, {at: 5 * time.Millisecond, fault: 1, agent: 2}},
	}
	if err := runPlan(t, planned, (*Router).Do); err != nil {
		t.Fatal(err)
	}
	if runPlan(t, planned, resend) == nil {
		t.Fatal("the checker did not detect the second execution")
	}
}

// TestRefusalAfterUnknownAttemptReportsUnknownOutcome kills every agent while
// an idempotent request runs at the first one. The retries are refused, but the
// request may have run and must not be reported as not run.
func TestRefusalAfterUnknownAttemptReportsUnknownOutcome(t *testing.T) {
	planned := faultPlan{requests: []plannedRequest{{kind: "lookup"}}}
	for agent := range 3 {
		planned.faults = append(planned.faults, plannedFault{at: 5 * time.Millisecond, fault: 1, agent: agent})
	}
	if err := runPlan(t, planned, (*Router).Do); err != nil {
		t.Fatal(err)
	}
}
