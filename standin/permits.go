package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// PermitIssuer is an in-memory permit service. It decides on which task runners
// a step may run, and implements substrate.PermitSource.
type PermitIssuer struct {
	// IsAllowed reports whether a step may run on the runner with the given ID.
	IsAllowed func(step structs.StepID, runner string) bool
	Policy    structs.PermitPolicy

	mu               sync.Mutex
	down             bool
	runnersRequested int                  // sum of the numbers of runners in all requests
	expiries         map[string]time.Time // expiry time by permit
}

var _ substrate.PermitSource = (*PermitIssuer)(nil)

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

// RunnersRequested returns the number of runners in all requests.
func (p *PermitIssuer) RunnersRequested() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.runnersRequested
}

// RequestPermits implements substrate.PermitSource.
func (p *PermitIssuer) RequestPermits(ctx context.Context, step structs.StepID, runners []string) (map[string]string, error) {
	if err := wait(ctx, p.Policy.BaseLatency+time.Duration(len(runners))*p.Policy.PerWorker); err != nil {
		return nil, &structs.UnavailableError{Dependency: "permits", Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &structs.UnavailableError{Dependency: "permits"}
	}
	p.runnersRequested += len(runners)
	permits := map[string]string{}
	for _, runner := range runners {
		if p.IsAllowed(step, runner) {
			token := fmt.Sprintf("%s on %s", step, runner)
			permits[runner] = token
			p.expiries[token] = time.Now().Add(p.Policy.Validity)
		}
	}
	return permits, nil
}

// isValid reports whether the permit covers the step on the runner and has not
// expired.
func (p *PermitIssuer) isValid(token string, step structs.StepID, runner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return token == fmt.Sprintf("%s on %s", step, runner) && time.Now().Before(p.expiries[token])
}
