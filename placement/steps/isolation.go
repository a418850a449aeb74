package steps

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits of the workers of a pool on which isolated tasks may be on trial at once.
const (
	minTrialWorkers    = 2
	trialWorkerDivisor = 2 // divides the size of the pool
)

// trialCalm is the time without a start after which a worker may begin a trial: a
// crash right after it is then due to the isolated task.
const trialCalm = 300 * time.Millisecond

// slowStartTasks is the number of tasks that an unstable worker gets at once. A
// runner that returns has the most room, and would otherwise get the whole backlog
// along with the task that crashes it next.
const slowStartTasks = 6

// Costs of a worker for a trial, which is expected to end all of its runs. One
// unit is all processors of the worker.
const (
	trialBusyCost        = 1.0
	trialLongRunningCost = 4.0
	trialCalmCost        = 8.0  // of trialCalm without a start that is still to pass
	trialUnstableCost    = 32.0 // a crash there says little about the task
)

// besideTrialWeight is the penalty of a worker with a trial for an overdue task.
const besideTrialWeight = 32.0

// MarkIsolated adds a task to Isolated.
func (d *Demand) MarkIsolated(index int32) {
	if d.Isolated == nil {
		d.Isolated = map[int32]bool{}
	}
	d.Isolated[index] = true
}

// reserveTrialWorkers chooses a worker for each pending isolated task, as far as
// the limits allow, and keeps the others' tasks away from it. The same worker is
// chosen in the next cycles, since it gets no further tasks.
func reserveTrialWorkers(workers []*Worker, demands []Demand) {
	var free map[structs.PoolID]int // further workers that may be reserved
	for i := range demands {
		d := &demands[i]
		if len(d.Isolated) == 0 || d.Spec.Gang {
			continue
		}
		if free == nil {
			free = freeTrialWorkers(workers)
		}
		for _, index := range d.Tasks {
			if !d.Isolated[index] || free[d.Pool] <= 0 {
				continue
			}
			if w := d.bestTrialWorker(workers, index); w != nil {
				w.Trial = d.stepID()
				d.setTrialWorker(index, w)
				free[d.Pool]--
			}
		}
	}
}

// freeTrialWorkers returns the number of workers of each pool that may be reserved
// in addition to those on trial.
func freeTrialWorkers(workers []*Worker) map[structs.PoolID]int {
	sizes, free := map[structs.PoolID]int{}, map[structs.PoolID]int{}
	for _, w := range workers {
		sizes[w.Pool]++
		if w.isOnTrial() {
			free[w.Pool]--
		}
	}
	for pool, size := range sizes {
		free[pool] += max(minTrialWorkers, size/trialWorkerDivisor)
	}
	return free
}

// bestTrialWorker returns the worker that costs least for a trial of the task, nil
// if none has room for it.
func (d *Demand) bestTrialWorker(workers []*Worker, index int32) *Worker {
	var best *Worker
	var lowest float64
	for _, w := range workers {
		if w.isOnTrial() || !d.isEligible(w) || w.isQuarantined() || d.isDelayedOn(w, index) || !d.hasRoom(w) {
			continue
		}
		if cost := w.trialCost(); best == nil || cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

func (w *Worker) trialCost() float64 {
	cost := trialBusyCost * float64(w.Reserved.MilliCPU) / float64(max(1, w.Capacity.MilliCPU))
	if w.LongRunning != (structs.Resources{}) {
		cost += trialLongRunningCost
	}
	if !w.isCalm() {
		cost += trialCalmCost * float64(trialCalm-w.SinceStart) / float64(trialCalm)
	}
	if w.IsUnstable {
		cost += trialUnstableCost
	}
	return cost
}

// mayStartOnUnstable reports whether the worker is stable or may get another task
// by now. Overdue tasks and gangs don't wait.
func (d *Demand) mayStartOnUnstable(w *Worker) bool {
	return !w.IsUnstable || len(d.Overdue) > 0 || d.Spec.Gang || w.isCalm() && w.started < slowStartTasks
}

func (d *Demand) setTrialWorker(index int32, w *Worker) {
	if d.trialWorkers == nil {
		d.trialWorkers = map[int32]*Worker{}
	}
	d.trialWorkers[index] = w
}

// trialWorker returns the worker that is reserved for the task, nil if there is
// none or a trial can't begin there yet. Without room, the worker is free again.
func (d *Demand) trialWorker(index int32) *Worker {
	w := d.trialWorkers[index]
	switch {
	case w == nil:
		return nil
	case !d.hasRoom(w):
		w.Trial = structs.StepID{}
		return nil
	case !w.isCalm():
		return nil
	default:
		return w
	}
}

// isOnTrial reports whether the worker has, or is reserved for, a run of an
// isolated task.
func (w *Worker) isOnTrial() bool { return w.Trial != structs.StepID{} }

func (w *Worker) isCalm() bool { return w.SinceStart >= trialCalm }

// mayJoinTrial reports whether a task of the step may start on the worker despite
// a trial there. A gang is tried as a whole, and an overdue task may find no other
// room.
func (d *Demand) mayJoinTrial(w *Worker) bool {
	return !w.isOnTrial() || len(d.Overdue) > 0 || d.Spec.Gang && w.Trial == d.stepID()
}

// needsTrialWorker reports whether the task may only start on the worker that is
// reserved for it.
func (d *Demand) needsTrialWorker(index int32) bool {
	return d.Isolated[index] && !d.Spec.Gang && !d.Overdue[index]
}

func (d *Demand) stepID() structs.StepID {
	return structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
}
