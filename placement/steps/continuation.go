package steps

import (
	"cmp"
	"math"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// Continuation holds the demands that the last plan did not reach before its budget
// was spent. The next plan considers them before the others of their class. The zero
// value holds none.
type Continuation struct {
	unreached []unreachedDemand // in the order in which they were to be considered
}

type unreachedDemand struct {
	key         demandKey
	pool        structs.PoolID
	tasks       int
	longRunning bool
}

// demandKey identifies a demand in successive plans. A step may have several
// demands: its retries, its stopped tasks and the others.
type demandKey struct {
	step               structs.StepID
	isRetry, isStopped bool
}

func (d *Demand) key() demandKey {
	return demandKey{
		step:    structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step},
		isRetry: d.FirstSlack != nil, isStopped: len(d.Stopped) > 0,
	}
}

// Unreached returns the number of demands that the last plan did not reach.
func (c *Continuation) Unreached() int { return len(c.unreached) }

// UnreachedTasks returns the number of tasks, without long-running ones, that the
// last plan did not reach, by pool.
func (c *Continuation) UnreachedTasks() map[structs.PoolID]int {
	tasks := map[structs.PoolID]int{}
	for _, u := range c.unreached {
		if !u.longRunning {
			tasks[u.pool] += u.tasks
		}
	}
	return tasks
}

func (c *Continuation) add(d *Demand) {
	c.unreached = append(c.unreached, unreachedDemand{key: d.key(), pool: d.Pool, tasks: len(d.Tasks), longRunning: d.Spec.LongRunning})
}

// fillClass is the class of the filling demands.
const fillClass = math.MaxInt

// class returns the class of the demand in plans that continue others: overdue
// demands, then those that don't fill by priority, then those that fill. A pass over
// filling demands can take many plans, and the other classes must not wait for it.
func (d *Demand) class() int {
	if d.Spec.Fills && len(d.Overdue) == 0 {
		return fillClass
	}
	return d.effectivePriority()
}

// order puts the unreached demands before the others of their class, in the order
// of the last plan. Without unreached demands the order stays as it is.
func (c *Continuation) order(demands []*Demand) {
	if len(c.unreached) == 0 {
		return
	}
	positions := make(map[demandKey]int, len(c.unreached))
	for i, u := range c.unreached {
		positions[u.key] = i
	}
	position := func(d *Demand) int {
		if i, found := positions[d.key()]; found {
			return i
		}
		return len(c.unreached)
	}
	slices.SortStableFunc(demands, func(a, b *Demand) int {
		return cmp.Or(cmp.Compare(a.class(), b.class()), cmp.Compare(position(a), position(b)))
	})
}

// PlanWithin is Plan with a budget. Once isSpent has returned true after a demand,
// the plan reaches only the first demand of each class that it has not reached yet,
// so that no class waits forever for others that spend all of the budget. If demands
// before it in its pool were not reached, it gets one task only, since they would
// have gone first. Demands that need a hold are always reached: runs are stopped for
// them, and the room of a hold that is not renewed goes to others. The plan continues
// the last one of the continuation, and records the demands that it did not reach.
//
// A demand with n unreached demands of its class before it is reached after at most
// n+1 further plans.
func PlanWithin(workers []*Worker, demands []Demand, interference *Interference, c *Continuation, isSpent func() bool) []Placement {
	images := countImages(demands)
	for i := range demands {
		demands[i].images = images
	}
	Sort(demands)
	compareSpeeds(workers, demands)
	reserveTrialWorkers(workers, demands)
	counts, bounds := &probeCounts{workers: workers, interference: interference}, newRoomBounds(workers)
	ordered := putStoppedFirst(demands)
	c.order(ordered)
	var next Continuation
	reached := map[int]bool{}           // classes
	passed := map[structs.PoolID]bool{} // pools with demands that were not reached
	spent := false
	var placements []Placement
	for _, d := range ordered {
		class := d.class()
		if spent && reached[class] && !d.needsHold() {
			next.add(d)
			passed[d.Pool] = true
			continue
		}
		if passed[d.Pool] && !d.needsHold() && !d.Spec.Gang {
			first := *d // the caller keeps the demand with all tasks
			first.Tasks = d.Tasks[:1]
			d = &first
		}
		reached[class] = true
		d.interference, d.probes, d.bounds = interference, counts, bounds
		if d.stoppedPart != nil && d.disturbed == nil {
			d.disturbed = d.stoppedPart.disturbed
		}
		first := len(placements)
		placements = d.place(workers, placements)
		if d.stoppedPart != nil {
			d.stoppedPart.disturbed = d.disturbed // the stopped tasks follow if only they were reached before
		}
		images.removeLimited(d)
		if d.needsHold() {
			d.holdRoom(workers, placements[first:])
		}
		spent = isSpent() || spent
	}
	*c = next
	return placements
}
