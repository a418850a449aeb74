package substrate

import (
	"context"

	"github.com/daisywall/daisywall/structs"
)

// PermitSource decides on which runners a step may run.
type PermitSource interface {
	// Permits returns a permit for each of the runners, by ID, that may run the
	// step. Runners without one never may. A permit holds for all tasks of the
	// step during the runner's incarnation, for as long as the policy of the
	// step's queue says. It returns *structs.UnavailableError when nothing was
	// decided.
	Permits(ctx context.Context, step structs.StepID, runners []string) (map[string]string, error)
}
