package cell

import (
	"context"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
)

// guardsPerCell is the number of cells whose leaders watch the leadership row
// of another cell.
const guardsPerCell = 3

// guardReads is the number of reads of a foreign leadership row within the
// foreign term.
const guardReads = 4

// guard watches cells of other failure domains while this node leads its own.
// A cell that stays silent for the foreign term is taken over, and its work is
// handed to other cells.
func (n *Node) guard(ctx context.Context) error {
	watched := map[structs.CellID]*candidate{}
	for {
		if err := sleep(ctx, n.o.Timing.ForeignTerm/guardReads); err != nil {
			return err
		}
		if _, leading := n.Leading(); !leading {
			clear(watched)
			continue
		}
		cells, err := listSummaries(ctx, n.settler)
		if err != nil {
			n.o.Log.Debug("cells", zap.Error(err))
			continue
		}
		for _, cell := range cells {
			if !n.guards(cells, cell) {
				delete(watched, cell.Cell)
				continue
			}
			if watched[cell.Cell] == nil {
				watched[cell.Cell] = n.candidate(cell.Cell, n.o.Timing.ForeignTerm)
			}
			if err := n.visit(ctx, watched[cell.Cell], cell.Domain); err != nil {
				return err
			}
		}
	}
}

// visit looks at a foreign cell and takes it over when it is silent and holds
// work.
func (n *Node) visit(ctx context.Context, c *candidate, domain structs.FailureDomainID) error {
	if err := c.observe(ctx); err != nil {
		n.o.Log.Debug("leadership row", zap.String("cell", string(c.cell)), zap.Error(err))
		return nil
	}
	// A released row is left to the cell's own agents for the whole term.
	now := time.Now()
	if c.seen.revision == 0 || now.Sub(c.seen.since) < c.timing.drifted(c.term) {
		return nil
	}
	if c.seen.row.Released && c.seen.row.Empty && !n.hasInbox(ctx, c.cell) {
		return nil
	}
	return n.contend(ctx, c, domain)
}

// hasInbox reports whether a cell was given tasks that nobody has accepted.
func (n *Node) hasInbox(ctx context.Context, cell structs.CellID) bool {
	rows, err := n.settler.list(ctx, inboxPrefix(cell), "", 1)
	return err == nil && len(rows) > 0
}

// guards reports whether this node's cell is among those that watch the other:
// the first few by a hash of both names, outside the other's failure domain.
func (n *Node) guards(cells []Summary, other Summary) bool {
	if other.Cell == n.o.Cell || other.Domain == n.o.Domain {
		return false
	}
	mine := guardWeight(n.o.Cell, other.Cell)
	ahead := 0
	for _, c := range cells {
		if c.Domain != other.Domain && guardWeight(c.Cell, other.Cell) > mine {
			ahead++
		}
	}
	return ahead < guardsPerCell
}

func guardWeight(guard, cell structs.CellID) uint64 {
	return xxhash.Sum64String(string(guard) + "\x00" + string(cell))
}
