package placement

import "github.com/daisywall/daisywall/structs"

// filter rejects workers that a task must not start on.
type filter interface {
	name() string
	// filter returns why the task must not start on the node, empty if it may.
	filter(r *round, c *candidate, n *node) structs.Reason
}

// filters holds every filter, the cheap ones first.
var filters = []filter{gateFilter{}, capacityFilter{}, holdFilter{}, paceFilter{}, historyFilter{}, harmFilter{}}

// gateFilter rejects workers that take no work at all.
type gateFilter struct{}

func (gateFilter) name() string { return "worker" }

func (gateFilter) filter(_ *round, _ *candidate, n *node) structs.Reason {
	if n.trial && (n.trying || n.starts > 0) {
		return structs.ReasonQuarantined
	}
	return n.gate
}

// capacityFilter rejects workers without room, by commitment or by expected
// use.
type capacityFilter struct{}

func (capacityFilter) name() string { return "capacity" }

func (capacityFilter) filter(_ *round, c *candidate, n *node) structs.Reason {
	if !c.need.Fits(n.free) || !n.used.Add(c.use).Fits(n.worker.Capacity) {
		return structs.ReasonCapacity
	}
	return ""
}

// holdFilter rejects workers that are held free for another task.
type holdFilter struct{}

func (holdFilter) name() string { return "reservation" }

func (holdFilter) filter(_ *round, c *candidate, n *node) structs.Reason {
	if n.holder != nil && *n.holder != c.task.ID {
		return ReasonReserved
	}
	return ""
}

// paceFilter bounds the starts on one worker in a round, so that work does not
// stampede onto workers that come back.
type paceFilter struct{}

func (paceFilter) name() string { return "pace" }

func (paceFilter) filter(r *round, _ *candidate, n *node) structs.Reason {
	if n.starts >= r.options.MaxStartsPerWorker {
		return ReasonPace
	}
	return ""
}

// historyFilter rejects workers that the task failed on or was evicted from.
type historyFilter struct{}

func (historyFilter) name() string { return "history" }

func (historyFilter) filter(r *round, c *candidate, n *node) structs.Reason {
	for _, w := range c.task.FailedOn {
		if w == n.worker.ID && !r.failedEverywhere(c) {
			return ReasonFailedHere
		}
	}
	if c.avoid == n.worker.ID {
		return ReasonEvictedHere
	}
	return ""
}

// failedEverywhere reports whether the task has failed on as many workers as
// there are, so that going back to one of them is the only way.
func (r *round) failedEverywhere(c *candidate) bool {
	return distinct(c.task.FailedOn) >= r.open
}

// harmFilter rejects workers on which the task would push the tail latency of
// a service beyond the limit, and spreads the probing of untried pairs.
type harmFilter struct{}

func (harmFilter) name() string { return "interference" }

// negligibleHarm is a growth of tail latency that no service notices.
const negligibleHarm = 0.005

func (harmFilter) filter(r *round, c *candidate, n *node) structs.Reason {
	if c.task.Kind == structs.WorkService {
		return ""
	}
	untried := false
	for i := range n.services {
		s := &n.services[i]
		p := r.classes.pair(s.service, c.class)
		if p.deviation > r.options.UnknownDeviation && p.mean-p.deviation <= c.limit {
			untried = true
			if s.harm > r.options.HarmLimit/2 {
				return ReasonProbing
			}
			continue
		}
		if p.mean > negligibleHarm && s.harm+p.mean > c.limit {
			return ReasonInterference
		}
	}
	if untried && !c.forced && (n.untried > 0 || r.probes[c.class] >= r.options.MaxProbes) {
		return ReasonProbing
	}
	return ""
}
