package worker

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/substrate"
)

// reading is the runtime's clock before a heartbeat was sent.
type reading struct {
	sequence    int64
	incarnation string
	clock       substrate.RuntimeClock
}

// readings remembers the readings of the heartbeats whose grant lasts.
type readings struct {
	grant time.Duration
	list  []reading
}

// add remembers a reading and drops those whose grant has ended.
func (r *readings) add(next reading) {
	r.list = slices.DeleteFunc(r.list, func(old reading) bool {
		return old.incarnation != next.incarnation || next.clock > old.clock.Add(r.grant)
	})
	r.list = append(r.list, next)
}

// find returns the reading of a heartbeat, unless its grant has ended.
func (r *readings) find(sequence int64) (reading, bool) {
	for _, candidate := range r.list {
		if candidate.sequence == sequence {
			return candidate, true
		}
	}
	return reading{}, false
}
