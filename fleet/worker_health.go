package fleet

import (
	"math"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/runtimes"
	"github.com/daisywall/daisywall/structs"
)

// Limits of the quarantine of a worker.
const (
	quarantineAfterFailures = 2 // weight of failed runs in a row before the first quarantine
	quarantineFirst         = 3 * time.Second
	quarantineMax           = 20 * time.Second
	// ordinaryFailureShare is the share of failed runs of an image up to which each
	// failure counts in full. The observed share of an image of which 2 to 5 of 100
	// runs fail varies up to it.
	ordinaryFailureShare = 0.1
	// quarantineChance is how likely a quarantine is due to an image that fails more
	// often, for a row of failures. With 0.01, a sound worker was quarantined once in
	// 250 runs of an image of which half of the runs fail.
	quarantineChance = 0.0025
	// minProlongingWeight is the weight of a failure, that of an image of which about
	// a quarter of the runs fail, below which it does not prolong a quarantine.
	minProlongingWeight = 0.5
	// maxUnattributed limits the failures of a worker that are kept until it
	// succeeds.
	maxUnattributed = 32
)

// Limits of the trials of a quarantined worker. The longest pause is a sixth of
// the default of Timing.RestartLimit, so that a long-running task whose only room
// is on such a worker runs there in time after the worker has recovered.
const (
	trialPauseFirst = 250 * time.Millisecond
	trialPauseMax   = DefaultRestartLimit / 6
	trialTime       = DefaultRestartLimit / 3 // time after which a trial that has not ended does not delay the next one
)

// workerHealth records recent failures of a worker. A worker whose runs fail
// without a success in between is quarantined, each time for longer. A
// quarantined worker gets single tasks as trials: without any task, it could not
// show that it has recovered.
type workerHealth struct {
	consecutiveFailures     float64                        // sum of the weights of the failures since the last success
	failedTasks             map[structs.StepTaskID]float64 // these weights, by task
	unattributed            []runtimes.Run                 // failed runs since the last success, see leader.attributeFailures
	quarantinedAt           bootclock.Time                 // start of the quarantine, 0 outside of one
	quarantineEndsAt        bootclock.Time
	quarantineDuration      time.Duration
	quarantinesSinceSuccess int            // quarantines since the last success
	hasSlowRuns             bool           // a run was stuck, too slow or did not start since the last success
	trial                   structs.RunID  // last trial of the quarantine, zero before the first
	nextTrialAt             bootclock.Time // earliest time of the next trial
	trialPause              time.Duration  // pause after the last failure until the next trial
}

// recordFailure counts a failed run with its weight. It returns true if a
// quarantine begins. A failure during a quarantine starts its time anew. A failure
// of an image that often fails on other workers too does not, nor does it begin the
// next quarantine.
func (h *workerHealth) recordFailure(id structs.RunID, weight float64, now bootclock.Time) (quarantineBegins bool) {
	h.consecutiveFailures += weight
	switch {
	case h.consecutiveFailures < quarantineAfterFailures:
		return false
	case h.consecutiveFailures-weight >= quarantineAfterFailures && weight < minProlongingWeight:
		return false
	case h.quarantinedAt == 0:
		quarantineBegins = true
		h.quarantinedAt = now
		h.quarantinesSinceSuccess++
		h.quarantineDuration = min(quarantineMax, max(quarantineFirst, 2*h.quarantineDuration))
		h.trial, h.trialPause = structs.RunID{}, trialPauseFirst
	case id == h.trial:
		h.trialPause = min(trialPauseMax, 2*h.trialPause)
	}
	h.quarantineEndsAt = now.Add(h.quarantineDuration)
	h.nextTrialAt = now.Add(h.trialPause)
	return quarantineBegins
}

// recordSlowRun counts a run that was stuck, far slower than others or did not
// start. It quarantines the worker at once, and returns true if the quarantine begins.
func (h *workerHealth) recordSlowRun(id structs.RunID, now bootclock.Time) (quarantineBegins bool) {
	h.hasSlowRuns = true
	h.consecutiveFailures = max(h.consecutiveFailures, quarantineAfterFailures-1)
	return h.recordFailure(id, 1, now)
}

// countFailure remembers which task has failed.
func (h *workerHealth) countFailure(id structs.StepTaskID, weight float64) {
	if h.failedTasks == nil {
		h.failedTasks = map[structs.StepTaskID]float64{}
	}
	h.failedTasks[id] += weight
}

// forgetFailures removes the failures of a task. It returns true if the
// quarantine ends, since too few other failures are left.
func (h *workerHealth) forgetFailures(id structs.StepTaskID) (quarantineEnds bool) {
	h.consecutiveFailures -= h.failedTasks[id]
	delete(h.failedTasks, id)
	return h.quarantinedAt != 0 && !h.hasSlowRuns && h.consecutiveFailures < quarantineAfterFailures
}

// isQuarantinedWithout reports whether the worker is quarantined for failures of
// other tasks than this one.
func (h *workerHealth) isQuarantinedWithout(id structs.StepTaskID) bool {
	others := len(h.failedTasks)
	if h.failedTasks[id] > 0 {
		others--
	}
	return h.quarantinedAt != 0 && (h.hasSlowRuns || others > 0)
}

// allowsTrial reports whether a task may start on the quarantined worker as a
// trial.
func (w *worker) allowsTrial(now bootclock.Time) bool {
	if w.health.trial == (structs.RunID{}) {
		return now >= w.health.nextTrialAt
	}
	trial, isRunning := w.runs[w.health.trial]
	return now >= w.health.nextTrialAt && (!isRunning || now.Sub(trial.assignedAt) >= trialTime)
}

// Causes of a quarantine, for logs and metrics.
const (
	causeFailed    = "failed"
	causeStuck     = "stands still"
	causeSlow      = "far slower than its step"
	causeUnstarted = "does not start"
)

// recordFailedRun counts a run that failed against its worker, unless the task
// has failed on another worker as well: a task that fails on several workers
// says nothing about them, and no longer counts against the others either.
func (l *leader) recordFailedRun(w *worker, j *job, id structs.RunID) {
	failedElsewhere := false
	for _, other := range j.failedOn[id.Task] {
		if other != w.id {
			failedElsewhere = true
			l.forgetFailures(l.workers[other], id.Task)
		}
	}
	j.avoidWorker(id.Task, w.id)
	if !failedElsewhere {
		l.recordWorkerFailure(w, id, causeFailed)
	}
}

func (l *leader) forgetFailures(w *worker, id structs.StepTaskID) {
	if w != nil && w.health.forgetFailures(id) {
		l.logQuarantineEnd(w, "tasks failed elsewhere")
		w.health = workerHealth{unattributed: w.health.unattributed}
	}
}

// failureWeight returns how much a failed run counts against its worker, at most 1.
// If many runs of its image fail elsewhere, so many failures in a row have the weight
// of a quarantine that they are due to the image with quarantineChance.
func (l *leader) failureWeight(id structs.StepTaskID) float64 {
	j := l.jobs[id.Job]
	if j == nil || j.Step(id).LongRunning {
		return 1
	}
	share := l.predictRunTime(j, id.Step).FailureShare
	if share <= ordinaryFailureShare {
		return 1
	}
	return quarantineAfterFailures * math.Log(share) / math.Log(quarantineChance)
}

// attributeFailures adds the failures of a worker that has succeeded since to the
// model: they are probably due to their images. Those of a worker that fails all
// runs would make its images look as if they failed everywhere.
func (l *leader) attributeFailures(w *worker) {
	failed := w.health.unattributed
	w.health.unattributed = nil
	l.observeRuns(failed)
}

// recordWorkerFailure counts a run that failed, was stuck, was too slow or did
// not start against the health of its worker.
func (l *leader) recordWorkerFailure(w *worker, id structs.RunID, cause string) {
	now := l.o.Clock()
	var quarantineBegins bool
	if cause == causeFailed {
		weight := l.failureWeight(id.Task)
		w.health.countFailure(id.Task, weight)
		quarantineBegins = w.health.recordFailure(id, weight, now)
	} else {
		quarantineBegins = w.health.recordSlowRun(id, now)
	}
	if !quarantineBegins {
		return
	}
	l.metrics.count(l.metrics.quarantines, cause)
	l.log.Info("worker quarantined", zap.String("worker", string(w.id)), zap.String("cause", cause), zap.Stringer("run", id),
		zap.Duration("for", w.health.quarantineDuration), zap.Float64("failures", w.health.consecutiveFailures),
		zap.Int("quarantines_since_success", w.health.quarantinesSinceSuccess))
}

// recordWorkerSuccess records a run that has succeeded, or is steadily at work
// as a long-running one. It resets the failures of its worker and ends the
// quarantine. During a quarantine it ignores runs that were assigned before: a
// worker that fails what it starts may complete what it has started before.
func (l *leader) recordWorkerSuccess(w *worker, r *run) {
	if w.health.quarantinedAt != 0 && (r == nil || r.assignedAt < w.health.quarantinedAt) {
		return
	}
	l.logQuarantineEnd(w, "success")
	l.attributeFailures(w)
	w.health = workerHealth{}
}

// endLapsedQuarantine ends the quarantine of a worker whose time is over.
func (l *leader) endLapsedQuarantine(w *worker, now bootclock.Time) {
	if w.health.quarantinedAt == 0 || now < w.health.quarantineEndsAt {
		return
	}
	l.logQuarantineEnd(w, "time over")
	w.health.quarantinedAt = 0
}

func (l *leader) logQuarantineEnd(w *worker, reason string) {
	if w.health.quarantinedAt == 0 {
		return
	}
	l.log.Info("quarantine ended", zap.String("worker", string(w.id)), zap.String("reason", reason),
		zap.Duration("lasted", l.o.Clock().Sub(w.health.quarantinedAt)), zap.Float64("failures", w.health.consecutiveFailures),
		zap.Stringer("trial", w.health.trial))
}

// healthPenalty returns 1 during a quarantine, 0 if no run has failed since the
// last success, and a value in between otherwise.
func (h *workerHealth) healthPenalty(now bootclock.Time) float64 {
	switch {
	case now < h.quarantineEndsAt:
		return 1
	case h.consecutiveFailures > 0:
		return h.consecutiveFailures / (quarantineAfterFailures + h.consecutiveFailures)
	default:
		return 0
	}
}
