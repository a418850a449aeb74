package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// stored is what a leader reads when it takes over.
type stored struct {
	jobs []*workflow.Job
	bad  int // jobs that could not be read; they stay in the store
	// learned is what leaders before have learned of interference.
	learned []steps.PairOdds
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
	s.learned, err = loadLearned(ctx, store, log)
	return s, err
}

// loadLearned reads what leaders before have learned. A row that cannot be read
// is learned anew.
func loadLearned(ctx context.Context, store substrate.PartStore, log *zap.Logger) ([]steps.PairOdds, error) {
	row, err := store.Row(ctx, tableModel, fleetPart, modelKey)
	var missing *structs.NotFoundError
	switch {
	case errors.As(err, &missing):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("read what was learned: %w", err)
	}
	var learned []steps.PairOdds
	if err := json.Unmarshal(row.Value, &learned); err != nil {
		log.Error("what was learned is skipped: it cannot be read", zap.Int64("version", row.Version), zap.Error(err))
		return nil, nil
	}
	return learned, nil
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
