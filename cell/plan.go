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

// planned remembers the last call of the planner.
type planned struct {
	seq int64
	at  time.Time
}

// returnPeriod is the time after a failure domain came in during which starts
// are paced.
const returnPeriod = time.Minute

// decayPerPlan is the factor by which the counts of failed and finished
// attempts of a worker shrink with every call of the planner.
const decayPerPlan = 0.999

// composeStarts plans and takes the placements that still fit.
func (l *leader) composeStarts(w *work, now time.Time) {
	if !l.ready || !l.domain.polled || l.foreign {
		return
	}
	idle := l.planned.seq == l.state.Seq && now.Sub(l.planned.at) < l.o.Timing.Poll/4
	if idle || len(l.state.pending)+len(l.state.assigned) == 0 {
		return
	}
	s := l.snapshot(w, now)
	l.planned = planned{seq: l.state.Seq, at: now}
	// The planner sees copies only, so heartbeats go on meanwhile.
	l.mu.Unlock()
	plan := l.o.Planner.Plan(s)
	l.mu.Lock()
	l.takePlan(w, s, plan, now)
}

// takePlan verifies the plan and takes what holds.
func (l *leader) takePlan(w *work, s *Snapshot, plan Plan, now time.Time) {
	free := map[structs.WorkerID]structs.Resources{}
	for _, v := range s.Workers {
		if v.Placeable {
			free[v.Worker.ID] = v.Free
		}
	}
	quota := l.quotaRoom()
	w.sequence = map[structs.WorkerID]int64{}
	for _, p := range plan.Placements {
		if len(w.batch.Starts) == s.MaxStarts {
			break
		}
		t, pending := l.state.pending[p.Task]
		room, placeable := free[p.Worker]
		if !pending || t.job.CancelRequested || !placeable || !t.job.Job.Resources.Fits(room) || !l.paced(now) || !quota.take(&t.job.Job) {
			continue
		}
		free[p.Worker] = room.Sub(t.job.Job.Resources)
		w.sequence[p.Worker] = l.views[p.Worker].sequence
		w.batch.Starts = append(w.batch.Starts, Start{
			Job: p.Task.Job, Index: p.Task.Index, Number: t.Number + 1, Worker: p.Worker,
		})
	}
	if len(w.batch.Starts) > 0 {
		// The transaction proves that the failure domain is still in.
		w.compares = append(w.compares, substrate.Compare{Key: domainKey(l.o.Domain), Revision: l.domain.revision})
	}
	l.takeReasons(w, plan)
	l.takeActions(plan, now)
}

// paced reports whether another start is allowed shortly after the failure
// domain came in.
func (l *leader) paced(now time.Time) bool {
	return l.domain.returned.IsZero() || now.Sub(l.domain.returned) > returnPeriod || l.domain.pace.AllowN(now, 1)
}

func newPace(timing Timing) *rate.Limiter {
	return rate.NewLimiter(rate.Limit(timing.StartPace), timing.StartPace)
}

// takeReasons remembers why tasks were not placed and fails those that never
// can be.
func (l *leader) takeReasons(w *work, plan Plan) {
	clear(l.reasons)
	for _, u := range plan.Unschedulable {
		l.reasons[u.Task] = u
		if _, pending := l.state.pending[u.Task]; pending && u.Never && len(w.batch.Fails) < maxFails {
			w.batch.Fails = append(w.batch.Fails, Fail{
				Job: u.Task.Job, Index: u.Task.Index, Detail: string(u.Reason) + ": " + shorten(u.Detail),
			})
		}
	}
}

// takeActions queues evictions and throttles for the agents.
func (l *leader) takeActions(plan Plan, now time.Time) {
	for _, e := range plan.Evictions {
		if v := l.holder(e.Attempt); v != nil {
			l.ask(v, e.Attempt, daisywallpb.Action_VERB_EVICT, now)
			l.deliver(v)
		}
	}
	for _, t := range plan.Throttles {
		if v := l.holder(t.Attempt); v != nil {
			v.outbox.add(&daisywallpb.Action{
				Attempt: api.FromAttempt(t.Attempt), Verb: daisywallpb.Action_VERB_THROTTLE, Share: t.Share,
			})
			l.deliver(v)
		}
	}
}

// holder returns the view of the worker that runs the attempt, or nil.
func (l *leader) holder(id structs.AttemptID) *view {
	if !l.isAssigned(id) {
		return nil
	}
	return l.views[l.state.assigned[id.Task].Worker]
}

// snapshot copies what the planner needs. The ends in the batch count as
// committed: they apply before the starts of the same log row.
func (l *leader) snapshot(w *work, now time.Time) *Snapshot {
	ending := make(map[structs.AttemptID]struct{}, len(w.batch.Ends))
	for _, e := range w.batch.Ends {
		ending[e.attempt()] = struct{}{}
	}
	s := &Snapshot{Cell: l.cell, Now: now, MaxStarts: l.rowLimit(maxStarts), Outcomes: slices.Clone(l.outcomes), Shares: l.shares()}
	room := l.quotaRoom()
	for _, t := range backlog(l.eligible(ending, now), room.has, maxPending) {
		id := t.ID()
		s.Pending = append(s.Pending, PendingTask{
			Task: id, Job: t.Job(), Attempts: t.Number, Checkpoint: t.Checkpoint,
			FailedOn: t.FailedOn, Waiting: now.Sub(l.pendingAt[id]),
		})
	}
	for _, v := range l.views {
		if v.incarnation != "" {
			s.Workers = append(s.Workers, l.workerView(v, ending, now))
		}
	}
	sort.Slice(s.Workers, func(i, k int) bool { return s.Workers[i].Worker.ID < s.Workers[k].Worker.ID })
	return s
}

// workerView computes what is free on a worker. An attempt that the worker
// reports as running but the cell does not hold counts as well.
func (l *leader) workerView(v *view, ending map[structs.AttemptID]struct{}, now time.Time) WorkerView {
	known := l.state.Workers[v.worker.ID]
	view := WorkerView{
		Worker: v.worker, Free: v.worker.Capacity, Leaving: v.leaving,
		Failed: int(v.failed), Finished: int(v.finished),
		Placeable: known != nil && known.Incarnation == v.incarnation && !v.leaving && !l.domain.out &&
			now.Sub(v.seen) < l.o.Timing.Grant*3/4 && now.Sub(v.rejected) > l.o.Timing.Heartbeat,
	}
	v.failed *= decayPerPlan
	v.finished *= decayPerPlan
	held := l.state.byWorker[v.worker.ID]
	for id, t := range held {
		attempt := structs.AttemptID{Task: id, Number: t.Number}
		if _, ends := ending[attempt]; ends {
			continue
		}
		view.Free = view.Free.Sub(t.job.Job.Resources)
		view.Residents = append(view.Residents, v.resident(attempt, t, now))
	}
	for id, r := range v.runs {
		if t, found := held[id.Task]; !over(r) && (!found || t.Number != id.Number) {
			view.Free = view.Free.Sub(api.ToResources(r.GetResources()))
		}
	}
	slices.SortFunc(view.Residents, func(a, b Resident) int { return compareTasks(a.Attempt.Task, b.Attempt.Task) })
	return view
}

// resident describes an attempt on the worker.
func (v *view) resident(id structs.AttemptID, t *Task, now time.Time) Resident {
	r := Resident{Attempt: id, Job: t.Job()}
	if run, reported := v.runs[id]; reported {
		r.Running = !over(run)
		r.Throttle = substrate.RunState(run.GetState()) == substrate.RunThrottled
		r.Progress = run.GetProgress()
	}
	if u, measured := v.usage[id]; measured {
		used := api.ToResources(u.GetResources())
		r.Usage, r.Latency = &used, u.GetLatencyMs()
		r.Measured = now.Sub(v.seen) + time.Duration(u.GetAgeMs())*time.Millisecond
	}
	_, r.Evicting = v.asked[id]
	return r
}
