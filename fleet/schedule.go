package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// drained reports whether operators have taken the failure domain out. Without
// a configuration nothing is known, and nothing starts.
func (l *leader) drained(domain structs.FailureDomainID) bool {
	c, _ := l.config.Current()
	if c == nil {
		return true
	}
	_, out := c.Drained[domain]
	return out
}

// schedule assigns pending tasks to workers. What it assigns is ordered once
// the commit that follows is stored.
func (l *leader) schedule(ctx context.Context) {
	l.order = slices.DeleteFunc(l.order, func(j *job) bool { return j.Over() })
	demands := l.demands()
	if len(demands) == 0 {
		return
	}
	views := l.usableViews(l.o.Clock())
	if len(views) == 0 {
		return
	}
	l.askPermits(ctx, views, demands)
	for _, p := range steps.Plan(views, demands, l.interference) {
		l.start(p)
	}
}

func compareWorkers(a, b structs.WorkerID) int {
	if a < b {
		return -1
	}
	if a > b {
		return 1
	}
	return 0
}

// view sums up what the worker runs for the policy.
func (l *leader) view(w *worker) *steps.Worker {
	v := &steps.Worker{
		ID: w.id, FailureDomain: w.domain, Rack: w.rack, Pool: w.pool, Labels: w.labels,
		Capacity: w.capacity, Distrust: w.record.distrust(l.o.Clock()), Serving: map[string]int{},
	}
	for _, r := range w.runs {
		step := r.job.Step(r.run.Task)
		need := step.Resources
		if step.Fills {
			v.Fills += need.MilliCPU
			need.MilliCPU = 0
		}
		v.Reserved = v.Reserved.Add(need)
		if step.LongRunning {
			v.Services += need.MilliCPU
		}
		if step.LatencyTarget > 0 {
			v.Serving[step.Image]++
		}
	}
	return v
}

// demands lists the steps that may run now and have pending tasks.
func (l *leader) demands() []steps.Demand {
	wall := l.o.Wall()
	var demands []steps.Demand
	for _, j := range l.order {
		queue := l.queue(j)
		j.ReadySteps(wall, func(round, step int32, tasks []workflow.Task) {
			d := steps.Demand{
				Job: j.Spec.ID, Round: round, Step: step, Spec: &j.Spec.Steps[step],
				Pool: queue.Pool, Priority: queue.Priority, Slack: l.slack(j, queue),
			}
			for i := range tasks {
				switch tasks[i].State {
				case workflow.Pending:
					d.Tasks = append(d.Tasks, int32(i))
					l.avoid(&d, j, int32(i))
				case workflow.Assigned:
					if d.Placed == nil {
						d.Placed = map[structs.WorkerID]int32{}
					}
					d.Placed[tasks[i].Worker]++
				}
			}
			if len(d.Tasks) > 0 {
				d.Waited = l.o.Clock().Sub(j.placedAt)
				demands = append(demands, d)
			}
		})
	}
	return demands
}

// slack returns how long it is until the job is late. Declared run times are
// rough, but they tell short jobs from long ones.
func (l *leader) slack(j *job, queue structs.Queue) time.Duration {
	objective := time.Duration(queue.Stretch*float64(j.chain)) + queue.Aim
	return objective - l.o.Clock().Sub(j.acceptedAt)
}

func (l *leader) avoid(d *steps.Demand, j *job, index int32) {
	id := structs.StepTaskID{Job: j.Spec.ID, Round: d.Round, Step: d.Step, Index: index}
	if failed := j.failedOn[id]; len(failed) > 0 {
		if d.Avoid == nil {
			d.Avoid = map[int32][]structs.WorkerID{}
		}
		d.Avoid[index] = failed
	}
}

// start assigns a task and orders it once that is stored.
func (l *leader) start(p steps.Placement) {
	j := l.jobs[p.Task.Job]
	w := l.workers[p.Worker]
	id, ok := j.Assign(p.Task, w.id, w.incarnation)
	if !ok {
		return
	}
	j.placedAt = l.o.Clock()
	r := w.assign(id, w.incarnation, j)
	l.touch(j, func() {
		r.stored = true
		l.orderStart(w, r)
	}, nil)
}

// orderStart tells the worker to start an assigned run, if it still should.
func (l *leader) orderStart(w *worker, r *run) {
	if w.runs[r.run] != r || w.incarnation != r.incarnation || w.session == nil {
		return
	}
	if r.job.Obsolete(r.run) != "" || w.draining || l.drained(w.domain) || r.stopping != "" {
		l.release(w, r, "not started", "")
		return
	}
	permit, permitted := l.permitFor(w, r)
	if !permitted {
		l.release(w, r, "no permit", "")
		return
	}
	step := r.job.Step(r.run.Task)
	checkpoint := r.job.Task(r.run.Task).Checkpoint
	l.log.Info("start", zap.Stringer("run", r.run), zap.String("worker", string(w.id)), zap.String("domain", string(w.domain)),
		zap.String("checkpoint", checkpoint), zap.Int("beside", len(w.runs)-1), zap.Duration("list_age", l.o.Clock().Sub(w.listedAt)))
	l.metrics.count(l.metrics.starts, string(r.job.Spec.Queue))
	w.outbox.starts = append(w.outbox.starts, &fleetpb.Start{
		Run: runToProto(r.run), Payload: r.job.Spec.Payload, Checkpoint: checkpoint,
		Fills: step.Fills, LatencyTargetMs: step.LatencyTarget.Milliseconds(), Permit: permit,
	})
	r.ordered = pendingOrder
}

// pendingOrder marks a start that the next orders carry.
const pendingOrder = int64(1) << 62
