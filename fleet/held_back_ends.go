package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
)

// heldBackEnds is a period in which the lists of a worker lacked ends, because the
// runner lists a limited number until they are acknowledged.
type heldBackEnds struct {
	since bootclock.Time // 0 if the last list had all ends
	lists int            // lists that lacked ends
}

// isEnding reports whether the run was ordered to stop or has probably ended.
func (r *run) isEnding() bool { return r.stopReason != "" || r.isEndAwaited() }

// isEndAwaited reports whether the run has probably ended. What the runner last
// reported of it does not show its present state.
func (r *run) isEndAwaited() bool { return r.endAwaitedSince != 0 }

// setEndAwaited records whether the run is missing from a list that lacks ends.
func (r *run) setEndAwaited(awaited bool, now bootclock.Time) {
	switch {
	case !awaited:
		r.endAwaitedSince = 0
	case r.endAwaitedSince == 0:
		r.endAwaitedSince = now
	}
}

// endedBy returns the latest time at which a run can have ended whose end is
// received now.
func (r *run) endedBy(now bootclock.Time) bootclock.Time {
	if r.isEndAwaited() {
		return r.endAwaitedSince
	}
	return now
}

// recordHeldBackEnds logs when the lists of the worker begin to lack ends, and when
// they have all of them again.
func (l *leader) recordHeldBackEnds(w *worker, lacksEnds bool, now bootclock.Time) {
	h := &w.heldBackEnds
	if lacksEnds {
		h.lists++
		l.metrics.count(l.metrics.incompleteLists, string(w.domain))
		if h.since == 0 {
			h.since = now
			l.log.Info("runner holds back ends", zap.String("worker", string(w.id)), zap.Int64("last_end", w.lastEndReceived),
				zap.Int64("acknowledged", w.acknowledgedEnd), zap.Int("assigned", len(w.runs)), zap.Int("end_awaited", w.awaitedEnds()))
		}
		return
	}
	if h.since != 0 {
		lasted := now.Sub(h.since)
		l.metrics.heldBackEnds.Record(context.Background(), lasted.Seconds())
		l.log.Info("runner has listed all ends", zap.String("worker", string(w.id)), zap.Int64("last_end", w.lastEndReceived),
			zap.Duration("after", lasted.Round(time.Millisecond)), zap.Int("incomplete_lists", h.lists))
	}
	w.heldBackEnds = heldBackEnds{}
}

// awaitedEnds returns the number of runs whose end is awaited.
func (w *worker) awaitedEnds() int {
	n := 0
	for _, r := range w.runs {
		if r.isEndAwaited() {
			n++
		}
	}
	return n
}
