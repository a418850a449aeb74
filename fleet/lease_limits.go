package fleet

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/bootclock"
)

// settledLeaseEnd returns the end of the leases under which the settled runs of the worker
// run.
func (w *worker) settledLeaseEnd() bootclock.Time {
	stated, _ := w.statedLeaseEnd()
	switch {
	case w.listedAt > 0:
		return w.leaseEndsAt
	case w.boundEndsAt > 0:
		return w.boundEndsAt
	case stated > 0:
		return min(stated, w.leaseEndsAt)
	default:
		return w.leaseEndsAt
	}
}

// statedLeaseEnd returns the end of the leases that earlier leaders have granted, as stated by
// them for settled runs, and by which rule. The end is 0 without a statement.
func (w *worker) statedLeaseEnd() (bootclock.Time, leaseRule) {
	switch {
	case w.earlierBoundEndsAt > 0:
		return w.earlierBoundEndsAt, ruleBound
	case w.handoverEndsAt > 0:
		return w.handoverEndsAt, ruleHandover
	default:
		return w.witnessedEndsAt, ruleWitness
	}
}

// limitStatedLease limits the lease of a worker that lists its runs, or has listed them, to what
// earlier leaders have stated. The end of a settled run holds for the whole incarnation: its runs have
// one lease, and calls for earlier ones that could extend it have been refused since the leader
// that has stated the end has listed its runs.
func (l *leader) limitStatedLease(w *worker) {
	end, _ := w.statedLeaseEnd()
	if end == 0 || !l.hasSettledRunOfEarlierLeader(w) {
		return
	}
	if end = max(end, w.grantedEndsAt, w.extendedEndsAt); end < w.leaseEndsAt {
		w.leaseEndsAt = end
		l.limitOwnEnd(w)
	}
}

// hasSettledRunOfEarlierLeader reports whether earlier leaders have started a run in the incarnation that
// they state as settled.
func (l *leader) hasSettledRunOfEarlierLeader(w *worker) bool {
	for _, r := range w.runs {
		if r.assignedAt == 0 && r.incarnation == w.incarnation && r.job.Step(r.id.Task).LongRunning && !slices.Contains(l.earlierLeases.unsettled, r.id.String()) {
			return true
		}
	}
	return false
}

// limitOwnEnd limits what is known of the leases of the worker on this host to its lease.
func (l *leader) limitOwnEnd(w *worker) {
	if w.id == l.o.Worker {
		l.earlierLeases.ownEndAt = min(l.earlierLeases.ownEndAt, w.leaseEndsAt)
	}
}

// settledIncarnationAge is the time after the last call for an earlier incarnation from which on
// none can have obtained a lease in the current one that has not lapsed: such a call is carried
// out a few seconds late, and obtains the longest lease.
func (t Timing) settledIncarnationAge() time.Duration { return t.MaxLease + t.Lease }

// isIncarnationSettled reports whether no call for an earlier incarnation matters to the
// runner of the worker: none was made under its ID, or so long ago that its lease has lapsed.
func (l *leader) isIncarnationSettled(w *worker, now bootclock.Time) bool {
	return w.othersCalledUntil > 0 && now.Sub(w.othersCalledUntil) >= l.o.Timing.settledIncarnationAge()
}

// limitEarlierLease limits the lease that earlier leaders may have granted to a worker that
// lists its runs to this leader for the first time. Leases end at most Timing.Lease after they
// were granted, and the agent has accepted none since the session began.
func (l *leader) limitEarlierLease(w *worker, now bootclock.Time) {
	if !l.isIncarnationSettled(w, now) {
		return
	}
	w.leaseEndsAt = min(w.leaseEndsAt, now.Add(l.o.Timing.Lease))
	w.isLeaseLimitedByList = true
	l.limitOwnEnd(w)
}

// extendForEarlierCalls extends the lease of an incarnation that lists its runs to this leader for the
// first time, if a call for an earlier one may have reached it by now. From now on, the fencing
// token of the session keeps such calls away.
func (l *leader) extendForEarlierCalls(w *worker, now bootclock.Time) {
	if !l.isIncarnationSettled(w, now) {
		w.leaseEndsAt = max(w.leaseEndsAt, now.Add(l.o.Timing.MaxLease))
	}
}

// isStartSettled reports whether no call to start the run is under way: the runner lists
// it, and has answered all calls or has listed it for so long that none can be left. The
// agent waits for an answer for at most 2 s, and the lease in a call ends at most
// Timing.Lease after it was sent.
func (l *leader) isStartSettled(w *worker, r *run, now bootclock.Time) bool {
	isOld := now.Sub(max(r.begunBy, r.startOrderedAt)) >= l.o.Timing.Lease
	return r.incarnation == w.incarnation && r.startedAt > 0 && (r.isStartAnswered || isOld)
}
