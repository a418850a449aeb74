package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

const (
	copyInterval = 200 * time.Millisecond // time between two searches for tasks to copy
	// copyPauseAfterPanic is how long no copies are made after their selection has
	// panicked. No job needs copies to go on.
	copyPauseAfterPanic = time.Minute
	maxStepRunTimes     = 64 // run times that are kept of a step
	// maxCopyStartDelay is the longest time from the order of a run of a task that
	// may be done already until the run starts. The platform allows 1 s after the
	// end "done" of another run; the rest is for the callback of the commit.
	maxCopyStartDelay = 600 * time.Millisecond
)

// mayCopy reports whether a step of the job may have copies.
func mayCopy(spec *structs.StepJob) bool {
	for i := range spec.Steps {
		if workflow.MayCopy(&spec.Steps[i]) {
			return true
		}
	}
	return false
}

// makeCopies assigns copies of speculative tasks to workers. It runs after the
// pending tasks of the demands were placed on the views; views may be nil. Like
// other runs, the copies are ordered once they are stored.
func (l *leader) makeCopies(views []*steps.Worker, demands []steps.Demand, placements []steps.Placement) {
	now := l.o.Clock()
	if now < l.copiesDueAt {
		return
	}
	l.copiesDueAt = now.Add(l.workInterval(copyInterval, reducedSearches))
	var selected []steps.CopyPlacement
	if err := l.contain("copies", func() { selected = l.selectCopies(views, demands, placements, now) }); err != nil {
		l.copiesDueAt = now.Add(copyPauseAfterPanic)
		l.log.Error("no copies for a while: their selection panicked", zap.Duration("pause", copyPauseAfterPanic), zap.Error(err))
		l.metrics.count(l.metrics.setAside, "copies")
		return
	}
	for _, p := range selected {
		l.assignCopy(p)
	}
}

// selectCopies returns the copies to make. It changes only the views.
func (l *leader) selectCopies(views []*steps.Worker, demands []steps.Demand, placements []steps.Placement, now bootclock.Time) []steps.CopyPlacement {
	var candidates []steps.CopyStep
	pools := map[structs.PoolID]steps.CopyPool{}
	hasCandidate := false
	for _, j := range l.openJobs {
		if !j.mayCopy || j.Final() || now < j.setAsideUntil {
			continue
		}
		queue := l.queueOf(j)
		l.addUsedByCopies(pools, j, queue.Pool)
		if queue.Permits.Required() {
			continue
		}
		j.ReadySteps(l.o.WallClock(), func(round, step int32, tasks []workflow.Task) {
			if workflow.MayCopy(&j.Spec.Steps[step]) {
				c := l.copyStep(j, queue, structs.StepID{Job: j.Spec.ID, Round: round, Step: step}, tasks, now)
				hasCandidate = hasCandidate || c.Pending == 0 && len(c.Runs) > 0
				candidates = append(candidates, c)
			}
		})
	}
	if !hasCandidate {
		return nil
	}
	if views == nil {
		views = l.usableWorkerViews(now)
	}
	addPendingPriorities(pools, demands, placements)
	return steps.Copies(views, candidates, pools, speedsOf(views))
}

// speedsOf returns the speeds of the workers.
func speedsOf(views []*steps.Worker) map[structs.WorkerID]float64 {
	speeds := make(map[structs.WorkerID]float64, len(views))
	for _, v := range views {
		speeds[v.ID] = v.Speed
	}
	return speeds
}

// addUsedByCopies adds what the copies of the job reserve.
func (l *leader) addUsedByCopies(pools map[structs.PoolID]steps.CopyPool, j *job, pool structs.PoolID) {
	if !j.hasHadCopies {
		return
	}
	j.Tasks(func(id structs.StepTaskID, t *workflow.Task) {
		if t.Copy != nil {
			p := pools[pool]
			p.Used = p.Used.Add(j.reservedBy(id))
			pools[pool] = p
		}
	})
}

// addPendingPriorities adds the highest priority of the tasks that were not
// placed.
func addPendingPriorities(pools map[structs.PoolID]steps.CopyPool, demands []steps.Demand, placements []steps.Placement) {
	placed := map[structs.StepID]int{}
	for _, p := range placements {
		placed[p.Task.StepID()]++
	}
	for i := range demands {
		d := &demands[i]
		if len(d.Tasks) <= placed[structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}] {
			continue
		}
		priority := d.Priority
		if len(d.Overdue) > 0 {
			priority = -1 // goes before the work of all priorities
		}
		p := pools[d.Pool]
		if !p.HasPending || priority < p.PendingPriority {
			p.HasPending, p.PendingPriority = true, priority
		}
		pools[d.Pool] = p
	}
}

// copyStep describes a step for the selection of copies.
func (l *leader) copyStep(j *job, queue structs.Queue, step structs.StepID, tasks []workflow.Task, now bootclock.Time) steps.CopyStep {
	c := steps.CopyStep{
		Demand: steps.Demand{
			Job: step.Job, Round: step.Round, Step: step.Step, Spec: &j.Spec.Steps[step.Step], Pool: queue.Pool, Priority: queue.Priority,
			Slack: l.slack(j, queue), Placed: map[structs.WorkerID]int32{},
		},
		Ended: j.doneRunTimes[step],
	}
	if e := l.predictRunTime(j, step.Step); e.Observations > 0 {
		c.RunTime = e.Median
	}
	for i := range tasks {
		id := structs.StepTaskID{Job: step.Job, Round: step.Round, Step: step.Step, Index: int32(i)}
		t := &tasks[i]
		switch {
		case t.State == workflow.Pending:
			c.Pending++
		case t.State != workflow.Assigned:
		case t.Copy != nil:
			c.Copies++
			c.Placed[t.Worker]++
			c.Placed[t.Copy.Worker]++
		default:
			c.Placed[t.Worker]++
			c.Runs = append(c.Runs, l.copyCandidate(j, id, t, now))
			l.avoidWorkers(&c.Demand, j, id.Index)
		}
	}
	l.addEndingRuns(&c.Demand, j)
	return c
}

// copyCandidate describes the only run of a task.
func (l *leader) copyCandidate(j *job, id structs.StepTaskID, t *workflow.Task, now bootclock.Time) steps.CopyCandidate {
	candidate := steps.CopyCandidate{Index: id.Index, Worker: t.Worker, Excluded: !j.CanCopy(id)}
	w := l.workers[t.Worker]
	if w == nil {
		return candidate
	}
	candidate.FailureDomain = w.domain
	r := w.runs[structs.RunID{Task: id, Number: t.Run}]
	if r == nil || r.startedAt == 0 || r.isEnding() || !w.ready || now.Sub(w.listedAt) > l.o.Timing.SessionTimeout ||
		w.listedAt.Sub(r.ratedSince) < rateWindow {
		return candidate
	}
	candidate.Progress = stepRun{w, r}.progress()
	if t.Checkpoint == "" {
		candidate.Progress.RedoneOnRestart = float64(r.percent) / 100 // a copy starts from the stored checkpoint only
	}
	return candidate
}

// addEndingRuns adds the runs that are being stopped, because another run of their
// task was done, to those that count for MaxPerWorker. After a leader change they
// are not assigned any more.
func (l *leader) addEndingRuns(d *steps.Demand, j *job) {
	if d.Spec.MaxPerWorker <= 0 || !workflow.MayCopy(d.Spec) {
		return
	}
	step := structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
	add := func(w *worker, ending int32) {
		if d.Placed == nil {
			d.Placed = map[structs.WorkerID]int32{}
		}
		d.Placed[w.id] += ending
	}
	for _, w := range l.workers {
		if ending := w.unassignedSteps[step]; ending > 0 {
			add(w, ending)
		}
	}
	if !j.hasHadCopies {
		return
	}
	for _, r := range j.sortedRuns() {
		if r.id.Task.StepID() == step && j.Task(r.id.Task).State == workflow.Done {
			add(r.worker, 1)
		}
	}
}

// assignCopy assigns a copy of a task to a worker, and orders its start once the
// copy is stored.
func (l *leader) assignCopy(p steps.CopyPlacement) {
	j, w := l.jobs[p.Task.Job], l.workers[p.Worker]
	first := j.Runs(p.Task)
	id, ok := j.AssignCopy(p.Task, w.id, w.incarnation)
	if !ok {
		return
	}
	j.hasHadCopies = true
	r := w.assign(id, w.incarnation, j)
	r.assignedAt = l.o.Clock()
	w.assignedAt = r.assignedAt
	l.markDirty(j, func() {
		r.stored = true
		l.orderStart(w, r)
		if r.startOrderNumber != pendingOrder {
			return // it may not start any more
		}
		l.log.Info("copy started", zap.Stringer("run", id), zap.String("worker", string(w.id)), zap.Stringer("beside", first[0].Run),
			zap.String("first_worker", string(first[0].Worker)), zap.Duration("expected_end", p.ExpectedEnd), zap.Duration("copy_end", p.CopyEnd))
		l.metrics.count(l.metrics.copies, string(j.Spec.Queue))
	}, nil)
}

// finishTask marks the task of a finished run as done, and stops its other run.
func (l *leader) finishTask(j *job, id structs.RunID, r *run) bool {
	if j.IsIsolated(id.Task) || j.Step(id.Task).Gang {
		defer j.isolationChanged() // the end clears the tasks of crashes
	}
	if !workflow.MayCopy(j.Step(id.Task)) {
		return j.Finish(id)
	}
	runs, isCopy, isResumed := j.Runs(id.Task), j.IsCopy(id), j.Task(id.Task).Checkpoint != ""
	if !j.Finish(id) {
		return false
	}
	if !isResumed {
		j.recordRunTime(id.Task, r.fullRunTime(j.Step(id.Task), l.o.Clock()))
	}
	if isCopy {
		l.log.Info("copy won", zap.Stringer("run", id), zap.Stringer("beside", runs[0].Run))
		l.metrics.count(l.metrics.copiesWon, string(j.Spec.Queue))
	}
	for _, other := range runs {
		if w := l.workers[other.Worker]; other.Run != id && w != nil && w.runs[other.Run] != nil {
			l.stop(w, w.runs[other.Run], "task is done")
		}
	}
	return true
}

// recordRunTime records how long the run of a task took that is done.
func (j *job) recordRunTime(id structs.StepTaskID, took time.Duration) {
	if took <= 0 {
		return
	}
	if j.doneRunTimes == nil {
		j.doneRunTimes = map[structs.StepID][]time.Duration{}
	}
	if times := j.doneRunTimes[id.StepID()]; len(times) < maxStepRunTimes {
		j.doneRunTimes[id.StepID()] = append(times, took)
	}
}

// hasTwoRuns reports whether the run's task has another run.
func (r *run) hasTwoRuns() bool { return r.job.Task(r.id.Task).Copy != nil }

// startWithin returns how long after the worker's last list was sent the run may
// start at the latest, 0 for no limit. An earlier run of a task that may have
// copies can end "done" while the start is on its way. listAge is the time since
// the list arrived.
func (r *run) startWithin(listAge time.Duration) time.Duration {
	if r.id.Number <= 1 || !workflow.MayCopy(r.job.Step(r.id.Task)) {
		return 0
	}
	return listAge + maxCopyStartDelay
}
