package placement

import (
	"sort"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// candidate is a pending task prepared for placement.
type candidate struct {
	task     *Task
	class    int
	service  int               // number of a service class at its band, -1 for batch
	need     structs.Resources // to commit
	use      structs.Resources // expected
	slack    time.Duration
	order    time.Duration // smaller goes first
	limit    float64       // accepted growth of a service's tail latency
	critical bool          // without slack, may preempt
	forced   bool          // has waited so long that probing limits no longer hold
	avoid    structs.WorkerID
	spread   *spread
}

// candidates prepares the pending tasks and returns them in the order in which
// they are placed: services, then least slack first, aged by waiting time.
func (r *round) candidates() []candidate {
	list := make([]candidate, 0, len(r.snapshot.Pending))
	for i := range r.snapshot.Pending {
		list = append(list, r.candidate(&r.snapshot.Pending[i]))
	}
	sort.SliceStable(list, func(i, j int) bool { return before(&list[i], &list[j]) })
	return list
}

func before(a, b *candidate) bool {
	aService, bService := a.task.Kind == structs.WorkService, b.task.Kind == structs.WorkService
	if aService != bService {
		return aService
	}
	if a.order != b.order {
		return a.order < b.order
	}
	if a.task.ID.Job != b.task.ID.Job {
		return a.task.ID.Job < b.task.ID.Job
	}
	return a.task.ID.Index < b.task.ID.Index
}

func (r *round) candidate(t *Task) candidate {
	class := r.classes.class(t.Class)
	s := r.classes.size(class, t.Resources)
	c := candidate{
		task:    t,
		class:   class,
		service: -1,
		need:    s.reserve,
		use:     s.usage,
		slack:   r.slack(t.TimeLeft, t.HasDeadline, t.Class, t.RunTime, t.Progress),
		spread:  r.jobs[t.ID.Job],
	}
	if a, found := r.plan.Memory.Avoided[t.ID]; found && a.Until > r.snapshot.Now {
		c.avoid = a.Worker
	}
	if t.Kind == structs.WorkService {
		c.service = r.classes.service(class, r.estimates.Band(t.Class, structs.Resources{}))
	}
	c.critical = t.Kind == structs.WorkService || (t.HasDeadline && t.TimeLeft > 0 && c.slack < r.options.CriticalSlack)
	c.forced = t.Waited > r.options.RelaxAfter || c.critical
	c.limit = r.limit(t, c.critical)
	floored := max(c.slack, -r.options.CriticalSlack)
	if t.HasDeadline && t.TimeLeft <= 0 {
		// The deadline has passed: what can still be in time goes first.
		floored = r.options.OpenSlack
	}
	c.order = floored - time.Duration(r.options.AgeFactor*float64(t.Waited))
	return c
}

// slack returns the time that work may still wait before its deadline is in
// danger.
func (r *round) slack(left time.Duration, hasDeadline bool, class string, declared time.Duration, progress float64) time.Duration {
	if !hasDeadline {
		return r.options.OpenSlack
	}
	total := r.estimates.RunTime(class, declared)
	return left - time.Duration(float64(total)*(1-progress))
}

// criticalHarmFactor is how much more harm is accepted for the sake of a
// deadline.
const criticalHarmFactor = 2

// limit returns the accepted growth of a service's tail latency. It grows with
// the time waited, so that no task waits forever for a quiet worker.
func (r *round) limit(t *Task, critical bool) float64 {
	limit := r.options.HarmLimit
	if critical {
		limit *= criticalHarmFactor
	}
	if over := t.Waited - r.options.RelaxAfter; over > 0 {
		limit *= 1 + float64(over)/float64(r.options.RelaxAfter)
	}
	return limit
}

// distinct returns the number of different workers in the list.
func distinct(workers []structs.WorkerID) int {
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
