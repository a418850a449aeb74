package fleet

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/bootclock"
)

// calledRunners records which incarnations of a host's runners were called. A call for an
// earlier incarnation may be carried out late, by a later one with the same ID.
type calledRunners struct {
	since   bootclock.Time // calls from before are not known
	current calledRunner
	earlier []calledRunner
}

// calledRunner is one incarnation of a runner.
type calledRunner struct {
	id, incarnation string
	until           bootclock.Time // when it was last called, not set for the current one
}

// record records that the incarnation is called from now on in place of the last one. Calls
// that are as old as settledAge are forgotten.
func (c *calledRunners) record(id, incarnation string, now bootclock.Time, settledAge time.Duration) {
	if incarnation == c.current.incarnation {
		return
	}
	if c.current.incarnation != "" {
		c.current.until = now
		c.earlier = append(c.earlier, c.current)
	}
	c.current = calledRunner{id: id, incarnation: incarnation}
	c.earlier = slices.DeleteFunc(c.earlier, func(e calledRunner) bool { return now.Sub(e.until) >= settledAge })
}

// othersCalledUntil returns the latest time at which another incarnation may have been called
// under the ID.
func (c *calledRunners) othersCalledUntil(id, incarnation string, now bootclock.Time) bootclock.Time {
	if c.current.incarnation != "" && c.current.id == id && c.current.incarnation != incarnation {
		return now
	}
	until := c.since
	for _, e := range c.earlier {
		if e.id == id && e.incarnation != incarnation {
			until = max(until, e.until)
		}
	}
	return until
}
