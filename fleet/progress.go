package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Bounds of progress. A reading of a run moves with each hundredth of its work;
// declared run times are off by up to ten times, and workers up to eight times
// slower than others.
const (
	stuckAfter = 3 * time.Second // without progress at full pace
	stuckShare = 0.5             // of the declared run time, the same for longer tasks
	stuckPace  = 20              // percent below which a run need not move
	atWork     = 100             // percent of a long-running task that is at work
	fullPace   = 100             // percent
	// A rate is taken over this time at least, in which a list of the runner
	// surely comes.
	rateWindow     = 400 * time.Millisecond
	stragglerEvery = 200 * time.Millisecond // between two looks
)

// watchProgress stops runs that stand still, so that they start elsewhere. Load:
// workers whose tasks hang although the runner answers.
func (l *leader) watchProgress(w *worker, now bootclock.Time) {
	if !w.ready || now.Sub(w.listedAt) > l.o.Timing.Silence {
		return
	}
	for _, r := range w.sortedRuns() {
		if r.startedAt == 0 || r.stopping != "" || r.pace < stuckPace {
			continue
		}
		if !r.standsStill(now) {
			continue
		}
		w.record.heldUp(now)
		r.job.failedOn[r.run.Task] = append(r.job.failedOn[r.run.Task], w.id)
		l.stop(w, r, "stands still")
	}
}

// standsStill reports whether the run makes no progress although it should. A
// task without a declared run time may take any time for its next hundredth.
func (r *run) standsStill(now bootclock.Time) bool {
	step := r.job.Step(r.run.Task)
	if step.LongRunning {
		return r.percent < atWork && now.Sub(r.progressAt) >= stuckAfter
	}
	limit := max(stuckAfter, time.Duration(stuckShare*float64(step.Estimate)))
	return step.Estimate > 0 && now.Sub(r.progressAt) >= limit*100/time.Duration(r.pace)
}

// stepRun is a run whose progress compares with that of its step's others.
type stepRun struct {
	w *worker
	r *run
}

// watchStragglers stops runs that are far slower than the others of their step,
// so that they start elsewhere, and leaves their workers alone for a while.
func (l *leader) watchStragglers(now bootclock.Time) {
	if now.Sub(l.comparedAt) < stragglerEvery {
		return
	}
	l.comparedAt = now
	for _, runs := range l.comparable(now) {
		progress := make([]steps.Progress, len(runs))
		for i, s := range runs {
			progress[i] = s.progress()
		}
		for _, i := range steps.Stragglers(progress) {
			w, r := runs[i].w, runs[i].r
			w.record.heldUp(now)
			r.job.failedOn[r.run.Task] = append(r.job.failedOn[r.run.Task], w.id)
			l.stop(w, r, "far slower than its step")
		}
	}
}

// comparable groups the runs by step whose rates tell of their workers. Gangs
// work at one rate; a run that was slowed down, or is away from its input, is
// slow for another reason.
func (l *leader) comparable(now bootclock.Time) map[structs.StepID][]stepRun {
	groups := map[structs.StepID][]stepRun{}
	for _, w := range l.workers {
		if !w.ready || now.Sub(w.listedAt) > l.o.Timing.Silence {
			continue
		}
		for _, r := range w.runs {
			step := r.job.Step(r.run.Task)
			if r.startedAt == 0 || r.stopping != "" || r.paced || step.LongRunning || step.Gang ||
				step.Rack != "" && step.Rack != w.rack || w.listedAt.Sub(r.startedAt) < rateWindow {
				continue
			}
			id := r.run.Task.StepID()
			groups[id] = append(groups[id], stepRun{w, r})
		}
	}
	return groups
}

// progress returns the run's progress since it was first listed.
func (s stepRun) progress() steps.Progress {
	p := steps.Progress{
		Observed: s.w.listedAt.Sub(s.r.startedAt),
		Done:     float64(s.r.percent-s.r.startedWith) / 100,
		Left:     1 - float64(s.r.percent)/100,
	}
	if !s.r.job.Step(s.r.run.Task).Checkpoints {
		p.Restarts = float64(s.r.percent) / 100
	}
	return p
}
