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

// storedState is the state of the fleet that a new leader reads from the store.
type storedState struct {
	jobs           []*workflow.Job
	unreadableJobs int // number of jobs whose records cannot be decoded; their rows stay in the store
	// interference is the interference model of earlier leaders.
	interference []steps.PairOdds
	// runTimes is the model of run times of earlier leaders.
	runTimes storedRunTimes
}

// loadState reads the jobs and the models of the fleet.
func loadState(ctx context.Context, store substrate.PartStore, log *zap.Logger) (storedState, error) {
	waitForRunTimes := readRunTimes(ctx, store)
	states, _, err := store.Rows(ctx, tableState, fleetPart)
	if err != nil {
		return storedState{}, fmt.Errorf("read states: %w", err)
	}
	accepted, _, err := store.Rows(ctx, tableJobs, fleetPart)
	if err != nil {
		return storedState{}, fmt.Errorf("read jobs: %w", err)
	}
	specs := make(map[string][]byte, len(accepted))
	for _, row := range accepted {
		specs[row.Key] = row.Value
	}
	var s storedState
	parts := stateParts{read: func() ([]substrate.PartRow, error) {
		rows, _, err := store.Rows(ctx, tableStateParts, fleetPart)
		return rows, err
	}}
	for _, row := range states {
		id := structs.JobID(row.Key)
		job, err := decodeJob(id, specs[row.Key], row.Value, &parts, log)
		if parts.err != nil {
			return storedState{}, fmt.Errorf("read parts of states: %w", parts.err)
		}
		if err != nil {
			log.Error("job skipped: its record cannot be decoded", zap.String("job", row.Key), zap.Int64("version", row.Version), zap.Error(err))
			s.unreadableJobs++
			continue
		}
		s.jobs = append(s.jobs, job)
	}
	s.interference, err = loadInterference(ctx, store, log)
	s.runTimes = waitForRunTimes()
	return s, err
}

// stateParts holds the parts of the states that do not fit into one row. They are read
// when the first one is needed.
type stateParts struct {
	read  func() ([]substrate.PartRow, error)
	byKey map[string][]byte // nil until the parts were read
	err   error             // error of the read
}

// part returns a part of a job's state, nil if there is none.
func (p *stateParts) part(id structs.JobID, i int) []byte {
	if p.byKey == nil {
		var rows []substrate.PartRow
		rows, p.err = p.read()
		p.byKey = make(map[string][]byte, len(rows))
		for _, row := range rows {
			p.byKey[row.Key] = row.Value
		}
	}
	return p.byKey[statePartKey(id, i)]
}

// decodeJob decodes a job. It returns a panic as an error, because every node
// that takes over decodes the same records.
func decodeJob(id structs.JobID, spec, state []byte, parts *stateParts, log *zap.Logger) (job *workflow.Job, err error) {
	defer recoverAs(&err, "decode job", log)
	return workflow.DecodeRows(id, spec, state, func(i int) []byte { return parts.part(id, i) })
}

// loadInterference reads the stored interference model. It returns nil if there
// is none or the row cannot be decoded, and the leader then starts with an
// empty model.
func loadInterference(ctx context.Context, store substrate.PartStore, log *zap.Logger) ([]steps.PairOdds, error) {
	row, err := store.Row(ctx, tableModel, fleetPart, modelKey)
	var missing *structs.NotFoundError
	switch {
	case errors.As(err, &missing):
		return nil, nil
	case err != nil:
		return nil, fmt.Errorf("read interference model: %w", err)
	}
	var pairs []steps.PairOdds
	if err := json.Unmarshal(row.Value, &pairs); err != nil {
		log.Error("interference model skipped: it cannot be decoded", zap.Int64("version", row.Version), zap.Error(err))
		return nil, nil
	}
	return pairs, nil
}

// ReadStoredPhase reads the phase and the queue of a job from the store. It
// returns *structs.NotFoundError if there is no such job.
func ReadStoredPhase(ctx context.Context, store substrate.PartStore, id structs.JobID) (structs.JobPhase, structs.QueueID, error) {
	row, err := store.Row(ctx, tableState, fleetPart, string(id))
	if err != nil {
		return "", "", fmt.Errorf("read state of job %s: %w", id, err)
	}
	return workflow.DecodeState(id, row.Value)
}
