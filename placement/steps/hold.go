package steps

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Hold keeps room on a worker for a pending task. Tasks that are placed later
// don't take it, so the task fits once enough other tasks of the worker have
// ended.
type Hold struct {
	Task      structs.StepTaskID
	Missing   structs.Resources // what has to become free on the worker for this task and those of its earlier holds
	IsOverdue bool              // tasks that end by themselves may be stopped for it
}

// gangHoldTime is how long room is held for a starved gang. It is then released
// for as long, since a gang may wait for a task that takes very long.
const gangHoldTime = 10 * time.Second

// needsHold reports whether room is held for the tasks of the step that don't
// fit. A gang needs the room of all its tasks at once, which short tasks would
// never leave to it.
func (d *Demand) needsHold() bool {
	if d.Spec.LongRunning || !d.Spec.Gang {
		return d.Spec.LongRunning
	}
	starvedFor := -d.Slack - starvationLateness
	return starvedFor > 0 && starvedFor/gangHoldTime%2 == 0
}

// holdRoom holds room for each task of the step that was not placed, on the
// worker that lacks the least for it, as far as there are workers on which it
// would fit beside the long-running tasks. Room for a gang is held for all of
// its tasks or for none.
//
// Holds are computed anew in each cycle. While the tasks of a held worker end,
// it lacks less and less, so that it is chosen again.
func (d *Demand) holdRoom(workers []*Worker, placed []Placement) {
	var holding []*Worker
	for _, index := range d.unplaced(placed) {
		w := d.bestHeldWorker(workers, index)
		switch {
		case w != nil:
			d.hold(w, index)
			holding = append(holding, w)
		case d.Spec.Gang:
			d.removeLastHolds(holding)
			return
		case !d.hasOwnWorkers(index):
			return // the remaining tasks need the same resources
		}
	}
}

// hold keeps room for one task on the worker.
func (d *Demand) hold(w *Worker, index int32) {
	task := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
	w.Holds = append(w.Holds, Hold{Task: task, Missing: d.missing(w), IsOverdue: d.Overdue[index] && !d.crashLoopsOn(w, index)})
	w.Held = w.Held.Add(d.reservedResources())
	if d.Placed == nil {
		d.Placed = map[structs.WorkerID]int32{}
	}
	d.Placed[w.ID]++
}

// removeLastHolds removes the last hold of a worker for each of its occurrences
// in holding.
func (d *Demand) removeLastHolds(holding []*Worker) {
	for _, w := range holding {
		w.Holds = w.Holds[:len(w.Holds)-1]
		w.Held = w.Held.Sub(d.reservedResources())
		d.Placed[w.ID]--
	}
}

// unplaced returns the indexes of the pending tasks that are neither in placed
// nor delayed nor wait for a trial, the overdue ones first.
func (d *Demand) unplaced(placed []Placement) []int32 {
	if len(placed) == len(d.Tasks) {
		return nil
	}
	isPlaced := make(map[int32]bool, len(placed))
	for _, p := range placed {
		isPlaced[p.Task.Index] = true
	}
	var overdue, others []int32
	for _, index := range d.Tasks {
		switch {
		case isPlaced[index]:
		case d.Overdue[index]:
			overdue = append(overdue, index)
		case d.needsTrialWorker(index):
		default:
			others = append(others, index)
		}
	}
	return append(overdue, others...)
}

// holdCandidates returns the workers on which room may be held for the step,
// apart from those in fitting, in the order of what they lack for a task.
func (d *Demand) holdCandidates(workers []*Worker, fitting map[structs.WorkerID]float64) []structs.WorkerID {
	lacks := map[structs.WorkerID]float64{}
	var ids []structs.WorkerID
	for _, w := range workers {
		if _, fits := fitting[w.ID]; fits || !d.mayHoldOn(w) {
			continue
		}
		lacks[w.ID] = missingShare(d.missing(w), w.Capacity)
		ids = append(ids, w.ID)
	}
	slices.SortStableFunc(ids, func(a, b structs.WorkerID) int { return cmp.Compare(lacks[a], lacks[b]) })
	return ids
}

// mayHoldOn reports whether room for a task may be held on the worker.
func (d *Demand) mayHoldOn(w *Worker) bool {
	return d.isEligible(w) && !w.isQuarantined() && d.hasRoomBesideLongRunning(w)
}

// bestHeldWorker returns the worker that lacks the smallest share of its
// capacity for the task, nil if the task would fit on no worker even without
// the tasks that end. Quarantined workers are left out.
func (d *Demand) bestHeldWorker(workers []*Worker, index int32) *Worker {
	var best *Worker
	var lowest float64
	for _, w := range workers {
		if !d.mayHoldOn(w) || d.isDelayedOn(w, index) {
			continue
		}
		cost := missingShare(d.missing(w), w.Capacity) + healthPenaltyWeight*w.HealthPenalty + d.speedPenalty(w)
		if d.hasFailedOn(w, index) {
			cost += d.failedBeforePenalty()
		}
		if best == nil || cost < lowest {
			best, lowest = w, cost
		}
	}
	return best
}

// reservedResources returns the resources that one task reserves on a worker.
func (d *Demand) reservedResources() structs.Resources {
	need := d.Spec.Resources
	if d.Spec.Fills {
		need.MilliCPU = 0
	}
	return need
}

// missing returns the resources that have to become free on the worker before
// one more task fits.
func (d *Demand) missing(w *Worker) structs.Resources {
	used := w.Reserved.Add(w.Held).Add(d.reservedResources())
	return structs.Resources{
		MilliCPU:     max(0, used.MilliCPU-w.Capacity.MilliCPU),
		MemoryMB:     max(0, used.MemoryMB-w.Capacity.MemoryMB),
		Accelerators: max(0, used.Accelerators-w.Capacity.Accelerators),
	}
}

// missingShare returns the largest of the missing resources as a share of the
// capacity.
func missingShare(missing, capacity structs.Resources) float64 {
	share := func(part, whole int64) float64 { return float64(part) / math.Max(1, float64(whole)) }
	return max(share(missing.MilliCPU, capacity.MilliCPU), share(missing.MemoryMB, capacity.MemoryMB),
		share(missing.Accelerators, capacity.Accelerators))
}
