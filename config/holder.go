package config

import (
	"sync"

	"github.com/daisywall/daisywall/structs"
)

// maxEarlierSnapshots is the number of earlier revisions that a holder keeps as
// bases for delta updates. Snapshots share the documents and decoded teams that
// are equal.
const maxEarlierSnapshots = 1024

// Holder keeps the revision in force in one daemon. It accepts only revisions
// higher than the current one. All methods may be called concurrently.
type Holder struct {
	mu            sync.Mutex
	current       *snapshot
	earlier       []*snapshot      // earlier revisions in force in this daemon, oldest first
	changed       chan struct{}    // closed when the configuration in force is replaced
	updatesByBase map[int64][]byte // encoded updates to the revision in force, by base revision
	metrics       *metrics
}

// NewHolder returns a holder at revision 0, without teams.
func NewHolder() *Holder {
	return &Holder{
		current:       &snapshot{config: &structs.Config{}},
		changed:       make(chan struct{}),
		updatesByBase: map[int64][]byte{},
		metrics:       newMetrics(),
	}
}

// Current returns the configuration in force, which must not be modified. Other
// packages receive this method as a function value.
func (h *Holder) Current() *structs.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.config
}

// Revision returns the revision in force. It is 0 before the first
// configuration.
func (h *Holder) Revision() int64 { return h.currentSnapshot().revision }

// Changed returns a channel that is closed when the configuration in force is
// replaced. Call Changed before Current, so that no change is missed.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// ApplyIfNewer puts a configuration in force if its revision is higher than the
// current one, and reports whether it did.
func (h *Holder) ApplyIfNewer(config *structs.Config) (bool, error) {
	if config.Revision <= h.Revision() {
		return false, nil
	}
	next, err := newSnapshot(config)
	if err != nil {
		return false, err
	}
	return h.replaceIfNewer(next), nil
}

// ApplyUpdateIfNewer puts an update from another daemon in force if its
// revision is higher than the current one, and reports whether it did. It
// returns *BaseNotRetainedError for a delta whose base revision this daemon
// does not retain, and *CorruptError for an update that cannot be decoded. Both
// errors leave the configuration in force unchanged.
func (h *Holder) ApplyUpdateIfNewer(data []byte) (bool, error) {
	u, err := decodeUpdate(data)
	if err != nil {
		h.metrics.countUpdate("corrupt")
		return false, err
	}
	if u.Revision <= h.Revision() {
		h.metrics.countUpdate("old")
		return false, nil
	}
	base, found := h.baseSnapshot(u.Base)
	if !found {
		h.metrics.countUpdate("base")
		return false, &BaseNotRetainedError{Base: u.Base, Current: h.Revision()}
	}
	next, err := applyUpdate(u, base)
	if err != nil {
		h.metrics.countUpdate("corrupt")
		return false, err
	}
	return h.replaceIfNewer(next), nil
}

// UpdateSince returns the revision in force and the encoded update that brings
// a daemon from the revision since to the revision in force. The update is nil
// if since is not lower. It is a delta if since is retained, and the full
// configuration otherwise. The sender puts the update into the response to a
// heartbeat or to Fetch, and the receiver passes it to ApplyUpdateIfNewer.
func (h *Holder) UpdateSince(since int64) (revision int64, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision = h.current.revision
	if since >= revision {
		return revision, nil
	}
	base := h.findSnapshotLocked(since)
	baseRevision := int64(0)
	if base != nil {
		baseRevision = base.revision
	}
	if data, found := h.updatesByBase[baseRevision]; found {
		return revision, data
	}
	data, err := encodeUpdate(base, h.current)
	if err != nil {
		h.metrics.countUpdate("encode")
		return revision, nil
	}
	h.updatesByBase[baseRevision] = data
	return revision, data
}

func (h *Holder) currentSnapshot() *snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// replaceIfNewer replaces the configuration in force if next has a higher
// revision, and reports whether it did. No other function replaces it.
func (h *Holder) replaceIfNewer(next *snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.revision <= h.current.revision {
		return false
	}
	if h.current.revision > 0 {
		h.earlier = append(h.earlier, h.current)
	}
	if len(h.earlier) > maxEarlierSnapshots {
		h.earlier = append([]*snapshot(nil), h.earlier[len(h.earlier)-maxEarlierSnapshots:]...)
	}
	h.current = next
	clear(h.updatesByBase)
	close(h.changed)
	h.changed = make(chan struct{})
	h.metrics.recordApplied(next.revision)
	return true
}

// baseSnapshot returns the retained snapshot of a revision. Revision 0 has a nil
// snapshot.
func (h *Holder) baseSnapshot(revision int64) (*snapshot, bool) {
	if revision == 0 {
		return nil, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.findSnapshotLocked(revision)
	return s, s != nil
}

// findSnapshotLocked returns the retained snapshot of a revision, or nil. The
// caller holds the mutex.
func (h *Holder) findSnapshotLocked(revision int64) *snapshot {
	if h.current.revision == revision && revision > 0 {
		return h.current
	}
	for i := len(h.earlier) - 1; i >= 0; i-- {
		if h.earlier[i].revision == revision {
			return h.earlier[i]
		}
	}
	return nil
}
