package steps

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// MarkStopped adds a task to Stopped.
func (d *Demand) MarkStopped(index int32) {
	if d.Stopped == nil {
		d.Stopped = map[int32]bool{}
	}
	d.Stopped[index] = true
}

// putStoppedFirst returns the sorted demands with the stopped tasks of each
// filling step as a demand of their own. It goes before the first starts of its
// job, and before the first demand that mayPass lets it pass. It answers the load
// of wide filling jobs whose stopped tasks wait for workers that first starts
// would take.
//
// Only a move to one place keeps the order total: the slack that is compared here
// is not what filling demands are sorted by.
func putStoppedFirst(demands []Demand) []*Demand {
	ordered := make([]*Demand, 0, len(demands))
	for i := range demands {
		d := &demands[i]
		if len(d.Stopped) == 0 || !d.Spec.Fills {
			ordered = append(ordered, d)
			continue
		}
		stopped, rest := d.splitStopped()
		at := slices.IndexFunc(ordered, stopped.mayPass)
		if at < 0 {
			at = len(ordered)
		}
		ordered = slices.Insert(ordered, at, stopped)
		if rest != nil {
			ordered = append(ordered, rest)
		}
	}
	return ordered
}

// splitStopped returns the stopped tasks of the demand, and the others or nil if
// there are none. A gang is not divided, since its tasks start together.
func (d *Demand) splitStopped() (stopped, rest *Demand) {
	isFirst := func(index int32) bool { return !d.Stopped[index] }
	if d.Spec.Gang || !slices.ContainsFunc(d.Tasks, isFirst) {
		return d, nil
	}
	if d.Placed == nil {
		d.Placed = map[structs.WorkerID]int32{} // both parts count in it
	}
	s, r := *d, *d
	s.Tasks = slices.DeleteFunc(slices.Clone(d.Tasks), isFirst)
	r.Tasks = slices.DeleteFunc(slices.Clone(d.Tasks), func(index int32) bool { return d.Stopped[index] })
	r.Stopped, r.stoppedPart = nil, &s
	r.IsIdle = false // one task is enough, see Demand.IsIdle
	return &s, &r
}

// mayPass reports whether the stopped tasks of d go before the first starts of
// other: both fill and have the same priority, and the slack of other is not
// smaller. Demands that were promoted, or whose queue uses less than its share
// while that of d uses more, keep their place.
func (d *Demand) mayPass(other *Demand) bool {
	return other.Spec.Fills && !other.Spec.LongRunning && len(other.Stopped) == 0 &&
		other.Pool == d.Pool && other.effectivePriority() == d.effectivePriority() && other.Slack >= d.Slack &&
		!other.HasReturned && !other.goesFirst && (other.Share.IsOver || !d.Share.IsOver)
}
