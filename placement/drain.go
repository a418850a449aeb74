package placement

import (
	"sort"

	"github.com/daisywall/daisywall/structs"
)

// serviceRoom is the number of instances of a service that may still be moved
// in this round without going below its minimum.
type serviceRoom struct{ left int32 }

// move evicts what has to leave: the residents of workers that leave and of
// failure domains that are out, at a bounded pace, batch work first.
func (r *round) move() {
	moving := 0
	var waiting []movement
	for i := range r.nodes {
		n := &r.nodes[i]
		leaves := n.gate == structs.ReasonDomainOut || n.gate == structs.ReasonLeaving
		for j := range n.worker.Runs {
			run := &n.worker.Runs[j]
			switch {
			case run.Stopping:
				r.takeInstance(run)
				if leaves {
					moving++
				}
			case leaves:
				waiting = append(waiting, movement{n, run})
			}
		}
	}
	sort.SliceStable(waiting, func(i, j int) bool { return waiting[i].before(waiting[j]) })
	for _, m := range waiting {
		if moving >= r.options.MaxMoves {
			r.record(Decision{Action: ActionHold, Task: m.run.Attempt.Task, Worker: m.node.worker.ID, Reason: ReasonPace})
			continue
		}
		if !r.takeInstance(m.run) {
			r.record(Decision{Action: ActionHold, Task: m.run.Attempt.Task, Worker: m.node.worker.ID, Reason: ReasonMinimum,
				Detail: "moving it would leave the service below its minimum"})
			continue
		}
		r.evict(m.node, m.run, Decision{Reason: m.node.gate})
		moving++
	}
}

// movement is a run that has to leave its worker.
type movement struct {
	node *node
	run  *Run
}

// before orders movements: batch work first, then by attempt.
func (m movement) before(o movement) bool {
	if m.run.Kind != o.run.Kind {
		return m.run.Kind == structs.WorkBatch
	}
	a, b := m.run.Attempt, o.run.Attempt
	if a.Task.Job != b.Task.Job {
		return a.Task.Job < b.Task.Job
	}
	return a.Task.Index < b.Task.Index
}

// takeInstance reports whether the run may stop as far as the minimum of its
// service goes, and counts it as stopped.
func (r *round) takeInstance(run *Run) bool {
	if run.Kind != structs.WorkService {
		return true
	}
	room, found := r.services[run.Attempt.Task.Job]
	if !found {
		return true
	}
	if room.left <= 0 && !run.Stopping {
		return false
	}
	room.left--
	return true
}

// evict enters an eviction into the plan. d carries what is known about the
// reason.
func (r *round) evict(n *node, run *Run, d Decision) {
	if r.evicting[run.Attempt] {
		return
	}
	r.evicting[run.Attempt] = true
	n.stopping = n.stopping.Add(run.Resources)
	r.plan.Evictions = append(r.plan.Evictions, Eviction{Attempt: run.Attempt, Worker: n.worker.ID, Reason: d.Reason})
	d.Action, d.Task, d.Worker = ActionEvict, run.Attempt.Task, n.worker.ID
	r.record(d)
}

// cancel stops the oldest cancelled attempts, a bounded number in each round.
func (r *round) cancel() {
	for i, a := range r.snapshot.Cancelled {
		if i >= r.options.MaxCancels {
			break
		}
		r.plan.Cancels = append(r.plan.Cancels, a)
		r.record(Decision{Action: ActionCancel, Task: a.Task, Reason: structs.ReasonCancelled})
	}
}
