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
	Empty    bool             `json:"empty,omitempty"`    // the cell held no tasks when the leader stopped
	// RideOut and Lease bound the ride-out time and the leases of this leader
	// and of the earlier leaders. RideOut excludes the ride-out time of a
	// leader that has released the row.
	RideOut KindDurations `json:"ride"`
	Lease   KindDurations `json:"lease"`
}

// rowObservation is the last state of the leadership row that a candidate has
// read. Its times are readings of the candidate's own clock.
type rowObservation struct {
	revision    int64
	row         Leadership
	firstReadAt time.Time // when this revision was first read
	hasRead     bool      // the row was read successfully, and may be missing
	reads       int       // number of reads that returned this revision
}

// candidate watches one leadership row and acquires the leadership when the
// row stays unchanged.
type candidate struct {
	client        *tableClient
	cell          structs.CellID
	worker        structs.WorkerID
	address       string
	takeoverAfter time.Duration
	timing        Timing
	observation   rowObservation
	close         bool // the last pause was the short one, between the two reads of a pair
}

// acquiredLeadership is a leadership that a candidate has acquired.
type acquiredLeadership struct {
	row            Leadership
	revision       int64
	provedAt       time.Time     // when the call that proved the leadership was sent
	acquiredAt     time.Time     // when the acquisition was known to have succeeded
	earlierRideOut KindDurations // longest ride-out time of earlier leaders that may still renew leases
	longestLease   KindDurations // longest lease of this and the earlier leaders
	wasEmpty       bool          // the previous leader stopped while the cell held no tasks
}

// readRow reads the leadership row. It returns the error of the table.
func (c *candidate) readRow(ctx context.Context) error {
	row, found, err := c.client.get(ctx, leaderKey(c.cell))
	if err != nil {
		return err
	}
	now := time.Now()
	if c.observation.hasRead && c.observation.revision == row.Revision {
		c.observation.reads++
		return nil
	}
	c.observation = rowObservation{revision: row.Revision, firstReadAt: now, hasRead: true, reads: 1}
	if found {
		return decode(row.Key, row.Value, &c.observation.row)
	}
	return nil
}

// rowReadsPerSecond is the rate at which all candidates of a cell together
// read the leadership row while a leader renews it.
const rowReadsPerSecond = 4

// nextPause returns the time to the next read of the row. A candidate reads the
// row twice with the short pause in between. If the row has changed in between,
// it has a leader, and the candidate waits for a pause that grows with the
// number of candidates. A row that stays unchanged is read again after the
// short pause.
func (c *candidate) nextPause(candidates int) time.Duration {
	shortPause := c.takeoverAfter / renewalsBeforeTakeover
	if !c.close || c.observation.reads != 1 {
		c.close = true
		return shortPause
	}
	longPause := 2 * time.Second * time.Duration(candidates) / rowReadsPerSecond
	if longPause <= shortPause {
		return shortPause
	}
	c.close = false
	return longPause/2 + rand.N(longPause)
}

// canAcquire reports whether the leadership may be acquired. This is so if the
// row is missing or released, or has stayed unchanged for takeoverAfter.
func (c *candidate) canAcquire(now time.Time) bool {
	if !c.observation.hasRead {
		return false
	}
	if c.observation.revision == 0 || c.observation.row.Released {
		return true
	}
	return now.Sub(c.observation.firstReadAt) >= c.timing.withClockDrift(c.takeoverAfter)
}

// acquireLeadership commits the next epoch. It returns *structs.ConflictError
// if the row has changed since it was read.
func (c *candidate) acquireLeadership(ctx context.Context) (*acquiredLeadership, error) {
	row := Leadership{
		Epoch: c.observation.row.Epoch + 1, Worker: c.worker, Address: c.address,
		RideOut: c.timing.RideOut.max(c.observation.row.RideOut),
		Lease:   c.timing.Lease.max(c.observation.row.Lease),
	}
	key := leaderKey(c.cell)
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: key, Revision: c.observation.revision}},
		Puts:     []substrate.Put{{Key: key, Value: encode(row)}},
	}
	revision, sentAt, err := c.client.commit(ctx, txn, key)
	if err != nil {
		c.observation = rowObservation{}
		return nil, err
	}
	return &acquiredLeadership{
		row: row, revision: revision, provedAt: sentAt, acquiredAt: time.Now(),
		earlierRideOut: c.observation.row.RideOut, longestLease: row.Lease,
		wasEmpty: c.observation.row.Released && c.observation.row.Empty,
	}, nil
}
