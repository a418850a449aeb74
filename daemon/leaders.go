package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/structs"
)

// Times of calls to leaders.
const (
	leaderCacheTime = 2 * time.Second
	notifyTimeout   = time.Second
	explainTimeout  = 2 * time.Second
)

// leaders finds the leaders of cells and calls them. Addresses are kept for a
// short time, so that a burst of submissions costs few reads.
type leaders struct {
	directory *cell.Directory
	peers     *peers

	mu    sync.Mutex
	known map[structs.CellID]knownLeader
}

type knownLeader struct {
	address string
	read    time.Time
}

func newLeaders(directory *cell.Directory, peers *peers) *leaders {
	return &leaders{directory: directory, peers: peers, known: map[structs.CellID]knownLeader{}}
}

// address returns the peer address of the leader of a cell.
func (l *leaders) address(ctx context.Context, id structs.CellID) (string, error) {
	l.mu.Lock()
	known, found := l.known[id]
	l.mu.Unlock()
	if found && time.Since(known.read) < leaderCacheTime {
		return known.address, nil
	}
	leadership, err := l.directory.Leader(ctx, id)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known[id] = knownLeader{address: leadership.Address, read: time.Now()}
	return leadership.Address, nil
}

// notify tells the leader of a cell that its inbox has new rows. A lost
// notification only means that the leader reads them a poll later.
func (l *leaders) notify(id structs.CellID) {
	go func() {
		ctx, cancel := context.WithTimeout(context.Background(), notifyTimeout)
		defer cancel()
		address, err := l.address(ctx, id)
		if err != nil {
			return
		}
		_ = l.peers.notify(ctx, address, &daisywallpb.NotifyRequest{Cell: string(id)})
	}()
}

// Explain implements entryapi.Explainer. It asks the cells of the task or job,
// and every cell for a worker.
func (l *leaders) Explain(ctx context.Context, subject, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	cells, err := l.cellsOf(ctx, subject, id)
	if err != nil {
		return nil, err
	}
	var last error = &structs.NotFoundError{Subject: subject, Name: id}
	for _, c := range cells {
		address, err := l.address(ctx, c)
		if err != nil {
			last = err
			continue
		}
		response, err := l.peers.explain(ctx, address, &daisywallpb.ExplainRequest{Cell: string(c), Subject: subject, Id: id})
		if err != nil {
			last = &structs.UnavailableError{Dependency: "leader of cell " + string(c), Err: err}
			continue
		}
		var report cell.Report
		if err := json.Unmarshal(response.GetReport(), &report); err != nil {
			return nil, fmt.Errorf("decode report of cell %s: %w", c, err)
		}
		if report.Found {
			return response.GetReport(), nil
		}
	}
	return nil, last
}

func (l *leaders) cellsOf(ctx context.Context, subject, id string) ([]structs.CellID, error) {
	switch subject {
	case "job":
		return l.directory.CellsOf(ctx, structs.JobID(id))
	case "task":
		task, err := structs.ParseTaskID(id)
		if err != nil {
			return nil, err
		}
		return l.directory.CellsOf(ctx, task.Job)
	case "worker":
		return l.allCells(ctx)
	}
	return nil, &structs.InvalidError{Subject: "explain", Faults: []structs.Fault{{Path: "subject", Value: subject, Rule: "must be task, job or worker"}}}
}

func (l *leaders) allCells(ctx context.Context) ([]structs.CellID, error) {
	summaries, err := l.directory.Cells(ctx)
	if err != nil {
		return nil, err
	}
	cells := make([]structs.CellID, 0, len(summaries))
	for _, s := range summaries {
		cells = append(cells, s.Cell)
	}
	return cells, nil
}
