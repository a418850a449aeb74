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

// Options describe one candidate for the leadership of a cell.
type Options struct {
	Cell    structs.CellID
	Domain  structs.FailureDomainID
	Worker  structs.WorkerID // worker of this candidate
	Address string           // peer address of this candidate
	Peers   []structs.CellID // cells that take over work when the domain is out

	Table   substrate.Table
	Objects substrate.Objects
	Assign  AssignFunc
	Planner Planner    // FirstFit if nil
	Config  ConfigFunc // may be nil
	// Quotas gives the teams' quotas; nil leaves teams unlimited.
	Quotas Quotas
	// Observer is told of ends and deadlines; may be nil.
	Observer Observer

	Timing Timing // zero fields get defaults
	Log    *zap.Logger
	Meters metric.MeterProvider

	rowRecords int // bound of each kind of record in a log row, 0 for the usual ones
}

// Timing holds the durations of a cell. Every member must use the same values,
// but for Ride and Lease, which a leader carries in its leadership row.
type Timing struct {
	Term        time.Duration // a leadership row that stays unchanged for this long is taken over
	ForeignTerm time.Duration // the same, for leaders of other cells
	Lease       KindDurations // how long the worker runs an attempt after the last renewal
	Ride        KindDurations // how long a leader renews leases without reaching the table
	Grant       time.Duration // how long after its heartbeat an agent starts assignments
	Heartbeat   time.Duration // shortest interval of heartbeats
	Poll        time.Duration // interval of reads of the inbox and the failure domain
	Call        time.Duration // limit of one call to the table, the object store or an agent
	ClockRate   float64       // largest relative difference between the rates of two clocks
	CommitRate  float64       // log rows a second, negative for no limit
	MovePace    int           // evictions in flight while the failure domain is out
	StartPace   int           // starts a second after the failure domain came in
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

// Default durations of a cell.
const (
	DefaultTerm         = 6 * time.Second
	DefaultForeignTerm  = 30 * time.Second
	DefaultBatchLease   = 15 * time.Second
	DefaultServiceLease = 15 * time.Second
	DefaultBatchRide    = time.Hour
	DefaultServiceRide  = 10 * time.Minute
	DefaultGrant        = 2500 * time.Millisecond
	DefaultHeartbeat    = time.Second
	DefaultPoll         = time.Second
	DefaultCall         = 2 * time.Second
	DefaultClockRate    = 0.005
	DefaultCommitRate   = 4.0 // log rows a second
	DefaultMovePace     = 4
	DefaultStartPace    = 8
)

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

// withDefaults fills in the zero fields.
func (t Timing) withDefaults() Timing {
	orDefault(&t.Term, DefaultTerm)
	orDefault(&t.ForeignTerm, DefaultForeignTerm)
	orDefault(&t.Lease.Batch, DefaultBatchLease)
	orDefault(&t.Lease.Service, DefaultServiceLease)
	orDefault(&t.Ride.Batch, DefaultBatchRide)
	orDefault(&t.Ride.Service, DefaultServiceRide)
	orDefault(&t.Grant, DefaultGrant)
	orDefault(&t.Heartbeat, DefaultHeartbeat)
	orDefault(&t.Poll, DefaultPoll)
	orDefault(&t.Call, DefaultCall)
	orDefault(&t.ClockRate, DefaultClockRate)
	orDefault(&t.CommitRate, DefaultCommitRate)
	orDefault(&t.MovePace, DefaultMovePace)
	orDefault(&t.StartPace, DefaultStartPace)
	return t
}

// drifted returns how long a clock must be watched to be sure that d has
// passed on every other clock.
func (t Timing) drifted(d time.Duration) time.Duration {
	return d + time.Duration(2*t.ClockRate*float64(d))
}

// complete checks the options and fills in the defaults.
func (o Options) complete() (Options, error) {
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
		o.Observer = noObserver{}
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
