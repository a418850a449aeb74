package steps

import "slices"

// Exclusion is the reason why a pending task is not placed on a worker. The
// values are texts for log lines.
type Exclusion string

// Reasons of Exclusions.
const (
	ExcludedPool             Exclusion = "other pool"
	ExcludedPermit           Exclusion = "no permit"
	ExcludedLabel            Exclusion = "no label"
	ExcludedCopies           Exclusion = "beside copies" // has MaxPerWorker tasks of the step, and would have room for one more
	ExcludedQuarantine       Exclusion = "quarantined"   // would have room without the tasks that end
	ExcludedTrial            Exclusion = "trial"         // has a task that may crash its runner, and would have room without the tasks that end
	ExcludedRoom             Exclusion = "no room"       // has too little room even without the tasks that end
	ExcludedEndingTasks      Exclusion = "ending tasks"  // would have room without the tasks that end
	ExcludedInterference     Exclusion = "interference"  // has room for the filling task, but a service is or would be over its target
	ExcludedFillingIdleShare Exclusion = "not idle"      // too few idle processors for a filling task
)

// Exclusions returns the number of workers on which the demand's tasks can't be
// placed, by reason, and the largest number of unreserved processors, in
// thousandths, of a worker that has only too little room.
func (d *Demand) Exclusions(workers []*Worker, interference *Interference) (counts map[Exclusion]int, bestFreeMilliCPU int64) {
	d.interference = interference
	counts = map[Exclusion]int{}
	for _, w := range workers {
		reason := d.exclusion(w)
		if reason == "" {
			continue
		}
		counts[reason]++
		if reason == ExcludedRoom || reason == ExcludedEndingTasks {
			bestFreeMilliCPU = max(bestFreeMilliCPU, w.Capacity.MilliCPU-w.Reserved.MilliCPU)
		}
	}
	return counts, bestFreeMilliCPU
}

// exclusion returns the reason why no task of the demand can be placed on the
// worker, an empty text if one can.
func (d *Demand) exclusion(w *Worker) Exclusion {
	switch {
	case w.Pool != d.Pool:
		return ExcludedPool
	case d.Permitted != nil && !d.Permitted[w.ID]:
		return ExcludedPermit
	case !d.hasLabel(w):
		return ExcludedLabel
	case !d.hasRoomBesideLongRunning(w):
		return ExcludedRoom
	case !d.mayAddCopy(w):
		return ExcludedCopies
	case w.isQuarantined() && !d.mayTry(w, d.Tasks[0]):
		return ExcludedQuarantine
	case !d.mayJoinTrial(w, d.Tasks[0]):
		return ExcludedTrial
	case !d.hasRoom(w):
		return ExcludedEndingTasks
	case !d.Spec.Fills || len(d.Overdue) > 0:
		return ""
	case w.idleMilliCPU() < minIdleShare*float64(d.Spec.Resources.MilliCPU):
		return ExcludedFillingIdleShare
	default:
		if _, ok := d.score(w, d.Tasks[0]); !ok || !d.feasible(w, d.Tasks[0]) {
			return ExcludedInterference
		}
		return ""
	}
}

// hasRoom reports whether the resources that one more task reserves are neither
// reserved nor held on the worker. A worker whose capacity has shrunk below what
// is reserved has no room for anything.
func (d *Demand) hasRoom(w *Worker) bool {
	if !w.Reserved.Fits(w.Capacity) {
		return false
	}
	used, room := w.Reserved.Add(w.Held).Add(d.reservedResources()), w.Capacity
	if d.Spec.Fills {
		used.MilliCPU = 0
	}
	if d.Spec.Fills && !d.Spec.LongRunning {
		room.MemoryMB = int64(maxFillMemoryShare * float64(room.MemoryMB))
	}
	return used.Fits(room)
}

// hasRoomBesideLongRunning reports whether one more task would fit on the worker
// without the tasks that end by themselves.
func (d *Demand) hasRoomBesideLongRunning(w *Worker) bool {
	return w.LongRunning.Add(w.Stalled).Add(w.Held).Add(d.reservedResources()).Fits(w.Capacity)
}

// hasLabel reports whether the worker has the label that the step requires.
func (d *Demand) hasLabel(w *Worker) bool {
	return d.Spec.Label == "" || slices.Contains(w.Labels, d.Spec.Label)
}

// mayAddCopy reports whether the worker has fewer than MaxPerWorker tasks of
// the step.
func (d *Demand) mayAddCopy(w *Worker) bool {
	return d.Spec.MaxPerWorker <= 0 || d.Placed[w.ID] < d.Spec.MaxPerWorker
}
