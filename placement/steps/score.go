package steps

import "time"

// maxOverTargetWait is how long a filling task waits for a worker whose services
// are within their targets. Services may be over their targets for reasons of
// their own, so a longer wait could have no end.
const maxOverTargetWait = 2 * time.Second

// isOverTarget reports whether a service on the worker is near or above its
// target.
func (w *Worker) isOverTarget() bool { return w.LatencyRatio >= throttleRatio }

// Weights of the terms of a score. One unit is all processors of a worker.
const (
	interferenceWeight        = 4.0
	nonInterferingShareWeight = 0.4 // keeps workers on which many images may run for images that may run on few
	healthPenaltyWeight       = 1.0
	longRunningTrialWeight    = 16.0 // penalty of a trial for a long-running task, so that it is the last resort
	overTargetWeight          = 8.0  // penalty of a filling task for a worker with a service over its target
	failedBeforeWeight        = 4.0  // penalty for a worker on which the task failed before
	serviceFailedBeforeWeight = 8.0  // the same for a service, above all scores of serviceScore
	inputRackWeight           = 1.0  // bonus for the rack of the input; elsewhere a task takes 1.5 to 3 times as long
)

// A filling task is not placed on a worker where the probability that it
// interferes with a service exceeds maxInterferenceProbability, plus
// maxInterferencePerWaitSecond for each second that it has waited. After
// maxSuspectWait, tasks of the job may start on one worker where their image counts
// as interfering, so that a wrong estimate is found out.
const (
	maxInterferenceProbability   = 0.6
	maxInterferencePerWaitSecond = 0.05
	maxSuspectWait               = 10 * time.Second
)

// acceptsInterference reports whether a filling task may start on a worker where
// it interferes with a service with the probability.
func (d *Demand) acceptsInterference(w *Worker, probability float64) bool {
	switch {
	case len(d.Overdue) > 0 || d.IsIdle:
		return true
	case w.Suspect(d.interference, d.Spec.Image):
		// The task would be throttled as soon as it has started.
		return d.Waited >= maxSuspectWait && (d.disturbed == nil || d.disturbed == w)
	case d.Waited >= maxSuspectWait:
		return true
	case d.Waited < maxProbeWait && d.mustWaitForProbe(w):
		return false
	default:
		return probability <= maxInterferenceProbability+maxInterferencePerWaitSecond*d.Waited.Seconds()
	}
}

// score rates a feasible worker for a task, higher is better. It prefers idle
// processors, a low probability of interference, healthy workers and workers
// on which the task has not failed, and fast ones if it is placed by speed. It returns false if a filling task is too
// likely to interfere with a service on the worker.
func (d *Demand) score(w *Worker, index int32) (float64, bool) {
	capacity := float64(max(1, w.Capacity.MilliCPU))
	score := float64(w.Capacity.MilliCPU-w.Reserved.MilliCPU) / capacity
	switch {
	case d.Spec.Fills:
		probability := w.InterferenceProbability(d.interference, d.Spec.Image)
		if !d.acceptsInterference(w, probability) {
			return 0, false
		}
		score = d.idleShare(w) - interferenceWeight*probability - nonInterferingShareWeight*w.nonInterferingImageShare(d.interference)
		if w.isOverTarget() {
			score -= overTargetWeight
		}
	case d.Spec.LatencyTarget > 0:
		score = d.serviceScore(w, score)
	}
	score -= healthPenaltyWeight*w.HealthPenalty + d.speedPenalty(w)
	if w.isOnTrial() && w.Trial != d.stepID() {
		score -= besideTrialWeight
	}
	if w.isQuarantined() && d.Spec.LongRunning {
		score -= longRunningTrialWeight
	}
	if d.hasFailedOn(w, index) {
		score -= d.failedBeforePenalty()
	}
	if d.Spec.Rack != "" && d.Spec.Rack == w.Rack {
		score += inputRackWeight
	}
	return score, true
}
