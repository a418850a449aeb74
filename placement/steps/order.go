package steps

import (
	"cmp"
	"slices"
	"time"
)

// starvationLateness is the lateness from which a job goes before all others.
const starvationLateness = 30 * time.Second

// Ranks of slacks. Lower ranks go first: jobs later than starvationLateness, so
// that none starves, then jobs that can still be in time, then late jobs. Under
// overload, first come, first served would make every job late.
const (
	starvedRank = iota
	inTimeRank
	lateRank
)

func slackRank(slack time.Duration) int {
	switch {
	case slack < -starvationLateness:
		return starvedRank
	case slack >= 0:
		return inTimeRank
	default:
		return lateRank
	}
}

// rank returns the rank of the slack. The next attempts of failed tasks keep the
// rank of the first ones: a job that has become late by a failed run would
// otherwise wait behind all jobs that are in time.
func (d *Demand) rank() int {
	if d.FirstSlack != nil {
		return min(slackRank(d.Slack), slackRank(*d.FirstSlack))
	}
	return slackRank(d.Slack)
}

// Sort orders demands by priority, with overdue ones before all others. Within
// a priority, long-running steps come first, those that have lost tasks before
// new ones and then by the longest wait. A long-running task has no end by which
// to be in time: the slack of its job says nothing about how long it may be absent.
// Short tasks follow by the rank of their slack, see compareShort, and then the
// filling ones, which take only what the others leave, by rank and by the
// work that is left of their jobs.
func Sort(demands []Demand) {
	promoteStarvedFill(demands)
	markOverload(demands)
	slices.SortStableFunc(demands, func(a, b Demand) int { return compareDemands(&a, &b) })
}

func compareDemands(a, b *Demand) int {
	order := cmp.Or(
		cmp.Compare(a.effectivePriority(), b.effectivePriority()),
		compareFirst(a.Spec.LongRunning, b.Spec.LongRunning),
		compareFirst(a.HasLostTasks, b.HasLostTasks),
	)
	switch {
	case order != 0:
		return order
	case a.Spec.LongRunning:
		return compareLongRunning(a, b)
	case a.Spec.Fills != b.Spec.Fills:
		return compareFirst(b.Spec.Fills, a.Spec.Fills)
	case a.Spec.Fills:
		return compareFills(a, b)
	default:
		return compareShort(a, b)
	}
}

// compareFills orders filling demands by the work that is left of their jobs. It
// answers the load of more filling jobs than find undisturbed room: by slack
// alone, the room is divided among all jobs, and most are late. Demands of a queue
// that uses more than its share follow the others of their rank of slack.
func compareFills(a, b *Demand) int {
	return cmp.Or(
		compareFirst(a.HasReturned, b.HasReturned),
		compareFirst(a.goesFirst, b.goesFirst),
		cmp.Compare(a.rank(), b.rank()),
		compareFirst(!a.Share.IsOver, !b.Share.IsOver),
		cmp.Compare(a.RemainingWork, b.RemainingWork),
		cmp.Compare(a.Slack, b.Slack),
	)
}

// promoteStarvedFill lets the filling job that is late by most objectives, at
// least one, go first. The order by remaining work would otherwise never reach
// wide jobs under overload; more than one at a time would make all others late.
func promoteStarvedFill(demands []Demand) {
	var first *Demand
	for i := range demands {
		d := &demands[i]
		d.goesFirst = false
		if d.Spec.Fills && d.objectivesLate() >= 1 && (first == nil || d.objectivesLate() > first.objectivesLate()) {
			first = d
		}
	}
	if first != nil {
		first.goesFirst = true
	}
}

// objectivesLate returns the lateness of the job in multiples of its objective, 0
// if it has none.
func (d *Demand) objectivesLate() float64 {
	if d.Objective <= 0 {
		return 0
	}
	return -d.Slack.Seconds() / d.Objective.Seconds()
}

// effectivePriority returns the priority, or a higher one than all queues have
// for an overdue demand.
func (d *Demand) effectivePriority() int {
	if len(d.Overdue) > 0 {
		return -1
	}
	return d.Priority
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}
