package fleet

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// worker is what the leader knows of one worker.
type worker struct {
	id      structs.WorkerID
	session *session // nil while no agent attends for it

	incarnation string
	runner      string // its ID
	domain      structs.FailureDomainID
	rack        string
	pool        structs.PoolID
	labels      []string
	capacity    structs.Resources

	ready      bool // a complete list has come in this session
	draining   bool
	remaining  time.Duration
	attachedAt bootclock.Time // begin of the session
	reportedAt bootclock.Time // last report
	listedAt   bootclock.Time // last complete list
	leased     bootclock.Time // no lease of this worker ends later, on a clock of the right rate
	echo       int64          // sent_at of the last report with a complete list
	lapsed     bool           // the lease is over and the runs were released

	runs   map[structs.TaskRun]*run
	ends   []*endRecord // of this session, not yet acknowledged, in order
	seen   int64        // number of the last end that was read in this session
	acked  int64        // ends up to this one are stored
	outbox outbox
	record record

	learnedAt bootclock.Time // when the worker's readings were last learned from
	paces     []paceSample   // of its filling tasks in the last reading window
	suspects  []structs.TaskRun
}

// run is an assigned run of a worker.
type run struct {
	run         structs.TaskRun
	incarnation string
	job         *job
	stored      bool  // the assignment is in the store; before, the run must not start
	ordered     int64 // number of the orders that carried the start, 0 before
	stopping    string
	stoppedAt   bootclock.Time // when the stop was last sent
	startedAt   bootclock.Time // when it was first listed, 0 before
	startedWith int32          // percent when it was first listed
	paced       bool           // it was slowed down at some time
	percent     int32
	progressAt  bootclock.Time // last change of percent
	figure      int64
	checkpoint  string
	pace        int32
}

// endRecord is an end that was read and may not be stored yet.
type endRecord struct {
	number int64
	stored bool
}

func (l *leader) worker(id structs.WorkerID) *worker {
	w, found := l.workers[id]
	if !found {
		w = &worker{id: id, runs: map[structs.TaskRun]*run{}}
		l.workers[id] = w
	}
	return w
}

func (w *worker) assign(r structs.TaskRun, incarnation string, j *job) *run {
	added := &run{run: r, incarnation: incarnation, job: j}
	w.runs[r] = added
	return added
}

func (w *worker) detach() {
	if w.session != nil {
		w.session.close()
		w.session = nil
	}
	w.ready = false
}

// attach makes the session the worker's current one. Runs of an earlier
// incarnation of the runner are over, but for one whose start reached the next
// incarnation: runners may keep their ID. The first list tells.
func (l *leader) attach(s *session, hello *fleetpb.Hello) *worker {
	w := l.worker(structs.WorkerID(hello.GetWorker()))
	if w.session != nil {
		w.session.close()
	}
	l.sessions++
	s.fence = fenceOf(l.epoch, l.sessions)
	s.worker = w
	w.session = s
	w.ready, w.lapsed = false, false
	w.seen, w.acked, w.ends = 0, 0, nil
	w.outbox = outbox{reply: true}
	w.draining = false
	w.reportedAt = l.o.Clock()
	w.attachedAt = w.reportedAt
	w.domain = structs.FailureDomainID(hello.GetFailureDomain())
	w.runner = hello.GetRunner()
	w.rack, w.pool, w.labels = hello.GetRack(), structs.PoolID(hello.GetPool()), hello.GetLabels()
	w.capacity = structs.Resources{MilliCPU: hello.GetMilliCpu(), MemoryMB: hello.GetMemoryMb(), Accelerators: hello.GetAccelerators()}
	if w.incarnation != hello.GetIncarnation() {
		w.record = record{}
	}
	w.incarnation = hello.GetIncarnation()
	l.log.Info("worker attends", zap.String("worker", string(w.id)), zap.String("incarnation", w.incarnation),
		zap.Int64("fence", s.fence), zap.Int("assigned", len(w.runs)))
	for _, r := range w.sortedRuns() {
		switch {
		case r.incarnation == hello.GetGone():
			l.release(w, r, "runner gone", "")
			continue
		case w.incarnation == "":
			continue
		case r.incarnation != w.incarnation && !r.stored:
			l.release(w, r, "runner restarted", "")
			continue
		}
		step := r.job.Step(r.run.Task)
		w.outbox.known = append(w.outbox.known, &fleetpb.Known{
			Run: runToProto(r.run), Fills: step.Fills, LatencyTargetMs: step.LatencyTarget.Milliseconds(),
		})
	}
	return w
}

// sessionBits is the number of low bits of a fencing token that number the
// sessions of one leader.
const sessionBits = 20

// fenceOf returns the fencing token of a session: above those of all earlier
// leaders, and of earlier sessions of this one.
func fenceOf(epoch, session int64) int64 { return epoch<<sessionBits | session }

// detached takes note that a session has ended.
func (l *leader) detached(s *session, err error) {
	w := s.worker
	if w == nil || w.session != s {
		return
	}
	l.log.Info("worker left", zap.String("worker", string(w.id)), zap.Duration("since_report", l.o.Clock().Sub(w.reportedAt)),
		zap.Duration("lease_left", w.leased.Sub(l.o.Clock())), zap.Int("assigned", len(w.runs)), zap.Error(err))
	w.detach()
}

// usable reports whether the worker may get new tasks.
func (l *leader) usable(w *worker, now bootclock.Time) bool {
	return w.session != nil && w.ready && !w.draining && w.incarnation != "" &&
		now.Sub(w.listedAt) < l.o.Timing.Silence && l.leaseFor(now) > 0
}

// leaseFor returns how long a lease that is given now may last.
func (l *leader) leaseFor(now bootclock.Time) time.Duration {
	return max(0, min(l.o.Timing.Lease, l.confirmed.Add(l.o.Timing.Horizon).Sub(now)))
}

// watchWorker releases the runs of a worker whose lease has surely lapsed.
func (l *leader) watchWorker(w *worker, now bootclock.Time) {
	for _, r := range w.sortedRuns() {
		if r.stopping != "" && now.Sub(r.stoppedAt) > stopRepeat && w.ready {
			l.sendStop(w, r, now)
		}
	}
	l.watchProgress(w, now)
	if w.session != nil && now.Sub(w.reportedAt) > l.o.Timing.Silence*2 {
		l.detached(w.session, &structs.UnavailableError{Dependency: "agent"})
	}
	if w.session != nil && !w.ready && now.Sub(w.attachedAt) < listWait {
		return // its list may tell how the runs ended
	}
	if w.lapsed || len(w.runs) == 0 || now < w.leased.Add(l.o.Timing.slack()) {
		return
	}
	w.lapsed = true
	l.log.Warn("lease lapsed", zap.String("worker", string(w.id)), zap.Bool("listed", w.listedAt > 0), zap.Duration("since_lease", now.Sub(w.leased)),
		zap.Int("runs", len(w.runs)), zap.Bool("attends", w.session != nil))
	for _, r := range w.sortedRuns() {
		l.release(w, r, "lease lapsed", "")
	}
	w.detach()
}

// listWait is how long the first list of a session is waited for before the
// runs of a worker whose lease is over are released.
const listWait = 1500 * time.Millisecond

// stopRepeat is the time after which a stop that had no effect is sent again.
const stopRepeat = 500 * time.Millisecond

// stop asks the worker to end a run. The run is over when its end is listed.
func (l *leader) stop(w *worker, r *run, reason string) {
	if r.stopping != "" {
		return
	}
	r.stopping = reason
	l.log.Info("stop", zap.Stringer("run", r.run), zap.String("worker", string(w.id)), zap.String("reason", reason), zap.Int32("percent", r.percent))
	l.sendStop(w, r, l.o.Clock())
}

func (l *leader) sendStop(w *worker, r *run, now bootclock.Time) {
	r.stoppedAt = now
	if r.incarnation == w.incarnation && w.session != nil {
		w.outbox.stops = append(w.outbox.stops, r.run)
	}
}

// release takes a run off a worker that surely no longer has it.
func (l *leader) release(w *worker, r *run, reason, checkpoint string) {
	delete(w.runs, r.run)
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	changed := r.job.Release(r.run, checkpoint)
	l.log.Info("released", zap.Stringer("run", r.run), zap.String("worker", string(w.id)), zap.String("reason", reason),
		zap.String("checkpoint", checkpoint), zap.Int32("percent", r.percent), zap.Bool("current", changed))
	if changed {
		l.metrics.count(l.metrics.released, reason)
		l.touch(r.job, nil, nil)
		l.stopGang(r.job, r.run)
	}
}

// stopGang stops what is left of a gang's run of which a member is over, unless
// the gang is done. The next run begins when all of it has ended.
func (l *leader) stopGang(j *job, over structs.TaskRun) {
	if !j.Step(over.Task).Gang || j.Task(over.Task).State == workflow.Done {
		return
	}
	for _, w := range l.workers {
		for _, r := range w.sortedRuns() {
			t := r.run.Task
			if r.job == j && t.Round == over.Task.Round && t.Step == over.Task.Step && r.run.Number == over.Number {
				l.stop(w, r, "member of its gang ended")
			}
		}
	}
}

// acknowledge moves the number up to which ends are stored.
func (w *worker) acknowledge() {
	for len(w.ends) > 0 && w.ends[0].stored {
		w.acked = w.ends[0].number
		w.ends = w.ends[1:]
		w.outbox.acked = true
	}
}

func (w *worker) sortedRuns() []*run {
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.run, b.run) })
	return list
}

func compareRuns(a, b structs.TaskRun) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}

// runToProto and runFromProto translate a run.
func runToProto(r structs.TaskRun) *fleetpb.Run {
	return &fleetpb.Run{Job: string(r.Task.Job), Round: r.Task.Round, Step: r.Task.Step, Index: r.Task.Index, Number: r.Number}
}

func runFromProto(r *fleetpb.Run) structs.TaskRun {
	id := structs.StepTaskID{Job: structs.JobID(r.GetJob()), Round: r.GetRound(), Step: r.GetStep(), Index: r.GetIndex()}
	return structs.TaskRun{Task: id, Number: r.GetNumber()}
}
