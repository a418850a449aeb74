package fleet

import (
	"cmp"
	"slices"

	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// makeRoom stops runs on a worker that holds room for overdue long-running
// tasks, until what the tasks lack becomes free. Without it, they would wait for
// as long as the slowest run of the worker takes.
func (l *leader) makeRoom(v *steps.Worker) {
	var missing structs.Resources
	for _, h := range v.Holds {
		if h.IsOverdue {
			missing = h.Missing // includes what the holds before it lack
		}
	}
	if missing == (structs.Resources{}) {
		return
	}
	w := l.workers[v.ID]
	for _, r := range w.sortedRuns() {
		if r.isEnding() {
			missing = missing.Sub(reservedBy(r))
		}
	}
	if !lacksAny(missing, v.Reserved) {
		return // the ends that are awaited free enough
	}
	for _, r := range l.runsByStopCost(w) {
		if reserved := reservedBy(r); lacksAny(missing, reserved) {
			l.stop(w, r, "makes room for a long-running task")
			missing = missing.Sub(reserved)
		}
	}
}

// reservedBy returns the resources that become free when the run ends.
func reservedBy(r *run) structs.Resources { return r.job.reservedBy(r.id.Task) }

// reservedBy returns the resources that a run of the task reserves.
func (j *job) reservedBy(id structs.StepTaskID) structs.Resources {
	step := j.Step(id)
	reserved := step.Resources
	if step.Fills {
		reserved.MilliCPU = 0
	}
	return reserved
}

// lacksAny reports whether some of the missing resources are among those that
// are reserved.
func lacksAny(missing, reserved structs.Resources) bool {
	return missing.MilliCPU > 0 && reserved.MilliCPU > 0 || missing.MemoryMB > 0 && reserved.MemoryMB > 0 ||
		missing.Accelerators > 0 && reserved.Accelerators > 0
}

// runsByStopCost returns the runs of the worker that end by themselves and are not
// ending: those of the least urgent queues first, then copies, then
// single tasks before gangs, and those that lose the least work first.
func (l *leader) runsByStopCost(w *worker) []*run {
	runs := slices.DeleteFunc(slices.Clone(w.sortedRuns()), func(r *run) bool {
		return r.isEnding() || r.job.Step(r.id.Task).LongRunning
	})
	priorities := map[*job]int{}
	for _, r := range runs {
		priorities[r.job] = l.queueOf(r.job).Priority
	}
	slices.SortStableFunc(runs, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(priorities[b.job], priorities[a.job]),
			compareCopies(a, b),
			cmp.Compare(a.gangSize(), b.gangSize()),
			cmp.Compare(a.lostPercent(), b.lostPercent()),
		)
	})
	return runs
}

// compareCopies orders copies before other runs: their tasks run elsewhere.
func compareCopies(a, b *run) int {
	switch aIsCopy, bIsCopy := a.job.IsCopy(a.id), b.job.IsCopy(b.id); {
	case aIsCopy == bIsCopy:
		return 0
	case aIsCopy:
		return -1
	default:
		return 1
	}
}

// gangSize returns the number of runs that end with this one, besides it.
func (r *run) gangSize() int32 {
	if step := r.job.Step(r.id.Task); step.Gang {
		return step.Tasks
	}
	return 0
}

// lostPercent returns the share of the work that a stop loses, in percent.
func (r *run) lostPercent() int32 {
	if r.job.Step(r.id.Task).Checkpoints {
		return 0
	}
	return r.percent
}
