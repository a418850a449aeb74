package cell

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// fittingCells returns the cells with a worker that could run a task of the
// size if the worker were empty.
func fittingCells(cells []Summary, size structs.Resources) []Summary {
	var fitting []Summary
	for _, c := range cells {
		if c.fits(size) {
			fitting = append(fitting, c)
		}
	}
	return fitting
}

// spreadTasks returns the cells for the tasks of a job, the least loaded first.
// A batch job gets at most one cell for each tasksPerCell tasks, and a service
// at most one cell for each instance. Cells in failure domains that are out of
// service get tasks only if there are no other cells.
func spreadTasks(cells []Summary, domains map[structs.FailureDomainID]structs.FailureDomain, job *structs.Job) []structs.CellID {
	candidates := slices.DeleteFunc(slices.Clone(cells), func(c Summary) bool {
		return domains[c.Domain].State == structs.DomainOut
	})
	if len(candidates) == 0 {
		candidates = cells
	}
	slices.SortStableFunc(candidates, func(a, b Summary) int {
		switch x, y := cellLoad(&a), cellLoad(&b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	candidates = interleaveDomains(candidates)
	n := (int(job.Tasks) + tasksPerCell - 1) / tasksPerCell
	if job.Kind == structs.WorkService {
		n = int(job.Tasks)
	}
	var chosen []structs.CellID
	for _, c := range candidates[:min(n, len(candidates))] {
		chosen = append(chosen, c.Cell)
	}
	return chosen
}

// cellLoad returns the committed and queued work of a cell relative to its
// processor capacity.
func cellLoad(c *Summary) float64 {
	return (float64(c.Committed.MilliCPU) + float64(c.Pending)) / float64(max(1, c.Capacity.MilliCPU))
}

// interleaveDomains orders the cells so that neighbours are in different
// failure domains as far as possible. The order within each failure domain is
// kept.
func interleaveDomains(cells []Summary) []Summary {
	var order []structs.FailureDomainID
	byDomain := map[structs.FailureDomainID][]Summary{}
	for _, c := range cells {
		if byDomain[c.Domain] == nil {
			order = append(order, c.Domain)
		}
		byDomain[c.Domain] = append(byDomain[c.Domain], c)
	}
	interleaved := make([]Summary, 0, len(cells))
	for len(interleaved) < len(cells) {
		for _, d := range order {
			if rest := byDomain[d]; len(rest) > 0 {
				interleaved = append(interleaved, rest[0])
				byDomain[d] = rest[1:]
			}
		}
	}
	return interleaved
}
