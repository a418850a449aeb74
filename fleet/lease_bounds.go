package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// leaseBound states when the leases of a worker have ended under which its long-running
// tasks run. It holds as long as the row that contains it is not replaced.
type leaseBound struct {
	Worker structs.WorkerID `json:"worker"`
	Ms     int64            `json:"ms"` // counted from when the commit of the row was sent
	// Epoch and Commit identify the last row of the leader that was lost with the worker.
	// They are 0 in the rows of that leader.
	Epoch  int64 `json:"epoch,omitempty"`
	Commit int64 `json:"commit,omitempty"`
	// UnsettledMs bounds the leases of the unsettled runs of a worker that was lost to an
	// earlier leader or to this one, as Ms does those of the others. It is 0 without a bound.
	UnsettledMs int64 `json:"unsettled_ms,omitempty"`
}

// setEnds sets the time that is left of the leases. unsettledEnd is 0 without a bound.
func (b leaseBound) setEnds(end, unsettledEnd, now bootclock.Time) leaseBound {
	b.Ms, b.UnsettledMs = millisecondsLeft(end, now), 0
	if unsettledEnd > 0 {
		b.UnsettledMs = max(1, millisecondsLeft(unsettledEnd, now))
	}
	return b
}

// millisecondsLeft rounds up, so that a bound is never earlier than end.
func millisecondsLeft(end, now bootclock.Time) int64 {
	return (max(0, end.Sub(now)) + time.Millisecond - 1).Milliseconds()
}

// endAfter returns the end of leases that a row bounds to ms, if its commit was sent before
// readAt.
func endAfter(ms int64, readAt bootclock.Time) bootclock.Time {
	return readAt.Add(time.Duration(ms) * time.Millisecond)
}

// ends returns the ends of the leases of settled and of unsettled runs, the latter 0 without
// a bound, for a row whose commit was sent before readAt.
func (b leaseBound) ends(readAt bootclock.Time) (end, unsettledEnd bootclock.Time) {
	if b.UnsettledMs > 0 {
		unsettledEnd = endAfter(b.UnsettledMs, readAt)
	}
	return endAfter(b.Ms, readAt), unsettledEnd
}

// leaderReads holds the last row of each of the last leaders that this node has read,
// the newest last, with the time of the first read of that row.
type leaderReads []leaderRead

type leaderRead struct {
	row leaderRow
	at  bootclock.Time
}

// maxLeaderReads is the number of leaders that may fail one after the other before the
// runs of the first one's host are released, each after more than a second.
const maxLeaderReads = 16

func (reads leaderReads) add(row leaderRow, at bootclock.Time) leaderReads {
	if n := len(reads); n > 0 {
		last := reads[n-1].row
		switch {
		case row.Version <= last.Version: // also a read that was overtaken by another one
			return reads
		case row.Epoch == last.Epoch:
			reads = reads[:n-1]
		}
	}
	reads = append(reads, leaderRead{row: row, at: at})
	return reads[max(0, len(reads)-maxLeaderReads):]
}

// ends returns the ends of the leases by the bound, which is in a row whose commit was
// sent before readAt. Each leader adds to the bound the time until it is read by the
// next one, so that a read of the row of the first one may give earlier ends.
func (reads leaderReads) ends(b leaseBound, readAt bootclock.Time) (end, unsettledEnd bootclock.Time) {
	end, unsettledEnd = b.ends(readAt)
	for _, r := range reads {
		if r.row.Epoch != b.Epoch || r.row.Commit != b.Commit {
			continue
		}
		for _, first := range r.row.bounds() {
			if first.Worker != b.Worker || first.Epoch != 0 {
				continue
			}
			firstEnd, firstUnsettledEnd := first.ends(r.at)
			end = min(end, firstEnd)
			if firstUnsettledEnd > 0 {
				unsettledEnd = min(unsettledEnd, firstUnsettledEnd)
			}
		}
	}
	return end, unsettledEnd
}

// earlierLeases are the ends of the leases that earlier leaders have granted.
type earlierLeases struct {
	endAt    bootclock.Time // of workers without a bound
	ownEndAt bootclock.Time // of the worker on this host
	// isOwnEndKnown is set if ownEndAt is what the agent on this host knows.
	isOwnEndKnown bool
	bounded       []boundedWorker
	// handoverEndAt replaces endAt for the settled runs if the earlier leader has handed over,
	// else it is 0.
	handoverEndAt bootclock.Time
	unsettled     []string // long-running runs that only endAt applies to
	// witnessed is what the row of the earlier leader states, and witnessedAt is when most of
	// the witnesses were first known to attend this leader, 0 until then.
	witnessed   witnessedLeases
	witnessedAt bootclock.Time
}

// boundedWorker is a worker that was lost, with an earlier leader or to this one.
type boundedWorker struct {
	leaseBound            // as in the rows of this leader
	endAt, unsettledEndAt bootclock.Time
	since                 bootclock.Time // when it was lost to this leader, 0 if it was lost with an earlier one
	isLogged              bool           // see logStoredBound
}

// hasReturned reports whether the worker has listed its runs since it was lost.
func (b boundedWorker) hasReturned(w *worker) bool { return w.listedAt > b.since }

// earlierLeases returns the ends of the leases for a new leader on the worker own. The
// commit of the row seen was sent before readAt. The row of an earlier version bounds no
// worker, so that LeaseHorizon applies to all of them.
func (t Timing) earlierLeases(own structs.WorkerID, seen leaderRow, readAt bootclock.Time, reads leaderReads) earlierLeases {
	e := earlierLeases{endAt: readAt.Add(t.LeaseHorizon), ownEndAt: readAt.Add(t.LeaseHorizon)}
	e.unsettled, e.witnessed = seen.Unsettled, seen.witnessedLeases
	if seen.HandoverMs > 0 {
		e.handoverEndAt = endAfter(seen.HandoverMs, readAt)
		e.ownEndAt = e.handoverEndAt
	}
	for _, b := range seen.bounds() {
		endAt, unsettledEndAt := reads.ends(b, readAt)
		if b.Worker == own {
			e.ownEndAt = max(e.ownEndAt, endAt)
			continue
		}
		if b.Epoch == 0 {
			b.Epoch, b.Commit = seen.Epoch, seen.Commit
			if unsettledEndAt == 0 && len(seen.Unsettled) > 0 {
				unsettledEndAt = e.endAt
			}
		}
		e.bounded = append(e.bounded, boundedWorker{leaseBound: b, endAt: endAt, unsettledEndAt: unsettledEndAt})
	}
	return e
}

// limitOwnLeases limits the leases of the worker on this host to those that its agent has
// passed on, for a new leader on this host. The agent accepts none of earlier leaders any more.
func (h *host) limitOwnLeases(e earlierLeases, epoch int64) earlierLeases {
	h.admitEpoch(epoch)
	if end, known := h.knownLeaseEnd(); known && end < e.ownEndAt {
		e.ownEndAt, e.isOwnEndKnown = end, true
		e.unsettled = slices.Concat(e.unsettled, h.unsettledStarts())
	}
	return e
}

// firstBounds returns the bounds in the first row of a leader on the worker own.
func (e earlierLeases) firstBounds(own structs.WorkerID, t Timing, now bootclock.Time) []leaseBound {
	horizon := t.LeaseHorizon
	switch {
	case e.handoverEndAt > 0:
		horizon = t.Lease
	case e.isOwnEndKnown:
		horizon = t.OwnLeaseHorizon
	}
	end := now.Add(horizon)
	if horizon < t.LeaseHorizon {
		end = max(end, e.ownEndAt)
	}
	bounds := []leaseBound{leaseBound{Worker: own}.setEnds(end, 0, now)}
	for _, b := range e.bounded {
		bounds = append(bounds, b.setEnds(b.endAt, b.unsettledEndAt, now))
	}
	return bounds
}

// restoreLeases restores the ends of the leases of earlier leaders.
func (l *leader) restoreLeases(e earlierLeases) {
	l.earlierLeases = e
	if e.handoverEndAt > 0 { // as the first rows state
		l.horizon, l.nextHorizon = l.o.Timing.Lease, l.o.Timing.Lease
	}
	if e.isOwnEndKnown {
		l.ownHorizon, l.nextOwnHorizon = l.o.Timing.OwnLeaseHorizon, l.o.Timing.OwnLeaseHorizon
	}
	for _, w := range l.workers {
		w.leaseEndsAt, w.handoverEndsAt = e.endAt, e.handoverEndAt
	}
	if own := l.workers[l.o.Worker]; own != nil && e.handoverEndAt > 0 {
		own.handoverEndsAt = max(e.handoverEndAt, e.ownEndAt)
	}
	for _, b := range e.bounded {
		w := l.workerByID(b.Worker)
		w.leaseEndsAt, w.boundEndsAt, w.earlierBoundEndsAt = max(e.endAt, b.endAt), b.endAt, b.endAt
		if b.unsettledEndAt > 0 {
			w.leaseEndsAt = max(b.unsettledEndAt, b.endAt)
		}
	}
}

// leaseDuration returns the length of a lease that is granted to the worker now. A
// worker that was lost with an earlier leader gets none until the row without its bound
// is stored: the next leader may have read that leader's row earlier than this one, and
// counts from its own read.
func (l *leader) leaseDuration(w *worker, now bootclock.Time) time.Duration {
	if w.boundEndsAt > 0 || w.withheld.awaitsLapse() {
		return 0
	}
	end := l.lastCommitSentAt.Add(min(l.horizon, l.nextHorizon))
	if w.id == l.o.Worker {
		end = min(end, l.lastCommitSentAt.Add(min(l.ownHorizon, l.nextOwnHorizon)))
	} else {
		end = min(end, l.witnessLimit)
	}
	return max(0, min(l.o.Timing.Lease, end.Sub(now)))
}

// leaseBounds returns the bounds in the next row, which is sent now or later, and begins
// to grant leases that comply with it.
//
// The bound of a worker that was lost with an earlier leader is kept until the worker
// has reported its runs or their release is stored. Without it, the next leader would
// count LeaseHorizon anew.
func (l *leader) leaseBounds(now bootclock.Time) []leaseBound {
	l.nextHorizon = l.o.Timing.LeaseHorizon
	if l.handover.isStated() {
		l.nextHorizon = l.o.Timing.Lease
	}
	l.boundLostWorkers(now)
	end, horizon := l.ownLeaseEnd(now)
	l.nextOwnHorizon = horizon
	bounds := []leaseBound{leaseBound{Worker: l.o.Worker}.setEnds(end, 0, now)}
	for _, b := range l.earlierLeases.bounded {
		if w := l.workers[b.Worker]; b.hasReturned(w) || (len(w.runs) == 0 && len(l.dirtyJobs) == 0) {
			continue
		}
		bounds = append(bounds, b.setEnds(b.endAt, b.unsettledEndAt, now))
	}
	return bounds
}

// Limits of the bounds of workers that are lost to a leader.
const (
	// lostAfter is how long a worker has had no session before its leases are bounded, and
	// lostAfterTakeover how long a new leader waits for the first session. A worker that returns
	// needs a commit before it gets a lease, so that workers which only reconnect must not be
	// bounded.
	lostAfter         = 500 * time.Millisecond
	lostAfterTakeover = 1500 * time.Millisecond
	// maxLostWorkers limits the size of the row.
	maxLostWorkers = 256
)

// boundLostWorkers bounds the leases of the workers with long-running tasks that have been
// lost to this leader, so that the next one does not count LeaseHorizon anew for them.
func (l *leader) boundLostWorkers(now bootclock.Time) {
	for _, w := range l.sortedWorkers() {
		end := w.settledLeaseEnd()
		if w.id == l.o.Worker || !l.isLost(w, now) || w.boundEndsAt > 0 || now >= end ||
			w.longRunningRuns() == 0 || len(l.earlierLeases.bounded) >= maxLostWorkers {
			continue
		}
		w.boundEndsAt = end
		lost := boundedWorker{leaseBound: leaseBound{Worker: w.id}, endAt: end, since: now}
		if l.hasUnsettledRuns(w, now) {
			lost.unsettledEndAt = l.unsettledLeaseEnd(w, now)
		}
		l.earlierLeases.bounded = append(l.earlierLeases.bounded, lost)
	}
}

// logStoredBound logs once that the stored row bounds the leases of a worker that was lost to
// this leader.
func (l *leader) logStoredBound(b *boundedWorker) {
	if b.since == 0 || b.isLogged {
		return
	}
	b.isLogged = true
	w := l.workers[b.Worker]
	l.log.Info("leases of a lost worker bounded", zap.String("worker", string(w.id)), zap.Duration("left", b.endAt.Sub(l.o.Clock())),
		zap.Bool("listed", w.listedAt > 0), zap.String("rule", string(w.leaseRule(b.endAt))), zap.Int("runs", len(w.runs)))
}

// unsettledLeaseEnd returns the end of the leases of the unsettled runs of a worker without a
// session, to which nothing has been ordered since. Those of a worker that has never
// reported to this leader were ordered before the takeover.
func (l *leader) unsettledLeaseEnd(w *worker, now bootclock.Time) bootclock.Time {
	if w.listedAt == 0 {
		return w.leaseEndsAt
	}
	return max(w.leaseEndsAt, now.Add(l.o.Timing.LeaseHorizon))
}

// isLost reports whether the worker is silent or has no session, and there is so little
// hope of it that its leases are bounded. At a handover, all workers without a session are
// lost.
func (l *leader) isLost(w *worker, now bootclock.Time) bool {
	switch {
	case w.session != nil:
		return now.Sub(w.reportedAt) >= l.o.Timing.SessionTimeout
	case l.handover.isStated():
		return true
	case w.detachedAt > 0:
		return now.Sub(w.detachedAt) >= lostAfter
	case l.earlierLeases.witnessedAt > 0 && now.Sub(l.earlierLeases.witnessedAt) >= lostAfter:
		return true // most others have found this leader
	default:
		return now.Sub(l.startedAt) >= lostAfterTakeover
	}
}

// ownLeaseEnd returns the latest end of the leases of the worker on this host if no
// commit follows the next one, and the horizon of the leases from then on. Without
// long-running tasks, the worker keeps LeaseHorizon, so that it works on for longer in a
// store outage.
func (l *leader) ownLeaseEnd(now bootclock.Time) (end bootclock.Time, horizon time.Duration) {
	horizon = l.nextHorizon
	end = l.earlierLeases.ownEndAt
	if own := l.workers[l.o.Worker]; own != nil {
		if own.listedAt > 0 {
			end = max(end, own.leaseEndsAt)
		}
		if own.longRunningRuns() > 0 {
			horizon = min(horizon, l.o.Timing.OwnLeaseHorizon)
		}
	}
	return max(end, now.Add(horizon)), horizon
}

// applyStoredBounds ends the limits of the workers that the stored row does not bound
// any more, and logs the others. A bound that addLongLeases has added limits no lease.
func (l *leader) applyStoredBounds() {
	stored := boundedWorkers(l.row.bounds())
	for i := range l.earlierLeases.bounded {
		if b := &l.earlierLeases.bounded[i]; stored[b.Worker] {
			l.logStoredBound(b)
		}
	}
	l.earlierLeases.bounded = slices.DeleteFunc(l.earlierLeases.bounded, func(b boundedWorker) bool {
		if stored[b.Worker] && !l.longLeases[b.Worker] {
			return false
		}
		l.workers[b.Worker].boundEndsAt = 0
		return true
	})
}

// dropUnstoredBounds ends the limits of the workers that were lost to this leader and that
// only a refused row has bounded.
func (l *leader) dropUnstoredBounds() {
	stored := l.row.bounds()
	l.earlierLeases.bounded = slices.DeleteFunc(l.earlierLeases.bounded, func(bounded boundedWorker) bool {
		isStored := slices.ContainsFunc(stored, func(b leaseBound) bool { return b.Worker == bounded.Worker })
		if bounded.since == 0 || isStored {
			return false
		}
		l.workers[bounded.Worker].boundEndsAt = 0
		return true
	})
}

// leaseWait is how long a worker that has returned waits for its first orders. It takes a
// commit until they contain a lease. Without one, the agent would ask the runner for a
// change of its runs, for up to ReportInterval, while the lease from before lapses.
const leaseWait = 300 * time.Millisecond

// awaitsLease reports whether the worker has returned and the row without its bound is
// due to be stored.
func (w *worker) awaitsLease(now bootclock.Time) bool {
	return w.boundEndsAt > 0 && w.listed && now.Sub(w.attachedAt) < leaseWait
}

// hasReturnedWorkers reports whether a worker with a bound has reported its runs, so that
// it waits for a row without the bound.
func (l *leader) hasReturnedWorkers() bool {
	return slices.ContainsFunc(l.earlierLeases.bounded, func(b boundedWorker) bool { return b.hasReturned(l.workers[b.Worker]) })
}

// releaseBounded releases the settled runs of a worker that has not reported its runs to
// this leader, once the leases that earlier leaders have bounded have lapsed. Other runs may
// have started a short time ago, so that they are kept until leaseEndsAt.
func (l *leader) releaseBounded(w *worker, now bootclock.Time) {
	end := w.settledLeaseEnd()
	if w.listedAt > 0 || end == w.leaseEndsAt || now < end.Add(l.o.Timing.leaseLapseDelay()) {
		return
	}
	released, rule := 0, w.leaseRule(end)
	for _, r := range w.sortedRuns() {
		if r.job.Step(r.id.Task).LongRunning && l.isSettled(w, r, now) {
			l.release(w, r, "lease lapsed", "")
			released++
		}
	}
	if released == 0 {
		return
	}
	l.recordLeaseWait(w, rule, now)
	l.log.Warn("lease lapsed", zap.String("worker", string(w.id)), zap.Bool("listed", false), zap.Duration("since_lease", now.Sub(end)),
		zap.String("rule", string(rule)), zap.Int("runs", released), zap.Int("kept", len(w.runs)), zap.Bool("attends", w.session != nil))
	w.closeSession()
}
