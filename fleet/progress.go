package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Limits for detecting stuck runs and stragglers. The reported progress changes
// with each percent of the work. Declared run times are wrong by up to a factor
// of ten, and some workers are up to eight times slower than others.
const (
	stuckAfter          = 3 * time.Second // time without progress at full pace after which a run is stuck
	stuckEstimateShare  = 0.5             // share of the declared run time after which a run is stuck if that is longer than stuckAfter
	stuckMinPacePercent = 20              // runs with a lower pace are not checked
	workingPercent      = 100             // progress of a long-running task that is working
	fullPacePercent     = 100
	// Shortest time over which rates are compared. The runner sends at least
	// one list in this time.
	rateWindow        = 400 * time.Millisecond
	stragglerInterval = 200 * time.Millisecond // time between two searches for stragglers
)

// discountSilence leaves the time in which the worker has listed no runs out of
// the times from which the leader judges them. A host that was paused did no work
// meanwhile, and its work goes on as long as the lease has not lapsed.
func (w *worker) discountSilence(silent time.Duration, now bootclock.Time) {
	for _, r := range w.runs {
		r.progressAt = min(now, r.progressAt.Add(silent))
		r.ratedSince = min(now, r.ratedSince.Add(silent))
		if r.startOrderedAt != 0 {
			r.startOrderedAt = min(now, r.startOrderedAt.Add(silent))
		}
	}
}

// stopUnstartedRuns stops runs that the worker has not listed for too long, so
// that they start on other workers. The agent repeats a start that the runner
// refuses as unhealthy or does not answer. The run stays assigned until it
// cannot start any more.
func (l *leader) stopUnstartedRuns(w *worker, runs []*run, now bootclock.Time) {
	if !w.ready || now.Sub(w.listedAt) > l.o.Timing.SessionTimeout {
		return
	}
	for _, r := range runs {
		if r.startedAt != 0 || r.isEnding() || r.startOrderedAt == 0 || !l.isStartOverdue(w, r) {
			continue
		}
		l.recordWorkerFailure(w, r.id, causeUnstarted)
		r.job.avoidWorker(r.id.Task, w.id)
		l.stop(w, r, causeUnstarted)
	}
}

// isStartOverdue reports whether the start of a run takes too long. On a worker
// that goes on starting other runs it may take twice as long, since the agent
// limits the starts in progress. Only time up to the last list counts.
func (l *leader) isStartOverdue(w *worker, r *run) bool {
	limit := l.o.Timing.startLimit()
	if w.listedAt.Sub(w.runStartedAt) < limit {
		limit *= 2
	}
	return w.listedAt.Sub(r.startOrderedAt) >= limit
}

// stopStuckRuns stops runs without progress, so that they start on other
// workers. On some workers tasks hang although the runner answers.
func (l *leader) stopStuckRuns(w *worker, runs []*run, now bootclock.Time) {
	if !w.ready || now.Sub(w.listedAt) > l.o.Timing.SessionTimeout {
		return
	}
	for _, r := range runs {
		if r.startedAt == 0 || r.isEnding() || r.pace < stuckMinPacePercent {
			continue
		}
		if !r.isStuck(w.listedAt) {
			continue
		}
		l.recordWorkerFailure(w, r.id, causeStuck)
		r.job.avoidWorker(r.id.Task, w.id)
		l.stop(w, r, causeStuck)
	}
}

// isStuck reports whether the run had made no progress for too long when it was
// last listed. A task without a declared run time is never stuck, because it may
// take any time for the next percent.
func (r *run) isStuck(listedAt bootclock.Time) bool {
	step := r.job.Step(r.id.Task)
	if step.LongRunning {
		return r.percent < workingPercent && listedAt.Sub(r.progressAt) >= stuckAfter
	}
	limit := max(stuckAfter, time.Duration(stuckEstimateShare*float64(step.Estimate)))
	return step.Estimate > 0 && listedAt.Sub(r.progressAt) >= limit*100/time.Duration(r.pace)
}

// stepRun is a run whose progress is compared with other runs of its step.
type stepRun struct {
	w *worker
	r *run
}

// stopStragglers stops runs that are far slower than the others of their step,
// so that they start on other workers. Their workers are quarantined. A run whose
// task has another run goes on: the task runs elsewhere already.
func (l *leader) stopStragglers(now bootclock.Time) {
	if now.Sub(l.stragglersCheckedAt) < l.workInterval(stragglerInterval, reducedSearches) {
		return
	}
	l.stragglersCheckedAt = now
	for _, runs := range l.comparable(now) {
		progress := make([]steps.Progress, len(runs))
		for i, s := range runs {
			progress[i] = s.progress()
		}
		for _, i := range steps.Stragglers(progress) {
			w, r := runs[i].w, runs[i].r
			if r.hasTwoRuns() {
				continue
			}
			l.recordWorkerFailure(w, r.id, causeSlow)
			r.job.avoidWorker(r.id.Task, w.id)
			l.stop(w, r, causeSlow)
		}
	}
}

// comparable groups, by step, the runs whose rate depends only on their
// worker. It leaves out gangs, whose members work at one rate, and runs that
// were throttled or are on another rack than their input.
func (l *leader) comparable(now bootclock.Time) map[structs.StepID][]stepRun {
	groups := map[structs.StepID][]stepRun{}
	for _, w := range l.workers {
		if !w.ready || now.Sub(w.listedAt) > l.o.Timing.SessionTimeout {
			continue
		}
		for _, r := range w.runs {
			step := r.job.Step(r.id.Task)
			if r.startedAt == 0 || r.isEnding() || r.wasThrottled || step.LongRunning || step.Gang ||
				step.Rack != "" && step.Rack != w.rack || w.listedAt.Sub(r.ratedSince) < rateWindow {
				continue
			}
			id := r.id.Task.StepID()
			groups[id] = append(groups[id], stepRun{w, r})
		}
	}
	return groups
}

// progress returns the progress of the run since it was first listed.
func (s stepRun) progress() steps.Progress {
	p := steps.Progress{
		Observed: s.w.listedAt.Sub(s.r.ratedSince),
		Done:     float64(s.r.percent-s.r.initialPercent) / 100,
		Left:     1 - float64(s.r.percent)/100,
	}
	if !s.r.job.Step(s.r.id.Task).Checkpoints {
		p.RedoneOnRestart = float64(s.r.percent) / 100
	}
	return p
}
