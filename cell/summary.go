package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// summaryPrefix holds one row for each cell, so that they can be listed.
const summaryPrefix = "cells/"

// Bounds of the summary rows.
const (
	summaryPeriod  = 5 * time.Second // shortest time between two writes
	maxWorkerSizes = 8               // sizes of workers that a summary lists
	cellPage       = 256             // summaries that are read at a time
)

func summaryKey(c structs.CellID) string { return summaryPrefix + string(c) }

// Summary is what the leader of a cell publishes about it. It may be outdated
// and decides nothing but where work is offered.
type Summary struct {
	Cell      structs.CellID          `json:"cell"`
	Domain    structs.FailureDomainID `json:"domain"`
	Workers   int                     `json:"workers"`
	Sizes     []structs.Resources     `json:"sizes"` // the different capacities of its workers
	Capacity  structs.Resources       `json:"capacity"`
	Committed structs.Resources       `json:"committed"`
	Pending   int                     `json:"pending"`
}

// fits reports whether some worker of the cell is large enough.
func (s *Summary) fits(r structs.Resources) bool {
	return slices.ContainsFunc(s.Sizes, r.Fits)
}

// summaryRow is the summary that was written last.
type summaryRow struct {
	written time.Time
	last    Summary
}

// summarize describes the cell now.
func (l *leader) summarize() Summary {
	s := Summary{Cell: l.cell, Domain: l.o.Domain, Pending: len(l.state.pending)}
	for _, v := range l.views {
		if v.incarnation == "" || v.leaving {
			continue
		}
		s.Workers++
		s.Capacity = s.Capacity.Add(v.worker.Capacity)
		if !slices.Contains(s.Sizes, v.worker.Capacity) && len(s.Sizes) < maxWorkerSizes {
			s.Sizes = append(s.Sizes, v.worker.Capacity)
		}
	}
	slices.SortFunc(s.Sizes, func(a, b structs.Resources) int { return int(a.MilliCPU - b.MilliCPU) })
	for _, t := range l.state.assigned {
		s.Committed = s.Committed.Add(t.job.Job.Resources)
	}
	return s
}

// composeSummary publishes the cell when it has changed. It rides on
// transactions that are made anyway.
func (l *leader) composeSummary(w *work, now time.Time) {
	if !l.ready || l.foreign || (!w.renew && w.batch.Empty()) || now.Sub(l.summary.written) < summaryPeriod {
		return
	}
	s := l.summarize()
	if s.Workers == 0 || equalSummary(s, l.summary.last) {
		return
	}
	w.summary = &s
	w.puts = append(w.puts, substrate.Put{Key: summaryKey(l.cell), Value: encode(s)})
}

func equalSummary(a, b Summary) bool {
	sizes := slices.Equal(a.Sizes, b.Sizes)
	a.Sizes, b.Sizes = nil, nil
	return sizes && a.Workers == b.Workers && a.Capacity == b.Capacity && a.Committed == b.Committed && a.Pending == b.Pending
}

// listSummaries reads the summaries of all cells.
func listSummaries(ctx context.Context, s *settler) ([]Summary, error) {
	var list []Summary
	after := ""
	for {
		rows, err := s.list(ctx, summaryPrefix, after, cellPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var summary Summary
			if err := decode(row.Key, row.Value, &summary); err != nil {
				return nil, err
			}
			list = append(list, summary)
			after = row.Key
		}
		if len(rows) < cellPage {
			return list, nil
		}
	}
}

// listDomains reads the rows of all failure domains.
func listDomains(ctx context.Context, s *settler) (map[structs.FailureDomainID]structs.FailureDomain, error) {
	domains := map[structs.FailureDomainID]structs.FailureDomain{}
	after := ""
	for {
		rows, err := s.list(ctx, domainPrefix, after, cellPage)
		if err != nil {
			return nil, err
		}
		for _, row := range rows {
			var d structs.FailureDomain
			if err := decode(row.Key, row.Value, &d); err != nil {
				return nil, err
			}
			domains[d.ID] = d
			after = row.Key
		}
		if len(rows) < cellPage {
			return domains, nil
		}
	}
}

// openCells returns the cells whose failure domain is in.
func openCells(ctx context.Context, s *settler) ([]Summary, error) {
	cells, err := listSummaries(ctx, s)
	if err != nil {
		return nil, err
	}
	domains, err := listDomains(ctx, s)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(cells, func(c Summary) bool { return domains[c.Domain].State == structs.DomainOut }), nil
}
