package fleet

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// Bounds of a leader.
const (
	maxRowsPerCommit  = 90      // of the 100 entries that a transaction of the platform holds
	maxBytesPerCommit = 600_000 // before base64; a transaction holds 1 MB
	callQueue         = 256     // calls that wait for the leader's loop
	leaderTick        = 100 * time.Millisecond
)

// stallAfter is how long a commit may take before new jobs are refused; a store
// that is a hundred times slower than usual takes 1.2 s.
const stallAfter = 1600 * time.Millisecond

// troubleAfter is how long commits may fail before the leader asks the other
// nodes to take over; it is above the slowest answers of a slow store.
const troubleAfter = 1800 * time.Millisecond

// askAgain is the time between two requests to be replaced.
const askAgain = time.Second

// leader is one leadership. A single goroutine, run, owns all fields but those
// named otherwise; everything else reaches it through do.
type leader struct {
	o       Options
	epoch   int64
	metrics *metrics
	log     *zap.Logger
	calls   chan func()
	done    chan struct{} // closed when run has returned

	config    ConfigSource
	committer *committer
	results   chan commitResult

	row       leaderRow
	since     bootclock.Time // start of the leadership
	confirmed bootclock.Time // sending of the last commit that is known to be applied
	committed []*job         // jobs of the commit in flight
	inFlight  bool
	began     bootclock.Time // start of the commit in flight

	jobs         map[structs.JobID]*job
	order        []*job // jobs that are not over, oldest first
	dirty        []*job // jobs with changes that are not being committed
	over         []*job // jobs that are over, oldest first
	workers      map[structs.WorkerID]*worker
	sessions     int64
	steppedAt    bootclock.Time // when the other nodes were last asked to take over
	interference *steps.Interference
	permits      *permits

	learned   string         // what was learned, as it was last written
	learnedAt bootclock.Time // when that was looked at

	comparedAt bootclock.Time // when the runs of each step were last compared

	leaveOnce sync.Once
	leaving   chan struct{} // closed when the process stops
}

// job is a job with what only this leader needs to know.
type job struct {
	*workflow.Job
	stored     bool   // the accepted record is in the store
	sent       bool   // a commit has carried the accepted record, and may be applied
	refuse     func() // answers that the job was not accepted; nil for jobs of leaders before
	isDirty    bool
	shown      structs.JobPhase // phase that is in the store
	writing    structs.JobPhase // phase of the commit in flight
	effects    []func()         // to be done once the current state is stored
	failures   []func()         // to be done instead when the leadership is lost first
	waiting    []func()         // effects of the commit in flight
	lost       []func()         // failures of the commit in flight
	overAt     bootclock.Time
	failedOn   map[structs.StepTaskID][]structs.WorkerID
	acceptedAt bootclock.Time // or taken over
	chain      time.Duration  // longest chain of declared run times
	placedAt   bootclock.Time // last assignment, or acceptance
}

func newLeader(o Options, m *metrics, row leaderRow) *leader {
	now := o.Clock()
	log := o.Log.With(zap.Int64("epoch", row.Epoch))
	return &leader{
		o: o, epoch: row.Epoch, metrics: m, log: log,
		calls: make(chan func(), callQueue), done: make(chan struct{}),
		committer: &committer{store: o.Store, clock: o.Clock, log: log},
		results:   make(chan commitResult, 1),
		row:       row, since: now, confirmed: now,
		jobs: map[structs.JobID]*job{}, workers: map[structs.WorkerID]*worker{},
		leaving:      make(chan struct{}),
		interference: steps.NewInterference(),
		permits:      newPermits(),
	}
}

// adopt takes over the jobs that were in the store. Seen is when the last commit
// of the leader before was known.
func (l *leader) adopt(s stored, seen bootclock.Time) {
	now := l.o.Clock()
	l.interference.Adopt(s.learned)
	for _, w := range s.jobs {
		j := &job{Job: w, stored: true, shown: w.Phase()}
		l.add(j)
		if j.Over() {
			j.overAt = now
			l.over = append(l.over, j)
		}
		w.Tasks(func(id structs.StepTaskID, t *workflow.Task) {
			if t.State == workflow.Assigned {
				l.worker(t.Worker).assign(structs.TaskRun{Task: id, Number: t.Run}, t.Incarnation, j).stored = true
			}
		})
	}
	// Whatever lease an earlier leader gave, it ends within the horizon of its
	// last commit.
	for _, w := range l.workers {
		w.leased = seen.Add(l.o.Timing.Horizon)
	}
}

func (l *leader) add(j *job) {
	j.acceptedAt = l.o.Clock()
	j.placedAt = j.acceptedAt
	j.chain = j.Chain()
	j.failedOn = map[structs.StepTaskID][]structs.WorkerID{}
	l.jobs[j.Spec.ID] = j
	if !j.Over() {
		l.order = append(l.order, j)
	}
}

// do runs f in the leader's loop and waits for it. It reports false when the
// leadership has ended.
func (l *leader) do(ctx context.Context, f func()) bool {
	ran := make(chan struct{})
	select {
	case l.calls <- func() { f(); close(ran) }:
	case <-l.done:
		return false
	case <-ctx.Done():
		return false
	}
	select {
	case <-ran:
		return true
	case <-l.done:
		return false
	}
}

// leave asks the other nodes to take over, since the process stops.
func (l *leader) leave() { l.leaveOnce.Do(func() { close(l.leaving) }) }

// run leads until the leadership is lost or ctx ends.
func (l *leader) run(ctx context.Context) error {
	source, stop := l.o.Config()
	l.config = source
	defer stop()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	defer l.end()
	tick := time.NewTicker(leaderTick)
	defer tick.Stop()
	leaving := l.leaving
	for {
		select {
		case call := <-l.calls:
			call()
			l.drainCalls()
		case result := <-l.results:
			if result.err != nil {
				return result.err
			}
			l.stored(result)
		case <-tick.C:
			l.watch()
		case <-source.Changed():
			l.configChanged()
		case <-leaving:
			leaving = nil
			l.stepDown("process stops")
		case <-ctx.Done():
			return ctx.Err()
		}
		l.flush(ctx)
	}
}

// drainCalls runs the calls that wait, so that one commit takes them all.
func (l *leader) drainCalls() {
	for range callQueue {
		select {
		case call := <-l.calls:
			call()
		default:
			return
		}
	}
}

// end lets go of everything that waits for the leadership.
func (l *leader) end() {
	close(l.done)
	for _, j := range l.jobs {
		for _, fail := range append(j.lost, j.failures...) {
			fail()
		}
	}
	for _, w := range l.workers {
		w.detach()
	}
}

// touch marks a job as changed. Effects run once the change is stored; fail
// runs instead if the leadership ends first and may be nil.
func (l *leader) touch(j *job, effect, fail func()) {
	if effect != nil {
		j.effects = append(j.effects, effect)
	}
	if fail != nil {
		j.failures = append(j.failures, fail)
	}
	if !j.isDirty {
		j.isDirty = true
		l.dirty = append(l.dirty, j)
	}
	if j.Over() && j.overAt == 0 {
		j.overAt = l.o.Clock()
		l.over = append(l.over, j)
	}
}

// flush plans, commits what has changed and sends the orders that are due.
func (l *leader) flush(ctx context.Context) {
	if !l.inFlight {
		l.schedule(ctx)
		if len(l.dirty) > 0 || l.o.Clock().Sub(l.began) >= l.o.Timing.Renew {
			l.commit(ctx)
		}
	}
	for _, w := range l.workers {
		l.sendOrders(w)
	}
}

// commit starts writing the changed jobs, as many as one transaction takes.
func (l *leader) commit(ctx context.Context) {
	var puts, removes []substrate.PartRow
	size := 0
	for len(l.dirty) > 0 && len(puts)+2 <= maxRowsPerCommit && size < maxBytesPerCommit {
		j := l.dirty[0]
		l.dirty = l.dirty[1:]
		j.isDirty = false
		rows, err := jobRows(j)
		if err != nil {
			l.log.Error("job not stored: it cannot be encoded", zap.String("job", string(j.Spec.ID)), zap.Error(err))
			continue
		}
		for _, row := range rows {
			size += len(row.Value)
		}
		puts = append(puts, rows...)
		j.writing, j.sent = j.Phase(), true
		j.waiting, j.effects = j.effects, nil
		j.lost, j.failures = j.failures, nil
		l.committed = append(l.committed, j)
	}
	puts = append(puts, l.learnedRow()...)
	removes = l.expired(maxRowsPerCommit - len(puts))
	next := leadership{Address: l.o.Address, Epoch: l.epoch, Commit: l.row.Commit + 1}
	l.inFlight = true
	l.began = l.o.Clock()
	seen := l.row
	go func() { l.results <- l.committer.run(ctx, seen, next, puts, removes) }()
}

// learnedEvery is the least time between two writes of what was learned.
const learnedEvery = 3 * time.Second

// learnedRow returns the row of what was learned, if it is due and has changed.
func (l *leader) learnedRow() []substrate.PartRow {
	now := l.o.Clock()
	if now.Sub(l.learnedAt) < learnedEvery {
		return nil
	}
	l.learnedAt = now
	value, err := json.Marshal(l.interference.Pairs())
	if err != nil {
		l.log.Error("what was learned is not stored: it cannot be encoded", zap.Error(err))
		return nil
	}
	if string(value) == l.learned {
		return nil
	}
	l.learned = string(value)
	return []substrate.PartRow{{Table: tableModel, Part: fleetPart, Key: modelKey, Value: value}}
}

// jobRows returns the rows of a changed job.
func jobRows(j *job) ([]substrate.PartRow, error) {
	var rows []substrate.PartRow
	if !j.stored {
		value, err := j.EncodeAccepted()
		if err != nil {
			return nil, err
		}
		rows = append(rows, substrate.PartRow{Table: tableJobs, Part: fleetPart, Key: string(j.Spec.ID), Value: value})
	}
	value, err := j.EncodeProgress()
	if err != nil {
		return nil, err
	}
	return append(rows, substrate.PartRow{Table: tableState, Part: fleetPart, Key: string(j.Spec.ID), Value: value}), nil
}

// expired forgets jobs that have been over for long and returns their rows.
func (l *leader) expired(most int) []substrate.PartRow {
	var rows []substrate.PartRow
	now := l.o.Clock()
	for len(l.over) > 0 && len(rows)+2 <= most {
		j := l.over[0]
		if now.Sub(j.overAt) < l.o.Timing.Retention || j.isDirty {
			break
		}
		l.over = l.over[1:]
		delete(l.jobs, j.Spec.ID)
		for _, table := range []string{tableState, tableJobs} {
			rows = append(rows, substrate.PartRow{Table: table, Part: fleetPart, Key: string(j.Spec.ID)})
		}
	}
	return rows
}

// stored takes note of a commit and does what waited for it.
func (l *leader) stored(result commitResult) {
	l.inFlight = false
	l.row = result.row
	l.confirmed = result.sent
	l.metrics.commit(result.took, len(l.committed))
	done := l.committed
	l.committed = nil
	for _, j := range done {
		j.stored = true
		l.show(j)
		effects := j.waiting
		j.waiting, j.lost = nil, nil
		for _, effect := range effects {
			effect()
		}
	}
}

// show makes the stored phase of a job known.
func (l *leader) show(j *job) {
	if j.shown != j.writing {
		l.log.Info("phase", zap.String("job", string(j.Spec.ID)), zap.String("queue", string(j.Spec.Queue)),
			zap.String("from", string(j.shown)), zap.String("to", string(j.writing)))
	}
	j.shown = j.writing
}

// watch does what is due by time alone.
func (l *leader) watch() {
	now := l.o.Clock()
	if l.inFlight && now.Sub(l.began) > troubleAfter && now.Sub(l.steppedAt) > askAgain {
		l.stepDown("store does not answer")
	}
	if l.stalled() {
		l.refuseUnsent()
	}
	for _, w := range l.workers {
		l.watchWorker(w, now)
	}
	l.watchStragglers(now)
}

// stepDown asks the attending nodes to take over. The leader goes on until one
// of them has.
func (l *leader) stepDown(reason string) {
	l.steppedAt = l.o.Clock()
	l.log.Warn("asks for takeover", zap.String("reason", reason), zap.Duration("since_commit", l.o.Clock().Sub(l.confirmed)))
	for _, w := range l.workers {
		w.outbox.takeOver = w.session != nil
	}
}

func (l *leader) configChanged() {
	if c, age := l.config.Current(); c != nil {
		l.log.Info("configuration", zap.Int64("version", c.Version), zap.Int("drained_domains", len(c.Drained)), zap.Duration("age", age))
	}
}

// queue returns the queue of a job, as configured now if it still is.
func (l *leader) queue(j *job) structs.Queue {
	if c, _ := l.config.Current(); c != nil {
		if q, found := c.Queues[j.Spec.Queue]; found {
			return q
		}
	}
	return j.Queue
}
