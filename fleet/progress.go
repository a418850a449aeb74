package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
)

// Bounds of progress. A reading of a run moves with each hundredth of its work;
// declared run times are off by up to ten times, and workers up to eight times
// slower than others.
const (
	stuckAfter = 3 * time.Second // without progress at full pace
	stuckShare = 0.5             // of the declared run time, the same for longer tasks
	stuckPace  = 20              // percent below which a run need not move
	atWork     = 100             // percent of a long-running task that is at work
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
		w.record.stuck(now)
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
