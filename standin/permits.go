package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// PermitIssuer decides on which task runners a step may run. It implements
// substrate.PermitSource.
type PermitIssuer struct {
	// Allows tells which runners, by ID, may run a step.
	Allows func(step structs.StepID, runner string) bool
	Policy structs.PermitPolicy

	mu     sync.Mutex
	down   bool
	asked  int                  // runners, in all calls
	issued map[string]time.Time // end of each permit
}

var _ substrate.PermitSource = (*PermitIssuer)(nil)

// NewPermitIssuer returns an issuer.
func NewPermitIssuer(policy structs.PermitPolicy, allows func(structs.StepID, string) bool) *PermitIssuer {
	return &PermitIssuer{Allows: allows, Policy: policy, issued: map[string]time.Time{}}
}

// SetDown makes the issuer refuse to decide.
func (p *PermitIssuer) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.down = down
}

// Asked returns for how many runners it was asked in all.
func (p *PermitIssuer) Asked() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.asked
}

// Permits implements substrate.PermitSource.
func (p *PermitIssuer) Permits(ctx context.Context, step structs.StepID, runners []string) (map[string]string, error) {
	if err := wait(ctx, p.Policy.Decide+time.Duration(len(runners))*p.Policy.PerWorker); err != nil {
		return nil, &structs.UnavailableError{Dependency: "permits", Err: err}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.down {
		return nil, &structs.UnavailableError{Dependency: "permits"}
	}
	p.asked += len(runners)
	given := map[string]string{}
	for _, runner := range runners {
		if p.Allows(step, runner) {
			token := fmt.Sprintf("%s on %s", step, runner)
			given[runner] = token
			p.issued[token] = time.Now().Add(p.Policy.Valid)
		}
	}
	return given, nil
}

// holds reports whether the permit covers the step on the runner now.
func (p *PermitIssuer) holds(token string, step structs.StepID, runner string) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	return token == fmt.Sprintf("%s on %s", step, runner) && time.Now().Before(p.issued[token])
}
