package placement

import (
	"math"

	"github.com/daisywall/daisywall/structs"
)

// scorer rates workers that passed all filters.
type scorer interface {
	name() string
	// score rates the node for the task from 0 to 1, higher is better.
	score(r *cycle, c *candidate, n *node) float64
}

type weightedScorer struct {
	scorer
	weight float64
}

// scorers holds all scorers with their weights. Each weight is a tenth of the
// one before, so that a scorer decides only between workers that the earlier
// ones rate almost equally.
var scorers = []weightedScorer{
	{harmScorer{}, 1000},
	{matchScorer{}, 100},
	{spreadScorer{}, 10},
	{packScorer{}, 1},
}

// harmScorer prefers workers with the least predicted harm.
type harmScorer struct{}

func (harmScorer) name() string { return "interference" }

// harmResolution is the resolution of predicted harm. Smaller differences are
// noise and leave the choice to the other scorers.
const harmResolution = 0.02

func (harmScorer) score(r *cycle, c *candidate, n *node) float64 {
	harm := r.harm(c, n)
	return 1 / (1 + math.Floor(harm/harmResolution)*harmResolution)
}

// harm returns the predicted relative growth of tail latency if the task starts
// on the node: the maximum over the services there and, if the task is a
// service, the task itself.
func (r *cycle) harm(c *candidate, n *node) float64 {
	worst := 0.0
	for i := range n.services {
		service := &n.services[i]
		estimate := r.classes.harm(service.service, c.class)
		worst = max(worst, estimate.mean)
	}
	if c.service >= 0 {
		worst = max(worst, r.harmToService(c.service, n))
	}
	return worst
}

// harmToService returns the predicted harm of the node's runs to a service.
func (r *cycle) harmToService(service int, n *node) float64 {
	sum := 0.0
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if !run.Stopping {
			sum += r.classes.harm(service, n.classes[i]).mean * run.processorShare()
		}
	}
	return max(0, sum)
}

// spreadScorer prefers failure domains, racks and workers with few tasks of the
// same job.
type spreadScorer struct{}

func (spreadScorer) name() string { return "spread" }

func (spreadScorer) score(_ *cycle, c *candidate, n *node) float64 {
	if c.spread == nil {
		return 1
	}
	return 1 - c.spread.crowding(n)
}

// matchScorer prefers workers with services for batch tasks. This leaves the
// workers without services to classes that would harm one.
type matchScorer struct{}

func (matchScorer) name() string { return "match" }

func (matchScorer) score(_ *cycle, c *candidate, n *node) float64 {
	if c.task.Kind == structs.WorkBatch && len(n.services) == 0 {
		return 0
	}
	return 1
}

// packScorer prefers fuller workers, which keeps room for large tasks on the
// others.
type packScorer struct{}

func (packScorer) name() string { return "packing" }

func (packScorer) score(_ *cycle, c *candidate, n *node) float64 {
	return 1 - meanFreeShare(n.free.Sub(c.need), n.worker.Capacity)
}

// meanFreeShare returns the free share of the capacity, averaged over the
// resources that the worker has.
func meanFreeShare(free, capacity structs.Resources) float64 {
	sum, dimensions := 0.0, 0.0
	add := func(free, capacity int64) {
		if capacity > 0 {
			sum += float64(free) / float64(capacity)
			dimensions++
		}
	}
	add(free.MilliCPU, capacity.MilliCPU)
	add(free.MemoryMB, capacity.MemoryMB)
	add(free.Accelerators, capacity.Accelerators)
	if dimensions == 0 {
		return 0
	}
	return sum / dimensions
}
