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

// historyListed is the number of changes that a listing shows.
const historyListed = 100

// configuration adapts the configuration to the HTTP API.
type configuration struct {
	store   *config.Store
	holder  *config.Holder
	workers func() map[string]int64 // revision in force by worker
}

// Current implements entryapi.Config.
func (c configuration) Current() *structs.Config { return c.holder.Current() }

// Committed implements entryapi.Config.
func (c configuration) Committed(ctx context.Context) (structs.Config, error) {
	current, err := c.store.Current(ctx)
	if err != nil {
		return structs.Config{}, err
	}
	return *current, nil
}

// Apply implements entryapi.Config.
func (c configuration) Apply(ctx context.Context, expected int64, change client.ConfigChange, by string) (int64, error) {
	revision, err := c.store.Apply(ctx, expected, config.Change{Put: change.Put, Remove: change.Remove}, by)
	return revision, conflictProblem(err)
}

// History implements entryapi.Config.
func (c configuration) History(ctx context.Context) (any, error) {
	return c.store.History(ctx, historyListed)
}

// Diff implements entryapi.Config.
func (c configuration) Diff(ctx context.Context, from, to int64) (any, error) {
	before, err := c.store.At(ctx, from)
	if err != nil {
		return nil, err
	}
	after, err := c.store.At(ctx, to)
	if err != nil {
		return nil, err
	}
	return config.Diff(before, after), nil
}

// Rollback implements entryapi.Config.
func (c configuration) Rollback(ctx context.Context, to int64, by string) (int64, error) {
	revision, err := c.store.Rollback(ctx, to, by)
	return revision, conflictProblem(err)
}

// Workers implements entryapi.Config.
func (c configuration) Workers() map[string]int64 { return c.workers() }

// conflictProblem shows the operator what another change has altered.
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
