package placement

import (
	"sort"

	"github.com/daisywall/daisywall/structs"
)

// maxHoldChecks bounds the tasks of a round that are considered for a
// reservation.
const maxHoldChecks = 32

// hold keeps workers free for tasks that have waited long or have no slack
// left and that fit nowhere, and evicts batch work with much slack for those
// without any.
func (r *round) hold(list []candidate) {
	previous := r.plan.Memory.Reserved
	r.plan.Memory.Reserved = map[structs.TaskID]structs.WorkerID{}
	budget := r.options.MaxPreemptions
	checks := 0
	for i := range list {
		c := &list[i]
		if len(r.plan.Memory.Reserved) >= r.options.MaxReservations || checks >= maxHoldChecks {
			return
		}
		if !c.critical && c.task.Waited < r.options.ReserveAfter {
			continue
		}
		checks++
		if r.hasRoom(c) {
			continue
		}
		n := r.holdable(c, previous[c.task.ID])
		if n == nil {
			continue
		}
		n.holder = &c.task.ID
		r.plan.Memory.Reserved[c.task.ID] = n.worker.ID
		if c.critical {
			budget = r.preempt(c, n, budget)
		}
	}
}

// holds reports whether a worker is held free for the task.
func (r *round) holds(c *candidate) bool {
	_, found := r.plan.Memory.Reserved[c.task.ID]
	return found
}

// hasRoom reports whether some worker would take the task now, or whether
// something other than room keeps it waiting.
func (r *round) hasRoom(c *candidate) bool {
	if t, found := r.teams[c.task.Team]; found && !c.need.Fits(t.left) {
		return true
	}
	for _, i := range r.active {
		if f, _ := r.reject(c, &r.nodes[i]); f == nil {
			return true
		}
	}
	return false
}

// holdable returns the worker to hold free for the task: the one held before,
// else the one with most room among those that could take it when empty.
func (r *round) holdable(c *candidate, before structs.WorkerID) *node {
	var best *node
	bestFree := 0.0
	for _, i := range r.active {
		n := &r.nodes[i]
		if n.holder != nil || n.trial || !c.need.Fits(movable(n)) {
			continue
		}
		if (historyFilter{}).filter(r, c, n) != "" || (harmFilter{}).filter(r, c, n) != "" {
			continue
		}
		if n.worker.ID == before {
			return n
		}
		free := freeShare(n.free.Add(n.stopping), n.worker.Capacity)
		if best == nil || free > bestFree {
			best, bestFree = n, free
		}
	}
	return best
}

// movable returns the room that the node would have without its batch work.
func movable(n *node) structs.Resources {
	room := n.free
	for i := range n.worker.Runs {
		if run := &n.worker.Runs[i]; run.Kind == structs.WorkBatch {
			room = room.Add(run.Resources)
		}
	}
	return room
}

// victimSlackFactor is how many times the critical slack a run must have left
// to be evicted for the sake of another.
const victimSlackFactor = 4

// preempt evicts the batch runs with most slack until the task will fit, and
// returns the evictions left in the budget.
func (r *round) preempt(c *candidate, n *node, budget int) int {
	type victim struct {
		run   *Run
		slack float64
	}
	var victims []victim
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Kind != structs.WorkBatch || run.Stopping || r.evicting[run.Attempt] {
			continue
		}
		slack := r.slack(run.TimeLeft, run.HasDeadline, run.Class, run.RunTime, run.Progress)
		if slack < victimSlackFactor*r.options.CriticalSlack {
			continue
		}
		victims = append(victims, victim{run, slack.Seconds()})
	}
	sort.SliceStable(victims, func(i, j int) bool { return victims[i].slack > victims[j].slack })
	for _, v := range victims {
		if budget <= 0 || c.need.Fits(n.free.Add(n.stopping)) {
			break
		}
		r.evict(n, v.run, Decision{Reason: ReasonDeadline, Subject: c.task.ID.String()})
		budget--
	}
	return budget
}
