package fleet

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// worker is the leader's state of one worker.
type worker struct {
	id      structs.WorkerID
	session *session // nil while no agent has a session for the worker

	incarnation string
	runner      string // ID of the runner
	domain      structs.FailureDomainID
	rack        string
	pool        structs.PoolID
	labels      []string
	capacity    structs.Resources
	// unassigned are the resources of the runs in the last list that are not
	// assigned to the worker. They are being stopped.
	unassigned structs.Resources
	// unassignedSteps holds the number of these runs by step, nil if there are none.
	unassignedSteps map[structs.StepID]int32
	// overcommittedSince is since when the capacity is below what the runs
	// reserve, 0 if it is not.
	overcommittedSince bootclock.Time

	listed         bool // a list of runs was received in this session
	ready          bool // a list of runs was received in this session that had all ends
	draining       bool
	agentStops     bool // the agent's process is about to stop
	drainRemaining time.Duration
	attachedAt     bootclock.Time // start of the session
	detachedAt     bootclock.Time // end of the last session with this leader, 0 before the first
	called         calledRunners  // in sessions with this leader
	// othersCalledUntil is the latest time at which another incarnation may have been called
	// under the ID of the runner, by what this leader and the agent know. It is 0 before the
	// first session.
	othersCalledUntil bootclock.Time
	listedIncarnation string         // last incarnation that has listed its runs to this leader
	reportedAt        bootclock.Time // time of the last report
	listedAt          bootclock.Time // time of the last list
	leaseEndsAt       bootclock.Time // latest end of any lease of the worker, without an allowance for clock drift
	grantedEndsAt     bootclock.Time // the same of the leases that this leader has granted
	extendedEndsAt    bootclock.Time // the same of a lease by a call for an earlier incarnation, see extendToMaxLease
	// boundEndsAt is the end of the worker's leases that the row of an earlier leader
	// states, 0 without such a bound. Until a row without the bound is stored, no lease
	// may end later.
	boundEndsAt bootclock.Time
	// earlierBoundEndsAt is boundEndsAt as restored from the row. It stays when the worker returns.
	earlierBoundEndsAt bootclock.Time
	// handoverEndsAt is the end of the leases of the settled runs that an earlier leader has
	// stated for all workers at its handover, 0 without one.
	handoverEndsAt bootclock.Time
	// witnessedEndsAt is the same as the witnesses of the earlier leader have shown, 0 until then.
	witnessedEndsAt bootclock.Time
	witnessedAt     bootclock.Time // since when the agent has attended this leader, 0 until it has confirmed orders
	confirmedAt     bootclock.Time // when the last orders were sent that the agent is known to have received
	runStartedAt    bootclock.Time // when a run was last listed for the first time
	listSentAt      int64          // sent_at of the last report with a list
	leaseLapsed     bool           // the lease has lapsed and the runs were released
	withheld        withheldEnds
	// isLeaseLimitedByList is set while leaseEndsAt is that of limitEarlierLease.
	isLeaseLimitedByList bool
	isLeaseWaitReported  bool // see reportLeaseWait

	runs            map[structs.RunID]*run
	sorted          []*run      // runs by ID, nil after a change of runs
	summary         *runSummary // nil after a change, see runsChanged
	heldBackEnds    heldBackEnds
	ends            []*endRecord     // ends of this session that are not acknowledged, in order of their numbers
	lastEndReceived int64            // number of the last end received in this session
	acknowledgedEnd int64            // highest number of an end that is stored along with all lower ones
	gone            *goneIncarnation // in the last hello, nil before the first
	outbox          outbox
	health          workerHealth
	crash           crash // last crash of the runner, zero before the first
	earlierCrash    crash // crash before the last one

	speedTrials           speedTrials
	speed                 float64        // speed relative to other workers by the model of run times, 1 if not known
	latencyRatio          float64        // highest ratio of a service's latency to its target in the last list, 0 without services
	assignedAt            bootclock.Time // last assignment of a task
	trialAt               bootclock.Time // last assignment of an isolated task
	fillAssignedAt        bootclock.Time // last assignment of a filling task
	interferenceUpdatedAt bootclock.Time // last update of the interference model from this worker
	paceSamples           []paceSample   // pace of the filling tasks in the last reading window
	hasLongThrottled      bool           // a filling run has been throttled for so long that it may be moved
	isFillThrottled       bool           // a filling run that is known not to interfere is throttled
	// suspects are the filling runs that probably interfere with a service of
	// the worker.
	suspects []structs.RunID
	// unproven are the filling runs of which it is not known whether they
	// interfere with a service of the worker.
	unproven []structs.RunID
	// probedSince holds when the worker first ran each filling image that is
	// unproven there.
	probedSince map[string]bootclock.Time
}

// run is a run that is assigned to a worker.
type run struct {
	id                structs.RunID
	incarnation       string
	job               *job
	worker            *worker
	jobIndex          int            // index in job.runs
	assignedAt        bootclock.Time // 0 for a run that an earlier leader assigned
	startedForIdleJob bool           // its job had been idle, so that it may disturb services
	stored            bool           // the assignment is stored, which is required before the run starts
	startOrderNumber  int64          // number of the orders that contain the start, 0 if no start was ordered
	startOrderedAt    bootclock.Time // when these orders were sent, 0 until then
	startFence        int64          // fencing token of the session of these orders
	isStartAnswered   bool           // the agent has said that the runner has answered all calls to start it
	// stopReason is empty unless the run was ordered to stop.
	stopReason string
	stoppedAt  bootclock.Time // when the stop was first ordered
	stopSentAt bootclock.Time // when the stop was last ordered
	startedAt  bootclock.Time // when the run was first listed, 0 until then
	begunBy    bootclock.Time // latest time at which its last start was sent, by its agent; 0 until it is listed
	// endAwaitedSince is since when the run is missing from lists that lacked ends, 0 if
	// it is not. It has probably ended.
	endAwaitedSince bootclock.Time
	ratedSince      bootclock.Time // startedAt, later by the time in which the worker was silent
	initialPercent  int32          // progress when the run was first listed
	wasThrottled    bool           // its pace was reduced at least once
	percent         int32          // share of the work done, in percent
	progressAt      bootclock.Time // last change of percent or checkpoint
	workingSince    bootclock.Time // when the run was first listed at work, for a long-running task; 0 until then
	// reading is the latency in milliseconds of a task with a latency target,
	// else the thousandths of a processor in use.
	reading    int64
	checkpoint string
	pace       int32 // percentage of full pace at which it may run
	// paceHistory is how a filling run was throttled, up to paceObservedAt.
	paceHistory    steps.PaceHistory
	paceObservedAt bootclock.Time
	isProbe        bool // it is a filling run among the worker's suspects or unproven runs
}

// endRecord is a received end of a run that may not be stored yet.
type endRecord struct {
	number int64
	stored bool
}

func (l *leader) workerByID(id structs.WorkerID) *worker {
	w, found := l.workers[id]
	if !found {
		w = &worker{id: id, runs: map[structs.RunID]*run{}, speed: l.runTimes.model.Speed(id)}
		l.workers[id] = w
	}
	return w
}

func (w *worker) assign(r structs.RunID, incarnation string, j *job) *run {
	w.removeRun(r)
	added := &run{id: r, incarnation: incarnation, job: j, worker: w, jobIndex: len(j.runs)}
	w.runs[r], w.sorted = added, nil
	w.runsChanged()
	j.runs = append(j.runs, added)
	return added
}

// removeRun removes a run from the worker and from its job, if the worker has it.
func (w *worker) removeRun(id structs.RunID) {
	r, found := w.runs[id]
	if !found {
		return
	}
	delete(w.runs, id)
	w.sorted = nil
	w.runsChanged()
	list := r.job.runs
	last := list[len(list)-1]
	list[r.jobIndex], last.jobIndex = last, r.jobIndex
	list[len(list)-1] = nil
	r.job.runs = list[:len(list)-1]
}

// sortedRuns returns the runs of the job on all workers. The caller may stop and
// release runs while it goes through them.
func (j *job) sortedRuns() []*run {
	list := make([]*run, 0, len(j.runs))
	for _, r := range j.runs {
		if r.worker.runs[r.id] == r {
			list = append(list, r)
		}
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	return list
}

func (w *worker) closeSession() {
	if w.session != nil {
		w.session.close()
		w.session = nil
	}
	w.listed, w.ready = false, false
}

// attachSession makes the session the worker's current one. It releases the
// runs of an incarnation that is gone. A runner may keep its ID when it
// restarts, and a start for the old incarnation may have reached the new one.
// The first list of the session shows whether a stored run of an older
// incarnation continues.
func (l *leader) attachSession(s *session, hello *fleetpb.Hello) *worker {
	w := l.workerByID(structs.WorkerID(hello.GetWorker()))
	if w.session != nil {
		w.session.close()
	}
	l.sessionCount++
	s.fencingToken = fencingTokenOf(l.epoch, l.sessionCount)
	s.worker = w
	w.session = s
	w.listed, w.ready, w.leaseLapsed = false, false, false
	w.lastEndReceived, w.acknowledgedEnd, w.ends, w.heldBackEnds = 0, 0, nil, heldBackEnds{}
	w.outbox = outbox{replyDue: true}
	w.draining, w.agentStops = false, false
	w.reportedAt = l.o.Clock()
	w.attachedAt = w.reportedAt
	w.domain = structs.FailureDomainID(hello.GetFailureDomain())
	w.runner = hello.GetRunner()
	w.describe(hello)
	if w.incarnation != hello.GetIncarnation() {
		l.logQuarantineEnd(w, "new incarnation")
		w.health = workerHealth{}
	}
	w.incarnation = hello.GetIncarnation()
	w.withheld.keepOnly(w.incarnation)
	l.recordCalledRunner(w, hello)
	l.recordCrash(w, hello.GetCrash())
	l.log.Info("worker attends", zap.String("worker", string(w.id)), zap.String("incarnation", w.incarnation),
		zap.Int64("fence", s.fencingToken), zap.Int("assigned", len(w.runs)))
	var gone []*run
	for _, r := range w.sortedRuns() {
		switch {
		case r.incarnation == hello.GetGone():
			gone = append(gone, r)
			continue
		case w.incarnation == "":
			continue
		case r.incarnation != w.incarnation && !r.stored:
			l.release(w, r, "runner restarted", "")
			continue
		}
		step := r.job.Step(r.id.Task)
		w.outbox.knownRuns = append(w.outbox.knownRuns, &fleetpb.Known{
			Run: runToProto(r.id), Fills: step.Fills, LatencyTargetMs: step.LatencyTarget.Milliseconds(),
		})
	}
	l.releaseEnded(w, gone, "runner gone")
	l.acknowledgeGone(w, hello.GetGone(), gone)
	return w
}

// recordCalledRunner records which incarnation the agent calls in the session that begins. An
// agent calls runners only in sessions, and attends one leader after the other. Before the first
// leader of the fleet, none was called.
func (l *leader) recordCalledRunner(w *worker, hello *fleetpb.Hello) {
	if w.called.since == 0 {
		w.called.since = w.attachedAt
		if l.epoch == 1 {
			w.called.since = w.attachedAt.Add(-l.o.Timing.settledIncarnationAge())
		}
	}
	w.othersCalledUntil = 0
	if w.incarnation == "" {
		return
	}
	w.called.record(w.runner, w.incarnation, w.attachedAt, l.o.Timing.settledIncarnationAge())
	w.othersCalledUntil = w.called.othersCalledUntil(w.runner, w.incarnation, w.attachedAt)
	if age := hello.GetIncarnationAgeMs(); age > 0 {
		w.othersCalledUntil = min(w.othersCalledUntil, w.attachedAt.Add(-time.Duration(age)*time.Millisecond))
	}
}

// sessionBits is the number of low bits of a fencing token that hold the
// session number.
const sessionBits = 20

// fencingTokenOf returns the fencing token of a session. It is higher than the
// tokens of all earlier leaders and of earlier sessions of the same leader.
func fencingTokenOf(epoch, session int64) int64 { return epoch<<sessionBits | session }

// detachSession records that a session has ended.
func (l *leader) detachSession(s *session, err error) {
	w := s.worker
	if w == nil || w.session != s {
		return
	}
	l.log.Info("worker left", zap.String("worker", string(w.id)), zap.Duration("since_report", l.o.Clock().Sub(w.reportedAt)),
		zap.Duration("lease_left", w.leaseEndsAt.Sub(l.o.Clock())), zap.Int("assigned", len(w.runs)), zap.Error(err))
	w.closeSession()
	w.detachedAt = l.o.Clock()
}

// usable reports whether the worker may get new tasks.
func (l *leader) usable(w *worker, now bootclock.Time) bool { return l.unusableReason(w, now) == "" }

// unusableReason returns why the worker may not get new tasks, an empty text if
// it may.
func (l *leader) unusableReason(w *worker, now bootclock.Time) string {
	switch {
	case w.session == nil:
		return "no session"
	case !w.ready:
		return "no list yet"
	case w.incarnation == "":
		return "no runner"
	case w.draining:
		return "draining"
	case w.agentStops, l.isOwnHostLeaving(w):
		return "agent stops"
	case now.Sub(w.listedAt) >= l.o.Timing.SessionTimeout:
		return "list too old"
	case l.leaseDuration(w, now) <= 0:
		return "no lease"
	default:
		return ""
	}
}

// checkWorker repeats stops without effect, detects dead sessions and runs that
// are stuck or do not start, and releases the runs of the worker once its lease
// has lapsed.
func (l *leader) checkWorker(w *worker, now bootclock.Time) {
	runs := w.sortedRuns()
	for _, r := range runs {
		if r.stopReason != "" && now.Sub(r.stopSentAt) > stopRepeatInterval && w.listed {
			l.sendStop(w, r, now)
		}
	}
	l.stopStuckRuns(w, runs, now)
	l.stopUnstartedRuns(w, runs, now)
	l.endLapsedQuarantine(w, now)
	l.relieveOvercommit(w, now)
	if w.session != nil && now.Sub(w.reportedAt) > l.o.Timing.SessionTimeout*2 {
		l.detachSession(w.session, &structs.UnavailableError{Dependency: "agent"})
	}
	if w.session != nil && !w.ready && now.Sub(w.attachedAt) < firstListTimeout {
		return // the first list may report how the runs ended
	}
	l.reportLeaseWait(w, now)
	l.releaseBounded(w, now)
	if w.leaseLapsed || (len(w.runs) == 0 && !w.withheld.awaitsLapse()) || now < w.leaseEndsAt.Add(l.o.Timing.leaseLapseDelay()) {
		return
	}
	w.leaseLapsed = true
	rule := w.leaseRule(w.leaseEndsAt)
	l.log.Warn("lease lapsed", zap.String("worker", string(w.id)), zap.Bool("listed", w.listedAt > 0), zap.Duration("since_lease", now.Sub(w.leaseEndsAt)),
		zap.String("rule", string(rule)), zap.Int("runs", len(w.runs)), zap.Bool("attends", w.session != nil))
	if w.longRunningRuns() > 0 {
		l.recordLeaseWait(w, rule, now)
	}
	w.withheld.recordLapse(w.sortedRuns())
	for _, r := range w.sortedRuns() {
		l.release(w, r, "lease lapsed", "")
	}
	w.closeSession()
}

// firstListTimeout is how long the runs of a worker whose lease has lapsed are
// kept while the first list of its new session is awaited.
const firstListTimeout = 1500 * time.Millisecond

// stopRepeatInterval is the time after which a stop without effect is ordered
// again.
const stopRepeatInterval = 500 * time.Millisecond

// stopTimeout is the time after which a run that was stopped is not expected to
// end soon. The runner takes 0.2 s for a stop.
const stopTimeout = time.Second

// stop orders the worker to end a run. The run is over when the worker reports
// its end.
func (l *leader) stop(w *worker, r *run, reason string) {
	if r.stopReason != "" {
		return
	}
	r.stopReason = reason
	l.log.Info("stop", zap.Stringer("run", r.id), zap.String("worker", string(w.id)), zap.String("reason", reason), zap.Int32("percent", r.percent))
	l.metrics.count(l.metrics.stops, reason)
	r.stoppedAt = l.o.Clock()
	w.runsChanged()
	l.sendStop(w, r, r.stoppedAt)
}

func (l *leader) sendStop(w *worker, r *run, now bootclock.Time) {
	r.stopSentAt = now
	if r.incarnation == w.incarnation && w.session != nil {
		w.outbox.stops = append(w.outbox.stops, r.id)
	}
}

// release removes a run from a worker that can no longer run it, and makes its
// task pending if the run is the current one.
func (l *leader) release(w *worker, r *run, reason, checkpoint string) {
	if checkpoint == "" {
		checkpoint = r.checkpoint
	}
	checkpoint = r.job.NewerCheckpoint(r.id, checkpoint, r.percent)
	l.finishRelease(w, r, reason, checkpoint, r.job.Release(r.id, checkpoint))
}

// finishRelease removes a run from a worker. changed is set if its task has become
// pending.
func (l *leader) finishRelease(w *worker, r *run, reason, checkpoint string, changed bool) {
	w.removeRun(r.id)
	l.log.Info("released", zap.Stringer("run", r.id), zap.String("worker", string(w.id)), zap.String("reason", reason),
		zap.String("checkpoint", checkpoint), zap.Int32("percent", r.percent), zap.Bool("current", changed))
	if changed {
		l.metrics.count(l.metrics.released, reason)
		l.beginStoppedWait(r)
		r.job.beginOutage(r.id.Task, max(w.listedAt, r.assignedAt, r.job.acceptedAt))
		l.markDirty(r.job, nil, nil)
		l.stopGang(r.job, r.id)
	}
}

// stopGang stops the remaining runs of a gang after one run has ended, unless
// the gang is done. The gang starts again when all of its runs have ended.
func (l *leader) stopGang(j *job, ended structs.RunID) {
	if !j.Step(ended.Task).Gang || j.Task(ended.Task).State == workflow.Done {
		return
	}
	for _, r := range j.sortedRuns() {
		t := r.id.Task
		if t.Round == ended.Task.Round && t.Step == ended.Task.Step && r.id.Number == ended.Number {
			l.stop(r.worker, r, "member of its gang ended")
		}
	}
}

// acknowledge advances acknowledgedEnd over the ends that are stored.
func (w *worker) acknowledge() {
	for len(w.ends) > 0 && w.ends[0].stored {
		w.acknowledgedEnd = w.ends[0].number
		w.ends = w.ends[1:]
		w.outbox.ackDue = true
	}
}

// sortedRuns returns the runs of the worker by ID. The list stays as it is when
// the runs change; callers must not modify it.
func (w *worker) sortedRuns() []*run {
	if len(w.sorted) == len(w.runs) {
		return w.sorted
	}
	list := make([]*run, 0, len(w.runs))
	for _, r := range w.runs {
		list = append(list, r)
	}
	slices.SortFunc(list, func(a, b *run) int { return compareRuns(a.id, b.id) })
	w.sorted = list
	return list
}

func compareRuns(a, b structs.RunID) int {
	return cmp.Or(cmp.Compare(a.Task.Job, b.Task.Job), cmp.Compare(a.Task.Round, b.Task.Round),
		cmp.Compare(a.Task.Step, b.Task.Step), cmp.Compare(a.Task.Index, b.Task.Index), cmp.Compare(a.Number, b.Number))
}
