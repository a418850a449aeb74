package cell

import (
	"context"
	"errors"
	"strings"
	"sync"
	"time"

	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/structs"
)

// leader leads one cell for one epoch. The loop in run is the only writer of
// the cell's rows; heartbeats and reads of the table only queue what the loop
// then commits.
type leader struct {
	o        Options
	cell     structs.CellID
	foreign  bool // the cell is not this agent's own
	metrics  *metrics
	settler  *settler
	limiter  *rate.Limiter // of log rows
	epoch    int64
	wake     chan struct{}
	notified chan struct{}  // the inbox has new rows
	sends    sync.WaitGroup // deliveries to agents

	// Owned by the loop.
	row      Leadership
	revision int64     // of the leadership row
	renewed  time.Time // when the row was last written
	lapse    lapseRule
	log      journal
	building chan *builtSnapshot
	busy     bool   // a snapshot is being built
	object   string // key of the snapshot in force

	mu        sync.Mutex
	over      bool      // the tenure has ended
	proof     time.Time // when the last proof of leadership was sent
	ready     bool      // state is recovered
	state     *State
	views     map[structs.WorkerID]*view
	replies   int64
	queue     queue
	committed map[structs.AttemptID]time.Time // attempts of this epoch
	pendingAt map[structs.TaskID]time.Time    // when this leader first saw it pending
	retryAt   map[structs.TaskID]time.Time    // earliest next attempt after a failure
	reasons   map[structs.TaskID]Unschedulable
	outcomes  []Outcome // for the planner, oldest first
	quotas    quotas
	late      map[structs.JobID]bool // open jobs whose deadline has passed
	began     time.Time              // of this leadership
	deadlines time.Time              // when they were last looked at
	inbox     []acceptance
	domain    domainView
	summary   summaryRow
	planned   planned
	composed  time.Time // when the loop composed last
	resumed   time.Time // when it went on after a pause
	moved     time.Time // when a service was last evicted from an evacuated domain
	visited   bool      // a worker of a foreign cell has reported
}

// queue holds what waits for the next log row.
type queue struct {
	ends    map[structs.AttemptID]structs.AttemptEnd
	workers map[structs.WorkerID]string // announced incarnations
}

func newQueue() queue {
	return queue{ends: map[structs.AttemptID]structs.AttemptEnd{}, workers: map[structs.WorkerID]string{}}
}

// commitBurst is the number of log rows that may follow each other at once
// under a CommitRate.
const commitBurst = 4

func newLeader(o Options, cell structs.CellID, s *settler, m *metrics, t *tenure) *leader {
	limit := rate.Inf
	if o.Timing.CommitRate > 0 {
		limit = rate.Limit(o.Timing.CommitRate)
	}
	return &leader{
		o: o, cell: cell, foreign: cell != o.Cell, metrics: m, settler: s,
		limiter:  rate.NewLimiter(limit, commitBurst),
		epoch:    t.row.Epoch,
		wake:     make(chan struct{}, 1),
		notified: make(chan struct{}, 1),
		row:      t.row, revision: t.revision, renewed: t.proof, proof: t.proof,
		lapse:     lapseRule{timing: o.Timing, tookOver: t.tookOver, ride: t.ride, lease: t.lease},
		building:  make(chan *builtSnapshot, 1),
		state:     NewState(),
		views:     map[structs.WorkerID]*view{},
		queue:     newQueue(),
		committed: map[structs.AttemptID]time.Time{},
		pendingAt: map[structs.TaskID]time.Time{},
		retryAt:   map[structs.TaskID]time.Time{},
		reasons:   map[structs.TaskID]Unschedulable{},
		late:      map[structs.JobID]bool{},
		quotas:    quotas{teams: map[structs.TeamID]*quotaView{}},
		began:     time.Now(),
	}
}

// signal wakes the loop.
func (l *leader) signal() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run leads until ctx ends or a newer epoch fences this one. It returns
// *structs.FencedError in the second case.
func (l *leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.sends.Wait()
	defer cancel()
	defer l.stop()
	if err := l.recover(ctx); err != nil {
		return err
	}
	l.sends.Go(func() { l.poll(ctx) })
	for {
		if err := l.wait(ctx); err != nil {
			return l.release()
		}
		err := l.step(ctx)
		var fenced *structs.FencedError
		switch {
		case errors.As(err, &fenced):
			count(l.metrics.stepDowns, 1)
			return fenced
		case ctx.Err() != nil:
			return l.release()
		}
		if l.finished() {
			return l.release()
		}
	}
}

// stop ends the tenure: heartbeats are no longer answered.
func (l *leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.over = true
}

// wait blocks until there may be something to do and a write is allowed. A
// write after a quiet time is allowed at once; it never waits for company.
func (l *leader) wait(ctx context.Context) error {
	timer := time.NewTimer(l.o.Timing.Poll / 4)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-l.wake:
	case <-timer.C:
	}
	if missing := 1 - l.limiter.Tokens(); missing > 0 {
		return sleep(ctx, time.Duration(missing/float64(l.limiter.Limit())*float64(time.Second)))
	}
	return nil
}

// step commits one transaction if there is something to commit.
func (l *leader) step(ctx context.Context) error {
	work := l.compose(time.Now())
	if work.empty() {
		return nil
	}
	l.limiter.Allow()
	err := l.commit(ctx, work)
	conflict := asConflict(err)
	if conflict != nil && strings.HasPrefix(conflict.Key, quotaPrefix) {
		count(l.metrics.conflicts, 1)
		l.forgetQuotas(time.Now())
		return nil
	}
	if conflict != nil && conflict.Key != leaderKey(l.cell) {
		count(l.metrics.conflicts, 1)
		l.o.Log.Debug("commit refused", zap.String("cell", string(l.cell)), zap.Error(conflict))
		l.forgetReads()
		return nil
	}
	if err == nil && work.snapshot != nil {
		l.dropSnapshot(work.snapshot)
	}
	return l.settle(err)
}

// settle turns a conflict on the leadership row into *structs.FencedError.
func (l *leader) settle(err error) error {
	if conflict := asConflict(err); conflict != nil && conflict.Key == leaderKey(l.cell) {
		return &structs.FencedError{Cell: l.cell, Epoch: l.epoch}
	}
	return err
}

// release gives the leadership up, so that a candidate need not wait for the
// term, nor the next leader for this one's ride: no lease is renewed from here
// on. It is best effort: nothing depends on it.
func (l *leader) release() error {
	l.stop()
	ctx, cancel := context.WithTimeout(context.Background(), l.o.Timing.Call)
	defer cancel()
	if err := l.commit(ctx, &work{renew: true, release: true}); err != nil {
		l.o.Log.Info("leadership not released", zap.String("cell", string(l.cell)), zap.Error(err))
	}
	return nil
}

// finished reports whether a foreign leader has nothing left to do.
func (l *leader) finished() bool {
	if !l.foreign {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pending, assigned := l.state.Counts()
	return l.visited || (l.domain.polled && pending+assigned == 0 && len(l.inbox) == 0)
}
