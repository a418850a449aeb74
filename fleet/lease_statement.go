package fleet

import (
	"slices"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// settledLeases are the parts of a leadership row that bound the leases of settled runs only:
// of long-running runs which no call to start can still start again. Earlier versions
// ignore these parts, and wait for LeaseHorizon.
type settledLeases struct {
	// SettledLeases takes the place of leadership.Leases if Unsettled is not empty.
	SettledLeases []leaseBound `json:"settled_leases,omitempty"`
	// HandoverMs bounds the leases of all workers without a bound of their own, counted from
	// when the commit of the row was sent. It is 0 if the leader states none.
	HandoverMs int64 `json:"handover_ms,omitempty"`
	// Unsettled holds the long-running runs to which no bound in the row applies.
	Unsettled []string `json:"unsettled,omitempty"`
}

func (s settledLeases) equal(other settledLeases) bool {
	return s.HandoverMs == other.HandoverMs && slices.Equal(s.SettledLeases, other.SettledLeases) && slices.Equal(s.Unsettled, other.Unsettled)
}

// bounds returns the bounds of single workers.
func (l leadership) bounds() []leaseBound { return slices.Concat(l.Leases, l.SettledLeases) }

// withBounds returns the row with bounds that do not apply to the unsettled runs.
func (l leadership) withBounds(bounds []leaseBound, unsettled []string) leadership {
	l.Leases, l.settledLeases = bounds, settledLeases{Unsettled: unsettled}
	if len(unsettled) > 0 {
		l.Leases, l.SettledLeases = nil, bounds
	}
	return l
}

// firstRow completes the row of a leader on the worker own that has granted no leases yet.
func (e earlierLeases) firstRow(row leadership, own structs.WorkerID, t Timing, now bootclock.Time) leadership {
	row = row.withBounds(e.firstBounds(own, t, now), e.unsettled)
	if e.handoverEndAt > 0 {
		row.HandoverMs = millisecondsLeft(max(e.handoverEndAt, now.Add(t.Lease)), now)
	}
	return row
}

// Limits of the size of the row.
const (
	maxUnsettledRuns = 128
	leaseBoundBytes  = 96 // of a bound as encoded, at most, beside the name of the worker
)

// fitsIntoRow reports whether a row with the bounds and the names of the unsettled runs is not
// too large. Half of the store's limit is left for the other parts.
func (o Options) fitsIntoRow(bounds []leaseBound, unsettled []string) bool {
	size := 0
	for _, b := range bounds {
		size += leaseBoundBytes + len(b.Worker)
	}
	for _, run := range unsettled {
		size += len(run)
	}
	return len(unsettled) <= maxUnsettledRuns && size <= o.rowBytes()/2
}

// nextRow completes the row of a commit that is sent now or later, and begins to grant
// leases that comply with it. If the names of the unsettled runs of all workers do not fit,
// the row states no end of all leases, and if those of the workers with a bound do not fit, it has
// no bounds. Runs that no bound applies to wait for leaseEndsAt or LeaseHorizon.
func (l *leader) nextRow(row leadership, now bootclock.Time) leadership {
	bounds := l.leaseBounds(now)
	l.handover.isSent = l.handover.isStated()
	last := l.nextWitnesses
	l.setNextWitnesses(witnessedLeases{})
	l.longLeases = nil
	if l.handover.isStated() {
		all := l.addLongLeases(bounds, now.Add(l.nextHorizon), now)
		if unsettled, fits := l.unsettledRuns(all, now.Add(l.nextHorizon), now); fits {
			l.longLeases = boundedWorkers(all[len(bounds):])
			row = row.withBounds(all, unsettled)
			row.HandoverMs = l.nextHorizon.Milliseconds()
			return row
		}
		l.reportUnbounded("all workers", bounds)
		l.nextHorizon = l.o.Timing.LeaseHorizon
	} else if witnessed := l.chooseWitnesses(last, now); witnessed.isStated() {
		if unsettled, fits := l.unsettledRuns(bounds, endAfter(witnessed.WitnessMs, now), now); fits {
			l.setNextWitnesses(witnessed)
			row = row.withBounds(bounds, unsettled)
			row.witnessedLeases = witnessed
			return row
		}
		l.metrics.count(l.metrics.unboundedRows, "witnesses")
	}
	unsettled, fits := l.unsettledRuns(bounds, 0, now)
	if !fits {
		l.reportUnbounded("single workers", bounds)
		return row.withBounds(nil, nil)
	}
	return row.withBounds(bounds, unsettled)
}

// addLongLeases returns the bounds with those of the workers without one that have a lease which ends
// later than allEndBy, such as those that extendForEarlierCalls has extended. They hold in a row that
// states allEndBy, after which no lease ends that is granted from then on.
func (l *leader) addLongLeases(bounds []leaseBound, allEndBy, now bootclock.Time) []leaseBound {
	bounded, bounds := boundedWorkers(bounds), slices.Clone(bounds)
	for _, w := range l.sortedWorkers() {
		if end := w.settledLeaseEnd(); end > allEndBy && !bounded[w.id] && w.longRunningRuns() > 0 && len(bounds) < maxLostWorkers {
			bounds = append(bounds, leaseBound{Worker: w.id}.setEnds(end, 0, now))
		}
	}
	return bounds
}

// boundedWorkers returns the workers that have a bound.
func boundedWorkers(bounds []leaseBound) map[structs.WorkerID]bool {
	bounded := make(map[structs.WorkerID]bool, len(bounds))
	for _, b := range bounds {
		bounded[b.Worker] = true
	}
	return bounded
}

// reportUnbounded records that a row has no bounds of the given kind.
func (l *leader) reportUnbounded(kind string, bounds []leaseBound) {
	l.log.Warn("leases not bounded: they do not fit into the row", zap.String("kind", kind), zap.Int("bounds", len(bounds)))
	l.metrics.count(l.metrics.unboundedRows, kind)
}

// unsettledRuns returns the names of the long-running runs that are not settled, and whether
// they fit into a row with the bounds. allEndBy is the end of the leases of workers without a
// bound that the row states, 0 if it states none: then their runs are left out, else those with
// leases that end later count as unsettled.
func (l *leader) unsettledRuns(bounds []leaseBound, allEndBy, now bootclock.Time) (names []string, fits bool) {
	bounded := boundedWorkers(bounds)
	var unsettled []*run
	for _, w := range l.sortedWorkers() {
		if !bounded[w.id] && allEndBy == 0 {
			continue
		}
		isLong := !bounded[w.id] && w.settledLeaseEnd() > allEndBy
		for _, r := range w.sortedRuns() {
			if r.job.Step(r.id.Task).LongRunning && (isLong || !l.isSettled(w, r, now)) {
				unsettled = append(unsettled, r)
			}
		}
		if len(unsettled) > maxUnsettledRuns {
			return nil, false
		}
	}
	for _, r := range unsettled {
		names = append(names, r.id.String())
	}
	return names, l.o.fitsIntoRow(bounds, names)
}

// recordStartAnswer records whether the runner has answered all calls to start the run. A row that
// names the run as unsettled is replaced at once then: if this leader and the worker are lost before,
// the next leader keeps the run for the longest lease.
func (l *leader) recordStartAnswer(r *run, isAnswered bool) {
	if isAnswered && !r.isStartAnswered && slices.Contains(l.row.Unsettled, r.id.String()) {
		l.isStatementOutdated = true
	}
	r.isStartAnswered = isAnswered
}

// hasUnsettledRuns reports whether a long-running run of the worker is not settled.
func (l *leader) hasUnsettledRuns(w *worker, now bootclock.Time) bool {
	for _, r := range w.runs {
		if r.job.Step(r.id.Task).LongRunning && !l.isSettled(w, r, now) {
			return true
		}
	}
	return false
}

// isSettled reports whether no call to start the run is under way, as far as this leader or,
// before the first list of the worker, an earlier one knows.
func (l *leader) isSettled(w *worker, r *run, now bootclock.Time) bool {
	if w.listedAt == 0 {
		return !slices.Contains(l.earlierLeases.unsettled, r.id.String())
	}
	return l.isStartSettled(w, r, now)
}
