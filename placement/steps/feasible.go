package steps

import "slices"

// feasible reports whether the task may start on the worker now.
func (d *Demand) feasible(w *Worker, index int32) bool {
	if !d.isEligible(w) || w.isQuarantined() && !d.mayTry(w, index) || !d.mayJoinTrial(w, index) || !d.mayStartOnUnstable(w, index) || !d.hasRoom(w) {
		return false
	}
	return d.mayFill(w)
}

// mayFill reports whether a filling task of the step may use what the other tasks
// leave on the worker. Other tasks always may.
func (d *Demand) mayFill(w *Worker) bool {
	if !d.Spec.Fills || len(d.Overdue) > 0 {
		return true
	}
	if w.isOverTarget() && !d.IsIdle && (d.Waited < maxOverTargetWait || !w.AllowsFillOverTarget) {
		return false
	}
	return w.idleMilliCPU() >= minIdleShare*float64(d.Spec.Resources.MilliCPU)
}

// isEligible reports whether the step may run on the worker at all, apart from
// the worker's health and room.
func (d *Demand) isEligible(w *Worker) bool {
	return w.Pool == d.Pool && (d.Permitted == nil || d.Permitted[w.ID]) && d.hasLabel(w) && d.mayAddCopy(w)
}

// failedBeforePenalty returns the penalty of a worker on which the task has
// failed. A service would otherwise return there for the sake of its image.
func (d *Demand) failedBeforePenalty() float64 {
	if d.Spec.LatencyTarget > 0 {
		return serviceFailedBeforeWeight
	}
	return failedBeforeWeight
}

// hasFailedOn reports whether the task has failed on the worker.
func (d *Demand) hasFailedOn(w *Worker, index int32) bool {
	return slices.Contains(d.FailedOn[index], w.ID)
}

// isQuarantined reports whether the worker gets no tasks but trials.
func (w *Worker) isQuarantined() bool { return w.HealthPenalty >= 1 }

// mayTry reports whether the task may start on the quarantined worker as a trial.
// An overdue task does not wait for the trials of others where it has not failed.
func (d *Demand) mayTry(w *Worker, index int32) bool {
	return !d.Spec.Gang && (w.AllowsTrial || d.Overdue[index] && !slices.Contains(d.Restarts[index].FailedOn, w.ID))
}

// mayFailTrial reports whether the task can afford a failed trial. Long-running
// tasks have unlimited attempts. Other tasks lose at most one attempt by trials.
func (d *Demand) mayFailTrial(index int32) bool {
	return d.Spec.LongRunning || len(d.FailedOn[index]) == 0
}
