package fleet

import (
	"context"
	"fmt"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Bounds of the time for which a job is set aside. A panic may also come from
// the operators' configuration, so the job is tried again and not given up.
const (
	setAsideMin = time.Second
	setAsideMax = time.Minute
)

// contain runs f and returns its panic as an error. f must not change state that
// other jobs depend on before it may panic.
func (l *leader) contain(operation string, f func()) (err error) {
	defer recoverAs(&err, operation, l.log)
	f()
	return nil
}

// setAside leaves the job out of the schedule for a while, after its handling
// has panicked. The next leader would panic as well, so the end of the
// leadership would not help the other jobs.
func (l *leader) setAside(j *job, cause error) {
	pause := min(setAsideMin<<min(j.panics, 10), setAsideMax)
	j.panics++
	j.setAsideUntil = l.o.Clock().Add(pause)
	l.log.Error("job set aside", zap.String("job", string(j.Spec.ID)), zap.String("queue", string(j.Spec.Queue)),
		zap.Int("panics", j.panics), zap.Duration("pause", pause), zap.Error(cause))
	l.metrics.count(l.metrics.setAside, "schedule")
}

// pendingDemands returns the demands of the open jobs that are not set aside.
func (l *leader) pendingDemands() []steps.Demand {
	now := l.o.Clock()
	var demands []steps.Demand
	for _, j := range l.unsettledJobs() {
		if now < j.setAsideUntil {
			continue
		}
		err := l.contain("pending tasks", func() {
			own := l.demandsOf([]*job{j})
			demands = append(demands, own...)
			j.settle(own)
		})
		if err != nil {
			l.setAside(j, err)
		}
	}
	l.removeSettledJobs()
	return demands
}

// plan returns the placements of the demands, or the panic of the placement
// policy.
func (l *leader) plan(ctx context.Context, views []*steps.Worker, demands []steps.Demand) (placements []steps.Placement, err error) {
	err = l.contain("plan", func() {
		steps.KeepIdleWherePoolIsFree(views, demands)
		l.requestMissingPermits(ctx, views, demands)
		placements = steps.PlanWithin(views, demands, l.interference, &l.continuation, l.newCycleBudget())
	})
	return placements, err
}

// setAsideJobsThatPanic sets aside the jobs of the demands whose placement
// panics even without the others. If there are none, the panic goes on and ends
// the leadership.
func (l *leader) setAsideJobsThatPanic(demands []steps.Demand, cause error) {
	var tried []structs.JobID
	found := false
	for i := range demands {
		id := demands[i].Job
		if slices.Contains(tried, id) {
			continue
		}
		tried = append(tried, id)
		j := l.jobs[id]
		err := l.contain("plan of one job", func() {
			own, views := l.demandsOf([]*job{j}), l.usableWorkerViews(l.o.Clock())
			steps.KeepIdleWherePoolIsFree(views, own)
			steps.Plan(views, own, l.interference)
		})
		if err != nil {
			found = true
			l.setAside(j, err)
		}
	}
	if !found {
		panic(fmt.Errorf("plan, and no single job is the cause: %w", cause))
	}
}
