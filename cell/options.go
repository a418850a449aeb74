package cell

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

// AssignFunc delivers a request to the agent at the address.
type AssignFunc func(ctx context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error)

// ConfigFunc returns the revision in force and, when it is newer than have,
// the configuration as JSON.
type ConfigFunc func(have int64) (revision int64, config []byte)

// Options configures one candidate for the leadership of a cell.
type Options struct {
	Cell    structs.CellID
	Domain  structs.FailureDomainID
	Worker  structs.WorkerID // worker of this candidate
	Address string           // peer address of this candidate
	Peers   []structs.CellID // cells that accept tasks of this cell when its failure domain is out

	Table   substrate.Table
	Objects substrate.Objects
	Assign  AssignFunc
	Planner Planner    // FirstFit if nil
	Config  ConfigFunc // nil if workers get no configuration
	// Quotas returns the teams' quotas. If it is nil, teams have no limit.
	Quotas Quotas
	// Observer is notified of ended attempts and of jobs. It may be nil.
	Observer Observer

	Timing Timing // zero fields get defaults
	Log    *zap.Logger
	Meters metric.MeterProvider

	maxRowRecords int // bound of each kind of record in a log row, 0 for the built-in bounds
}

// Timing holds the durations of a cell. Every node must use the same values.
// Only RideOut and Lease may differ, because each leader publishes them in its
// leadership row.
type Timing struct {
	TakeoverAfter        time.Duration // time after which an unchanged leadership row may be acquired
	ForeignTakeoverAfter time.Duration // time after which a leader of another cell may acquire an unchanged leadership row
	Lease                KindDurations // how long the worker runs an attempt after the last renewal
	RideOut              KindDurations // ride-out time, for which a leader renews leases without reaching the table
	StartGrant           time.Duration // how long after its heartbeat an agent may start assignments
	MinHeartbeatInterval time.Duration // shortest time between two heartbeats of a worker
	PollInterval         time.Duration // time between two reads of the inbox, the failure domain and the quotas
	CallTimeout          time.Duration // timeout of one call to the table, the object store or an agent
	MaxClockDrift        float64       // largest relative difference between the rates of two clocks
	CommitRate           float64       // log rows per second, negative for no limit
	MaxEvictionsInFlight int           // evictions in flight while the failure domain is out of service
	StartsPerSecond      int           // starts per second after the failure domain has returned to service
}

// KindDurations is a duration for each kind of work.
type KindDurations struct {
	Batch   time.Duration `json:"batch"`
	Service time.Duration `json:"service"`
}

// Of returns the duration for the kind.
func (d KindDurations) Of(kind structs.WorkKind) time.Duration {
	if kind == structs.WorkService {
		return d.Service
	}
	return d.Batch
}

// max returns the longer duration of each kind.
func (d KindDurations) max(o KindDurations) KindDurations {
	return KindDurations{Batch: max(d.Batch, o.Batch), Service: max(d.Service, o.Service)}
}

// Default timing of a cell.
const (
	DefaultTakeoverAfter        = 6 * time.Second
	DefaultForeignTakeoverAfter = 30 * time.Second
	DefaultBatchLease           = 15 * time.Second
	DefaultServiceLease         = 15 * time.Second
	DefaultBatchRideOut         = time.Hour
	DefaultServiceRideOut       = 10 * time.Minute
	DefaultStartGrant           = 2500 * time.Millisecond
	DefaultMinHeartbeatInterval = time.Second
	DefaultPollInterval         = time.Second
	DefaultCallTimeout          = 2 * time.Second
	DefaultMaxClockDrift        = 0.005
	DefaultCommitRate           = 4.0 // log rows per second
	DefaultMaxEvictionsInFlight = 4
	DefaultStartsPerSecond      = 8
)

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// withDefaults replaces zero fields by their defaults.
func (t Timing) withDefaults() Timing {
	setDefault(&t.TakeoverAfter, DefaultTakeoverAfter)
	setDefault(&t.ForeignTakeoverAfter, DefaultForeignTakeoverAfter)
	setDefault(&t.Lease.Batch, DefaultBatchLease)
	setDefault(&t.Lease.Service, DefaultServiceLease)
	setDefault(&t.RideOut.Batch, DefaultBatchRideOut)
	setDefault(&t.RideOut.Service, DefaultServiceRideOut)
	setDefault(&t.StartGrant, DefaultStartGrant)
	setDefault(&t.MinHeartbeatInterval, DefaultMinHeartbeatInterval)
	setDefault(&t.PollInterval, DefaultPollInterval)
	setDefault(&t.CallTimeout, DefaultCallTimeout)
	setDefault(&t.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&t.CommitRate, DefaultCommitRate)
	setDefault(&t.MaxEvictionsInFlight, DefaultMaxEvictionsInFlight)
	setDefault(&t.StartsPerSecond, DefaultStartsPerSecond)
	return t
}

// withClockDrift returns how long this clock must run until d has passed on
// every other clock.
func (t Timing) withClockDrift(d time.Duration) time.Duration {
	return d + time.Duration(2*t.MaxClockDrift*float64(d))
}

// validateAndDefault replaces missing options by their defaults. It returns
// *structs.InvalidError if a required option is missing.
func (o Options) validateAndDefault() (Options, error) {
	var faults []structs.Fault
	require := func(path string, ok bool) {
		if !ok {
			faults = append(faults, structs.Fault{Path: path, Rule: "is required"})
		}
	}
	require("cell", o.Cell != "")
	require("domain", o.Domain != "")
	require("worker", o.Worker != "")
	require("table", o.Table != nil)
	require("objects", o.Objects != nil)
	require("assign", o.Assign != nil)
	if faults != nil {
		return o, &structs.InvalidError{Subject: "cell options", Faults: faults}
	}
	o.Timing = o.Timing.withDefaults()
	if o.Planner == nil {
		o.Planner = FirstFit{}
	}
	if o.Observer == nil {
		o.Observer = noopObserver{}
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	if o.Config == nil {
		o.Config = func(int64) (int64, []byte) { return 0, nil }
	}
	return o, nil
}
