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
	// logPage is the number of log rows that are read at a time.
	logPage = 256
	// snapshotRows is the number of log rows after which a snapshot is made.
	snapshotRows = 128
)

// snapshotPointer is the row that names the snapshot in force.
type snapshotPointer struct {
	Object string `json:"object"` // object key
	Seq    int64  `json:"seq"`    // last log row that it contains
}

// builtSnapshot is a snapshot in the object store whose pointer row is not
// committed yet.
type builtSnapshot struct {
	pointer snapshotPointer
}

// recover reads the snapshot and the tail of the log. Nobody else can write
// them: the takeover has fenced every earlier leader. Leases are renewed
// meanwhile, which is safe without the state, and the leadership row is kept
// fresh.
func (l *leader) recover(ctx context.Context) error {
	begin := time.Now()
	delay := newBackoff()
	for {
		state, log, err := l.readState(ctx)
		if err == nil {
			l.mu.Lock()
			l.state, l.ready, l.log = state, true, log
			l.planned = planned{seq: -1}
			l.mu.Unlock()
			pending, assigned := state.Counts()
			l.o.Log.Info("cell recovered", zap.String("cell", string(l.cell)), zap.Int64("epoch", l.epoch),
				zap.Int("pending", pending), zap.Int("assigned", assigned), zap.Duration("took", time.Since(begin)))
			return nil
		}
		l.o.Log.Debug("recovery", zap.String("cell", string(l.cell)), zap.Error(err))
		if err := sleep(ctx, delay.NextBackOff()); err != nil {
			return fmt.Errorf("recover cell %s: %w", l.cell, err)
		}
		if time.Since(l.renewed) >= l.o.Timing.Term/renewalsPerTerm {
			if err := l.renewOnly(ctx); err != nil {
				return err
			}
		}
	}
}

// renewOnly renews the leadership row and nothing else.
func (l *leader) renewOnly(ctx context.Context) error {
	return l.settle(l.commit(ctx, &work{renew: true}))
}

// readState reads the state of the cell and the rows of its log.
func (l *leader) readState(ctx context.Context) (*State, journal, error) {
	row, found, err := l.settler.get(ctx, snapshotKey(l.cell))
	if err != nil {
		return nil, journal{}, err
	}
	state := NewState()
	if found {
		if state, err = l.readSnapshot(ctx, row); err != nil {
			return nil, journal{}, err
		}
	}
	var rows []substrate.Row
	after := ""
	for {
		page, err := l.settler.list(ctx, logPrefix(l.cell), after, logPage)
		if err != nil {
			return nil, journal{}, err
		}
		rows = append(rows, page...)
		if len(page) < logPage {
			break
		}
		after = page[len(page)-1].Key
	}
	log, err := replay(l.cell, state, rows)
	return state, log, err
}

func (l *leader) readSnapshot(ctx context.Context, row substrate.Row) (*State, error) {
	var pointer snapshotPointer
	if err := decode(row.Key, row.Value, &pointer); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithTimeout(ctx, l.o.Timing.Call)
	defer cancel()
	data, err := l.o.Objects.Get(ctx, pointer.Object)
	if err != nil {
		return nil, err
	}
	l.object = pointer.Object
	return decodeState(pointer.Object, data)
}

// composeSnapshot starts a snapshot when the log has grown, and commits the
// pointer to one that is stored. The rows that it contains may be written over
// from then on. Nothing is deleted, so the log costs one row for each write.
func (l *leader) composeSnapshot(w *work) {
	select {
	case built := <-l.building:
		l.busy = false
		if built == nil {
			return
		}
		w.snapshot = built
		w.renew = true
		w.puts = append(w.puts, substrate.Put{Key: snapshotKey(l.cell), Value: encode(built.pointer)})
		return
	default:
	}
	if l.busy || len(l.log.tail) < snapshotRows || !l.ready {
		return
	}
	l.busy = true
	data := encode(l.state)
	built := &builtSnapshot{pointer: snapshotPointer{
		Object: fmt.Sprintf("cell/%s/snapshot/%x-%x", l.cell, l.epoch, l.state.Seq), Seq: l.state.Seq,
	}}
	l.sends.Go(func() { l.storeSnapshot(built, data) })
}

// storeSnapshot puts the snapshot into the object store. The loop goes on
// meanwhile.
func (l *leader) storeSnapshot(built *builtSnapshot, data []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), l.o.Timing.Call)
	defer cancel()
	if err := l.o.Objects.Put(ctx, built.pointer.Object, data); err != nil {
		l.o.Log.Debug("snapshot", zap.String("cell", string(l.cell)), zap.Error(err))
		built = nil
	}
	l.building <- built
	l.signal()
}

// dropSnapshot deletes the object of the snapshot that has been replaced. It
// is best effort: a left object is never read again.
func (l *leader) dropSnapshot(built *builtSnapshot) {
	old := l.object
	l.object = built.pointer.Object
	count(l.metrics.snapshots, 1)
	if old == "" || old == l.object {
		return
	}
	l.sends.Go(func() {
		ctx, cancel := context.WithTimeout(context.Background(), l.o.Timing.Call)
		defer cancel()
		if err := l.o.Objects.Delete(ctx, old); err != nil {
			l.o.Log.Debug("old snapshot", zap.String("cell", string(l.cell)), zap.Error(err))
		}
	})
}
