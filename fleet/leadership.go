package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Tables of the store. All rows of a fleet lie in one part, so that each commit
// can compare the leadership row.
const (
	tableLeader = "daisywall-leader"
	tableJobs   = "daisywall-jobs"  // what was accepted, written once for each job
	tableState  = "daisywall-state" // the state of each job
	tableModel  = "daisywall-model" // what leaders have learned
	fleetPart   = "fleet-0"
	leaderKey   = "leader"
	modelKey    = "interference"
)

// leadership is the value of the leadership row.
type leadership struct {
	Address string `json:"address"` // peer address of the leader
	Epoch   int64  `json:"epoch"`   // grows by 1 with every leader
	Commit  int64  `json:"commit"`  // grows by 1 with every commit of an epoch
}

// leaderRow is the leadership row as it was read; Version is 0 if there is none.
type leaderRow struct {
	leadership
	Version int64
}

func decodeLeader(row substrate.PartRow) (leaderRow, error) {
	r := leaderRow{Version: row.Version}
	if err := json.Unmarshal(row.Value, &r.leadership); err != nil {
		return leaderRow{}, fmt.Errorf("decode leadership row: %w", err)
	}
	return r, nil
}

// readLeader reads the leadership row.
func readLeader(ctx context.Context, store substrate.PartStore) (leaderRow, error) {
	row, err := store.Row(ctx, tableLeader, fleetPart, leaderKey)
	var missing *structs.NotFoundError
	switch {
	case errors.As(err, &missing):
		return leaderRow{}, nil
	case err != nil:
		return leaderRow{}, fmt.Errorf("read leadership: %w", err)
	}
	return decodeLeader(row)
}

// compare returns the condition that the row is still as it was read.
func (r leaderRow) compare() substrate.RowVersion {
	return substrate.RowVersion{Table: tableLeader, Part: fleetPart, Key: leaderKey, Version: r.Version}
}

// put returns the write of a new value.
func (l leadership) put() (substrate.PartRow, error) {
	value, err := json.Marshal(l)
	if err != nil {
		return substrate.PartRow{}, fmt.Errorf("encode leadership: %w", err)
	}
	return substrate.PartRow{Table: tableLeader, Part: fleetPart, Key: leaderKey, Value: value}, nil
}

// takeOver makes the address the leader if the row is still as seen. It returns
// the new row, or *substrate.VersionConflictError when another node was faster.
func takeOver(ctx context.Context, store substrate.PartStore, seen leaderRow, address string) (leaderRow, error) {
	next := leadership{Address: address, Epoch: seen.Epoch + 1, Commit: 0}
	return replaceLeader(ctx, store, seen, next, nil, nil)
}

// replaceLeader commits the writes together with the next value of the
// leadership row. A conflict that stems from an earlier sending of the same
// commit counts as success.
func replaceLeader(ctx context.Context, store substrate.PartStore, seen leaderRow, next leadership, puts, removes []substrate.PartRow) (leaderRow, error) {
	put, err := next.put()
	if err != nil {
		return leaderRow{}, err
	}
	txn := substrate.PartTxn{
		Expect: []substrate.RowVersion{seen.compare()},
		Puts:   append([]substrate.PartRow{put}, puts...),
		Remove: removes,
	}
	version, err := store.Commit(ctx, txn)
	if err == nil {
		return leaderRow{leadership: next, Version: version}, nil
	}
	if own, found := ownCommit(err, next); found {
		return own, nil
	}
	return leaderRow{}, fmt.Errorf("commit %d of epoch %d: %w", next.Commit, next.Epoch, err)
}
