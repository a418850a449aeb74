package command

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/daemon"
	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/structs"
)

// DevCommand runs a whole system in one process.
type DevCommand struct {
	HTTP string `help:"Address of the first entry, as host:port." default:"127.0.0.1:8080"`
	Exit bool   `help:"Exit after the tour instead of continuing to serve."`
}

// devDomains are the failure domains of the development mode. Each has one
// worker.
var devDomains = []structs.FailureDomainID{"kordun", "banovina", "zagorje", "podravina"}

// devCapacity is the capacity of each worker of the development mode.
var devCapacity = structs.Resources{MilliCPU: 16_000, MemoryMB: 60_000, Accelerators: 2}

const (
	devEntries       = 2
	devDrainMS       = 200
	devEvacuateMS    = 0
	devServiceTimeMS = 5
	devSlots         = 8
	devConnections   = 60
	devTimeoutMS     = 1000
	devLogLevel      = "warn"
)

// devSettings holds the settings of all daemons of the development mode.
type devSettings struct {
	standIn settings.StandIn
	agents  []settings.Agent
	entries []settings.Entry
}

// Run starts the daemons, runs the tour and keeps serving until it is
// interrupted.
func (c *DevCommand) Run(root *Root, env Env) error {
	daemonSettings, err := newDevSettings(c.HTTP)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(env.Context)
	defer cancel()
	group, groupCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	// The platform must outlive the daemons, so that they can stop gracefully.
	platformCtx, stopPlatform := context.WithCancel(groupCtx)
	defer stopPlatform()
	group.Go(func() error { return daemon.RunStandIn(platformCtx, daemonSettings.standIn) })
	daemons, daemonsCtx := errgroup.WithContext(ctx)
	for _, s := range daemonSettings.agents {
		daemons.Go(func() error { return daemon.RunAgent(daemonsCtx, s) })
	}
	for _, s := range daemonSettings.entries {
		daemons.Go(func() error { return daemon.RunEntry(daemonsCtx, s) })
	}
	api := client.New("http://"+daemonSettings.entries[0].HTTPAddress, root.Operator, &http.Client{})
	tour := &tour{api: api, out: env.Out}
	daemons.Go(func() error {
		if err := tour.run(daemonsCtx); err != nil {
			return fmt.Errorf("tour: %w", err)
		}
		if c.Exit {
			cancel()
			return nil
		}
		fmt.Fprintf(env.Out, "\nServing on http://%s. Press Ctrl-C to stop. Try:\n%s", daemonSettings.entries[0].HTTPAddress, exampleCommands(daemonSettings.entries[0].HTTPAddress))
		return nil
	})
	err = daemons.Wait()
	stopPlatform()
	if platformErr := group.Wait(); err == nil {
		err = platformErr
	}
	return err
}

func exampleCommands(address string) string {
	return fmt.Sprintf(`  curl -d '{"delivery":"HR-2041"}' http://%[1]s/v1/teams/jabuka/requests/slot-check
  curl -d '{"class":"pricing","input":{"work_ms":100,"contracts":[]}}' http://%[1]s/v1/teams/jabuka/jobs
  daisywall domain list
`, address)
}

// newDevSettings allocates free loopback addresses and returns the settings of
// all daemons.
func newDevSettings(httpAddress string) (*devSettings, error) {
	ports := &portAllocator{}
	defer ports.release()
	platform := settings.Platform{Address: ports.allocate(), TimeoutMS: devTimeoutMS}
	daemonSettings := &devSettings{standIn: settings.StandIn{Address: platform.Address, ControlAddress: ports.allocate(), LogLevel: devLogLevel}}
	evacuate, drain := int64(devEvacuateMS), int64(devDrainMS)
	for _, domain := range devDomains {
		worker := structs.WorkerID("worker-" + domain)
		local, peer := ports.allocate(), ports.allocate()
		daemonSettings.standIn.Workers = append(daemonSettings.standIn.Workers, settings.StandInWorker{Worker: worker, Capacity: devCapacity})
		daemonSettings.agents = append(daemonSettings.agents, settings.Agent{
			Worker: worker, FailureDomain: domain, Rack: "rack-1", Cell: structs.CellID(domain),
			LocalAddress: local, PeerAddress: peer, AdvertiseAddress: peer, Platform: platform,
			Capacity: devCapacity, EvacuateMS: &evacuate, LogLevel: devLogLevel,
		})
		daemonSettings.standIn.Targets = append(daemonSettings.standIn.Targets,
			devTarget("contract-"+string(domain), "jabuka", ports.allocate(), local, "slot-check", "grower-payment"),
			devTarget("alert-"+string(domain), "graz", ports.allocate(), local, "alert", "sighting"))
	}
	for i := range devEntries {
		address := httpAddress
		if i > 0 {
			address = ports.allocate()
		}
		daemonSettings.entries = append(daemonSettings.entries, settings.Entry{
			Entry: structs.EntryID(fmt.Sprintf("entry-%d", i+1)), FailureDomain: devDomains[i],
			HTTPAddress: address, PeerAddress: ports.allocate(), Platform: platform, DrainMS: &drain, LogLevel: devLogLevel,
		})
	}
	return daemonSettings, ports.err
}

func devTarget(id, team, address, agent string, kinds ...string) settings.StandInTarget {
	return settings.StandInTarget{
		Target: structs.TargetID(id), Team: structs.TeamID(team), Kinds: kinds, Address: address, Agent: agent,
		Slots: devSlots, Connections: devConnections, ServiceTimeMS: devServiceTimeMS,
	}
}

// portAllocator finds free loopback ports. It keeps them bound until release is
// called, so that it returns each port only once.
type portAllocator struct {
	listeners []net.Listener
	err       error
}

func (f *portAllocator) allocate() string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.err = fmt.Errorf("find a free port: %w", err)
		return ""
	}
	f.listeners = append(f.listeners, listener)
	return listener.Addr().String()
}

func (f *portAllocator) release() {
	for _, l := range f.listeners {
		l.Close()
	}
}

// tour demonstrates the system and prints each step.
type tour struct {
	api *client.Client
	out io.Writer
}

const (
	tourPollInterval = 200 * time.Millisecond
	tourStepTimeout  = 50 * time.Second
)

// waitUntil polls until the condition holds. After tourStepTimeout it returns
// an error with the last error of the condition.
func waitUntil(ctx context.Context, description string, condition func(ctx context.Context) (bool, error)) error {
	ctx, cancel := context.WithTimeout(ctx, tourStepTimeout)
	defer cancel()
	var lastErr error
	for {
		holds, err := condition(ctx)
		if holds {
			return nil
		}
		if err != nil && ctx.Err() == nil {
			lastErr = err
		}
		select {
		case <-ctx.Done():
			return &structs.UnavailableError{Dependency: description, Err: lastErr}
		case <-time.After(tourPollInterval):
		}
	}
}
