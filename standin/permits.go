package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// MaxWaitingPermitCalls is the number of calls of one host that may wait for their turn.
const MaxWaitingPermitCalls = 32

// PermitIssuer is an in-memory permit service. It decides on which task runners
// a step may run. It handles the calls of each host one after the other.
type PermitIssuer struct {
	// IsAllowed reports whether a step may run on the runner with the given ID.
	IsAllowed func(step structs.StepID, runner string) bool
	Policy    structs.PermitPolicy
	// DecidesFirst is set if the validity of a permit begins before the time that a call
	// takes, else it begins after it.
	DecidesFirst bool

	mu               sync.Mutex
	down             bool
	slowdown         int                  // factor of the time that calls take, 0 means 1
	runnersRequested int                  // sum of the numbers of runners in all requests
	expiries         map[string]time.Time // expiry time by permit
}

// NewPermitIssuer returns an issuer without issued permits.
func NewPermitIssuer(policy structs.PermitPolicy, isAllowed func(structs.StepID, string) bool) *PermitIssuer {
	return &PermitIssuer{IsAllowed: isAllowed, Policy: policy, expiries: map[string]time.Time{}}
}

// SetDown sets whether the issuer fails all requests.
func (p *PermitIssuer) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// SetSlowdown sets the factor by which calls take longer than the policy says.
func (p *PermitIssuer) SetSlowdown(times int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.slowdown = times
}

// RunnersRequested returns the number of runners in all requests.
func (p *PermitIssuer) RunnersRequested() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runnersRequested
}

// Client returns the client of one host, which implements substrate.PermitSource.
func (p *PermitIssuer) Client() *PermitIssuerClient {
	return &PermitIssuerClient{issuer: p, turn: make(chan struct{}, 1), waiting: make(chan struct{}, MaxWaitingPermitCalls)}
}

// PermitIssuerClient makes the calls of one host to a PermitIssuer.
type PermitIssuerClient struct {
	issuer  *PermitIssuer
	turn    chan struct{} // held by the call that the issuer handles
	waiting chan struct{} // one entry for each call that waits
}

var _ substrate.PermitSource = (*PermitIssuerClient)(nil)

// RequestPermits implements substrate.PermitSource. A call that the caller gives up takes its
// turn all the same.
func (c *PermitIssuerClient) RequestPermits(ctx context.Context, step structs.StepID, runners []string) (substrate.Permits, error) {
	select {
	case c.waiting <- struct{}{}:
	default:
		return substrate.Permits{}, &structs.UnavailableError{Dependency: "permits"}
	}
	answer := make(chan substrate.Permits, 1)
	go func() {
		c.turn <- struct{}{}
		<-c.waiting
		permits, isUp := c.issuer.decide(step, runners)
		<-c.turn
		if isUp {
			answer <- permits
		}
		close(answer)
	}()
	select {
	case permits, isUp := <-answer:
		if !isUp {
			return substrate.Permits{}, &structs.UnavailableError{Dependency: "permits"}
		}
		return permits, nil
	case <-ctx.Done():
		return substrate.Permits{}, &structs.UnavailableError{Dependency: "permits", Err: ctx.Err()}
	}
}

// decide takes the time of a call and returns the permits, false if the issuer is down.
func (p *PermitIssuer) decide(step structs.StepID, runners []string) (substrate.Permits, bool) {
	p.mu.Lock()
	takes := (p.Policy.BaseLatency + time.Duration(len(runners))*p.Policy.PerWorker) * time.Duration(max(1, p.slowdown))
	p.mu.Unlock()
	begun := time.Now()
	time.Sleep(takes)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return substrate.Permits{}, false
	}
	decidedAt := time.Now()
	if p.DecidesFirst {
		decidedAt = begun
	}
	p.runnersRequested += len(runners)
	permits := substrate.Permits{Tokens: map[string]string{}, Validity: p.Policy.Validity}
	for _, runner := range runners {
		if p.IsAllowed(step, runner) {
			token := fmt.Sprintf("%s on %s", step, runner)
			permits.Tokens[runner] = token
			p.expiries[token] = decidedAt.Add(p.Policy.Validity)
		}
	}
	return permits, true
}

// isValid reports whether the permit covers the step on the runner and has not
// expired.
func (p *PermitIssuer) isValid(token string, step structs.StepID, runner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return token == fmt.Sprintf("%s on %s", step, runner) && time.Now().Before(p.expiries[token])
}
