// Package kernel is a micro-kernel: services register under a name, find each
// other by name, start in the order of their dependencies and stop in the
// reverse order.
package kernel

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Service is one part of a daemon.
type Service interface {
	// Start brings the service up. The services it needs have started. Start
	// returns once the service is ready; background work goes through Host.Go.
	Start(ctx context.Context, host *Host) error
	// Stop ends the service gracefully within ctx. The services that need it
	// have stopped.
	Stop(ctx context.Context) error
}

// RegistrationError reports a service that cannot be registered or ordered.
type RegistrationError struct {
	Service string
	Rule    string
}

func (e *RegistrationError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Service, e.Rule)
}

// LookupError reports that a service of the wanted name and type is missing.
type LookupError struct {
	Service string
	Want    string
	Have    string
}

func (e *LookupError) Error() string {
	return fmt.Sprintf("service %q: want %s, have %s", e.Service, e.Want, e.Have)
}

type entry struct {
	name    string
	service Service
	needs   []string
}

// Kernel holds the services of one daemon.
type Kernel struct {
	stopTimeout time.Duration
	entries     []*entry
	byName      map[string]*entry
}

// New returns an empty kernel. Each service gets stopTimeout to stop.
func New(stopTimeout time.Duration) *Kernel {
	return &Kernel{stopTimeout: stopTimeout, byName: map[string]*entry{}}
}

// Register adds a service under a unique name with the names it needs.
func (k *Kernel) Register(name string, service Service, needs ...string) error {
	if _, taken := k.byName[name]; taken {
		return &RegistrationError{Service: name, Rule: "name is already registered"}
	}
	e := &entry{name: name, service: service, needs: needs}
	k.byName[name] = e
	k.entries = append(k.entries, e)
	return nil
}

// Host is what a running service sees of the kernel.
type Host struct {
	kernel *Kernel
	group  *errgroup.Group
	ctx    context.Context
}

// Go runs background work. An error ends the daemon. The context of the work
// ends after every service has stopped.
func (h *Host) Go(work func(ctx context.Context) error) {
	h.group.Go(func() error { return work(h.ctx) })
}

// Lookup finds the service called name as type T.
func Lookup[T any](h *Host, name string) (T, error) {
	var zero T
	e, found := h.kernel.byName[name]
	if !found {
		return zero, &LookupError{Service: name, Want: fmt.Sprintf("%T", zero), Have: "nothing"}
	}
	s, ok := e.service.(T)
	if !ok {
		return zero, &LookupError{Service: name, Want: fmt.Sprintf("%T", &zero), Have: fmt.Sprintf("%T", e.service)}
	}
	return s, nil
}

// order sorts the services so that each follows those it needs.
func (k *Kernel) order() ([]*entry, error) {
	const visiting, done = 1, 2
	state := map[string]int{}
	sorted := make([]*entry, 0, len(k.entries))
	var visit func(e *entry) error
	visit = func(e *entry) error {
		switch state[e.name] {
		case done:
			return nil
		case visiting:
			return &RegistrationError{Service: e.name, Rule: "needs itself through its dependencies"}
		}
		state[e.name] = visiting
		for _, name := range e.needs {
			needed, found := k.byName[name]
			if !found {
				return &RegistrationError{Service: e.name, Rule: "needs unknown service " + name}
			}
			if err := visit(needed); err != nil {
				return err
			}
		}
		state[e.name] = done
		sorted = append(sorted, e)
		return nil
	}
	for _, e := range k.entries {
		if err := visit(e); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}

// Run starts every service, waits until ctx ends or background work fails, and
// stops the services in reverse order. It returns the first failure.
func (k *Kernel) Run(ctx context.Context) error {
	sorted, err := k.order()
	if err != nil {
		return err
	}
	background, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, background := errgroup.WithContext(background)
	host := &Host{kernel: k, group: group, ctx: background}

	started := 0
	var startErr error
	for _, e := range sorted {
		if err := e.service.Start(ctx, host); err != nil {
			startErr = fmt.Errorf("start %s: %w", e.name, err)
			break
		}
		started++
	}
	if startErr == nil {
		select {
		case <-ctx.Done():
		case <-background.Done():
		}
	}
	stopErr := k.stop(sorted[:started])
	cancel()
	workErr := group.Wait()
	for _, err := range []error{startErr, workErr, stopErr} {
		if err != nil {
			return err
		}
	}
	return nil
}

// stop ends the services in reverse order and returns the first failure.
func (k *Kernel) stop(started []*entry) error {
	var first error
	for i := len(started) - 1; i >= 0; i-- {
		ctx, cancel := context.WithTimeout(context.Background(), k.stopTimeout)
		err := started[i].service.Stop(ctx)
		cancel()
		if err != nil && first == nil {
			first = fmt.Errorf("stop %s: %w", started[i].name, err)
		}
	}
	return first
}
