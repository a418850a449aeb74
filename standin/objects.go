package standin

import (
	"bytes"
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Objects is an in-memory substrate.Objects.
type Objects struct {
	Faults Faults

	mu      sync.Mutex
	objects map[string][]byte
	load    Load
}

var _ substrate.Objects = (*Objects)(nil)

// NewObjects returns an empty object store.
func NewObjects() *Objects {
	return &Objects{objects: map[string][]byte{}}
}

// Load returns the counts of operations.
func (o *Objects) Load() Load {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.load
}

// Put implements substrate.Objects.
func (o *Objects) Put(ctx context.Context, key string, value []byte) error {
	value = append([]byte{}, value...)
	_, err := withFaults(ctx, &o.Faults, callInfo{"objects", "put", true}, func() (struct{}, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.load.Writes++
		o.load.RowsWritten++
		o.load.BytesWrite += int64(len(value))
		o.objects[key] = value
		return struct{}{}, nil
	})
	return err
}

// Get implements substrate.Objects.
func (o *Objects) Get(ctx context.Context, key string) ([]byte, error) {
	return withFaults(ctx, &o.Faults, callInfo{"objects", "get", false}, func() ([]byte, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.load.Reads++
		value, found := o.objects[key]
		if !found {
			return nil, &structs.NotFoundError{Subject: "object", Name: key}
		}
		o.load.BytesRead += int64(len(value))
		return bytes.Clone(value), nil
	})
}

// Delete implements substrate.Objects. Deleting a missing object succeeds.
func (o *Objects) Delete(ctx context.Context, key string) error {
	_, err := withFaults(ctx, &o.Faults, callInfo{"objects", "delete", true}, func() (struct{}, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.load.Writes++
		o.load.RowsWritten++
		delete(o.objects, key)
		return struct{}{}, nil
	})
	return err
}

// List implements substrate.Objects.
func (o *Objects) List(ctx context.Context, prefix string) ([]string, error) {
	return withFaults(ctx, &o.Faults, callInfo{"objects", "list", false}, func() ([]string, error) {
		o.mu.Lock()
		defer o.mu.Unlock()
		o.load.Reads++
		var keys []string
		for key := range o.objects {
			if strings.HasPrefix(key, prefix) {
				keys = append(keys, key)
			}
		}
		slices.Sort(keys)
		return keys, nil
	})
}
