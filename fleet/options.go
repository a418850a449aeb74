package fleet

import (
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

// ConfigSource gives the operators' configuration.
type ConfigSource interface {
	// Current returns the newest configuration that is known, nil before the
	// first, and the age of the last reading.
	Current() (*structs.FleetConfig, time.Duration)
	// Changed is signalled after a change. It has one receiver.
	Changed() <-chan struct{}
}

// Dial opens a connection to a peer address.
type Dial func(ctx context.Context, address string) (net.Conn, error)

// Options describe a node.
type Options struct {
	Worker        structs.WorkerID
	FailureDomain structs.FailureDomainID
	Address       string // peer address
	Store         substrate.PartStore
	// Runner returns the client of the runner that announced itself.
	Runner func(substrate.RunnerInfo) substrate.Runner
	// Config starts following the configuration until stop is called. Only a
	// leader follows it.
	Config  func() (source ConfigSource, stop func())
	Permits substrate.PermitSource // nil where no queue needs permits
	Dial    Dial                   // nil for TCP
	Clock   bootclock.Clock        // nil for the system's
	Wall    func() time.Time       // nil for the system's; only for scheduled rounds
	Timing  Timing                 // zero fields get defaults
	Log     *zap.Logger
	Meters  metric.MeterProvider
}

// Timing holds the durations of a fleet. Every node must use the same values.
type Timing struct {
	HoldMax   time.Duration // longest lease that a runner takes
	Lease     time.Duration // lease of a worker that is in contact with the leader
	Horizon   time.Duration // leases end at most this long after the leader's last commit was sent
	Renew     time.Duration // longest time between two commits of a leader
	Observe   time.Duration // a leadership row that stays unchanged for this long is taken over
	Silence   time.Duration // without a message on a session before the other side counts as away
	Report    time.Duration // longest time between two reports of a worker
	OrderAge  time.Duration // orders older than this start nothing
	RunnerRTT time.Duration // a call to the runner without an answer is repeated after this
	Retention time.Duration // how long the state of a job that is over is kept
	ClockRate float64       // largest relative difference between the rates of two clocks
}

// Default durations.
const (
	DefaultHoldMax   = 10 * time.Second
	DefaultLease     = 4500 * time.Millisecond
	DefaultRenew     = 400 * time.Millisecond
	DefaultObserve   = time.Second
	DefaultSilence   = 1200 * time.Millisecond
	DefaultReport    = 400 * time.Millisecond
	DefaultOrderAge  = 1500 * time.Millisecond
	DefaultRunnerRTT = 250 * time.Millisecond
	DefaultRetention = 180 * time.Second // the platform asks for 120 s
	DefaultClockRate = 0.02              // from the platform's page on runners
)

// leaseMargin is kept between the end of a lease on the runner's clock and the
// moment at which the leader takes the lease for lapsed.
const leaseMargin = 150 * time.Millisecond

// horizonMargin is kept between the longest lease that a runner takes and the
// leases that a leader without the store still gives.
const horizonMargin = 300 * time.Millisecond

func orDefault[T comparable](value *T, fallback T) {
	var zero T
	if *value == zero {
		*value = fallback
	}
}

func (t Timing) withDefaults() Timing {
	orDefault(&t.HoldMax, DefaultHoldMax)
	orDefault(&t.Horizon, t.HoldMax-horizonMargin)
	orDefault(&t.Lease, min(DefaultLease, t.Horizon))
	orDefault(&t.Renew, DefaultRenew)
	orDefault(&t.Observe, DefaultObserve)
	orDefault(&t.Silence, DefaultSilence)
	orDefault(&t.Report, DefaultReport)
	orDefault(&t.OrderAge, DefaultOrderAge)
	orDefault(&t.RunnerRTT, DefaultRunnerRTT)
	orDefault(&t.Retention, DefaultRetention)
	orDefault(&t.ClockRate, DefaultClockRate)
	return t
}

// slack returns how long after its end a lease has surely lapsed on a runner
// whose clock is slow.
func (t Timing) slack() time.Duration {
	return time.Duration(t.ClockRate*float64(t.HoldMax)) + leaseMargin
}

// complete checks the options and fills in the defaults.
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
	if o.Dial == nil {
		o.Dial = dialTCP
	}
	if o.Clock == nil {
		o.Clock = bootclock.Now
	}
	if o.Wall == nil {
		o.Wall = time.Now
	}
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	if o.Meters == nil {
		o.Meters = noop.NewMeterProvider()
	}
	return o, nil
}
