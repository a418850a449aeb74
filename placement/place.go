package placement

import (
	"fmt"
	"hash/fnv"

	"github.com/daisywall/daisywall/structs"
)

// placementKey groups tasks that fit on the same workers.
type placementKey struct {
	class, service int
	need           structs.Resources
}

// failedSearch caches a failed search for a worker, for all tasks with the same
// key. No resources become free within a planning cycle, so another search
// would fail too.
type failedSearch struct {
	harmLimit          float64
	ignoresProbeLimits bool
	rejections         []Rejection
}

// placeTasks finds workers for the pending tasks, in the order of
// sortedCandidates.
func (r *cycle) placeTasks() {
	r.collectOpenNodes()
	list := r.sortedCandidates()
	if over := len(list) - r.options.MaxTasks; over > 0 {
		r.plan.Waiting += over
		list = list[:r.options.MaxTasks]
	}
	r.reserveWorkers(list)
	for i := range list {
		r.placeTask(&list[i])
	}
}

// collectOpenNodes collects the nodes on which tasks may start.
func (r *cycle) collectOpenNodes() {
	r.openNodes = r.openNodes[:0]
	for i := range r.nodes {
		if r.nodes[i].closedReason == "" {
			r.openNodes = append(r.openNodes, i)
		}
	}
}

// placeTask refuses the task, leaves it waiting or places it, and records the
// decision.
func (r *cycle) placeTask(c *candidate) {
	if refusal, refused := r.findRefusal(c); refused {
		r.plan.Unschedulable = append(r.plan.Unschedulable, refusal)
		r.recordDecision(Decision{Action: ActionRefuse, Task: c.task.ID, Reason: refusal.Reason, Detail: refusal.Detail, Slack: c.slack})
		return
	}
	if t, found := r.teams[c.task.Team]; found && !c.need.Fits(t.left) {
		detail := fmt.Sprintf("needs %s, team %s has %s of its share left", formatResources(c.need), c.task.Team, formatResources(t.left))
		r.recordWait(c, structs.ReasonQuota, detail, nil)
		return
	}
	key := placementKey{class: c.class, service: c.service, need: c.need}
	if failed := r.failedSearches[key]; failed != nil && c.harmLimit <= failed.harmLimit && (failed.ignoresProbeLimits || !c.ignoresProbeLimits) && !r.hasReservation(c) {
		r.recordWait(c, mainReason(failed.rejections), "", failed.rejections)
		return
	}
	result := r.search(c)
	if len(result.ranked) == 0 {
		rejections := result.rejected
		if len(c.task.FailedOn) == 0 && c.avoidedWorker == "" {
			r.failedSearches[key] = &failedSearch{harmLimit: c.harmLimit, ignoresProbeLimits: c.ignoresProbeLimits, rejections: rejections}
		}
		r.recordWait(c, mainReason(rejections), "", rejections)
		return
	}
	r.addPlacement(c, &result)
}

func (r *cycle) recordWait(c *candidate, reason structs.Reason, detail string, rejections []Rejection) {
	r.plan.Waiting++
	r.recordDecision(Decision{Action: ActionWait, Task: c.task.ID, Reason: reason, Detail: detail, Slack: c.slack, Rejected: rejections})
}

// mainReason returns the reason for which the most workers were rejected.
func mainReason(rejections []Rejection) structs.Reason {
	reason, most := structs.ReasonCapacity, 0
	for _, x := range rejections {
		if x.Workers > most {
			reason, most = x.Reason, x.Workers
		}
	}
	return reason
}

// addPlacement adds the placement on the best worker to the plan, and to the
// totals of the node, the team and the job.
func (r *cycle) addPlacement(c *candidate, result *searchResult) {
	n := &r.nodes[result.ranked[0].node]
	r.plan.Placements = append(r.plan.Placements, Placement{Task: c.task.ID, Worker: n.worker.ID, Resources: c.need})
	if r.hasDecisionRoom() {
		d := Decision{Action: ActionPlace, Task: c.task.ID, Worker: n.worker.ID, Harm: r.harm(c, n), Score: result.ranked[0].total, Slack: c.slack}
		d.Rejected = result.rejected
		d.Alternatives = result.alternatives(r, c)
		r.recordDecision(d)
	} else {
		r.plan.DroppedDecisions++
	}
	n.free = n.free.Sub(c.need)
	n.expectedUsage = n.expectedUsage.Add(c.usage)
	n.plannedStarts++
	if t, found := r.teams[c.task.Team]; found {
		t.left = t.left.Sub(c.need)
	}
	if c.spread != nil {
		c.spread.add(n)
	}
	delete(r.plan.State.Reserved, c.task.ID)
	if n.reservedFor != nil && *n.reservedFor == c.task.ID {
		n.reservedFor = nil
	}
	r.addPlacedHarm(c, n)
}

// addPlacedHarm adds the predicted harm of a placed task to the services of the
// node, for the following tasks of the cycle.
func (r *cycle) addPlacedHarm(c *candidate, n *node) {
	uncertain := false
	for i := range n.services {
		service := &n.services[i]
		estimate := r.classes.harm(service.service, c.class)
		service.harm += estimate.mean
		uncertain = uncertain || estimate.deviation > r.options.UnknownDeviation
	}
	if uncertain && c.task.Kind == structs.WorkBatch {
		n.uncertainRuns++
		r.probesByClass[c.class]++
	}
	if c.service >= 0 {
		n.services = append(n.services, serviceRun{service: c.service, harm: r.harmToService(c.service, n)})
	}
}

// searchOffset returns the index at which the search for a worker begins. It
// differs between tasks, so that a search limited by MaxCandidates does not
// always consider the same workers.
func searchOffset(task structs.TaskID, size int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.Job))
	return int((h.Sum32() + uint32(task.Index)*2654435761) % uint32(size))
}

// formatResources formats resources for decision records and errors.
func formatResources(r structs.Resources) string {
	return fmt.Sprintf("%d milli_cpu, %d memory_mb, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
