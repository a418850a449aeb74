package cell

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Leadership is the leadership row of a cell.
type Leadership struct {
	Epoch    int64            `json:"epoch"`
	Worker   structs.WorkerID `json:"worker"`
	Address  string           `json:"address"`
	Renewals int64            `json:"renewals"`
	Released bool             `json:"released,omitempty"` // the leader has stopped
	Empty    bool             `json:"empty,omitempty"`    // and the cell held no tasks then
	// Ride and Lease bound what this leader and those before it may grant. The
	// ride of a leader that has stopped is over.
	Ride  KindDurations `json:"ride"`
	Lease KindDurations `json:"lease"`
}

// observation is what a candidate knows of the leadership row, by its own
// clock.
type observation struct {
	revision int64
	row      Leadership
	since    time.Time // when this revision was first seen
	known    bool
	looks    int // reads that gave this revision
}

// candidate watches one leadership row and takes it over when it stays
// unchanged.
type candidate struct {
	settler *settler
	cell    structs.CellID
	worker  structs.WorkerID
	address string
	term    time.Duration
	timing  Timing
	seen    observation
	close   bool // the last pause was a short one
}

// tenure is a leadership that was won.
type tenure struct {
	row      Leadership
	revision int64
	proof    time.Time     // when the call that proved it was sent
	tookOver time.Time     // after the takeover was known
	ride     KindDurations // of earlier leaders that may still renew leases
	lease    KindDurations // longest lease of this and the earlier leaders
}

// observe reads the row. It returns the error of the table.
func (c *candidate) observe(ctx context.Context) error {
	row, found, err := c.settler.get(ctx, leaderKey(c.cell))
	if err != nil {
		return err
	}
	now := time.Now()
	if c.seen.known && c.seen.revision == row.Revision {
		c.seen.looks++
		return nil
	}
	c.seen = observation{revision: row.Revision, since: now, known: true, looks: 1}
	if found {
		return decode(row.Key, row.Value, &c.seen.row)
	}
	return nil
}

// looksPerSecond is the number of reads of the leadership row a second that
// all candidates of a cell make together while a leader renews it.
const looksPerSecond = 4

// pause returns the time to the next look at the row. Candidates look in
// pairs: a row that changes between the two looks has a leader, and the next
// pair may wait the longer the more candidates there are. A row that stays
// unchanged is watched closely.
func (c *candidate) pause(candidates int) time.Duration {
	near := c.term / renewalsPerTerm
	if !c.close || c.seen.looks != 1 {
		c.close = true
		return near
	}
	far := 2 * time.Second * time.Duration(candidates) / looksPerSecond
	if far <= near {
		return near
	}
	c.close = false
	return far/2 + rand.N(far)
}

// due reports whether the row has stayed unchanged for the term.
func (c *candidate) due(now time.Time) bool {
	if !c.seen.known {
		return false
	}
	if c.seen.revision == 0 || c.seen.row.Released {
		return true
	}
	return now.Sub(c.seen.since) >= c.timing.drifted(c.term)
}

// takeOver commits the next epoch. It returns *structs.ConflictError when the
// row has changed meanwhile.
func (c *candidate) takeOver(ctx context.Context) (*tenure, error) {
	row := Leadership{
		Epoch: c.seen.row.Epoch + 1, Worker: c.worker, Address: c.address,
		Ride:  c.timing.Ride.max(c.seen.row.Ride),
		Lease: c.timing.Lease.max(c.seen.row.Lease),
	}
	key := leaderKey(c.cell)
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: key, Revision: c.seen.revision}},
		Puts:     []substrate.Put{{Key: key, Value: encode(row)}},
	}
	revision, sent, err := c.settler.commit(ctx, txn, key)
	if err != nil {
		c.seen = observation{}
		return nil, err
	}
	return &tenure{
		row: row, revision: revision, proof: sent, tookOver: time.Now(),
		ride: c.seen.row.Ride, lease: row.Lease,
	}, nil
}
