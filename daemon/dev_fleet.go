package daemon

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/fleet"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/stepapi"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// DevQueue is the queue that a development fleet serves.
const DevQueue structs.QueueID = "pricing"

// Sizes and times of a development fleet.
const (
	devFleetHosts          = 3
	devFleetRunTime        = 300 * time.Millisecond
	devFleetReportInterval = 200 * time.Millisecond
	devFleetMaxLease       = 10 * time.Second
)

// devFleetPool is the pool that contains the runners of a development fleet.
const devFleetPool structs.PoolID = "workers"

// DevFleet runs a fleet for jobs of steps in one process. It uses simulated
// stores and runners and serves the HTTP API of package stepapi.
type DevFleet struct {
	URL string

	nodes      []*devNode
	server     *http.Server
	entry      *fleet.Entry
	goroutines sync.WaitGroup
}

type devNode struct {
	name   string
	node   *fleet.Node
	server *grpc.Server
	stop   context.CancelFunc
}

// devConfig is a fleet configuration that never changes.
type devConfig struct{ config *structs.FleetConfig }

// Current implements fleet.ConfigSource.
func (c devConfig) Current() (*structs.FleetConfig, time.Duration) { return c.config, 0 }

// Changed implements fleet.ConfigSource.
func (c devConfig) Changed() <-chan struct{} { return nil }

// StartDevFleet starts a fleet that runs until Stop is called.
func StartDevFleet(ctx context.Context) (*DevFleet, error) {
	store := standin.NewPartStore()
	queue := structs.Queue{ID: DevQueue, Pool: devFleetPool, MaxAttempts: 3}
	config := devConfig{&structs.FleetConfig{Version: 1, Queues: map[structs.QueueID]structs.Queue{DevQueue: queue}}}
	f := &DevFleet{entry: fleet.NewEntry(store.Client(), nil, zap.NewNop())}
	for i := range devFleetHosts {
		if err := f.addNode(ctx, fmt.Sprintf("host-%d", i+1), store, config); err != nil {
			f.Stop()
			return nil, err
		}
	}
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Stop()
		return nil, fmt.Errorf("listen for the steps API: %w", err)
	}
	queues := func(id structs.QueueID) (structs.Queue, bool) { return queue, id == queue.ID }
	limiter, err := httplimit.New(httplimit.Options{Server: "steps"})
	if err != nil {
		f.Stop()
		return nil, fmt.Errorf("limit clients: %w", err)
	}
	f.server = limiter.NewServer(stepapi.New(f.entry, queues))
	f.URL = "http://" + listener.Addr().String()
	f.goroutines.Go(func() { _ = f.server.Serve(limiter.Listen(listener)) }) // ends when Stop closes the server
	return f, nil
}

func (f *DevFleet) addNode(ctx context.Context, name string, store *standin.PartStore, config devConfig) error {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return fmt.Errorf("listen for %s: %w", name, err)
	}
	runner := standin.NewTaskRunner(standin.TaskRunnerOptions{
		Info:     substrate.RunnerInfo{ID: "runner-" + name, Pool: devFleetPool, Capacity: structs.Resources{MilliCPU: 4000, MemoryMB: 8000}},
		MaxLease: devFleetMaxLease, RunTime: func(structs.RunID) time.Duration { return devFleetRunTime },
	})
	node, err := fleet.NewNode(fleet.Options{
		Worker: structs.WorkerID(name), FailureDomain: "dev", Address: listener.Addr().String(), Store: store.Client(),
		Runner: func(info substrate.RunnerInfo) substrate.Runner { return runner.Client(info.Incarnation) },
		Config: func() (fleet.ConfigSource, func()) { return config, func() {} },
		Timing: fleet.Timing{MaxLease: devFleetMaxLease},
	})
	if err != nil {
		return errors.Join(err, listener.Close())
	}
	nodeCtx, stop := context.WithCancel(ctx)
	server := grpc.NewServer()
	fleetpb.RegisterFleetServer(server, node)
	f.nodes = append(f.nodes, &devNode{name: name, node: node, server: server, stop: stop})
	f.goroutines.Go(func() { _ = server.Serve(listener) }) // ends when Stop stops the server
	f.goroutines.Go(func() { _ = node.Run(nodeCtx) })      // ends when its context is canceled
	f.goroutines.Go(func() { reportRunner(nodeCtx, node, runner) })
	return nil
}

// reportRunner reports the state of a runner to its node until ctx ends.
func reportRunner(ctx context.Context, node *fleet.Node, runner *standin.TaskRunner) {
	tick := time.NewTicker(devFleetReportInterval)
	defer tick.Stop()
	for {
		_ = node.Announce(runner.Report()) // without settings no report is refused
		select {
		case <-tick.C:
		case <-ctx.Done():
			return
		}
	}
}

// StopLeader stops the node that leads the fleet and returns its name. It first
// gives the node time to hand over the leadership.
func (f *DevFleet) StopLeader() (name string, found bool) {
	for _, n := range f.nodes {
		if n.node.IsLeader() {
			n.node.Leave(context.Background())
			n.stop()
			n.server.Stop()
			return n.name, true
		}
	}
	return "", false
}

// Stop stops all nodes and the HTTP server and waits for their goroutines.
func (f *DevFleet) Stop() {
	if f.server != nil {
		_ = f.server.Close() // aborts open calls
	}
	for _, n := range f.nodes {
		n.stop()
		n.server.Stop()
	}
	f.goroutines.Wait()
	_ = f.entry.Close() // fails harmlessly because the leader has already stopped
}
