package placement

import (
	"sort"

	"github.com/daisywall/daisywall/structs"
)

// disruptionBudget is the number of instances of a service that may still be
// stopped in this planning cycle without going below its minimum.
type disruptionBudget struct{ left int32 }

// drainWorkers evicts the runs of leaving workers and of workers in failure
// domains that are out, batch work first. It postpones evictions while
// MaxDrainEvictions runs of these workers are stopping.
func (r *cycle) drainWorkers() {
	stopping := 0
	var evictions []drainEviction
	for i := range r.nodes {
		n := &r.nodes[i]
		leaves := n.closedReason == structs.ReasonDomainOut || n.closedReason == structs.ReasonLeaving
		for j := range n.worker.Runs {
			run := &n.worker.Runs[j]
			switch {
			case run.Stopping:
				r.spendDisruptionBudget(run)
				if leaves {
					stopping++
				}
			case leaves:
				evictions = append(evictions, drainEviction{n, run})
			}
		}
	}
	sort.SliceStable(evictions, func(i, j int) bool { return evictions[i].before(evictions[j]) })
	for _, eviction := range evictions {
		if stopping >= r.options.MaxDrainEvictions {
			r.recordDecision(Decision{Action: ActionPostponeEviction, Task: eviction.run.Attempt.Task, Worker: eviction.node.worker.ID, Reason: ReasonRateLimit})
			continue
		}
		if !r.spendDisruptionBudget(eviction.run) {
			r.recordDecision(Decision{Action: ActionPostponeEviction, Task: eviction.run.Attempt.Task, Worker: eviction.node.worker.ID, Reason: ReasonMinimum,
				Detail: "moving it would leave the service below its minimum"})
			continue
		}
		r.evict(eviction.node, eviction.run, Decision{Reason: eviction.node.closedReason})
		stopping++
	}
}

// drainEviction is a run that is to be evicted from a draining worker.
type drainEviction struct {
	node *node
	run  *Run
}

// before orders evictions: batch work first, then by job and task index.
func (e drainEviction) before(o drainEviction) bool {
	if e.run.Kind != o.run.Kind {
		return e.run.Kind == structs.WorkBatch
	}
	a, b := e.run.Attempt, o.run.Attempt
	if a.Task.Job != b.Task.Job {
		return a.Task.Job < b.Task.Job
	}
	return a.Task.Index < b.Task.Index
}

// spendDisruptionBudget reports whether the run may stop without taking its
// service below the minimum, and if so deducts it from the budget. A run that
// is stopping already is always deducted.
func (r *cycle) spendDisruptionBudget(run *Run) bool {
	if run.Kind != structs.WorkService {
		return true
	}
	budget, found := r.disruptionBudgets[run.Attempt.Task.Job]
	if !found {
		return true
	}
	if budget.left <= 0 && !run.Stopping {
		return false
	}
	budget.left--
	return true
}

// evict adds an eviction and its decision record to the plan. d holds the
// reason and its details; evict fills in the action, the task and the worker.
func (r *cycle) evict(n *node, run *Run, d Decision) {
	if r.evicting[run.Attempt] {
		return
	}
	r.evicting[run.Attempt] = true
	n.stopping = n.stopping.Add(run.Resources)
	r.plan.Evictions = append(r.plan.Evictions, Eviction{Attempt: run.Attempt, Worker: n.worker.ID, Reason: d.Reason})
	d.Action, d.Task, d.Worker = ActionEvict, run.Attempt.Task, n.worker.ID
	r.recordDecision(d)
}

// stopCancelled stops the oldest cancelled attempts, at most MaxCancels in a
// cycle.
func (r *cycle) stopCancelled() {
	for i, a := range r.snapshot.Cancelled {
		if i >= r.options.MaxCancels {
			break
		}
		r.plan.Cancels = append(r.plan.Cancels, a)
		r.recordDecision(Decision{Action: ActionCancel, Task: a.Task, Reason: structs.ReasonCancelled})
	}
}
