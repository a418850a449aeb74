package substrate

import (
	"context"

	"github.com/daisywall/daisywall/structs"
)

// PermitSource decides on which runners a step may run.
type PermitSource interface {
	// RequestPermits returns the permits for the step by runner ID. A runner
	// that is missing from the result is denied permanently. A permit covers
	// all tasks of the step and is valid during the incarnation of the runner,
	// for the time in the permit policy of the step's queue. RequestPermits
	// returns *structs.UnavailableError if the source made no decision.
	RequestPermits(ctx context.Context, step structs.StepID, runners []string) (map[string]string, error)
}
