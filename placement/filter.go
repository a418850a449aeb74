package placement

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// filter rejects workers on which a task must not start.
type filter interface {
	name() string
	// filter returns why the task must not start on the node, or an empty
	// reason if it may.
	filter(r *cycle, c *candidate, n *node) structs.Reason
}

// filters holds all filters in the order of evaluation, cheap ones first.
var filters = []filter{availabilityFilter{}, capacityFilter{}, reservationFilter{}, startLimitFilter{}, historyFilter{}, harmFilter{}}

// availabilityFilter rejects workers that are closed to all tasks, and workers
// on trial that already have a trial task.
type availabilityFilter struct{}

func (availabilityFilter) name() string { return "worker" }

func (availabilityFilter) filter(_ *cycle, _ *candidate, n *node) structs.Reason {
	if n.onTrial && (n.trialRunning || n.plannedStarts > 0) {
		return structs.ReasonQuarantined
	}
	return n.closedReason
}

// capacityFilter rejects workers without room for the task's commitment or for
// its expected usage.
type capacityFilter struct{}

func (capacityFilter) name() string { return "capacity" }

func (capacityFilter) filter(_ *cycle, c *candidate, n *node) structs.Reason {
	if !c.need.Fits(n.free) || !n.expectedUsage.Add(c.usage).Fits(n.worker.Capacity) {
		return structs.ReasonCapacity
	}
	return ""
}

// reservationFilter rejects workers that are reserved for another task.
type reservationFilter struct{}

func (reservationFilter) name() string { return "reservation" }

func (reservationFilter) filter(_ *cycle, c *candidate, n *node) structs.Reason {
	if n.reservedFor != nil && *n.reservedFor != c.task.ID {
		return ReasonReserved
	}
	return ""
}

// startLimitFilter limits the starts on one worker in a planning cycle, to
// prevent a stampede onto a worker that becomes available again.
type startLimitFilter struct{}

func (startLimitFilter) name() string { return "pace" }

func (startLimitFilter) filter(r *cycle, _ *candidate, n *node) structs.Reason {
	if n.plannedStarts >= r.options.MaxStartsPerWorker {
		return ReasonRateLimit
	}
	return ""
}

// historyFilter rejects workers on which the task failed, until the task has
// waited for ReserveAfter, and the worker that recently evicted it.
type historyFilter struct{}

func (historyFilter) name() string { return "history" }

func (historyFilter) filter(r *cycle, c *candidate, n *node) structs.Reason {
	if c.task.Waited < r.options.ReserveAfter && slices.Contains(c.task.FailedOn, n.worker.ID) && !r.failedEverywhere(c) {
		return ReasonFailedHere
	}
	if c.avoidedWorker == n.worker.ID {
		return ReasonEvictedHere
	}
	return ""
}

// failedEverywhere reports whether the task has failed on every open worker that
// is large enough, so that it can only run on a worker where it failed.
func (r *cycle) failedEverywhere(c *candidate) bool {
	for _, i := range r.openNodes {
		w := r.nodes[i].worker
		if c.need.Fits(w.Capacity) && !slices.Contains(c.task.FailedOn, w.ID) {
			return false
		}
	}
	return true
}

// harmFilter rejects workers on which the predicted harm to a service exceeds
// the task's limit. It also limits how many pairs of class and service with an
// uncertain estimate are probed at a time. Services are never rejected.
type harmFilter struct{}

func (harmFilter) name() string { return "interference" }

// negligibleHarm is a relative growth of tail latency that never leads to a
// rejection.
const negligibleHarm = 0.005

func (harmFilter) filter(r *cycle, c *candidate, n *node) structs.Reason {
	if c.task.Kind == structs.WorkService {
		return ""
	}
	uncertain := false
	for i := range n.services {
		service := &n.services[i]
		estimate := r.classes.harm(service.service, c.class)
		if estimate.deviation > r.options.UnknownDeviation && estimate.mean-estimate.deviation <= c.harmLimit {
			uncertain = true
			if service.harm > r.options.HarmLimit/2 {
				return ReasonProbing
			}
			continue
		}
		if estimate.mean > negligibleHarm && service.harm+estimate.mean > c.harmLimit {
			return ReasonInterference
		}
	}
	if uncertain && !c.ignoresProbeLimits && (n.uncertainRuns > 0 || r.probesByClass[c.class] >= r.options.MaxProbes) {
		return ReasonProbing
	}
	return ""
}
