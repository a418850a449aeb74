package cell

import (
	"slices"
	"sort"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// planRun identifies the state and the time of the last planner call.
type planRun struct {
	seq int64
	at  time.Time
}

// domainReturnPeriod is how long starts are rate limited after a failure
// domain has returned to service.
const domainReturnPeriod = time.Minute

// outcomeDecayPerPlan is the factor by which the counts of failed and finished
// attempts of a worker shrink with every call of workerView.
const outcomeDecayPerPlan = 0.999

// addStarts calls the planner and adds the placements that still fit to the
// transaction.
func (l *leader) addStarts(txn *leaderTxn, now time.Time) {
	if !l.recovered || !l.domain.polled || l.foreign {
		return
	}
	alreadyPlanned := l.lastPlan.seq == l.state.Seq && now.Sub(l.lastPlan.at) < l.options.Timing.PollInterval/4
	if alreadyPlanned || len(l.state.pending)+len(l.state.assigned) == 0 {
		return
	}
	s := l.plannerSnapshot(txn, now)
	l.lastPlan = planRun{seq: l.state.Seq, at: now}
	// The planner gets copies only, so the lock can be released for heartbeats
	// while the planner runs.
	l.mu.Unlock()
	plan := l.options.Planner.Plan(s)
	l.mu.Lock()
	l.addPlan(txn, s, plan, now)
}

// addPlan verifies the plan against the current state and adds the valid
// placements to the transaction.
func (l *leader) addPlan(txn *leaderTxn, s *Snapshot, plan Plan, now time.Time) {
	free := map[structs.WorkerID]structs.Resources{}
	for _, v := range s.Workers {
		if v.Placeable {
			free[v.Worker.ID] = v.Free
		}
	}
	budget := l.remainingShares()
	probes := l.crashProbes(now)
	txn.heartbeatSeqs = map[structs.WorkerID]int64{}
	for _, p := range plan.Placements {
		if len(txn.batch.Starts) == s.MaxStarts {
			break
		}
		t, pending := l.state.pending[p.Task]
		room, placeable := free[p.Worker]
		if pending && t.startsApart() && probes[p.Worker] {
			continue
		}
		if !pending || t.job.CancelRequested || !placeable || !t.job.Job.Resources.Fits(room) || !l.allowStart(now) || !budget.reserve(&t.job.Job) {
			continue
		}
		free[p.Worker] = room.Sub(t.job.Job.Resources)
		probes[p.Worker] = probes[p.Worker] || t.Crashes > 0
		txn.heartbeatSeqs[p.Worker] = l.sessions[p.Worker].sequence
		txn.batch.Starts = append(txn.batch.Starts, Start{
			Job: p.Task.Job, Index: p.Task.Index, Number: t.Number + 1, Worker: p.Worker,
		})
	}
	if len(txn.batch.Starts) > 0 {
		// The comparison proves that the failure domain is still in service
		// when the starts are committed.
		txn.comparisons = append(txn.comparisons, substrate.Compare{Key: domainKey(l.options.Domain), Revision: l.domain.revision})
	}
	l.recordUnschedulable(txn, plan)
	l.queuePlanActions(plan, now)
}

// allowStart reports whether the rate limit after the return of the failure
// domain allows another start.
func (l *leader) allowStart(now time.Time) bool {
	return l.domain.returnedAt.IsZero() || now.Sub(l.domain.returnedAt) > domainReturnPeriod || l.domain.startLimiter.AllowN(now, 1)
}

func newStartLimiter(timing Timing) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(timing.StartsPerSecond), timing.StartsPerSecond)
}

// recordUnschedulable records why tasks were not placed, and fails the tasks
// that can never be placed.
func (l *leader) recordUnschedulable(txn *leaderTxn, plan Plan) {
	clear(l.unschedulable)
	for _, u := range plan.Unschedulable {
		l.unschedulable[u.Task] = u
		if _, pending := l.state.pending[u.Task]; pending && u.Permanent && len(txn.batch.Fails) < maxFails {
			txn.batch.Fails = append(txn.batch.Fails, Fail{
				Job: u.Task.Job, Index: u.Task.Index, Detail: string(u.Reason) + ": " + truncateDetail(u.Detail),
			})
		}
	}
}

// queuePlanActions queues evictions and throttles for the agents.
func (l *leader) queuePlanActions(plan Plan, now time.Time) {
	for _, e := range plan.Evictions {
		if session := l.sessionOfAttempt(e.Attempt); session != nil {
			l.queueAction(session, e.Attempt, daisywallpb.Action_VERB_EVICT, now)
			l.deliver(session)
		}
	}
	for _, t := range plan.Throttles {
		if session := l.sessionOfAttempt(t.Attempt); session != nil {
			session.outbox.addAction(&daisywallpb.Action{
				Attempt: api.FromAttempt(t.Attempt), Verb: daisywallpb.Action_VERB_THROTTLE, Share: t.Share,
			})
			l.deliver(session)
		}
	}
}

// sessionOfAttempt returns the session of the worker that the attempt is
// assigned to, or nil.
func (l *leader) sessionOfAttempt(id structs.AttemptID) *workerSession {
	if !l.isAssigned(id) {
		return nil
	}
	return l.sessions[l.state.assigned[id.Task].Worker]
}

// plannerSnapshot copies the planner's input. The ends in the transaction
// count as committed, because they apply before the starts of the same log
// row.
func (l *leader) plannerSnapshot(txn *leaderTxn, now time.Time) *Snapshot {
	ending := make(map[structs.AttemptID]struct{}, len(txn.batch.Ends))
	for _, e := range txn.batch.Ends {
		ending[e.attempt()] = struct{}{}
	}
	s := &Snapshot{Cell: l.cell, Now: now, MaxStarts: l.recordLimit(maxStarts), Outcomes: slices.Clone(l.outcomes), Shares: l.teamShares()}
	budget := l.remainingShares()
	eligible := l.leaveRoomInShares(l.eligibleTasks(ending, now), budget, now)
	for _, t := range selectPending(eligible, budget.fits, maxPending) {
		id := t.ID()
		s.Pending = append(s.Pending, PendingTask{
			Task: id, Job: t.Job(), Attempts: t.Number, Checkpoint: t.Checkpoint,
			FailedOn: t.FailedOn, Waiting: now.Sub(l.pendingSince[id]),
		})
	}
	for _, session := range l.sessions {
		if session.incarnation != "" {
			s.Workers = append(s.Workers, l.workerView(session, ending, now))
		}
	}
	sort.Slice(s.Workers, func(i, k int) bool { return s.Workers[i].Worker.ID < s.Workers[k].Worker.ID })
	return s
}

// workerView returns a worker with its free resources. An attempt that the
// worker reports as running uses resources even if the cell has not assigned
// it. Each call decays the counts of failed and finished attempts.
func (l *leader) workerView(session *workerSession, ending map[structs.AttemptID]struct{}, now time.Time) WorkerView {
	recorded := l.state.Workers[session.worker.ID]
	view := WorkerView{
		Worker: session.worker, Free: session.worker.Capacity, Leaving: session.leaving,
		Failed: int(session.failedCount), Finished: int(session.finishedCount),
		Placeable: recorded != nil && recorded.Incarnation == session.incarnation && !session.leaving && !l.domain.outOfService &&
			now.Sub(session.lastHeartbeatAt) < l.options.Timing.StartGrant*3/4 && now.Sub(session.lastRejectionAt) > l.options.Timing.MinHeartbeatInterval,
	}
	session.failedCount *= outcomeDecayPerPlan
	session.finishedCount *= outcomeDecayPerPlan
	assigned := l.state.byWorker[session.worker.ID]
	for id, t := range assigned {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, ends := ending[attempt]; ends {
			continue
		}
		view.Free = view.Free.Sub(t.job.Job.Resources)
		view.Residents = append(view.Residents, session.resident(attempt, t, now))
	}
	for id, r := range session.runs {
		if t, found := assigned[id.Task]; !isRunOver(r) && (!found || t.Number != id.Number) {
			view.Free = view.Free.Sub(api.ToResources(r.GetResources()))
		}
	}
	slices.SortFunc(view.Residents, func(a, b Resident) int { return compareTasks(a.Attempt.Task, b.Attempt.Task) })
	return view
}

// resident returns the planner's description of an attempt on the worker.
func (s *workerSession) resident(id structs.AttemptID, t *Task, now time.Time) Resident {
	r := Resident{Attempt: id, Job: t.Job()}
	if run, reported := s.runs[id]; reported {
		r.Running = !isRunOver(run)
		r.Throttled = substrate.RunState(run.GetState()) == substrate.RunThrottled
		r.Progress = run.GetProgress()
	}
	if u, measured := s.usage[id]; measured {
		used := api.ToResources(u.GetResources())
		r.Usage, r.Latency = &used, u.GetLatencyMs()
		r.MeasurementAge = now.Sub(s.lastHeartbeatAt) + time.Duration(u.GetAgeMs())*time.Millisecond
	}
	_, r.Evicting = s.actionQueuedAt[id]
	return r
}
