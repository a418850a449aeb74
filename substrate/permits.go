package substrate

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// PermitSource decides on which runners a step may run.
type PermitSource interface {
	// RequestPermits returns the permits for the step. A runner that is missing from
	// the result is denied permanently. A permit covers all tasks of the step and is
	// valid during the incarnation of the runner. The source handles the calls of a
	// host one after the other. RequestPermits returns *structs.UnavailableError if
	// the source made no decision.
	RequestPermits(ctx context.Context, step structs.StepID, runners []string) (Permits, error)
}

// Permits is the answer to one call to a PermitSource.
type Permits struct {
	Tokens map[string]string // permits by runner ID
	// Validity is the time from the decision of the source to the end of the permits, 0 if
	// the source does not say. The permit policy of the step's queue holds then.
	Validity time.Duration
}
