package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of the reads of the leadership row by an entry.
const (
	leaderReadTimeout = 600 * time.Millisecond
	// leaderReadInterval is the shortest time between the starts of two reads. Ten
	// entries then make 100 of the 6,000 reads that the table serves in a second.
	leaderReadInterval = 100 * time.Millisecond
)

// leaderWatch keeps the newest leadership row that an entry knows, and the
// connection to that leader. While at least one call follows the row, one
// goroutine reads it for all of them.
type leaderWatch struct {
	store   substrate.PartStore
	dial    Dial
	log     *zap.Logger
	metrics *entryMetrics
	ctx     context.Context // ends when the entry is closed
	cancel  context.CancelFunc

	mu         sync.Mutex
	row        leaderRow   // zero before the first read
	link       *leaderLink // nil if no connection to the leader in row is in use
	replaced   context.Context
	replace    context.CancelFunc // ends replaced
	changed    chan struct{}      // closed when row has changed or a read has ended
	followers  int                // calls for which the row is read
	isReading  bool               // the reading goroutine runs
	readAt     time.Time          // start of the last read
	begunReads int64
	endedReads int64
	hasFailed  bool // the last read has failed
}

// leaderLink is a connection to the leader of one epoch.
type leaderLink struct {
	address  string
	epoch    int64
	conn     *grpc.ClientConn
	dialer   *dialer
	replaced context.Context // ends once the leader of a later epoch is known
}

func newLeaderWatch(store substrate.PartStore, dial Dial, log *zap.Logger) *leaderWatch {
	w := &leaderWatch{store: store, dial: dial, log: log, changed: make(chan struct{})}
	w.ctx, w.cancel = context.WithCancel(context.Background())
	w.replaced, w.replace = context.WithCancel(context.Background())
	return w
}

// newerThan reports whether the row is a later one than other.
func (r leaderRow) newerThan(other leaderRow) bool {
	return r.Epoch > other.Epoch || (r.Epoch == other.Epoch && r.Version > other.Version)
}

// known returns the newest row that is known.
func (w *leaderWatch) known() leaderRow {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.row
}

// connect returns the connection to the known leader, and the row that names it. The
// connection is nil if no leader is known.
func (w *leaderWatch) connect() (*leaderLink, leaderRow, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.row.Address == "" || w.link != nil || w.isClosed() {
		return w.link, w.row, nil
	}
	d := &dialer{dial: w.dial}
	conn, err := d.connect(w.row.Address)
	if err != nil {
		return nil, w.row, &structs.UnavailableError{Dependency: "leader", RetryAfter: noLeaderRetryAfter, Err: err}
	}
	w.link = &leaderLink{address: w.row.Address, epoch: w.row.Epoch, conn: conn, dialer: d, replaced: w.replaced}
	return w.link, w.row, nil
}

// learn records a row that the store or a node has returned. A node does not return
// the version of its row.
func (w *leaderWatch) learn(row leaderRow) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if row.Address == "" || !row.newerThan(w.row) {
		return
	}
	if row.Epoch > w.row.Epoch {
		w.log.Info("leader found", zap.String("leader", row.Address), zap.Int64("epoch", row.Epoch), zap.Int64("version", row.Version),
			zap.String("previous", w.row.Address), zap.Int64("previous_epoch", w.row.Epoch), zap.Int("waiting_calls", w.followers))
		w.replace() // attempts at earlier leaders end
		w.replaced, w.replace = context.WithCancel(context.Background())
		w.closeLinkLater()
	}
	w.row = row
	w.notify()
}

// notify wakes the calls that wait. The caller holds mu.
func (w *leaderWatch) notify() {
	close(w.changed)
	w.changed = make(chan struct{})
}

// drop stops the use of a connection on which a call has failed.
func (w *leaderWatch) drop(link *leaderLink, reason string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.link != link {
		return
	}
	w.log.Warn("leader lost", zap.String("leader", link.address), zap.Int64("epoch", link.epoch), zap.String("reason", reason))
	w.closeLinkLater()
}

// closeLinkLater removes the connection, and closes it when calls in flight have had
// time to finish. The caller holds mu.
func (w *leaderWatch) closeLinkLater() {
	if old := w.link; old != nil {
		time.AfterFunc(2*leaderCallTimeout, func() {
			if err := old.conn.Close(); err != nil {
				w.log.Debug("close connection to leader", zap.Error(err))
			}
		})
	}
	w.link = nil
}

// close ends the reads and closes the connection.
func (w *leaderWatch) close() error {
	w.cancel()
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.link == nil {
		return nil
	}
	link := w.link
	w.link = nil
	return link.conn.Close()
}

func (w *leaderWatch) isClosed() bool { return w.ctx.Err() != nil }

// follow has the row read repeatedly until stop is called.
func (w *leaderWatch) follow() (stop func()) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.followers++
	if !w.isReading {
		w.isReading = true
		go w.readWhileFollowed()
	}
	return sync.OnceFunc(func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.followers--
	})
}

func (w *leaderWatch) readWhileFollowed() {
	for {
		w.mu.Lock()
		if w.followers == 0 || w.isClosed() {
			w.isReading = false
			w.mu.Unlock()
			return
		}
		pause := leaderReadInterval - time.Since(w.readAt)
		if pause <= 0 {
			w.readAt = time.Now()
			w.begunReads++
		}
		w.mu.Unlock()
		if pause > 0 {
			_ = sleep(w.ctx, pause) // the loop ends if the entry was closed
			continue
		}
		w.read()
	}
}

func (w *leaderWatch) read() {
	ctx, cancel := context.WithTimeout(w.ctx, leaderReadTimeout)
	defer cancel()
	row, err := readLeaderRow(ctx, w.store)
	result := "unchanged"
	switch {
	case err != nil:
		result = "failed"
	case row.newerThan(w.known()):
		result = "changed"
	}
	w.metrics.countRead(result)
	w.learn(row)
	w.mu.Lock()
	defer w.mu.Unlock()
	if failed := err != nil; failed != w.hasFailed && !w.isClosed() {
		w.hasFailed = failed
		w.log.Warn("reads of the leadership row", zap.Bool("failing", failed), zap.Error(err))
	}
	w.endedReads++
	w.notify()
}

// awaitNewer follows the row until a newer one than seen is known, for at most d. It
// reports whether there is one.
func (w *leaderWatch) awaitNewer(ctx context.Context, seen leaderRow, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	w.await(ctx, func() bool { return w.row.newerThan(seen) })
	return w.known().newerThan(seen)
}

// refresh waits for a read that begins later, for at most d, and reports whether the
// leader of a later epoch than the given one is known.
func (w *leaderWatch) refresh(ctx context.Context, epoch int64, d time.Duration) bool {
	ctx, cancel := context.WithTimeout(ctx, d)
	defer cancel()
	w.mu.Lock()
	next := w.begunReads + 1
	w.mu.Unlock()
	w.await(ctx, func() bool { return w.row.Epoch > epoch || w.endedReads >= next })
	return w.known().Epoch > epoch
}

// await follows the row until ok is true or ctx ends. ok is called with mu held.
func (w *leaderWatch) await(ctx context.Context, ok func() bool) {
	defer w.follow()()
	for {
		w.mu.Lock()
		done, changed := ok(), w.changed
		w.mu.Unlock()
		if done {
			return
		}
		select {
		case <-changed:
		case <-w.ctx.Done():
			return
		case <-ctx.Done():
			return
		}
	}
}
