package placement

import (
	"sort"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// candidate is a pending task prepared for placement.
type candidate struct {
	task               *Task
	class              int
	service            int               // number of the service class at its load band, -1 for batch work
	need               structs.Resources // resources to commit
	usage              structs.Resources // expected usage
	slack              time.Duration     // time that the task may wait without missing its deadline
	sortSlack          time.Duration     // slack less a multiple of the waiting time, by which candidates are sorted
	harmLimit          float64           // accepted relative growth of a service's tail latency
	critical           bool              // the task is a service or has little slack, so it may preempt batch work
	ignoresProbeLimits bool              // the limits on probing don't apply
	avoidedWorker      structs.WorkerID  // worker that evicted the task, empty if none is avoided
	spread             *jobSpread        // counts of the tasks of its job by place
}

// sortedCandidates prepares the pending tasks and returns them in the order of
// placement: services first, then by slack less a multiple of the waiting time.
func (r *cycle) sortedCandidates() []candidate {
	list := make([]candidate, 0, len(r.snapshot.Pending))
	for i := range r.snapshot.Pending {
		list = append(list, r.newCandidate(&r.snapshot.Pending[i]))
	}
	sort.SliceStable(list, func(i, j int) bool { return placedBefore(&list[i], &list[j]) })
	return list
}

func placedBefore(a, b *candidate) bool {
	aService, bService := a.task.Kind == structs.WorkService, b.task.Kind == structs.WorkService
	if aService != bService {
		return aService
	}
	if a.sortSlack != b.sortSlack {
		return a.sortSlack < b.sortSlack
	}
	if a.task.ID.Job != b.task.ID.Job {
		return a.task.ID.Job < b.task.ID.Job
	}
	return a.task.ID.Index < b.task.ID.Index
}

func (r *cycle) newCandidate(t *Task) candidate {
	class := r.classes.class(t.Class)
	demand := r.classes.demand(class, t.Resources)
	c := candidate{
		task:    t,
		class:   class,
		service: -1,
		need:    demand.reserve,
		usage:   demand.usage,
		slack:   r.slack(t.TimeLeft, t.HasDeadline, t.Class, t.RunTime, t.Progress),
		spread:  r.jobSpreads[t.ID.Job],
	}
	if a, found := r.plan.State.Avoided[t.ID]; found && a.Until > r.snapshot.Now {
		c.avoidedWorker = a.Worker
	}
	if t.Kind == structs.WorkService {
		c.service = r.classes.service(class, r.estimates.Band(t.Class, structs.Resources{}))
	}
	c.critical = t.Kind == structs.WorkService || (t.HasDeadline && t.TimeLeft > 0 && c.slack < r.options.CriticalSlack)
	c.ignoresProbeLimits = t.Waited > r.options.RelaxAfter || c.critical
	c.harmLimit = r.harmLimit(t, c.critical)
	sortBase := max(c.slack, -r.options.CriticalSlack)
	if t.HasDeadline && t.TimeLeft <= 0 {
		// Tasks that can still meet their deadline go before overdue ones.
		sortBase = r.options.NoDeadlineSlack
	}
	c.sortSlack = sortBase - time.Duration(r.options.AgeFactor*float64(t.Waited))
	return c
}

// slack returns the time that work may still wait without missing its deadline,
// given its estimated run time. It is NoDeadlineSlack without a deadline.
func (r *cycle) slack(timeLeft time.Duration, hasDeadline bool, class string, declared time.Duration, progress float64) time.Duration {
	if !hasDeadline {
		return r.options.NoDeadlineSlack
	}
	total := r.estimates.RunTime(class, declared)
	return timeLeft - time.Duration(float64(total)*(1-progress))
}

// criticalHarmFactor multiplies the harm limit of critical tasks.
const criticalHarmFactor = 2

// harmLimit returns the accepted relative growth of a service's tail latency.
// It grows with the waiting time, so that no task starves for lack of a worker
// where it does little harm.
func (r *cycle) harmLimit(t *Task, critical bool) float64 {
	accepted := r.options.HarmLimit
	if critical {
		accepted *= criticalHarmFactor
	}
	if over := t.Waited - r.options.RelaxAfter; over > 0 {
		accepted *= 1 + float64(over)/float64(r.options.RelaxAfter)
	}
	return accepted
}

// countDistinct returns the number of distinct workers in the list.
func countDistinct(workers []structs.WorkerID) int {
	count := 0
	for i, w := range workers {
		seen := false
		for _, earlier := range workers[:i] {
			seen = seen || earlier == w
		}
		if !seen {
			count++
		}
	}
	return count
}
