package fleet

import (
	"slices"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// witnessedLeases is a part of a leadership row that bounds the leases of all workers without a
// bound of their own, as seen by a next leader. The leader that wrote it grants leases only up
// to WitnessMs after the last time at which most of the witnesses have certainly attended it. So once
// most of them attend a next leader, which they leave for no earlier one, all leases end within
// WitnessMs. It holds as long as the row that contains it is not replaced.
type witnessedLeases struct {
	Witnesses []structs.WorkerID `json:"witnesses,omitempty"`
	WitnessMs int64              `json:"witness_ms,omitempty"`
}

func (w witnessedLeases) isPossible() bool {
	return isPossibleBound(w.WitnessMs) && (len(w.Witnesses) > 0) == (w.WitnessMs > 0)
}

func (w witnessedLeases) equal(other witnessedLeases) bool {
	return w.WitnessMs == other.WitnessMs && slices.Equal(w.Witnesses, other.Witnesses)
}

// isStated reports whether the row bounds leases by witnesses.
func (w witnessedLeases) isStated() bool { return len(w.Witnesses) > 0 }

// majority returns the number of witnesses that are most of them.
func (w witnessedLeases) majority() int { return len(w.Witnesses)/2 + 1 }

// Limits of the number of witnesses. It is odd, so that a fleet with one more does not need one
// more for a majority.
const (
	maxWitnesses = 9
	minWitnesses = 5
)

// attendedUntil returns the latest time at which most of the witnesses have certainly attended
// this leader.
func (l *leader) attendedUntil(witnesses witnessedLeases) bootclock.Time {
	var times []bootclock.Time
	for _, id := range witnesses.Witnesses {
		var at bootclock.Time
		if w := l.workers[id]; w != nil {
			at = w.confirmedAt
		}
		times = append(times, at)
	}
	slices.Sort(times)
	return times[len(times)-witnesses.majority()]
}

// updateWitnessLimit updates the end of leases that the last stored row and the one in flight
// allow. It is called when one of them or confirmedAt of a witness changes.
func (l *leader) updateWitnessLimit() {
	l.witnessLimit = never
	for _, stated := range []witnessedLeases{l.row.witnessedLeases, l.nextWitnesses} {
		if stated.isStated() {
			l.witnessLimit = min(l.witnessLimit, endAfter(stated.WitnessMs, l.attendedUntil(stated)))
		}
	}
}

// updateWitnessLimitFor does the same if the worker is a witness.
func (l *leader) updateWitnessLimitFor(id structs.WorkerID) {
	if slices.Contains(l.row.Witnesses, id) || slices.Contains(l.nextWitnesses.Witnesses, id) {
		l.updateWitnessLimit()
	}
}

// setNextWitnesses sets what the row states that is sent next.
func (l *leader) setNextWitnesses(witnessed witnessedLeases) {
	l.nextWitnesses = witnessed
	l.updateWitnessLimit()
}

// chooseWitnesses returns what the next row states, the same as the last one as long as all of
// these workers may be witnesses and there may be no more of them. Without enough workers that have
// just confirmed orders, or if LeaseHorizon is as short, it states nothing.
func (l *leader) chooseWitnesses(last witnessedLeases, now bootclock.Time) witnessedLeases {
	if l.o.Timing.witnessHorizon() >= l.o.Timing.LeaseHorizon {
		return witnessedLeases{}
	}
	mayBe := func(w *worker) bool { return w != nil && w.id != l.o.Worker && l.isWitness(w, now) }
	isComplete := len(last.Witnesses) == maxWitnesses
	if isComplete && !slices.ContainsFunc(last.Witnesses, func(id structs.WorkerID) bool { return !mayBe(l.workers[id]) }) {
		return last
	}
	candidates := slices.DeleteFunc(slices.Clone(l.sortedWorkers()), func(w *worker) bool { return !mayBe(w) })
	chosen := l.spreadWitnesses(candidates, last)
	if len(chosen) < minWitnesses {
		return witnessedLeases{}
	}
	chosen = chosen[:len(chosen)-(len(chosen)+1)%2]
	return witnessedLeases{Witnesses: chosen, WitnessMs: l.o.Timing.witnessHorizon().Milliseconds()}
}

// isWitness reports whether the worker may be a witness.
func (l *leader) isWitness(w *worker, now bootclock.Time) bool {
	return w.session != nil && !w.agentStops && !w.draining && w.confirmedAt > 0 && now.Sub(w.confirmedAt) <= l.o.Timing.SessionTimeout
}

// spreadWitnesses chooses witnesses of as many failure domains as possible, others than this
// host's first, and prefers those of the last row.
func (l *leader) spreadWitnesses(candidates []*worker, last witnessedLeases) []structs.WorkerID {
	inDomain := map[structs.FailureDomainID]int{}
	if own := l.workers[l.o.Worker]; own != nil {
		inDomain[own.domain]++
	}
	rank := func(w *worker) int {
		if slices.Contains(last.Witnesses, w.id) {
			return 2 * inDomain[w.domain]
		}
		return 2*inDomain[w.domain] + 1
	}
	var chosen []structs.WorkerID
	for len(chosen) < maxWitnesses && len(candidates) > 0 {
		best := slices.MinFunc(candidates, func(a, b *worker) int { return rank(a) - rank(b) })
		chosen = append(chosen, best.id)
		inDomain[best.domain]++
		candidates = slices.DeleteFunc(candidates, func(w *worker) bool { return w == best })
	}
	return chosen
}

// confirmOrders records that the agent has received the orders up to the given number in this
// session, so that it attended this leader when they were sent.
func (l *leader) confirmOrders(w *worker, ordersSeen int64) {
	s, before := w.session, w.confirmedAt
	for len(s.unconfirmed) > 0 && s.unconfirmed[0].number <= ordersSeen {
		w.confirmedAt = max(w.confirmedAt, s.unconfirmed[0].at)
		s.unconfirmed = s.unconfirmed[1:]
	}
	if w.confirmedAt > before {
		l.updateWitnessLimitFor(w.id)
	}
	if ordersSeen > 0 && w.witnessedAt == 0 {
		w.witnessedAt = w.attachedAt // the agent has attended this leader since
		l.limitWitnessedLeases()
	}
}

// sentOrders are orders that the agent has not confirmed.
type sentOrders struct {
	number int64
	at     bootclock.Time
}

// recordOrders records that the orders with the last number are sent now. Beyond the size of
// the queue it leaves them out, so that confirmedAt is earlier.
func (s *session) recordOrders(now bootclock.Time) {
	if len(s.unconfirmed) < orderQueueSize {
		s.unconfirmed = append(s.unconfirmed, sentOrders{number: s.lastOrderNumber, at: now})
	}
}

// limitWitnessedLeases limits the leases that earlier leaders have granted, once most of the
// witnesses of the last one attend this leader.
func (l *leader) limitWitnessedLeases() {
	stated := l.earlierLeases.witnessed
	if !stated.isStated() || l.earlierLeases.witnessedAt > 0 {
		return
	}
	var times []bootclock.Time
	for _, id := range stated.Witnesses {
		if w := l.workers[id]; w != nil && w.witnessedAt > 0 {
			times = append(times, w.witnessedAt)
		}
	}
	if len(times) < stated.majority() {
		return
	}
	slices.Sort(times)
	now := l.o.Clock()
	l.earlierLeases.witnessedAt = now
	end := endAfter(stated.WitnessMs, times[stated.majority()-1])
	for _, w := range l.workers {
		w.witnessedEndsAt = end
		if w.listedAt > 0 {
			l.limitStatedLease(w)
		}
	}
	for i := range l.earlierLeases.bounded {
		b := &l.earlierLeases.bounded[i]
		if w := l.workers[b.Worker]; b.since > 0 && w.listedAt == 0 && end < b.endAt {
			b.endAt, w.boundEndsAt = end, end
		}
	}
	l.log.Info("earlier leases limited by witnesses", zap.Duration("left", end.Sub(now)), zap.Int("witnesses", len(stated.Witnesses)))
}
