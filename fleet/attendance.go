package fleet

import (
	"time"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/substrate"
)

// attendance is what the agent knows of its sessions with leaders.
type attendance struct {
	incarnation string               // last one of which a leader has answered a list
	startedAt   time.Time            // start of that incarnation
	fence       int64                // highest fencing token of calls to a runner, 0 before the first session
	isOpen      bool                 // that session has not ended
	runner      substrate.RunnerInfo // that it calls, zero if it calls none
	calledUntil bootclock.Time       // end of the last session that calls one; begin of the process before the first
	pollDueAt   bootclock.Time       // when the answer to the poll of the session is due, 0 without one in flight
	// openStarts is the number of starts in progress, and unansweredAt when the last one ended of which a call had no
	// answer; at first the begin of the process, since the one before may have left some.
	openStarts   int
	unansweredAt bootclock.Time
	pausedAt     bootclock.Time // since when the session has no poll in flight, 0 with one
}

// mayStartLate reports whether a runner may still carry out a start that had no answer.
func (a attendance) mayStartLate(now bootclock.Time) bool {
	return a.openStarts > 0 || now.Sub(a.unansweredAt) < staleCallLimit
}

// recordSession records that a session has begun, for which the leader has given the fencing token. It returns the
// token for the session's calls to the runner, which is higher if the agent has used a higher one before.
func (h *host) recordSession(fence int64, runner substrate.RunnerInfo) int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.fence = max(fence, h.attended.fence+1)
	h.attended.isOpen, h.attended.runner, h.attended.pausedAt = true, runner, 0
	return h.attended.fence
}

// isolatedFence is the lowest token that an agent uses without a leader's. Those of leaders are lower.
const isolatedFence = 1 << 40

// raiseUnknownFence returns a token that is higher than those of earlier processes of the agent, which this one does not
// know. The clock goes on while no process runs. If a runner refuses such a token, the next one is twice as high.
func (h *host) raiseUnknownFence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	next := isolatedFence + time.Duration(h.o.Clock()).Milliseconds()
	if next <= h.attended.fence {
		next = 2 * h.attended.fence
	}
	h.attended.fence = next
	return next
}

// recordContact records that the node has read the leadership row.
func (h *host) recordContact() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.contactAt = h.o.Clock()
}

// raiseFence returns a token that is higher than those of all calls of this process so far.
func (h *host) raiseFence() int64 {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.fence++
	return h.attended.fence
}

func (h *host) recordSessionEnd() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.isOpen, h.attended.pollDueAt, h.contactAt = false, 0, h.o.Clock()
	if h.attended.runner.Incarnation != "" {
		h.attended.calledUntil = h.o.Clock()
	}
	h.signalWatch()
}

// recordPoll records that the session has begun a poll after which the runner waits for the given time.
func (h *host) recordPoll(wait time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.pollDueAt, h.attended.pausedAt = h.o.Clock().Add(wait+probeTimeout), 0
}

// recordPollEnd records that the poll of the session has ended, and whether the next one waits.
func (h *host) recordPollEnd(isPaused bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if isPaused {
		h.signalWatch()
	}
	h.attended.pollDueAt, h.attended.pausedAt = 0, h.o.Clock()
}

// isAttendedAs reports whether the incarnation is still the last one of which a leader has answered a list.
func (h *host) isAttendedAs(incarnation string) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.attended.incarnation == incarnation
}

// recordAttended records that a leader has answered a list of the runner's runs.
func (h *host) recordAttended(runner substrate.RunnerInfo) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.attended.incarnation, h.attended.startedAt = runner.Incarnation, runner.StartedAt
}
