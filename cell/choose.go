package cell

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// fittingCells returns the cells with a worker that could run a task of the
// size when it is empty.
func fittingCells(cells []Summary, size structs.Resources) []Summary {
	var fitting []Summary
	for _, c := range cells {
		if c.fits(size) {
			fitting = append(fitting, c)
		}
	}
	return fitting
}

// spread returns the cells for the tasks of a job, the emptiest first and at
// most one for each shardTasks tasks of batch work. Instances of a service go
// to as many cells as there are instances. Cells in failure domains that are
// out get nothing, unless there are no others.
func spread(cells []Summary, domains map[structs.FailureDomainID]structs.FailureDomain, job *structs.Job) []structs.CellID {
	open := slices.DeleteFunc(slices.Clone(cells), func(c Summary) bool {
		return domains[c.Domain].State == structs.DomainOut
	})
	if len(open) == 0 {
		open = cells
	}
	slices.SortStableFunc(open, func(a, b Summary) int {
		switch x, y := load(&a), load(&b); {
		case x < y:
			return -1
		case x > y:
			return 1
		}
		return 0
	})
	open = interleave(open)
	n := (int(job.Tasks) + shardTasks - 1) / shardTasks
	if job.Kind == structs.WorkService {
		n = int(job.Tasks)
	}
	var chosen []structs.CellID
	for _, c := range open[:min(n, len(open))] {
		chosen = append(chosen, c.Cell)
	}
	return chosen
}

// load is the share of a cell's processors that is committed, with its queue.
func load(c *Summary) float64 {
	return (float64(c.Committed.MilliCPU) + float64(c.Pending)) / float64(max(1, c.Capacity.MilliCPU))
}

// interleave orders the cells so that neighbours are in different failure
// domains as far as possible, and keeps the order within each.
func interleave(cells []Summary) []Summary {
	var order []structs.FailureDomainID
	byDomain := map[structs.FailureDomainID][]Summary{}
	for _, c := range cells {
		if byDomain[c.Domain] == nil {
			order = append(order, c.Domain)
		}
		byDomain[c.Domain] = append(byDomain[c.Domain], c)
	}
	out := make([]Summary, 0, len(cells))
	for len(out) < len(cells) {
		for _, d := range order {
			if rest := byDomain[d]; len(rest) > 0 {
				out = append(out, rest[0])
				byDomain[d] = rest[1:]
			}
		}
	}
	return out
}
