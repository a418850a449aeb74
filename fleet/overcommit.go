package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// overcommitDelay is how long the capacity of a worker is below what its runs
// reserve before some of them are moved.
const overcommitDelay = time.Second

// relieveOvercommit moves runs that lose no work off a worker whose capacity has
// shrunk below what its runs reserve. The others go on: short tasks without a
// checkpoint end by themselves, and long-running tasks stay at work.
func (l *leader) relieveOvercommit(w *worker, now bootclock.Time) {
	if !w.ready {
		return
	}
	missing := w.reservedBeside(nil).Sub(w.capacity)
	if !lacksAnything(missing) {
		if w.overcommittedSince != 0 {
			l.log.Info("worker within its capacity", zap.String("worker", string(w.id)), zap.Duration("after", now.Sub(w.overcommittedSince)))
		}
		w.overcommittedSince = 0
		return
	}
	if w.overcommittedSince == 0 {
		w.overcommittedSince = now
		l.log.Warn("worker over its capacity", zap.String("worker", string(w.id)), zap.Any("capacity", w.capacity), zap.Any("missing", missing))
		l.countOvercommit(missing)
	}
	if now.Sub(w.overcommittedSince) < overcommitDelay {
		return
	}
	for _, r := range w.runs {
		if r.isEnding() {
			missing = missing.Sub(reservedBy(r))
		}
	}
	for _, r := range l.movableRuns(w) {
		if reserved := reservedBy(r); lacksAny(missing, reserved) {
			l.stop(w, r, "capacity shrank")
			missing = missing.Sub(reserved)
		}
	}
}

func lacksAnything(missing structs.Resources) bool {
	return missing.MilliCPU > 0 || missing.MemoryMB > 0 || missing.Accelerators > 0
}

// movableRuns returns the runs that resume elsewhere from a checkpoint, the
// filling ones first. Gangs are left out, since a stop of one member ends the
// runs on other workers too.
func (l *leader) movableRuns(w *worker) []*run {
	runs := slices.DeleteFunc(l.runsByStopCost(w), func(r *run) bool {
		step := r.job.Step(r.id.Task)
		return !step.Checkpoints || step.Gang
	})
	slices.SortStableFunc(runs, func(a, b *run) int {
		switch aFills, bFills := a.job.Step(a.id.Task).Fills, b.job.Step(b.id.Task).Fills; {
		case aFills == bFills:
			return 0
		case aFills:
			return -1
		default:
			return 1
		}
	})
	return runs
}

// countOvercommit counts a worker whose capacity has shrunk below what its runs
// reserve, by resource.
func (l *leader) countOvercommit(missing structs.Resources) {
	for resource, lacks := range map[string]bool{"cpu": missing.MilliCPU > 0, "memory": missing.MemoryMB > 0, "accelerators": missing.Accelerators > 0} {
		if lacks {
			l.metrics.count(l.metrics.overcommits, resource)
		}
	}
}
