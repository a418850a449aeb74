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
	// retryInitialInterval and retryMaxInterval bound the backoff after failed
	// heartbeats and runtime calls.
	retryInitialInterval = 250 * time.Millisecond
	retryMaxInterval     = 4 * time.Second
	// minHeartbeatInterval and maxHeartbeatInterval bound the heartbeat interval
	// that a leader may set.
	minHeartbeatInterval = 50 * time.Millisecond
	maxHeartbeatInterval = 10 * time.Second
	// initialSequenceLimit bounds the random sequence number from which an agent
	// counts its heartbeats. The number is random so that an assignment based on
	// a heartbeat of an earlier agent process matches no heartbeat of the next.
	initialSequenceLimit = 1 << 62
)

// leaseTerms are the lease durations in the leader's last response. A duration
// is 0 if the leader grants no leases for that kind of work.
type leaseTerms struct {
	batch   time.Duration
	service time.Duration
}

// forKind returns the lease duration for a kind of work, the shorter of the two
// durations for an unknown kind.
func (t leaseTerms) forKind(kind structs.WorkKind) time.Duration {
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
	options            Options
	metrics            *metrics
	heartbeatRequested chan struct{} // makes Run send a heartbeat at once
	heartbeatEnded     chan struct{} // wakes Drain after each heartbeat
	actions            sync.WaitGroup

	mu              sync.Mutex
	running         bool
	runCtx          context.Context // context of Run; its end cancels stops in the background
	ledger          *ledger
	readings        clockReadings
	sequence        int64
	epoch           int64 // highest leader epoch seen
	leaseTerms      leaseTerms
	interval        time.Duration
	leaderAddress   string // peer address of the leader, empty when unknown
	needsFullReport bool
	lastResponse    responseID
	ackedRuns       runReports
	ackedUsage      usageReports
	leaving         bool
}

// responseID identifies a heartbeat response.
type responseID struct {
	number int64
	epoch  int64
}

// New returns an agent that rejects every assignment until Run is called.
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
		options: o, metrics: m,
		heartbeatRequested: make(chan struct{}, 1),
		heartbeatEnded:     make(chan struct{}, 1),
		ledger:             newLedger(o.Worker.Capacity, o.StartGrant),
		readings:           clockReadings{startGrant: o.StartGrant},
		sequence:           rand.Int64N(initialSequenceLimit),
		interval:           o.Interval,
		needsFullReport:    true,
		ackedRuns:          runReports{},
		ackedUsage:         usageReports{},
	}, nil
}

// Run sends heartbeats until ctx ends. The first snapshot of the runtime adopts
// the runs that an earlier agent process started. Tasks keep running after Run
// has returned, until their leases lapse.
func (a *Agent) Run(ctx context.Context) error {
	a.setRunning(ctx, true)
	defer a.actions.Wait()
	defer a.setRunning(ctx, false)
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = retryInitialInterval
	retry.MaxInterval = retryMaxInterval
	for {
		var delay time.Duration
		if err := a.runHeartbeat(ctx); err != nil {
			a.metrics.countFailedHeartbeat(ctx)
			a.options.Log.Debug("heartbeat failed", zap.String("worker", string(a.options.Worker.ID)), zap.Error(err))
			delay = retry.NextBackOff()
		} else {
			retry.Reset()
			delay = a.nextInterval()
		}
		signal(a.heartbeatEnded)
		if !a.waitForNextHeartbeat(ctx, delay) {
			return nil
		}
	}
}

// waitForNextHeartbeat waits for d or until a heartbeat is requested. It reports
// false when ctx has ended.
func (a *Agent) waitForNextHeartbeat(ctx context.Context, d time.Duration) bool {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-a.heartbeatRequested:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (a *Agent) setRunning(ctx context.Context, running bool) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.runCtx = ctx
	a.running = running
}

func (a *Agent) nextInterval() time.Duration {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.interval
}

// signal sends to a channel with a buffer of one without blocking.
func signal(flag chan struct{}) {
	select {
	case flag <- struct{}{}:
	default:
	}
}

// callWithTimeout runs do with a timeout of Options.CallTimeout.
func callWithTimeout[T any](ctx context.Context, a *Agent, do func(ctx context.Context) (T, error)) (T, error) {
	ctx, cancel := context.WithTimeout(ctx, a.options.CallTimeout)
	defer cancel()
	return do(ctx)
}

// syncLedger takes a snapshot of the runtime and applies it to the ledger.
func (a *Agent) syncLedger(ctx context.Context) (substrate.Snapshot, error) {
	a.mu.Lock()
	number := a.ledger.beginSnapshot()
	a.mu.Unlock()
	s, err := callWithTimeout(ctx, a, a.options.Runtime.Snapshot)
	if err != nil {
		return s, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	losses := a.ledger.applySnapshot(number, s)
	if losses.missingAttempts > 0 {
		a.needsFullReport = true // only a full report shows the leader that a run is missing
	}
	if losses.runtimeRestarted {
		a.needsFullReport = true
		a.ackedRuns = runReports{}
		a.ackedUsage = usageReports{}
		a.metrics.countRuntimeRestart(ctx)
		a.options.Log.Info("runtime restarted", zap.String("worker", string(a.options.Worker.ID)), zap.String("incarnation", s.Incarnation))
	}
	return s, nil
}
