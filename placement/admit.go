package placement

import (
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// Admit reports whether a task of the size can ever run on one of the workers
// and within the team's quota. It returns *structs.RefusedError if not. Known
// usage of the class overrides a declared size that is too large.
func Admit(e Estimates, workers []Worker, team Team, class string, declared structs.Resources) error {
	need := e.Reserve(class, declared)
	reason, detail := misfitReason(need, largest(workers), workers, team.Quota)
	if reason == "" {
		return nil
	}
	return &structs.RefusedError{Subject: "job", Reason: reason, Detail: detail}
}

// largest returns the largest amount of each resource that any worker has.
func largest(workers []Worker) structs.Resources {
	var l structs.Resources
	for i := range workers {
		c := workers[i].Capacity
		l.MilliCPU = max(l.MilliCPU, c.MilliCPU)
		l.MemoryMB = max(l.MemoryMB, c.MemoryMB)
		l.Accelerators = max(l.Accelerators, c.Accelerators)
	}
	return l
}

// misfitReason returns why a need can never be met, empty if it can.
func misfitReason(need, most structs.Resources, workers []Worker, quota structs.Resources) (structs.Reason, string) {
	if quota != (structs.Resources{}) && !need.Fits(quota) {
		return structs.ReasonQuota, fmt.Sprintf("one task needs %s, the team's whole quota is %s", describe(need), describe(quota))
	}
	for i := range workers {
		if need.Fits(workers[i].Capacity) {
			return "", ""
		}
	}
	return structs.ReasonCapacity, fmt.Sprintf("one task needs %s, no worker has more than %s", describe(need), describe(most))
}

// refuse decides whether the task can never run: it fits no worker, or it has
// failed everywhere it was tried.
func (r *round) refuse(c *candidate) (Refusal, bool) {
	if len(r.snapshot.Workers) == 0 {
		return Refusal{}, false
	}
	if reason, detail := r.neverFits(c); reason != "" {
		return Refusal{Task: c.task.ID, Reason: reason, Detail: detail}, true
	}
	if detail := r.ownFault(c.task); detail != "" {
		return Refusal{Task: c.task.ID, Reason: structs.ReasonUnschedulable, Detail: detail}, true
	}
	return Refusal{}, false
}

func (r *round) neverFits(c *candidate) (structs.Reason, string) {
	for _, i := range r.active {
		if c.need.Fits(r.nodes[i].worker.Capacity) {
			if t, found := r.teams[c.task.Team]; !found || t.quota == (structs.Resources{}) || c.need.Fits(t.quota) {
				return "", ""
			}
			break
		}
	}
	var quota structs.Resources
	if t, found := r.teams[c.task.Team]; found {
		quota = t.quota
	}
	return misfitReason(c.need, largest(r.snapshot.Workers), r.snapshot.Workers, quota)
}

// ownFault explains why repeated failures are the task's own fault, empty if
// they are not.
func (r *round) ownFault(t *Task) string {
	attempts := t.MaxAttempts
	if attempts <= 0 {
		attempts = r.options.DefaultAttempts
	}
	blamed := 0
	var workers []structs.WorkerID
	for _, w := range t.FailedOn {
		if !r.closed(w) {
			blamed++
			workers = append(workers, w)
		}
	}
	if blamed < int(attempts) {
		return ""
	}
	return fmt.Sprintf("failed %d times on %d workers that run other tasks, last on %s", blamed, distinct(workers), workers[len(workers)-1])
}
