package cell

import (
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Traffic of heartbeats.
const (
	// heartbeatBudget is the number of bytes a second that a leader spends on
	// heartbeats.
	heartbeatBudget = 6_000
	// heartbeatBytes is the usual size of a heartbeat and its response on the
	// wire.
	heartbeatBytes = 300
	// firstInterval brings a worker back at once whose heartbeat has no proved
	// age.
	firstInterval = 100 * time.Millisecond
)

// askAgain is the time after which an action is sent again to a worker that
// still reports the run.
const askAgain = 3 * time.Second

// over reports whether a reported run has ended.
func over(r *daisywallpb.RunReport) bool { return substrate.RunState(r.GetState()).Over() }

// heartbeat takes a worker's report and answers it. Ok is false when the
// tenure is over.
func (l *leader) heartbeat(req *daisywallpb.HeartbeatRequest) (resp *daisywallpb.HeartbeatResponse, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.over {
		return nil, false
	}
	now := time.Now()
	count(l.metrics.heartbeats, 1)
	l.visited = l.visited || l.foreign
	id := structs.WorkerID(req.GetWorker())
	v, found := l.views[id]
	if !found {
		v = newView(id)
		l.views[id] = v
	}
	l.replies++
	resp = &daisywallpb.HeartbeatResponse{Epoch: l.epoch, Reply: l.replies}
	proved := v.proveAge(req, l.epoch)
	v.answered(l.replies, now)
	if proved {
		v.describe(req, now)
	} else {
		count(l.metrics.stale, 1)
	}
	l.takeRuns(v, req, proved)
	if proved && l.ready {
		l.takeIncarnation(v)
		if req.GetFull() {
			l.takeAbsences(v)
		}
		l.askActions(v, now)
		l.deliver(v)
	}
	l.grant(v, resp, now)
	resp.WantFull = !proved || l.wantsFull(v, now)
	resp.IntervalMs = l.interval(proved).Milliseconds()
	resp.ConfigRevision, resp.Config = l.o.Config(req.GetConfigRevision())
	return resp, true
}

// grant puts leases into the response. A heartbeat of unknown age may renew:
// a lease runs from a reading that the worker took before it sent it.
func (l *leader) grant(v *view, resp *daisywallpb.HeartbeatResponse, now time.Time) {
	granted := false
	if renewable(l.o.Timing, structs.WorkBatch, l.proof, now) {
		resp.BatchLeaseMs = l.o.Timing.Lease.Batch.Milliseconds()
		granted = true
	}
	if renewable(l.o.Timing, structs.WorkService, l.proof, now) {
		resp.ServiceLeaseMs = l.o.Timing.Lease.Service.Milliseconds()
		granted = true
	}
	if granted {
		v.granted = now
		resp.Unrenewed = l.unrenewed(v, now)
		return
	}
	count(l.metrics.unrenewed, 1)
}

// unrenewed names the attempts on a worker whose jobs allow no more renewals
// without the table.
func (l *leader) unrenewed(v *view, now time.Time) []*daisywallpb.AttemptID {
	var list []*daisywallpb.AttemptID
	silence := now.Sub(l.proof)
	for id, t := range l.state.byWorker[v.worker.ID] {
		bound := l.o.Timing.Ride.Of(t.job.Job.Kind)
		if silence >= rideOf(&t.job.Job, bound) {
			list = append(list, api.FromAttempt(structs.AttemptID{Task: id, Number: t.Number}))
		}
	}
	return list
}

// interval returns the time to the next heartbeat that keeps the traffic
// inside the budget and grants alive.
func (l *leader) interval(proved bool) time.Duration {
	if !proved {
		return firstInterval
	}
	share := time.Duration(len(l.views)) * time.Second * heartbeatBytes / heartbeatBudget
	return min(max(share, l.o.Timing.Heartbeat), max(l.o.Timing.Heartbeat, l.o.Timing.Grant*4/5))
}

// takeRuns takes the reported runs. That a run is over stays true, so it is
// believed at any age; everything else needs a proved age.
func (l *leader) takeRuns(v *view, req *daisywallpb.HeartbeatRequest, proved bool) {
	for _, r := range req.GetRuns() {
		id := api.ToAttempt(r.GetAttempt())
		switch {
		case over(r):
			v.runs[id] = r
			l.takeEnd(v, id, r)
		case proved:
			if old, found := v.runs[id]; !found || !over(old) {
				v.runs[id] = r
			}
		}
	}
}

// takeEnd queues the end of an attempt that its worker reports as over, or
// lets the worker forget it.
func (l *leader) takeEnd(v *view, id structs.AttemptID, r *daisywallpb.RunReport) {
	if !l.ready {
		return
	}
	t := l.state.Task(id.Task)
	cause := endCause(r, t)
	if !l.state.takesEnd(id, cause) {
		delete(v.runs, id)
		v.forget[id] = struct{}{}
		return
	}
	l.queueEnd(structs.AttemptEnd{
		Attempt: id, Cause: cause, Checkpoint: r.GetCheckpoint(), Result: r.GetResult(), Detail: r.GetDetail(),
	})
}

// endCause translates the state of a run that is over. A service that ends by
// itself has failed: it is meant to stay up.
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

// queueEnd queues an end for the next log row. The first report of an attempt
// counts, but for one that it has finished.
func (l *leader) queueEnd(e structs.AttemptEnd) {
	if old, queued := l.queue.ends[e.Attempt]; queued && (old.Cause == structs.EndFinished || e.Cause != structs.EndFinished) {
		return
	}
	l.queue.ends[e.Attempt] = e
	l.signal()
}

func (l *leader) isAssigned(id structs.AttemptID) bool {
	t, found := l.state.assigned[id.Task]
	return found && t.Number == id.Number
}

// takeIncarnation queues the change of a worker's incarnation.
func (l *leader) takeIncarnation(v *view) {
	known, found := l.state.Workers[v.worker.ID]
	if found && known.Incarnation == v.incarnation {
		return
	}
	l.queue.workers[v.worker.ID] = v.incarnation
	l.signal()
}

// takeAbsences ends the attempts that a full list of proved age lacks,
// provided that no agent could start them after the list was read.
func (l *leader) takeAbsences(v *view) {
	for id, t := range l.state.byWorker[v.worker.ID] {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, reported := v.runs[attempt]; reported || t.Incarnation != v.incarnation {
			continue
		}
		if v.echoSent.After(l.lapse.startsUntil(l.committed[attempt])) {
			l.queueEnd(structs.AttemptEnd{Attempt: attempt, Cause: structs.EndNotStarted, Detail: "not in the worker's list"})
		}
	}
}

// wantsFull reports whether an attempt on the worker needs a full list to be
// settled.
func (l *leader) wantsFull(v *view, now time.Time) bool {
	if !l.ready {
		return true
	}
	for id, t := range l.state.byWorker[v.worker.ID] {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, reported := v.runs[attempt]; !reported && now.After(l.lapse.startsUntil(l.committed[attempt])) {
			return true
		}
	}
	return false
}

// askActions queues the actions that the worker's runs need.
func (l *leader) askActions(v *view, now time.Time) {
	for id, r := range v.runs {
		if over(r) {
			l.takeEnd(v, id, r)
			continue
		}
		t, found := l.state.assigned[id.Task]
		if !found || t.Number != id.Number || t.job.CancelRequested {
			l.ask(v, id, daisywallpb.Action_VERB_CANCEL, now)
		}
	}
	for id := range v.forget {
		v.outbox.add(&daisywallpb.Action{Attempt: api.FromAttempt(id), Verb: daisywallpb.Action_VERB_FORGET})
		delete(v.forget, id)
	}
	l.deliver(v)
}

// ask queues an action on a run, unless it was queued a short while ago.
func (l *leader) ask(v *view, id structs.AttemptID, verb daisywallpb.Action_Verb, now time.Time) {
	if at, asked := v.asked[id]; asked && now.Sub(at) < askAgain {
		return
	}
	v.asked[id] = now
	v.outbox.add(&daisywallpb.Action{Attempt: api.FromAttempt(id), Verb: verb})
}
