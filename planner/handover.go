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

// Times of the handover.
const (
	handoverLook = time.Second     // between looks at the leadership
	handoverSave = 2 * time.Minute // between two saves
	handoverCall = 5 * time.Second // limit of one call to the object store
)

// Handover keeps what a leader's planner has learned in the object store, so
// that the next leader of the cell need not learn it again. Nothing depends on
// it: a lost or outdated copy costs learning time.
type Handover struct {
	planner *Planner
	objects substrate.Objects
	cell    structs.CellID
	leading func() (epoch int64, leading bool)
	log     *zap.Logger

	restored int64 // epoch that the copy was restored for
	saved    time.Time
}

// NewHandover returns the handover of a cell's planner. Leading tells whether
// this process leads the cell.
func NewHandover(p *Planner, objects substrate.Objects, cell structs.CellID, leading func() (int64, bool), log *zap.Logger) *Handover {
	return &Handover{planner: p, objects: objects, cell: cell, leading: leading, log: log}
}

// Run restores at the start of each leadership and saves while it lasts, until
// ctx ends.
func (h *Handover) Run(ctx context.Context) error {
	ticker := time.NewTicker(handoverLook)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if err := h.step(ctx, time.Now()); err != nil && ctx.Err() == nil {
			h.log.Debug("handover of what was learned", zap.Error(err))
		}
	}
}

// step restores or saves what is due. Nothing is saved before the copy of the
// earlier leader was restored or found missing.
func (h *Handover) step(ctx context.Context, now time.Time) error {
	epoch, leading := h.leading()
	if !leading {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, handoverCall)
	defer cancel()
	if epoch != h.restored {
		if err := h.restore(ctx, now); err != nil {
			return err
		}
		h.restored, h.saved = epoch, now
		return nil
	}
	if now.Sub(h.saved) < handoverSave {
		return nil
	}
	if err := h.save(ctx, now); err != nil {
		return err
	}
	h.saved = now
	return nil
}

func (h *Handover) key() string { return "learned/" + string(h.cell) }

func (h *Handover) restore(ctx context.Context, now time.Time) error {
	document, err := h.objects.Get(ctx, h.key())
	var missing *structs.NotFoundError
	if errors.As(err, &missing) {
		return nil
	}
	if err != nil {
		return fmt.Errorf("read what was learned: %w", err)
	}
	var state estimate.State
	if err := json.Unmarshal(document, &state); err != nil {
		h.log.Warn("what was learned cannot be read and is learned anew", zap.Error(err))
		return nil
	}
	h.planner.restore(h.cell, state, now)
	return nil
}

func (h *Handover) save(ctx context.Context, now time.Time) error {
	state, found := h.planner.learned(h.cell, now)
	if !found {
		return nil
	}
	document, err := json.Marshal(state)
	if err != nil {
		return fmt.Errorf("encode what was learned: %w", err)
	}
	if err := h.objects.Put(ctx, h.key(), document); err != nil {
		return fmt.Errorf("save what was learned: %w", err)
	}
	return nil
}

// learned returns the estimator's state if the planner plans for the cell.
func (p *Planner) learned(id structs.CellID, now time.Time) (estimate.State, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != id {
		return estimate.State{}, false
	}
	return p.model.State(now.Sub(p.started)), true
}

// restore makes the planner start from the state for the cell.
func (p *Planner) restore(id structs.CellID, state estimate.State, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != id {
		p.reset(id, now)
	}
	p.model = estimate.Restore(estimate.Options{}, state, now.Sub(p.started))
}
