package request

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

const (
	// maxClaims bounds the claims that one agent holds.
	maxClaims = 100_000
	// defaultClaimRetention is the time for which a claim is held when the
	// entry names none.
	defaultClaimRetention = 10 * time.Minute
)

// agentClaims holds claims of idempotency keys for entries.
type agentClaims struct {
	mu     sync.Mutex
	claims map[claimKey]claim
}

type claimKey struct{ team, key string }

type claim struct {
	requestID string
	worker    string
	expires   time.Time
}

func newAgentClaims() *agentClaims {
	return &agentClaims{claims: map[claimKey]claim{}}
}

// claim grants the key to the first request ID and worker that ask, and
// returns the holder. At the bound it grants nothing and names no holder.
func (c *agentClaims) claim(request *daisywallpb.ClaimRequest, now time.Time) (held claim, granted bool) {
	retention := time.Duration(request.RetentionMs) * time.Millisecond
	if retention <= 0 {
		retention = defaultClaimRetention
	}
	key := claimKey{request.Team, request.Key}
	wanted := claim{request.RequestId, request.Worker, now.Add(retention)}
	c.mu.Lock()
	defer c.mu.Unlock()
	held, found := c.claims[key]
	if found && now.Before(held.expires) {
		return held, held.requestID == wanted.requestID && held.worker == wanted.worker
	}
	if len(c.claims) >= maxClaims && !c.expire(now) {
		return claim{}, false
	}
	c.claims[key] = wanted
	return wanted, true
}

// expire drops claims that have ended and reports whether any had.
func (c *agentClaims) expire(now time.Time) bool {
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
	held, granted := e.claims.claim(request, time.Now())
	return &daisywallpb.ClaimResponse{
		Granted: granted, HolderRequestId: held.requestID, HolderWorker: held.worker,
		AgentAgeMs: e.Clock().Milliseconds(),
	}, nil
}
