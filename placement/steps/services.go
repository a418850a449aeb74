package steps

import (
	"cmp"
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Services are placed so that few images of services share a worker: a filling
// task finds no room on a worker where it interferes with any of them. Services
// stay where they are, so their first placement decides on the room of filling
// tasks for as long as they run. It answers the load of a fleet most of whose
// processors are declared by services.

// Scores of a worker for a service.
const (
	dedicatedScore = 5.0 // the worker serves this image only
	sharedScore    = 4.0 // the worker serves this image and others, or would do so at no cost
	maxSharedCost  = 3.0 // bound on what is taken off sharedScore
	reservedCost   = 2.0 // cost of an empty worker that is kept for urgent tasks
)

// minEmptyShare is the share of a pool's workers that is kept without services
// for urgent tasks, as long as services find room on the others. Urgent tasks are
// as large as what services leave over on a worker, and wait in a burst without
// workers of their own.
const minEmptyShare = 0.15

// Time for which new services wait for others to be placed with them. The
// services of a deployment are submitted together when it starts.
const (
	serviceBatchPause = 150 * time.Millisecond // time without a new service that ends the wait
	serviceBatchLimit = 600 * time.Millisecond
)

// serviceScore rates a worker for a task with a latency target. It prefers workers
// that serve the image already, then those on which the image costs the least.
// Among serving workers it prefers the fuller ones. free is the unreserved share
// of the worker's processors.
func (d *Demand) serviceScore(w *Worker, free float64) float64 {
	image := d.Spec.Image
	switch {
	case w.TasksByServiceImage[image] > 0 && len(w.TasksByServiceImage) == 1:
		return dedicatedScore - free
	case w.TasksByServiceImage[image] > 0:
		return sharedScore - free
	default:
		return sharedScore - min(maxSharedCost, d.imageCost(w)) - tieWeight*free
	}
}

// tieWeight orders workers of the same cost.
const tieWeight = 0.01

// imageCost returns what the worker loses for filling tasks if it serves the
// image too, for each unit of the worker that the image may then use: the share of
// filling images that would interfere with this service and with none that the
// worker serves already. An empty worker loses the most, but has room for more
// tasks of the image, which then need no other worker.
func (d *Demand) imageCost(w *Worker) float64 {
	lost := 1.0
	for range len(w.TasksByServiceImage) {
		lost *= 1 - priorProbability
	}
	lost *= priorProbability
	free := w.Capacity.MilliCPU - w.Reserved.MilliCPU
	used := max(d.Spec.Resources.MilliCPU, min(free, d.imageMilliCPU()), 1)
	cost := lost * float64(w.Capacity.MilliCPU) / float64(used)
	if len(w.TasksByServiceImage) == 0 && !d.mayTakeEmptyWorker {
		cost += reservedCost
	}
	return cost
}

// imageMilliCPU returns the processors that the pending services of the image may
// use on one worker.
func (d *Demand) imageMilliCPU() int64 {
	if d.images == nil {
		return 0
	}
	return d.images[d.Spec.Image]
}

// isNewService reports whether the demand is for a service none of whose pending
// tasks has run.
func (d *Demand) isNewService() bool {
	return d.Spec.LongRunning && d.Spec.LatencyTarget > 0 && !d.HasLostTasks && len(d.Overdue) == 0
}

// DeferNewServices returns the demands without the new services, if more of these
// are likely to come within a short time.
func DeferNewServices(demands []Demand) []Demand {
	newest, oldest := time.Duration(math.MaxInt64), time.Duration(0)
	for i := range demands {
		if d := &demands[i]; d.isNewService() {
			newest, oldest = min(newest, d.Waited), max(oldest, d.Waited)
		}
	}
	if newest >= serviceBatchPause || oldest >= serviceBatchLimit {
		return demands
	}
	var others []Demand // the caller keeps the list of all demands
	for i := range demands {
		if !demands[i].isNewService() {
			others = append(others, demands[i])
		}
	}
	return others
}

// pendingImages holds the processors that the pending services of each image may
// use on one worker.
type pendingImages map[string]int64

// countImages returns the images of the new services.
func countImages(demands []Demand) pendingImages {
	images := pendingImages{}
	for i := range demands {
		if d := &demands[i]; d.isNewService() {
			images[d.Spec.Image] += d.milliCPUOnOneWorker()
		}
	}
	return images
}

// removeTask removes a task that has been placed, if its step has no limit of tasks
// on one worker.
func (p pendingImages) removeTask(d *Demand) {
	if p != nil && d.isNewService() && d.Spec.MaxPerWorker <= 0 {
		p[d.Spec.Image] -= d.Spec.Resources.MilliCPU
	}
}

// removeLimited removes a step with a limit of tasks on one worker that has been
// placed.
func (p pendingImages) removeLimited(d *Demand) {
	if d.isNewService() && d.Spec.MaxPerWorker > 0 {
		p[d.Spec.Image] -= d.milliCPUOnOneWorker()
	}
}

// milliCPUOnOneWorker returns the processors that the pending tasks may use on one
// worker.
func (d *Demand) milliCPUOnOneWorker() int64 {
	tasks := int64(len(d.Tasks))
	if d.Spec.MaxPerWorker > 0 {
		tasks = min(tasks, int64(d.Spec.MaxPerWorker))
	}
	return tasks * d.Spec.Resources.MilliCPU
}

// compareLongRunning orders long-running steps by the longest wait. Of the new
// services that have waited for about as long, the images that need the most
// processors go first, since the last ones have to share workers. Within an image,
// the step that needs the most workers goes first, and the others join it there.
func compareLongRunning(a, b *Demand) int {
	return cmp.Or(
		cmp.Compare(b.roundedWait(), a.roundedWait()),
		cmp.Compare(b.imageMilliCPU(), a.imageMilliCPU()),
		cmp.Compare(a.Spec.Image, b.Spec.Image),
		cmp.Compare(b.minWorkers(), a.minWorkers()),
		cmp.Compare(b.Waited, a.Waited),
	)
}

// roundedWait returns the wait, in whole seconds for a new service.
func (d *Demand) roundedWait() time.Duration {
	if d.isNewService() {
		return d.Waited.Truncate(time.Second)
	}
	return d.Waited
}

// minWorkers returns the smallest number of workers that hold the pending tasks
// under MaxPerWorker.
func (d *Demand) minWorkers() int32 {
	if d.Spec.MaxPerWorker <= 0 {
		return 1
	}
	return (int32(len(d.Tasks)) + d.Spec.MaxPerWorker - 1) / d.Spec.MaxPerWorker
}

// hasEmptyWorkers reports whether more than minEmptyShare of the pool's workers
// have no service.
func hasEmptyWorkers(workers []*Worker, pool structs.PoolID) bool {
	empty, all := 0, 0
	for _, w := range workers {
		if w.Pool != pool {
			continue
		}
		all++
		if len(w.TasksByServiceImage) == 0 {
			empty++
		}
	}
	return float64(empty) > minEmptyShare*float64(all)
}
