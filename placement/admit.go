package placement

import (
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// Admit returns a *structs.RefusedError if a task of the declared size can
// never run on any of the workers or within the team's quota. Observed usage of
// the class overrides a declared size that is too large.
func Admit(e Estimates, workers []Worker, team Team, class string, declared structs.Resources) error {
	need := e.Reserve(class, declared)
	reason, detail := misfitReason(need, maxCapacity(workers), workers, team.Quota)
	if reason == "" {
		return nil
	}
	return &structs.RefusedError{Subject: "job", Reason: reason, Detail: detail}
}

// maxCapacity returns the highest capacity of any worker. Each resource may
// come from another worker.
func maxCapacity(workers []Worker) structs.Resources {
	var largest structs.Resources
	for i := range workers {
		c := workers[i].Capacity
		largest.MilliCPU = max(largest.MilliCPU, c.MilliCPU)
		largest.MemoryMB = max(largest.MemoryMB, c.MemoryMB)
		largest.Accelerators = max(largest.Accelerators, c.Accelerators)
	}
	return largest
}

// misfitReason returns why a need can never be met, or an empty reason if it
// can.
func misfitReason(need, largest structs.Resources, workers []Worker, quota structs.Resources) (structs.Reason, string) {
	if quota != (structs.Resources{}) && !need.Fits(quota) {
		return structs.ReasonQuota, fmt.Sprintf("one task needs %s, the team's whole quota is %s", formatResources(need), formatResources(quota))
	}
	for i := range workers {
		if need.Fits(workers[i].Capacity) {
			return "", ""
		}
	}
	return structs.ReasonCapacity, fmt.Sprintf("one task needs %s, no worker has more than %s", formatResources(need), formatResources(largest))
}

// findRefusal returns a refusal if the task can never run, because it fits no
// worker, exceeds the team's quota or has used up its attempts.
func (r *cycle) findRefusal(c *candidate) (Refusal, bool) {
	if len(r.snapshot.Workers) == 0 {
		return Refusal{}, false
	}
	if reason, detail := r.neverFitsReason(c); reason != "" {
		return Refusal{Task: c.task.ID, Reason: reason, Detail: detail}, true
	}
	if detail := r.exhaustedAttempts(c.task); detail != "" {
		return Refusal{Task: c.task.ID, Reason: structs.ReasonUnschedulable, Detail: detail}, true
	}
	return Refusal{}, false
}

// neverFitsReason returns why the task can never fit, or an empty reason if it
// can.
func (r *cycle) neverFitsReason(c *candidate) (structs.Reason, string) {
	for _, i := range r.openNodes {
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
	return misfitReason(c.need, maxCapacity(r.snapshot.Workers), r.snapshot.Workers, quota)
}

// exhaustedAttempts returns a description of the task's failures if they used
// up its attempts, else an empty text. Failures on quarantined workers don't
// count.
func (r *cycle) exhaustedAttempts(t *Task) string {
	attempts := t.MaxAttempts
	if attempts <= 0 {
		attempts = r.options.DefaultAttempts
	}
	failures := 0
	var workers []structs.WorkerID
	for _, w := range t.FailedOn {
		if !r.isQuarantined(w) {
			failures++
			workers = append(workers, w)
		}
	}
	if failures < int(attempts) {
		return ""
	}
	return fmt.Sprintf("failed %d times on %d workers that run other tasks, last on %s", failures, countDistinct(workers), workers[len(workers)-1])
}
