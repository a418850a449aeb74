package worker

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// retryFirst and retryLast bound the time between heartbeats that fail.
	retryFirst = 250 * time.Millisecond
	retryLast  = 4 * time.Second
	// shortestInterval and longestInterval bound what a leader may ask for.
	shortestInterval = 50 * time.Millisecond
	longestInterval  = 10 * time.Second
	// firstSequence bounds the random number of an agent's first heartbeat. An
	// assignment that answers a heartbeat of an earlier agent is unknown to the
	// next one.
	firstSequence = 1 << 62
)

// terms are the leases that the leader has granted last.
type terms struct {
	batch   time.Duration
	service time.Duration
}

// of returns the term for a kind of work, the shorter one for an unknown kind.
func (t terms) of(kind structs.WorkKind) time.Duration {
	switch kind {
	case structs.WorkBatch:
		return t.batch
	case structs.WorkService:
		return t.service
	}
	return min(t.batch, t.service)
}

// Agent runs the tasks of one worker.
type Agent struct {
	o       Options
	metrics *metrics
	kick    chan struct{} // asks for a heartbeat now
	beaten  chan struct{} // a heartbeat has ended, for Leave
	actions sync.WaitGroup

	mu       sync.Mutex
	running  bool
	ctx      context.Context // of Run
	ledger   *ledger
	readings readings
	sequence int64
	epoch    int64 // highest seen
	terms    terms
	interval time.Duration
	leading  string // address of the leader, empty when unknown
	wantFull bool
	reply    answered
	acked    reports
	usage    usageReports
	leaving  bool
}

// answered names the last response that was read.
type answered struct {
	reply int64
	epoch int64
}

// New returns an agent that runs nothing until Run.
func New(options Options) (*Agent, error) {
	o, err := options.complete()
	if err != nil {
		return nil, err
	}
	m, err := newMetrics(o.Meters)
	if err != nil {
		return nil, err
	}
	return &Agent{
		o: o, metrics: m,
		kick:     make(chan struct{}, 1),
		beaten:   make(chan struct{}, 1),
		ledger:   newLedger(o.Worker.Capacity, o.StartGrant),
		readings: readings{grant: o.StartGrant},
		sequence: rand.Int64N(firstSequence),
		interval: o.Interval,
		wantFull: true,
		acked:    reports{},
		usage:    usageReports{},
	}, nil
}

// Run sends heartbeats until ctx ends. The first reading of the runtime adopts
// the runs that an earlier agent has started. Runs go on after Run until their
// leases lapse.
func (a *Agent) Run(ctx context.Context) error {
	a.setRunning(ctx, true)
	defer a.actions.Wait()
	defer a.setRunning(ctx, false)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryFirst
	retry.MaxInterval = retryLast
	for {
		var delay time.Duration
		if err := a.beat(ctx); err != nil {
			a.metrics.failed(ctx)
			a.o.Log.Debug("heartbeat", zap.String("worker", string(a.o.Worker.ID)), zap.Error(err))
			delay = retry.NextBackOff()
		} else {
			retry.Reset()
			delay = a.nextInterval()
		}
		signal(a.beaten)
		if !a.pause(ctx, delay) {
			return nil
		}
	}
}

// pause waits for the next heartbeat and reports false when ctx has ended.
func (a *Agent) pause(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.kick:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (a *Agent) setRunning(ctx context.Context, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.ctx = ctx
	a.running = running
}

func (a *Agent) nextInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

// signal sets a flag channel.
func signal(flag chan struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// call runs one call to the runtime within the limit.
func call[T any](ctx context.Context, a *Agent, do func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, a.o.CallTimeout)
	defer cancel()
	return do(ctx)
}

// snapshot reads the runtime and brings the ledger up to it.
func (a *Agent) snapshot(ctx context.Context) (substrate.Snapshot, error) {
	a.mu.Lock()
	number := a.ledger.beginSnapshot()
	a.mu.Unlock()
	s, err := call(ctx, a, a.o.Runtime.Snapshot)
	if err != nil {
		return s, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	lost := a.ledger.takeSnapshot(number, s)
	if lost.runs > 0 {
		a.wantFull = true // only a full list shows that a run is missing
	}
	if lost.restarted {
		a.wantFull = true
		a.acked = reports{}
		a.usage = usageReports{}
		a.metrics.restarted(ctx)
		a.o.Log.Info("runtime restarted", zap.String("worker", string(a.o.Worker.ID)), zap.String("incarnation", s.Incarnation))
	}
	return s, nil
}
