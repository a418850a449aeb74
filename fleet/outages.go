package fleet

import (
	"cmp"
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// Limits of the log lines on long-running tasks that are not at work.
const (
	outageLogInterval = time.Second // time between two lines on one step, and shortest outage that is logged
	maxOutageLines    = 8           // steps that are logged in one interval
)

// steadyAfter is how long a run of a long-running task is at work before its
// outage is over. A worker that fails what it starts does so earlier.
const steadyAfter = time.Second

// initOutages begins an outage of every long-running task of a job that was
// accepted or restored.
//
// A new leader does not know how long a pending task has had no run. Tasks that
// have run are overdue at once.
func (j *job) initOutages(overdueAfter time.Duration) {
	j.outageSince = map[structs.StepTaskID]bootclock.Time{}
	j.runEndedAt = map[structs.StepTaskID]bootclock.Time{}
	if j.Final() || !j.Spec.LongRunning() {
		return
	}
	j.Tasks(func(id structs.StepTaskID, t *workflow.Task) {
		if !j.Step(id).LongRunning {
			return
		}
		j.outageSince[id] = j.acceptedAt
		if t.State == workflow.Pending && t.Run > 0 {
			j.runEndedAt[id] = j.acceptedAt.Add(-overdueAfter)
		}
	})
}

// beginOutage records that the run of a long-running task ended at a time, or
// was lost after it. The outage of a task whose run was not steadily at work goes
// on.
func (j *job) beginOutage(id structs.StepTaskID, endedAt bootclock.Time) {
	if !j.Step(id).LongRunning || j.Final() {
		return
	}
	_, isOut := j.outageSince[id]
	if !isOut {
		j.outageSince[id] = endedAt
	}
	if _, hasRun := j.runEndedAt[id]; !hasRun || !isOut {
		j.runEndedAt[id] = endedAt
	}
}

// endOutage ends the outage of the run's task once the run is steadily at work.
// This is also a success of the worker.
func (l *leader) endOutage(w *worker, r *run, now bootclock.Time) {
	since, found := r.job.outageSince[r.id.Task]
	if !found || !r.isSteady(now) {
		return
	}
	l.recordWorkerSuccess(w, r)
	restart := r.job.restartDelays[r.id.Task]
	delete(r.job.outageSince, r.id.Task)
	delete(r.job.restartDelays, r.id.Task)
	lasted := r.workingSince.Sub(since)
	l.metrics.outages.Record(context.Background(), lasted.Seconds())
	if lasted >= l.o.Timing.RestartLimit {
		l.log.Warn("long-running task is at work late", zap.Stringer("run", r.id), zap.Duration("after", lasted),
			zap.Int("failed_on", len(restart.failedOn)), zap.Bool("at_fault", restart.isAtFault()), zap.Duration("started_in", r.workingSince.Sub(r.assignedAt)))
	}
}

// isSteady reports whether the run belongs to a long-running task and has been
// at work for steadyAfter. r may be nil.
func (r *run) isSteady(now bootclock.Time) bool {
	return r != nil && r.job.Step(r.id.Task).LongRunning && r.workingSince != 0 && now.Sub(r.workingSince) >= steadyAfter
}

// outage describes a long-running step with tasks that are not at work.
type outage struct {
	job   *job
	step  structs.StepID
	tasks int
	since bootclock.Time // start of the longest outage
}

// openOutages returns the long-running steps with tasks that are not at work,
// the longest outage first.
func (l *leader) openOutages() []outage {
	var list []outage
	for _, j := range l.openJobs {
		byStep := map[structs.StepID]outage{}
		for id, since := range j.outageSince {
			o, found := byStep[id.StepID()]
			if !found || since < o.since {
				o.since = since
			}
			o.job, o.step, o.tasks = j, id.StepID(), o.tasks+1
			byStep[o.step] = o
		}
		for _, o := range byStep {
			list = append(list, o)
		}
	}
	slices.SortFunc(list, func(a, b outage) int {
		return cmp.Or(cmp.Compare(a.since, b.since), cmp.Compare(a.step.Job, b.step.Job), cmp.Compare(a.step.Step, b.step.Step))
	})
	return list
}

// reportOutages logs why long-running tasks are pending, for the longest
// outages, and updates the metric of the longest one.
func (l *leader) reportOutages(now bootclock.Time) {
	if now.Sub(l.outagesReportedAt) < outageLogInterval {
		return
	}
	l.outagesReportedAt = now
	open := l.openOutages()
	longest := time.Duration(0)
	if len(open) > 0 {
		longest = now.Sub(open[0].since)
	}
	l.metrics.longestOutage.Record(context.Background(), longest.Seconds())
	demands := map[structs.StepID]steps.Demand{}
	for _, d := range l.pendingDemands() {
		demands[structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}] = d
	}
	logged := 0
	var views []*steps.Worker
	for _, o := range open {
		d, pending := demands[o.step]
		if !pending || now.Sub(o.since) < outageLogInterval {
			continue
		}
		if logged == maxOutageLines {
			l.log.Info("further long-running tasks are pending", zap.Int("steps", len(open)-logged))
			return
		}
		if views == nil {
			views = l.usableWorkerViews(now)
		}
		l.logPending(o, d, views, now)
		logged++
	}
}

// logPending logs the workers on which a long-running step can't be placed.
func (l *leader) logPending(o outage, d steps.Demand, views []*steps.Worker, now bootclock.Time) {
	counts, bestFree := d.Exclusions(views, l.interference)
	excluded := map[string]int{}
	for reason, n := range counts {
		excluded[string(reason)] = n
	}
	for _, w := range l.workers {
		switch reason := l.unusableReason(w, now); {
		case reason != "":
			excluded[reason]++
		case !l.isConfigCurrent():
			excluded["configuration too old"]++
		case l.drained(w.domain):
			excluded["domain drained"]++
		}
	}
	l.log.Info("long-running tasks are pending", zap.String("job", string(d.Job)), zap.Int32("step", d.Step), zap.Int("pending", len(d.Tasks)),
		zap.Int("delayed", d.DelayedTasks()), zap.Int("not_at_work", o.tasks), zap.Duration("for", now.Sub(o.since)), zap.Int("priority", d.Priority),
		zap.Int64("milli_cpu", d.Spec.Resources.MilliCPU), zap.Int64("memory_mb", d.Spec.Resources.MemoryMB),
		zap.Any("excluded", excluded), zap.Int64("best_free_milli_cpu", bestFree), zap.Int("workers", len(l.workers)),
		zap.Bool("commit_in_flight", l.commitInFlight))
}
