package daemon

import (
	"context"
	"fmt"
	"net"
	"time"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/kernel"
	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// standInStopTimeout bounds the stop of each service of a stand-in.
const standInStopTimeout = 15 * time.Second

// RunStandIn runs the stand-in for the platform and its sample targets until
// ctx ends.
func RunStandIn(ctx context.Context, s settings.StandIn) error {
	k, err := NewStandIn(s)
	if err != nil {
		return err
	}
	return k.Run(ctx)
}

// NewStandIn returns a kernel with the services of a stand-in.
func NewStandIn(s settings.StandIn) (*kernel.Kernel, error) {
	k := kernel.New(standInStopTimeout)
	platform := standin.NewPlatform()
	for _, w := range s.Workers {
		platform.AddWorker(w.Worker, w.Capacity)
	}
	targets := map[structs.TargetID]*standin.Target{}
	for _, t := range s.Targets {
		targets[t.Target] = standin.NewTarget(standin.TargetOptions{
			Target:       structs.Target{ID: t.Target, Team: t.Team, Kinds: t.Kinds, Slots: t.Slots, Connections: t.Connections, Incarnation: string(t.Target) + "-" + time.Now().Format(time.RFC3339Nano)},
			AgentAddress: t.Agent,
			ServiceTime:  t.ServiceTime(),
		})
	}
	services := []struct {
		name    string
		service kernel.Service
		needs   []string
	}{
		{"runtimes", funcService{stop: func(context.Context) error { platform.Close(); return nil }}, nil},
		{"platform", &grpcServer{address: s.Address, register: func(g *grpc.Server) { platform.Register(g) }}, []string{"runtimes"}},
		{"control", &httpServer{address: s.ControlAddress, handler: standin.NewControlHandler(platform, targets)}, nil},
	}
	for _, service := range services {
		if err := k.Register(service.name, service.service, service.needs...); err != nil {
			return nil, err
		}
	}
	for _, t := range s.Targets {
		serve := func(ctx context.Context) error {
			listener, err := net.Listen("tcp", t.Address)
			if err != nil {
				return fmt.Errorf("listen for target %s: %w", t.Target, err)
			}
			return targets[t.Target].Run(ctx, listener)
		}
		if err := k.Register("target/"+string(t.Target), newBackgroundService(serve), "platform"); err != nil {
			return nil, err
		}
	}
	return k, nil
}
