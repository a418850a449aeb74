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

// agentHeldClaims keeps claims at the agents that rank highest for the key. It
// implements scheme (b) of docs/design/idempotency-keys.md, and scheme (c) if
// firstSendRunsAtOnce is set. In scheme (c) the first send of a key runs at
// once and leaves its claim, and a repetition runs only if the claims prove
// that no earlier send ran.
type agentHeldClaims struct {
	cluster             *simulatedCluster
	members             *fakeCandidateSource
	firstSendRunsAtOnce bool
	pendingClaims       sync.WaitGroup
}

// firstSendKey is the context key that marks the first send of a key.
type firstSendKey struct{}

// holderCount is the number of agents that hold the claim of a key.
const holderCount = 3

func (h *agentHeldClaims) holders(key string) []membership.Candidate {
	list := append([]membership.Candidate(nil), h.members.Candidates("", "")...)
	sort.Slice(list, func(i, j int) bool {
		return xxhash.Sum64String(key+string(list[i].Worker)) < xxhash.Sum64String(key+string(list[j].Worker))
	})
	return list[:min(holderCount, len(list))]
}

func (h *agentHeldClaims) claimAt(ctx context.Context, c membership.Candidate, key string, want Claim) *daisywallpb.ClaimResponse {
	conn, err := h.cluster.dial(c.Address)
	if err != nil {
		return nil
	}
	defer func() { _ = conn.Close() }()
	ctx, cancel := context.WithTimeout(ctx, 100*time.Millisecond)
	defer cancel()
	response, err := conn.Claim(ctx, &daisywallpb.ClaimRequest{Team: "graz", Key: key, RequestId: string(want.RequestID), Worker: string(want.Worker)})
	if err != nil {
		return nil
	}
	return response
}

func (h *agentHeldClaims) Acquire(ctx context.Context, key string, want Claim, _ *Claim) (Claim, bool, error) {
	if h.firstSendRunsAtOnce && ctx.Value(firstSendKey{}) != nil {
		for _, c := range h.holders(key) {
			h.pendingClaims.Go(func() { h.claimAt(context.WithoutCancel(ctx), c, key, want) })
		}
		return want, true, nil
	}
	responses := make(chan *daisywallpb.ClaimResponse, holderCount)
	holders := h.holders(key)
	for _, c := range holders {
		go func() { responses <- h.claimAt(ctx, c, key, want) }()
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
					return Claim{RequestID: structs.RequestID(r.HolderRequestId), Worker: c.Worker, Address: c.Address, Incarnation: c.Incarnation, Version: 1}, false, nil
				}
			}
			return Claim{}, false, &structs.UnknownOutcomeError{Operation: "claim"}
		}
	}
	requiredGrants := holderCount/2 + 1
	if h.firstSendRunsAtOnce {
		requiredGrants = holderCount
	}
	if granted < requiredGrants {
		return Claim{}, false, &structs.UnavailableError{Dependency: "holders of the claim"}
	}
	return want, true, nil
}

func (h *agentHeldClaims) Find(context.Context, string) (Claim, error) {
	return Claim{}, &structs.NotFoundError{Subject: "claim"}
}

// schemeResult counts the outcomes of one scheme in one scenario.
type schemeResult struct {
	answered, refused, unknown, ranTwice int
	firstSendLatency                     time.Duration // mean latency of first sends
	rowsWritten                          int
}

// runScheme sends keyed requests through one entry and repeats each through
// another. It calls beforeFirst before the first request, and betweenSends
// after each answered first send.
func runScheme(t *testing.T, scheme string, beforeFirst, betweenSends func(cluster *simulatedCluster, secondMembers *fakeCandidateSource, runner *fakeAgent)) schemeResult {
	var result schemeResult
	const requests = 20
	synctest.Test(t, func(*testing.T) {
		cluster := newSimulatedCluster(8, 8, 10*time.Millisecond)
		defer cluster.stop()
		time.Sleep(defaultClaimRetention + time.Minute)
		cluster.refreshMembers()
		secondMembers := &fakeCandidateSource{list: cluster.members.list}
		newEntry := func(members *fakeCandidateSource) *Router {
			claims := cluster.claims
			if scheme == "b" || scheme == "c" {
				claims = &agentHeldClaims{cluster: cluster, members: members, firstSendRunsAtOnce: scheme == "c"}
			}
			r, err := NewRouter(RouterOptions{
				FailureDomain: "d0", Candidates: members, Dial: cluster.dial, Claims: claims,
				Config: func() *structs.Config { return cluster.config },
			})
			if err != nil {
				panic(err)
			}
			cluster.goroutines.Go(func() { _ = r.Run(cluster.ctx) })
			return r
		}
		firstEntry, secondEntry := newEntry(cluster.members), newEntry(secondMembers)
		beforeFirst(cluster, secondMembers, cluster.agents[0])
		for i := range requests {
			c := newCall("alert", fmt.Sprintf("r%d", i))
			c.Key = string(c.Body)
			if scheme == "d" {
				c.CallerAttempt = 1
			}
			began := time.Now()
			answer, err := firstEntry.Do(context.WithValue(context.Background(), firstSendKey{}, true), c)
			result.firstSendLatency += time.Since(began) / requests
			result.count(err)
			if err == nil {
				for _, a := range cluster.agents {
					if a.id == answer.Worker {
						betweenSends(cluster, secondMembers, a)
					}
				}
			}
			if scheme == "d" {
				c.CallerAttempt = 2
			}
			_, err = secondEntry.Do(context.Background(), c)
			result.count(err)
		}
		result.rowsWritten = cluster.table.rowsWritten
		for _, n := range cluster.history.executionCounts() {
			result.ranTwice += max(0, n-1)
		}
	})
	return result
}

func (r *schemeResult) count(err error) {
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

// TestClaimsInTheTableNeverRunAKeyTwice compares the schemes of
// docs/design/idempotency-keys.md under outages, restarts and different views
// of the agents. The schemes with claims in the table, (a) and (d), must never
// run a request twice.
func TestClaimsInTheTableNeverRunAKeyTwice(t *testing.T) {
	noFault := func(*simulatedCluster, *fakeCandidateSource, *fakeAgent) {}
	tableOutage := func(cluster *simulatedCluster, _ *fakeCandidateSource, _ *fakeAgent) {
		cluster.table.set(func(f *fakeTable) { f.down = true })
	}
	restartRunner := func(cluster *simulatedCluster, secondMembers *fakeCandidateSource, a *fakeAgent) {
		a.restart()
		cluster.refreshMembers()
		secondMembers.mu.Lock()
		defer secondMembers.mu.Unlock()
		secondMembers.list = cluster.members.list
	}
	// The second entry has only half of the agents as candidates, without the
	// agent that ran the request.
	splitMembers := func(cluster *simulatedCluster, secondMembers *fakeCandidateSource, runner *fakeAgent) {
		var list []membership.Candidate
		for i, c := range cluster.members.list {
			if c.Worker != runner.id && i%2 == 0 {
				list = append(list, c)
			}
		}
		secondMembers.mu.Lock()
		defer secondMembers.mu.Unlock()
		secondMembers.list = list
	}
	tableSilence := func(cluster *simulatedCluster, _ *fakeCandidateSource, _ *fakeAgent) {
		cluster.table.set(func(f *fakeTable) { f.latency = time.Minute })
	}
	scenarios := []struct {
		name                      string
		beforeFirst, betweenSends func(*simulatedCluster, *fakeCandidateSource, *fakeAgent)
	}{
		{"quiet", noFault, noFault},
		{"table out", tableOutage, noFault},
		{"table silent", tableSilence, noFault},
		{"runner restarted", noFault, restartRunner},
		{"table out, runner restarted", tableOutage, restartRunner},
		{"entries know different agents", noFault, splitMembers},
		{"table out, different agents", tableOutage, splitMembers},
	}
	ranTwice := map[string]int{}
	for _, scheme := range []string{"a", "b", "c", "d"} {
		for _, s := range scenarios {
			r := runScheme(t, scheme, s.beforeFirst, s.betweenSends)
			ranTwice[scheme] += r.ranTwice
			t.Logf("scheme %s, %-30s answered %2d refused %2d unknown %2d of 40, ran twice %2d, first send %5.2f ms, rows written %d",
				scheme, s.name, r.answered, r.refused, r.unknown, r.ranTwice, float64(r.firstSendLatency.Microseconds())/1000, r.rowsWritten)
		}
	}
	if ranTwice["a"]+ranTwice["d"] != 0 {
		t.Fatalf("claims in the table let requests run twice: %v", ranTwice)
	}
	if ranTwice["b"] == 0 {
		t.Fatal("scheme (b) no longer runs a request twice, so docs/design/idempotency-keys.md is out of date")
	}
}
