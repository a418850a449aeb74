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

// plan is one drawn run: requests of callers and faults at moments.
type plan struct {
	requests []plannedRequest
	faults   []plannedFault
}

type plannedRequest struct {
	at     time.Duration
	kind   string
	key    bool
	marked bool          // the caller numbers its tries
	repeat time.Duration // when the caller sends it again through the other entry, 0 for never
}

type plannedFault struct {
	at    time.Duration
	fault int
	agent int // index; one past the end kills the first entry instead
}

func drawPlan(t *rapid.T, agents int) plan {
	var p plan
	for range rapid.IntRange(1, 8).Draw(t, "requests") {
		r := plannedRequest{
			at:   time.Duration(rapid.IntRange(0, 60).Draw(t, "at")) * 500 * time.Microsecond,
			kind: rapid.SampledFrom([]string{"alert", "lookup", "match"}).Draw(t, "kind"),
		}
		if r.kind == "alert" && rapid.Bool().Draw(t, "keyed") {
			r.key = true
			r.marked = rapid.Bool().Draw(t, "marked")
			r.repeat = time.Duration(rapid.SampledFrom([]int{0, 1, 5, 20, 600, 3000}).Draw(t, "repeat")) * time.Millisecond
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

// carrier sends one request of a caller; the router's Do, or a planted fault.
type carrier func(r *Router, ctx context.Context, c Call) (Answer, error)

// execute runs a plan and returns what callers were told.
func execute(w *world, p plan, do carrier) []verdict {
	entries := []*Router{w.router(), w.router()}
	firstEntry, killEntry := context.WithCancel(context.Background())
	defer killEntry()
	var mu sync.Mutex
	var verdicts []verdict
	var callers sync.WaitGroup
	send := func(at time.Duration, entry, try int, name string, r plannedRequest) {
		callers.Go(func() {
			time.Sleep(at)
			ctx := context.Background()
			if entry == 0 {
				ctx = firstEntry
			}
			c := call(r.kind, name)
			if r.key {
				c.Key = name
			}
			if r.marked {
				c.Try = try
			}
			answer, err := do(entries[entry], ctx, c)
			if ctx.Err() != nil {
				return // the entry is dead and says nothing
			}
			mu.Lock()
			defer mu.Unlock()
			verdicts = append(verdicts, verdict{name, r.kind != "alert", answer, err, r.repeat > 0})
		})
	}
	for i, r := range p.requests {
		name := fmt.Sprintf("r%d", i)
		send(r.at, i%2, 1, name, r)
		if r.repeat > 0 {
			send(r.at+r.repeat, (i+1)%2, 2, name, r)
		}
	}
	for _, f := range p.faults {
		callers.Go(func() {
			time.Sleep(f.at)
			if f.agent == len(w.agents) {
				killEntry()
				return
			}
			faults[f.fault].apply(w, w.agents[f.agent])
		})
	}
	callers.Wait()
	time.Sleep(quietTime)
	return verdicts
}

// runPlan runs a plan in virtual time and checks it.
func runPlan(t *testing.T, p plan, do carrier) error {
	var err error
	synctest.Test(t, func(*testing.T) {
		w := newWorld(3, 2, 10*time.Millisecond)
		defer w.stop()
		err = check(execute(w, p, do), w.history.runs())
	})
	return err
}

func TestCombinationsOfFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if err := runPlan(t, drawPlan(rt, 3), (*Router).Do); err != nil {
			rt.Fatal(err)
		}
	})
}

// TestCombinationsCatchResendOnUnknown plants a router that sends again when
// an outcome is unknown.
func TestCombinationsCatchResendOnUnknown(t *testing.T) {
	resend := func(r *Router, ctx context.Context, c Call) (Answer, error) {
		answer, err := r.Do(ctx, c)
		var unknown *structs.UnknownOutcomeError
		if errors.As(err, &unknown) {
			c.ID, c.Key = "", ""
			return r.Do(ctx, c)
		}
		return answer, err
	}
	cell := plan{
		requests: []plannedRequest{{kind: "alert"}},
		faults:   []plannedFault{{at: 5 * time.Millisecond, fault: 1, agent: 0}, {at: 5 * time.Millisecond, fault: 1, agent: 2}},
	}
	if err := runPlan(t, cell, (*Router).Do); err != nil {
		t.Fatal(err)
	}
	if runPlan(t, cell, resend) == nil {
		t.Fatal("the checker let a second execution pass")
	}
}

// TestRefusalAfterAnUnknownAttemptIsUnknown kills every agent while an
// idempotent request runs at the first one.
func TestRefusalAfterAnUnknownAttemptIsUnknown(t *testing.T) {
	cell := plan{requests: []plannedRequest{{kind: "lookup"}}}
	for agent := range 3 {
		cell.faults = append(cell.faults, plannedFault{at: 5 * time.Millisecond, fault: 1, agent: agent})
	}
	if err := runPlan(t, cell, (*Router).Do); err != nil {
		t.Fatal(err)
	}
}
