package cell

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Directory looks up the cells and their leaders in the table.
type Directory struct {
	client *tableClient
}

// NewDirectory returns a directory that reads the table. callTimeout bounds
// each table call.
func NewDirectory(table substrate.Table, callTimeout time.Duration) *Directory {
	return &Directory{client: newTableClient(table, callTimeout)}
}

// Cells returns the last published summaries of all cells.
func (d *Directory) Cells(ctx context.Context) ([]Summary, error) {
	return listSummaries(ctx, d.client)
}

// Leader returns the leadership of a cell. It returns *structs.NotFoundError
// if the cell has no leader.
func (d *Directory) Leader(ctx context.Context, cell structs.CellID) (Leadership, error) {
	row, found, err := d.client.get(ctx, leaderKey(cell))
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

// CellsOf returns the cells that the tasks of a job were submitted to.
func (d *Directory) CellsOf(ctx context.Context, id structs.JobID) ([]structs.CellID, error) {
	row, found, err := d.client.get(ctx, jobKey(id))
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
