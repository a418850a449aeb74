package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// summaryPrefix is the prefix of one row for each cell, so that the cells can
// be listed.
const summaryPrefix = "cells/"

// Bounds of the summary rows.
const (
	summaryPeriod  = 5 * time.Second // shortest time between two writes
	maxWorkerSizes = 8               // number of worker sizes in a summary
	cellPageRows   = 256             // number of rows that are read at a time
)

func summaryKey(c structs.CellID) string { return summaryPrefix + string(c) }

// Summary is the description of a cell that its leader publishes. It may be
// outdated. It guides the choice of cells for tasks, and safety does not
// depend on it.
type Summary struct {
	Cell      structs.CellID          `json:"cell"`
	Domain    structs.FailureDomainID `json:"domain"`
	Workers   int                     `json:"workers"`
	Sizes     []structs.Resources     `json:"sizes"` // distinct capacities of the workers of the cell
	Capacity  structs.Resources       `json:"capacity"`
	Committed structs.Resources       `json:"committed"`
	Pending   int                     `json:"pending"`
}

// fits reports whether some worker of the cell is large enough.
func (s *Summary) fits(r structs.Resources) bool {
	return slices.ContainsFunc(s.Sizes, r.Fits)
}

// publishedSummary is the summary that the leader has written last.
type publishedSummary struct {
	writtenAt time.Time
	summary   Summary
}

// summarize returns the summary of the current state.
func (l *leader) summarize() Summary {
	s := Summary{Cell: l.cell, Domain: l.options.Domain, Pending: len(l.state.pending)}
	for _, session := range l.sessions {
		if session.incarnation == "" || session.leaving {
			continue
		}
		s.Workers++
		s.Capacity = s.Capacity.Add(session.worker.Capacity)
		if !slices.Contains(s.Sizes, session.worker.Capacity) && len(s.Sizes) < maxWorkerSizes {
			s.Sizes = append(s.Sizes, session.worker.Capacity)
		}
	}
	slices.SortFunc(s.Sizes, func(a, b structs.Resources) int { return int(a.MilliCPU - b.MilliCPU) })
	for _, t := range l.state.assigned {
		s.Committed = s.Committed.Add(t.job.Job.Resources)
	}
	return s
}

// addSummary publishes a changed summary. It adds nothing to a transaction that
// writes neither the leadership row nor log records.
func (l *leader) addSummary(txn *leaderTxn, now time.Time) {
	if !l.recovered || l.foreign || (!txn.renewLeadership && txn.batch.Empty()) || now.Sub(l.summary.writtenAt) < summaryPeriod {
		return
	}
	s := l.summarize()
	if s.Workers == 0 || equalSummary(s, l.summary.summary) {
		return
	}
	txn.summary = &s
	txn.puts = append(txn.puts, substrate.Put{Key: summaryKey(l.cell), Value: encode(s)})
}

func equalSummary(a, b Summary) bool {
	sizes := slices.Equal(a.Sizes, b.Sizes)
	a.Sizes, b.Sizes = nil, nil
	return sizes && a.Workers == b.Workers && a.Capacity == b.Capacity && a.Committed == b.Committed && a.Pending == b.Pending
}

// listSummaries reads the summaries of all cells.
func listSummaries(ctx context.Context, client *tableClient) ([]Summary, error) {
	var list []Summary
	after := ""
	for {
		rows, err := client.list(ctx, summaryPrefix, after, cellPageRows)
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
		if len(rows) < cellPageRows {
			return list, nil
		}
	}
}

// listDomains reads the rows of all failure domains.
func listDomains(ctx context.Context, client *tableClient) (map[structs.FailureDomainID]structs.FailureDomain, error) {
	domains := map[structs.FailureDomainID]structs.FailureDomain{}
	after := ""
	for {
		rows, err := client.list(ctx, domainPrefix, after, cellPageRows)
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
		if len(rows) < cellPageRows {
			return domains, nil
		}
	}
}

// cellsInService returns the cells whose failure domain is in service.
func cellsInService(ctx context.Context, client *tableClient) ([]Summary, error) {
	cells, err := listSummaries(ctx, client)
	if err != nil {
		return nil, err
	}
	domains, err := listDomains(ctx, client)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(cells, func(c Summary) bool { return domains[c.Domain].State == structs.DomainOut }), nil
}
