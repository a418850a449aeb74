package fleet

import (
	"cmp"
	"context"
	"net"
	"time"

	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// ConfigSource provides the operators' configuration.
type ConfigSource interface {
	// Current returns the newest configuration that was read, nil before the
	// first, and the time since the last read.
	Current() (*structs.FleetConfig, time.Duration)
	// Changed is signalled after a change. Only one goroutine may receive from
	// it.
	Changed() <-chan struct{}
}

// Dial opens a connection to a peer address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options configures a node.
type Options struct {
	Worker        structs.WorkerID
	FailureDomain structs.FailureDomainID
	Address       string // address at which other nodes and entries reach this one
	Store         substrate.PartStore
	// Runner returns a client for the runner that sent the announcement.
	Runner func(substrate.RunnerInfo) substrate.Runner
	// RunnerIdentity returns what the settings of the host say of its runner. It is called again
	// when a report differs from what it last returned. nil if the settings say nothing.
	RunnerIdentity func() (substrate.RunnerIdentity, error)
	// RunnerReportInterval is the time between two reports of a runner, 0 for DefaultRunnerReportInterval.
	RunnerReportInterval time.Duration
	// Config returns a source that follows the configuration until stop is
	// called. Only the leader calls Config.
	Config    func() (source ConfigSource, stop func())
	Permits   substrate.PermitSource // nil if no queue requires permits
	Dial      Dial                   // nil for TCP
	Clock     bootclock.Clock        // nil for the system clock
	WallClock func() time.Time       // nil for the system clock; used only for scheduled rounds
	Timing    Timing                 // zero fields get the defaults
	RowBytes  int                    // largest size of a row's value in the store, 0 for DefaultRowBytes
	// JobBytes is the memory for the jobs that a leader knows, 0 for no limit.
	JobBytes int64
	// UseRunTimes orders filling jobs by the expected run times of their tasks
	// instead of the declared ones.
	UseRunTimes bool
	Log         *zap.Logger
	Meters      metric.MeterProvider
	// QueueShares shares each pool equally among the queues of one priority that
	// have pending filling tasks.
	QueueShares bool
	// PlaceBySpeed starts short tasks that don't fill on the workers on which they are
	// expected to end first, and weights the idle processors for filling tasks with the
	// speed of the worker.
	PlaceBySpeed bool
	// RefuseHopeless refuses a new job that would certainly end later than three
	// times its objective, while its pool has no room for it. Jobs of priority 0
	// are never refused.
	RefuseHopeless bool

	// simulateWork is called for each message and each demand that the leader
	// handles. Tests of a slow leader sleep in it.
	simulateWork func()
}

// DefaultRowBytes is the default of Options.RowBytes.
const DefaultRowBytes = 64 << 10

func (o Options) rowBytes() int { return cmp.Or(o.RowBytes, DefaultRowBytes) }

// DefaultRunnerReportInterval is the default of Options.RunnerReportInterval.
const DefaultRunnerReportInterval = 1100 * time.Millisecond

// Timing holds the durations of a fleet. All nodes must use the same values.
type Timing struct {
	MaxLease     time.Duration // longest lease that a runner accepts
	Lease        time.Duration // length of the lease of a worker that is in contact with the leader
	LeaseHorizon time.Duration // leases end at most this long after the last stored commit of the leader was sent
	// OwnLeaseHorizon replaces LeaseHorizon for the worker on the leader's host, which is lost
	// together with the leader.
	OwnLeaseHorizon time.Duration
	CommitInterval  time.Duration // longest time between two commits of a leader
	TakeoverAfter   time.Duration // a candidate without contact to the leader takes over after the leadership row has not changed for this long
	// SessionTimeout is the time without orders after which the agent ends the
	// session, and the time without a list of runs after which the leader
	// neither extends the worker's lease nor assigns tasks to it. The leader
	// ends the session after twice this time without a report.
	SessionTimeout time.Duration
	// ReportInterval is the longest wait for a change of the runner's runs
	// before they are reported again. After twice this time without a report,
	// one without the runs is sent.
	ReportInterval    time.Duration
	MaxOrderAge       time.Duration // age above which an order starts nothing
	MaxConfigAge      time.Duration // time since the last read of the configuration above which nothing starts
	RunnerCallTimeout time.Duration // timeout of the first attempt of a call to the runner
	Retention         time.Duration // how long the state of a finished job is kept
	// ViolationLimit is the longest time for which a service may be over its
	// latency target because of filling tasks on its host.
	ViolationLimit time.Duration
	RestartLimit   time.Duration // longest time for which a long-running task may have no run while there is room for it
	IdleLimit      time.Duration // longest time for which a job may have no run while most of its pool is free
	PaceDelay      time.Duration // longest time until a change of pace that the runner has confirmed takes effect
	MaxClockDrift  float64       // largest relative difference between the rates of two clocks
}

// Default durations.
const (
	DefaultMaxLease          = 10 * time.Second
	DefaultLease             = 4500 * time.Millisecond
	DefaultCommitInterval    = 400 * time.Millisecond
	DefaultTakeoverAfter     = time.Second
	DefaultSessionTimeout    = 1200 * time.Millisecond
	DefaultReportInterval    = 400 * time.Millisecond
	DefaultMaxOrderAge       = 1500 * time.Millisecond
	DefaultMaxConfigAge      = 4 * time.Second // the platform allows 5 s from a drain to the last start
	DefaultRunnerCallTimeout = 250 * time.Millisecond
	DefaultRetention         = 180 * time.Second // the platform requires 120 s
	DefaultViolationLimit    = 4 * time.Second
	DefaultRestartLimit      = 6 * time.Second // from the platform's rules for long-running tasks
	DefaultIdleLimit         = 3 * time.Second // from the platform's rules for jobs
	DefaultPaceDelay         = 100 * time.Millisecond
	DefaultMaxClockDrift     = 0.02 // from the platform's page on runners
)

// leaseMargin is the time between the end of a lease on the runner's clock and
// the moment at which the leader treats the lease as lapsed.
const leaseMargin = 150 * time.Millisecond

// horizonMargin is the difference between the longest lease that a runner
// accepts and the default of LeaseHorizon.
const horizonMargin = 300 * time.Millisecond

func setDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (t Timing) withDefaults() Timing {
	setDefault(&t.MaxLease, DefaultMaxLease)
	setDefault(&t.LeaseHorizon, t.MaxLease-horizonMargin)
	setDefault(&t.Lease, min(DefaultLease, t.LeaseHorizon))
	setDefault(&t.RestartLimit, DefaultRestartLimit)
	setDefault(&t.MaxClockDrift, DefaultMaxClockDrift)
	setDefault(&t.OwnLeaseHorizon, t.defaultOwnLeaseHorizon())
	setDefault(&t.CommitInterval, DefaultCommitInterval)
	setDefault(&t.TakeoverAfter, DefaultTakeoverAfter)
	setDefault(&t.SessionTimeout, DefaultSessionTimeout)
	setDefault(&t.ReportInterval, DefaultReportInterval)
	setDefault(&t.MaxOrderAge, DefaultMaxOrderAge)
	setDefault(&t.MaxConfigAge, DefaultMaxConfigAge)
	setDefault(&t.RunnerCallTimeout, DefaultRunnerCallTimeout)
	setDefault(&t.Retention, DefaultRetention)
	setDefault(&t.ViolationLimit, DefaultViolationLimit)
	setDefault(&t.IdleLimit, DefaultIdleLimit)
	setDefault(&t.PaceDelay, DefaultPaceDelay)
	return t
}

// Parts of the time from the loss of the leader's host to the next runs of its
// long-running tasks.
const (
	restartGrace  = 3 * time.Second         // from the platform's rule LOST: added to RestartLimit
	readAfterLoss = 1500 * time.Millisecond // until the next leader has first read the last row
	startTime     = 150 * time.Millisecond  // from the release of a run to the start of the next one
)

// defaultOwnLeaseHorizon returns the longest horizon with which long-running tasks that
// are lost with the leader run again within RestartLimit and restartGrace. A store outage
// that lasts longer stops the work of this worker.
func (t Timing) defaultOwnLeaseHorizon() time.Duration {
	longest := t.RestartLimit + restartGrace - readAfterLoss - t.leaseLapseDelay() - leaderTick - startTime
	return min(t.LeaseHorizon, max(t.Lease, longest))
}

// witnessHorizon returns how long leases last at most after most of the witnesses have
// certainly attended the leader. Witnesses that attend confirm orders 0.4 to 0.8 s later, so
// that leases are up to ReportInterval shorter than Lease.
func (t Timing) witnessHorizon() time.Duration { return t.Lease + t.ReportInterval }

// leaseLapseDelay returns the time after the end of a lease at which it has
// lapsed even on a runner with a slow clock.
func (t Timing) leaseLapseDelay() time.Duration {
	return time.Duration(t.MaxClockDrift*float64(t.MaxLease)) + leaseMargin
}

// startLimitDivisor divides RestartLimit into the time that a start may take. A
// stopped run is released after up to two further lists of its worker, so that a
// task whose first two workers do not start it has a run on a third one in time.
const startLimitDivisor = 4

// startLimit returns the time after which a run whose start was ordered, and
// that its worker does not list, is stopped.
func (t Timing) startLimit() time.Duration { return t.RestartLimit / startLimitDivisor }

// overdueDivisor divides the restart limit into the time after which a
// long-running task without a run goes before all other work. The rest is for
// stopping other tasks and for starting this one.
const overdueDivisor = 2

// overdueAfter returns the time since its last run after which a long-running
// task is overdue.
func (t Timing) overdueAfter() time.Duration { return t.RestartLimit / overdueDivisor }

// idleStartTime is the part of the limit for idle jobs that is left for a commit
// and a start.
const idleStartTime = 700 * time.Millisecond

// idleAfter returns the time without a run after which one of the filling tasks
// of a job may start beside services that it disturbs.
func (t Timing) idleAfter() time.Duration { return max(0, t.IdleLimit-idleStartTime) }

// complete checks the required options and fills in the defaults.
func (o Options) complete() (Options, error) {
	var faults []structs.Fault
	require := func(path string, ok bool) {
		if !ok {
			faults = append(faults, structs.Fault{Path: path, Rule: "is required"})
		}
	}
	require("worker", o.Worker != "")
	require("address", o.Address != "")
	require("store", o.Store != nil)
	require("runner", o.Runner != nil)
	require("config", o.Config != nil)
	if faults != nil {
		return o, &structs.InvalidError{Subject: "fleet options", Faults: faults}
	}
	o.Timing = o.Timing.withDefaults()
	setDefault(&o.RunnerReportInterval, DefaultRunnerReportInterval)
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	if o.WallClock == nil {
		o.WallClock = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	o.containCalls()
	return o, nil
}
