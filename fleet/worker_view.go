package fleet

import (
	"math"
	"slices"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// runSummary is what the runs of a worker contribute to its view. It is kept until
// the runs change in a way that it shows, or until validUntil.
type runSummary struct {
	reserved     structs.Resources
	longRunning  structs.Resources
	stalled      structs.Resources
	fillMilliCPU int64
	services     map[string]int // tasks with a latency target, by image
	probes       []string
	trial        structs.StepID
	runs         int            // number of runs that were summarised
	validUntil   bootclock.Time // first time at which the passing of time changes the summary
}

const never = bootclock.Time(math.MaxInt64)

// runsChanged discards what was derived from the runs of the worker. It is called
// whenever a run is added or removed, is ordered to stop, is listed for the first
// time, or has become a probe or ended to be one, and when a filling image becomes
// unproven on the worker or ends to be so.
func (w *worker) runsChanged() { w.summary = nil }

// isolationChanged discards what was derived from the runs of the job, because its
// tasks may have become isolated or ended to be so.
func (j *job) isolationChanged() {
	for _, r := range j.runs {
		r.worker.runsChanged()
	}
}

// summarise returns the summary of the worker's runs.
func (w *worker) summarise(now bootclock.Time) *runSummary {
	if s := w.summary; s == nil || now >= s.validUntil || s.runs != len(w.runs) {
		w.summary = w.newRunSummary(now)
	}
	return w.summary
}

func (w *worker) newRunSummary(now bootclock.Time) *runSummary {
	s := &runSummary{services: map[string]int{}, runs: len(w.runs), validUntil: never}
	for _, r := range w.sortedRuns() {
		step := r.job.Step(r.id.Task)
		need := step.Resources
		if step.Fills {
			s.fillMilliCPU += need.MilliCPU
			s.addProbe(w, r, step.Image, now)
			need.MilliCPU = 0
		}
		s.reserved = s.reserved.Add(need)
		switch {
		case step.LongRunning:
			s.longRunning = s.longRunning.Add(need)
		case r.stopReason == "":
		case now.Sub(r.stoppedAt) >= stopTimeout:
			s.stalled = s.stalled.Add(need)
		default:
			s.validUntil = min(s.validUntil, r.stoppedAt.Add(stopTimeout))
		}
		if step.LatencyTarget > 0 {
			s.services[step.Image]++
		}
		if r.isOnTrial(now) {
			s.trial = r.id.Task.StepID()
			if r.startedAt != 0 {
				s.validUntil = min(s.validUntil, r.startedAt.Add(r.job.TrialTime(r.id.Task)))
			}
		}
	}
	return s
}

// addProbe adds the image of a filling run to the probes if its outcome is awaited.
func (s *runSummary) addProbe(w *worker, r *run, image string, now bootclock.Time) {
	if !r.isProbe || w.isProbeInconclusive(image, now) {
		return
	}
	if since, found := w.probedSince[image]; found {
		s.validUntil = min(s.validUntil, since.Add(steps.MaxProbeTime))
	}
	if !slices.Contains(s.probes, image) {
		s.probes = append(s.probes, image)
	}
}

// fillView sets the view to the state of the worker. The view shares the map and the
// list of the summary: steps.Plan copies the map before it changes it, and the list
// has no room to append in place.
func (l *leader) fillView(v *steps.Worker, w *worker, now bootclock.Time) {
	s := w.summarise(now)
	*v = steps.Worker{
		ID: w.id, FailureDomain: w.domain, Rack: w.rack, Pool: w.pool, Labels: w.labels,
		TasksByServiceImage: s.services,
		Capacity:            w.capacity, Reserved: w.unassigned.Add(s.reserved), LongRunning: s.longRunning, Stalled: s.stalled,
		FillMilliCPU: s.fillMilliCPU, Probes: slices.Clip(s.probes), Trial: s.trial,
		HealthPenalty: w.health.healthPenalty(now), AllowsTrial: w.allowsTrial(now), SpeedTrial: w.nextSpeedTrial(now), LatencyRatio: w.latencyRatio, Speed: w.speed,
		// A task starts at full pace, so frequent starts would keep a service
		// over its target.
		AllowsFillOverTarget: now.Sub(w.fillAssignedAt) >= l.o.Timing.ViolationLimit,
		IsUnstable:           w.crash.isUnstable(now),
		IsFillThrottled:      w.isFillThrottled,
		SinceStart:           now.Sub(w.assignedAt),
		SinceTrial:           now.Sub(w.trialAt),
	}
}

// placementView returns the worker and its runs for the placement policy.
func (l *leader) placementView(w *worker) *steps.Worker {
	v := &steps.Worker{}
	l.fillView(v, w, l.o.Clock())
	return v
}

// sortedWorkers returns the workers by ID. Callers must not modify the list.
func (l *leader) sortedWorkers() []*worker {
	if len(l.workersByID) != len(l.workers) {
		l.workersByID = make([]*worker, 0, len(l.workers))
		for _, w := range l.workers {
			l.workersByID = append(l.workersByID, w)
		}
		slices.SortFunc(l.workersByID, func(a, b *worker) int { return compareWorkerIDs(a.id, b.id) })
	}
	return l.workersByID
}

// usableWorkers returns the workers that may get new tasks, by ID.
func (l *leader) usableWorkers(now bootclock.Time) []*worker {
	if !l.isConfigCurrent() {
		return nil
	}
	config, _ := l.config.Current()
	workers := make([]*worker, 0, len(l.workers))
	for _, w := range l.sortedWorkers() {
		if _, out := config.Drained[w.domain]; !out && l.usable(w, now) {
			workers = append(workers, w)
		}
	}
	return workers
}

// usableWorkerViews returns views of the workers that may get new tasks, sorted by
// ID.
func (l *leader) usableWorkerViews(now bootclock.Time) []*steps.Worker {
	workers := l.usableWorkers(now)
	storage, views := make([]steps.Worker, len(workers)), make([]*steps.Worker, len(workers))
	for i, w := range workers {
		l.fillView(&storage[i], w, now)
		views[i] = &storage[i]
	}
	return views
}
