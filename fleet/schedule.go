package fleet

import (
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// isConfigCurrent reports whether the configuration is new enough to show the
// drain of a failure domain in time.
func (l *leader) isConfigCurrent() bool {
	c, age := l.config.Current()
	return c != nil && age <= l.o.Timing.MaxConfigAge
}

// drained reports whether operators may have drained the failure domain. Without
// a current configuration it returns true, so that nothing starts: the process
// may have been paused, or have lost the store.
func (l *leader) drained(domain structs.FailureDomainID) bool {
	if !l.isConfigCurrent() {
		return true
	}
	c, _ := l.config.Current()
	_, out := c.Drained[domain]
	return out
}

// queueOf returns the current configuration of the job's queue, or the one at
// its acceptance if the queue was removed.
func (l *leader) queueOf(j *job) structs.Queue {
	c, _ := l.config.Current()
	return j.queueIn(c)
}

// queueIn returns the configuration of the job's queue in c, or the one at its
// acceptance if c is nil or lacks the queue.
func (j *job) queueIn(c *structs.FleetConfig) structs.Queue {
	if c != nil {
		if q, found := c.Queues[j.Spec.Queue]; found {
			return q
		}
	}
	return j.Queue
}

// schedule assigns pending tasks to workers, and then copies of tasks that run,
// and moves throttled filling runs.
// The workers get the orders once the next commit has stored the assignments.
func (l *leader) schedule(ctx context.Context) {
	begun := l.o.Clock()
	l.removeFinalJobs()
	pending := l.pendingDemands()
	demands := steps.DeferNewServices(pending)
	views := l.lastViews
	var placements []steps.Placement
	if len(demands) > 0 {
		if views = l.usableWorkerViews(l.o.Clock()); len(views) == 0 {
			return
		}
		if l.o.QueueShares {
			steps.MarkOverShare(demands, l.fillUseByQueue())
		}
		var err error
		if placements, err = l.plan(ctx, views, demands); err != nil {
			l.setAsideJobsThatPanic(demands, err)
			return
		}
	}
	if len(demands) == 0 {
		l.continuation = steps.Continuation{}
	}
	l.observePools(views, demands, placements, l.o.Clock())
	if len(demands) == 0 {
		views, l.lastViews = nil, nil
	}
	for _, p := range placements {
		l.assignTask(p)
	}
	for _, v := range views {
		l.makeRoom(v)
	}
	l.makeCopies(views, pending, placements)
	l.makeMoves(views, pending, placements)
	if len(demands) > 0 {
		l.recordCycle(l.o.Clock().Sub(begun))
	}
}

func compareWorkerIDs(a, b structs.WorkerID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// demandsOf returns the steps of the jobs that may run now and have pending
// tasks.
func (l *leader) demandsOf(jobs []*job) []steps.Demand {
	wall, now := l.o.WallClock(), l.o.Clock()
	config, _ := l.config.Current()
	var demands []steps.Demand
	for _, j := range jobs {
		queue := j.queueIn(config)
		first, hasRun := len(demands), false
		j.ReadySteps(wall, func(round, step int32, tasks []workflow.Task) {
			if !slices.ContainsFunc(tasks, isPending) {
				hasRun = hasRun || slices.ContainsFunc(tasks, isAssigned)
				j.clearPendingSince(step)
				return
			}
			d := steps.Demand{
				Job: j.Spec.ID, Round: round, Step: step, Spec: &j.Spec.Steps[step],
				Pool: queue.Pool, Priority: queue.Priority, Slack: l.slack(j, queue), Objective: j.objective(queue), RemainingWork: l.remainingWork(j, now),
			}
			d.HasReturned = j.hasReturned
			if l.o.PlaceBySpeed {
				l.addSpeedFacts(&d, j, now)
			}
			if l.o.QueueShares && d.Spec.Fills {
				d.Share = steps.QueueShare{Queue: j.Spec.Queue, TotalWork: j.TotalWork()}
			}
			for i := range tasks {
				id := structs.StepTaskID{Job: d.Job, Round: round, Step: step, Index: int32(i)}
				switch tasks[i].State {
				case workflow.Pending:
					d.Tasks = append(d.Tasks, id.Index)
					l.avoidWorkers(&d, j, id.Index)
					l.delayTask(&d, j, id, now)
					if _, stopped := j.stoppedAt[id]; stopped {
						d.MarkStopped(id.Index)
					}
					if j.IsIsolated(id) {
						d.MarkIsolated(id.Index)
					}
					if now < j.heldUntil[id] {
						d.MarkHeld(id.Index)
					}
					if j.NeedsStableWorker(id) {
						d.MarkNeedsStable(id.Index)
					}
				case workflow.Assigned:
					hasRun = true
					if d.Placed == nil {
						d.Placed = map[structs.WorkerID]int32{}
					}
					d.Placed[tasks[i].Worker]++
					if c := tasks[i].Copy; c != nil {
						d.Placed[c.Worker]++
					}
				}
			}
			l.addEndingRuns(&d, j)
			d.Waited = now.Sub(j.lastAssignedAt)
			if d.Spec.LongRunning {
				d.Waited = j.longestOutage(&d, now)
				j.putLostTasksFirst(&d)
				l.markOverdue(&d, j, now)
			}
			if retries, found := j.takeRetries(&d); found {
				demands = append(demands, retries)
			}
			demands = append(demands, d)
		})
		isIdle := j.updateIdle(hasRun || len(demands) == first, now) >= l.o.Timing.idleAfter()
		for i := range demands[first:] {
			demands[first+i].IsIdle = isIdle
		}
	}
	return demands
}

func isPending(t workflow.Task) bool  { return t.State == workflow.Pending }
func isAssigned(t workflow.Task) bool { return t.State == workflow.Assigned }

// updateIdle records whether the job has a run or no task that may run, and
// returns for how long it has had tasks that may run and no run.
func (j *job) updateIdle(isBusy bool, now bootclock.Time) time.Duration {
	switch {
	case isBusy:
		j.idleSince = 0
		return 0
	case j.idleSince == 0:
		j.idleSince = now
	}
	return now.Sub(j.idleSince)
}

// longestOutage returns the longest time for which one of the demand's pending
// tasks has not been at work.
func (j *job) longestOutage(d *steps.Demand, now bootclock.Time) time.Duration {
	longest := time.Duration(0)
	for _, index := range d.Tasks {
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		if since, found := j.outageSince[id]; found {
			longest = max(longest, now.Sub(since))
		}
	}
	return longest
}

// putLostTasksFirst orders the pending tasks that have run before the others.
func (j *job) putLostTasksFirst(d *steps.Demand) {
	var lost, others []int32
	for _, index := range d.Tasks {
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		if _, hasRun := j.runEndedAt[id]; hasRun {
			lost = append(lost, index)
		} else {
			others = append(others, index)
		}
	}
	d.HasLostTasks = len(lost) > 0
	d.Tasks = slices.Concat(lost, others)
}

// delayTask adds the delay of a pending task to the demand.
func (l *leader) delayTask(d *steps.Demand, j *job, id structs.StepTaskID, now bootclock.Time) {
	l.blameWorkers(j, id)
	restart, found := j.restartDelays[id]
	if !found {
		return
	}
	d.MarkRestarted(id.Index, steps.Restart{
		FailedOn: restart.failedOn, IsDelayed: j.isRestartDelayed(id, now), IsAtFault: restart.isAtFault(), IsCrashLooping: j.isCrashLooping(id),
	})
}

// markOverdue marks the pending tasks whose last run ended too long ago. A task
// that has not run yet, or that fails wherever it runs, waits for room without
// stopping others.
func (l *leader) markOverdue(d *steps.Demand, j *job, now bootclock.Time) {
	for _, index := range d.Tasks {
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		if ended, found := j.runEndedAt[id]; found && now.Sub(ended) >= l.o.Timing.overdueAfter() &&
			(!j.isCrashLooping(id) || l.mayRunElsewhere(j, id, d.Pool, now)) {
			d.MarkOverdue(index)
		}
	}
}

// keepPosition records the slack that the job had when a run of a short task was
// assigned that has failed. Of several failed runs of a task the first one counts.
func (l *leader) keepPosition(j *job, id structs.StepTaskID, r *run) {
	if _, found := j.firstSlacks[id]; found || r == nil || r.assignedAt == 0 || j.Step(id).LongRunning {
		return
	}
	if j.firstSlacks == nil {
		j.firstSlacks = map[structs.StepTaskID]time.Duration{}
	}
	j.firstSlacks[id] = l.slack(j, l.queueOf(j)) + l.o.Clock().Sub(r.assignedAt)
}

// takeRetries sets FirstSlack in the demand of a late job whose pending tasks have
// failed before. If only some have, it moves them to a demand of their own, so that
// the others don't go first with them. The tasks of a demand that fills, or that
// limits the tasks on a worker, stay together, since its limits hold for all of them.
func (j *job) takeRetries(d *steps.Demand) (retries steps.Demand, found bool) {
	if len(j.firstSlacks) == 0 || d.Slack >= 0 {
		return steps.Demand{}, false
	}
	var failed, others []int32
	first := time.Duration(math.MinInt64)
	for _, index := range d.Tasks {
		slack, found := j.firstSlacks[structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}]
		if !found {
			others = append(others, index)
			continue
		}
		failed, first = append(failed, index), max(first, slack)
	}
	switch {
	case len(failed) == 0:
	case len(others) == 0 || d.Spec.Gang: // a gang has one attempt
		d.FirstSlack = &first
	case !d.Spec.Fills && d.Spec.MaxPerWorker == 0:
		retries = *d
		retries.Tasks, retries.FirstSlack = failed, &first
		d.Tasks = others
		return retries, true
	}
	return steps.Demand{}, false
}

// slack returns the time until the job is late. Declared run times are
// inaccurate, but good enough to distinguish short jobs from long ones.
func (l *leader) slack(j *job, queue structs.Queue) time.Duration {
	return j.objective(queue) - l.o.Clock().Sub(j.acceptedAt)
}

// objective returns the time that the job may take.
func (j *job) objective(queue structs.Queue) time.Duration { return objective(queue, j.criticalPath) }

func objective(queue structs.Queue, criticalPath time.Duration) time.Duration {
	return time.Duration(queue.Stretch*float64(criticalPath)) + queue.Aim
}

// avoidWorker lowers the score of a worker for a task.
func (j *job) avoidWorker(id structs.StepTaskID, w structs.WorkerID) {
	if !slices.Contains(j.failedOn[id], w) {
		j.failedOn[id] = append(j.failedOn[id], w)
	}
}

// avoidWorkers adds the workers on which the task has failed to the demand, which
// gives them a lower score, and the one from which it was moved. The latter does not
// count as a failure: a task that fails after a move counts against its worker.
func (l *leader) avoidWorkers(d *steps.Demand, j *job, index int32) {
	id := structs.StepTaskID{Job: j.Spec.ID, Round: d.Round, Step: d.Step, Index: index}
	avoided := j.failedOn[id]
	if moves, found := j.moves[id]; found {
		avoided = append(slices.Clip(avoided), moves.from)
	}
	if len(avoided) > 0 {
		if d.FailedOn == nil {
			d.FailedOn = map[int32][]structs.WorkerID{}
		}
		d.FailedOn[index] = avoided
	}
}

// assignTask assigns a task to a worker, and orders the start once the
// assignment is stored.
func (l *leader) assignTask(p steps.Placement) {
	j := l.jobs[p.Task.Job]
	w := l.workers[p.Worker]
	id, ok := j.Assign(p.Task, w.id, w.incarnation)
	if !ok {
		return
	}
	j.lastAssignedAt = l.o.Clock()
	if j.Step(p.Task).Fills {
		w.fillAssignedAt = j.lastAssignedAt
	}
	l.endStoppedWait(j, p.Task)
	r := w.assign(id, w.incarnation, j)
	r.assignedAt, r.startedForIdleJob = j.lastAssignedAt, p.IsIdle
	w.assignedAt = r.assignedAt
	l.recordSpeedChoice(p, w, r)
	if j.IsIsolated(p.Task) {
		w.trialAt = r.assignedAt
	}
	if w.health.quarantinedAt != 0 {
		w.health.trial = id
	}
	l.markDirty(j, func() {
		r.stored = true
		l.orderStart(w, r)
	}, nil)
}

// orderStart queues the order to start an assigned run. It releases the run if
// the run must not start any more.
func (l *leader) orderStart(w *worker, r *run) {
	if w.runs[r.id] != r || w.incarnation != r.incarnation || w.session == nil {
		return
	}
	if l.mustNotStart(w, r) {
		l.release(w, r, "not started", "")
		return
	}
	if !w.stillFits(r) {
		l.release(w, r, "capacity shrank", "")
		return
	}
	permit, permitted := l.permitFor(w, r)
	if !permitted {
		l.release(w, r, "no permit", "")
		return
	}
	step := r.job.Step(r.id.Task)
	checkpoint := r.job.Task(r.id.Task).Checkpoint
	l.log.Info("start", zap.Stringer("run", r.id), zap.String("worker", string(w.id)), zap.String("domain", string(w.domain)),
		zap.String("checkpoint", checkpoint), zap.Int("beside", len(w.runs)-1), zap.Duration("list_age", l.o.Clock().Sub(w.listedAt)))
	l.metrics.count(l.metrics.starts, string(r.job.Spec.Queue))
	w.outbox.starts = append(w.outbox.starts, &fleetpb.Start{
		Run: runToProto(r.id), Payload: r.job.Spec.Payload, Checkpoint: checkpoint,
		Fills: step.Fills, LatencyTargetMs: step.LatencyTarget.Milliseconds(), Permit: permit,
	})
	r.startOrderNumber, r.startOrderedAt = pendingOrder, 0
	if step.Fills {
		l.addEstimate(w, r)
	}
}

// pendingOrder is the startOrderNumber of a run whose start is in the outbox.
// It is higher than the number of any orders, so the worker has not seen the
// start.
const pendingOrder = int64(1) << 62
