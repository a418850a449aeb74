package fleet

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/runtimes"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of a leader.
const (
	callQueueSize = 256 // calls that wait for the leader's loop
	leaderTick    = 100 * time.Millisecond
)

// commitStallAfter is how long a commit may take before new jobs are refused. A
// commit takes 1.2 s in a store that is a hundred times slower than usual.
const commitStallAfter = 1600 * time.Millisecond

// takeoverRequestAfter is how long commits may fail before the leader requests
// a takeover. It is longer than the slowest answers of a slow store.
const takeoverRequestAfter = 1800 * time.Millisecond

// takeoverRequestInterval is the time between two requests for a takeover.
const takeoverRequestInterval = time.Second

// leader is one leadership of this node. The goroutine of run owns all fields
// unless a comment says otherwise. Other goroutines use runInLoop.
type leader struct {
	o         Options
	epoch     int64
	metrics   *metrics
	log       *zap.Logger
	loopCalls chan loopMessage
	unread    atomic.Int64  // messages in loopCalls, and those whose senders wait for room in it
	done      chan struct{} // closed when run has returned

	config        ConfigSource
	committer     *committer
	commitResults chan commitResult

	row              leaderRow
	startedAt        bootclock.Time // when the leadership was acquired
	lastCommitSentAt bootclock.Time // when the last stored commit was sent
	committingJobs   []*job         // jobs in the commit in flight
	commitInFlight   bool
	// isStatementOutdated is set if a run has settled that the stored row names as unsettled, until
	// the next commit begins.
	isStatementOutdated bool
	commitBeganAt       bootclock.Time      // when the commit in flight, or the last one, started; the first one of a series of refused ones
	committingModels    []substrate.PartRow // rows of the models in the commit in flight
	batchLimit          int                 // number of jobs in the next commit, 0 for no limit, see narrowBatch
	stopFirstCommits    context.CancelFunc  // ends the commit that readState has begun, nil if the state was not read
	withdrawn           withdrawal

	jobs         map[structs.JobID]*job
	openJobs     []*job // jobs that are not finished, oldest first
	hasFinalJobs bool   // openJobs may contain finished jobs
	changedJobs  []*job // open jobs that are not settled, in the order of openJobs unless isUnordered is set
	isUnordered  bool
	addedJobs    int64  // jobs that were added by this leader
	dirtyJobs    []*job // jobs with changes that are not in the commit in flight
	finishedJobs []*job // finished jobs, oldest first
	jobMemory    int64  // estimated memory of the jobs, in bytes
	// memoryLoggedAt is when a refusal for want of memory was last logged, 0 before
	// the first.
	memoryLoggedAt bootclock.Time
	workers        map[structs.WorkerID]*worker
	workersByID    []*worker // see sortedWorkers
	sessionCount   int64
	earlierLeases  earlierLeases
	// horizon and nextHorizon are the horizons of all leases, by the last stored commit and by
	// the commit in flight, or the last one. ownHorizon and nextOwnHorizon are those of the
	// worker on this host, if they are shorter.
	horizon, nextHorizon       time.Duration
	ownHorizon, nextOwnHorizon time.Duration
	handover                   handover
	longLeases                 map[structs.WorkerID]bool // whose bounds in the commit in flight, or in the last one, are of addLongLeases
	nextWitnesses              witnessedLeases           // in the commit in flight, or in the last one
	witnessLimit               bootclock.Time            // see updateWitnessLimit
	takeoverRequestedAt        bootclock.Time            // when the other nodes were last asked to take over
	interference               *steps.Interference
	backlog                    *steps.Backlog
	lastViews                  []*steps.Worker    // workers after the last scheduling cycle, nil if no task was pending
	continuation               steps.Continuation // demands that the last scheduling cycle did not reach
	load                       loopLoad
	permits                    *permits
	runTimes                   runTimes

	writtenInterference   string         // interference model as last written
	interferenceCheckedAt bootclock.Time // when the interference model was last compared with writtenInterference

	stragglersCheckedAt bootclock.Time // when stragglers were last searched for
	copiesDueAt         bootclock.Time // when tasks to copy are searched for next
	movesDueAt          bootclock.Time // when filling runs to move are searched for next
	moving              map[structs.StepTaskID]movingRun
	waitingRecordedAt   bootclock.Time            // when the numbers of waiting jobs were last recorded
	waitingQueues       map[structs.QueueID]int64 // these numbers
	outagesReportedAt   bootclock.Time            // when the tasks that are not at work were last logged

	leaveOnce      sync.Once
	leaveRequested chan struct{} // closed when the process stops
}

func newLeader(o Options, m *metrics, row leaderRow) *leader {
	now := o.Clock()
	log := o.Log.With(zap.Int64("epoch", row.Epoch))
	horizon := o.Timing.LeaseHorizon
	return &leader{
		o: o, epoch: row.Epoch, metrics: m, log: log,
		loopCalls: make(chan loopMessage, callQueueSize), done: make(chan struct{}),
		committer:     &committer{store: o.Store, clock: o.Clock, log: log},
		commitResults: make(chan commitResult, 1),
		row:           row, startedAt: now, lastCommitSentAt: now,
		horizon: horizon, nextHorizon: horizon, ownHorizon: horizon, nextOwnHorizon: horizon, witnessLimit: never,
		jobs: map[structs.JobID]*job{}, workers: map[structs.WorkerID]*worker{},
		leaveRequested: make(chan struct{}),
		interference:   steps.NewInterference(),
		backlog:        steps.NewBacklog(),
		permits:        newPermits(),
		runTimes:       runTimes{model: runtimes.New()},
		moving:         map[structs.StepTaskID]movingRun{},
	}
}

// restoreState adds the jobs and the models from the store.
func (l *leader) restoreState(s storedState, leases earlierLeases) {
	now := l.o.Clock()
	l.interference.Restore(s.interference)
	l.restoreRunTimes(s.runTimes)
	for _, restored := range s.jobs {
		if err := l.contain("restore", func() { l.restoreJob(restored, now) }); err != nil {
			l.log.Error("job skipped: it cannot be restored", zap.String("job", string(restored.Spec.ID)), zap.Error(err))
			l.metrics.count(l.metrics.setAside, "restore")
		}
	}
	l.restoreLeases(leases)
}

// runInLoop runs f in the leader's loop and waits until it has returned. It
// returns false if the leadership or ctx ends first.
func (l *leader) runInLoop(ctx context.Context, f func()) bool { return l.callLoop(ctx, f) == callRan }

// callLoop runs f like runInLoop and returns what is known of the call.
func (l *leader) callLoop(ctx context.Context, f func()) loopCall {
	began := false
	ran := make(chan struct{})
	l.unread.Add(1) // before the message is sent, so that the loop never counts below 0
	select {
	case l.loopCalls <- loopMessage{handle: func() { began = true; f(); close(ran) }, sentAt: l.o.Clock()}:
	case <-l.done:
		l.unread.Add(-1)
		return callNotRun
	case <-ctx.Done():
		l.unread.Add(-1)
		return callNotRun
	}
	select {
	case <-ran:
		return callRan
	case <-l.done: // the loop has ended, so began does not change
		if !began {
			return callNotRun
		}
	}
	select {
	case <-ran:
		return callRan
	default:
		return callUnknown
	}
}

// requestLeave makes the loop request a takeover because the process stops.
func (l *leader) requestLeave() { l.leaveOnce.Do(func() { close(l.leaveRequested) }) }

// run leads until the leadership is lost or ctx ends. After a panic, the state in
// memory may be inconsistent: the leadership ends with *structs.PanicError, and
// the next leader reads the state from the store.
func (l *leader) run(ctx context.Context) (err error) {
	source, stop := l.o.Config()
	l.config = source
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.shutDown()
	defer recoverAs(&err, "leader's loop", l.log)
	tick := time.NewTicker(leaderTick)
	defer tick.Stop()
	leaving := l.leaveRequested
	for {
		select {
		case m := <-l.loopCalls:
			l.handleMessage(m)
			l.drainCalls()
		case result := <-l.commitResults:
			switch {
			case result.err != nil:
				return result.err
			case result.refused != nil:
				l.withdrawCommit(result)
			default:
				l.handleCommitted(result)
			}
		case <-l.withdrawn.retry:
			l.withdrawn.retry = nil
		case <-tick.C:
			l.runPeriodicChecks()
		case <-source.Changed():
			l.logConfig()
		case <-leaving:
			leaving = nil
			l.handover.begunAt = l.o.Clock()
		case <-ctx.Done():
			return ctx.Err()
		}
		l.flush(ctx)
	}
}

// drainCalls runs the waiting calls, as many as drainBudget allows, so that one
// commit contains their changes.
func (l *leader) drainCalls() {
	begun := l.o.Clock()
	for range callQueueSize {
		if l.o.Clock().Sub(begun) >= drainBudget {
			return
		}
		select {
		case m := <-l.loopCalls:
			l.handleMessage(m)
		default:
			return
		}
	}
}

// shutDown answers the submissions that no commit has contained, runs the onLost
// callbacks of all jobs and closes the sessions. Callers that see done find the
// answers.
func (l *leader) shutDown() {
	defer func() {
		close(l.done)
		if l.stopFirstCommits != nil {
			l.stopFirstCommits()
		}
		for _, w := range l.workers {
			w.closeSession()
		}
		l.metrics.recordLoad(0, 0, allWork)
	}()
	for _, j := range l.jobs {
		if j.refuse != nil && !j.acceptanceSent {
			j.refuse(fleetpb.Outcome_NOT_LEADER)
		}
		for _, fail := range append(j.committingOnLost, j.onLost...) {
			fail()
		}
	}
}

// markDirty marks a job as changed. It arranges for onStored to run once the
// change is stored, or for onLost if the leadership ends first. Both may be
// nil.
func (l *leader) markDirty(j *job, onStored, onLost func()) {
	if onStored != nil {
		j.onStored = append(j.onStored, onStored)
	}
	if onLost != nil {
		j.onLost = append(j.onLost, onLost)
	}
	l.updateBacklog(j)
	l.unsettle(j)
	l.hasFinalJobs = l.hasFinalJobs || j.Final()
	if !j.isDirty {
		j.isDirty = true
		l.dirtyJobs = append(l.dirtyJobs, j)
	}
	if j.Final() && j.finishedAt == 0 {
		j.finishedAt = l.o.Clock()
		l.finishedJobs = append(l.finishedJobs, j)
	}
}

// flush assigns pending tasks, starts a commit if one is due, and sends the
// collected orders.
func (l *leader) flush(ctx context.Context) {
	l.advanceHandover()
	if !l.commitInFlight && l.withdrawn.retry == nil && !l.awaitsTakeover() {
		l.schedule(ctx)
		if len(l.dirtyJobs) > 0 || l.withdrawn.count > 0 || l.isStatementDue() || l.o.Clock().Sub(l.commitBeganAt) >= l.o.Timing.CommitInterval {
			l.commit(ctx)
		}
	}
	for _, w := range l.sortedWorkers() {
		l.sendOrders(w)
	}
}

// isStatementDue reports whether a row is due since the statements about leases in the last one do
// not hold any more or may be better.
func (l *leader) isStatementDue() bool {
	return l.isStatementOutdated || l.hasReturnedWorkers() || (l.handover.isStated() && !l.handover.isSent)
}

// runPeriodicChecks runs the checks that depend on time.
func (l *leader) runPeriodicChecks() {
	now := l.o.Clock()
	l.recordLoad(now)
	if l.commitTakes(takeoverRequestAfter) && now.Sub(l.takeoverRequestedAt) > takeoverRequestInterval {
		l.requestTakeover("store does not answer")
	}
	if l.commitStalled() {
		l.refuseUncommittedJobs()
	}
	for _, w := range l.workers {
		l.checkWorker(w, now)
	}
	l.stopStragglers(now)
	l.markLateJobs(now)
	l.reportOutages(now)
	l.recordWaitingJobs(now)
}

// requestTakeover requests a takeover from all nodes that have a session. This
// node continues to lead until one of them has taken over.
func (l *leader) requestTakeover(reason string) {
	l.takeoverRequestedAt = l.o.Clock()
	l.log.Warn("asks for takeover", zap.String("reason", reason), zap.Duration("since_commit", l.o.Clock().Sub(l.lastCommitSentAt)))
	for _, w := range l.workers {
		w.outbox.takeoverRequested = w.session != nil
	}
}

func (l *leader) logConfig() {
	if c, age := l.config.Current(); c != nil {
		l.log.Info("configuration changed", zap.Int64("version", c.Version), zap.Int("drained_domains", len(c.Drained)), zap.Duration("age", age))
	}
}
