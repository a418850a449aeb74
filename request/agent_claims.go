package request

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

const (
	// maxClaims bounds the number of claims that one agent holds.
	maxClaims = 100_000
	// defaultClaimRetention is the time for which a claim is held when the
	// request does not specify a retention.
	defaultClaimRetention = 10 * time.Minute
)

// agentClaims is an agent's in-memory store of claims of idempotency keys.
// Entries access it by calls to the agent.
type agentClaims struct {
	mu     sync.Mutex
	claims map[claimKey]agentClaim
}

type claimKey struct{ team, key string }

type agentClaim struct {
	requestID string
	worker    string
	expires   time.Time
}

func newAgentClaims() *agentClaims {
	return &agentClaims{claims: map[claimKey]agentClaim{}}
}

// acquire grants the key to the request ID and worker that claim it first, and
// returns the current holder. When the agent holds maxClaims, it grants nothing
// and returns no holder.
func (c *agentClaims) acquire(request *daisywallpb.ClaimRequest, now time.Time) (held agentClaim, granted bool) {
	retention := time.Duration(request.RetentionMs) * time.Millisecond
	if retention <= 0 {
		retention = defaultClaimRetention
	}
	key := claimKey{request.Team, request.Key}
	wanted := agentClaim{request.RequestId, request.Worker, now.Add(retention)}
	c.mu.Lock()
	defer c.mu.Unlock()
	held, found := c.claims[key]
	if found && now.Before(held.expires) {
		return held, held.requestID == wanted.requestID && held.worker == wanted.worker
	}
	if len(c.claims) >= maxClaims && !c.removeExpired(now) {
		return agentClaim{}, false
	}
	c.claims[key] = wanted
	return wanted, true
}

// removeExpired removes expired claims and reports whether there were any. The
// caller holds the lock.
func (c *agentClaims) removeExpired(now time.Time) bool {
	before := len(c.claims)
	for key, held := range c.claims {
		if !now.Before(held.expires) {
			delete(c.claims, key)
		}
	}
	return len(c.claims) < before
}

// Claim implements the Agent service.
func (e *Executor) Claim(_ context.Context, request *daisywallpb.ClaimRequest) (*daisywallpb.ClaimResponse, error) {
	held, granted := e.claims.acquire(request, time.Now())
	return &daisywallpb.ClaimResponse{
		Granted: granted, HolderRequestId: held.requestID, HolderWorker: held.worker,
		AgentAgeMs: e.Uptime().Milliseconds(),
	}, nil
}
