// Package kernel manages the lifecycle of the services of one daemon. Services
// register under a name with the names of their dependencies, look each other
// up by name, start in the order of their dependencies and stop in the reverse
// order.
//
// Kernel.Run owns the goroutines that services start with ServiceContext.Go and
// waits for them before it returns. A kernel has no locks: register every
// service before Run.
package kernel

import (
	"context"
	"fmt"
	"time"

	"golang.org/x/sync/errgroup"
)

// Service is one component of a daemon.
type Service interface {
	// Start starts the service after its dependencies and returns when the
	// service is ready. The service runs background work with
	// ServiceContext.Go.
	Start(ctx context.Context, services *ServiceContext) error
	// Stop stops the service gracefully before ctx ends. The services that
	// depend on it have already stopped.
	Stop(ctx context.Context) error
}

// RegistrationError reports a service that cannot be registered or that has
// invalid dependencies.
type RegistrationError struct {
	Service string
	Rule    string
}

func (e *RegistrationError) Error() string {
	return fmt.Sprintf("service %q: %s", e.Service, e.Rule)
}

// LookupError reports that no service has the requested name and type.
type LookupError struct {
	Service        string
	RequestedType  string
	RegisteredType string
}

func (e *LookupError) Error() string {
	return fmt.Sprintf("service %q: want %s, have %s", e.Service, e.RequestedType, e.RegisteredType)
}

type registration struct {
	name         string
	service      Service
	dependencies []string
}

// Kernel starts and stops the services of one daemon.
type Kernel struct {
	stopTimeout   time.Duration
	registrations []*registration
	byName        map[string]*registration
}

// New returns a kernel without services. Each service has stopTimeout to stop.
func New(stopTimeout time.Duration) *Kernel {
	return &Kernel{stopTimeout: stopTimeout, byName: map[string]*registration{}}
}

// Register adds a service under a unique name. Dependencies are the names of
// the services that it needs.
func (k *Kernel) Register(name string, service Service, dependencies ...string) error {
	if _, registered := k.byName[name]; registered {
		return &RegistrationError{Service: name, Rule: "name is already registered"}
	}
	r := &registration{name: name, service: service, dependencies: dependencies}
	k.byName[name] = r
	k.registrations = append(k.registrations, r)
	return nil
}

// ServiceContext gives a running service access to the kernel.
type ServiceContext struct {
	kernel *Kernel
	group  *errgroup.Group
	ctx    context.Context
}

// Go runs background work in a goroutine. If the work returns an error, the
// daemon stops. The context of the work ends after every service has stopped.
func (c *ServiceContext) Go(work func(ctx context.Context) error) {
	c.group.Go(func() error { return work(c.ctx) })
}

// Lookup returns the service called name as type T.
func Lookup[T any](c *ServiceContext, name string) (T, error) {
	var zero T
	r, found := c.kernel.byName[name]
	if !found {
		return zero, &LookupError{Service: name, RequestedType: fmt.Sprintf("%T", zero), RegisteredType: "nothing"}
	}
	s, ok := r.service.(T)
	if !ok {
		return zero, &LookupError{Service: name, RequestedType: fmt.Sprintf("%T", &zero), RegisteredType: fmt.Sprintf("%T", r.service)}
	}
	return s, nil
}

// sortByDependencies returns the services in an order in which each follows its
// dependencies.
func (k *Kernel) sortByDependencies() ([]*registration, error) {
	const visiting, visited = 1, 2
	state := map[string]int{}
	sorted := make([]*registration, 0, len(k.registrations))
	var visit func(r *registration) error
	visit = func(r *registration) error {
		switch state[r.name] {
		case visited:
			return nil
		case visiting:
			return &RegistrationError{Service: r.name, Rule: "is part of a dependency cycle"}
		}
		state[r.name] = visiting
		for _, name := range r.dependencies {
			dependency, found := k.byName[name]
			if !found {
				return &RegistrationError{Service: r.name, Rule: "depends on unregistered service " + name}
			}
			if err := visit(dependency); err != nil {
				return err
			}
		}
		state[r.name] = visited
		sorted = append(sorted, r)
		return nil
	}
	for _, r := range k.registrations {
		if err := visit(r); err != nil {
			return nil, err
		}
	}
	return sorted, nil
}

// Run starts every service, waits until ctx ends or background work fails, and
// stops the services in reverse order. It returns the first failure.
func (k *Kernel) Run(ctx context.Context) error {
	sorted, err := k.sortByDependencies()
	if err != nil {
		return err
	}
	workCtx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	defer cancel()
	group, workCtx := errgroup.WithContext(workCtx)
	services := &ServiceContext{kernel: k, group: group, ctx: workCtx}

	started := 0
	var startErr error
	for _, r := range sorted {
		if err := r.service.Start(ctx, services); err != nil {
			startErr = fmt.Errorf("start %s: %w", r.name, err)
			break
		}
		started++
	}
	if startErr == nil {
		select {
		case <-ctx.Done():
		case <-workCtx.Done():
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

// stop stops the services in reverse order and returns the first failure.
func (k *Kernel) stop(started []*registration) error {
	var firstErr error
	for i := len(started) - 1; i >= 0; i-- {
		ctx, cancel := context.WithTimeout(context.Background(), k.stopTimeout)
		err := started[i].service.Stop(ctx)
		cancel()
		if err != nil && firstErr == nil {
			firstErr = fmt.Errorf("stop %s: %w", started[i].name, err)
		}
	}
	return firstErr
}
