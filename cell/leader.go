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
// the cell's rows. The handlers of heartbeats and the polling of the table only
// queue changes that the loop then commits.
type leader struct {
	options       Options
	cell          structs.CellID
	foreign       bool // the cell is not this node's own
	metrics       *metrics
	client        *tableClient
	limiter       *rate.Limiter // limits the log rows per second
	epoch         int64
	wake          chan struct{}  // wakes the loop
	pollRequested chan struct{}  // requests a poll of the table
	background    sync.WaitGroup // polling, deliveries to agents and snapshot calls

	// The fields up to mu are owned by the loop.
	row                Leadership
	revision           int64     // revision of the leadership row
	wasEmpty           bool      // the previous leader stopped while the cell held no tasks
	renewedAt          time.Time // when the leadership row was last written
	leaseExpiry        leaseExpiryRule
	log                logRows
	storedSnapshots    chan *storedSnapshot // results of storeSnapshot, nil after a failure
	snapshotInProgress bool                 // a snapshot is being stored
	snapshotObject     string               // key of the current snapshot, empty without one

	mu                    sync.Mutex
	ended                 bool      // this leadership has ended
	provedAt              time.Time // when the call that last proved the leadership was sent
	recovered             bool      // the state is recovered
	state                 *State
	sessions              map[structs.WorkerID]*workerSession
	lastResponse          int64 // number of the last heartbeat response
	queue                 changeQueue
	starts                map[structs.AttemptID]startRecord // attempts that this leader committed
	pendingSince          map[structs.TaskID]time.Time      // when this leader first saw the task pending
	retryAt               map[structs.TaskID]time.Time      // earliest time of the task's next attempt, set after a failed attempt
	unschedulable         map[structs.TaskID]Unschedulable
	outcomes              []Outcome              // recent outcomes for the planner, oldest first
	quotas                quotas                 // division of the teams' quotas
	missedDeadline        map[structs.JobID]bool // open jobs whose deadline has passed
	startedAt             time.Time              // start of this leadership
	deadlinesCheckedAt    time.Time              // when the deadlines were last checked
	inbox                 []inboxRow
	domain                domainState
	summary               publishedSummary
	lastPlan              planRun   // last planner call
	builtAt               time.Time // when the loop last built a transaction
	resumedAt             time.Time // when the loop last resumed after a pause
	serviceEvictedAt      time.Time // when a service instance was last evicted from an evacuating cell
	foreignWorkerReported bool      // a worker of a foreign cell has sent a heartbeat
}

// startRecord holds the times of an attempt that this leader committed.
type startRecord struct {
	committedAt  time.Time
	pendingSince time.Time // when this leader first saw the task pending before the attempt, zero if it didn't
}

// changeQueue holds the changes that wait for the next log row.
type changeQueue struct {
	ends         map[structs.AttemptID]structs.AttemptEnd
	incarnations map[structs.WorkerID]string // incarnations that workers have announced
}

func newChangeQueue() changeQueue {
	return changeQueue{ends: map[structs.AttemptID]structs.AttemptEnd{}, incarnations: map[structs.WorkerID]string{}}
}

// commitBurst is the number of log rows that may be written at once under
// Timing.CommitRate.
const commitBurst = 4

func newLeader(o Options, cell structs.CellID, client *tableClient, m *metrics, acquired *acquiredLeadership) *leader {
	limit := rate.Inf
	if o.Timing.CommitRate > 0 {
		limit = rate.Limit(o.Timing.CommitRate)
	}
	return &leader{
		options: o, cell: cell, foreign: cell != o.Cell, metrics: m, client: client,
		limiter:       rate.NewLimiter(limit, commitBurst),
		epoch:         acquired.row.Epoch,
		wake:          make(chan struct{}, 1),
		pollRequested: make(chan struct{}, 1),
		row:           acquired.row, revision: acquired.revision, wasEmpty: acquired.wasEmpty, renewedAt: acquired.provedAt, provedAt: acquired.provedAt,
		leaseExpiry:     leaseExpiryRule{timing: o.Timing, acquiredAt: acquired.acquiredAt, earlierRideOut: acquired.earlierRideOut, longestLease: acquired.longestLease},
		storedSnapshots: make(chan *storedSnapshot, 1),
		state:           NewState(),
		sessions:        map[structs.WorkerID]*workerSession{},
		queue:           newChangeQueue(),
		starts:          map[structs.AttemptID]startRecord{},
		pendingSince:    map[structs.TaskID]time.Time{},
		retryAt:         map[structs.TaskID]time.Time{},
		unschedulable:   map[structs.TaskID]Unschedulable{},
		missedDeadline:  map[structs.JobID]bool{},
		quotas:          quotas{teams: map[structs.TeamID]*teamQuota{}},
		startedAt:       time.Now(),
	}
}

// wakeLoop wakes the loop without blocking.
func (l *leader) wakeLoop() {
	select {
	case l.wake <- struct{}{}:
	default:
	}
}

// run leads the cell until ctx ends, a newer epoch fences this leader, or the
// leader of a foreign cell has nothing left to do. It returns
// *structs.FencedError if it was fenced.
func (l *leader) run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer l.background.Wait()
	defer cancel()
	defer l.stop()
	if err := l.recover(ctx); err != nil {
		if ctx.Err() != nil {
			return l.release()
		}
		return err
	}
	l.background.Go(func() { l.poll(ctx) })
	for {
		if err := l.waitForWork(ctx); err != nil {
			return l.release()
		}
		err := l.commitNext(ctx)
		var fenced *structs.FencedError
		switch {
		case errors.As(err, &fenced):
			count(l.metrics.stepDowns, 1)
			return fenced
		case ctx.Err() != nil:
			return l.release()
		}
		if l.foreignWorkDone() {
			return l.release()
		}
	}
}

// stop ends this leadership. Heartbeats are no longer answered.
func (l *leader) stop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended = true
}

// waitForWork blocks until there may be something to commit and the rate limit
// allows a write. A write after an idle period is allowed at once and does not
// wait for further records.
func (l *leader) waitForWork(ctx context.Context) error {
	timer := time.NewTimer(l.options.Timing.PollInterval / 4)
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

// commitNext commits one transaction if there is something to commit.
func (l *leader) commitNext(ctx context.Context) error {
	txn := l.buildTxn(time.Now())
	if txn.empty() {
		return nil
	}
	l.limiter.Allow()
	err := l.commit(ctx, txn)
	conflict := asConflict(err)
	if conflict != nil && strings.HasPrefix(conflict.Key, quotaPrefix) {
		count(l.metrics.conflicts, 1)
		l.discardQuotaReads(time.Now())
		return nil
	}
	if conflict != nil && conflict.Key != leaderKey(l.cell) {
		count(l.metrics.conflicts, 1)
		l.options.Log.Debug("transaction refused by a comparison", zap.String("cell", string(l.cell)), zap.Error(conflict))
		l.discardPolledRows()
		return nil
	}
	if err == nil && txn.snapshot != nil {
		l.deleteReplacedSnapshot(txn.snapshot)
	}
	return l.asFencedError(err)
}

// asFencedError converts a conflict on the leadership row to
// *structs.FencedError.
func (l *leader) asFencedError(err error) error {
	if conflict := asConflict(err); conflict != nil && conflict.Key == leaderKey(l.cell) {
		return &structs.FencedError{Cell: l.cell, Epoch: l.epoch}
	}
	return err
}

// release marks the leadership row as released. Heartbeats are no longer
// answered by then, so this leader renews no further lease. A candidate need
// not wait for Timing.TakeoverAfter, and the next leader need not wait for this
// leader's ride-out time. A failed release is only logged, because correctness
// does not depend on the release.
func (l *leader) release() error {
	l.stop()
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timing.CallTimeout)
	defer cancel()
	if err := l.commit(ctx, &leaderTxn{renewLeadership: true, releaseLeadership: true}); err != nil {
		l.options.Log.Info("leadership not released", zap.String("cell", string(l.cell)), zap.Error(err))
	}
	return nil
}

// holdsNoTasks reports whether the cell is known to hold no tasks. A leader that
// has not recovered the state has not changed it either.
func (l *leader) holdsNoTasks() bool {
	if !l.recovered {
		return l.wasEmpty
	}
	pending, assigned := l.state.Counts()
	return pending+assigned == 0
}

// foreignWorkDone reports whether the leader of a foreign cell has nothing left
// to do.
func (l *leader) foreignWorkDone() bool {
	if !l.foreign {
		return false
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	pending, assigned := l.state.Counts()
	return l.foreignWorkerReported || (l.domain.polled && pending+assigned == 0 && len(l.inbox) == 0)
}
