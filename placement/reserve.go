package placement

import (
	"sort"

	"github.com/daisywall/daisywall/structs"
)

// maxReservationChecks is the maximum number of tasks that are considered for a
// reservation in one planning cycle.
const maxReservationChecks = 32

// reserveWorkers reserves workers for critical tasks and for tasks that have
// waited for ReserveAfter, if they fit nowhere. A reserved worker starts no
// other task, and it stays reserved in the cycle in which its task can start, so
// that no task before it in the order takes the room. For critical tasks,
// reserveWorkers also preempts batch work with much slack.
func (r *cycle) reserveWorkers(list []candidate) {
	previous := r.plan.State.Reserved
	r.plan.State.Reserved = map[structs.TaskID]structs.WorkerID{}
	r.markKeptNodes(list, previous)
	budget := r.options.MaxPreemptions
	checks := 0
	for i := range list {
		c := &list[i]
		if len(r.plan.State.Reserved) >= r.options.MaxReservations || checks >= maxReservationChecks {
			return
		}
		if !c.critical && c.task.Waited < r.options.ReserveAfter {
			continue
		}
		checks++
		if t, found := r.teams[c.task.Team]; found && !c.need.Fits(t.left) {
			continue
		}
		if n := r.openNode(previous[c.task.ID]); n != nil && r.mayStart(c, n) {
			r.reserve(c, n)
			continue
		}
		if r.mayStartAnywhere(c) {
			continue
		}
		n := r.reservableNode(c, previous[c.task.ID])
		if n == nil {
			continue
		}
		r.reserve(c, n)
		if c.critical {
			budget = r.preempt(c, n, budget)
		}
	}
}

// markKeptNodes sets keptFor of the open nodes that the previous cycle reserved
// for tasks that are still pending.
func (r *cycle) markKeptNodes(list []candidate, previous map[structs.TaskID]structs.WorkerID) {
	if len(previous) == 0 {
		return
	}
	for i := range list {
		if n := r.openNode(previous[list[i].task.ID]); n != nil {
			n.keptFor = &list[i].task.ID
		}
	}
}

// reserve reserves the worker for the task.
func (r *cycle) reserve(c *candidate, n *node) {
	n.reservedFor = &c.task.ID
	r.plan.State.Reserved[c.task.ID] = n.worker.ID
}

// openNode returns the open node of the worker, or nil if there is none.
func (r *cycle) openNode(w structs.WorkerID) *node {
	if w == "" {
		return nil
	}
	for _, i := range r.openNodes {
		if r.nodes[i].worker.ID == w {
			return &r.nodes[i]
		}
	}
	return nil
}

// hasReservation reports whether a worker is reserved for the task.
func (r *cycle) hasReservation(c *candidate) bool {
	_, found := r.plan.State.Reserved[c.task.ID]
	return found
}

// mayStart reports whether the task may start on the node now.
func (r *cycle) mayStart(c *candidate, n *node) bool {
	f, _ := r.reject(c, n)
	return f == nil
}

// mayStartAnywhere reports whether the task may start now on any worker that is
// not kept for another task.
func (r *cycle) mayStartAnywhere(c *candidate) bool {
	for _, i := range r.openNodes {
		n := &r.nodes[i]
		if (n.keptFor == nil || *n.keptFor == c.task.ID) && r.mayStart(c, n) {
			return true
		}
	}
	return false
}

// reservableNode returns the worker to reserve for the task, nil if there is
// none. It must have room for the task once its batch work is gone. The worker
// that was reserved before is preferred, then the one with the most free
// resources. A worker that was reserved for another pending task is the last
// choice.
func (r *cycle) reservableNode(c *candidate, previous structs.WorkerID) *node {
	var best *node
	bestFree := 0.0
	for _, i := range r.openNodes {
		n := &r.nodes[i]
		if n.reservedFor != nil || n.onTrial || !r.fitsWithoutBatch(c, n) {
			continue
		}
		if (historyFilter{}).filter(r, c, n) != "" || (harmFilter{}).filter(r, c, n) != "" {
			continue
		}
		if n.worker.ID == previous {
			return n
		}
		free := meanFreeShare(n.free.Add(n.stopping), n.worker.Capacity)
		if n.keptFor != nil {
			free-- // less than any free share
		}
		if best == nil || free > bestFree {
			best, bestFree = n, free
		}
	}
	return best
}

// fitsWithoutBatch reports whether the node has room for the task's commitment
// and its expected usage once the batch work is gone.
func (r *cycle) fitsWithoutBatch(c *candidate, n *node) bool {
	room, usage := n.free, c.usage
	for i := range n.worker.Runs {
		if run := &n.worker.Runs[i]; run.Kind == structs.WorkBatch {
			room = room.Add(run.Resources)
		} else {
			usage = usage.Add(r.runUsage(run, n.classes[i]))
		}
	}
	return c.need.Fits(room) && usage.Fits(n.worker.Capacity)
}

// victimSlackFactor is the minimum slack of a run that may be preempted, as a
// multiple of the critical slack.
const victimSlackFactor = 4

// preempt evicts batch runs, those with the most slack first, until the task
// will fit or the budget is used up. It returns the remaining budget.
func (r *cycle) preempt(c *candidate, n *node, budget int) int {
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
