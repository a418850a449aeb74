package placement

import (
	"math"

	"github.com/daisywall/daisywall/structs"
)

// scorer rates workers that passed every filter.
type scorer interface {
	name() string
	// score rates the node for the task, 0 to 1, larger is better.
	score(r *round, c *candidate, n *node) float64
}

type weighted struct {
	scorer
	weight float64
}

// scorers holds every scorer with its weight. Each weight is a decade below
// the one before, so a score decides only where those before it are equal.
var scorers = []weighted{
	{harmScorer{}, 1000},
	{matchScorer{}, 100},
	{spreadScorer{}, 10},
	{packScorer{}, 1},
}

// harmScorer prefers workers on which the task harms services least.
type harmScorer struct{}

func (harmScorer) name() string { return "interference" }

// harmStep is the difference of predicted harm that counts. Smaller ones are
// noise and leave the choice to the other scores.
const harmStep = 0.02

func (harmScorer) score(r *round, c *candidate, n *node) float64 {
	harm := r.harm(c, n)
	return 1 / (1 + math.Floor(harm/harmStep)*harmStep)
}

// harm returns the predicted growth of tail latency that the task causes on
// the node: of the worst hit service, or of itself if it is a service.
func (r *round) harm(c *candidate, n *node) float64 {
	worst := 0.0
	for i := range n.services {
		s := &n.services[i]
		p := r.classes.pair(s.service, c.class)
		worst = max(worst, p.mean)
	}
	if c.service >= 0 {
		worst = max(worst, r.harmTo(c.service, n))
	}
	return worst
}

// harmTo returns what the residents of the node would do to a service.
func (r *round) harmTo(service int, n *node) float64 {
	sum := 0.0
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if !run.Stopping {
			sum += r.classes.pair(service, n.classes[i]).mean * run.share()
		}
	}
	return max(0, sum)
}

// spreadScorer prefers places with few tasks of the same job.
type spreadScorer struct{}

func (spreadScorer) name() string { return "spread" }

func (spreadScorer) score(_ *round, c *candidate, n *node) float64 {
	if c.spread == nil {
		return 1
	}
	return 1 - c.spread.crowding(n)
}

// matchScorer keeps workers without services for the classes that would harm
// one.
type matchScorer struct{}

func (matchScorer) name() string { return "match" }

func (matchScorer) score(_ *round, c *candidate, n *node) float64 {
	if c.task.Kind == structs.WorkBatch && len(n.services) == 0 {
		return 0
	}
	return 1
}

// packScorer prefers workers that are already full, which keeps room for large
// tasks.
type packScorer struct{}

func (packScorer) name() string { return "packing" }

func (packScorer) score(_ *round, c *candidate, n *node) float64 {
	return 1 - freeShare(n.free.Sub(c.need), n.worker.Capacity)
}

// freeShare returns the mean share of the capacity that is free.
func freeShare(free, capacity structs.Resources) float64 {
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
