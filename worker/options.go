package worker

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Defaults of the options.
const (
	// DefaultStartGrant must not exceed the start grant that the cell's leaders
	// assume.
	DefaultStartGrant  = 2500 * time.Millisecond
	DefaultCallTimeout = 2 * time.Second
	DefaultInterval    = time.Second
)

// LeaderFinder finds the leader of a cell.
type LeaderFinder interface {
	// Find returns the peer address of the agent that most likely leads the
	// cell.
	Find(ctx context.Context, cell structs.CellID) (address string, err error)
}

// HeartbeatFunc sends a heartbeat to the agent at a peer address.
type HeartbeatFunc func(ctx context.Context, address string, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error)

// Options configures an Agent.
type Options struct {
	Worker    structs.Worker
	Runtime   substrate.WorkerRuntime
	Finder    LeaderFinder
	Heartbeat HeartbeatFunc
	// ConfigRevision returns the revision of the configuration that this
	// process has, 0 if it has none. May be nil.
	ConfigRevision func() int64
	// ApplyConfig applies an update to a newer configuration, encoded as
	// config.Holder.UpdateSince returns it. May be nil.
	ApplyConfig func(revision int64, update []byte)

	StartGrant  time.Duration // time after a heartbeat within which an assignment based on it may start
	CallTimeout time.Duration // timeout of one call to the runtime or the leader
	Interval    time.Duration // time between heartbeats until the leader sets an interval
	Log         *zap.Logger
	Meters      metric.MeterProvider
}

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// complete checks the options and fills in the defaults.
func (o Options) complete() (Options, error) {
	var faults []structs.Fault
	require := func(path string, ok bool) {
		if !ok {
			faults = append(faults, structs.Fault{Path: path, Rule: "is required"})
		}
	}
	require("worker.id", o.Worker.ID != "")
	require("worker.cell", o.Worker.Cell != "")
	require("runtime", o.Runtime != nil)
	require("finder", o.Finder != nil)
	require("heartbeat", o.Heartbeat != nil)
	if faults != nil {
		return o, &structs.InvalidError{Subject: "worker options", Faults: faults}
	}
	setDefault(&o.StartGrant, DefaultStartGrant)
	setDefault(&o.CallTimeout, DefaultCallTimeout)
	setDefault(&o.Interval, DefaultInterval)
	if o.ConfigRevision == nil {
		o.ConfigRevision = func() int64 { return 0 }
	}
	if o.ApplyConfig == nil {
		o.ApplyConfig = func(int64, []byte) {}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	return o, nil
}
