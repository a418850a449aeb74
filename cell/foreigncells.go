package cell

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

// watchersPerCell is the number of other cells whose leaders watch the
// leadership row of one cell.
const watchersPerCell = 3

// readsBeforeForeignTakeover is the number of reads of a foreign leadership row
// within Timing.ForeignTakeoverAfter.
const readsBeforeForeignTakeover = 4

// watchForeignCells watches the leadership rows of cells in other failure
// domains while this node leads its own cell. If a row stays unchanged for
// Timing.ForeignTakeoverAfter, the node takes over the leadership of the row's
// cell and hands the cell's tasks over to other cells.
func (n *Node) watchForeignCells(ctx context.Context) error {
	watched := map[structs.CellID]*candidate{}
	for {
		if err := sleep(ctx, n.options.Timing.ForeignTakeoverAfter/readsBeforeForeignTakeover); err != nil {
			return err
		}
		if _, leading := n.Leading(); !leading {
			clear(watched)
			continue
		}
		cells, err := listSummaries(ctx, n.client)
		if err != nil {
			n.options.Log.Debug("cannot list cell summaries", zap.Error(err))
			continue
		}
		for _, cell := range cells {
			if !n.isWatcherOf(cells, cell) {
				delete(watched, cell.Cell)
				continue
			}
			if watched[cell.Cell] == nil {
				watched[cell.Cell] = n.newCandidate(cell.Cell, n.options.Timing.ForeignTakeoverAfter)
			}
			if err := n.checkForeignCell(ctx, watched[cell.Cell], cell.Domain); err != nil {
				return err
			}
		}
	}
}

// checkForeignCell reads the leadership row of a foreign cell. It takes the
// cell over if the row has been unchanged for Timing.ForeignTakeoverAfter and
// the cell holds tasks.
func (n *Node) checkForeignCell(ctx context.Context, c *candidate, domain structs.FailureDomainID) error {
	if err := c.readRow(ctx); err != nil {
		n.options.Log.Debug("cannot read leadership row", zap.String("cell", string(c.cell)), zap.Error(err))
		return nil
	}
	// A released row also has to stay unchanged for the whole time, because
	// the cell's own agents should acquire it first.
	now := time.Now()
	if c.observation.revision == 0 || now.Sub(c.observation.firstReadAt) < c.timing.withClockDrift(c.takeoverAfter) {
		return nil
	}
	if c.observation.row.Released && c.observation.row.Empty && !n.hasInboxRows(ctx, c.cell) {
		return nil
	}
	return n.acquireAndLead(ctx, c, domain)
}

// hasInboxRows reports whether the cell has received tasks that no leader has
// accepted.
func (n *Node) hasInboxRows(ctx context.Context, cell structs.CellID) bool {
	rows, err := n.client.list(ctx, inboxPrefix(cell), "", 1)
	return err == nil && len(rows) > 0
}

// isWatcherOf reports whether this node's cell watches the other cell. The
// watchers are the cells outside the other cell's failure domain with the
// highest weights, which are hashes of both names.
func (n *Node) isWatcherOf(cells []Summary, other Summary) bool {
	if other.Cell == n.options.Cell || other.Domain == n.options.Domain {
		return false
	}
	ownWeight := watcherWeight(n.options.Cell, other.Cell)
	heavier := 0
	for _, c := range cells {
		if c.Domain != other.Domain && watcherWeight(c.Cell, other.Cell) > ownWeight {
			heavier++
		}
	}
	return heavier < watchersPerCell
}

func watcherWeight(watcher, cell structs.CellID) uint64 {
	return xxhash.Sum64String(string(watcher) + "\x00" + string(cell))
}
