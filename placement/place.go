package placement

import (
	"fmt"
	"hash/fnv"

	"github.com/daisywall/daisywall/structs"
)

// shape groups tasks that fit on the same workers.
type shape struct {
	class, service int
	need           structs.Resources
}

// misfit remembers that a shape fits nowhere in this round. Since nothing gets
// free within a round, the rest of the shape need not be tried.
type misfit struct {
	limit      float64
	forced     bool
	rejections []Rejection
}

// place starts pending tasks, best first.
func (r *round) place() {
	r.activate()
	list := r.candidates()
	if over := len(list) - r.options.MaxTasks; over > 0 {
		r.plan.Waiting += over
		list = list[:r.options.MaxTasks]
	}
	r.hold(list)
	for i := range list {
		r.placeTask(&list[i])
	}
}

// activate lists the nodes on which something may start.
func (r *round) activate() {
	r.active = r.active[:0]
	for i := range r.nodes {
		if r.nodes[i].gate == "" {
			r.active = append(r.active, i)
		}
	}
	r.open = len(r.active)
}

func (r *round) placeTask(c *candidate) {
	if refusal, refused := r.refuse(c); refused {
		r.plan.Unschedulable = append(r.plan.Unschedulable, refusal)
		r.record(Decision{Action: ActionRefuse, Task: c.task.ID, Reason: refusal.Reason, Detail: refusal.Detail, Slack: c.slack})
		return
	}
	if t, found := r.teams[c.task.Team]; found && !c.need.Fits(t.left) {
		detail := fmt.Sprintf("needs %s, team %s has %s of its share left", describe(c.need), c.task.Team, describe(t.left))
		r.wait(c, structs.ReasonQuota, detail, nil)
		return
	}
	key := shape{class: c.class, service: c.service, need: c.need}
	if m := r.shapes[key]; m != nil && c.limit <= m.limit && (m.forced || !c.forced) && !r.holds(c) {
		r.wait(c, mainReason(m.rejections), "", m.rejections)
		return
	}
	found := r.search(c)
	if len(found.ranked) == 0 {
		rejections := found.rejected
		if len(c.task.FailedOn) == 0 && c.avoid == "" {
			r.shapes[key] = &misfit{limit: c.limit, forced: c.forced, rejections: rejections}
		}
		r.wait(c, mainReason(rejections), "", rejections)
		return
	}
	r.start(c, &found)
}

func (r *round) wait(c *candidate, reason structs.Reason, detail string, rejections []Rejection) {
	r.plan.Waiting++
	r.record(Decision{Action: ActionWait, Task: c.task.ID, Reason: reason, Detail: detail, Slack: c.slack, Rejected: rejections})
}

// mainReason returns the reason that rejected most workers.
func mainReason(rejections []Rejection) structs.Reason {
	reason, most := structs.ReasonCapacity, 0
	for _, x := range rejections {
		if x.Workers > most {
			reason, most = x.Reason, x.Workers
		}
	}
	return reason
}

// start enters the placement into the plan and into the node.
func (r *round) start(c *candidate, found *search) {
	n := &r.nodes[found.ranked[0].node]
	r.plan.Placements = append(r.plan.Placements, Placement{Task: c.task.ID, Worker: n.worker.ID, Resources: c.need})
	if r.recording() {
		d := Decision{Action: ActionPlace, Task: c.task.ID, Worker: n.worker.ID, Harm: r.harm(c, n), Score: found.ranked[0].total, Slack: c.slack}
		d.Rejected = found.rejected
		d.Alternatives = found.alternatives(r, c)
		r.record(d)
	} else {
		r.plan.Dropped++
	}
	n.free = n.free.Sub(c.need)
	n.used = n.used.Add(c.use)
	n.starts++
	if t, found := r.teams[c.task.Team]; found {
		t.left = t.left.Sub(c.need)
	}
	if c.spread != nil {
		c.spread.add(n)
	}
	delete(r.plan.Memory.Reserved, c.task.ID)
	if n.holder != nil && *n.holder == c.task.ID {
		n.holder = nil
	}
	r.addPlaced(c, n)
}

// addPlaced lets the following tasks of the round see the harm of this one.
func (r *round) addPlaced(c *candidate, n *node) {
	untried := false
	for i := range n.services {
		s := &n.services[i]
		p := r.classes.pair(s.service, c.class)
		s.harm += p.mean
		untried = untried || p.deviation > r.options.UnknownDeviation
	}
	if untried && c.task.Kind == structs.WorkBatch {
		n.untried++
		r.probes[c.class]++
	}
	if c.service >= 0 {
		n.services = append(n.services, resident{service: c.service, harm: r.harmTo(c.service, n)})
	}
}

// startOffset returns where the search for a worker begins. Beginning
// elsewhere for each task keeps a bounded search from always seeing the same
// workers.
func startOffset(task structs.TaskID, size int) int {
	h := fnv.New32a()
	_, _ = h.Write([]byte(task.Job))
	return int((h.Sum32() + uint32(task.Index)*2654435761) % uint32(size))
}

// describe formats resources for people.
func describe(r structs.Resources) string {
	return fmt.Sprintf("%d milli_cpu, %d memory_mb, %d accelerators", r.MilliCPU, r.MemoryMB, r.Accelerators)
}
