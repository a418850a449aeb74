package cell

import (
	"context"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/substrate"
)

// Bounds of the log and of its snapshots.
const (
	// logPageRows is the number of log rows that are read at a time.
	logPageRows = 256
	// snapshotLogRows is the number of log rows after which a snapshot is
	// stored.
	snapshotLogRows = 128
)

// snapshotPointer is the row that names the current snapshot.
type snapshotPointer struct {
	Object string `json:"object"` // key in the object store
	Seq    int64  `json:"seq"`    // sequence number of the last log row in the snapshot
}

// storedSnapshot is a snapshot for the object store. Its pointer row is
// committed after it is stored.
type storedSnapshot struct {
	pointer snapshotPointer
}

// recover reads the snapshot and the tail of the log. No other leader can write
// them, because the new epoch has fenced every earlier leader. During the
// recovery, heartbeats renew leases, which is safe without the state, and the
// leadership row is renewed.
func (l *leader) recover(ctx context.Context) error {
	startedAt := time.Now()
	delay := newBackoff()
	for {
		state, log, err := l.readState(ctx)
		if err == nil {
			l.mu.Lock()
			l.state, l.recovered, l.log = state, true, log
			l.lastPlan = planRun{seq: -1}
			l.mu.Unlock()
			pending, assigned := state.Counts()
			l.options.Log.Info("cell recovered", zap.String("cell", string(l.cell)), zap.Int64("epoch", l.epoch),
				zap.Int("pending", pending), zap.Int("assigned", assigned), zap.Duration("took", time.Since(startedAt)))
			return nil
		}
		l.options.Log.Debug("cannot recover cell state, retrying", zap.String("cell", string(l.cell)), zap.Error(err))
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return fmt.Errorf("recover cell %s: %w", l.cell, err)
		}
		if time.Since(l.renewedAt) >= l.options.Timing.TakeoverAfter/renewalsBeforeTakeover {
			if err := l.renewLeadership(ctx); err != nil {
				return err
			}
		}
	}
}

// renewLeadership renews only the leadership row.
func (l *leader) renewLeadership(ctx context.Context) error {
	return l.asFencedError(l.commit(ctx, &leaderTxn{renewLeadership: true}))
}

// readState reads the state of the cell and the rows of its log.
func (l *leader) readState(ctx context.Context) (*State, logRows, error) {
	row, found, err := l.client.get(ctx, snapshotKey(l.cell))
	if err != nil {
		return nil, logRows{}, err
	}
	state := NewState()
	if found {
		if state, err = l.readSnapshot(ctx, row); err != nil {
			return nil, logRows{}, err
		}
	}
	var rows []substrate.Row
	after := ""
	for {
		page, err := l.client.list(ctx, logPrefix(l.cell), after, logPageRows)
		if err != nil {
			return nil, logRows{}, err
		}
		rows = append(rows, page...)
		if len(page) < logPageRows {
			break
		}
		after = page[len(page)-1].Key
	}
	log, err := replayLog(l.cell, state, rows)
	return state, log, err
}

func (l *leader) readSnapshot(ctx context.Context, row substrate.Row) (*State, error) {
	var pointer snapshotPointer
	if err := decode(row.Key, row.Value, &pointer); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.options.Timing.CallTimeout)
	defer cancel()
	data, err := l.options.Objects.Get(ctx, pointer.Object)
	if err != nil {
		return nil, err
	}
	l.snapshotObject = pointer.Object
	return decodeState(pointer.Object, data)
}

// addSnapshot starts a snapshot when the log has grown, and commits the pointer
// to a stored snapshot. After this commit, the log rows that the snapshot
// contains may be overwritten. Log rows are overwritten instead of deleted, so
// each write of the log changes only one row.
func (l *leader) addSnapshot(txn *leaderTxn) {
	select {
	case stored := <-l.storedSnapshots:
		l.snapshotInProgress = false
		if stored == nil {
			return
		}
		txn.snapshot = stored
		txn.renewLeadership = true
		txn.puts = append(txn.puts, substrate.Put{Key: snapshotKey(l.cell), Value: encode(stored.pointer)})
		return
	default:
	}
	if l.snapshotInProgress || len(l.log.tail) < snapshotLogRows || !l.recovered {
		return
	}
	l.snapshotInProgress = true
	data := encode(l.state)
	snapshot := &storedSnapshot{pointer: snapshotPointer{
		Object: fmt.Sprintf("cell/%s/snapshot/%x-%x", l.cell, l.epoch, l.state.Seq), Seq: l.state.Seq,
	}}
	l.background.Go(func() { l.storeSnapshot(snapshot, data) })
}

// storeSnapshot writes the snapshot to the object store while the loop
// continues.
func (l *leader) storeSnapshot(stored *storedSnapshot, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timing.CallTimeout)
	defer cancel()
	if err := l.options.Objects.Put(ctx, stored.pointer.Object, data); err != nil {
		l.options.Log.Debug("cannot store snapshot", zap.String("cell", string(l.cell)), zap.Error(err))
		stored = nil
	}
	l.storedSnapshots <- stored
	l.wakeLoop()
}

// deleteReplacedSnapshot deletes the object of the snapshot that was replaced.
// An object that could not be deleted is never read again.
func (l *leader) deleteReplacedSnapshot(stored *storedSnapshot) {
	old := l.snapshotObject
	l.snapshotObject = stored.pointer.Object
	count(l.metrics.snapshots, 1)
	if old == "" || old == l.snapshotObject {
		return
	}
	l.background.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.options.Timing.CallTimeout)
		defer cancel()
		if err := l.options.Objects.Delete(ctx, old); err != nil {
			l.options.Log.Debug("cannot delete replaced snapshot", zap.String("cell", string(l.cell)), zap.Error(err))
		}
	})
}
