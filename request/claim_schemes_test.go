package request

import (
	"context"
	"errors"
	"fmt"
	"sort"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

// holderClaims keeps claims at the agents that rank highest for the key, way
// (b) of docs/design/idempotency-keys.md. With early set it is way (c): a
// request that its caller calls the first runs at once and leaves its claim;
// any other runs only when the claims prove that none ran.
type holderClaims struct {
	world   *world
	members *fakeMembers
	early   bool
	leaving sync.WaitGroup
}

type firstAttempt struct{}

const holderCount = 3

func (h *holderClaims) holders(key string) []membership.Candidate {
	list := append([]membership.Candidate(nil), h.members.Candidates("", "")...)
	sort.Slice(list, func(i, j int) bool {
		return xxhash.Sum64String(key+string(list[i].Worker)) < xxhash.Sum64String(key+string(list[j].Worker))
	})
	return list[:min(holderCount, len(list))]
}

func (h *holderClaims) ask(ctx context.Context, c membership.Candidate, key string, want Claim) *daisywallpb.ClaimResponse {
	conn, err := h.world.dial(c.Address)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	response, err := conn.Claim(ctx, &daisywallpb.ClaimRequest{Team: "graz", Key: key, RequestId: string(want.ID), Worker: string(want.Worker)})
	if err != nil {
		return nil
	}
	return response
}

func (h *holderClaims) Acquire(ctx context.Context, key string, want Claim, _ *Claim) (Claim, bool, error) {
	if h.early && ctx.Value(firstAttempt{}) != nil {
		for _, c := range h.holders(key) {
			h.leaving.Go(func() { h.ask(context.WithoutCancel(ctx), c, key, want) })
		}
		return want, true, nil
	}
	responses := make(chan *daisywallpb.ClaimResponse, holderCount)
	holders := h.holders(key)
	for _, c := range holders {
		go func() { responses <- h.ask(ctx, c, key, want) }()
	}
	granted := 0
	for range holders {
		r := <-responses
		switch {
		case r == nil:
		case r.Granted && time.Duration(r.AgentAgeMs)*time.Millisecond >= defaultClaimRetention:
			granted++
		case !r.Granted && r.HolderRequestId != "":
			for _, c := range h.members.Candidates("", "") {
				if string(c.Worker) == r.HolderWorker {
					return Claim{ID: structs.RequestID(r.HolderRequestId), Worker: c.Worker, Address: c.Address, Incarnation: c.Incarnation, Version: 1}, false, nil
				}
			}
			return Claim{}, false, &structs.UnknownOutcomeError{Operation: "claim"}
		}
	}
	need := holderCount/2 + 1
	if h.early {
		need = holderCount
	}
	if granted < need {
		return Claim{}, false, &structs.UnavailableError{Dependency: "holders of the claim"}
	}
	return want, true, nil
}

func (h *holderClaims) Find(context.Context, string) (Claim, error) {
	return Claim{}, &structs.NotFoundError{Subject: "claim"}
}

// trial is what one way did in one situation.
type trial struct {
	answered, refused, unknown, doubled int
	first                               time.Duration // latency of first attempts, mean
	writes                              int
}

// tryWay sends keyed requests through one entry and repeats each through
// another, with something happening in between.
func tryWay(t *testing.T, way string, before, between func(w *world, second *fakeMembers, runner *fakeAgent)) trial {
	var out trial
	const requests = 20
	synctest.Test(t, func(*testing.T) {
		w := newWorld(8, 8, 10*time.Millisecond)
		defer w.stop()
		time.Sleep(defaultClaimRetention + time.Minute)
		w.refresh()
		second := &fakeMembers{list: w.members.list}
		entry := func(members *fakeMembers) *Router {
			claims := w.claims
			if way == "b" || way == "c" {
				claims = &holderClaims{world: w, members: members, early: way == "c"}
			}
			r, err := NewRouter(RouterOptions{
				FailureDomain: "d0", Members: members, Dial: w.dial, Claims: claims,
				Config: func() *structs.Config { return w.config },
			})
			if err != nil {
				panic(err)
			}
			w.started.Go(func() { _ = r.Run(w.ctx) })
			return r
		}
		one, two := entry(w.members), entry(second)
		before(w, second, w.agents[0])
		for i := range requests {
			c := call("alert", fmt.Sprintf("r%d", i))
			c.Key = string(c.Body)
			if way == "d" {
				c.Try = 1
			}
			began := time.Now()
			answer, err := one.Do(context.WithValue(context.Background(), firstAttempt{}, true), c)
			out.first += time.Since(began) / requests
			out.count(err)
			if err == nil {
				for _, a := range w.agents {
					if a.id == answer.Worker {
						between(w, second, a)
					}
				}
			}
			if way == "d" {
				c.Try = 2
			}
			_, err = two.Do(context.Background(), c)
			out.count(err)
		}
		out.writes = w.table.writes
		for _, n := range w.history.runs() {
			out.doubled += max(0, n-1)
		}
	})
	return out
}

func (r *trial) count(err error) {
	var unknown *structs.UnknownOutcomeError
	switch {
	case err == nil:
		r.answered++
	case errors.As(err, &unknown):
		r.unknown++
	default:
		r.refused++
	}
}

// TestWaysOfClaiming tries the ways of docs/design/idempotency-keys.md. The
// way that the router uses must never run a request twice.
func TestWaysOfClaiming(t *testing.T) {
	nothing := func(*world, *fakeMembers, *fakeAgent) {}
	outage := func(w *world, _ *fakeMembers, _ *fakeAgent) { w.table.set(func(f *fakeTable) { f.down = true }) }
	restart := func(w *world, second *fakeMembers, a *fakeAgent) {
		a.restart()
		w.refresh()
		second.mu.Lock()
		defer second.mu.Unlock()
		second.list = w.members.list
	}
	// The second entry knows only the half of the agents without the runner.
	split := func(w *world, second *fakeMembers, runner *fakeAgent) {
		var list []membership.Candidate
		for i, c := range w.members.list {
			if c.Worker != runner.id && i%2 == 0 {
				list = append(list, c)
			}
		}
		second.mu.Lock()
		defer second.mu.Unlock()
		second.list = list
	}
	silence := func(w *world, _ *fakeMembers, _ *fakeAgent) {
		w.table.set(func(f *fakeTable) { f.slow = time.Minute })
	}
	situations := []struct {
		name            string
		before, between func(*world, *fakeMembers, *fakeAgent)
	}{
		{"quiet", nothing, nothing},
		{"table out", outage, nothing},
		{"table silent", silence, nothing},
		{"runner restarted", nothing, restart},
		{"table out, runner restarted", outage, restart},
		{"entries know different agents", nothing, split},
		{"table out, different agents", outage, split},
	}
	doubled := map[string]int{}
	for _, way := range []string{"a", "b", "c", "d"} {
		for _, s := range situations {
			r := tryWay(t, way, s.before, s.between)
			doubled[way] += r.doubled
			t.Logf("way %s, %-30s answered %2d refused %2d unknown %2d of 40, ran twice %2d, first attempt %5.2f ms, rows written %d",
				way, s.name, r.answered, r.refused, r.unknown, r.doubled, float64(r.first.Microseconds())/1000, r.writes)
		}
	}
	if doubled["a"]+doubled["d"] != 0 {
		t.Fatalf("claims in the table let requests run twice: %v", doubled)
	}
	if doubled["b"] == 0 {
		t.Fatal("the trial no longer shows why claims at agents were not chosen")
	}
}
