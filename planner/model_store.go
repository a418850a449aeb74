package planner

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/placement/estimate"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Timing of the reads and writes of the stored model.
const (
	leadershipCheckPeriod = time.Second     // time between two checks of the leadership
	modelSavePeriod       = 2 * time.Minute // time between two saves
	objectCallTimeout     = 5 * time.Second // timeout of the object store calls of one restore or save
)

// ModelStore keeps the model of a leader's planner in the object store, so that
// the next leader of the cell starts from it. Correctness does not depend on
// the stored copy. If it is lost or outdated, the next leader only needs time
// to learn again.
type ModelStore struct {
	planner *Planner
	objects substrate.Objects
	cell    structs.CellID
	leading func() (epoch int64, leading bool)
	log     *zap.Logger

	restoredEpoch int64 // epoch for which the stored copy was read, 0 until the first read
	savedAt       time.Time
}

// NewModelStore returns the store for the model of a cell's planner. leading
// reports whether this process leads the cell, and in which epoch.
func NewModelStore(p *Planner, objects substrate.Objects, cell structs.CellID, leading func() (int64, bool), log *zap.Logger) *ModelStore {
	return &ModelStore{planner: p, objects: objects, cell: cell, leading: leading, log: log}
}

// Run restores the model at the start of each leadership and saves it
// periodically during the leadership, until ctx ends.
func (s *ModelStore) Run(ctx context.Context) error {
	ticker := time.NewTicker(leadershipCheckPeriod)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := s.restoreOrSave(ctx, time.Now()); err != nil && ctx.Err() == nil {
			s.log.Debug("cannot restore or save the planner model", zap.Error(err))
		}
	}
}

// restoreOrSave restores or saves the model when it is due. It does not save
// until the stored copy has been restored or found missing, so that a failed
// read does not lead to the loss of the copy.
func (s *ModelStore) restoreOrSave(ctx context.Context, now time.Time) error {
	epoch, leading := s.leading()
	if !leading {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, objectCallTimeout)
	defer cancel()
	if epoch != s.restoredEpoch {
		if err := s.restore(ctx, now); err != nil {
			return err
		}
		s.restoredEpoch, s.savedAt = epoch, now
		return nil
	}
	if now.Sub(s.savedAt) < modelSavePeriod {
		return nil
	}
	if err := s.save(ctx, now); err != nil {
		return err
	}
	s.savedAt = now
	return nil
}

func (s *ModelStore) key() string { return "learned/" + string(s.cell) }

func (s *ModelStore) restore(ctx context.Context, now time.Time) error {
	document, err := s.objects.Get(ctx, s.key())
	var missing *structs.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read planner model: %w", err)
	}
	var state estimate.State
	if err := json.Unmarshal(document, &state); err != nil {
		s.log.Warn("stored planner model cannot be decoded, starting with an empty one", zap.Error(err))
		return nil
	}
	s.planner.restore(s.cell, state, now)
	return nil
}

func (s *ModelStore) save(ctx context.Context, now time.Time) error {
	state, found := s.planner.modelState(s.cell, now)
	if !found {
		return nil
	}
	document, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode planner model: %w", err)
	}
	if err := s.objects.Put(ctx, s.key(), document); err != nil {
		return fmt.Errorf("save planner model: %w", err)
	}
	return nil
}

// modelState returns the state of the model if the planner plans for the cell.
func (p *Planner) modelState(id structs.CellID, now time.Time) (estimate.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != id {
		return estimate.State{}, false
	}
	return p.model.State(now.Sub(p.startedAt)), true
}

// restore replaces the planner's model by the stored state for the cell.
func (p *Planner) restore(id structs.CellID, state estimate.State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != id {
		p.reset(id, now)
	}
	p.model = estimate.Restore(estimate.Options{}, state, now.Sub(p.startedAt))
}
