package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// handleReport processes a report of a worker.
func (l *leader) handleReport(s *session, r *fleetpb.WorkerReport) {
	w := s.worker
	if w == nil || w.session != s {
		return
	}
	now := l.o.Clock()
	w.reportedAt = now
	w.outbox.replyDue = true
	l.confirmOrders(w, r.GetOrdersSeen())
	l.setDraining(w, r)
	w.agentStops = r.GetStopping()
	l.updateDescription(w, r.GetHello())
	if !r.GetListed() || w.incarnation == "" {
		return
	}
	if silent := now.Sub(w.listedAt); w.listedAt > 0 && silent >= l.o.Timing.SessionTimeout {
		w.discountSilence(silent, now)
	}
	if w.listedAt == 0 {
		l.limitEarlierLease(w, now)
	}
	if w.listedIncarnation != w.incarnation {
		w.listedIncarnation = w.incarnation
		l.extendForEarlierCalls(w, now)
		l.limitStatedLease(w)
	}
	w.listed, w.listedAt = true, now
	w.listSentAt = r.GetSentAt()
	w.leaseLapsed = false
	for _, e := range r.GetEnded() {
		l.handleEnd(w, e)
	}
	l.reconcile(w, r, now)
	w.acknowledge()
	l.updateInterference(w, now)
	if !w.ready && !r.GetMoreEnds() {
		w.ready = true
		w.withheld.lapsedRuns = nil
		l.log.Info("worker ready", zap.String("worker", string(w.id)), zap.Int("runs", len(w.runs)),
			zap.Int64("milli_cpu", w.capacity.MilliCPU), zap.Int64("memory_mb", w.capacity.MemoryMB))
	}
}

func (l *leader) setDraining(w *worker, r *fleetpb.WorkerReport) {
	w.drainRemaining = time.Duration(r.GetRemainingMs()) * time.Millisecond
	if w.draining == r.GetDraining() {
		return
	}
	w.draining = r.GetDraining()
	l.log.Info("worker draining", zap.String("worker", string(w.id)), zap.Bool("draining", w.draining), zap.Duration("remaining", w.drainRemaining))
}

// handleEnd processes the end of a run. The end is acknowledged to the worker
// once it is stored.
func (l *leader) handleEnd(w *worker, e *fleetpb.Ended) {
	if e.GetNumber() <= w.lastEndReceived {
		return
	}
	w.lastEndReceived = e.GetNumber()
	record := &endRecord{number: e.GetNumber()}
	w.ends = append(w.ends, record)
	id := runFromProto(e.GetRun())
	r, found := w.runs[id]
	w.removeRun(id)
	if found && r.incarnation != w.incarnation {
		l.extendToMaxLease(w) // its start reached the next incarnation
	}
	j := l.jobs[id.Task.Job]
	if j != nil && j.Task(id.Task) != nil {
		j.MarkBegun()
	}
	if j == nil || !l.applyEnd(w, r, j, id, e) {
		l.log.Info("end of a run that is not current", zap.Stringer("run", id), zap.String("worker", string(w.id)),
			zap.String("end", e.GetEnd()), zap.Bool("assigned", found))
		if j != nil && j.Task(id.Task) != nil && l.mustLapseFirst(w, r, j, id, e, l.o.Clock()) {
			l.withholdEnd(w, id, e)
			return
		}
		l.acknowledgeOnceStored(w, j, record)
		return
	}
	l.log.Info("ended", zap.Stringer("run", id), zap.String("worker", string(w.id)), zap.String("end", e.GetEnd()),
		zap.Duration("ran", r.ran(l.o.Clock())), zap.String("phase", string(j.Phase())))
	l.metrics.count(l.metrics.ends, e.GetEnd())
	l.acknowledgeOnceStored(w, j, record)
	if j.Final() {
		l.stopRunsOfJob(j)
	} else {
		l.stopGang(j, id)
	}
}

// acknowledgeOnceStored acknowledges the end once the state of the job is
// stored.
func (l *leader) acknowledgeOnceStored(w *worker, j *job, record *endRecord) {
	s := w.session
	onStored := func() {
		record.stored = true
		if w.session == s {
			w.acknowledge()
		}
	}
	// The effect of an end that changes nothing may be in the store or in the
	// commit in flight. The leader does not track where it is, so it waits for
	// the next commit.
	if j == nil {
		onStored()
		return
	}
	l.markDirty(j, onStored, nil)
}

// applyEnd updates the state of the job. It returns false if the run is not the
// current run of its task.
func (l *leader) applyEnd(w *worker, r *run, j *job, id structs.RunID, e *fleetpb.Ended) bool {
	if j.Task(id.Task) == nil {
		return false
	}
	l.unsettle(j)
	end, percent := substrate.RunEnd(e.GetEnd()), int32(0)
	if r != nil {
		percent = r.percent
	}
	observed := endedRun{id: id, worker: w, run: r, resumed: j.Task(id.Task).Checkpoint != ""}
	if end == substrate.RunEndDone && j.Step(id.Task).LongRunning {
		end = substrate.RunEndStopped // a long-running task does not finish by itself
	}
	if end == substrate.RunEndDone && j.Failed && workflow.MayCopy(j.Step(id.Task)) {
		end = substrate.RunEndStopped // does not count any more, see workflow.Job.Finish
	}
	switch end {
	case substrate.RunEndDone:
		if !l.finishTask(j, id, r) {
			return false
		}
		l.recordWorkerSuccess(w, r)
		l.observeEnd(j, observed)
	case substrate.RunEndFailed:
		if !j.Fail(id, j.NewerCheckpoint(id, e.GetCheckpoint(), percent)) {
			return false
		}
		if !r.isSteady(l.o.Clock()) {
			l.recordFailedRun(w, j, id)
			j.delayRestart(id.Task, w.id, l.o.Clock())
		}
		l.keepPosition(j, id.Task, r)
		observed.failed = true
		l.observeEnd(j, observed)
	default:
		checkpoint := e.GetCheckpoint()
		if checkpoint == "" && r != nil {
			checkpoint = r.checkpoint
		}
		if !j.Release(id, j.NewerCheckpoint(id, checkpoint, percent)) {
			return false
		}
		l.beginStoppedWait(r)
	}
	j.beginOutage(id.Task, l.o.Clock())
	return true
}

// stopRunsOfJob stops all runs of a finished job.
func (l *leader) stopRunsOfJob(j *job) {
	for _, r := range j.sortedRuns() {
		l.stop(r.worker, r, "job is over")
	}
}

// reconcile compares the runs on the worker with the assigned runs, and
// corrects the differences. A run that is missing from a list that lacks ends may have
// ended in any way, so it stays assigned until a later list shows how.
func (l *leader) reconcile(w *worker, r *fleetpb.WorkerReport, now bootclock.Time) {
	w.unassigned, w.unassignedSteps = structs.Resources{}, nil
	listed := make(map[structs.RunID]bool, len(r.GetActive())+len(r.GetStarting()))
	for _, a := range r.GetActive() {
		id := runFromProto(a.GetRun())
		listed[id] = true
		if assigned := w.runs[id]; assigned != nil {
			l.moveToCurrentIncarnation(w, assigned)
			if assigned.startedAt == 0 {
				w.runStartedAt = now
				w.runsChanged()
			}
			assigned.update(a, now)
			l.recordStartAnswer(assigned, a.GetSettled() && w.hasSeenStart(assigned, r.GetOrdersSeen()))
			assigned.job.MarkBegun()
			l.endOutage(w, assigned, now)
			l.clearIfOutlived(w, assigned, now)
			if reason := assigned.job.StopReason(id); reason != "" {
				l.stop(w, assigned, reason)
			}
			continue
		}
		if j := l.jobs[id.Task.Job]; j != nil && j.Task(id.Task) != nil {
			w.unassigned = w.unassigned.Add(j.reservedBy(id.Task))
			if w.unassignedSteps == nil {
				w.unassignedSteps = map[structs.StepID]int32{}
			}
			w.unassignedSteps[id.Task.StepID()]++
		}
		if !l.isIncarnationSettled(w, now) {
			l.extendToMaxLease(w) // its start may have been for an earlier incarnation
		}
		l.log.Warn("stopping a run that is not assigned", zap.Stringer("run", id), zap.String("worker", string(w.id)))
		w.outbox.stops = append(w.outbox.stops, id)
	}
	for _, p := range r.GetStarting() {
		listed[runFromProto(p)] = true
	}
	var ended []*run
	for _, assigned := range w.sortedRuns() {
		isListed := listed[assigned.id]
		assigned.setEndAwaited(!isListed && r.GetMoreEnds() && w.mayHaveStarted(assigned, r.GetOrdersSeen()), now)
		switch {
		case isListed, r.GetMoreEnds():
		case assigned.incarnation != w.incarnation:
			ended = append(ended, assigned)
		default:
			l.handleUnlistedRun(w, assigned, r.GetOrdersSeen())
		}
	}
	l.releaseEnded(w, ended, "runner restarted")
	l.recordHeldBackEnds(w, r.GetMoreEnds(), now)
}

// moveToCurrentIncarnation records that the start of the run reached the next
// incarnation of the runner, where the run continues.
func (l *leader) moveToCurrentIncarnation(w *worker, r *run) {
	if r.incarnation == w.incarnation {
		return
	}
	l.log.Info("run found in the next incarnation", zap.Stringer("run", r.id), zap.String("worker", string(w.id)),
		zap.String("assigned_to", r.incarnation), zap.String("incarnation", w.incarnation))
	r.incarnation = w.incarnation
	l.extendToMaxLease(w)
}

// extendToMaxLease treats the lease of the worker as the longest that a runner
// accepts. A call for an earlier incarnation states the lease on that one's
// clock, which may be far ahead of the clock of the incarnation that it reached.
func (l *leader) extendToMaxLease(w *worker) {
	w.extendedEndsAt = l.o.Clock().Add(l.o.Timing.MaxLease)
	w.leaseEndsAt = max(w.leaseEndsAt, w.extendedEndsAt)
}

// handleUnlistedRun handles an assigned run that the report does not list as
// active, starting or ended.
func (l *leader) handleUnlistedRun(w *worker, assigned *run, ordersSeen int64) {
	switch {
	case !assigned.stored:
		// The run is ordered once its assignment is stored. If it started now
		// and the commit were lost, the next leader would have no record of it.
	case !w.ready:
		// The run was assigned before this session. The session's new fencing
		// token ensures that an old start has no effect any more.
		l.repeatStart(w, assigned)
	case !w.mayHaveStarted(assigned, ordersSeen):
	case assigned.startedAt > 0:
		l.release(w, assigned, "gone without an end", "")
	default:
		l.permits.removeWorker(assigned.id.Task.StepID(), w)
		// A refusal may last. It is not counted as a failure of the worker,
		// because a start is also dropped when its order was too old.
		assigned.job.avoidWorker(assigned.id.Task, w.id)
		l.release(w, assigned, "not started", "")
	}
}

// mayHaveStarted reports whether the worker has listed the run, and the agent has
// received the last order to start it, if there is one. Before the session's first list
// with all ends, each run whose assignment is stored may have started.
func (w *worker) mayHaveStarted(r *run, ordersSeen int64) bool {
	if !w.ready {
		return r.stored
	}
	return r.startOrderNumber <= ordersSeen && (r.startOrderNumber > 0 || r.startedAt > 0)
}

// hasSeenStart reports whether the agent has received the last order to start the run, or
// never will, since the session of that order has ended.
func (w *worker) hasSeenStart(r *run, ordersSeen int64) bool {
	return r.startOrderNumber != pendingOrder && (r.startOrderNumber <= ordersSeen || r.startFence != w.session.fencingToken)
}

// repeatStart orders the start of a run again, because an order of an earlier
// session may not have arrived. It releases the run if the run must not start
// any more.
func (l *leader) repeatStart(w *worker, r *run) {
	if l.mustNotStart(w, r) {
		l.release(w, r, "not started", "")
		return
	}
	l.orderStart(w, r)
}

// update records the state of a run that the runner has reported.
func (r *run) update(a *fleetpb.Active, now bootclock.Time) {
	if r.startedAt == 0 {
		r.startedAt, r.progressAt, r.ratedSince, r.initialPercent = now, now, now, a.GetPercent()
		r.begunBy = now.Add(-time.Duration(max(0, a.GetAgeMs())) * time.Millisecond)
	}
	r.wasThrottled = r.wasThrottled || a.GetPace() < fullPacePercent
	if a.GetPercent() != r.percent || a.GetCheckpoint() != r.checkpoint {
		r.progressAt = now
	}
	if r.workingSince == 0 && a.GetPercent() >= workingPercent {
		r.workingSince = now
	}
	r.percent, r.reading, r.pace = a.GetPercent(), a.GetFigure(), a.GetPace()
	if a.GetCheckpoint() != "" {
		r.checkpoint = a.GetCheckpoint()
	}
}
