package config

import (
	"sync"

	"github.com/daisywall/daisywall/structs"
)

// retained is the number of earlier revisions that a holder keeps to build
// deltas from. Revisions share what did not change.
const retained = 1024

// Holder keeps the revision in force in one daemon. It takes only higher
// revisions and never steps back. All methods may be called concurrently.
type Holder struct {
	mu      sync.Mutex
	current *snapshot
	earlier []*snapshot      // older revisions that were in force here, oldest first
	changed chan struct{}    // closed when current is replaced
	updates map[int64][]byte // encoded updates to current by base revision
	counts  *counters
}

// NewHolder returns a holder at revision 0, without teams.
func NewHolder() *Holder {
	return &Holder{
		current: &snapshot{config: &structs.Config{}},
		changed: make(chan struct{}),
		updates: map[int64][]byte{},
		counts:  newCounters(),
	}
}

// Current returns the configuration in force. It must not be modified. The
// method value serves as the closure through which other packages read it.
func (h *Holder) Current() *structs.Config {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current.config
}

// Revision returns the revision in force, 0 before the first.
func (h *Holder) Revision() int64 { return h.snapshot().revision }

// Changed returns a channel that is closed when the configuration in force is
// replaced. Take the channel before reading Current.
func (h *Holder) Changed() <-chan struct{} {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.changed
}

// Offer puts a configuration in force if its revision is higher than the
// current one, and reports whether it did.
func (h *Holder) Offer(config *structs.Config) (bool, error) {
	if config.Revision <= h.Revision() {
		return false, nil
	}
	next, err := newSnapshot(config)
	if err != nil {
		return false, err
	}
	return h.offer(next), nil
}

// OfferUpdate puts an update from another daemon in force if its revision is
// higher than the current one, and reports whether it did. It returns
// *BaseError for a delta from a revision not held here and *CorruptError for
// anything unreadable; both leave the configuration as it was.
func (h *Holder) OfferUpdate(data []byte) (bool, error) {
	u, err := decodeUpdate(data)
	if err != nil {
		h.counts.rejected("corrupt")
		return false, err
	}
	if u.Revision <= h.Revision() {
		h.counts.rejected("old")
		return false, nil
	}
	base, found := h.retained(u.Base)
	if !found {
		h.counts.rejected("base")
		return false, &BaseError{Base: u.Base, Have: h.Revision()}
	}
	next, err := unpackUpdate(u, base)
	if err != nil {
		h.counts.rejected("corrupt")
		return false, err
	}
	return h.offer(next), nil
}

// UpdateSince returns the revision in force and the update to it for a daemon
// at the revision have: nil when nothing newer is in force here, a delta when
// have is retained, and the full configuration otherwise. The update goes into
// the answer to a heartbeat, and from there into the other's OfferUpdate.
func (h *Holder) UpdateSince(have int64) (revision int64, data []byte) {
	h.mu.Lock()
	defer h.mu.Unlock()
	revision = h.current.revision
	if have >= revision {
		return revision, nil
	}
	base := h.find(have)
	key := int64(0)
	if base != nil {
		key = base.revision
	}
	if data, found := h.updates[key]; found {
		return revision, data
	}
	data, err := encodeUpdate(base, h.current)
	if err != nil {
		h.counts.rejected("encode")
		return revision, nil
	}
	h.updates[key] = data
	return revision, data
}

func (h *Holder) snapshot() *snapshot {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.current
}

// offer is the only place that replaces the configuration in force.
func (h *Holder) offer(next *snapshot) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if next.revision <= h.current.revision {
		return false
	}
	if h.current.revision > 0 {
		h.earlier = append(h.earlier, h.current)
	}
	if len(h.earlier) > retained {
		h.earlier = append([]*snapshot(nil), h.earlier[len(h.earlier)-retained:]...)
	}
	h.current = next
	clear(h.updates)
	close(h.changed)
	h.changed = make(chan struct{})
	h.counts.applied(next.revision)
	return true
}

// retained returns the snapshot of a revision; nil stands for revision 0.
func (h *Holder) retained(revision int64) (*snapshot, bool) {
	if revision == 0 {
		return nil, true
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	s := h.find(revision)
	return s, s != nil
}

// find returns a snapshot that is held here, or nil. The mutex is held.
func (h *Holder) find(revision int64) *snapshot {
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
