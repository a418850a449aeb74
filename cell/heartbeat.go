package cell

import (
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of the heartbeat traffic.
const (
	// heartbeatBytesPerSecond is the traffic of heartbeats and responses at a
	// leader above which it lengthens the heartbeat interval.
	heartbeatBytesPerSecond = 6_000
	// heartbeatSizeBytes is the usual size of a heartbeat with its response on
	// the wire.
	heartbeatSizeBytes = 300
	// staleHeartbeatInterval is the interval after a heartbeat that is not
	// provably fresh. It is short, because the next heartbeat can acknowledge
	// the response and prove its age.
	staleHeartbeatInterval = 100 * time.Millisecond
)

// actionRetryDelay is the time after which an action is sent again if the
// worker still reports the run.
const actionRetryDelay = 3 * time.Second

// isRunOver reports whether a reported run has ended.
func isRunOver(r *daisywallpb.RunReport) bool { return substrate.RunState(r.GetState()).Final() }

// handleHeartbeat processes a worker's heartbeat and returns the response. ok
// is false if this leadership has ended.
func (l *leader) handleHeartbeat(req *daisywallpb.HeartbeatRequest) (resp *daisywallpb.HeartbeatResponse, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return nil, false
	}
	now := time.Now()
	count(l.metrics.heartbeats, 1)
	l.foreignWorkerReported = l.foreignWorkerReported || l.foreign
	id := structs.WorkerID(req.GetWorker())
	session, found := l.sessions[id]
	if !found {
		session = newWorkerSession(id)
		l.sessions[id] = session
	}
	l.lastResponse++
	resp = &daisywallpb.HeartbeatResponse{Epoch: l.epoch, Reply: l.lastResponse}
	fresh := session.acceptIfFresh(req, l.epoch)
	session.recordResponse(l.lastResponse, now)
	if fresh {
		session.updateFrom(req, now)
	} else {
		count(l.metrics.staleHeartbeats, 1)
	}
	l.recordRuns(session, req, fresh)
	if fresh && l.recovered {
		l.queueIncarnation(session)
		if req.GetFull() {
			l.queueAbsentAttempts(session)
		}
		l.queueActions(session, now)
		l.deliver(session)
	}
	l.grantLeases(session, resp, now)
	resp.WantFull = !fresh || l.needsFullList(session, now)
	resp.IntervalMs = l.heartbeatInterval(fresh).Milliseconds()
	resp.ConfigRevision, resp.Config = l.options.Config(req.GetConfigRevision())
	return resp, true
}

// grantLeases adds leases to the response. A heartbeat that is not provably
// fresh may also renew leases, because a lease starts at a clock reading that
// the worker took before it sent the heartbeat.
func (l *leader) grantLeases(session *workerSession, resp *daisywallpb.HeartbeatResponse, now time.Time) {
	granted := false
	if mayRenew(l.options.Timing, structs.WorkBatch, l.provedAt, now) {
		resp.BatchLeaseMs = l.options.Timing.Lease.Batch.Milliseconds()
		granted = true
	}
	if mayRenew(l.options.Timing, structs.WorkService, l.provedAt, now) {
		resp.ServiceLeaseMs = l.options.Timing.Lease.Service.Milliseconds()
		granted = true
	}
	if granted {
		session.leaseGrantedAt = now
		resp.Unrenewed = l.unrenewedAttempts(session, now)
		return
	}
	count(l.metrics.heartbeatsWithoutLease, 1)
}

// unrenewedAttempts returns the attempts on a worker whose jobs have used up
// their ride-out time since the last proof of leadership.
func (l *leader) unrenewedAttempts(session *workerSession, now time.Time) []*daisywallpb.AttemptID {
	var list []*daisywallpb.AttemptID
	sinceProof := now.Sub(l.provedAt)
	for id, t := range l.state.byWorker[session.worker.ID] {
		bound := l.options.Timing.RideOut.Of(t.job.Job.Kind)
		if sinceProof >= rideOutOf(&t.job.Job, bound) {
			list = append(list, api.FromAttempt(structs.AttemptID{Task: id, Number: t.Number}))
		}
	}
	return list
}

// heartbeatInterval returns the time to the next heartbeat. It is at least
// Timing.MinHeartbeatInterval, and longer if the heartbeats of all workers
// would otherwise exceed heartbeatBytesPerSecond. It is lengthened only up to
// four fifths of Timing.StartGrant, so that assignments can still start.
func (l *leader) heartbeatInterval(fresh bool) time.Duration {
	if !fresh {
		return staleHeartbeatInterval
	}
	budgetInterval := time.Duration(len(l.sessions)) * time.Second * heartbeatSizeBytes / heartbeatBytesPerSecond
	return min(max(budgetInterval, l.options.Timing.MinHeartbeatInterval), max(l.options.Timing.MinHeartbeatInterval, l.options.Timing.StartGrant*4/5))
}

// recordRuns records the reported runs. A run that is over stays over, so such
// a report counts even in a stale heartbeat. All other reports count only in a
// fresh one.
func (l *leader) recordRuns(session *workerSession, req *daisywallpb.HeartbeatRequest, fresh bool) {
	for _, r := range req.GetRuns() {
		id := api.ToAttempt(r.GetAttempt())
		switch {
		case isRunOver(r):
			session.runs[id] = r
			l.queueReportedEnd(session, id, r)
		case fresh:
			if old, found := session.runs[id]; !found || !isRunOver(old) {
				session.runs[id] = r
			}
		}
	}
}

// queueReportedEnd queues the end of an attempt that its worker reports as
// over. If the end no longer counts, the worker may delete the run.
func (l *leader) queueReportedEnd(session *workerSession, id structs.AttemptID, r *daisywallpb.RunReport) {
	if !l.recovered {
		return
	}
	t := l.state.Task(id.Task)
	cause := endCause(r, t)
	if !l.state.acceptsEnd(id, cause) {
		delete(session.runs, id)
		session.deletableRuns[id] = struct{}{}
		return
	}
	l.queueEnd(structs.AttemptEnd{
		Attempt: id, Cause: cause, Checkpoint: r.GetCheckpoint(), Result: r.GetResult(), Detail: r.GetDetail(),
	})
}

// endCause returns the cause of the end of a run that is over. A service that
// exits has failed, because services are meant to run until they are stopped.
func endCause(r *daisywallpb.RunReport, t *Task) structs.EndCause {
	switch substrate.RunState(r.GetState()) {
	case substrate.RunExited:
		if r.GetFailed() || (t != nil && t.job.Job.Kind == structs.WorkService) {
			return structs.EndFailed
		}
		return structs.EndFinished
	case substrate.RunLapsed:
		return structs.EndLost
	default:
		if t != nil && t.job.CancelRequested {
			return structs.EndCancelled
		}
		return structs.EndEvicted
	}
}

// queueEnd queues an end for the next log row. The first reported end of an
// attempt is kept, unless a later report says that the attempt finished.
func (l *leader) queueEnd(e structs.AttemptEnd) {
	if old, queued := l.queue.ends[e.Attempt]; queued && (old.Cause == structs.EndFinished || e.Cause != structs.EndFinished) {
		return
	}
	l.queue.ends[e.Attempt] = e
	l.wakeLoop()
}

func (l *leader) isAssigned(id structs.AttemptID) bool {
	t, found := l.state.assigned[id.Task]
	return found && t.Number == id.Number
}

// queueIncarnation queues the change of a worker's incarnation.
func (l *leader) queueIncarnation(session *workerSession) {
	recorded, found := l.state.Workers[session.worker.ID]
	if found && recorded.Incarnation == session.incarnation {
		return
	}
	l.queue.incarnations[session.worker.ID] = session.incarnation
	l.wakeLoop()
}

// queueAbsentAttempts queues the end of the attempts that are missing in a
// fresh full list of runs, if no agent could have started them after the list
// was read.
func (l *leader) queueAbsentAttempts(session *workerSession) {
	for id, t := range l.state.byWorker[session.worker.ID] {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, reported := session.runs[attempt]; reported || t.Incarnation != session.incarnation {
			continue
		}
		if session.ackedResponseSentAt.After(l.leaseExpiry.startDeadline(l.starts[attempt].committedAt)) {
			l.queueEnd(structs.AttemptEnd{Attempt: attempt, Cause: structs.EndNotStarted, Detail: "not in the worker's list"})
		}
	}
}

// needsFullList reports whether a full list of runs is needed to decide about
// an attempt on the worker.
func (l *leader) needsFullList(session *workerSession, now time.Time) bool {
	if !l.recovered {
		return true
	}
	for id, t := range l.state.byWorker[session.worker.ID] {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, reported := session.runs[attempt]; !reported && now.After(l.leaseExpiry.startDeadline(l.starts[attempt].committedAt)) {
			return true
		}
	}
	return false
}

// queueActions queues the actions that the worker's runs need.
func (l *leader) queueActions(session *workerSession, now time.Time) {
	for id, r := range session.runs {
		if isRunOver(r) {
			l.queueReportedEnd(session, id, r)
			continue
		}
		t, found := l.state.assigned[id.Task]
		if !found || t.Number != id.Number || t.job.CancelRequested {
			l.queueAction(session, id, daisywallpb.Action_VERB_CANCEL, now)
		}
	}
	for id := range session.deletableRuns {
		session.outbox.addAction(&daisywallpb.Action{Attempt: api.FromAttempt(id), Verb: daisywallpb.Action_VERB_FORGET})
		delete(session.deletableRuns, id)
	}
	l.deliver(session)
}

// queueAction queues an action on a run, unless the last action on the run was
// queued less than actionRetryDelay ago.
func (l *leader) queueAction(session *workerSession, id structs.AttemptID, verb daisywallpb.Action_Verb, now time.Time) {
	if queuedAt, queued := session.actionQueuedAt[id]; queued && now.Sub(queuedAt) < actionRetryDelay {
		return
	}
	session.actionQueuedAt[id] = now
	session.outbox.addAction(&daisywallpb.Action{Attempt: api.FromAttempt(id), Verb: verb})
}
