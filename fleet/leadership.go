package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Tables of the store. All rows of a fleet are in one part, so that each commit
// can compare the version of the leadership row.
const (
	tableLeader = "daisywall-leader"
	tableJobs   = "daisywall-jobs"  // accepted jobs, each written once
	tableState  = "daisywall-state" // current state of each job
	// tableStateParts holds the states that do not fit into one row.
	tableStateParts = "daisywall-state-parts"

	tableModel  = "daisywall-model" // interference model and model of run times
	fleetPart   = "fleet-0"
	leaderKey   = "leader"
	modelKey    = "interference"
	runTimesKey = "runtimes"
)

// leadership is the value of the leadership row.
type leadership struct {
	Address string `json:"address"` // peer address of the leader
	Epoch   int64  `json:"epoch"`   // increases by 1 with each new leader
	Commit  int64  `json:"commit"`  // increases by 1 with each commit, starts from 0 in each epoch
	// Leases bounds the leases of the worker on the leader's host, and of those that were
	// lost with earlier leaders. A row that an earlier version wrote bounds none.
	Leases []leaseBound `json:"leases,omitempty"`
	settledLeases
	witnessedLeases
}

func (l leadership) equal(other leadership) bool {
	return l.Address == other.Address && l.Epoch == other.Epoch && l.Commit == other.Commit && slices.Equal(l.Leases, other.Leases) &&
		l.settledLeases.equal(other.settledLeases) && l.witnessedLeases.equal(other.witnessedLeases)
}

// leaderRow is the leadership row as read from the store. Version is 0 if there
// is no row.
type leaderRow struct {
	leadership
	Version int64
}

// maxLeaseBound limits the lease bounds in a leadership row.
const maxLeaseBound = time.Hour

// isPossible reports whether a leader may have written the row. Each leader adds 1 to the
// epoch in a transaction of its own, so the epoch never exceeds the version.
func (r leaderRow) isPossible() bool {
	return r.Address != "" && r.Epoch > 0 && r.Epoch <= r.Version && r.Commit >= 0 &&
		isPossibleBound(r.HandoverMs) && r.witnessedLeases.isPossible() && !slices.ContainsFunc(r.bounds(), func(b leaseBound) bool { return !isPossibleBound(b.Ms) || !isPossibleBound(b.UnsettledMs) })
}

func isPossibleBound(ms int64) bool { return ms >= 0 && ms <= maxLeaseBound.Milliseconds() }

// decodeLeaderRow decodes the leadership row. One that no leader has written counts as
// that of a lost leader without an address. Its epoch is the version of the row, so that
// the next leader has a higher epoch than all earlier ones.
func decodeLeaderRow(row substrate.PartRow) leaderRow {
	r := leaderRow{Version: row.Version}
	if err := json.Unmarshal(row.Value, &r.leadership); err == nil && r.isPossible() {
		return r
	}
	return leaderRow{leadership: leadership{Epoch: row.Version}, Version: row.Version}
}

// readLeaderRow reads the leadership row.
func readLeaderRow(ctx context.Context, store substrate.PartStore) (leaderRow, error) {
	row, err := store.Row(ctx, tableLeader, fleetPart, leaderKey)
	var missing *structs.NotFoundError
	switch {
	case errors.As(err, &missing):
		return leaderRow{}, nil
	case err != nil:
		return leaderRow{}, fmt.Errorf("read leadership: %w", err)
	}
	return decodeLeaderRow(row), nil
}

// expectedVersion returns the condition that the row in the store still has the
// version of r.
func (r leaderRow) expectedVersion() substrate.RowVersion {
	return substrate.RowVersion{Table: tableLeader, Part: fleetPart, Key: leaderKey, Version: r.Version}
}

// encodeRow returns the leadership row with the value l.
func (l leadership) encodeRow() (substrate.PartRow, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return substrate.PartRow{}, fmt.Errorf("encode leadership: %w", err)
	}
	return substrate.PartRow{Table: tableLeader, Part: fleetPart, Key: leaderKey, Value: value}, nil
}

// acquireLeadership writes the first row of a leader if the row in the store still equals
// seen. It returns the new row, or *substrate.VersionConflictError when another node has
// changed the row first.
func acquireLeadership(ctx context.Context, store substrate.PartStore, seen leaderRow, first leadership) (leaderRow, error) {
	return commitWithLeadership(ctx, store, seen, first, nil, nil)
}

// commitWithLeadership commits the writes in one transaction with the next
// value of the leadership row. A version conflict that was caused by an earlier
// attempt of the same commit counts as success.
func commitWithLeadership(ctx context.Context, store substrate.PartStore, seen leaderRow, next leadership, puts, removes []substrate.PartRow) (leaderRow, error) {
	put, err := next.encodeRow()
	if err != nil {
		return leaderRow{}, err
	}
	txn := substrate.PartTxn{
		Expect: []substrate.RowVersion{seen.expectedVersion()},
		Puts:   append([]substrate.PartRow{put}, puts...),
		Remove: removes,
	}
	version, err := store.Commit(ctx, txn)
	if err == nil {
		return leaderRow{leadership: next, Version: version}, nil
	}
	if own, found := findOwnCommit(err, next); found {
		return own, nil
	}
	return leaderRow{}, fmt.Errorf("commit %d of epoch %d: %w", next.Commit, next.Epoch, err)
}
