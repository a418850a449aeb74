package worker

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/substrate"
)

// clockReading is a reading of the runtime's clock from before a heartbeat was
// sent.
type clockReading struct {
	sequence    int64
	incarnation string
	clock       substrate.RuntimeClock
}

// clockReadings holds the clock readings of the heartbeats whose start grant has
// not ended.
type clockReadings struct {
	startGrant time.Duration
	list       []clockReading
}

// add adds a reading. It removes the readings of other incarnations and those
// whose start grant has ended.
func (r *clockReadings) add(next clockReading) {
	r.list = slices.DeleteFunc(r.list, func(old clockReading) bool {
		return old.incarnation != next.incarnation || next.clock > old.clock.Add(r.startGrant)
	})
	r.list = append(r.list, next)
}

// find returns the reading that belongs to the heartbeat with the sequence
// number, if add has not removed it.
func (r *clockReadings) find(sequence int64) (clockReading, bool) {
	for _, candidate := range r.list {
		if candidate.sequence == sequence {
			return candidate, true
		}
	}
	return clockReading{}, false
}
