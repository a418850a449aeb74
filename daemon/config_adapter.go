package daemon

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net/http"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
)

// maxListedChanges bounds the configuration history that the API returns.
const maxListedChanges = 100

// configAdapter implements entryapi.Config with the configuration store and the
// holder of this entry.
type configAdapter struct {
	store   *config.Store
	holder  *config.Holder
	workers func() map[string]int64 // returns the revision in force at each worker, by worker ID
}

// Current implements entryapi.Config.
func (c configAdapter) Current() *structs.Config { return c.holder.Current() }

// Committed implements entryapi.Config.
func (c configAdapter) Committed(ctx context.Context) (structs.Config, error) {
	current, err := c.store.Current(ctx)
	if err != nil {
		return structs.Config{}, err
	}
	return *current, nil
}

// Apply implements entryapi.Config.
func (c configAdapter) Apply(ctx context.Context, expected int64, change client.ConfigChange, by string) (int64, error) {
	revision, err := c.store.Apply(ctx, expected, config.Change{Put: change.Put, Remove: change.Remove}, by)
	return revision, conflictProblem(err)
}

// History implements entryapi.Config.
func (c configAdapter) History(ctx context.Context) (any, error) {
	return c.store.History(ctx, maxListedChanges)
}

// Diff implements entryapi.Config.
func (c configAdapter) Diff(ctx context.Context, from, to int64) (any, error) {
	before, err := c.store.ReadRevision(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := c.store.ReadRevision(ctx, to)
	if err != nil {
		return nil, err
	}
	return config.Diff(before, after), nil
}

// Rollback implements entryapi.Config.
func (c configAdapter) Rollback(ctx context.Context, to int64, by string) (int64, error) {
	revision, err := c.store.Rollback(ctx, to, by)
	return revision, conflictProblem(err)
}

// Workers implements entryapi.Config.
func (c configAdapter) Workers() map[string]int64 { return c.workers() }

// conflictProblem converts a conflict into a problem body that lists the fields
// that differ between the expected and the current revision. It returns every
// other error unchanged.
func conflictProblem(err error) error {
	var conflict *config.ConflictError
	if !errors.As(err, &conflict) {
		return err
	}
	details := &problem.Error{
		Type:   problem.TypeConflict,
		Title:  "Conflict",
		Status: http.StatusConflict,
		Detail: conflict.Error(),
	}
	for _, field := range conflict.Difference {
		value, marshalErr := json.Marshal(field)
		if marshalErr != nil {
			return fmt.Errorf("encode difference: %w", marshalErr)
		}
		details.Faults = append(details.Faults, structs.Fault{Path: field.Path, Value: string(value), Rule: "was changed by another operator"})
	}
	return details
}
