package fleet

import (
	"context"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// Each reading of a runner covers about the last half second.
const (
	readingWindow     = 900 * time.Millisecond // time for which a reading may still show the effect of a neighbour
	readingInterval   = 800 * time.Millisecond // time between two updates of the model, so that readings don't overlap
	restartMaxPercent = 10                     // a run without checkpoints is stopped only up to this progress
	throttledPercent  = 50                     // a run with a lower pace counts as throttled
)

// stopDisturbs is the reason of the stop of a filling task that interferes with a
// service.
const stopDisturbs = "disturbs a service"

// paceSample holds the pace, from 0 to 1, of each filling image on a worker at
// the time of one report. For an image of several tasks, it holds the highest
// of their paces.
type paceSample struct {
	at    bootclock.Time
	paces map[string]float64
}

// updateInterference updates the interference model from the readings of a
// worker's services, then finds the filling tasks that interfere with them and
// stops throttled ones that can run elsewhere.
func (l *leader) updateInterference(w *worker, now bootclock.Time) {
	runs := w.sortedRuns()
	w.samplePaces(runs, now)
	l.observePaces(w, runs, now)
	latencyRatios := map[string]float64{}
	overTarget := false
	w.latencyRatio = 0
	for _, r := range runs {
		step := r.job.Step(r.id.Task)
		if step.LatencyTarget <= 0 || r.reading <= 0 || r.startedAt == 0 || r.isEndAwaited() {
			continue
		}
		ratio := float64(r.reading) / float64(step.LatencyTarget.Milliseconds())
		w.latencyRatio = max(w.latencyRatio, ratio)
		if now.Sub(r.startedAt) < readingWindow {
			continue
		}
		overTarget = overTarget || ratio > 1
		latencyRatios[step.Image] = max(latencyRatios[step.Image], ratio)
	}
	if now.Sub(w.interferenceUpdatedAt) >= l.workInterval(readingInterval, reducedReadings) {
		w.interferenceUpdatedAt = now
		neighbours := w.neighbours()
		for image, ratio := range latencyRatios {
			l.interference.Learn(image, ratio, neighbours)
		}
	}
	l.updateSuspects(w, runs, overTarget, now)
}

// samplePaces records the current pace of the filling tasks.
func (w *worker) samplePaces(runs []*run, now bootclock.Time) {
	sample := paceSample{at: now, paces: map[string]float64{}}
	for _, r := range runs {
		if step := r.job.Step(r.id.Task); step.Fills && r.startedAt != 0 && !r.isEndAwaited() {
			sample.paces[step.Image] = max(sample.paces[step.Image], float64(r.pace)/100)
		}
	}
	w.paceSamples = append(w.paceSamples, sample)
	// The last sample before the window is kept: it is the pace at the start of
	// the window.
	for len(w.paceSamples) > 1 && now.Sub(w.paceSamples[1].at) >= readingWindow {
		w.paceSamples = w.paceSamples[1:]
	}
}

// neighbours returns the filling images that may have affected the worker's
// readings, with their lowest and highest pace.
func (w *worker) neighbours() []steps.Neighbour {
	most := map[string]float64{}
	for _, sample := range w.paceSamples {
		for image, pace := range sample.paces {
			most[image] = max(most[image], pace)
		}
	}
	var list []steps.Neighbour
	for image, pace := range most {
		if pace == 0 {
			continue
		}
		n := steps.Neighbour{Image: image, MinPace: 1, MaxPace: pace}
		for _, sample := range w.paceSamples {
			n.MinPace = min(n.MinPace, sample.paces[image])
		}
		list = append(list, n)
	}
	return list
}

// updateSuspects finds the filling tasks of a worker that probably interfere
// with the worker's services. A throttled suspect keeps other tasks from the
// worker. It is stopped if it can continue elsewhere from a checkpoint or has
// little work to lose. A run of a job that had been idle is stopped only if there
// is a worker where the task would not interfere: the job would else be idle again.
func (l *leader) updateSuspects(w *worker, runs []*run, overTarget bool, now bootclock.Time) {
	view := l.placementView(w)
	var suspects, unproven []structs.RunID
	for _, r := range runs {
		step := r.job.Step(r.id.Task)
		if !step.Fills {
			continue
		}
		r.setProbe(view.Unproven(l.interference, step.Image))
		w.recordProbe(step.Image, r.isProbe, now)
		if !view.Suspect(l.interference, step.Image) {
			if r.isProbe {
				unproven = append(unproven, r.id)
			}
			continue
		}
		suspects = append(suspects, r.id)
		throttled := overTarget || r.pace < throttledPercent
		// Long-running tasks are only throttled, because a stop would use up
		// the disruption budget of their step.
		movable := !step.LongRunning && (step.Checkpoints || r.percent <= restartMaxPercent)
		if !r.isEnding() && r.startedAt != 0 && throttled && movable && (!r.startedForIdleJob || l.canRunElsewhere(w, r)) {
			l.stop(w, r, stopDisturbs)
		}
	}
	if !slices.Equal(suspects, w.suspects) {
		l.log.Info("suspects", zap.String("worker", string(w.id)), zap.Stringers("runs", suspects), zap.Bool("strained", overTarget))
		w.suspects = suspects
		w.outbox.replyDue = true
	}
	if !slices.Equal(unproven, w.unproven) {
		w.unproven = unproven
		w.outbox.replyDue = true
	}
}

// recordProbe records whether a filling image that the worker runs is unproven there.
func (w *worker) recordProbe(image string, isUnproven bool, now bootclock.Time) {
	switch _, found := w.probedSince[image]; {
	case !isUnproven:
		if found {
			delete(w.probedSince, image)
			w.runsChanged()
		}
	case !found:
		if w.probedSince == nil {
			w.probedSince = map[string]bootclock.Time{}
		}
		w.probedSince[image] = now
		w.runsChanged()
	}
}

func (r *run) setProbe(isProbe bool) {
	if r.isProbe != isProbe {
		r.isProbe = isProbe
		r.worker.runsChanged()
	}
}

// isProbeInconclusive reports whether the worker has run an unproven image for so
// long that its outcome is not awaited any more.
func (w *worker) isProbeInconclusive(image string, now bootclock.Time) bool {
	since, found := w.probedSince[image]
	return found && now.Sub(since) >= steps.MaxProbeTime
}

// addEstimate adds a filling run that is about to start to the worker's suspects
// or unproven runs, so that the agent has them with the start.
func (l *leader) addEstimate(w *worker, r *run) {
	suspect, unproven := false, false
	for _, other := range w.runs {
		if step := other.job.Step(other.id.Task); step.LatencyTarget > 0 {
			p := l.interference.Probability(step.Image, r.job.Step(r.id.Task).Image)
			suspect, unproven = suspect || steps.IsSuspect(p), unproven || steps.IsUnproven(p)
		}
	}
	r.setProbe(unproven)
	switch {
	case suspect && !slices.Contains(w.suspects, r.id):
		w.suspects = append(w.suspects, r.id)
	case unproven && !suspect && !slices.Contains(w.unproven, r.id):
		w.unproven = append(w.unproven, r.id)
	}
}

// canRunElsewhere reports whether the run's task could continue on another worker
// without interfering with a service there.
func (l *leader) canRunElsewhere(w *worker, r *run) bool {
	id, queue := r.id.Task, l.queueOf(r.job)
	d := steps.Demand{
		Job: id.Job, Round: id.Round, Step: id.Step, Spec: r.job.Step(id), Pool: queue.Pool, Priority: queue.Priority, Tasks: []int32{id.Index},
	}
	return steps.CanRunWithoutInterference(l.usableWorkerViews(l.o.Clock()), d, w.id, l.interference)
}

// beginStoppedWait records the end of a run that was stopped or moved because of a service,
// so that its task goes before first starts. Only this leader has the record: after
// a leader change, the task is ordered with the others of its step.
func (l *leader) beginStoppedWait(r *run) {
	if r != nil && (r.stopReason == stopDisturbs || r.stopReason == stopThrottled) && r.job.Task(r.id.Task).State == workflow.Pending {
		r.job.stoppedAt[r.id.Task] = l.o.Clock()
	}
}

// endStoppedWait records that a task is assigned again.
func (l *leader) endStoppedWait(j *job, id structs.StepTaskID) {
	if at, found := j.stoppedAt[id]; found {
		l.metrics.stoppedWait.Record(context.Background(), l.o.Clock().Sub(at).Seconds())
		delete(j.stoppedAt, id)
	}
}
