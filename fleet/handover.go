package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
)

// handover is the state of a leader whose process stops as planned. It first lets the runs
// on its own host settle, then states in the leadership row by when all leases end, and
// then asks for a takeover. So the next leader does not wait for LeaseHorizon.
type handover struct {
	begunAt  bootclock.Time // 0 unless the process stops
	statedAt bootclock.Time // from when on the rows state the end of all leases, 0 before
	isSent   bool           // a commit with the statement was sent
	isStored bool
}

// isStated reports whether the next row states the end of all leases.
func (h *handover) isStated() bool { return h.statedAt > 0 }

// Limits of a handover. The process has a few seconds until it is killed.
const (
	ownSettleTime = 600 * time.Millisecond // for the list that shows the last starts on the own host, or that its runner is gone
	statementTime = 400 * time.Millisecond // for the commit of the first row with the statement
	// takeoverPause is how long the leader commits nothing after it has asked for a takeover. A
	// candidate takes over only if the row that it has read has not changed.
	takeoverPause = contendJitter + 130*time.Millisecond
)

// advanceHandover takes the next step of a handover if it is due.
func (l *leader) advanceHandover() {
	now := l.o.Clock()
	switch h := &l.handover; {
	case h.begunAt == 0:
	case !h.isStated():
		if l.areOwnRunsSettled(now) || now.Sub(h.begunAt) >= ownSettleTime {
			h.statedAt = now
		}
	case (!h.isStored || l.commitInFlight) && now.Sub(h.statedAt) < statementTime:
	case now.Sub(l.takeoverRequestedAt) > takeoverRequestInterval:
		l.requestTakeover("process stops")
	}
}

// awaitsTakeover reports whether a candidate may be about to take over from this leader, which
// stops as planned.
func (l *leader) awaitsTakeover() bool {
	return l.handover.isStored && l.takeoverRequestedAt >= l.handover.statedAt && l.o.Clock().Sub(l.takeoverRequestedAt) < takeoverPause
}

// areOwnRunsSettled reports whether the worker on this host has listed its runs since the
// handover has begun, and all of the long-running ones are settled.
func (l *leader) areOwnRunsSettled(now bootclock.Time) bool {
	own := l.workers[l.o.Worker]
	if own == nil || own.longRunningRuns() == 0 {
		return true
	}
	if own.listedAt <= l.handover.begunAt {
		return false
	}
	return !l.hasUnsettledRuns(own, now)
}

// isOwnHostLeaving reports whether the worker is on this host, whose process stops. It gets
// no more runs.
func (l *leader) isOwnHostLeaving(w *worker) bool {
	return l.handover.begunAt > 0 && w.id == l.o.Worker
}
