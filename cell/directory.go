package cell

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Directory finds the cells and their leaders through the table.
type Directory struct {
	settler *settler
}

// NewDirectory returns the directory in the table. Call limits one call to it.
func NewDirectory(table substrate.Table, call time.Duration) *Directory {
	return &Directory{settler: newSettler(table, call)}
}

// Cells returns the summaries of all cells, which may be outdated.
func (d *Directory) Cells(ctx context.Context) ([]Summary, error) {
	return listSummaries(ctx, d.settler)
}

// Leader returns the leadership of a cell, or *structs.NotFoundError while it
// has none.
func (d *Directory) Leader(ctx context.Context, cell structs.CellID) (Leadership, error) {
	row, found, err := d.settler.get(ctx, leaderKey(cell))
	if err != nil {
		return Leadership{}, err
	}
	var leadership Leadership
	if found {
		err = decode(row.Key, row.Value, &leadership)
	}
	if err == nil && (!found || leadership.Released) {
		err = &structs.NotFoundError{Subject: "leader of cell", Name: string(cell)}
	}
	return leadership, err
}

// CellsOf returns the cells that have accepted tasks of a job, and those that
// it was given to.
func (d *Directory) CellsOf(ctx context.Context, id structs.JobID) ([]structs.CellID, error) {
	row, found, err := d.settler.get(ctx, jobKey(id))
	if err != nil {
		return nil, err
	}
	if !found {
		return nil, &structs.NotFoundError{Subject: "job", Name: string(id)}
	}
	var job jobRow
	if err := decode(row.Key, row.Value, &job); err != nil {
		return nil, err
	}
	return job.Cells, nil
}
