package fleet

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// jobBacklog is the part of the backlog that belongs to a job.
type jobBacklog struct {
	load      steps.JobLoad
	left      float64        // work in the backlog, in processor seconds
	lateAt    bootclock.Time // when the job becomes late
	isLate    bool
	predicted time.Duration // predicted time from the acceptance to the end, 0 if it is not known
}

// fillUseByQueue returns the thousandths of a processor that the filling runs of
// each queue have declared.
func (l *leader) fillUseByQueue() map[structs.QueueID]int64 {
	inUse := map[structs.QueueID]int64{}
	for _, w := range l.workers {
		for _, r := range w.runs {
			if step := r.job.Step(r.id.Task); step.Fills && !step.LongRunning {
				inUse[r.job.Spec.Queue] += step.Resources.MilliCPU
			}
		}
	}
	return inUse
}

// loadOf returns the load of a job, and false for one that has no end or that
// repeats on a schedule.
func loadOf(j *workflow.Job, queue structs.Queue) (steps.JobLoad, bool) {
	if j.Spec.LongRunning() || j.Spec.Schedule.Rounds > 0 {
		return steps.JobLoad{}, false
	}
	load := steps.JobLoad{Pool: queue.Pool, Priority: queue.Priority, Work: j.RemainingWork(), CriticalPath: j.CriticalPath()}
	load.Objective = objective(queue, load.CriticalPath)
	for i := range j.Spec.Steps {
		load.Fills = load.Fills || j.Spec.Steps[i].Fills
	}
	return load, true
}

// addToBacklog adds the work of a job that was accepted or restored.
func (l *leader) addToBacklog(j *job) {
	load, counts := loadOf(j.Job, j.Queue)
	if !counts || j.Final() {
		return
	}
	load.HasReturned = j.hasReturned
	j.backlog.load, j.backlog.left, j.backlog.lateAt = load, load.Work, j.acceptedAt.Add(load.Objective)
	l.backlog.Accept(load)
}

// updateBacklog subtracts the work of the job that is done since the last call, or
// all of it once the job is over.
func (l *leader) updateBacklog(j *job) {
	b := &j.backlog
	if b.left <= 0 {
		return
	}
	now := time.Duration(l.o.Clock())
	left := j.RemainingWork()
	if done := b.left - left; done > 0 {
		l.backlog.Finish(b.load, done, b.isLate, now)
		b.left = left
	}
	if !j.Final() {
		return
	}
	l.backlog.Withdraw(b.load, b.left, b.isLate)
	b.left = 0
	if took := l.o.Clock().Sub(j.acceptedAt); b.predicted > 0 && took > 0 && j.Phase() == structs.JobCompleted {
		l.metrics.jobPrediction.Record(context.Background(), b.predicted.Seconds()/took.Seconds(),
			metric.WithAttributes(attribute.String("by", string(j.Spec.Queue))))
	}
}

// removeFromBacklog subtracts the work of a job that was not stored.
func (l *leader) removeFromBacklog(j *job) {
	l.backlog.Withdraw(j.backlog.load, j.backlog.left, j.backlog.isLate)
	j.backlog.left = 0
}

// markLateJobs records in the backlog which jobs have become late.
func (l *leader) markLateJobs(now bootclock.Time) {
	for _, j := range l.openJobs {
		if b := &j.backlog; b.left > 0 && !b.isLate && now > b.lateAt {
			b.isLate = true
			l.backlog.MarkLate(b.load, b.left)
		}
	}
}

// observePools records which pools have pending tasks after a scheduling cycle.
// The views contain the placements. They are kept for the decision whether a pool
// has room for a new job, which therefore comes after the pending ones.
func (l *leader) observePools(views []*steps.Worker, demands []steps.Demand, placements []steps.Placement, now bootclock.Time) {
	l.lastViews = views
	pending := l.pendingTasks(demands, placements)
	for _, pool := range l.backlog.Pools() {
		inUse := int64(0)
		for _, v := range views {
			if v.Pool == pool {
				inUse += v.Reserved.MilliCPU + v.FillMilliCPU - v.LongRunning.MilliCPU
			}
		}
		l.backlog.Observe(pool, pending[pool] > 0, float64(inUse)/1000, time.Duration(now))
	}
}

// pendingTasks returns the number of tasks of each pool, without long-running ones,
// for which a scheduling cycle has found no room.
func (l *leader) pendingTasks(demands []steps.Demand, placements []steps.Placement) map[structs.PoolID]int {
	pending := map[structs.PoolID]int{}
	pools := map[structs.JobID]structs.PoolID{}
	for i := range demands {
		if d := &demands[i]; !d.Spec.LongRunning {
			pending[d.Pool] += len(d.Tasks)
			pools[d.Job] = d.Pool
		}
	}
	for pool, tasks := range l.continuation.UnreachedTasks() {
		pending[pool] -= tasks // the pool may have room for them
	}
	for _, p := range placements {
		if pool, found := pools[p.Task.Job]; found {
			pending[pool]--
		}
	}
	return pending
}

// hasRoom reports whether a task of the job could have started in the last
// scheduling cycle, after those that were pending.
func (l *leader) hasRoom(j *workflow.Job, queue structs.Queue) bool {
	for i := range j.Spec.Steps {
		step := &j.Spec.Steps[i]
		if len(step.After) > 0 {
			continue
		}
		d := steps.Demand{Job: j.Spec.ID, Step: int32(i), Spec: step, Pool: queue.Pool, Priority: queue.Priority, Tasks: []int32{0}}
		if len(steps.Candidates(l.lastViews, d, l.interference, 1)) > 0 {
			return true
		}
	}
	return false
}

// refuseHopeless decides whether a new job is refused because it would certainly
// be worth nothing at its end, and returns after which time its caller should come
// back. hasReturned is set for a job that is back at that time.
func (l *leader) refuseHopeless(j *workflow.Job, queue structs.Queue) (retryAfter time.Duration, refused, hasReturned bool) {
	load, counts := loadOf(j, queue)
	if !l.o.RefuseHopeless || !counts {
		return 0, false, false
	}
	now := time.Duration(l.o.Clock())
	retryAfter, refused, hasReturned = l.backlog.Refuse(j.Spec.ID, load, now, func() bool {
		hasRoom := true
		if err := l.contain("room for a job", func() { hasRoom = l.hasRoom(j, queue) }); err != nil {
			return true // the job is set aside if its placement panics too
		}
		return hasRoom
	})
	if refused {
		l.log.Info("job refused: it would end too late", zap.String("job", string(j.Spec.ID)), zap.String("queue", string(j.Spec.Queue)),
			zap.Duration("retry_after", retryAfter), zap.Duration("objective", load.Objective))
		l.metrics.count(l.metrics.refusedJobs, "overload")
	}
	return retryAfter, refused, hasReturned
}

// predictEnd records the predicted end of a new job.
func (l *leader) predictEnd(j *job) {
	load, counts := loadOf(j.Job, j.Queue)
	if !counts || j.hasReturned {
		return
	}
	if p, known := l.backlog.Predict(load, time.Duration(l.o.Clock())); known {
		j.backlog.predicted = p.End
	}
}
