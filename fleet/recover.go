package fleet

import (
	"context"
	"fmt"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// stored is what a leader reads when it takes over.
type stored struct {
	jobs []*workflow.Job
	bad  int // jobs that could not be read; they stay in the store
}

// load reads the state of the fleet.
func load(ctx context.Context, store substrate.PartStore, log *zap.Logger) (stored, error) {
	states, _, err := store.Rows(ctx, tableState, fleetPart)
	if err != nil {
		return stored{}, fmt.Errorf("read states: %w", err)
	}
	accepted, _, err := store.Rows(ctx, tableJobs, fleetPart)
	if err != nil {
		return stored{}, fmt.Errorf("read jobs: %w", err)
	}
	specs := make(map[string][]byte, len(accepted))
	for _, row := range accepted {
		specs[row.Key] = row.Value
	}
	var s stored
	for _, row := range states {
		id := structs.JobID(row.Key)
		job, err := workflow.Decode(id, specs[row.Key], row.Value)
		if err != nil {
			log.Error("job skipped: its record cannot be read", zap.String("job", row.Key), zap.Int64("version", row.Version), zap.Error(err))
			s.bad++
			continue
		}
		s.jobs = append(s.jobs, job)
	}
	return s, nil
}

// StoredPhase reads the phase and the queue of a job from the store, or
// *structs.NotFoundError if there is no such job.
func StoredPhase(ctx context.Context, store substrate.PartStore, id structs.JobID) (structs.JobPhase, structs.QueueID, error) {
	row, err := store.Row(ctx, tableState, fleetPart, string(id))
	if err != nil {
		return "", "", fmt.Errorf("read state of job %s: %w", id, err)
	}
	return workflow.DecodeState(id, row.Value)
}
