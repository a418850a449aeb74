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

// trialRest is the time from a trial until the last worker of a pool without one may
// begin another, so that other work starts in between.
const trialRest = 2 * time.Second

// maxStableWait limits the time since the last placement of its job for which a
// task waits for a stable worker, so that runners that never stop crashing don't
// keep it pending for good.
const maxStableWait = time.Minute

// Costs of a worker for a trial, which is expected to end all of its runs. One
// unit is all processors of the worker.
const (
	trialBusyCost        = 1.0
	trialLongRunningCost = 4.0
	trialCalmCost        = 8.0  // of trialCalm without a start that is still to pass
	trialUnstableCost    = 32.0 // a crash there says little about the task
	trialFailedCost      = 64.0 // the worker has failed the task or is in quarantine
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

// MarkHeld adds a task to Held.
func (d *Demand) MarkHeld(index int32) {
	if d.Held == nil {
		d.Held = map[int32]bool{}
	}
	d.Held[index] = true
}

// MarkNeedsStable adds a task to NeedsStable.
func (d *Demand) MarkNeedsStable(index int32) {
	if d.NeedsStable == nil {
		d.NeedsStable = map[int32]bool{}
	}
	d.NeedsStable[index] = true
}

// awaitsStable reports whether the isolated task starts on stable workers only.
func (d *Demand) awaitsStable(index int32) bool {
	return d.NeedsStable[index] && d.Waited < maxStableWait
}

// reserveTrialWorkers chooses a worker for each pending isolated task, as far as
// the limits allow, and keeps the others' tasks away from it. The same worker is
// chosen in the next cycles, since it gets no further tasks.
func reserveTrialWorkers(workers []*Worker, demands []Demand) {
	var pools map[structs.PoolID]*trialPool
	for i := range demands {
		d := &demands[i]
		if len(d.Isolated) == 0 || d.Spec.Gang {
			continue
		}
		if pools == nil {
			pools = trialPools(workers)
		}
		pool := pools[d.Pool]
		for _, index := range d.Tasks {
			if !d.Isolated[index] || d.Held[index] || pool == nil || pool.mayReserve <= 0 || pool.isStorm() && d.awaitsStable(index) {
				continue
			}
			if w := d.bestTrialWorker(workers, index, pool.others <= 1); w != nil {
				w.Trial = d.stepID()
				d.setTrialWorker(index, w)
				pool.mayReserve--
				pool.others--
			}
		}
	}
}

// trialPool counts the workers of a pool.
type trialPool struct {
	size       int // workers
	unstable   int // workers whose runner has crashed shortly before
	others     int // workers without a trial
	mayReserve int // further workers that may be reserved
}

// isStorm reports whether so many runners of the pool crash that the others are
// likely to be next.
func (p *trialPool) isStorm() bool { return p.unstable > 1 && 2*p.unstable >= p.size }

func trialPools(workers []*Worker) map[structs.PoolID]*trialPool {
	pools := map[structs.PoolID]*trialPool{}
	for _, w := range workers {
		p := pools[w.Pool]
		if p == nil {
			p = &trialPool{}
			pools[w.Pool] = p
		}
		p.size++
		if w.IsUnstable {
			p.unstable++
		}
		if !w.isOnTrial() {
			p.others++
		}
	}
	for _, p := range pools {
		p.mayReserve = max(minTrialWorkers, p.size/trialWorkerDivisor) - (p.size - p.others)
	}
	return pools
}

// bestTrialWorker returns the worker that costs least for a trial of the task, nil
// if none may run it now. isLast is set if no other worker is without a trial.
func (d *Demand) bestTrialWorker(workers []*Worker, index int32, isLast bool) *Worker {
	var best *Worker
	var lowest float64
	for _, w := range workers {
		if w.isOnTrial() || isLast && w.SinceTrial < trialRest || !d.mayTryOn(w, index) {
			continue
		}
		cost := w.trialCost()
		if w.isQuarantined() || d.hasFailedOn(w, index) {
			cost += trialFailedCost
		}
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// mayTryOn reports whether the isolated task may run on the worker.
func (d *Demand) mayTryOn(w *Worker, index int32) bool {
	if !d.isEligible(w) || d.isDelayedOn(w, index) || w.IsUnstable && d.awaitsStable(index) || !d.hasRoom(w) || !d.mayFill(w) {
		return false
	}
	return !w.isQuarantined() || d.mayTry(w, index) && d.mayFailTrial(index)
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
func (d *Demand) mayStartOnUnstable(w *Worker, index int32) bool {
	return !w.IsUnstable || d.Overdue[index] || d.Spec.Gang || w.isCalm() && w.started < slowStartTasks
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
	case !w.isCalm() || w.started > 0:
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
func (d *Demand) mayJoinTrial(w *Worker, index int32) bool {
	return !w.isOnTrial() || d.Overdue[index] || d.Spec.Gang && w.Trial == d.stepID()
}

// needsTrialWorker reports whether the task may only start on the worker that is
// reserved for it.
func (d *Demand) needsTrialWorker(index int32) bool {
	return d.Isolated[index] && !d.Spec.Gang && !d.Overdue[index]
}

func (d *Demand) stepID() structs.StepID {
	return structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
}
