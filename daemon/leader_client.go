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

// Cache lifetime and timeouts for calls to leaders.
const (
	leaderCacheTTL = 2 * time.Second
	notifyTimeout  = time.Second
	explainTimeout = 2 * time.Second
)

// leaderClient finds the leaders of cells and calls them. It caches their
// addresses for a short time, so that a burst of submissions causes few reads
// of the table. The mutex guards the cache.
type leaderClient struct {
	directory *cell.Directory
	peers     *peerPool

	mu    sync.Mutex
	cache map[structs.CellID]cachedLeader
}

type cachedLeader struct {
	address string
	readAt  time.Time
}

func newLeaderClient(directory *cell.Directory, peers *peerPool) *leaderClient {
	return &leaderClient{directory: directory, peers: peers, cache: map[structs.CellID]cachedLeader{}}
}

// address returns the peer address of the leader of a cell.
func (l *leaderClient) address(ctx context.Context, id structs.CellID) (string, error) {
	l.mu.Lock()
	cached, found := l.cache[id]
	l.mu.Unlock()
	if found && time.Since(cached.readAt) < leaderCacheTTL {
		return cached.address, nil
	}
	leadership, err := l.directory.Leader(ctx, id)
	if err != nil {
		return "", err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.cache[id] = cachedLeader{address: leadership.Address, readAt: time.Now()}
	return leadership.Address, nil
}

// notify informs the leader of a cell that its inbox has new rows. If the
// notification is lost, the leader reads the rows at its next poll.
func (l *leaderClient) notify(id structs.CellID) {
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

// Explain implements entryapi.Explainer. It queries the leaders of the cells
// that hold the task or job. For a worker it queries the leaders of all cells.
func (l *leaderClient) Explain(ctx context.Context, subject, id string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, explainTimeout)
	defer cancel()
	cells, err := l.cellsOf(ctx, subject, id)
	if err != nil {
		return nil, err
	}
	var lastErr error = &structs.NotFoundError{Subject: subject, Name: id}
	for _, c := range cells {
		address, err := l.address(ctx, c)
		if err != nil {
			lastErr = err
			continue
		}
		response, err := l.peers.explain(ctx, address, &daisywallpb.ExplainRequest{Cell: string(c), Subject: subject, Id: id})
		if err != nil {
			lastErr = &structs.UnavailableError{Dependency: "leader of cell " + string(c), Err: err}
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
	return nil, lastErr
}

func (l *leaderClient) cellsOf(ctx context.Context, subject, id string) ([]structs.CellID, error) {
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

func (l *leaderClient) allCells(ctx context.Context) ([]structs.CellID, error) {
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
